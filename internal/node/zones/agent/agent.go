// Package agent connects a node to the zones' voters.
//
// It records how the node's route steps end by zone, reports that to a voter, and applies the zone
// shares of the returned table to the node's dispatcher (package balance). Between reports package
// follower decides on leases and on shares without voters. Everything runs on the node's event loop
// except the calls to voters, of which at most one is in progress. cmd/ospreybend creates the agent.
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
	// A step whose start is not reported within the base plus a multiple of the mean wait counts as
	// timed out.
	startTimeoutBase   = 400 * time.Millisecond
	startTimeoutFactor = 4
	startWaitSamples   = 16.0        // weight of the history in the mean wait
	stallThreshold     = time.Second // a refresh that is so late shows that the process was paused
	meanRetryAfter     = time.Second // mean retry advice to rejected requests
)

// checkShares names a check for Config.DisabledCheck: the shares are applied to the dispatcher.
const checkShares = "share"

// Dispatcher is what the agent needs of the node's dispatcher.
type Dispatcher interface {
	ZoneShares(balance.ZoneShares)
	Zones() []balance.ZoneCapacity
}

// Reporter sends reports to voters; see transport.Client.
type Reporter interface {
	Report(ctx context.Context, address string, r follower.Report) (follower.Response, error)
}

// Loop is the node's event loop.
type Loop interface {
	Now() time.Duration
	Post(func())
}

// Voter is a voter's zone and address.
type Voter struct{ Zone, Address string }

// Config configures an agent.
type Config struct {
	Fleet, Name, Zone string
	Voters            []Voter
	Zones             []string // names by number in worker listings
	Classes           []balance.Class
	ClassNames        []string
	ReportsStart      bool
	Settings          follower.Settings
	Incarnation       uint64
	Rand              *rand.Rand
	ZoneOf            func(balance.WorkerID) (string, bool)
	Timers            *timerqueue.Queue
	DisabledCheck     string // a check to skip, for trials that show why it is needed
}

// pendingStep is a route step in flight.
type pendingStep struct {
	zone     string
	class    int
	slots    float64
	sentAt   time.Duration
	started  time.Duration // 0: not yet
	timedOut bool          // counted as timed out
}

// Agent connects one node to the voters. It belongs to the node's event loop.
type Agent struct {
	config        Config
	loop          Loop
	dispatcher    Dispatcher
	reporter      Reporter
	follower      *follower.Follower
	rng           *rand.Rand
	voters        []Voter // those of the own zone first
	failedReports int     // reports without a lease, each to be followed by another voter
	reporting     bool
	reportedAt    time.Duration
	steps         map[slottable.Handle]*pendingStep
	meanStartWait float64 // seconds from a send to its start, moving average
	shares        []float64
	failed        []int
	leased        bool
	leaseChanges  int // how often a lease was gained or lost
	stopped       bool
	refreshedAt   time.Duration
	ctx           context.Context
	cancel        context.CancelFunc
}

// New returns an agent. Start must be called next, on the loop.
func New(config Config, loop Loop, dispatcher Dispatcher, reporter Reporter) *Agent {
	a := &Agent{config: config, loop: loop, dispatcher: dispatcher, reporter: reporter, rng: config.Rand,
		steps: map[slottable.Handle]*pendingStep{}}
	a.follower = follower.New(loop.Now(), config.Settings, config.Fleet, config.Name, config.Zone, config.Incarnation,
		len(config.Classes), config.Rand)
	a.ctx, a.cancel = context.WithCancel(context.Background())
	a.voters = slices.Clone(config.Voters)
	// The voters of the own zone come first. The others are in random order, so that processes that
	// lose their voter spread over the remaining ones.
	a.rng.Shuffle(len(a.voters), func(i, j int) { a.voters[i], a.voters[j] = a.voters[j], a.voters[i] })
	slices.SortStableFunc(a.voters, func(x, y Voter) int { return distance(x, config.Zone) - distance(y, config.Zone) })
	return a
}

// distance is 0 within a zone, else 1.
func distance(v Voter, zone string) int {
	if v.Zone == zone {
		return 0
	}
	return 1
}

// Start begins reporting and applying shares.
func (a *Agent) Start() {
	a.report()
	a.refresh()
}

// Stop ends reporting, as the node shuts down. A call in progress is cancelled.
func (a *Agent) Stop() {
	a.stopped = true
	a.cancel()
}

// Ready reports whether the node may accept requests: it has a table, or has waited long enough for one.
func (a *Agent) Ready() bool { return a.follower.Ready(a.loop.Now()) }

// LeaseChanges returns how often the node has gained or lost a lease of the voters.
func (a *Agent) LeaseChanges() int { return a.leaseChanges }

// Follower returns the follower that holds the table and the lease.
func (a *Agent) Follower() *follower.Follower { return a.follower }

// report sends the next report and schedules the one after. It is skipped while a call is in progress, whose
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

// handleResponse applies a response, or moves on to the next voter where it grants no lease.
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
		slog.Info("zone table applied", "epoch", a.follower.Epoch(), "zones", unusualZones(a.follower.Table()))
	}
	a.applyShares()
}

// unusualZones describes the zones that are not fully active.
func unusualZones(table *commands.Table) (out []string) {
	for _, name := range slices.Sorted(maps.Keys(table.Zones)) {
		if state := table.Zones[name]; state.Phase != commands.PhaseActive || len(state.UnreachableFrom) > 0 {
			out = append(out, name+" "+state.Phase.String())
		}
	}
	return out
}

