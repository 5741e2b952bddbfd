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
		started, writeErr := make(chan bool), make(chan error)
		server := startServer(t, Options{Handler: func(w *ResponseWriter, r *Request) {
			started <- true
			<-r.Context.Done()
			writeErr <- w.WriteResponse(200, nil, nil)
		}})
		client := server.dial()
		client.send(getRequest + "GET /early") // the start of a next request must not hide the close
		<-started
		if reset {
			_ = client.netConn.SetLinger(0)
		}
		client.netConn.Close()
		select {
		case err := <-writeErr:
			if !errors.Is(err, ErrConnectionClosed) {
				t.Errorf("WriteResponse after the client has closed (reset: %v): got error %v, want %v", reset, err, ErrConnectionClosed)
			}
		case <-time.After(testTimeout):
			t.Fatalf("client closes (reset: %v): the request's context was not canceled within %v", reset, testTimeout)
		}
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		if err := server.Wait(ctx); err != nil {
			t.Errorf("Wait after the client has closed (reset: %v): %v", reset, err)
		}
		cancel()
		if counts := server.Counts(); counts.MissingResponses != 0 {
			t.Errorf("counts after the client has closed (reset: %v): got %+v, want MissingResponses 0", reset, counts)
		}
	}
}

func TestServer_handlerWithoutResponse(t *testing.T) {
	server := startServer(t, Options{Handler: func(w *ResponseWriter, r *Request) {
		if r.Path == "/panic" {
			panic("panic caused by the test")
		}
	}})
	client := server.dial()
	client.send(getRequest)
	client.expectResponse(500, "")
	client.send("GET /panic HTTP/1.1\r\nHost: h\r\n\r\n")
	client.expectResponse(500, "")
	if n := server.Counts().MissingResponses; n != 2 {
		t.Errorf("MissingResponses: got %d, want 2", n)
	}
}

func TestServer_maxConnections(t *testing.T) {
	release := make(chan bool)
	var clockOffset atomic.Int64 // how far the server's clock is ahead
	clock := func() time.Time { return time.Now().Add(time.Duration(clockOffset.Load())) }
	server := startServer(t, Options{MaxConnections: 2, Now: clock, Handler: func(w *ResponseWriter, r *Request) {
		if r.Path == "/hold" {
			<-release
		}
		_ = w.WriteResponse(200, nil, nil)
	}})
	defer close(release)
	first, second := server.dial(), server.dial()
	first.send("GET /hold HTTP/1.1\r\nHost: h\r\n\r\n")
	second.send(getRequest)
	second.expectResponse(200, "")
	server.waitForStates(func(states map[connState]int) bool { return states[idle] == 1 })
	clockOffset.Store(int64(time.Second))
	third := server.dial() // evicts the second connection, which is idle
	third.send("GET /hold HTTP/1.1\r\nHost: h\r\n\r\n")
	if rest := second.readUntilClose(); rest != "" {
		t.Errorf("input on the evicted connection: got %q, want none", rest)
	}
	server.waitForStates(func(states map[connState]int) bool { return states[handling] == 2 })
	fourth := server.dial()
	if response := fourth.expectResponse(503, ""); response.Header.Get("Retry-After") == "" || !response.Close {
		t.Errorf("503 at the connection limit: got header %v, Close %v, want Retry-After and Connection: close", response.Header, response.Close)
	}
	if counts := server.Counts(); counts.Rejected != 1 || counts.Evicted != 1 {
		t.Errorf("counts: got %+v, want Rejected 1 and Evicted 1", counts)
	}
}

