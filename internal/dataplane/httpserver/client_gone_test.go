package httpserver

import (
	"io"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"ospreybend/internal/controlplane/configuration"
)

// closeModes are the ways in which a client can end its side of a connection.
var closeModes = map[string]func(p *testClient){
	"closed": func(p *testClient) { p.socket.Close() },
	"half-closed": func(p *testClient) {
		if err := p.socket.CloseWrite(); err != nil {
			p.t.Error(err)
		}
	},
	"reset": func(p *testClient) {
		_ = p.socket.SetLinger(0)
		p.socket.Close()
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
				w := startServer(t, Options{Handler: func(w *ResponseWriter, r *Request) {
					began <- true
					<-r.Context.Done()
					ended <- w.WriteResponse(200, nil, nil)
				}})
				p := w.dial()
				p.send(getRequest + text)
				<-began
				end(p)
				select {
				case err := <-ended:
					if err != ErrClientGone {
						t.Errorf("the response ends with %v", err)
					}
				case <-time.After(testTimeout):
					t.Fatal("the handler's context does not end")
				}
				if n := w.server.Counts(); n.ClientsGone != 1 || n.Requests != 1 {
					t.Errorf("%+v", n)
				}
			})
		}
	}
}

// All pipelined requests of a client are served, though they are more than is read ahead.
func TestServer_manyPipelinedRequests(t *testing.T) {
	w := startServer(t, Options{Handler: echo})
	p := w.dial()
	const requests = 1000
	go func() { _, _ = p.socket.Write([]byte(strings.Repeat(getRequest, requests))) }()
	for range requests {
		p.expect(200, "GET /a ")
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
			s := New(Options{
				Handler: func(*ResponseWriter, *Request) { t.Error("served") },
				Limits:  func() configuration.Limits { return configuration.Limits{} },
			})
			p := (&testServer{t: t, address: listener.Addr().String()}).dial()
			accepted, err := listener.Accept()
			if err != nil {
				t.Fatal(err)
			}
			p.send(getRequest)
			end(p)
			c := newConn(s, accepted)
			for until := time.Now().Add(testTimeout); !c.hasHungUp(); runtime.Gosched() {
				if time.Now().After(until) {
					t.Fatal("the end was not received")
				}
			}
			c.serve()
			if n := s.Counts(); n.Requests != 0 {
				t.Errorf("%+v", n)
			}
		})
	}
}

// A client that hangs up within its body is not served.
func TestServer_clientGoneDuringBody(t *testing.T) {
	for way, end := range closeModes {
		t.Run(way, func(t *testing.T) {
			w := startServer(t, Options{Handler: func(*ResponseWriter, *Request) { t.Error("served") }})
			p := w.dial()
			p.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nhalf")
			w.await(func(states map[connState]int) bool { return states[reading] == 1 })
			end(p)
			w.await(func(states map[connState]int) bool { return len(states) == 0 })
		})
	}
}

// Two simultaneous requests with the same ID on two connections get a response each, their own.
func TestServer_sameRequestIDOnTwoConnections(t *testing.T) {
	both := make(chan bool)
	w := startServer(t, Options{Handler: func(w *ResponseWriter, r *Request) {
		both <- true
		both <- true
		_ = w.WriteResponse(200, nil, r.Body)
	}})
	first, second := w.dial(), w.dial()
	for body, p := range map[string]*testClient{"one": first, "two": second} {
		p.send("POST /a HTTP/1.1\r\nHost: h\r\nX-Request-Id: 7\r\nContent-Length: 3\r\n\r\n" + body)
	}
	for range 4 {
		<-both
	}
	first.expect(200, "one")
	second.expect(200, "two")
}

// The rest of a body that was rejected early is not taken for a request: nothing of it is answered or served.
func TestServer_restOfRejectedBody(t *testing.T) {
	w := startServer(t, Options{
		Handler: func(*ResponseWriter, *Request) { t.Error("served") },
		Limits:  func() configuration.Limits { return configuration.Limits{MaxBodyBytes: 16} },
	})
	p := w.dial()
	rest := strings.Repeat("GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n", 100)
	p.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3500\r\n\r\n")
	response, err := http.ReadResponse(p.input, nil)
	if err != nil || response.StatusCode != 413 || !response.Close {
		t.Fatal(response, err)
	}
	p.send(rest)
	if behind := p.readToEnd(); behind != "" {
		t.Errorf("%q after the response", behind)
	}
}

// A write to a client that does not read ends when the client closes its side, not only with the write timeout.
func TestServer_clientGoneDuringWrite(t *testing.T) {
	failed := make(chan error, 1)
	w := startServer(t, Options{WriteTimeout: time.Hour, Handler: func(w *ResponseWriter, r *Request) {
		_ = w.WriteHeader(200, nil)
		failed <- w.WriteChunk(make([]byte, 32<<20)) // more than sockets buffer
	}})
	p := w.dial()
	p.send(getRequest)
	if _, err := io.CopyN(io.Discard, p.input, 1<<20); err != nil {
		t.Fatal(err)
	}
	if err := p.socket.CloseWrite(); err != nil {
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
