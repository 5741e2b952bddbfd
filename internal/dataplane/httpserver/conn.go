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
	maxPipelinedBytes = 16 << 10 // limit of input read ahead while a request is handled
	// closePollInterval is the time between checks whether the client has closed the connection, once maxPipelinedBytes have been
	// read ahead and reading has stopped.
	closePollInterval = 100 * time.Millisecond
	// finalReadWindow is how long a last read may take after a read deadline has passed. If the process was suspended past the
	// deadline, a request may nevertheless have been received in time.
	finalReadWindow = 10 * time.Millisecond
)

// connState is the state of a connection.
type connState uint8

const (
	idle      connState = iota // no byte of the next request has been received
	reading                    // a request has been received in part
	handling                   // a handler runs
	lingering                  // the last response was written; waiting for the client to close its side
)

// conn is the connection of one client. One goroutine reads from it, even while a handler runs in another.
type conn struct {
	server        *Server
	netConn       net.Conn
	input         http1.ReadBuffer
	finalReadDone bool            // the last read after the read deadline was already made
	rawConn       syscall.RawConn // nil if the connection has no file descriptor

	// guarded by Server.mu
	state          connState
	stateSince     time.Time
	readDeadline   time.Time // zero: no deadline
	pipelinedBytes int       // length of input, as last recorded by the reading goroutine
	wakeupDeadline bool      // the read deadline was set only to interrupt a blocked read
}

// newConn returns a connection in the state idle. It is served by serve.
func newConn(server *Server, netConn net.Conn) *conn {
	return &conn{server: server, netConn: netConn, rawConn: rawConnOf(netConn), stateSince: server.now()}
}

// serve reads and handles requests one after another until the connection ends, and then closes it.
func (c *conn) serve() {
	defer c.close()
	c.startIdle()
	for {
		reader, err := c.readRequest()
		if err != nil {
			var statusErr *http1.StatusError
			if errors.As(err, &statusErr) {
				c.rejectRequest(statusErr)
			}
			return
		}
		if !c.handleRequest(reader) {
			return
		}
	}
}

// startIdle starts the idle timeout of a new connection.
func (c *conn) startIdle() {
	limits := c.server.limits()
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.startIdleLocked(limits.IdleTimeout)
}

// startIdleLocked sets the state to idle and starts the idle timeout. The caller must hold Server.mu.
func (c *conn) startIdleLocked(timeout time.Duration) {
	c.setStateLocked(idle)
	idleTime := timeout + idleMargin
	if c.server.draining.Load() {
		idleTime = min(idleTime, c.server.drainGrace)
	}
	c.setReadDeadlineLocked(idleTime)
}

// setReadDeadlineLocked sets the read deadline to the given time from now. The caller must hold Server.mu.
func (c *conn) setReadDeadlineLocked(timeout time.Duration) {
	c.wakeupDeadline = false
	c.readDeadline = time.Now().Add(timeout)
	_ = c.netConn.SetReadDeadline(c.readDeadline)
}

// close removes the connection from the server and closes it.
func (c *conn) close() {
	c.setState(idle)
	c.server.removeConn(c)
	_ = c.netConn.Close()
}

// setState is setStateLocked for callers that do not hold Server.mu.
func (c *conn) setState(state connState) {
	c.server.mu.Lock()
	c.setStateLocked(state)
	c.server.mu.Unlock()
}

// setStateLocked sets the state and updates the number of connections that Server.Wait waits for. The caller must hold Server.mu.
func (c *conn) setStateLocked(state connState) {
	if c.state.isBusy() != state.isBusy() {
		delta := 1
		if c.state.isBusy() {
			delta = -1
		}
		c.server.addBusyLocked(delta)
	}
	c.state = state
	c.stateSince = c.server.now()
}

// isBusy reports whether Server.Wait waits for connections in this state.
func (s connState) isBusy() bool { return s == handling || s == lingering }

// handleRequest runs the handler in a goroutine and meanwhile reads from the client. It reports whether another request may follow
// on the connection.
func (c *conn) handleRequest(reader *requestReader) bool {
	r := reader.request
	server := c.server
	if c.clientHasClosed() {
		server.bodyBytes.Add(-int64(cap(r.Body)))
		server.counts.clientDisconnects.Add(1)
		return false
	}
	server.counts.requests.Add(1)
	server.counts.inFlight.Add(1)
	ctx, cancel := context.WithCancel(context.Background())
	r.Context = ctx
	w := &ResponseWriter{conn: c, method: r.Method, closeAfterResponse: reader.head.Close, http10: reader.head.HTTP10}
	server.mu.Lock()
	c.setStateLocked(handling)
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
		c.setStateAfterResponse(w)
	}()
	mayContinue := c.watchClient(w, done)
	if !mayContinue {
		cancel()
		<-done
	}
	return mayContinue
}

// runHandler calls the handler, recovers from its panics, and ensures that the request gets exactly one response.
func (c *conn) runHandler(w *ResponseWriter, r *Request) {
	defer func() {
		if cause := recover(); cause != nil {
			c.server.log(fmt.Sprintf("handler panicked: %v", cause))
		}
		w.finishHandler()
	}()
	c.server.options.Handler(w, r)
}

