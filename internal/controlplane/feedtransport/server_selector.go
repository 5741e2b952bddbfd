package feedtransport

import (
	"errors"
	"time"
)

// Limits of a client's choice between servers.
const (
	// ReceiveTimeout is how long a server may send nothing before the client leaves it.
	ReceiveTimeout = 900 * time.Millisecond
	// LoopbackReceiveTimeout is the same for the agent of the own machine.
	LoopbackReceiveTimeout = 5 * time.Second
	// StaleTimeout is how long a server may not be current before the client leaves it, where there is another. Once a
	// server was left for that, the client looks at all others in turn, each for little longer than it takes to say
	// whether it is current: several may be cut off together. If none is, it stays with each for twice as long.
	StaleTimeout = 900 * time.Millisecond

	scanStaleTimeout  = 150 * time.Millisecond // how long a server of that round is kept that says that it is not current
	scanSilentTimeout = 450 * time.Millisecond // the same of one that has not said anything yet
	minDialTimeout    = 100 * time.Millisecond // that a first attempt may take, doubled with each failure up to DialLimit
	minRetryBackoff   = 20 * time.Millisecond  // wait before a new attempt
	maxRetryBackoff   = 500 * time.Millisecond // the same after several failures
	minAvoidance      = 5 * time.Second        // a server that failed is used after the others for so long
	maxAvoidance      = time.Minute
	preferNearerAfter = 3 * time.Second  // on one connection, before a nearer server is tried
	rebalanceAfter    = 20 * time.Second // the same for an equally near one, where this node belongs
	stallSlack        = 250 * time.Millisecond
	stallGrace        = 150 * time.Millisecond
)

// Why a client leaves a server.
var (
	ErrReceiveTimeout = errors.New("feedlink: the server is silent")
	ErrNotCurrent     = errors.New("feedlink: the server is not current")
	ErrOtherPreferred = errors.New("feedlink: another server is preferred")
)

// SelectorOptions say between which servers a client chooses; zero durations stand for the constants.
type SelectorOptions struct {
	Node, Zone, Region string
	Seeds              []string // addresses of keepers, "ip:port", of which the IP counts
	FeedPort           int      // port of the feed at all keepers
	FixedServer        string   // if not empty: the only server's address; Seeds are not used
	ReceiveTimeout     time.Duration
	StaleTimeout       time.Duration
}

// ServerSelector decides which server a client uses, when it tries and when it leaves. It has no clock and
// no I/O; times must come from one monotonic clock. It is used by one goroutine.
type ServerSelector struct {
	options    SelectorOptions
	random     func() float64 // uniform in [0, 1)
	candidates candidateList

	server        *candidate // nil: none
	failures      int        // attempts in a row that met no current server
	staleSwitches int        // servers in a row that were left because they were not current

	connectedAt     time.Time
	receivedAt      time.Time
	staleSince      time.Time
	statusReceived  bool    // the connection has had a status
	current         bool    // by the last one
	rebalanceJitter float64 // factor of nearerAfter and spreadAfter, drawn for each connection
}

// NewServerSelector prepares a choice; random returns numbers uniform in [0, 1).
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

// Next chooses the server of the next attempt and says how long to wait before it. The address is
// empty if no server is known.
func (c *ServerSelector) Next(now time.Time) (address string, wait time.Duration) {
	c.server = c.candidates.best(now)
	if c.server == nil {
		return "", maxRetryBackoff
	}
	c.server.attemptedAt = now
	return c.server.address, c.retryBackoff()
}

// retryBackoff draws the wait before an attempt, from a range that doubles with each failure.
func (c *ServerSelector) retryBackoff() time.Duration {
	if c.failures == 0 {
		return 0
	}
	maximum := minRetryBackoff
	for i := 0; i < c.failures && maximum < maxRetryBackoff; i++ {
		maximum *= 2
	}
	maximum = min(maximum, maxRetryBackoff)
	return minRetryBackoff + time.Duration(c.random()*float64(maximum-minRetryBackoff))
}

// DialTimeout is how long the attempt may take to connect. The first ones are short: a machine that is down says
// nothing, and the next one may be up.
func (c *ServerSelector) DialTimeout() time.Duration {
	limit := minDialTimeout
	for i := 0; i < c.failures && limit < DialTimeout; i++ {
		limit *= 2
	}
	return min(limit, DialTimeout)
}

