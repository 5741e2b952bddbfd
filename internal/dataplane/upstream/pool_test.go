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
	worker := startWorker(t, respondAlways(plainResponse))
	address := worker.address()
	worker.listener.Close()
	pool := newTestPool(t, Options{})
	_, failure := pool.RoundTrip(testContext(t), &Request{Address: address, Method: "GET", Target: "/"})
	requireFailure(t, failure, NotSent, DialFailed)

	pool = newTestPool(t, Options{DialTimeout: time.Millisecond, Dial: func(ctx context.Context, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}})
	_, failure = pool.RoundTrip(testContext(t), &Request{Address: address, Method: "GET", Target: "/"})
	requireFailure(t, failure, NotSent, DialTimeout)
	over, cancel := context.WithCancel(context.Background())
	cancel()
	_, failure = pool.RoundTrip(over, &Request{Address: address, Method: "GET", Target: "/"})
	requireFailure(t, failure, NotSent, Canceled)
	pool.Close()
	_, failure = pool.RoundTrip(testContext(t), &Request{Address: address, Method: "GET", Target: "/"})
	requireFailure(t, failure, NotSent, PoolClosed)
	if counts := pool.Counts(); counts.Open != 0 || len(pool.endpoints) != 0 {
		t.Errorf("%+v", counts)
	}
}

// rejectingConn is a connection that accepts no byte.
type rejectingConn struct{ net.Conn }

func (rejectingConn) Write([]byte) (int, error) { return 0, errors.New("refused, as the test wants") }

func TestPool_RoundTrip_nothingWritten(t *testing.T) {
	pool := newTestPool(t, Options{Dial: func(context.Context, string) (net.Conn, error) {
		near, far := net.Pipe()
		far.Close()
		return rejectingConn{near}, nil
	}})
	_, failure := pool.RoundTrip(testContext(t), &Request{Address: "a", Method: "GET", Target: "/"})
	requireFailure(t, failure, NotSent, WriteError)
	if counts := pool.Counts(); counts.Open != 0 {
		t.Errorf("%+v", counts)
	}
}

func TestPool_RoundTrip_canceled(t *testing.T) {
	worker := startWorker(t, func(conn *workerConn) {
		conn.readRequest()
		conn.waitForClose() // the worker sees that the connection ends
	})
	pool := newTestPool(t, Options{})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-worker.requests
		cancel()
	}()
	_, failure := pool.RoundTrip(ctx, worker.newRequest())
	requireFailure(t, failure, Broken, Canceled)
	worker.listener.Close()
	worker.running.Wait()
}

func TestPool_maxConnections(t *testing.T) {
	hold := make(chan bool)
	worker := startWorker(t, func(conn *workerConn) {
		for conn.readRequest() != nil {
			<-hold
			conn.send(plainResponse)
		}
	})
	pool := newTestPool(t, Options{MaxConnections: func(string) int { return 1 }})
	first := make(chan *Failure)
	go func() {
		_, failure := pool.RoundTrip(testContext(t), worker.newRequest())
		first <- failure
	}()
	<-worker.requests
	_, failure := pool.RoundTrip(testContext(t), worker.newRequest())
	requireFailure(t, failure, NotSent, PoolExhausted)
	close(hold)
	if failure := <-first; failure != nil {
		t.Error(failure)
	}
	request := worker.newRequest()
	request.ForceNewConn = true // replaces the idle one
	response, failure := pool.RoundTrip(testContext(t), request)
	if requireResponse(t, response, failure).Reused || pool.Counts().Open != 1 {
		t.Errorf("%+v, %+v", response, pool.Counts())
	}
}

func TestPool_maxTotal(t *testing.T) {
	one, other := startWorker(t, respondAlways(plainResponse)), startWorker(t, respondAlways(plainResponse))
	pool := newTestPool(t, Options{MaxTotal: 1})
	for _, worker := range []*testWorker{one, other, one} {
		response, failure := pool.RoundTrip(testContext(t), worker.newRequest())
		requireResponse(t, response, failure)
	}
	if counts := pool.Counts(); counts.Open != 1 || counts.Dials != 3 || len(pool.endpoints) != 1 {
		t.Errorf("%+v", counts)
	}
}

func TestPool_idleTimeout(t *testing.T) {
	now := time.Unix(1000, 0)
	for field, rest := range map[string]time.Duration{"Keep-Alive: timeout=10, max=5\r\n": 8 * time.Second, "": defaultIdleTimeout,
		"Keep-Alive: timeout=1\r\n": 700 * time.Millisecond, "Keep-Alive: timeout=0\r\n": 0, "Connection: close\r\n": 0} {
		worker := startWorker(t, respondAlways(strings.Replace(plainResponse, "Content", field+"Content", 1)))
		var clock atomic.Pointer[time.Time]
		at := func(instant time.Time) { clock.Store(&instant) }
		at(now)
		pool := newTestPool(t, Options{Now: func() time.Time { return *clock.Load() }})
		do := func() *Response {
			response, failure := pool.RoundTrip(testContext(t), worker.newRequest())
			return requireResponse(t, response, failure)
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
		pool.closeExpired()
		if counts := pool.Counts(); counts.Open != 0 {
			t.Errorf("%q: %+v", field, counts)
		}
	}
}

func TestPool_CloseEndpoint(t *testing.T) {
	hold := make(chan bool, 1)
	worker := startWorker(t, func(conn *workerConn) {
		for conn.readRequest() != nil {
			<-hold
			conn.send(plainResponse)
		}
	})
	pool := newTestPool(t, Options{})
	done := make(chan *Failure)
	go func() {
		_, failure := pool.RoundTrip(testContext(t), worker.newRequest())
		done <- failure
	}()
	<-worker.requests
	pool.CloseEndpoint(worker.address())
	hold <- true
	if failure := <-done; failure != nil || pool.Counts().Open != 0 {
		t.Errorf("%v, %+v", failure, pool.Counts())
	}
	hold <- true
	response, failure := pool.RoundTrip(testContext(t), worker.newRequest())
	requireResponse(t, response, failure)
	pool.CloseEndpoint(worker.address())
	if counts := pool.Counts(); counts.Open != 0 {
		t.Errorf("%+v", counts)
	}
}
