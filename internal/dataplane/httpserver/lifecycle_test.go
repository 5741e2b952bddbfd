package httpserver

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"ospreybend/internal/controlplane/configuration"
)

func TestServer_clientClosesDuringRequest(t *testing.T) {
	for _, reset := range []bool{false, true} {
		began, ended := make(chan bool), make(chan error)
		server := startServer(t, Options{Handler: func(w *ResponseWriter, r *Request) {
			began <- true
			<-r.Context.Done()
			ended <- w.WriteResponse(200, nil, nil)
		}})
		client := server.dial()
		client.send(getRequest + "GET /early") // bytes of a next request must not hide the end
		<-began
		if reset {
			_ = client.socket.SetLinger(0)
		}
		client.socket.Close()
		select {
		case err := <-ended:
			if !errors.Is(err, ErrClientGone) {
				t.Errorf("the response ends with %v", err)
			}
		case <-time.After(testTimeout):
			t.Fatal("the handler's context does not end")
		}
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		if err := server.Wait(ctx); err != nil {
			t.Error(err)
		}
		cancel()
		if counts := server.Counts(); counts.MissingResponses != 0 {
			t.Errorf("%+v", counts)
		}
	}
}

func TestServer_handlerWithoutResponse(t *testing.T) {
	server := startServer(t, Options{Handler: func(w *ResponseWriter, r *Request) {
		if r.Path == "/panic" {
			panic("as the test wants")
		}
	}})
	client := server.dial()
	client.send(getRequest)
	client.expect(500, "")
	client.send("GET /panic HTTP/1.1\r\nHost: h\r\n\r\n")
	client.expect(500, "")
	if n := server.Counts().MissingResponses; n != 2 {
		t.Errorf("%d missing responses", n)
	}
}

func TestServer_maxConnections(t *testing.T) {
	hold := make(chan bool)
	var ahead atomic.Int64 // of the clock
	clock := func() time.Time { return time.Now().Add(time.Duration(ahead.Load())) }
	server := startServer(t, Options{MaxConnections: 2, Now: clock, Handler: func(w *ResponseWriter, r *Request) {
		if r.Path == "/hold" {
			<-hold
		}
		_ = w.WriteResponse(200, nil, nil)
	}})
	defer close(hold)
	first, second := server.dial(), server.dial()
	first.send("GET /hold HTTP/1.1\r\nHost: h\r\n\r\n")
	second.send(getRequest)
	second.expect(200, "")
	server.await(func(states map[connState]int) bool { return states[idle] == 1 })
	ahead.Store(int64(time.Second))
	third := server.dial() // evicts the idle second
	third.send("GET /hold HTTP/1.1\r\nHost: h\r\n\r\n")
	if rest := second.readToEnd(); rest != "" {
		t.Errorf("the evicted connection got %q", rest)
	}
	server.await(func(states map[connState]int) bool { return states[handling] == 2 })
	fourth := server.dial()
	if response := fourth.expect(503, ""); response.Header.Get("Retry-After") == "" || !response.Close {
		t.Errorf("%v", response.Header)
	}
	if counts := server.Counts(); counts.Rejected != 1 || counts.Evicted != 1 {
		t.Errorf("%+v", counts)
	}
}

func TestServer_Drain(t *testing.T) {
	began, hold := make(chan bool), make(chan bool)
	server := startServer(t, Options{Handler: func(w *ResponseWriter, r *Request) {
		if r.Path == "/hold" {
			began <- true
			<-hold
		}
		_ = w.WriteResponse(200, nil, nil)
	}})
	resting, busy := server.dial(), server.dial()
	resting.send(getRequest)
	resting.expect(200, "")
	busy.send("GET /hold HTTP/1.1\r\nHost: h\r\n\r\n")
	<-began
	server.Drain(time.Second)
	fresh := server.dial()
	fresh.send(getRequest)
	if !fresh.expect(200, "").Close {
		t.Error("the connection is not closed")
	}
	if rest := resting.readToEnd(); rest != "" {
		t.Errorf("%q", rest)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := server.Wait(ctx); !errors.Is(err, context.Canceled) {
		t.Errorf("Wait: %v", err)
	}
	close(hold)
	if !busy.expect(200, "").Close {
		t.Error("the connection is not closed")
	}
	busy.socket.Close()
	fresh.socket.Close()
	ctx, cancel = context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if err := server.Wait(ctx); err != nil {
		t.Errorf("Wait: %v", err)
	}
}

// A client that does not read blocks its own response only.
func TestServer_clientThatDoesNotRead(t *testing.T) {
	failed := make(chan error, 1)
	big := bytes.Repeat([]byte("x"), 1<<20)
	server := startServer(t, Options{WriteTimeout: 100 * time.Millisecond, Handler: func(w *ResponseWriter, r *Request) {
		if r.Path != "/stream" {
			_ = w.WriteResponse(200, nil, nil)
			return
		}
		_ = w.WriteHeader(200, nil)
		for {
			if err := w.WriteChunk(big); err != nil {
				failed <- err
				return
			}
		}
	}})
	stuck, other := server.dial(), server.dial()
	stuck.send("GET /stream HTTP/1.1\r\nHost: h\r\n\r\n")
	other.send(getRequest)
	other.expect(200, "")
	select {
	case err := <-failed:
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("the write ends with %v", err)
		}
	case <-time.After(testTimeout):
		t.Fatal("the write does not end")
	}
}

