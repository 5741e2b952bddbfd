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
	mostAhead = 16 << 10 // bytes kept of what a client sends while its request is in work
	// hangUpLook is the time between two looks for the end of a client whose further bytes are not read.
	hangUpLook = 100 * time.Millisecond
	lastLook   = 10 * time.Millisecond // for a last read at a deadline: after a standstill of the process bytes may be there
)

type connState uint8

const (
	idle      connState = iota // nothing of a request has come
	reading                    // a part of a request has come
	working                    // a request is in work
	lingering                  // the last answer was written
)

// conn is one client's connection. Its own goroutine reads, also while a handler is at work on a request in another.
type conn struct {
	server *Server
	socket net.Conn
	in     http1.ReadBuffer // what has come and is not used yet
	looked bool             // the last look at a deadline was taken
	raw    syscall.RawConn  // nil where the connection is no socket

	// under Server.mu
	state    connState
	since    time.Time // it is in the state
	deadline time.Time // of reading; zero: none
	ahead    int       // bytes of in while a request is in work
	woken    bool      // the deadline is there to wake the goroutine that reads
}

func newConn(s *Server, socket net.Conn) *conn {
	return &conn{server: s, socket: socket, raw: rawOf(socket), since: s.now()}
}

// serve reads and serves one request after the other.
func (c *conn) serve() {
	defer c.end()
	c.rest()
	for {
		arrived, fault, err := c.readRequest()
		switch {
		case err != nil:
			return
		case fault != nil:
			c.fail(fault)
			return
		}
		if !c.work(arrived) {
			return
		}
	}
}

// rest starts the time that the connection may be idle.
func (c *conn) rest() {
	limits := c.server.limits()
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.enterIdle(limits.IdleTimeout)
}

// enterIdle makes the connection idle. The caller holds the server's lock.
func (c *conn) enterIdle(timeout time.Duration) {
	c.enter(idle)
	rest := timeout + idleMargin
	if c.server.draining.Load() {
		rest = min(rest, c.server.drainFor)
	}
	c.setDeadline(rest)
}

// setDeadline bounds reading. The caller holds the server's lock.
func (c *conn) setDeadline(after time.Duration) {
	c.woken = false
	c.deadline = time.Now().Add(after)
	_ = c.socket.SetReadDeadline(c.deadline)
}

func (c *conn) end() {
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
	c.since = c.server.now()
}

func (s connState) isBusy() bool { return s == working || s == lingering }

// work has a request served while it listens whether the client leaves. It returns whether another request may follow.
func (c *conn) work(a *arrival) bool {
	r := a.request
	s := c.server
	if c.hasHungUp() {
		s.bodyBytes.Add(-int64(cap(r.Body)))
		s.counts.left.Add(1)
		return false
	}
	s.counts.requests.Add(1)
	s.counts.inWork.Add(1)
	ctx, cancel := context.WithCancel(context.Background())
	r.Context = ctx
	w := &ResponseWriter{conn: c, method: r.Method, closing: a.head.Close, old: a.head.HTTP10}
	s.mu.Lock()
	c.enter(working)
	c.ahead = c.in.Len()
	s.mu.Unlock()
	held := int64(cap(r.Body))
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.handle(w, r)
		cancel()
		s.bodyBytes.Add(-held)
		s.counts.inWork.Add(-1)
		c.answered(w)
	}()
	alive := c.watch(w, done)
	if !alive {
		cancel()
		<-done
	}
	return alive
}

// handle calls the handler and sees to it that there is one answer.
func (c *conn) handle(w *ResponseWriter, r *Request) {
	defer func() {
		if cause := recover(); cause != nil {
			c.server.log(fmt.Sprintf("front: a handler failed: %v", cause))
		}
		w.end()
	}()
	c.server.options.Handler(w, r)
}

