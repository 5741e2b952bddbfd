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
	requireFailure(t, "address without listener", failure, NotSent, DialFailed)

	pool = newTestPool(t, Options{DialTimeout: time.Millisecond, Dial: func(ctx context.Context, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}})
	_, failure = pool.RoundTrip(testContext(t), &Request{Address: address, Method: "GET", Target: "/"})
	requireFailure(t, "dial past its timeout", failure, NotSent, DialTimeout)
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	_, failure = pool.RoundTrip(canceled, &Request{Address: address, Method: "GET", Target: "/"})
	requireFailure(t, "canceled context", failure, NotSent, Canceled)
	pool.Close()
	_, failure = pool.RoundTrip(testContext(t), &Request{Address: address, Method: "GET", Target: "/"})
	requireFailure(t, "closed pool", failure, NotSent, PoolClosed)
	if counts := pool.Counts(); counts.Open != 0 || len(pool.endpoints) != 0 {
		t.Errorf("counts = %+v with %d endpoints, want no open connection and no endpoint", counts, len(pool.endpoints))
	}
}

// rejectingConn is a connection whose writes fail without accepting a byte.
type rejectingConn struct{ net.Conn }

func (rejectingConn) Write([]byte) (int, error) {
	return 0, errors.New("write rejected by the test connection")
}

func TestPool_RoundTrip_nothingWritten(t *testing.T) {
	pool := newTestPool(t, Options{Dial: func(context.Context, string) (net.Conn, error) {
		client, server := net.Pipe()
		server.Close()
		return rejectingConn{client}, nil
	}})
	_, failure := pool.RoundTrip(testContext(t), &Request{Address: "a", Method: "GET", Target: "/"})
	requireFailure(t, "write that accepts no byte", failure, NotSent, WriteError)
	if counts := pool.Counts(); counts.Open != 0 {
		t.Errorf("after a failed write: counts = %+v, want no open connection", counts)
	}
}

func TestPool_RoundTrip_canceled(t *testing.T) {
	worker := startWorker(t, func(conn *workerConn) {
		conn.readRequest()
		conn.waitForClose() // returns when the canceled client closes the connection
	})
	pool := newTestPool(t, Options{})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-worker.requests
		cancel()
	}()
	_, failure := pool.RoundTrip(ctx, worker.newRequest())
	requireFailure(t, "context canceled after the request was received", failure, Broken, Canceled)
	worker.listener.Close()
	worker.goroutines.Wait()
}

func TestPool_maxConnections(t *testing.T) {
	respond := make(chan bool)
	worker := startWorker(t, func(conn *workerConn) {
		for conn.readRequest() != nil {
			<-respond
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
	requireFailure(t, "second request with MaxConnections 1", failure, NotSent, PoolExhausted)
	close(respond)
	if failure := <-first; failure != nil {
		t.Errorf("request on the only connection failed: %v", failure)
	}
	request := worker.newRequest()
	request.ForceNewConn = true // the new connection replaces the idle one
	response, failure := pool.RoundTrip(testContext(t), request)
	if requireResponse(t, response, failure).Reused || pool.Counts().Open != 1 {
		t.Errorf("with ForceNewConn at the limit: response = %+v, counts = %+v, want a new connection as the only one", response, pool.Counts())
	}
}

func TestPool_maxTotal(t *testing.T) {
	first, second := startWorker(t, respondAlways(plainResponse)), startWorker(t, respondAlways(plainResponse))
	pool := newTestPool(t, Options{MaxTotalConnections: 1})
	for _, worker := range []*testWorker{first, second, first} {
		response, failure := pool.RoundTrip(testContext(t), worker.newRequest())
		requireResponse(t, response, failure)
	}
	if counts := pool.Counts(); counts.Open != 1 || counts.Dials != 3 || len(pool.endpoints) != 1 {
		t.Errorf("counts = %+v with %d endpoints, want 1 open connection, 3 dials and 1 endpoint", counts, len(pool.endpoints))
	}
}

func TestPool_idleTimeout(t *testing.T) {
	now := time.Unix(1000, 0)
	for field, idleTime := range map[string]time.Duration{"Keep-Alive: timeout=10, max=5\r\n": 8 * time.Second, "": defaultIdleTimeout,
		"Keep-Alive: timeout=1\r\n": 700 * time.Millisecond, "Keep-Alive: timeout=0\r\n": 0, "Connection: close\r\n": 0} {
		worker := startWorker(t, respondAlways(strings.Replace(plainResponse, "Content", field+"Content", 1)))
		var clock atomic.Pointer[time.Time]
		setClock := func(instant time.Time) { clock.Store(&instant) }
		setClock(now)
		pool := newTestPool(t, Options{Now: func() time.Time { return *clock.Load() }})
		send := func() *Response {
			response, failure := pool.RoundTrip(testContext(t), worker.newRequest())
			return requireResponse(t, response, failure)
		}
		send()
		if idleTime > 0 {
			setClock(now.Add(idleTime - time.Millisecond))
			if !send().Reused {
				t.Errorf("header field %q: connection not reused within its idle time of %v", field, idleTime)
			}
			setClock(now.Add(2*idleTime - time.Millisecond))
		}
		if send().Reused {
			t.Errorf("header field %q: connection reused after its idle time of %v", field, idleTime)
		}
		setClock(now.Add(4 * idleTime))
		pool.closeExpired()
		if counts := pool.Counts(); counts.Open != 0 {
			t.Errorf("header field %q: after closeExpired: counts = %+v, want no open connection", field, counts)
		}
	}
}

func TestPool_CloseEndpoint(t *testing.T) {
	respond := make(chan bool, 1)
	worker := startWorker(t, func(conn *workerConn) {
		for conn.readRequest() != nil {
			<-respond
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
	respond <- true
	if failure := <-done; failure != nil || pool.Counts().Open != 0 {
		t.Errorf("CloseEndpoint during a round trip: failure = %v, counts = %+v, want a response and no open connection", failure, pool.Counts())
	}
	respond <- true
	response, failure := pool.RoundTrip(testContext(t), worker.newRequest())
	requireResponse(t, response, failure)
	pool.CloseEndpoint(worker.address())
	if counts := pool.Counts(); counts.Open != 0 {
		t.Errorf("CloseEndpoint with an idle connection: counts = %+v, want no open connection", counts)
	}
}
