package feedtransport

import (
	"errors"
	"time"
)

// Timeouts of a connection to a server.
const (
	// ReceiveTimeout is how long a server may be silent before the client leaves it.
	ReceiveTimeout = 900 * time.Millisecond
	// LoopbackReceiveTimeout is the ReceiveTimeout for the agent on the same machine.
	LoopbackReceiveTimeout = 5 * time.Second
	// StaleTimeout is how long a server may be stale (not current) before the client leaves it, provided that there is another
	// one. After the client has left a stale or silent server, it scans the other servers, and stays with each little longer
	// than it takes to receive a status: several servers may be partitioned, or frozen, at the same time. If no server is
	// current, it doubles the time per server in each further round, up to twice the StaleTimeout. After an outage of all
	// servers, it thus soon leaves those that are still partitioned for one that is current.
	StaleTimeout = 900 * time.Millisecond

	scanStaleTimeout  = 150 * time.Millisecond // during a scan, for a server whose status is not current
	scanSilentTimeout = 450 * time.Millisecond // during a scan, for a server that has sent no status yet
	minDialTimeout    = 100 * time.Millisecond // of the first attempt; doubled with each failure, up to DialTimeout
)

// Delays between attempts and between connections.
const (
	minRetryBackoff = 20 * time.Millisecond
	maxRetryBackoff = 500 * time.Millisecond

	// A server that failed is used only after all others for minAvoidance, doubled with each failure, up to maxAvoidance.
	minAvoidance = 5 * time.Second
	maxAvoidance = time.Minute

	preferNearerAfter = 3 * time.Second  // age of a connection from which a nearer server is preferred
	rebalanceAfter    = 20 * time.Second // age of a connection from which an equally near server of a higher rank is preferred
)

// If a deadline is noticed more than stallSlack late, this process itself has stalled. What the server has sent meanwhile may
// still be unread, so the deadline is extended by stallGrace.
const (
	stallSlack = 250 * time.Millisecond
	stallGrace = 150 * time.Millisecond
)

// Reasons for which a client leaves a server.
var (
	// ErrReceiveTimeout means that the server has sent nothing for the ReceiveTimeout.
	ErrReceiveTimeout = errors.New("feedtransport: no data received from the server within the timeout")
	// ErrNotCurrent means that the server was not current for the StaleTimeout.
	ErrNotCurrent = errors.New("feedtransport: the server's state is not current")
	// ErrOtherPreferred means that a server that is nearer, or of a higher rank, is available.
	ErrOtherPreferred = errors.New("feedtransport: another server is preferred")
)

// SelectorOptions configure the servers among which a client chooses. A zero duration stands for the constant of that name.
type SelectorOptions struct {
	Node, Zone, Region string   // of the client
	Seeds              []string // addresses of control plane servers, "ip:port", of which only the IP is used
	FeedPort           int      // port of the feed, the same on all servers
	FixedServer        string   // address of the only server to use, instead of Seeds; empty: none
	ReceiveTimeout     time.Duration
	StaleTimeout       time.Duration
}

// ServerSelector decides which server a client uses, when the client attempts to connect and when it leaves the server. It
// neither reads the clock nor does I/O; all times passed to it must come from the same monotonic clock. Only the goroutine of
// Client.Run uses it.
type ServerSelector struct {
	options    SelectorOptions
	random     func() float64 // uniform in [0, 1)
	candidates candidateList

	// Attempts.
	server   *candidate // server in use; nil: none
	failures int        // consecutive attempts that found no current server
	scanned  int        // number of servers left in a row because they were silent or not current

	// State of the current connection.
	connectedAt     time.Time
	receivedAt      time.Time // when bytes last arrived
	staleSince      time.Time
	statusReceived  bool
	current         bool    // as of the last status
	rebalanceJitter float64 // random factor in [1, 2) of preferNearerAfter and rebalanceAfter, drawn for each connection
}

// NewServerSelector returns a selector for a client that is not connected yet. random must return numbers uniformly distributed
// in [0, 1).
func NewServerSelector(options SelectorOptions, random func() float64) *ServerSelector {
	if options.ReceiveTimeout == 0 {
		options.ReceiveTimeout = ReceiveTimeout
	}
	if options.StaleTimeout == 0 {
		options.StaleTimeout = StaleTimeout
	}
	selector := &ServerSelector{options: options, random: random}
	selector.candidates = newCandidateList(options)
	return selector
}

// SetSeeds replaces the seeds. Servers that the last status listed remain candidates.
func (s *ServerSelector) SetSeeds(seeds []string) {
	s.options.Seeds = seeds
	s.candidates.setSeeds(seeds)
}

// Next selects the server for the next attempt. It returns the address of the server, which is empty if no server is known, and
// the backoff before the attempt.
func (s *ServerSelector) Next(now time.Time) (address string, wait time.Duration) {
	s.server = s.candidates.best(now)
	if s.server == nil {
		return "", maxRetryBackoff
	}
	s.server.attemptedAt = now
	return s.server.address, s.retryBackoff()
}

