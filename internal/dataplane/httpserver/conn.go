package httpserver

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"ospreybend/internal/util/http1"
)

const (
	maxPipelinedBytes = 16 << 10 // read ahead of a client while its request is handled
	// hangupPollInterval is the time between two checks whether a client has hung up, when no more is read ahead.
	hangupPollInterval = 100 * time.Millisecond
	// finalReadWindow is the time of a last read after a read deadline has passed. If the process was suspended, a request may have
	// been received in time.
	finalReadWindow = 10 * time.Millisecond
)

// connState is the state of a connection.
type connState uint8

const (
	idle      connState = iota // no byte of a request has been received
	reading                    // a part of a request has been received
	handling                   // a handler runs
	lingering                  // the last response was written; waiting for the client to close
)

// conn is one client's connection. Its own goroutine reads, also while a handler runs in another.
type conn struct {
	server         *Server
	socket         net.Conn
	input          http1.ReadBuffer
	finalReadTaken bool            // the last read after a deadline was taken
	rawConn        syscall.RawConn // nil if the connection is not a socket

	// guarded by Server.mu
	state          connState
	stateSince     time.Time
	readDeadline   time.Time // zero: none
	pipelinedBytes int       // length of input while a handler runs
	woken          bool      // the read deadline only wakes the goroutine that reads
}

// newConn returns a connection that is idle and not yet served.
func newConn(server *Server, socket net.Conn) *conn {
	return &conn{server: server, socket: socket, rawConn: rawConnOf(socket), stateSince: server.now()}
}

// serve reads and handles one request after the other.
func (c *conn) serve() {
	defer c.close()
	c.startIdle()
	for {
		reader, err := c.readRequest()
		if err != nil {
			var statusErr *http1.StatusError
			if errors.As(err, &statusErr) {
				c.reject(statusErr)
			}
			return
		}
		if !c.handleRequest(reader) {
			return
		}
	}
}

// startIdle starts the idle time-out of a new connection.
func (c *conn) startIdle() {
	limits := c.server.limits()
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.enterIdle(limits.IdleTimeout)
}

// enterIdle makes the connection idle. The caller holds the server's lock.
func (c *conn) enterIdle(timeout time.Duration) {
	c.enter(idle)
	idleTime := timeout + idleMargin
	if c.server.draining.Load() {
		idleTime = min(idleTime, c.server.drainGrace)
	}
	c.setReadDeadline(idleTime)
}

// setReadDeadline sets the deadline of reading. The caller holds the server's lock.
func (c *conn) setReadDeadline(timeout time.Duration) {
	c.woken = false
	c.readDeadline = time.Now().Add(timeout)
	_ = c.socket.SetReadDeadline(c.readDeadline)
}

// close closes the connection and removes it from the server.
func (c *conn) close() {
	c.setState(idle)
	c.server.remove(c)
	_ = c.socket.Close()
}

// setState changes the state, and the number that Server.Wait waits for.
func (c *conn) setState(state connState) {
	c.server.mu.Lock()
	c.enter(state)
	c.server.mu.Unlock()
}

// enter changes the state. The caller holds the server's lock.
func (c *conn) enter(state connState) {
	if c.state.isBusy() != state.isBusy() {
		delta := 1
		if c.state.isBusy() {
			delta = -1
		}
		c.server.addBusy(delta)
	}
	c.state = state
	c.stateSince = c.server.now()
}

// isBusy reports whether Server.Wait waits for a connection in the state.
func (s connState) isBusy() bool { return s == handling || s == lingering }

// handleRequest runs the handler in a goroutine and watches the client meanwhile. It reports whether another request may follow.
func (c *conn) handleRequest(reader *requestReader) bool {
	r := reader.request
	server := c.server
	if c.hasHungUp() {
		server.bodyBytes.Add(-int64(cap(r.Body)))
		server.counts.clientsGone.Add(1)
		return false
	}
	server.counts.requests.Add(1)
	server.counts.inFlight.Add(1)
	ctx, cancel := context.WithCancel(context.Background())
	r.Context = ctx
	w := &ResponseWriter{conn: c, method: r.Method, closing: reader.head.Close, http10: reader.head.HTTP10}
	server.mu.Lock()
	c.enter(handling)
	c.pipelinedBytes = c.input.Len()
	server.mu.Unlock()
	bodyBytes := int64(cap(r.Body))
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.runHandler(w, r)
		cancel()
		server.bodyBytes.Add(-bodyBytes)
		server.counts.inFlight.Add(-1)
		c.afterResponse(w)
	}()
	alive := c.watchClient(w, done)
	if !alive {
		cancel()
		<-done
	}
	return alive
}

// runHandler calls the handler and ensures that there is exactly one response.
func (c *conn) runHandler(w *ResponseWriter, r *Request) {
	defer func() {
		if cause := recover(); cause != nil {
			c.server.log(fmt.Sprintf("handler panicked: %v", cause))
		}
		w.finishHandler()
	}()
	c.server.options.Handler(w, r)
}

