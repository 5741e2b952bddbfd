// Package agent connects a node to the zones' voters.
//
// It counts the outcomes of the node's route steps by zone, reports them to a voter, and applies the
// zone shares of the returned table to the node's dispatcher (package balance). Package follower
// tracks the lease and computes the shares, also while no voter responds. Everything runs on the
// node's event loop except the calls to voters, of which at most one is in progress. cmd/ospreybend
// creates the agent.
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
	// A step counts as timed out if it has not started after startTimeoutBase plus startTimeoutFactor
	// times the mean start wait.
	startTimeoutBase   = 400 * time.Millisecond
	startTimeoutFactor = 4
	startWaitWeight    = 16.0        // a new wait moves the mean by 1/startWaitWeight of the difference
	stallThreshold     = time.Second // a refresh delayed by more than this means that the process was paused
	meanRetryAfter     = time.Second // mean retry delay advised to rejected requests
)

// checkShares is the value of Config.DisabledCheck that keeps the shares from being applied to the dispatcher.
const checkShares = "share"

// Dispatcher is the part of the node's dispatcher that the agent uses.
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

// Voter is the zone and the address of a voter.
type Voter struct{ Zone, Address string }

// Config configures an agent.
type Config struct {
	Fleet, Name, Zone string
	Voters            []Voter
	Zones             []string // zone names, indexed by the zone numbers of worker listings
	Classes           []balance.Class
	ClassNames        []string // indexed like Classes
	ReportsStart      bool     // whether workers report the start of a step
	Settings          follower.Settings
	Incarnation       uint64 // see follower.New
	Rand              *rand.Rand
	ZoneOf            func(balance.WorkerID) (string, bool) // false for an unknown worker
	Timers            *timerqueue.Queue
	DisabledCheck     string // check to skip, for experiments that show why it is needed
}

// pendingStep is a route step in flight.
type pendingStep struct {
	zone      string
	class     int
	slots     float64
	sentAt    time.Duration
	startedAt time.Duration // 0: not started
	timedOut  bool          // already counted as timed out
}

// Agent connects one node to the voters. Its methods must be called on the node's event loop.
type Agent struct {
	config          Config
	loop            Loop
	dispatcher      Dispatcher
	reporter        Reporter
	follower        *follower.Follower
	rng             *rand.Rand
	voters          []Voter // those of the node's own zone first
	unleasedReports int     // reports that granted no lease; each moves on to the next voter
	reporting       bool    // a call to a voter is in progress
	reportedAt      time.Duration
	steps           map[slottable.Handle]*pendingStep
	meanStartWait   float64   // moving average of the seconds from sending a step to its start
	appliedShares   []float64 // last shares passed to the dispatcher
	appliedFailed   []int     // last failed zones passed to the dispatcher
	hadLease        bool      // as of the last applyShares
	leaseChanges    int       // how often a lease was gained or lost
	stopped         bool
	refreshedAt     time.Duration
	ctx             context.Context
	cancel          context.CancelFunc
}

// New returns an agent. Start must be called next, on the event loop.
func New(config Config, loop Loop, dispatcher Dispatcher, reporter Reporter) *Agent {
	a := &Agent{config: config, loop: loop, dispatcher: dispatcher, reporter: reporter, rng: config.Rand,
		steps: map[slottable.Handle]*pendingStep{}}
	a.follower = follower.New(loop.Now(), config.Settings, config.Fleet, config.Name, config.Zone, config.Incarnation,
		len(config.Classes), config.Rand)
	a.ctx, a.cancel = context.WithCancel(context.Background())
	a.voters = slices.Clone(config.Voters)
	// The voters of the node's own zone come first. The others are in random order, so that nodes
	// that lose their voter spread over the remaining ones.
	a.rng.Shuffle(len(a.voters), func(i, j int) { a.voters[i], a.voters[j] = a.voters[j], a.voters[i] })
	slices.SortStableFunc(a.voters, func(x, y Voter) int { return zoneDistance(x, config.Zone) - zoneDistance(y, config.Zone) })
	return a
}

