package httpserver

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"ospreybend/internal/controlplane/configuration"
)

const (
	retryAfterRejection = 200 * time.Millisecond // the Retry-After of rejected connections and requests

	// defaults of options and of limits that the configuration does not set
	defaultMaxConnections = 1024
	defaultWriteTimeout   = 5 * time.Second
	defaultHeaderBytes    = 16 << 10
	defaultBodyBytes      = 4 << 20
	defaultHeaderTimeout  = 3 * time.Second
	defaultIdleTimeout    = 15 * time.Second
)

const (
	idleMargin              = 500 * time.Millisecond // beyond the idle time-out that clients are told
	lingerTimeout           = time.Second            // for a client to read its last response and close its side
	maxLingerBytes          = 256 << 10              // read and discarded meanwhile
	acceptRetryDelay        = 20 * time.Millisecond  // after a temporary error of accepting
	maxConcurrentRejections = 32                     // connections that are answered 503 at the same time
	rejectWriteTimeout      = 200 * time.Millisecond
	minIdleBeforeEviction   = 100 * time.Millisecond // a connection idle for less may have a request on its way
)

// Server serves HTTP/1.1 on one or more listeners.
type Server struct {
	// immutable
	options      Options
	now          func() time.Time
	maxConns     int
	writeTimeout time.Duration
	retryAfter   string // of rejections

	counts    counters
	draining  atomic.Bool
	bodyBytes atomic.Int64 // of the request bodies in memory

	mu         sync.Mutex // guards all below, and the states and deadlines of connections
	listeners  map[net.Listener]struct{}
	conns      map[*conn]struct{}
	drainGrace time.Duration // of idle connections; valid while draining
	closed     bool
	rejecting  int           // connections that are being answered 503
	busy       int           // connections that handle a request or linger
	idleNotify chan struct{} // closed when busy is 0; nil if no one waits
}

// counters are the live values of Counts.
type counters struct {
	accepted, rejected, evicted                            atomic.Int64 // connections
	requests, malformed, timedOut, inFlight                atomic.Int64 // requests
	clientsGone                                            atomic.Int64
	duplicateResponses, missingResponses, abortedResponses atomic.Int64
}

// New returns a server. It serves nothing until Serve is called.
func New(options Options) *Server {
	server := &Server{options: options, listeners: map[net.Listener]struct{}{}, conns: map[*conn]struct{}{}}
	server.now = options.Now
	if server.now == nil {
		server.now = time.Now
	}
	server.maxConns = positiveOr(options.MaxConnections, defaultMaxConnections)
	server.writeTimeout = positiveOr(options.WriteTimeout, defaultWriteTimeout)
	server.retryAfter = RetryAfter(retryAfterRejection)
	return server
}

// positiveOr returns value if it is above zero, and otherwise the other.
func positiveOr[T int | time.Duration](value, otherwise T) T {
	if value > 0 {
		return value
	}
	return otherwise
}

// limits returns the limits in force, with defaults in place of those that are not set.
func (s *Server) limits() configuration.Limits {
	limits := s.options.Limits()
	limits.MaxHeaderBytes = positiveOr(limits.MaxHeaderBytes, defaultHeaderBytes)
	limits.MaxBodyBytes = positiveOr(limits.MaxBodyBytes, defaultBodyBytes)
	limits.HeaderTimeout = positiveOr(limits.HeaderTimeout, defaultHeaderTimeout)
	limits.IdleTimeout = positiveOr(limits.IdleTimeout, defaultIdleTimeout)
	return limits
}

// limitsConfirmed reports whether the limits are known to be those in force.
func (s *Server) limitsConfirmed() bool {
	return s.options.LimitsConfirmed == nil || s.options.LimitsConfirmed()
}

// Serve accepts connections on a listener until Close, and returns nil then. It returns an error if the listener was closed by
// another. It may be called for several listeners.
func (s *Server) Serve(listener net.Listener) error {
	if !s.track(listener) {
		return listener.Close()
	}
	for {
		socket, err := listener.Accept()
		switch {
		case err == nil:
			s.accept(socket)
		case s.isClosed():
			return nil
		case errors.Is(err, net.ErrClosed):
			return err
		default:
			s.log("accept: " + err.Error())
			s.evictIdle()
			time.Sleep(acceptRetryDelay) // most likely no file descriptor is left: one is released meanwhile
		}
	}
}

// track records a listener, and returns false if the server is closed.
func (s *Server) track(listener net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.listeners[listener] = struct{}{}
	return true
}

