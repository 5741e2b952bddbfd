// Command toy fakes a node's surroundings on loopback, to try a node: two prep workers and discovery. See examples/README.md.
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
	discovery = "127.0.0.1:8500"
	runFor    = 300 * time.Millisecond
)

var workers = map[string]string{"toy-1": "127.0.0.1:9001", "toy-2": "127.0.0.1:9002"}

func main() {
	for name, address := range workers {
		go func() { log.Fatal(http.ListenAndServe(address, worker(name))) }()
	}
	log.Printf("prep workers %v, pool config %s", workers, discovery)
	log.Fatal(http.ListenAndServe(discovery, http.HandlerFunc(serveList)))
}

// worker accepts every job, reports its start and completes it a little later.
func worker(name string) http.Handler {
	return http.HandlerFunc(func(response http.ResponseWriter, request *http.Request) {
		id := request.Header.Get("Req-Id")
		body, err := io.ReadAll(request.Body)
		if err != nil || id == "" {
			http.Error(response, "no request of a node's", http.StatusBadRequest)
			return
		}
		send := func(line map[string]any) {
			line["id"], line["from"] = id, name
			_ = json.NewEncoder(response).Encode(line)
			response.(http.Flusher).Flush()
		}
		send(map[string]any{"state": "started"})
		time.Sleep(runFor)
		send(map[string]any{"state": "done", "load": map[string]any{"queue": 0, "x0": 4},
			"result": fmt.Sprintf("%s did %s with %d bytes\n", name, request.URL.Path, len(body))})
		log.Printf("%s: %s %s", name, id, request.URL.Path)
	})
}

// serveList answers with the complete list, which never changes: a watch only waits.
func serveList(response http.ResponseWriter, request *http.Request) {
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