// refresh records time-outs and capacities, and applies the shares, every refreshInterval.
func (a *Agent) refresh() {
	if a.stopped {
		return
	}
	now := a.loop.Now()
	a.config.Timers.Add(now+refreshInterval, a.refresh)
	if a.refreshedAt > 0 && now-a.refreshedAt > refreshInterval+stallThreshold {
		// Steps in flight waited for this process, not for the workers.
		slog.Warn("process was paused", "duration", now-a.refreshedAt)
		a.follower.ResetAfterStall(now)
		clear(a.steps)
	}
	a.refreshedAt = now
	startTimeout := a.startTimeout()
	for _, step := range a.steps {
		if step.started == 0 && !step.timedOut && now-step.sentAt > startTimeout {
			step.timedOut = true
			a.follower.Monitor().RecordOutcome(now, step.sentAt, step.zone, health.StepCounts{TimedOut: 1})
		}
	}
	for _, zone := range a.dispatcher.Zones() {
		a.follower.Monitor().SetCapacity(now, a.zoneName(zone.Zone), zone.Slots, zone.WarmupDeficit)
	}
	a.applyShares()
}

// startTimeout returns how long a step may wait for its start. Where starts are not reported its end must
// come within that time.
func (a *Agent) startTimeout() time.Duration {
	return startTimeoutBase + time.Duration(startTimeoutFactor*a.meanStartWait*float64(time.Second))
}

// zoneName returns a zone's name, "?" for an unknown number.
func (a *Agent) zoneName(zone int) string {
	if zone >= 0 && zone < len(a.config.Zones) {
		return a.config.Zones[zone]
	}
	return "?"
}

// applyShares passes the zones' shares to the dispatcher if they changed.
func (a *Agent) applyShares() {
	now := a.loop.Now()
	if leased := a.follower.HasLease(now); leased != a.leased {
		a.leased = leased
		a.leaseChanges++
		slog.Info("voter lease changed", "leased", leased, "epoch", a.follower.Epoch())
	}
	byZone := a.follower.Shares(now, a.config.Zones)
	shares, unrestricted := make([]float64, len(a.config.Zones)), true
	var failed []int
	for i, zone := range a.config.Zones {
		shares[i] = byZone[zone]
		unrestricted = unrestricted && shares[i] == 1
		if state := a.follower.Table().Zone(zone); a.leased && state.Phase == commands.PhaseEvacuated && state.Failures > 0 {
			failed = append(failed, i)
		}
	}
	if unrestricted || a.config.DisabledCheck == checkShares {
		shares, failed = nil, nil
	}
	if slices.Equal(shares, a.shares) && slices.Equal(failed, a.failed) {
		return
	}
	a.shares, a.failed = shares, failed
	a.dispatcher.ZoneShares(balance.ZoneShares{Shares: shares, Failed: failed})
}

// Admit reports whether an operation of a class is admitted; one that is not should be retried after
// retryAfter.
func (a *Agent) Admit(class int) (retryAfter time.Duration, admitted bool) {
	if class < 0 || class >= len(a.config.ClassNames) {
		return 0, true
	}
	fraction := a.follower.AdmittedFraction(a.loop.Now(), a.config.ClassNames[class])
	// Spread at random, about the time in which a slow start step may be earned.
	retryAfter = meanRetryAfter/2 + time.Duration(a.rng.Float64()*float64(meanRetryAfter))
	return retryAfter, fraction >= 1 || a.rng.Float64() < fraction
}

// StepSent records that a route step was sent.
func (a *Agent) StepSent(ref slottable.Handle, to balance.WorkerID, class int, slots float64) {
	zone, ok := a.config.ZoneOf(to)
	if !ok {
		return
	}
	now := a.loop.Now()
	a.steps[ref] = &pendingStep{zone: zone, class: class, slots: slots, sentAt: now}
	a.follower.Monitor().RecordSent(now, zone, class, 0)
}

// StepStarted records that a step started to run.
func (a *Agent) StepStarted(ref slottable.Handle) {
	step := a.steps[ref]
	if step == nil || step.started > 0 {
		return
	}
	step.started = a.loop.Now()
	a.learnStartWait(step.started - step.sentAt)
}

// learnStartWait adds a wait to the moving average.
func (a *Agent) learnStartWait(wait time.Duration) {
	seconds := min(wait, 4*startTimeoutBase).Seconds() // one long wait must not raise the time-out much
	a.meanStartWait += (seconds - a.meanStartWait) / startWaitSamples
}

// StepEnded records the outcome of a step.
func (a *Agent) StepEnded(ref slottable.Handle, outcome balance.Outcome) {
	step := a.steps[ref]
	if step == nil {
		return
	}
	delete(a.steps, ref)
	now := a.loop.Now()
	monitor := a.follower.Monitor()
	startedAt := step.started
	if startedAt == 0 {
		startedAt = step.sentAt
	}
	switch outcome {
	case balance.Served:
		counts := health.StepCounts{Succeeded: 1}
		class := a.config.Classes[step.class]
		if run := now - startedAt; now-step.sentAt-time.Duration(class.TargetStretch*float64(run)) > class.LatencyTarget {
			counts.Late = 1
		}
		if step.started == 0 && !a.config.ReportsStart {
			a.learnStartWait(now - step.sentAt)
		}
		monitor.RecordWork(now, step.zone, step.class, (now-startedAt).Seconds()*step.slots)
		monitor.RecordOutcome(now, step.sentAt, step.zone, counts)
	case balance.Full:
		monitor.RecordOutcome(now, step.sentAt, step.zone, health.StepCounts{Succeeded: 1}) // a rejection shows that the worker is alive
	case balance.Errored, balance.ConnectFailed, balance.Reset:
		monitor.RecordOutcome(now, step.sentAt, step.zone, health.StepCounts{Failed: 1})
	case balance.TimedOut:
		if step.started == 0 && !step.timedOut {
			monitor.RecordOutcome(now, step.sentAt, step.zone, health.StepCounts{TimedOut: 1})
		}
	}
}