func TestServer_largeResponse(t *testing.T) {
	big := bytes.Repeat([]byte("x"), 1<<20)
	server := startServer(t, Options{Handler: func(w *ResponseWriter, r *Request) {
		if !bytes.Equal(r.Body, big) {
			t.Errorf("%d bytes", len(r.Body))
		}
		_ = w.WriteResponse(200, nil, big)
	}})
	client := server.dial()
	client.send(fmt.Sprintf("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(big), big))
	client.expect(200, string(big))
}

func TestServer_maxBufferedBodyBytes(t *testing.T) {
	server := startServer(t, Options{Handler: echo, MaxBufferedBodyBytes: initialBodyBytes})
	client := server.dial()
	client.send(fmt.Sprintf("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", 2*initialBodyBytes, strings.Repeat("x", 2*initialBodyBytes)))
	client.expect(503, "")
	client = server.dial()
	client.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi")
	client.expect(200, "POST /a hi")
	client.send(getRequest)
	client.expect(200, "GET /a ")
	if buffered := server.bodyBytes.Load(); buffered != 0 {
		t.Errorf("%d bytes buffered", buffered)
	}
}

func TestServer_stripsHopByHopFields(t *testing.T) {
	server := startServer(t, Options{Handler: func(w *ResponseWriter, r *Request) {
		var names []string
		for _, f := range r.Header {
			names = append(names, f.Name)
		}
		_ = w.WriteResponse(200, append(r.Header, r.Header...), []byte(strings.Join(names, " ")))
	}})
	client := server.dial()
	client.send("GET /a HTTP/1.1\r\nHost: h\r\nConnection: keep-alive, X-Own, host\r\nX-Own: 1\r\nTE: x\r\nProxy-A: b\r\nX-Id: 7\r\n\r\n")
	client.expect(200, "Host X-Id")
}

func TestReadinessHandler(t *testing.T) {
	ready := false
	server := startServer(t, Options{Handler: ReadinessHandler(func() bool { return ready })})
	client := server.dial()
	client.send("GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n")
	client.expect(503, "")
	ready = true
	client.send("GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n")
	client.expect(200, "")
	client.send(getRequest)
	client.expect(404, "")
}

// lateConn is a connection whose first read returns after its deadline, though a request was received.
type lateConn struct {
	net.Conn
	reads int
}

func (t *lateConn) Read(buffer []byte) (int, error) {
	t.reads++
	if t.reads == 1 {
		return 0, os.ErrDeadlineExceeded
	}
	return t.Conn.Read(buffer)
}

// After a process was suspended past a deadline it reads once more: a request received meanwhile is served.
func TestServer_requestBehindExpiredDeadline(t *testing.T) {
	server := New(Options{Handler: echo, Limits: func() configuration.Limits { return configuration.Limits{} }})
	server.Drain(0)
	near, far := net.Pipe()
	_ = far.SetDeadline(time.Now().Add(testTimeout))
	// The pipe is read without regard to the deadline that has passed.
	go newConn(server, &lateConn{Conn: noDeadlineConn{near}}).serve()
	if _, err := far.Write([]byte(getRequest)); err != nil {
		t.Fatal(err)
	}
	answer := make([]byte, 12)
	if _, err := far.Read(answer); err != nil || string(answer) != "HTTP/1.1 200" {
		t.Errorf("%q, %v", answer, err)
	}
	far.Close()
}

// noDeadlineConn is a connection without read deadlines.
type noDeadlineConn struct{ net.Conn }

func (noDeadlineConn) SetReadDeadline(time.Time) error { return nil }
