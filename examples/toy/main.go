// Command toy simulates the environment of a node on loopback, to try out a node locally: two prep workers and the discovery
// service. See examples/README.md.
package main

import (
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net/http"
	"strconv"
	"time"
)

const (
	discoveryAddress = "127.0.0.1:8500"
	jobDuration      = 300 * time.Millisecond
)

// workers maps the names of the prep workers to their addresses.
var workers = map[string]string{"toy-1": "127.0.0.1:9001", "toy-2": "127.0.0.1:9002"}

func main() {
	for name, address := range workers {
		go func() { log.Fatal(http.ListenAndServe(address, worker(name))) }()
	}
	log.Printf("serving prep workers at %v and the pool config at %s", workers, discoveryAddress)
	log.Fatal(http.ListenAndServe(discoveryAddress, http.HandlerFunc(serveEndpoints)))
}

// worker returns the handler of a prep worker: it accepts each job, reports its start, and its completion after jobDuration.
func worker(name string) http.Handler {
	return http.HandlerFunc(func(response http.ResponseWriter, request *http.Request) {
		id := request.Header.Get("Req-Id")
		body, err := io.ReadAll(request.Body)
		if err != nil || id == "" {
			http.Error(response, "body cannot be read or Req-Id header is missing", http.StatusBadRequest)
			return
		}
		send := func(line map[string]any) {
			line["id"], line["from"] = id, name
			_ = json.NewEncoder(response).Encode(line)
			response.(http.Flusher).Flush()
		}
		send(map[string]any{"state": "started"})
		time.Sleep(jobDuration)
		send(map[string]any{"state": "done", "load": map[string]any{"queue": 0, "x0": 4},
			"result": fmt.Sprintf("%s did %s with %d bytes\n", name, request.URL.Path, len(body))})
		log.Printf("%s: %s %s", name, id, request.URL.Path)
	})
}

// serveEndpoints serves the endpoint list, which never changes. A watch (a request with from=1) gets an empty change set after
// hold_ms.
func serveEndpoints(response http.ResponseWriter, request *http.Request) {
	if from := request.FormValue("from"); from == "1" {
		hold, _ := strconv.Atoi(request.FormValue("hold_ms"))
		select {
		case <-time.After(time.Duration(hold) * time.Millisecond):
		case <-request.Context().Done():
		}
		_ = json.NewEncoder(response).Encode(map[string]any{"index": 1, "snapshot": false, "endpoints": []any{}})
		return
	}
	entries := []any{}
	for name, address := range workers {
		entries = append(entries, map[string]any{"name": name, "address": address, "zone": "steyr-keller",
			"type": "neu-4k", "group": 0, "status": "Ready", "weight": 1.0, "since_ms": 0})
	}
	_ = json.NewEncoder(response).Encode(map[string]any{"index": 1, "snapshot": true, "endpoints": entries})
}