func (s *Server) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

func (s *Server) log(line string) {
	if s.options.Log != nil {
		s.options.Log(line)
	}
}

// accept serves a connection. At the limit of connections it closes the one that has been idle the longest.
func (s *Server) accept(socket net.Conn) {
	s.counts.accepted.Add(1)
	c := newConn(s, socket)
	if s.add(c) || s.evictIdle() && s.add(c) {
		go c.serve()
		return
	}
	s.reject(socket)
}

// add records a connection, and returns false at the limit of connections or if the server is closed.
func (s *Server) add(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.conns) >= s.maxConns {
		return false
	}
	s.conns[c] = struct{}{}
	return true
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}

// evictIdle closes the connection that has been idle or lingering the longest, and reports whether there was one. A connection that
// was idle only for a moment is left alone: a request may be on its way.
func (s *Server) evictIdle() bool {
	now := s.now()
	s.mu.Lock()
	var oldest *conn
	for c := range s.conns {
		if c.state != idle && c.state != lingering || now.Sub(c.stateSince) < minIdleBeforeEviction {
			continue
		}
		if oldest == nil || c.stateSince.Before(oldest.stateSince) {
			oldest = c
		}
	}
	if oldest != nil {
		delete(s.conns, oldest)
	}
	s.mu.Unlock()
	if oldest == nil {
		return false
	}
	s.counts.evicted.Add(1)
	_ = oldest.socket.Close()
	return true
}

// reject answers a connection beyond the limit with 503.
func (s *Server) reject(socket net.Conn) {
	s.counts.rejected.Add(1)
	s.mu.Lock()
	full := s.closed || s.rejecting >= maxConcurrentRejections
	if !full {
		s.rejecting++
	}
	s.mu.Unlock()
	if full {
		_ = socket.Close()
		return
	}
	go s.rejectOverloaded(socket)
}

// rejectOverloaded writes the 503 to a connection and closes it.
func (s *Server) rejectOverloaded(socket net.Conn) {
	defer func() {
		_ = socket.Close()
		s.mu.Lock()
		s.rejecting--
		s.mu.Unlock()
	}()
	_ = socket.SetWriteDeadline(time.Now().Add(rejectWriteTimeout))
	if _, err := socket.Write(s.appendErrorResponse(nil, errOverloaded)); err == nil {
		closeAfterLinger(socket)
	}
}

// Drain makes every further response the last on its connection. The server continues to accept and serve. Idle connections are
// closed after the grace.
func (s *Server) Drain(grace time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drainGrace = grace
	s.draining.Store(true)
	for c := range s.conns {
		if c.state == idle && time.Until(c.readDeadline) > grace {
			c.setReadDeadline(grace)
		}
	}
}

// Wait returns nil when no handler runs and no connection lingers, or the context's error.
func (s *Server) Wait(ctx context.Context) error {
	for {
		s.mu.Lock()
		if s.busy == 0 {
			s.mu.Unlock()
			return nil
		}
		if s.idleNotify == nil {
			s.idleNotify = make(chan struct{})
		}
		idle := s.idleNotify
		s.mu.Unlock()
		select {
		case <-idle:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// addBusy changes the number of connections that Wait waits for. The caller holds the lock.
func (s *Server) addBusy(delta int) {
	s.busy += delta
	if s.busy == 0 && s.idleNotify != nil {
		close(s.idleNotify)
		s.idleNotify = nil
	}
}

// Close closes the listeners and all connections, also those with a request in flight. It returns the first error of a listener.
func (s *Server) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	var first error
	for listener := range s.listeners {
		if err := listener.Close(); err != nil && first == nil {
			first = err
		}
	}
	clear(s.listeners)
	for c := range s.conns {
		_ = c.socket.Close()
	}
	return first
}

// Counts returns the counters and gauges.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	open := len(s.conns)
	s.mu.Unlock()
	counters := &s.counts
	return Counts{
		Accepted:           counters.accepted.Load(),
		Rejected:           counters.rejected.Load(),
		Evicted:            counters.evicted.Load(),
		Requests:           counters.requests.Load(),
		Malformed:          counters.malformed.Load(),
		TimedOut:           counters.timedOut.Load(),
		ClientsGone:        counters.clientsGone.Load(),
		DuplicateResponses: counters.duplicateResponses.Load(),
		MissingResponses:   counters.missingResponses.Load(),
		AbortedResponses:   counters.abortedResponses.Load(),
		Open:               int64(open),
		InFlight:           counters.inFlight.Load(),
	}
}
