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

func TestNotSent(t *testing.T) {
	w := play(t, answers(plain))
	address := w.address()
	w.listener.Close()
	p := pool(t, Options{})
	_, f := p.Do(within(t), &Call{Address: address, Method: "GET", Target: "/"})
	expectFailure(t, f, NotSent, DialFailed)

	p = pool(t, Options{DialTimeout: time.Millisecond, Dial: func(ctx context.Context, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}})
	_, f = p.Do(within(t), &Call{Address: address, Method: "GET", Target: "/"})
	expectFailure(t, f, NotSent, DialTimeout)
	over, cancel := context.WithCancel(context.Background())
	cancel()
	_, f = p.Do(over, &Call{Address: address, Method: "GET", Target: "/"})
	expectFailure(t, f, NotSent, Cancelled)
	p.Close()
	_, f = p.Do(within(t), &Call{Address: address, Method: "GET", Target: "/"})
	expectFailure(t, f, NotSent, PoolClosed)
	if n := p.Counts(); n.Open != 0 || len(p.peers) != 0 {
		t.Errorf("%+v", n)
	}
}

// refusing is a connection that takes no byte.
type refusing struct{ net.Conn }

func (refusing) Write([]byte) (int, error) { return 0, errors.New("refused, as the test wants") }

func TestWriteOfNothing(t *testing.T) {
	p := pool(t, Options{Dial: func(context.Context, string) (net.Conn, error) {
		near, far := net.Pipe()
		far.Close()
		return refusing{near}, nil
	}})
	_, f := p.Do(within(t), &Call{Address: "a", Method: "GET", Target: "/"})
	expectFailure(t, f, NotSent, WriteError)
	if n := p.Counts(); n.Open != 0 {
		t.Errorf("%+v", n)
	}
}

func TestCancel(t *testing.T) {
	w := play(t, func(p *peerSide) {
		p.request()
		p.awaitEnd() // the worker sees that the connection ends
	})
	p := pool(t, Options{})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-w.seen
		cancel()
	}()
	_, f := p.Do(ctx, w.call())
	expectFailure(t, f, Broken, Cancelled)
	w.listener.Close()
	w.wait.Wait()
}

func TestMostConnections(t *testing.T) {
	hold := make(chan bool)
	w := play(t, func(p *peerSide) {
		for p.request() != nil {
			<-hold
			p.send(plain)
		}
	})
	p := pool(t, Options{MaxConnections: func(string) int { return 1 }})
	first := make(chan *Failure)
	go func() {
		_, f := p.Do(within(t), w.call())
		first <- f
	}()
	<-w.seen
	_, f := p.Do(within(t), w.call())
	expectFailure(t, f, NotSent, Full)
	close(hold)
	if f := <-first; f != nil {
		t.Error(f)
	}
	call := w.call()
	call.Fresh = true // takes the place of the kept one
	r, f := p.Do(within(t), call)
	if must(t, r, f).Reused || p.Counts().Open != 1 {
		t.Errorf("%+v, %+v", r, p.Counts())
	}
}

func TestMostInAll(t *testing.T) {
	one, other := play(t, answers(plain)), play(t, answers(plain))
	p := pool(t, Options{MaxTotal: 1})
	for _, w := range []*worker{one, other, one} {
		r, f := p.Do(within(t), w.call())
		must(t, r, f)
	}
	if n := p.Counts(); n.Open != 1 || n.Dials != 3 || len(p.peers) != 1 {
		t.Errorf("%+v", n)
	}
}

func TestRestOfKeptConnections(t *testing.T) {
	now := time.Unix(1000, 0)
	for told, rest := range map[string]time.Duration{"Keep-Alive: timeout=10, max=5\r\n": 8 * time.Second, "": DefaultIdleTimeout,
		"Keep-Alive: timeout=1\r\n": 700 * time.Millisecond, "Keep-Alive: timeout=0\r\n": 0, "Connection: close\r\n": 0} {
		w := play(t, answers(strings.Replace(plain, "Content", told+"Content", 1)))
		var clock atomic.Pointer[time.Time]
		at := func(instant time.Time) { clock.Store(&instant) }
		at(now)
		p := pool(t, Options{Now: func() time.Time { return *clock.Load() }})
		do := func() *Response {
			r, f := p.Do(within(t), w.call())
			return must(t, r, f)
		}
		do()
		if rest > 0 {
			at(now.Add(rest - time.Millisecond))
			if !do().Reused {
				t.Errorf("%q: not kept", told)
			}
			at(now.Add(2*rest - time.Millisecond))
		}
		if do().Reused {
			t.Errorf("%q: kept for too long", told)
		}
		at(now.Add(4 * rest))
		p.expire()
		if n := p.Counts(); n.Open != 0 {
			t.Errorf("%q: %+v", told, n)
		}
	}
}

func TestForget(t *testing.T) {
	hold := make(chan bool, 1)
	w := play(t, func(p *peerSide) {
		for p.request() != nil {
			<-hold
			p.send(plain)
		}
	})
	p := pool(t, Options{})
	done := make(chan *Failure)
	go func() {
		_, f := p.Do(within(t), w.call())
		done <- f
	}()
	<-w.seen
	p.Forget(w.address())
	hold <- true
	if f := <-done; f != nil || p.Counts().Open != 0 {
		t.Errorf("%v, %+v", f, p.Counts())
	}
	hold <- true
	r, f := p.Do(within(t), w.call())
	must(t, r, f)
	p.Forget(w.address())
	if n := p.Counts(); n.Open != 0 {
		t.Errorf("%+v", n)
	}
}