// setStateAfterResponse sets the state and the read deadline after a response. If a part of the next request has already been read,
// it interrupts the blocked read so that the reading goroutine goes on to that request.
func (c *conn) setStateAfterResponse(writer *ResponseWriter) {
	wasAborted, closeAfterResponse := writer.outcome()
	limits := c.server.limits()
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	switch {
	case wasAborted:
		c.setStateLocked(idle) // the connection is already closed
	case closeAfterResponse:
		c.setStateLocked(lingering)
		if closer, ok := c.netConn.(halfCloser); ok {
			_ = closer.CloseWrite()
		}
		c.setReadDeadlineLocked(lingerTimeout)
	case c.pipelinedBytes > 0:
		c.setStateLocked(reading)
		c.setReadDeadlineLocked(0)
		c.wakeupDeadline = true
	default:
		c.startIdleLocked(limits.IdleTimeout)
	}
}

// watchClient reads ahead while a handler runs, in order to notice that the client closes the connection, and after that until the
// first bytes of the next request. It reports whether another request may follow.
func (c *conn) watchClient(writer *ResponseWriter, done <-chan struct{}) bool {
	for {
		state := c.recordPipelined()
		switch {
		case state == handling && c.input.Len() >= maxPipelinedBytes: // read no further, but check whether the client closes
			if !c.awaitHandler(done) {
				c.handleDisconnect(writer)
				return false
			}
			continue
		case state == lingering: // the last response was written
			discardInput(c.netConn)
			return false
		case state != handling && c.input.Len() > 0: // the response is finished and the next request has started
			wasAborted, _ := writer.outcome()
			return !wasAborted
		}
		err := c.readMore()
		switch {
		case err == nil:
		case !isTimeout(err):
			c.handleDisconnect(writer)
			return false
		case c.recordPipelined() == idle && c.input.Len() == 0: // the idle timeout has passed
			return false
		}
	}
}

// awaitHandler waits for a handler to return without reading from the client. It returns false if the client closes the connection
// first.
func (c *conn) awaitHandler(done <-chan struct{}) bool {
	ticker := time.NewTicker(closePollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return true
		case <-ticker.C:
			if c.clientHasClosed() {
				return false
			}
		}
	}
}

// recordPipelined records how many bytes have been read ahead, and returns the state of the connection.
func (c *conn) recordPipelined() connState {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.pipelinedBytes = c.input.Len()
	return c.state
}

// handleDisconnect closes the connection after the client has closed it or a read has failed. Further writes of an incomplete
// response fail with ErrConnectionClosed.
func (c *conn) handleDisconnect(writer *ResponseWriter) {
	c.server.mu.Lock()
	inFlight := c.state == handling
	c.server.mu.Unlock()
	_ = c.netConn.Close()
	if inFlight && writer.abortUnlessComplete() {
		c.server.counts.clientDisconnects.Add(1)
	}
}

// readMore reads into the input buffer with a single read.
func (c *conn) readMore() error {
	n, err := c.read(c.input.Free())
	c.input.Extend(n)
	return err
}

// read reads at least one byte or returns an error. It returns a timeout only if the current read deadline has passed.
func (c *conn) read(buffer []byte) (int, error) {
	for {
		n, err := c.netConn.Read(buffer)
		switch {
		case n > 0:
			c.finalReadDone = false
			return n, nil
		case err == nil:
			continue
		case isTimeout(err) && c.shouldRetryRead():
			continue
		}
		return 0, err
	}
}

// shouldRetryRead reports whether to read again after a timeout: the deadline that passed may belong to an earlier state, and one
// last read is made after the current deadline (see finalReadWindow).
func (c *conn) shouldRetryRead() bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	switch {
	case c.state == handling: // it was the deadline for receiving the request; there is none while the handler runs
		c.readDeadline = time.Time{}
		_ = c.netConn.SetReadDeadline(c.readDeadline)
		return true
	case c.wakeupDeadline:
		return false
	case time.Now().Before(c.readDeadline): // the deadline has been extended in the meantime
		return true
	case c.finalReadDone || c.state == lingering:
		return false
	}
	c.finalReadDone = true
	c.setReadDeadlineLocked(finalReadWindow)
	return true
}

func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// rejectRequest responds to a request that cannot be read, and then lingers until the client closes its side.
func (c *conn) rejectRequest(statusErr *http1.StatusError) {
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
	_ = c.netConn.SetWriteDeadline(time.Now().Add(c.server.writeTimeout))
	if _, err := c.netConn.Write(c.server.appendErrorResponse(nil, statusErr)); err == nil {
		closeWriteAndLinger(c.netConn)
	}
}

// isLimitExceeded reports whether a request was rejected because it exceeds a limit set in the configuration.
func isLimitExceeded(statusErr *http1.StatusError) bool {
	return statusErr.Status == http.StatusRequestEntityTooLarge || statusErr.Status == http.StatusRequestHeaderFieldsTooLarge
}
