// Package agent is the fleet's part in a node: it sees how the node's route steps fare by
// zone, tells a voter, and has the node go by the orders that come back. All of it runs on
// the node's loop but the calls, of which there is one at a time.
package agent

import (
	"context"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"ospreybend/balance"
	"ospreybend/internal/node/slottable"
	"ospreybend/internal/node/timerqueue"
	"ospreybend/internal/node/zones/commands"
	"ospreybend/internal/node/zones/follower"
	"ospreybend/internal/node/zones/health"
)

const (
	lookEvery = 100 * time.Millisecond
	// A start is told within a multiple of the usual wait for one and this, or the step
	// counts as silent.
	silentOver  = 400 * time.Millisecond
	silentTimes = 4
	waitMemory  = 16.0
	stalled     = time.Second // a look that comes so much too late: the process has stood still
	comeBack    = time.Second // for who is not let in while the fleet lacks capacity
)

// Core is the node's, as the agent needs it.
type Core interface {
	ZoneShares(balance.ZoneShares)
	Zones() []balance.ZoneView
}

// Caller reports to voters.
type Caller interface {
	Report(ctx context.Context, address string, r follower.Report) (follower.Answer, error)
}

// Loop is the node's event loop.
type Loop interface {
	Now() time.Duration
	Post(func())
}

// Voter is where a voter is.
type Voter struct{ Zone, Address string }

// Config is what the agent is told.
type Config struct {
	Fleet, Name, Zone string
	Voters            []Voter
	Zones             []string // by their numbers in listings
	Classes           []balance.Class
	ClassNames        []string
	TellsStart        bool
	Rules             follower.Rules
	Incarnation       uint64
	Rand              *rand.Rand
	ZoneOf            func(balance.WorkerID) (string, bool)
	// Apart from the deadlines of the loop nothing here needs a clock of its own.
	Due     *timerqueue.Line
	Without string // a check left out, for trials
}

// step is a route step that is out.
type step struct {
	zone    string
	class   int
	slots   float64
	sentAt  time.Duration
	started time.Duration // 0: not yet
	silent  bool          // has been counted as such
}

// Agent is the fleet's part in a node.
type Agent struct {
	config   Config
	loop     Loop
	core     Core
	caller   Caller
	follower *follower.Follower
	rng      *rand.Rand
	order    []Voter // the near ones first
	asks     int     // voters asked in vain
	asking   bool
	askAt    time.Duration
	steps    map[slottable.Ref]*step
	wait     float64 // usual seconds from a send to its start
	shares   []float64
	failed   []int
	led      bool
	ended    bool
	lookedAt time.Duration
	ctx      context.Context
	cancel   context.CancelFunc
}

// New makes an agent; Start sets it going. It belongs to the loop.
func New(c Config, loop Loop, core Core, caller Caller) *Agent {
	a := &Agent{config: c, loop: loop, core: core, caller: caller, rng: c.Rand, steps: map[slottable.Ref]*step{},
		follower: follower.New(loop.Now(), c.Rules, c.Fleet, c.Name, c.Zone, c.Incarnation, len(c.Classes), c.Rand)}
	a.ctx, a.cancel = context.WithCancel(context.Background())
	a.order = slices.Clone(c.Voters)
	// Those of the own zone first; among the others each process has an order of its own,
	// so that who is left without a voter does not run to the same next one.
	a.rng.Shuffle(len(a.order), func(i, j int) { a.order[i], a.order[j] = a.order[j], a.order[i] })
	slices.SortStableFunc(a.order, func(x, y Voter) int { return far(x, c.Zone) - far(y, c.Zone) })
	return a
}

func far(v Voter, zone string) int {
	if v.Zone == zone {
		return 0
	}
	return 1
}

// Start begins to report and to go by the orders.
func (a *Agent) Start() {
	a.report()
	a.look()
}

// Stop ends it: the node leaves.
func (a *Agent) Stop() {
	a.ended = true
	a.cancel()
}

// Ready tells whether the node may take work: it knows what the orders are, or has waited
// for them long enough.
func (a *Agent) Ready() bool { return a.follower.Ready(a.loop.Now()) }

// Follower is what the agent goes by.
func (a *Agent) Follower() *follower.Follower { return a.follower }

// report tells the voter whose turn it is. A call that is still out is left to end: its
// deadline is short.
func (a *Agent) report() {
	if a.ended {
		return
	}
	now := a.loop.Now()
	r, next := a.follower.Report(now)
	a.config.Due.Add(now+next, a.report)
	if a.asking {
		return
	}
	a.asking, a.askAt = true, now
	to := a.order[a.asks%len(a.order)]
	go func() {
		answer, err := a.caller.Report(a.ctx, to.Address, r)
		a.loop.Post(func() { a.answered(now, answer, err) })
	}()
}

func (a *Agent) answered(sent time.Duration, answer follower.Answer, err error) {
	a.asking = false
	if a.ended {
		return
	}
	if err != nil || answer.Lease <= 0 {
		a.asks++ // another voter may do better
		return
	}
	before := a.follower.Epoch()
	if a.follower.Heard(a.loop.Now(), sent, answer) && a.follower.Epoch() != before {
		slog.Info("fleet orders", "epoch", a.follower.Epoch(), "zones", describe(a.follower.Table()))
	}
	a.apply()
}

