package httpserver

import (
	"testing"
	"time"

	"ospreybend/internal/controlplane/configuration"
)

// A body that is sent slowly ends with the request timeout, not with the longer header timeout.
func TestServer_bodyAfterRequestTimeout(t *testing.T) {
	requested := make(chan string, 8)
	server := startServer(t, Options{
		Handler: func(*ResponseWriter, *Request) { t.Error("served") },
		Limits:  func() configuration.Limits { return configuration.Limits{HeaderTimeout: time.Hour} },
		RequestTimeout: func(r *Request) time.Duration {
			requested <- r.Host + r.Path + r.Header.Get("A")
			return 50 * time.Millisecond
		},
	})
	heads := [][]string{
		{"POST /a?b HTTP/1.1\r\nHost: h\r\nA: c\r\nContent-Length: 9\r\n\r\n"},
		{"POST /a?b HTTP/1.1\r\nHost: h\r\nA: c\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n"},
		{"POST /a?b HTTP/1.1\r\n", "Host: h\r\nA: c\r\nContent-Length: 9\r\n\r\n"},
	}
	for _, pieces := range heads {
		client := server.dial()
		for _, chunk := range pieces {
			client.send(chunk)
			server.await(func(states map[connState]int) bool { return states[reading]+states[lingering] == 1 })
		}
		client.send("x")
		client.expect(408, "")
		if asked := <-requested; asked != "h/ac" {
			t.Errorf("asked for %q", asked)
		}
	}
}

// A stream to a client that does not read ends with SetWriteTimeout, not with the longer timeout of one write.
func TestResponseWriter_SetWriteTimeout(t *testing.T) {
	failed := make(chan time.Duration, 1)
	server := startServer(t, Options{WriteTimeout: time.Hour, Handler: func(w *ResponseWriter, r *Request) {
		began := time.Now()
		w.SetWriteTimeout(50 * time.Millisecond)
		_ = w.WriteHeader(200, nil)
		chunk := make([]byte, 1<<20)
		for w.WriteChunk(chunk) == nil {
		}
		failed <- time.Since(began)
	}})
	client := server.dial()
	client.send(getRequest)
	select {
	case took := <-failed:
		if took < 50*time.Millisecond {
			t.Errorf("the write ends after %v", took)
		}
	case <-time.After(testTimeout):
		t.Fatal("the write does not end")
	}
}

// A response that is due just at the end of the request's time is written.
func TestResponseWriter_SetWriteTimeout_responseAtDeadline(t *testing.T) {
	server := startServer(t, Options{Handler: func(w *ResponseWriter, r *Request) {
		w.SetWriteTimeout(-time.Second)
		_ = w.WriteResponse(504, nil, []byte("late"))
	}})
	client := server.dial()
	client.send(getRequest)
	client.expect(504, "late")
}
