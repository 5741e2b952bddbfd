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
	retryAfterRejection = 200 * time.Millisecond // Retry-After value of rejected connections and requests

	// defaults for options and for limits that the configuration does not set
	defaultMaxConnections = 1024
	defaultWriteTimeout   = 5 * time.Second
	defaultHeaderBytes    = 16 << 10
	defaultBodyBytes      = 4 << 20
	defaultHeaderTimeout  = 3 * time.Second
	defaultIdleTimeout    = 15 * time.Second
)

const (
	idleMargin              = 500 * time.Millisecond // added to the idle timeout announced to clients
	lingerTimeout           = time.Second            // how long a client may take to read its last response and close its side
	maxLingerBytes          = 256 << 10              // maximum number of bytes read and discarded during that time
	acceptRetryDelay        = 20 * time.Millisecond  // pause after a temporary error of Accept
	maxConcurrentRejections = 32                     // connections that are sent a 503 response at the same time
	rejectWriteTimeout      = 200 * time.Millisecond
	minIdleBeforeEviction   = 100 * time.Millisecond // a request may be in transit on a connection that became idle more recently
)

// Server serves HTTP/1.1 on one or more listeners.
type Server struct {
	// immutable after New
	options      Options
	now          func() time.Time
	writeTimeout time.Duration
	retryAfter   string // Retry-After value of rejections

	counts       counters
	draining     atomic.Bool
	maxConns     atomic.Int64
	maxBodyBytes atomic.Int64 // limit of bodyBytes; 0: none
	bodyBytes    atomic.Int64 // memory allocated for request bodies

	mu         sync.Mutex // guards all fields below, and the states and deadlines of connections
	listeners  map[net.Listener]struct{}
	conns      map[*conn]struct{}
	drainGrace time.Duration // remaining time of idle connections; valid while draining
	closed     bool
	rejecting  int           // connections that are being sent a 503 response
	busy       int           // connections in the states handling and lingering
	noneBusy   chan struct{} // closed when busy drops to 0; nil if no one waits
}

// counters are the live values of Counts.
type counters struct {
	accepted, rejected, evicted                            atomic.Int64 // connections
	requests, malformed, timedOut, inFlight                atomic.Int64 // requests
	clientDisconnects                                      atomic.Int64
	duplicateResponses, missingResponses, abortedResponses atomic.Int64
}

// New returns a server that does not accept connections until Serve is called.
func New(options Options) *Server {
	server := &Server{options: options, listeners: map[net.Listener]struct{}{}, conns: map[*conn]struct{}{}}
	server.now = options.Now
	if server.now == nil {
		server.now = time.Now
	}
	server.SetCapacity(options.MaxConnections, options.MaxBufferedBodyBytes)
	server.writeTimeout = positiveOr(options.WriteTimeout, defaultWriteTimeout)
	server.retryAfter = formatRetryAfter(retryAfterRejection)
	return server
}

// SetCapacity changes Options.MaxConnections and Options.MaxBufferedBodyBytes. Connections and bodies beyond a lower limit stay.
func (s *Server) SetCapacity(maxConnections int, maxBufferedBodyBytes int64) {
	s.maxConns.Store(int64(positiveOr(maxConnections, defaultMaxConnections)))
	s.maxBodyBytes.Store(maxBufferedBodyBytes)
}

