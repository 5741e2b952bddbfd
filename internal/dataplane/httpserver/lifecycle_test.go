package httpserver

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"ospreybend/internal/controlplane/configuration"
)

func TestClientLeaves(t *testing.T) {
	for _, reset := range []bool{false, true} {
		began, ended := make(chan bool), make(chan error)
		w := start(t, Options{Handler: func(w *ResponseWriter, r *Request) {
			began <- true
			<-r.Context.Done()
			ended <- w.Answer(200, nil, nil)
		}})
		p := w.dial()
		p.send(get + "GET /early") // what comes early must not hide the end
		<-began
		if reset {
			_ = p.socket.SetLinger(0)
		}
		p.socket.Close()
		select {
		case <-ended:
		case <-time.After(patience):
			t.Fatal("the handler does not hear of it")
		}
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		if err := w.server.Wait(ctx); err != nil {
			t.Error(err)
		}
		cancel()
		if n := w.server.Counts(); n.Unanswered != 0 {
			t.Errorf("%+v", n)
		}
	}
}

func TestHandlerWithoutAnswer(t *testing.T) {
	w := start(t, Options{Handler: func(w *ResponseWriter, r *Request) {
		if r.Path == "/panic" {
			panic("as the test wants")
		}
	}})
	p := w.dial()
	p.send(get)
	p.expect(500, "")
	p.send("GET /panic HTTP/1.1\r\nHost: h\r\n\r\n")
	p.expect(500, "")
	if n := w.server.Counts().Unanswered; n != 2 {
		t.Errorf("%d unanswered", n)
	}
}

func TestFull(t *testing.T) {
	hold := make(chan bool)
	var ahead atomic.Int64 // of the clock
	clock := func() time.Time { return time.Now().Add(time.Duration(ahead.Load())) }
	w := start(t, Options{MaxConnections: 2, Now: clock, Handler: func(w *ResponseWriter, r *Request) {
		if r.Path == "/hold" {
			<-hold
		}
		_ = w.Answer(200, nil, nil)
	}})
	defer close(hold)
	first, second := w.dial(), w.dial()
	first.send("GET /hold HTTP/1.1\r\nHost: h\r\n\r\n")
	second.send(get)
	second.expect(200, "")
	w.await(func(states map[connState]int) bool { return states[idle] == 1 })
	ahead.Store(int64(time.Second))
	third := w.dial() // takes the place of the idle second
	third.send("GET /hold HTTP/1.1\r\nHost: h\r\n\r\n")
	if rest := second.rest(); rest != "" {
		t.Errorf("the evicted one is told %q", rest)
	}
	w.await(func(states map[connState]int) bool { return states[working] == 2 })
	fourth := w.dial()
	if r := fourth.expect(503, ""); r.Header.Get("Retry-After") == "" || !r.Close {
		t.Errorf("%v", r.Header)
	}
	if n := w.server.Counts(); n.Refused != 1 || n.Evicted != 1 {
		t.Errorf("%+v", n)
	}
}