func describe(t *commands.Table) (out []string) {
	for _, name := range slices.Sorted(maps.Keys(t.Zones)) {
		if z := t.Zones[name]; z.Phase != commands.In || len(z.Cut) > 0 {
			out = append(out, name+" "+z.Phase.String())
		}
	}
	return out
}

// look keeps the evidence and the shares up to date.
func (a *Agent) look() {
	if a.ended {
		return
	}
	now := a.loop.Now()
	a.config.Due.Add(now+lookEvery, a.look)
	if a.lookedAt > 0 && now-a.lookedAt > lookEvery+stalled {
		// What is out has waited for this process, not for the prep workers.
		slog.Warn("fleet: this process has stood still", "for", now-a.lookedAt)
		a.follower.StoodStill(now)
		clear(a.steps)
	}
	a.lookedAt = now
	patience := a.patience()
	for _, s := range a.steps {
		if s.started == 0 && !s.silent && now-s.sentAt > patience {
			s.silent = true
			a.follower.Eyes().Note(now, s.sentAt, s.zone, health.Count{Silent: 1})
		}
	}
	for _, z := range a.core.Zones() {
		a.follower.Eyes().Knows(now, a.name(z.Zone), z.Slots, z.Cold)
	}
	a.apply()
}

// patience is how long a step may give no sign. Where starts are not told, its end has to
// come within that.
func (a *Agent) patience() time.Duration {
	return silentOver + time.Duration(silentTimes*a.wait*float64(time.Second))
}

func (a *Agent) name(zone int) string {
	if zone >= 0 && zone < len(a.config.Zones) {
		return a.config.Zones[zone]
	}
	return "?"
}

// apply hands the module the zones' shares, where they have changed.
func (a *Agent) apply() {
	now := a.loop.Now()
	if led := a.follower.Led(now); led != a.led {
		a.led = led
		slog.Info("fleet", "led", led, "epoch", a.follower.Epoch())
	}
	by := a.follower.Shares(now, a.config.Zones)
	shares, whole := make([]float64, len(a.config.Zones)), true
	var failed []int
	for i, zone := range a.config.Zones {
		shares[i] = by[zone]
		whole = whole && shares[i] == 1
		if z := a.follower.Table().Of(zone); a.led && z.Phase == commands.Left && z.Failures > 0 {
			failed = append(failed, i)
		}
	}
	if whole || a.config.Without == "share" {
		shares, failed = nil, nil
	}
	if slices.Equal(shares, a.shares) && slices.Equal(failed, a.failed) {
		return
	}
	a.shares, a.failed = shares, failed
	a.core.ZoneShares(balance.ZoneShares{Shares: shares, Failed: failed})
}

// Lets tells whether an operation is let in.
func (a *Agent) Lets(class int) (time.Duration, bool) {
	if class < 0 || class >= len(a.config.ClassNames) {
		return 0, true
	}
	part := a.follower.Admit(a.loop.Now(), a.config.ClassNames[class])
	// Come back when the next step of a return may have been earned, not all at once.
	return comeBack/2 + time.Duration(a.rng.Float64()*float64(comeBack)), part >= 1 || a.rng.Float64() < part
}

// StepSent notes a route step.
func (a *Agent) StepSent(ref slottable.Ref, to balance.WorkerID, class int, slots float64) {
	zone, ok := a.config.ZoneOf(to)
	if !ok {
		return
	}
	now := a.loop.Now()
	a.steps[ref] = &step{zone: zone, class: class, slots: slots, sentAt: now}
	a.follower.Eyes().Sent(now, zone, class, 0)
}

// StepStarted notes that it has begun to run.
func (a *Agent) StepStarted(ref slottable.Ref) {
	s := a.steps[ref]
	if s == nil || s.started > 0 {
		return
	}
	s.started = a.loop.Now()
	a.learn(s.started - s.sentAt)
}

func (a *Agent) learn(wait time.Duration) {
	w := min(wait, 4*silentOver).Seconds() // one odd wait does not make the node patient
	a.wait += (w - a.wait) / waitMemory
}

// StepEnded notes how it ended.
func (a *Agent) StepEnded(ref slottable.Ref, how balance.Outcome) {
	s := a.steps[ref]
	if s == nil {
		return
	}
	delete(a.steps, ref)
	now := a.loop.Now()
	eyes := a.follower.Eyes()
	began := s.started
	if began == 0 {
		began = s.sentAt
	}
	switch how {
	case balance.Served:
		c := health.Count{Good: 1}
		class := a.config.Classes[s.class]
		if run := now - began; now-s.sentAt-time.Duration(class.Stretch*float64(run)) > class.Aim {
			c.Late = 1
		}
		if s.started == 0 && !a.config.TellsStart {
			a.learn(now - s.sentAt)
		}
		eyes.Worked(now, s.zone, s.class, (now-began).Seconds()*s.slots)
		eyes.Note(now, s.sentAt, s.zone, c)
	case balance.Full:
		eyes.Note(now, s.sentAt, s.zone, health.Count{Good: 1}) // it lives, and says so
	case balance.Errored, balance.ConnectFailed, balance.Reset:
		eyes.Note(now, s.sentAt, s.zone, health.Count{Broken: 1})
	case balance.TimedOut:
		if s.started == 0 && !s.silent {
			eyes.Note(now, s.sentAt, s.zone, health.Count{Silent: 1})
		}
	}
}