// positiveOr returns value if it is positive, and fallback otherwise.
func positiveOr[T int | time.Duration](value, fallback T) T {
	if value > 0 {
		return value
	}
	return fallback
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

// limitsConfirmed reports whether the limits are known to be up to date.
func (s *Server) limitsConfirmed() bool {
	return s.options.LimitsConfirmed == nil || s.options.LimitsConfirmed()
}

// Serve accepts connections on a listener until the server is closed, and then returns nil. It returns an error if the listener was
// closed by something other than Server.Close. It may be called for several listeners.
func (s *Server) Serve(listener net.Listener) error {
	if !s.addListener(listener) {
		return listener.Close()
	}
	for {
		netConn, err := listener.Accept()
		switch {
		case err == nil:
			s.serveOrReject(netConn)
		case s.isClosed():
			return nil
		case errors.Is(err, net.ErrClosed):
			return err
		default:
			s.log("accept connection: " + err.Error())
			s.evictIdle()
			time.Sleep(acceptRetryDelay) // most likely the process has run out of file descriptors: wait until one is released
		}
	}
}

// addListener registers a listener. It returns false if the server is closed.
func (s *Server) addListener(listener net.Listener) bool {
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

// serveOrReject serves an accepted connection. At the connection limit it first evicts an idle connection; if there is none to
// evict, it rejects the new one.
func (s *Server) serveOrReject(netConn net.Conn) {
	s.counts.accepted.Add(1)
	c := newConn(s, netConn)
	if s.addConn(c) || s.evictIdle() && s.addConn(c) {
		go c.serve()
		return
	}
	s.rejectConn(netConn)
}

// addConn registers a connection. It returns false at the connection limit or if the server is closed.
func (s *Server) addConn(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.conns) >= int(s.maxConns.Load()) {
		return false
	}
	s.conns[c] = struct{}{}
	return true
}

func (s *Server) removeConn(c *conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}

// evictIdle closes the connection that has been idle or lingering the longest, and reports whether there was one. It skips
// connections that entered the state less than minIdleBeforeEviction ago, since a request may be in transit.
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
	_ = oldest.netConn.Close()
	return true
}

// rejectConn rejects a connection beyond the connection limit with status 503, or closes it without a response if too many are
// being rejected already or the server is closed.
func (s *Server) rejectConn(netConn net.Conn) {
	s.counts.rejected.Add(1)
	s.mu.Lock()
	refuse := s.closed || s.rejecting >= maxConcurrentRejections
	if !refuse {
		s.rejecting++
	}
	s.mu.Unlock()
	if refuse {
		_ = netConn.Close()
		return
	}
	go s.writeOverloaded(netConn)
}

// writeOverloaded sends a 503 response on a connection and closes it.
func (s *Server) writeOverloaded(netConn net.Conn) {
	defer func() {
		_ = netConn.Close()
		s.mu.Lock()
		s.rejecting--
		s.mu.Unlock()
	}()
	_ = netConn.SetWriteDeadline(time.Now().Add(rejectWriteTimeout))
	if _, err := netConn.Write(s.appendErrorResponse(nil, errOverloaded)); err == nil {
		closeWriteAndLinger(netConn)
	}
}

// Drain makes every further response the last on its connection. The server continues to accept connections and to serve requests.
// Connections that stay idle for the grace period are closed.
func (s *Server) Drain(grace time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drainGrace = grace
	s.draining.Store(true)
	for c := range s.conns {
		if c.state == idle && time.Until(c.readDeadline) > grace {
			c.setReadDeadlineLocked(grace)
		}
	}
}

// Wait waits until no handler runs and no connection lingers. It returns the context's error if the context ends first.
func (s *Server) Wait(ctx context.Context) error {
	for {
		s.mu.Lock()
		if s.busy == 0 {
			s.mu.Unlock()
			return nil
		}
		if s.noneBusy == nil {
			s.noneBusy = make(chan struct{})
		}
		noneBusy := s.noneBusy
		s.mu.Unlock()
		select {
		case <-noneBusy:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// addBusyLocked adds to the number of connections that Wait waits for. The caller must hold s.mu.
func (s *Server) addBusyLocked(delta int) {
	s.busy += delta
	if s.busy == 0 && s.noneBusy != nil {
		close(s.noneBusy)
		s.noneBusy = nil
	}
}

// Close closes the listeners and all connections, including those with a request in flight. It returns the first error from closing
// a listener.
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
		_ = c.netConn.Close()
	}
	return first
}

// Counts returns the current values of the counters and gauges.
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
		ClientDisconnects:  counters.clientDisconnects.Load(),
		DuplicateResponses: counters.duplicateResponses.Load(),
		MissingResponses:   counters.missingResponses.Load(),
		AbortedResponses:   counters.abortedResponses.Load(),
		Open:               int64(open),
		InFlight:           counters.inFlight.Load(),
	}
}
