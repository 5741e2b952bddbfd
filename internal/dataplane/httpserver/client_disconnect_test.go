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

// clientCloseModes are the ways in which a client can close a connection.
var clientCloseModes = map[string]func(client *testClient){
	"closed": func(client *testClient) { client.netConn.Close() },
	"half-closed": func(client *testClient) {
		if err := client.netConn.CloseWrite(); err != nil {
			client.t.Errorf("half-close the connection: %v", err)
		}
	},
	"reset": func(client *testClient) {
		_ = client.netConn.SetLinger(0)
		client.netConn.Close()
	},
}

// When a client closes the connection, the context of its request is canceled, whatever the client sent after the request: nothing,
// a part of the next request, or more than the server reads ahead.
func TestServer_clientDisconnectsDuringRequest(t *testing.T) {
	extraInput := map[string]string{
		"nothing":              "",
		"part of a request":    "GET /early",
		"more than read ahead": strings.Repeat(getRequest, 2*maxPipelinedBytes/len(getRequest)),
	}
	for mode, closeClient := range clientCloseModes {
		for extraName, extra := range extraInput {
			t.Run(mode+" after "+extraName, func(t *testing.T) {
				started, writeErr := make(chan bool), make(chan error, 1)
				server := startServer(t, Options{Handler: func(w *ResponseWriter, r *Request) {
					started <- true
					<-r.Context.Done()
					writeErr <- w.WriteResponse(200, nil, nil)
				}})
				client := server.dial()
				client.send(getRequest + extra)
				<-started
				closeClient(client)
				select {
				case err := <-writeErr:
					if !errors.Is(err, ErrConnectionClosed) {
						t.Errorf("WriteResponse after the client has disconnected: got error %v, want %v", err, ErrConnectionClosed)
					}
				case <-time.After(testTimeout):
					t.Fatalf("the request's context was not canceled within %v", testTimeout)
				}
				if counts := server.Counts(); counts.ClientDisconnects != 1 || counts.Requests != 1 {
					t.Errorf("counts: got %+v, want ClientDisconnects 1 and Requests 1", counts)
				}
			})
		}
	}
}

// All pipelined requests of a client are served, even if they are more than the server reads ahead.
func TestServer_manyPipelinedRequests(t *testing.T) {
	server := startServer(t, Options{Handler: echo})
	client := server.dial()
	const requests = 1000
	go func() { _, _ = client.netConn.Write([]byte(strings.Repeat(getRequest, requests))) }()
	for range requests {
		client.expectResponse(200, "GET /a ")
	}
}

// A request that is read only after its client has disconnected is not passed to the handler.
func TestServer_clientDisconnectsBeforeRequestIsRead(t *testing.T) {
	for mode, closeClient := range clientCloseModes {
		t.Run(mode, func(t *testing.T) {
			listener, err := Listen("127.0.0.1:0")
			if err != nil {
				t.Fatalf("listen: %v", err)
			}
			defer listener.Close()
			server := New(Options{
				Handler: func(*ResponseWriter, *Request) {
					t.Error("the handler was called for a request whose client had disconnected")
				},
				Limits: func() configuration.Limits { return configuration.Limits{} },
			})
			client := (&testServer{t: t, address: listener.Addr().String()}).dial()
			accepted, err := listener.Accept()
			if err != nil {
				t.Fatalf("accept: %v", err)
			}
			client.send(getRequest)
			closeClient(client)
			conn := newConn(server, accepted)
			for deadline := time.Now().Add(testTimeout); !conn.clientHasClosed(); runtime.Gosched() {
				if time.Now().After(deadline) {
					t.Fatalf("the server did not see the client's close within %v", testTimeout)
				}
			}
			conn.serve()
			if counts := server.Counts(); counts.Requests != 0 {
				t.Errorf("counts: got %+v, want Requests 0", counts)
			}
		})
	}
}

// A request whose client disconnects within the body is not passed to the handler.
func TestServer_clientDisconnectsDuringBody(t *testing.T) {
	for mode, closeClient := range clientCloseModes {
		t.Run(mode, func(t *testing.T) {
			server := startServer(t, Options{Handler: func(*ResponseWriter, *Request) {
				t.Error("the handler was called for a request whose client had disconnected")
			}})
			client := server.dial()
			client.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nhalf")
			server.waitForStates(func(states map[connState]int) bool { return states[reading] == 1 })
			closeClient(client)
			server.waitForStates(func(states map[connState]int) bool { return len(states) == 0 })
		})
	}
}

// Two concurrent requests with the same X-Request-Id on two connections get their own response each.
func TestServer_sameRequestIDOnTwoConnections(t *testing.T) {
	inHandler := make(chan bool)
	server := startServer(t, Options{Handler: func(w *ResponseWriter, r *Request) {
		inHandler <- true
		inHandler <- true
		_ = w.WriteResponse(200, nil, r.Body)
	}})
	first, second := server.dial(), server.dial()
	for body, client := range map[string]*testClient{"one": first, "two": second} {
		client.send("POST /a HTTP/1.1\r\nHost: h\r\nX-Request-Id: 7\r\nContent-Length: 3\r\n\r\n" + body)
	}
	for range 4 {
		<-inHandler
	}
	first.expectResponse(200, "one")
	second.expectResponse(200, "two")
}

// A body that was rejected by its Content-Length and is sent nevertheless is not parsed as requests: it is neither responded to nor
// passed to the handler.
func TestServer_rejectedBodyIsNotParsed(t *testing.T) {
	server := startServer(t, Options{
		Handler: func(*ResponseWriter, *Request) { t.Error("the handler was called for a rejected request or its body") },
		Limits:  func() configuration.Limits { return configuration.Limits{MaxBodyBytes: 16} },
	})
	client := server.dial()
	rest := strings.Repeat("GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n", 100)
	client.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3500\r\n\r\n")
	response, err := http.ReadResponse(client.input, nil)
	if err != nil || response.StatusCode != 413 || !response.Close {
		t.Fatalf("response to a body beyond the limit: got %v, error %v, want 413 with Connection: close", response, err)
	}
	client.send(rest)
	if extra := client.readUntilClose(); extra != "" {
		t.Errorf("input after the 413 response: got %q, want none", extra)
	}
}

// A write to a client that does not read fails when the client closes its sending side, without waiting for the write timeout.
func TestServer_clientDisconnectsDuringWrite(t *testing.T) {
	writeErr := make(chan error, 1)
	server := startServer(t, Options{WriteTimeout: time.Hour, Handler: func(w *ResponseWriter, r *Request) {
		_ = w.WriteHeader(200, nil)
		writeErr <- w.WriteChunk(make([]byte, 32<<20)) // more than the socket buffers hold
	}})
	client := server.dial()
	client.send(getRequest)
	if _, err := io.CopyN(io.Discard, client.input, 1<<20); err != nil {
		t.Fatalf("read the start of the response: %v", err)
	}
	if err := client.netConn.CloseWrite(); err != nil {
		t.Fatalf("half-close the connection: %v", err)
	}
	select {
	case err := <-writeErr:
		if err == nil {
			t.Error("WriteChunk to a client that has disconnected: got no error, want one")
		}
	case <-time.After(testTimeout):
		t.Fatalf("WriteChunk did not return within %v after the client disconnected", testTimeout)
	}
}