// Connected notes that the attempt's connection is open.
func (c *ServerSelector) Connected(now time.Time) {
	c.connectedAt = now
	c.receivedAt = now
	c.staleSince = now
	c.statusReceived, c.current = false, false
	c.rebalanceJitter = 1 + c.random()
}

// Received notes that bytes have come.
func (c *ServerSelector) Received(now time.Time) { c.receivedAt = now }

// ObserveStatus notes what the server says of itself and of the keepers.
func (c *ServerSelector) ObserveStatus(now time.Time, status Status) {
	c.candidates.update(status.Servers)
	wasCurrent := c.current
	c.statusReceived, c.current = true, status.Current()
	switch {
	case c.current:
		c.failures, c.staleSwitches = 0, 0
		c.server.failures = 0
		c.server.avoidUntil = time.Time{}
	case wasCurrent:
		c.staleSince = now
	}
}

// Deadline says when Check has to be called at the latest if nothing comes before.
func (c *ServerSelector) Deadline() time.Time {
	deadline := c.receiveDeadline()
	if c.staleMatters() && c.staleDeadline().Before(deadline) {
		deadline = c.staleDeadline()
	}
	return deadline
}

// Check returns why the server is to be left now, or nil. Where the call comes so late that
// the process itself must have stood still, the server gets a moment to be heard.
func (c *ServerSelector) Check(now time.Time) error {
	switch {
	case !now.Before(c.receiveDeadline()):
		if now.Sub(c.receiveDeadline()) > stallSlack {
			c.receivedAt = now.Add(stallGrace - c.options.ReceiveTimeout)
			return nil
		}
		return ErrReceiveTimeout
	case c.staleMatters() && !now.Before(c.staleDeadline()):
		if now.Sub(c.staleDeadline()) > stallSlack {
			c.staleSince = now.Add(stallGrace - c.staleTimeout())
			return nil
		}
		return ErrNotCurrent
	case c.current && c.prefersOther(now):
		return ErrOtherPreferred
	}
	return nil
}

// AttemptEnded notes that the attempt failed, or why its connection ended.
func (c *ServerSelector) AttemptEnded(now time.Time, reason error) {
	used := c.server
	c.server = nil
	if used == nil || errors.Is(reason, ErrOtherPreferred) {
		return
	}
	if errors.Is(reason, ErrNotCurrent) {
		c.staleSwitches++
	}
	c.failures++
	used.failures++
	used.avoidUntil = now.Add(avoidanceAfter(used.failures))
}

func avoidanceAfter(failures int) time.Duration {
	wait := minAvoidance
	for i := 1; i < failures && wait < maxAvoidance; i++ {
		wait *= 2
	}
	return min(wait, maxAvoidance)
}

func (c *ServerSelector) receiveDeadline() time.Time {
	return c.receivedAt.Add(c.options.ReceiveTimeout)
}

func (c *ServerSelector) staleDeadline() time.Time { return c.staleSince.Add(c.staleTimeout()) }

func (c *ServerSelector) staleTimeout() time.Duration {
	switch {
	case c.staleSwitches == 0:
		return c.options.StaleTimeout
	case c.staleSwitches < c.candidates.len() && c.statusReceived:
		return min(scanStaleTimeout, c.options.StaleTimeout)
	case c.staleSwitches < c.candidates.len():
		return min(scanSilentTimeout, c.options.StaleTimeout)
	}
	return 2 * c.options.StaleTimeout
}

// staleMatters tells whether it matters that the server is not current.
func (c *ServerSelector) staleMatters() bool { return !c.current && c.candidates.len() > 1 }

// prefersOther tells whether a server that suits this node better is worth a new connection.
func (c *ServerSelector) prefersOther(now time.Time) bool {
	best := c.candidates.best(now)
	if best == nil || best == c.server || best.avoided(now) {
		return false
	}
	connectedFor := float64(now.Sub(c.connectedAt))
	if best.distance < c.server.distance {
		return connectedFor >= c.rebalanceJitter*float64(preferNearerAfter)
	}
	return connectedFor >= c.rebalanceJitter*float64(rebalanceAfter)
}