// retryBackoff returns a random delay before an attempt, from a range whose upper end doubles with each failure.
func (s *ServerSelector) retryBackoff() time.Duration {
	if s.failures == 0 {
		return 0
	}
	maximum := minRetryBackoff
	for i := 0; i < s.failures && maximum < maxRetryBackoff; i++ {
		maximum *= 2
	}
	maximum = min(maximum, maxRetryBackoff)
	return minRetryBackoff + time.Duration(s.random()*float64(maximum-minRetryBackoff))
}

// AttemptTimeout returns how long the attempt may take to connect, which is at most DialTimeout. The first attempts have short
// timeouts, since a machine that is down does not answer at all, while the next one may be up.
func (s *ServerSelector) AttemptTimeout() time.Duration {
	limit := minDialTimeout
	for i := 0; i < s.failures && limit < DialTimeout; i++ {
		limit *= 2
	}
	return min(limit, DialTimeout)
}

// Connected records that the attempt has opened a connection.
func (s *ServerSelector) Connected(now time.Time) {
	s.connectedAt = now
	s.receivedAt = now
	s.staleSince = now
	s.statusReceived, s.current = false, false
	s.rebalanceJitter = 1 + s.random()
}

// Received records that bytes have arrived.
func (s *ServerSelector) Received(now time.Time) { s.receivedAt = now }

// ObserveStatus records a status of the server: whether the server is current, and which servers it lists.
func (s *ServerSelector) ObserveStatus(now time.Time, status Status) {
	s.candidates.update(status.Servers)
	wasCurrent := s.current
	s.statusReceived, s.current = true, status.Current()
	switch {
	case s.current:
		s.failures, s.scanned = 0, 0
		s.server.failures = 0
		s.server.avoidUntil = time.Time{}
	case wasCurrent:
		s.staleSince = now
	}
}

// Deadline returns the time at which Check must be called unless data arrives earlier.
func (s *ServerSelector) Deadline() time.Time {
	deadline := s.receiveDeadline()
	if s.staleTimeoutApplies() && s.staleDeadline().Before(deadline) {
		deadline = s.staleDeadline()
	}
	return deadline
}

// Check returns the reason for which the client must leave the server now, or nil. If the call is so late that this process
// itself must have stalled, the server gets another stallGrace first.
func (s *ServerSelector) Check(now time.Time) error {
	switch {
	case !now.Before(s.receiveDeadline()):
		if now.Sub(s.receiveDeadline()) > stallSlack {
			s.receivedAt = now.Add(stallGrace - s.options.ReceiveTimeout)
			return nil
		}
		return ErrReceiveTimeout
	case s.staleTimeoutApplies() && !now.Before(s.staleDeadline()):
		if now.Sub(s.staleDeadline()) > stallSlack {
			s.staleSince = now.Add(stallGrace - s.staleTimeout())
			return nil
		}
		return ErrNotCurrent
	case s.current && s.prefersOther(now):
		return ErrOtherPreferred
	}
	return nil
}

// AttemptEnded records the reason why the attempt failed or its connection ended.
func (s *ServerSelector) AttemptEnded(now time.Time, reason error) {
	used := s.server
	s.server = nil
	if used == nil || errors.Is(reason, ErrOtherPreferred) {
		return
	}
	if errors.Is(reason, ErrNotCurrent) || errors.Is(reason, ErrReceiveTimeout) {
		s.scanned++
	}
	s.failures++
	used.failures++
	used.avoidUntil = now.Add(avoidanceAfter(used.failures))
}

// avoidanceAfter returns how long a server is avoided after a number of consecutive failures.
func avoidanceAfter(failures int) time.Duration {
	wait := minAvoidance
	for i := 1; i < failures && wait < maxAvoidance; i++ {
		wait *= 2
	}
	return min(wait, maxAvoidance)
}

// receiveDeadline returns when the client leaves the server unless the server sends something.
func (s *ServerSelector) receiveDeadline() time.Time {
	return s.receivedAt.Add(s.options.ReceiveTimeout)
}

// staleDeadline returns when the client leaves the server unless the server becomes current.
func (s *ServerSelector) staleDeadline() time.Time { return s.staleSince.Add(s.staleTimeout()) }

// staleTimeout returns how long the server in use may be stale; see StaleTimeout.
func (s *ServerSelector) staleTimeout() time.Duration {
	if s.scanned == 0 {
		return s.options.StaleTimeout
	}
	timeout := scanStaleTimeout
	if !s.statusReceived {
		timeout = scanSilentTimeout
	}
	timeout = min(timeout, s.options.StaleTimeout)
	limit := 2 * s.options.StaleTimeout
	for round := s.scanned / max(s.candidates.len(), 1); round > 0 && timeout < limit; round-- {
		timeout *= 2
	}
	return min(timeout, limit)
}

// staleTimeoutApplies reports whether the server is not current and there are others to use instead.
func (s *ServerSelector) staleTimeoutApplies() bool { return !s.current && s.candidates.len() > 1 }

// prefersOther reports whether a preferred server is available and the connection is old enough to be replaced.
func (s *ServerSelector) prefersOther(now time.Time) bool {
	best := s.candidates.best(now)
	if best == nil || best == s.server || best.avoided(now) {
		return false
	}
	connectedFor := float64(now.Sub(s.connectedAt))
	if best.distance < s.server.distance {
		return connectedFor >= s.rebalanceJitter*float64(preferNearerAfter)
	}
	return connectedFor >= s.rebalanceJitter*float64(rebalanceAfter)
}