func TestDrain(t *testing.T) {
	began, hold := make(chan bool), make(chan bool)
	w := start(t, Options{Handler: func(w *ResponseWriter, r *Request) {
		if r.Path == "/hold" {
			began <- true
			<-hold
		}
		_ = w.Answer(200, nil, nil)
	}})
	resting, busy := w.dial(), w.dial()
	resting.send(get)
	resting.expect(200, "")
	busy.send("GET /hold HTTP/1.1\r\nHost: h\r\n\r\n")
	<-began
	w.server.Drain(time.Second)
	fresh := w.dial()
	fresh.send(get)
	if !fresh.expect(200, "").Close {
		t.Error("the connection is kept")
	}
	if rest := resting.rest(); rest != "" {
		t.Errorf("%q", rest)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := w.server.Wait(ctx); err != context.Canceled {
		t.Errorf("Wait: %v", err)
	}
	close(hold)
	if !busy.expect(200, "").Close {
		t.Error("the connection is kept")
	}
	busy.socket.Close()
	fresh.socket.Close()
	ctx, cancel = context.WithTimeout(context.Background(), patience)
	defer cancel()
	if err := w.server.Wait(ctx); err != nil {
		t.Errorf("Wait: %v", err)
	}
}

// A client that does not read holds its own answer only.
func TestClientThatDoesNotRead(t *testing.T) {
	failed := make(chan error, 1)
	big := bytes.Repeat([]byte("x"), 1<<20)
	w := start(t, Options{WriteTimeout: 100 * time.Millisecond, Handler: func(w *ResponseWriter, r *Request) {
		if r.Path != "/stream" {
			_ = w.Answer(200, nil, nil)
			return
		}
		_ = w.Begin(200, nil)
		for {
			if err := w.Event(big); err != nil {
				failed <- err
				return
			}
		}
	}})
	stuck, other := w.dial(), w.dial()
	stuck.send("GET /stream HTTP/1.1\r\nHost: h\r\n\r\n")
	other.send(get)
	other.expect(200, "")
	select {
	case <-failed:
	case <-time.After(patience):
		t.Fatal("the write does not end")
	}
}

func TestLargeAnswer(t *testing.T) {
	big := bytes.Repeat([]byte("x"), 1<<20)
	w := start(t, Options{Handler: func(w *ResponseWriter, r *Request) {
		if !bytes.Equal(r.Body, big) {
			t.Errorf("%d bytes", len(r.Body))
		}
		_ = w.Answer(200, nil, big)
	}})
	p := w.dial()
	p.send(fmt.Sprintf("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(big), big))
	p.expect(200, string(big))
}

func TestBodyBudget(t *testing.T) {
	w := start(t, Options{Handler: echo, BodyBudget: firstBody})
	p := w.dial()
	p.send(fmt.Sprintf("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", 2*firstBody, strings.Repeat("x", 2*firstBody)))
	p.expect(503, "")
	p = w.dial()
	p.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi")
	p.expect(200, "POST /a hi")
	p.send(get)
	p.expect(200, "GET /a ")
	if held := w.server.bodyBytes.Load(); held != 0 {
		t.Errorf("%d bytes held", held)
	}
}

func TestFieldsOfOneConnection(t *testing.T) {
	w := start(t, Options{Handler: func(w *ResponseWriter, r *Request) {
		var names []string
		for _, f := range r.Fields {
			names = append(names, f.Name)
		}
		_ = w.Answer(200, append(r.Fields, r.Fields...), []byte(strings.Join(names, " ")))
	}})
	p := w.dial()
	p.send("GET /a HTTP/1.1\r\nHost: h\r\nConnection: keep-alive, X-Own, host\r\nX-Own: 1\r\nTE: x\r\nProxy-A: b\r\nX-Id: 7\r\n\r\n")
	p.expect(200, "Host X-Id")
}

func TestReadiness(t *testing.T) {
	ready := false
	w := start(t, Options{Handler: Readiness(func() bool { return ready })})
	p := w.dial()
	p.send("GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n")
	p.expect(503, "")
	ready = true
	p.send("GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n")
	p.expect(200, "")
	p.send(get)
	p.expect(404, "")
}

// thawed is a connection whose first read comes only after its deadline, with a request there.
type thawed struct {
	net.Conn
	reads int
}

func (t *thawed) Read(into []byte) (int, error) {
	t.reads++
	if t.reads == 1 {
		return 0, os.ErrDeadlineExceeded
	}
	return t.Conn.Read(into)
}

// A process that stood still past a deadline looks once more: a request that came meanwhile is served.
func TestRequestBehindADeadline(t *testing.T) {
	s := New(Options{Handler: echo, Limits: func() configuration.Limits { return configuration.Limits{} }})
	s.Drain(0)
	near, far := net.Pipe()
	_ = far.SetDeadline(time.Now().Add(patience))
	// What waits on a pipe is read without regard to the deadline that has passed.
	go newConn(s, &thawed{Conn: undated{near}}).serve()
	if _, err := far.Write([]byte(get)); err != nil {
		t.Fatal(err)
	}
	answer := make([]byte, 12)
	if _, err := far.Read(answer); err != nil || string(answer) != "HTTP/1.1 200" {
		t.Errorf("%q, %v", answer, err)
	}
	far.Close()
}

// undated is a connection without deadlines of reading.
type undated struct{ net.Conn }

func (undated) SetReadDeadline(time.Time) error { return nil }
