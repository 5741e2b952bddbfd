package httpserver

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"

	"ospreybend/internal/util/http1"
)

const (
	maxPipelinedBytes = 16 << 10 // bytes kept of what a client sends while its request is in work
	// hangupPollInterval is the time between two looks for the end of a client whose further bytes are not read.
	hangupPollInterval = 100 * time.Millisecond
	finalReadWindow    = 10 * time.Millisecond // for a last read at a deadline: after a standstill of the process bytes may be there
)

type connState uint8

const (
	idle      connState = iota // nothing of a request has come
	reading                    // a part of a request has come
	handling                   // a request is in work
	lingering                  // the last answer was written
)

// conn is one client's connection. Its own goroutine reads, also while a handler is at work on a request in another.
type conn struct {
	server         *Server
	socket         net.Conn
	input          http1.ReadBuffer // what has come and is not used yet
	finalReadTaken bool             // the last look at a deadline was taken
	rawConn        syscall.RawConn  // nil where the connection is no socket

	// under Server.mu
	state          connState
	stateSince     time.Time // it is in the state
	readDeadline   time.Time // of reading; zero: none
	pipelinedBytes int       // bytes of in while a request is in work
	woken          bool      // the deadline is there to wake the goroutine that reads
}

func newConn(s *Server, socket net.Conn) *conn {
	return &conn{server: s, socket: socket, rawConn: rawConnOf(socket), stateSince: s.now()}
}

// serve reads and serves one request after the other.
func (c *conn) serve() {
	defer c.close()
	c.startIdle()
	for {
		reader, statusErr, err := c.readRequest()
		switch {
		case err != nil:
			return
		case statusErr != nil:
			c.reject(statusErr)
			return
		}
		if !c.handleRequest(reader) {
			return
		}
	}
}

// startIdle starts the time that the connection may be idle.
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

// setReadDeadline bounds reading. The caller holds the server's lock.
func (c *conn) setReadDeadline(timeout time.Duration) {
	c.woken = false
	c.readDeadline = time.Now().Add(timeout)
	_ = c.socket.SetReadDeadline(c.readDeadline)
}

func (c *conn) close() {
	c.setState(idle)
	c.server.remove(c)
	_ = c.socket.Close()
}

// setState changes the state, and with it what Server.Wait waits for.
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

func (s connState) isBusy() bool { return s == handling || s == lingering }

// handleRequest has a request served while it listens whether the client leaves. It returns whether another request may follow.
func (c *conn) handleRequest(reader *requestReader) bool {
	r := reader.request
	s := c.server
	if c.hasHungUp() {
		s.bodyBytes.Add(-int64(cap(r.Body)))
		s.counts.clientsGone.Add(1)
		return false
	}
	s.counts.requests.Add(1)
	s.counts.inFlight.Add(1)
	ctx, cancel := context.WithCancel(context.Background())
	r.Context = ctx
	w := &ResponseWriter{conn: c, method: r.Method, closing: reader.head.Close, http10: reader.head.HTTP10}
	s.mu.Lock()
	c.enter(handling)
	c.pipelinedBytes = c.input.Len()
	s.mu.Unlock()
	bodyBytes := int64(cap(r.Body))
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.runHandler(w, r)
		cancel()
		s.bodyBytes.Add(-bodyBytes)
		s.counts.inFlight.Add(-1)
		c.afterResponse(w)
	}()
	alive := c.watchClient(w, done)
	if !alive {
		cancel()
		<-done
	}
	return alive
}

// runHandler calls the handler and sees to it that there is one answer.
func (c *conn) runHandler(w *ResponseWriter, r *Request) {
	defer func() {
		if cause := recover(); cause != nil {
			c.server.log(fmt.Sprintf("front: a handler failed: %v", cause))
		}
		w.finishHandler()
	}()
	c.server.options.Handler(w, r)
}

// afterResponse sets the state after an answer, and the time for what may follow. The goroutine that reads is woken where it must go
// on.
func (c *conn) afterResponse(writer *ResponseWriter) {
	wasAborted, closing := writer.connState()
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

// watchClient reads while a request is in work, and on to the first bytes of the next. It returns false when no request may
// follow.
func (c *conn) watchClient(writer *ResponseWriter, done <-chan struct{}) bool {
	for {
		state := c.recordPipelined()
		switch {
		case state == handling && c.input.Len() >= maxPipelinedBytes:
			if !c.awaitHandler(done) {
				c.clientGone(writer)
				return false
			}
			continue
		case state == lingering:
			discardInput(c.socket)
			return false
		case state != handling && c.input.Len() > 0:
			wasAborted, _ := writer.connState()
			return !wasAborted
		}
		err := c.readMore()
		switch {
		case err == nil:
		case !isTimeout(err):
			c.clientGone(writer)
			return false
		case c.recordPipelined() == idle && c.input.Len() == 0:
			return false
		}
	}
}

// awaitHandler waits for a handler without reading: as much as may be kept has come. It returns false once the client has left.
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

// recordPipelined notes how much has come, and returns the state.
func (c *conn) recordPipelined() connState {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.pipelinedBytes = c.input.Len()
	return c.state
}

// clientGone notes that the client's side has ended. What is still written to it is refused.
func (c *conn) clientGone(writer *ResponseWriter) {
	c.server.mu.Lock()
	inFlight := c.state == handling
	c.server.mu.Unlock()
	_ = c.socket.Close()
	if inFlight && writer.abandon() {
		c.server.counts.clientsGone.Add(1)
	}
}

// readMore takes in what comes next.
func (c *conn) readMore() error {
	n, err := c.read(c.input.Free())
	c.input.Extend(n)
	return err
}

// read reads once. It returns a timeout only where the deadline in force has passed.
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

// shouldRetryRead tells whether a read that ran into a deadline is to be tried again: the deadline may be of the time before.
func (c *conn) shouldRetryRead() bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	switch {
	case c.state == handling:
		c.readDeadline = time.Time{}
		_ = c.socket.SetReadDeadline(c.readDeadline)
		return true
	case c.woken:
		return false
	case time.Now().Before(c.readDeadline):
		return true
	case c.finalReadTaken || c.state == lingering:
		return false
	}
	c.finalReadTaken = true
	c.setReadDeadline(finalReadWindow)
	return true
}

func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// reject answers a request that cannot be read, and ends the connection.
func (c *conn) reject(statusErr *http1.StatusError) {
	if isLimitExceeded(statusErr) && !c.server.limitsConfirmed() {
		statusErr = &errLimitsUnconfirmed
	}
	switch statusErr.Status {
	case statusRequestTimeout:
		c.server.counts.timedOut.Add(1)
	case statusUnavailable:
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

// isLimitExceeded tells whether a request is refused for a limit that a configuration sets.
func isLimitExceeded(statusErr *http1.StatusError) bool {
	return statusErr.Status == statusContentTooLarge || statusErr.Status == statusHeaderTooLarge
}