// afterResponse sets the state and the deadline after a response. It wakes the goroutine that reads if a next request has been
// received in part.
func (c *conn) afterResponse(writer *ResponseWriter) {
	wasAborted, closing := writer.outcome()
	limits := c.server.limits()
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	switch {
	case wasAborted:
		c.enter(idle) // the socket is closed
	case closing:
		c.enter(lingering)
		if socket, ok := c.socket.(halfCloser); ok {
			_ = socket.CloseWrite()
		}
		c.setReadDeadline(lingerTimeout)
	case c.pipelinedBytes > 0:
		c.enter(reading)
		c.setReadDeadline(0)
		c.woken = true
	default:
		c.enterIdle(limits.IdleTimeout)
	}
}

// watchClient reads ahead while a handler runs, and on to the first bytes of the next request. It reports whether a request may
// follow.
func (c *conn) watchClient(writer *ResponseWriter, done <-chan struct{}) bool {
	for {
		state := c.recordPipelined()
		switch {
		case state == handling && c.input.Len() >= maxPipelinedBytes: // read no further: only watch for a hang-up
			if !c.awaitHandler(done) {
				c.clientGone(writer)
				return false
			}
			continue
		case state == lingering: // the last response was written
			discardInput(c.socket)
			return false
		case state != handling && c.input.Len() > 0: // the response was written and the next request has started
			wasAborted, _ := writer.outcome()
			return !wasAborted
		}
		err := c.readMore()
		switch {
		case err == nil:
		case !isTimeout(err):
			c.clientGone(writer)
			return false
		case c.recordPipelined() == idle && c.input.Len() == 0: // the idle time-out has passed
			return false
		}
	}
}

// awaitHandler waits for a handler without reading, as maxPipelinedBytes have been read ahead. It returns false if the client hangs
// up first.
func (c *conn) awaitHandler(done <-chan struct{}) bool {
	ticker := time.NewTicker(hangupPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return true
		case <-ticker.C:
			if c.hasHungUp() {
				return false
			}
		}
	}
}

// recordPipelined records how much was read ahead, and returns the state.
func (c *conn) recordPipelined() connState {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.pipelinedBytes = c.input.Len()
	return c.state
}

// clientGone closes the connection after the client has hung up. Further writes fail with ErrClientGone.
func (c *conn) clientGone(writer *ResponseWriter) {
	c.server.mu.Lock()
	inFlight := c.state == handling
	c.server.mu.Unlock()
	_ = c.socket.Close()
	if inFlight && writer.abandon() {
		c.server.counts.clientsGone.Add(1)
	}
}

// readMore reads once into the input buffer.
func (c *conn) readMore() error {
	n, err := c.read(c.input.Free())
	c.input.Extend(n)
	return err
}

// read reads once. It returns a time-out only if the deadline in force has passed.
func (c *conn) read(buffer []byte) (int, error) {
	for {
		n, err := c.socket.Read(buffer)
		switch {
		case n > 0:
			c.finalReadTaken = false
			return n, nil
		case err == nil:
			continue
		case isTimeout(err) && c.shouldRetryRead():
			continue
		}
		return 0, err
	}
}

// shouldRetryRead reports whether to read again after a time-out: the deadline may be that of an earlier state, and a passed one is
// followed by a last read.
func (c *conn) shouldRetryRead() bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	switch {
	case c.state == handling: // the deadline of reading the request: while its handler runs there is none
		c.readDeadline = time.Time{}
		_ = c.socket.SetReadDeadline(c.readDeadline)
		return true
	case c.woken:
		return false
	case time.Now().Before(c.readDeadline): // the deadline was extended meanwhile
		return true
	case c.finalReadTaken || c.state == lingering:
		return false
	}
	c.finalReadTaken = true
	c.setReadDeadline(finalReadWindow)
	return true
}

func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// reject answers a request that cannot be read, and closes the connection after the client.
func (c *conn) reject(statusErr *http1.StatusError) {
	if isLimitExceeded(statusErr) && !c.server.limitsConfirmed() {
		statusErr = errLimitsUnconfirmed
	}
	switch statusErr.Status {
	case http.StatusRequestTimeout:
		c.server.counts.timedOut.Add(1)
	case http.StatusServiceUnavailable:
		c.server.counts.rejected.Add(1)
	default:
		c.server.counts.malformed.Add(1)
	}
	c.setState(lingering)
	_ = c.socket.SetWriteDeadline(time.Now().Add(c.server.writeTimeout))
	if _, err := c.socket.Write(c.server.appendErrorResponse(nil, statusErr)); err == nil {
		closeAfterLinger(c.socket)
	}
}

// isLimitExceeded reports whether a request is beyond a limit that the configuration sets.
func isLimitExceeded(statusErr *http1.StatusError) bool {
	return statusErr.Status == http.StatusRequestEntityTooLarge || statusErr.Status == http.StatusRequestHeaderFieldsTooLarge
}
