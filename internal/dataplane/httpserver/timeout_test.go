package httpserver

import (
	"testing"
	"time"

	"ospreybend/internal/controlplane/configuration"
)

// A request whose body is sent too slowly is rejected at the request timeout, not only at the longer header timeout.
func TestServer_bodyAfterRequestTimeout(t *testing.T) {
	seenRequests := make(chan string, 8)
	server := startServer(t, Options{
		Handler: func(*ResponseWriter, *Request) { t.Error("the handler was called for an incomplete request") },
		Limits:  func() configuration.Limits { return configuration.Limits{HeaderTimeout: time.Hour} },
		RequestTimeout: func(r *Request) time.Duration {
			seenRequests <- r.Host + r.Path + r.Header.Get("A")
			return 50 * time.Millisecond
		},
	})
	requests := [][]string{
		{"POST /a?b HTTP/1.1\r\nHost: h\r\nA: c\r\nContent-Length: 9\r\n\r\n"},
		{"POST /a?b HTTP/1.1\r\nHost: h\r\nA: c\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n"},
		{"POST /a?b HTTP/1.1\r\n", "Host: h\r\nA: c\r\nContent-Length: 9\r\n\r\n"},
	}
	for _, pieces := range requests {
		client := server.dial()
		for _, piece := range pieces {
			client.send(piece)
			server.waitForStates(func(states map[connState]int) bool { return states[reading]+states[lingering] == 1 })
		}
		client.send("x")
		client.expectResponse(408, "")
		if seen := <-seenRequests; seen != "h/ac" {
			t.Errorf("host, path and field A passed to RequestTimeout: got %q, want %q", seen, "h/ac")
		}
	}
}

// A stream to a client that does not read fails at the timeout of SetWriteTimeout, not only at the longer Options.WriteTimeout.
func TestResponseWriter_SetWriteTimeout(t *testing.T) {
	elapsed := make(chan time.Duration, 1)
	server := startServer(t, Options{WriteTimeout: time.Hour, Handler: func(w *ResponseWriter, r *Request) {
		start := time.Now()
		w.SetWriteTimeout(50 * time.Millisecond)
		_ = w.WriteHeader(200, nil)
		chunk := make([]byte, 1<<20)
		for w.WriteChunk(chunk) == nil {
		}
		elapsed <- time.Since(start)
	}})
	client := server.dial()
	client.send(getRequest)
	select {
	case took := <-elapsed:
		if took < 50*time.Millisecond {
			t.Errorf("writes failed after %v, want 50ms or later", took)
		}
	case <-time.After(testTimeout):
		t.Fatalf("writes to a client that does not read did not fail within %v", testTimeout)
	}
}

// A response that is due at the moment when the write timeout ends is still written.
func TestResponseWriter_SetWriteTimeout_responseAtDeadline(t *testing.T) {
	server := startServer(t, Options{Handler: func(w *ResponseWriter, r *Request) {
		w.SetWriteTimeout(-time.Second)
		_ = w.WriteResponse(504, nil, []byte("late"))
	}})
	client := server.dial()
	client.send(getRequest)
	client.expectResponse(504, "late")
}