func TestServer_SetCapacity(t *testing.T) {
	server := startServer(t, Options{Handler: echo, MaxConnections: 1, MaxBufferedBodyBytes: initialBodyBytes})
	body := strings.Repeat("x", 2*initialBodyBytes)
	post := fmt.Sprintf("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	server.SetCapacity(2, int64(4*initialBodyBytes))
	first, second := server.dial(), server.dial()
	for _, client := range []*testClient{first, second} {
		client.send(post)
		client.expectResponse(200, "POST /a "+body)
	}
	server.SetCapacity(1, initialBodyBytes)
	first.send(post)
	first.expectResponse(503, "")
	second.send(getRequest)
	second.expectResponse(200, "GET /a ")
}

func TestServer_Drain(t *testing.T) {
	started, release := make(chan bool), make(chan bool)
	server := startServer(t, Options{Handler: func(w *ResponseWriter, r *Request) {
		if r.Path == "/hold" {
			started <- true
			<-release
		}
		_ = w.WriteResponse(200, nil, nil)
	}})
	idleClient, busyClient := server.dial(), server.dial()
	idleClient.send(getRequest)
	idleClient.expectResponse(200, "")
	busyClient.send("GET /hold HTTP/1.1\r\nHost: h\r\n\r\n")
	<-started
	server.Drain(time.Second)
	newClient := server.dial()
	newClient.send(getRequest)
	if !newClient.expectResponse(200, "").Close {
		t.Error("response on a connection opened after Drain: no Connection: close")
	}
	if rest := idleClient.readUntilClose(); rest != "" {
		t.Errorf("input on the idle connection after Drain: got %q, want none", rest)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := server.Wait(ctx); !errors.Is(err, context.Canceled) {
		t.Errorf("Wait while a handler runs: got error %v, want %v", err, context.Canceled)
	}
	close(release)
	if !busyClient.expectResponse(200, "").Close {
		t.Error("response to a request in flight during Drain: no Connection: close")
	}
	busyClient.netConn.Close()
	newClient.netConn.Close()
	ctx, cancel = context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if err := server.Wait(ctx); err != nil {
		t.Errorf("Wait after all responses: %v", err)
	}
}

// A client that does not read blocks only its own response, and the write to it fails with the write timeout.
func TestServer_clientThatDoesNotRead(t *testing.T) {
	writeErr := make(chan error, 1)
	chunk := bytes.Repeat([]byte("x"), 1<<20)
	server := startServer(t, Options{WriteTimeout: 100 * time.Millisecond, Handler: func(w *ResponseWriter, r *Request) {
		if r.Path != "/stream" {
			_ = w.WriteResponse(200, nil, nil)
			return
		}
		_ = w.WriteHeader(200, nil)
		for {
			if err := w.WriteChunk(chunk); err != nil {
				writeErr <- err
				return
			}
		}
	}})
	blocked, other := server.dial(), server.dial()
	blocked.send("GET /stream HTTP/1.1\r\nHost: h\r\n\r\n")
	other.send(getRequest)
	other.expectResponse(200, "")
	select {
	case err := <-writeErr:
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("WriteChunk to a client that does not read: got error %v, want %v", err, os.ErrDeadlineExceeded)
		}
	case <-time.After(testTimeout):
		t.Fatalf("writes to a client that does not read did not fail within %v", testTimeout)
	}
}

func TestServer_largeResponse(t *testing.T) {
	body := bytes.Repeat([]byte("x"), 1<<20)
	server := startServer(t, Options{Handler: func(w *ResponseWriter, r *Request) {
		if !bytes.Equal(r.Body, body) {
			t.Errorf("request body: got %d bytes, want the %d bytes sent", len(r.Body), len(body))
		}
		_ = w.WriteResponse(200, nil, body)
	}})
	client := server.dial()
	client.send(fmt.Sprintf("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
	client.expectResponse(200, string(body))
}

func TestServer_maxBufferedBodyBytes(t *testing.T) {
	server := startServer(t, Options{Handler: echo, MaxBufferedBodyBytes: initialBodyBytes})
	client := server.dial()
	client.send(fmt.Sprintf("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", 2*initialBodyBytes, strings.Repeat("x", 2*initialBodyBytes)))
	client.expectResponse(503, "")
	client = server.dial()
	client.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi")
	client.expectResponse(200, "POST /a hi")
	client.send(getRequest)
	client.expectResponse(200, "GET /a ")
	if buffered := server.bodyBytes.Load(); buffered != 0 {
		t.Errorf("bytes accounted to request bodies after all requests: got %d, want 0", buffered)
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
	client.expectResponse(200, "Host X-Id")
}

func TestReadinessHandler(t *testing.T) {
	ready := false
	server := startServer(t, Options{Handler: ReadinessHandler(func() bool { return ready })})
	client := server.dial()
	client.send("GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n")
	client.expectResponse(503, "")
	ready = true
	client.send("GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n")
	client.expectResponse(200, "")
	client.send(getRequest)
	client.expectResponse(404, "")
}

// expiredReadConn is a connection whose first read fails with a timeout even though a request was received.
type expiredReadConn struct {
	net.Conn
	reads int
}

func (c *expiredReadConn) Read(buffer []byte) (int, error) {
	c.reads++
	if c.reads == 1 {
		return 0, os.ErrDeadlineExceeded
	}
	return c.Conn.Read(buffer)
}

// When a read deadline has passed, the server reads once more, so that a request received while the process was suspended is
// served.
func TestServer_requestReceivedBeforeExpiredDeadline(t *testing.T) {
	server := New(Options{Handler: echo, Limits: func() configuration.Limits { return configuration.Limits{} }})
	server.Drain(0)
	serverSide, clientSide := net.Pipe()
	_ = clientSide.SetDeadline(time.Now().Add(testTimeout))
	// noDeadlineConn ignores read deadlines, so that the second read of the pipe succeeds although the deadline has passed.
	go newConn(server, &expiredReadConn{Conn: noDeadlineConn{serverSide}}).serve()
	if _, err := clientSide.Write([]byte(getRequest)); err != nil {
		t.Fatalf("send the request: %v", err)
	}
	response := make([]byte, 12)
	if _, err := clientSide.Read(response); err != nil || string(response) != "HTTP/1.1 200" {
		t.Errorf("response: got %q, error %v, want a start of %q", response, err, "HTTP/1.1 200")
	}
	clientSide.Close()
}

// noDeadlineConn is a connection that ignores read deadlines.
type noDeadlineConn struct{ net.Conn }

func (noDeadlineConn) SetReadDeadline(time.Time) error { return nil }
