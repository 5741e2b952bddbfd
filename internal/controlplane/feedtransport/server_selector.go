package feedtransport

import (
	"errors"
	"time"
)

// Limits of a client's choice between servers.
const (
	// SilentAfter is how long a server may send nothing before the client leaves it.
	SilentAfter = 900 * time.Millisecond
	// LoopbackSilentAfter is the same for the agent of the own machine.
	LoopbackSilentAfter = 5 * time.Second
	// StaleAfter is how long a server may not be current before the client leaves it, where there is another. Once a
	// server was left for that, the client looks at all others in turn, each for little longer than it takes to say
	// whether it is current: several may be cut off together. If none is, it stays with each for twice as long.
	StaleAfter = 900 * time.Millisecond

	lookAfter     = 150 * time.Millisecond // how long a server of that round is kept that says that it is not current
	hearAfter     = 450 * time.Millisecond // the same of one that has not said anything yet
	dialShortest  = 100 * time.Millisecond // that a first attempt may take, doubled with each failure up to DialLimit
	retryShortest = 20 * time.Millisecond  // wait before a new attempt
	retryLongest  = 500 * time.Millisecond // the same after several failures
	avoidShortest = 5 * time.Second        // a server that failed is used after the others for so long
	avoidLongest  = time.Minute
	nearerAfter   = 3 * time.Second  // on one connection, before a nearer server is tried
	spreadAfter   = 20 * time.Second // the same for an equally near one, where this node belongs
	stallSlack    = 250 * time.Millisecond
	stallGrace    = 150 * time.Millisecond
)

// Why a client leaves a server.
var (
	ErrSilent         = errors.New("feedlink: the server is silent")
	ErrNotCurrent     = errors.New("feedlink: the server is not current")
	ErrOtherPreferred = errors.New("feedlink: another server is preferred")
)

// ChoiceOptions say between which servers a client chooses; zero durations stand for the constants.
type ChoiceOptions struct {
	Node, Zone, Region string
	Seeds              []string // addresses of keepers, "ip:port", of which the IP counts
	FeedPort           int      // port of the feed at all keepers
	Fixed              string   // if not empty: the only server's address; Seeds are not used
	SilentAfter        time.Duration
	StaleAfter         time.Duration
}

// Choice decides which server a client uses, when it tries and when it leaves. It has no clock and
// no I/O; times must come from one monotonic clock. It is used by one goroutine.
type Choice struct {
	options    ChoiceOptions
	random     func() float64 // uniform in [0, 1)
	candidates candidateList

	using       *candidate // nil: none
	failures    int        // attempts in a row that met no current server
	staleLeaves int        // servers in a row that were left because they were not current

	connectedAt time.Time
	heardAt     time.Time
	staleSince  time.Time
	told        bool    // the connection has had a status
	current     bool    // by the last one
	patience    float64 // factor of nearerAfter and spreadAfter, drawn for each connection
}

// NewChoice prepares a choice; random returns numbers uniform in [0, 1).
func NewChoice(options ChoiceOptions, random func() float64) *Choice {
	if options.SilentAfter == 0 {
		options.SilentAfter = SilentAfter
	}
	if options.StaleAfter == 0 {
		options.StaleAfter = StaleAfter
	}
	choice := &Choice{options: options, random: random}
	choice.candidates = newCandidateList(options)
	return choice
}

// Next chooses the server of the next attempt and says how long to wait before it. The address is
// empty if no server is known.
func (c *Choice) Next(now time.Time) (address string, wait time.Duration) {
	c.using = c.candidates.best(now)
	if c.using == nil {
		return "", retryLongest
	}
	c.using.triedAt = now
	return c.using.address, c.retryWait()
}

// retryWait draws the wait before an attempt, from a range that doubles with each failure.
func (c *Choice) retryWait() time.Duration {
	if c.failures == 0 {
		return 0
	}
	longest := retryShortest
	for i := 0; i < c.failures && longest < retryLongest; i++ {
		longest *= 2
	}
	longest = min(longest, retryLongest)
	return retryShortest + time.Duration(c.random()*float64(longest-retryShortest))
}

