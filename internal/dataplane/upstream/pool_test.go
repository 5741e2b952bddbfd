package upstream

import (
	"context"
	"errors"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

func TestPool_RoundTrip_notSent(t *testing.T) {
	w := startWorker(t, respondAlways(plainResponse))
	address := w.address()
	w.listener.Close()
	p := newTestPool(t, Options{})
	_, f := p.RoundTrip(testContext(t), &Request{Address: address, Method: "GET", Target: "/"})
	requireFailure(t, f, NotSent, DialFailed)

	p = newTestPool(t, Options{DialTimeout: time.Millisecond, Dial: func(ctx context.Context, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}})
	_, f = p.RoundTrip(testContext(t), &Request{Address: address, Method: "GET", Target: "/"})
	requireFailure(t, f, NotSent, DialTimeout)
	over, cancel := context.WithCancel(context.Background())
	cancel()
	_, f = p.RoundTrip(over, &Request{Address: address, Method: "GET", Target: "/"})
	requireFailure(t, f, NotSent, Canceled)
	p.Close()
	_, f = p.RoundTrip(testContext(t), &Request{Address: address, Method: "GET", Target: "/"})
	requireFailure(t, f, NotSent, PoolClosed)
	if n := p.Counts(); n.Open != 0 || len(p.endpoints) != 0 {
		t.Errorf("%+v", n)
	}
}

// rejectingConn is a connection that accepts no byte.
type rejectingConn struct{ net.Conn }

func (rejectingConn) Write([]byte) (int, error) { return 0, errors.New("refused, as the test wants") }

func TestPool_RoundTrip_nothingWritten(t *testing.T) {
	p := newTestPool(t, Options{Dial: func(context.Context, string) (net.Conn, error) {
		near, far := net.Pipe()
		far.Close()
		return rejectingConn{near}, nil
	}})
	_, f := p.RoundTrip(testContext(t), &Request{Address: "a", Method: "GET", Target: "/"})
	requireFailure(t, f, NotSent, WriteError)
	if n := p.Counts(); n.Open != 0 {
		t.Errorf("%+v", n)
	}
}

func TestPool_RoundTrip_canceled(t *testing.T) {
	w := startWorker(t, func(p *workerConn) {
		p.readRequest()
		p.waitForClose() // the worker sees that the connection ends
	})
	p := newTestPool(t, Options{})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-w.requests
		cancel()
	}()
	_, f := p.RoundTrip(ctx, w.newRequest())
	requireFailure(t, f, Broken, Canceled)
	w.listener.Close()
	w.running.Wait()
}

func TestPool_maxConnections(t *testing.T) {
	hold := make(chan bool)
	w := startWorker(t, func(p *workerConn) {
		for p.readRequest() != nil {
			<-hold
			p.send(plainResponse)
		}
	})
	p := newTestPool(t, Options{MaxConnections: func(string) int { return 1 }})
	first := make(chan *Failure)
	go func() {
		_, f := p.RoundTrip(testContext(t), w.newRequest())
		first <- f
	}()
	<-w.requests
	_, f := p.RoundTrip(testContext(t), w.newRequest())
	requireFailure(t, f, NotSent, PoolExhausted)
	close(hold)
	if f := <-first; f != nil {
		t.Error(f)
	}
	call := w.newRequest()
	call.ForceNewConn = true // replaces the idle one
	r, f := p.RoundTrip(testContext(t), call)
	if requireResponse(t, r, f).Reused || p.Counts().Open != 1 {
		t.Errorf("%+v, %+v", r, p.Counts())
	}
}

func TestPool_maxTotal(t *testing.T) {
	one, other := startWorker(t, respondAlways(plainResponse)), startWorker(t, respondAlways(plainResponse))
	p := newTestPool(t, Options{MaxTotal: 1})
	for _, w := range []*testWorker{one, other, one} {
		r, f := p.RoundTrip(testContext(t), w.newRequest())
		requireResponse(t, r, f)
	}
	if n := p.Counts(); n.Open != 1 || n.Dials != 3 || len(p.endpoints) != 1 {
		t.Errorf("%+v", n)
	}
}

func TestPool_idleTimeout(t *testing.T) {
	now := time.Unix(1000, 0)
	for field, rest := range map[string]time.Duration{"Keep-Alive: timeout=10, max=5\r\n": 8 * time.Second, "": defaultIdleTimeout,
		"Keep-Alive: timeout=1\r\n": 700 * time.Millisecond, "Keep-Alive: timeout=0\r\n": 0, "Connection: close\r\n": 0} {
		w := startWorker(t, respondAlways(strings.Replace(plainResponse, "Content", field+"Content", 1)))
		var clock atomic.Pointer[time.Time]
		at := func(instant time.Time) { clock.Store(&instant) }
		at(now)
		p := newTestPool(t, Options{Now: func() time.Time { return *clock.Load() }})
		do := func() *Response {
			r, f := p.RoundTrip(testContext(t), w.newRequest())
			return requireResponse(t, r, f)
		}
		do()
		if rest > 0 {
			at(now.Add(rest - time.Millisecond))
			if !do().Reused {
				t.Errorf("%q: not reused", field)
			}
			at(now.Add(2*rest - time.Millisecond))
		}
		if do().Reused {
			t.Errorf("%q: reused for too long", field)
		}
		at(now.Add(4 * rest))
		p.closeExpired()
		if n := p.Counts(); n.Open != 0 {
			t.Errorf("%q: %+v", field, n)
		}
	}
}

func TestPool_CloseEndpoint(t *testing.T) {
	hold := make(chan bool, 1)
	w := startWorker(t, func(p *workerConn) {
		for p.readRequest() != nil {
			<-hold
			p.send(plainResponse)
		}
	})
	p := newTestPool(t, Options{})
	done := make(chan *Failure)
	go func() {
		_, f := p.RoundTrip(testContext(t), w.newRequest())
		done <- f
	}()
	<-w.requests
	p.CloseEndpoint(w.address())
	hold <- true
	if f := <-done; f != nil || p.Counts().Open != 0 {
		t.Errorf("%v, %+v", f, p.Counts())
	}
	hold <- true
	r, f := p.RoundTrip(testContext(t), w.newRequest())
	requireResponse(t, r, f)
	p.CloseEndpoint(w.address())
	if n := p.Counts(); n.Open != 0 {
		t.Errorf("%+v", n)
	}
}
