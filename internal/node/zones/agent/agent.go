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
	refreshInterval = 100 * time.Millisecond
	// A start is told within a multiple of the usual wait for one and this, or the step
	// counts as silent.
	startTimeoutBase   = 400 * time.Millisecond
	startTimeoutFactor = 4
	startWaitSamples   = 16.0
	stallThreshold     = time.Second // a look that comes so much too late: the process has stood still
	retryAfter         = time.Second // for who is not let in while the fleet lacks capacity
)

// Dispatcher is the node's, as the agent needs it.
type Dispatcher interface {
	ZoneShares(balance.ZoneShares)
	Zones() []balance.ZoneView
}

// Reporter reports to voters.
type Reporter interface {
	Report(ctx context.Context, address string, r follower.Report) (follower.Response, error)
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
	ReportsStart      bool
	Settings          follower.Settings
	Incarnation       uint64
	Rand              *rand.Rand
	ZoneOf            func(balance.WorkerID) (string, bool)
	// Apart from the deadlines of the loop nothing here needs a clock of its own.
	Timers        *timerqueue.Queue
	DisabledCheck string // a check left out, for trials
}

// pendingStep is a route step that is out.
type pendingStep struct {
	zone     string
	class    int
	slots    float64
	sentAt   time.Duration
	started  time.Duration // 0: not yet
	timedOut bool          // has been counted as such
}

// Agent is the fleet's part in a node.
type Agent struct {
	config        Config
	loop          Loop
	dispatcher    Dispatcher
	reporter      Reporter
	follower      *follower.Follower
	rng           *rand.Rand
	voters        []Voter // the near ones first
	failedReports int     // voters asked in vain
	reporting     bool
	reportedAt    time.Duration
	steps         map[slottable.Handle]*pendingStep
	meanStartWait float64 // usual seconds from a send to its start
	shares        []float64
	failed        []int
	leased        bool
	stopped       bool
	refreshedAt   time.Duration
	ctx           context.Context
	cancel        context.CancelFunc
}

// New makes an agent; Start sets it going. It belongs to the loop.
func New(config Config, loop Loop, dispatcher Dispatcher, reporter Reporter) *Agent {
	a := &Agent{config: config, loop: loop, dispatcher: dispatcher, reporter: reporter, rng: config.Rand, steps: map[slottable.Handle]*pendingStep{},
		follower: follower.New(loop.Now(), config.Settings, config.Fleet, config.Name, config.Zone, config.Incarnation, len(config.Classes), config.Rand)}
	a.ctx, a.cancel = context.WithCancel(context.Background())
	a.voters = slices.Clone(config.Voters)
	// Those of the own zone first; among the others each process has an order of its own,
	// so that who is left without a voter does not run to the same next one.
	a.rng.Shuffle(len(a.voters), func(i, j int) { a.voters[i], a.voters[j] = a.voters[j], a.voters[i] })
	slices.SortStableFunc(a.voters, func(x, y Voter) int { return distance(x, config.Zone) - distance(y, config.Zone) })
	return a
}

func distance(v Voter, zone string) int {
	if v.Zone == zone {
		return 0
	}
	return 1
}

// Start begins to report and to go by the orders.
func (a *Agent) Start() {
	a.report()
	a.refresh()
}

// Stop ends it: the node leaves.
func (a *Agent) Stop() {
	a.stopped = true
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
	if a.stopped {
		return
	}
	now := a.loop.Now()
	report, interval := a.follower.Report(now)
	a.config.Timers.Add(now+interval, a.report)
	if a.reporting {
		return
	}
	a.reporting, a.reportedAt = true, now
	voter := a.voters[a.failedReports%len(a.voters)]
	go func() {
		answer, err := a.reporter.Report(a.ctx, voter.Address, report)
		a.loop.Post(func() { a.handleResponse(now, answer, err) })
	}()
}

func (a *Agent) handleResponse(sent time.Duration, response follower.Response, err error) {
	a.reporting = false
	if a.stopped {
		return
	}
	if err != nil || response.Lease <= 0 {
		a.failedReports++ // another voter may do better
		return
	}
	before := a.follower.Epoch()
	if a.follower.HandleResponse(a.loop.Now(), sent, response) && a.follower.Epoch() != before {
		slog.Info("fleet orders", "epoch", a.follower.Epoch(), "zones", unusualZones(a.follower.Table()))
	}
	a.applyShares()
}

func unusualZones(table *commands.Table) (out []string) {
	for _, name := range slices.Sorted(maps.Keys(table.Zones)) {
		if z := table.Zones[name]; z.Phase != commands.PhaseActive || len(z.UnreachableFrom) > 0 {
			out = append(out, name+" "+z.Phase.String())
		}
	}
	return out
}