// DialLimit is how long the attempt may take to connect. The first ones are short: a machine that is down says
// nothing, and the next one may be up.
func (c *Choice) DialLimit() time.Duration {
	limit := dialShortest
	for i := 0; i < c.failures && limit < DialLimit; i++ {
		limit *= 2
	}
	return min(limit, DialLimit)
}

// Connected notes that the attempt's connection is open.
func (c *Choice) Connected(now time.Time) {
	c.connectedAt = now
	c.heardAt = now
	c.staleSince = now
	c.told, c.current = false, false
	c.patience = 1 + c.random()
}

// Heard notes that bytes have come.
func (c *Choice) Heard(now time.Time) { c.heardAt = now }

// Status notes what the server says of itself and of the keepers.
func (c *Choice) Status(now time.Time, status Status) {
	c.candidates.learn(status.Keepers)
	wasCurrent := c.current
	c.told, c.current = true, status.Current()
	switch {
	case c.current:
		c.failures, c.staleLeaves = 0, 0
		c.using.failures = 0
		c.using.avoidUntil = time.Time{}
	case wasCurrent:
		c.staleSince = now
	}
}

// Deadline says when Check has to be called at the latest if nothing comes before.
func (c *Choice) Deadline() time.Time {
	deadline := c.silentAt()
	if c.minds() && c.staleAt().Before(deadline) {
		deadline = c.staleAt()
	}
	return deadline
}

// Check returns why the server is to be left now, or nil. Where the call comes so late that
// the process itself must have stood still, the server gets a moment to be heard.
func (c *Choice) Check(now time.Time) error {
	switch {
	case !now.Before(c.silentAt()):
		if now.Sub(c.silentAt()) > stallSlack {
			c.heardAt = now.Add(stallGrace - c.options.SilentAfter)
			return nil
		}
		return ErrSilent
	case c.minds() && !now.Before(c.staleAt()):
		if now.Sub(c.staleAt()) > stallSlack {
			c.staleSince = now.Add(stallGrace - c.stalePatience())
			return nil
		}
		return ErrNotCurrent
	case c.current && c.prefersOther(now):
		return ErrOtherPreferred
	}
	return nil
}

// Ended notes that the attempt failed, or why its connection ended.
func (c *Choice) Ended(now time.Time, reason error) {
	used := c.using
	c.using = nil
	if used == nil || errors.Is(reason, ErrOtherPreferred) {
		return
	}
	if errors.Is(reason, ErrNotCurrent) {
		c.staleLeaves++
	}
	c.failures++
	used.failures++
	used.avoidUntil = now.Add(avoidFor(used.failures))
}

func avoidFor(failures int) time.Duration {
	wait := avoidShortest
	for i := 1; i < failures && wait < avoidLongest; i++ {
		wait *= 2
	}
	return min(wait, avoidLongest)
}

func (c *Choice) silentAt() time.Time { return c.heardAt.Add(c.options.SilentAfter) }

func (c *Choice) staleAt() time.Time { return c.staleSince.Add(c.stalePatience()) }

func (c *Choice) stalePatience() time.Duration {
	switch {
	case c.staleLeaves == 0:
		return c.options.StaleAfter
	case c.staleLeaves < c.candidates.len() && c.told:
		return min(lookAfter, c.options.StaleAfter)
	case c.staleLeaves < c.candidates.len():
		return min(hearAfter, c.options.StaleAfter)
	}
	return 2 * c.options.StaleAfter
}

// minds tells whether it matters that the server is not current.
func (c *Choice) minds() bool { return !c.current && c.candidates.len() > 1 }

// prefersOther tells whether a server that suits this node better is worth a new connection.
func (c *Choice) prefersOther(now time.Time) bool {
	best := c.candidates.best(now)
	if best == nil || best == c.using || best.avoided(now) {
		return false
	}
	held := float64(now.Sub(c.connectedAt))
	if best.distance < c.using.distance {
		return held >= c.patience*float64(nearerAfter)
	}
	return held >= c.patience*float64(spreadAfter)
}