// zoneDistance returns 0 for a voter in the given zone, else 1.
func zoneDistance(v Voter, zone string) int {
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

// Stop ends reporting and cancels a call in progress. It is called when the node shuts down.
func (a *Agent) Stop() {
	a.stopped = true
	a.cancel()
}

// Ready reports whether the node may accept requests: it has a table, or has waited long enough for one.
func (a *Agent) Ready() bool { return a.follower.Ready(a.loop.Now()) }

// LeaseChanges returns how often the node has gained or lost a lease.
func (a *Agent) LeaseChanges() int { return a.leaseChanges }

// Follower returns the follower that holds the table and the lease.
func (a *Agent) Follower() *follower.Follower { return a.follower }

// report sends the next report and schedules the one after. It sends none while a call is in progress; the
// deadline of a call is short.
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
	voter := a.voters[a.unleasedReports%len(a.voters)]
	go func() {
		response, err := a.reporter.Report(a.ctx, voter.Address, report)
		a.loop.Post(func() { a.handleResponse(now, response, err) })
	}()
}

// handleResponse applies a response. If the call failed or grants no lease, the next report goes to the next voter.
func (a *Agent) handleResponse(sentAt time.Duration, response follower.Response, err error) {
	a.reporting = false
	if a.stopped {
		return
	}
	if err != nil || response.Lease <= 0 {
		a.unleasedReports++
		return
	}
	before := a.follower.Epoch()
	if a.follower.HandleResponse(a.loop.Now(), sentAt, response) && a.follower.Epoch() != before {
		slog.Info("zone table applied", "epoch", a.follower.Epoch(), "zones", describeRestrictedZones(a.follower.Table()))
	}
	a.applyShares()
}

// describeRestrictedZones returns the names and phases of the zones that do not take their full share from all zones.
func describeRestrictedZones(table *commands.Table) (out []string) {
	for _, name := range slices.Sorted(maps.Keys(table.Zones)) {
		if state := table.Zones[name]; state.Phase != commands.PhaseActive || len(state.UnreachableFrom) > 0 {
			out = append(out, name+" "+state.Phase.String())
		}
	}
	return out
}

// refresh records timed out steps and zone capacities, and applies the shares. It runs every refreshInterval.
func (a *Agent) refresh() {
	if a.stopped {
		return
	}
	now := a.loop.Now()
	a.config.Timers.Add(now+refreshInterval, a.refresh)
	if a.refreshedAt > 0 && now-a.refreshedAt > refreshInterval+stallThreshold {
		// The delays of the steps in flight are due to the pause of this process, not to the workers.
		slog.Warn("process was paused", "duration", now-a.refreshedAt)
		a.follower.ResetAfterStall(now)
		clear(a.steps)
	}
	a.refreshedAt = now
	startTimeout := a.startTimeout()
	for _, step := range a.steps {
		if step.startedAt == 0 && !step.timedOut && now-step.sentAt > startTimeout {
			step.timedOut = true
			a.follower.Monitor().RecordOutcome(now, step.sentAt, step.zone, health.StepCounts{TimedOut: 1})
		}
	}
	for _, zone := range a.dispatcher.Zones() {
		a.follower.Monitor().SetCapacity(now, a.zoneName(zone.Zone), zone.Slots, zone.WarmupDeficit)
	}
	a.applyShares()
}

// startTimeout returns how long a step may wait for its start. If workers do not report starts, the step must end
// within that time.
func (a *Agent) startTimeout() time.Duration {
	return startTimeoutBase + time.Duration(startTimeoutFactor*a.meanStartWait*float64(time.Second))
}

// zoneName returns the name of a zone number, "?" for an unknown one.
func (a *Agent) zoneName(zone int) string {
	if zone >= 0 && zone < len(a.config.Zones) {
		return a.config.Zones[zone]
	}
	return "?"
}