// answered sets the state after an answer, and the time for what may follow. The goroutine that reads is woken where it must go
// on.
func (c *conn) answered(w *ResponseWriter) {
	broken, closing := w.ending()
	limits := c.server.limits()
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	switch {
	case broken:
		c.enter(idle) // the socket is closed
	case closing:
		c.enter(lingering)
		if half, ok := c.socket.(halfCloser); ok {
			_ = half.CloseWrite()
		}
		c.setDeadline(lingerTime)
	case c.ahead > 0:
		c.enter(reading)
		c.setDeadline(0)
		c.woken = true
	default:
		c.enterIdle(limits.IdleTimeout)
	}
}

// watch reads while a request is in work, and on to the first bytes of the next. It returns false when no request may
// follow.
func (c *conn) watch(w *ResponseWriter, done <-chan struct{}) bool {
	for {
		state := c.noteAhead()
		switch {
		case state == working && c.in.Len() >= mostAhead:
			if !c.awaitDone(done) {
				c.gone(w)
				return false
			}
			continue
		case state == lingering:
			dropInput(c.socket)
			return false
		case state != working && c.in.Len() > 0:
			broken, _ := w.ending()
			return !broken
		}
		err := c.more()
		switch {
		case err == nil:
		case !isTimeout(err):
			c.gone(w)
			return false
		case c.noteAhead() == idle && c.in.Len() == 0:
			return false
		}
	}
}

// awaitDone waits for a handler without reading: as much as may be kept has come. It returns false once the client has left.
func (c *conn) awaitDone(done <-chan struct{}) bool {
	look := time.NewTicker(hangUpLook)
	defer look.Stop()
	for {
		select {
		case <-done:
			return true
		case <-look.C:
			if c.hasHungUp() {
				return false
			}
		}
	}
}

// noteAhead notes how much has come, and returns the state.
func (c *conn) noteAhead() connState {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.ahead = c.in.Len()
	return c.state
}

// gone notes that the client's side has ended. What is still written to it is refused.
func (c *conn) gone(w *ResponseWriter) {
	c.server.mu.Lock()
	left := c.state == working
	c.server.mu.Unlock()
	_ = c.socket.Close()
	if left && w.abandon() {
		c.server.counts.left.Add(1)
	}
}

// more takes in what comes next.
func (c *conn) more() error {
	n, err := c.read(c.in.Free())
	c.in.Extend(n)
	return err
}

// read reads once. It returns a timeout only where the deadline in force has passed.
func (c *conn) read(into []byte) (int, error) {
	for {
		n, err := c.socket.Read(into)
		switch {
		case n > 0:
			c.looked = false
			return n, nil
		case err == nil:
			continue
		case isTimeout(err) && c.againAfterTimeout():
			continue
		}
		return 0, err
	}
}

// againAfterTimeout tells whether a read that ran into a deadline is to be tried again: the deadline may be of the time before.
func (c *conn) againAfterTimeout() bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	switch {
	case c.state == working:
		c.deadline = time.Time{}
		_ = c.socket.SetReadDeadline(c.deadline)
		return true
	case c.woken:
		return false
	case time.Now().Before(c.deadline):
		return true
	case c.looked || c.state == lingering:
		return false
	}
	c.looked = true
	c.setDeadline(lastLook)
	return true
}

func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// fail answers a request that cannot be read, and ends the connection.
func (c *conn) fail(fault *http1.StatusError) {
	if isOverLimit(fault) && !c.server.confirmed() {
		fault = &unsureFault
	}
	switch fault.Status {
	case statusTimeout:
		c.server.counts.timedOut.Add(1)
	case statusUnavailable:
		c.server.counts.refused.Add(1)
	default:
		c.server.counts.malformed.Add(1)
	}
	c.setState(lingering)
	_ = c.socket.SetWriteDeadline(time.Now().Add(c.server.writeTime))
	if _, err := c.socket.Write(c.server.appendFault(nil, fault)); err == nil {
		discard(c.socket)
	}
}

// isOverLimit tells whether a request is refused for a limit that a configuration sets.
func isOverLimit(fault *http1.StatusError) bool {
	return fault.Status == statusTooLarge || fault.Status == statusLongHead
}
