package httpserver

import (
	"errors"
	"io"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"ospreybend/internal/controlplane/configuration"
)

// closeModes are the ways in which a client can end its side of a connection.
var closeModes = map[string]func(client *testClient){
	"closed": func(client *testClient) { client.socket.Close() },
	"half-closed": func(client *testClient) {
		if err := client.socket.CloseWrite(); err != nil {
			client.t.Error(err)
		}
	},
	"reset": func(client *testClient) {
		_ = client.socket.SetLinger(0)
		client.socket.Close()
	},
}

// A handler's context ends when its client hangs up, whatever the client sent before: nothing, a part of its next request, or more than
// is read ahead.
func TestServer_clientGoneDuringRequest(t *testing.T) {
	behind := map[string]string{"nothing": "", "a part": "GET /early", "much": strings.Repeat(getRequest, 2*maxPipelinedBytes/len(getRequest))}
	for way, end := range closeModes {
		for what, text := range behind {
			t.Run(way+" behind "+what, func(t *testing.T) {
				began, ended := make(chan bool), make(chan error, 1)
				server := startServer(t, Options{Handler: func(w *ResponseWriter, r *Request) {
					began <- true
					<-r.Context.Done()
					ended <- w.WriteResponse(200, nil, nil)
				}})
				client := server.dial()
				client.send(getRequest + text)
				<-began
				end(client)
				select {
				case err := <-ended:
					if !errors.Is(err, ErrClientGone) {
						t.Errorf("the response ends with %v", err)
					}
				case <-time.After(testTimeout):
					t.Fatal("the handler's context does not end")
				}
				if counts := server.Counts(); counts.ClientsGone != 1 || counts.Requests != 1 {
					t.Errorf("%+v", counts)
				}
			})
		}
	}
}

// All pipelined requests of a client are served, though they are more than is read ahead.
func TestServer_manyPipelinedRequests(t *testing.T) {
	server := startServer(t, Options{Handler: echo})
	client := server.dial()
	const requests = 1000
	go func() { _, _ = client.socket.Write([]byte(strings.Repeat(getRequest, requests))) }()
	for range requests {
		client.expect(200, "GET /a ")
	}
}

// A request that is read only after its client has hung up is not served.
func TestServer_clientGoneBeforeRequest(t *testing.T) {
	for way, end := range closeModes {
		t.Run(way, func(t *testing.T) {
			listener, err := Listen("127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer listener.Close()
			server := New(Options{
				Handler: func(*ResponseWriter, *Request) { t.Error("served") },
				Limits:  func() configuration.Limits { return configuration.Limits{} },
			})
			client := (&testServer{t: t, address: listener.Addr().String()}).dial()
			accepted, err := listener.Accept()
			if err != nil {
				t.Fatal(err)
			}
			client.send(getRequest)
			end(client)
			conn := newConn(server, accepted)
			for until := time.Now().Add(testTimeout); !conn.hasHungUp(); runtime.Gosched() {
				if time.Now().After(until) {
					t.Fatal("the end was not received")
				}
			}
			conn.serve()
			if counts := server.Counts(); counts.Requests != 0 {
				t.Errorf("%+v", counts)
			}
		})
	}
}

// A client that hangs up within its body is not served.
func TestServer_clientGoneDuringBody(t *testing.T) {
	for way, end := range closeModes {
		t.Run(way, func(t *testing.T) {
			server := startServer(t, Options{Handler: func(*ResponseWriter, *Request) { t.Error("served") }})
			client := server.dial()
			client.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nhalf")
			server.await(func(states map[connState]int) bool { return states[reading] == 1 })
			end(client)
			server.await(func(states map[connState]int) bool { return len(states) == 0 })
		})
	}
}

// Two simultaneous requests with the same ID on two connections get a response each, their own.
func TestServer_sameRequestIDOnTwoConnections(t *testing.T) {
	both := make(chan bool)
	server := startServer(t, Options{Handler: func(w *ResponseWriter, r *Request) {
		both <- true
		both <- true
		_ = w.WriteResponse(200, nil, r.Body)
	}})
	first, second := server.dial(), server.dial()
	for body, client := range map[string]*testClient{"one": first, "two": second} {
		client.send("POST /a HTTP/1.1\r\nHost: h\r\nX-Request-Id: 7\r\nContent-Length: 3\r\n\r\n" + body)
	}
	for range 4 {
		<-both
	}
	first.expect(200, "one")
	second.expect(200, "two")
}

// The rest of a body that was rejected early is not taken for a request: nothing of it is answered or served.
func TestServer_restOfRejectedBody(t *testing.T) {
	server := startServer(t, Options{
		Handler: func(*ResponseWriter, *Request) { t.Error("served") },
		Limits:  func() configuration.Limits { return configuration.Limits{MaxBodyBytes: 16} },
	})
	client := server.dial()
	rest := strings.Repeat("GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n", 100)
	client.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3500\r\n\r\n")
	response, err := http.ReadResponse(client.input, nil)
	if err != nil || response.StatusCode != 413 || !response.Close {
		t.Fatal(response, err)
	}
	client.send(rest)
	if behind := client.readToEnd(); behind != "" {
		t.Errorf("%q after the response", behind)
	}
}

// A write to a client that does not read ends when the client closes its side, not only with the write timeout.
func TestServer_clientGoneDuringWrite(t *testing.T) {
	failed := make(chan error, 1)
	server := startServer(t, Options{WriteTimeout: time.Hour, Handler: func(w *ResponseWriter, r *Request) {
		_ = w.WriteHeader(200, nil)
		failed <- w.WriteChunk(make([]byte, 32<<20)) // more than sockets buffer
	}})
	client := server.dial()
	client.send(getRequest)
	if _, err := io.CopyN(io.Discard, client.input, 1<<20); err != nil {
		t.Fatal(err)
	}
	if err := client.socket.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-failed:
		if err == nil {
			t.Error("a chunk was written to a client that has hung up")
		}
	case <-time.After(testTimeout):
		t.Fatal("the write does not end")
	}
}