// applyShares passes the zone shares and the failed zones to the dispatcher if they changed, and logs lease changes.
func (a *Agent) applyShares() {
	now := a.loop.Now()
	if leased := a.follower.HasLease(now); leased != a.hadLease {
		a.hadLease = leased
		a.leaseChanges++
		slog.Info("voter lease changed", "leased", leased, "epoch", a.follower.Epoch())
	}
	byZone := a.follower.Shares(now, a.config.Zones)
	shares, unrestricted := make([]float64, len(a.config.Zones)), true
	var failedZones []int
	for i, zone := range a.config.Zones {
		shares[i] = byZone[zone]
		unrestricted = unrestricted && shares[i] == 1
		if state := a.follower.Table().Zone(zone); a.hadLease && state.Phase == commands.PhaseEvacuated && state.Failures > 0 {
			failedZones = append(failedZones, i)
		}
	}
	if unrestricted || a.config.DisabledCheck == checkShares {
		shares, failedZones = nil, nil
	}
	if slices.Equal(shares, a.appliedShares) && slices.Equal(failedZones, a.appliedFailed) {
		return
	}
	a.appliedShares, a.appliedFailed = shares, failedZones
	a.dispatcher.ZoneShares(balance.ZoneShares{Shares: shares, Failed: failedZones})
}

// Admit reports whether an operation of a class is admitted. A rejected operation should be retried after
// retryAfter.
func (a *Agent) Admit(class int) (retryAfter time.Duration, admitted bool) {
	if class < 0 || class >= len(a.config.ClassNames) {
		return 0, true
	}
	fraction := a.follower.AdmittedFraction(a.loop.Now(), a.config.ClassNames[class])
	// Jittered so that rejected clients do not retry together. The mean is near the shortest duration of a slow
	// start step, after which a returning zone may take more.
	retryAfter = meanRetryAfter/2 + time.Duration(a.rng.Float64()*float64(meanRetryAfter))
	return retryAfter, fraction >= 1 || a.rng.Float64() < fraction
}

// StepSent records that a route step was sent.
func (a *Agent) StepSent(handle slottable.Handle, to balance.WorkerID, class int, slots float64) {
	zone, ok := a.config.ZoneOf(to)
	if !ok {
		return
	}
	now := a.loop.Now()
	a.steps[handle] = &pendingStep{zone: zone, class: class, slots: slots, sentAt: now}
	a.follower.Monitor().RecordSent(now, zone, class, 0)
}

// StepStarted records that a step started to run.
func (a *Agent) StepStarted(handle slottable.Handle) {
	step := a.steps[handle]
	if step == nil || step.startedAt > 0 {
		return
	}
	step.startedAt = a.loop.Now()
	a.updateMeanStartWait(step.startedAt - step.sentAt)
}

// updateMeanStartWait adds a wait to the moving average.
func (a *Agent) updateMeanStartWait(wait time.Duration) {
	seconds := min(wait, 4*startTimeoutBase).Seconds() // capped so that one long wait raises the time-out little
	a.meanStartWait += (seconds - a.meanStartWait) / startWaitWeight
}

// StepEnded records the outcome of a step.
func (a *Agent) StepEnded(handle slottable.Handle, outcome balance.Outcome) {
	step := a.steps[handle]
	if step == nil {
		return
	}
	delete(a.steps, handle)
	now := a.loop.Now()
	monitor := a.follower.Monitor()
	startedAt := step.startedAt
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
		if step.startedAt == 0 && !a.config.ReportsStart {
			a.updateMeanStartWait(now - step.sentAt)
		}
		monitor.RecordWork(now, step.zone, step.class, (now-startedAt).Seconds()*step.slots)
		monitor.RecordOutcome(now, step.sentAt, step.zone, counts)
	case balance.Full:
		// A rejection shows that the worker is alive.
		monitor.RecordOutcome(now, step.sentAt, step.zone, health.StepCounts{Succeeded: 1})
	case balance.Errored, balance.ConnectFailed, balance.Reset:
		monitor.RecordOutcome(now, step.sentAt, step.zone, health.StepCounts{Failed: 1})
	case balance.TimedOut:
		if step.startedAt == 0 && !step.timedOut {
			monitor.RecordOutcome(now, step.sentAt, step.zone, health.StepCounts{TimedOut: 1})
		}
	}
}