// refresh keeps the evidence and the shares up to date.
func (a *Agent) refresh() {
	if a.stopped {
		return
	}
	now := a.loop.Now()
	a.config.Timers.Add(now+refreshInterval, a.refresh)
	if a.refreshedAt > 0 && now-a.refreshedAt > refreshInterval+stallThreshold {
		// What is out has waited for this process, not for the prep workers.
		slog.Warn("fleet: this process has stood still", "for", now-a.refreshedAt)
		a.follower.ResetAfterStall(now)
		clear(a.steps)
	}
	a.refreshedAt = now
	startTimeout := a.startTimeout()
	for _, s := range a.steps {
		if s.started == 0 && !s.timedOut && now-s.sentAt > startTimeout {
			s.timedOut = true
			a.follower.Monitor().RecordOutcome(now, s.sentAt, s.zone, health.StepCounts{TimedOut: 1})
		}
	}
	for _, z := range a.dispatcher.Zones() {
		a.follower.Monitor().SetCapacity(now, a.zoneName(z.Zone), z.Slots, z.Cold)
	}
	a.applyShares()
}

// startTimeout is how long a step may give no sign. Where starts are not told, its end has to
// come within that.
func (a *Agent) startTimeout() time.Duration {
	return startTimeoutBase + time.Duration(startTimeoutFactor*a.meanStartWait*float64(time.Second))
}

func (a *Agent) zoneName(zone int) string {
	if zone >= 0 && zone < len(a.config.Zones) {
		return a.config.Zones[zone]
	}
	return "?"
}

// applyShares hands the module the zones' shares, where they have changed.
func (a *Agent) applyShares() {
	now := a.loop.Now()
	if leased := a.follower.HasLease(now); leased != a.leased {
		a.leased = leased
		slog.Info("fleet", "led", leased, "epoch", a.follower.Epoch())
	}
	byZone := a.follower.Shares(now, a.config.Zones)
	shares, unrestricted := make([]float64, len(a.config.Zones)), true
	var failed []int
	for i, zone := range a.config.Zones {
		shares[i] = byZone[zone]
		unrestricted = unrestricted && shares[i] == 1
		if z := a.follower.Table().Zone(zone); a.leased && z.Phase == commands.PhaseEvacuated && z.Failures > 0 {
			failed = append(failed, i)
		}
	}
	if unrestricted || a.config.DisabledCheck == "share" {
		shares, failed = nil, nil
	}
	if slices.Equal(shares, a.shares) && slices.Equal(failed, a.failed) {
		return
	}
	a.shares, a.failed = shares, failed
	a.dispatcher.ZoneShares(balance.ZoneShares{Shares: shares, Failed: failed})
}

// Admit tells whether an operation is let in.
func (a *Agent) Admit(class int) (time.Duration, bool) {
	if class < 0 || class >= len(a.config.ClassNames) {
		return 0, true
	}
	fraction := a.follower.AdmittedFraction(a.loop.Now(), a.config.ClassNames[class])
	// Come back when the next step of a return may have been earned, not all at once.
	return retryAfter/2 + time.Duration(a.rng.Float64()*float64(retryAfter)), fraction >= 1 || a.rng.Float64() < fraction
}

// StepSent notes a route step.
func (a *Agent) StepSent(ref slottable.Handle, to balance.WorkerID, class int, slots float64) {
	zone, ok := a.config.ZoneOf(to)
	if !ok {
		return
	}
	now := a.loop.Now()
	a.steps[ref] = &pendingStep{zone: zone, class: class, slots: slots, sentAt: now}
	a.follower.Monitor().RecordSent(now, zone, class, 0)
}

// StepStarted notes that it has begun to run.
func (a *Agent) StepStarted(ref slottable.Handle) {
	s := a.steps[ref]
	if s == nil || s.started > 0 {
		return
	}
	s.started = a.loop.Now()
	a.learnStartWait(s.started - s.sentAt)
}

func (a *Agent) learnStartWait(wait time.Duration) {
	w := min(wait, 4*startTimeoutBase).Seconds() // one odd wait does not make the node patient
	a.meanStartWait += (w - a.meanStartWait) / startWaitSamples
}

// StepEnded notes how it ended.
func (a *Agent) StepEnded(ref slottable.Handle, outcome balance.Outcome) {
	s := a.steps[ref]
	if s == nil {
		return
	}
	delete(a.steps, ref)
	now := a.loop.Now()
	monitor := a.follower.Monitor()
	startedAt := s.started
	if startedAt == 0 {
		startedAt = s.sentAt
	}
	switch outcome {
	case balance.Served:
		counts := health.StepCounts{Succeeded: 1}
		class := a.config.Classes[s.class]
		if run := now - startedAt; now-s.sentAt-time.Duration(class.Stretch*float64(run)) > class.Aim {
			counts.Late = 1
		}
		if s.started == 0 && !a.config.ReportsStart {
			a.learnStartWait(now - s.sentAt)
		}
		monitor.RecordWork(now, s.zone, s.class, (now-startedAt).Seconds()*s.slots)
		monitor.RecordOutcome(now, s.sentAt, s.zone, counts)
	case balance.Full:
		monitor.RecordOutcome(now, s.sentAt, s.zone, health.StepCounts{Succeeded: 1}) // it lives, and says so
	case balance.Errored, balance.ConnectFailed, balance.Reset:
		monitor.RecordOutcome(now, s.sentAt, s.zone, health.StepCounts{Failed: 1})
	case balance.TimedOut:
		if s.started == 0 && !s.timedOut {
			monitor.RecordOutcome(now, s.sentAt, s.zone, health.StepCounts{TimedOut: 1})
		}
	}
}
