package simulation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"ospreybend/internal/node/timerqueue"
	"ospreybend/internal/node/zones/commands"
	"ospreybend/internal/node/zones/replicatedlog"
)

const (
	startTime      = time.Hour        // the clock at the start of a scenario, so that clocks can be slow
	faultAftermath = 10 * time.Second // after the last fault, still counted as during faults
	tenth          = 100 * time.Millisecond
)

// Result is the outcome of a scenario. Values are sums of the classes' values.
type Result struct {
	Violations           []string      `json:"violations"`
	Offered              float64       `json:"asked"`
	Served               float64       `json:"served"`
	Rejected             float64       `json:"refused"`
	OfferedDuringFaults  float64       `json:"trouble"` // offered from the first fault to faultAftermath past the last
	ServedDuringFaults   float64       `json:"troubleServed"`
	Overloads            int           `json:"felled"`
	Evacuations          int           `json:"left"`     // times that a zone was evacuated
	EvacuatedAfter       time.Duration `json:"leftAt"`   // from the first fault to the first evacuation's commit
	EvacuationSpread     time.Duration `json:"allLeft"`  // from that commit until the last connected process had it; 0: never
	RecoveryTime         time.Duration `json:"returned"` // from a fault's end until the zone was active again
	Epochs               uint64        `json:"epochs"`
	FaultDuringSlowStart bool          `json:"rising"` // a fault began during a slow start; see Fault.DuringSlowStartOf
	Messages             int           `json:"messages"`
	Events               int           `json:"events"`
}

type simulation struct {
	scenario      Scenario
	rng           *rand.Rand
	timers        timerqueue.Queue
	now           time.Duration
	network       *network
	zones         []string
	voters        []*process
	nodes         []*process
	zoneStates    map[string]*zoneState
	loadFactor    float64
	tablesByIndex map[uint64]string // the table after each log index, as the first voter had it
	tablesByEpoch map[uint64]string // by epoch
	committedAt   map[uint64]time.Duration
	result        Result
	firstFaultAt  time.Duration // start time of the first fault; 0: none yet
	lastFaultEnd  time.Duration
	faultEndedAt  map[string]time.Duration // by zone
}

// Run simulates a scenario. The error is that of an invalid scenario; violated invariants are in the result.
func Run(scenario Scenario) (Result, error) {
	if err := scenario.validate(); err != nil {
		return Result{}, err
	}
	w := &simulation{scenario: scenario, rng: rand.New(rand.NewPCG(scenario.Seed, 1)), now: startTime, zoneStates: map[string]*zoneState{}, loadFactor: 1,
		tablesByIndex: map[uint64]string{}, tablesByEpoch: map[uint64]string{}, committedAt: map[uint64]time.Duration{}, faultEndedAt: map[string]time.Duration{}}
	w.network = &network{simulation: w, blocked: map[[2]string]bool{}}
	w.createZones()
	w.createProcesses()
	w.startProcesses()
	for _, fault := range scenario.Faults {
		w.scheduleWhenDue(fault)
	}
	w.runTimers(startTime + scenario.Length)
	w.result.Messages = w.network.delivered
	w.checkLeader()
	return w.result, nil
}

func (w *simulation) createZones() {
	scenario := w.scenario
	for i := range scenario.Zones {
		w.zones = append(w.zones, ZoneName(i))
	}
	perZone := scenario.Rate * float64(scenario.Nodes) * workPerStep / float64(scenario.Zones)
	for _, z := range w.zones {
		w.zoneStates[z] = &zoneState{simulation: w, slots: perZone / scenario.Load, lastTenth: int64(startTime / tenth)}
	}
}

func (w *simulation) createProcesses() {
	scenario := w.scenario
	ids := make([]uint64, scenario.Voters)
	for i := range ids {
		ids[i] = uint64(i + 1)
	}
	for i := range scenario.Voters {
		p := &process{simulation: w, name: voterName(i), zone: w.zones[i%scenario.Zones], clockRate: w.clockRate()}
		p.voter = &voterProcess{process: p, id: ids[i], disk: disk{stored: replicatedlog.Bootstrap(ids), name: "store" + strconv.Itoa(i)}}
		w.voters = append(w.voters, p)
	}
	for i := range scenario.Nodes {
		p := &process{simulation: w, name: nodeName(i), zone: w.zones[i%scenario.Zones], clockRate: w.clockRate()}
		p.node = &nodeProcess{process: p, number: i}
		w.nodes = append(w.nodes, p)
	}
}

// startProcesses schedules the starts of all processes, spread at random.
func (w *simulation) startProcesses() {
	if !w.scenario.Standalone {
		for _, p := range w.voters {
			p.down = true
			w.after(time.Duration(w.rng.Int64N(int64(50*time.Millisecond))), p.start)
		}
	}
	for _, p := range w.nodes {
		p.down = true
		w.after(time.Duration(w.rng.Int64N(int64(300*time.Millisecond))), p.start)
	}
}

// runTimers runs all events up to end, or up to the first violation.
func (w *simulation) runTimers(end time.Duration) {
	for at, ok := w.timers.Next(); ok && at <= end && len(w.result.Violations) == 0; at, ok = w.timers.Next() {
		w.now = at
		offered, served := w.result.Offered, w.result.Served
		w.timers.Run(at)
		w.result.Events++
		if w.firstFaultAt > 0 && at >= w.firstFaultAt && at <= w.lastFaultEnd+faultAftermath {
			w.result.OfferedDuringFaults += w.result.Offered - offered
			w.result.ServedDuringFaults += w.result.Served - served
		}
	}
}

// checkLeader reports a violation if the last leader lacks a committed epoch.
func (w *simulation) checkLeader() {
	p := w.leader()
	if p == nil || !p.voter.replica.Log().LeaderCaughtUp() || len(w.result.Violations) > 0 {
		return
	}
	if epoch := p.voter.replica.Table().Epoch; epoch < w.result.Epochs {
		w.violate("%s leads with epoch %d, and epoch %d was committed", p.name, epoch, w.result.Epochs)
	}
}

func (w *simulation) clockRate() float64 { return 1 + w.scenario.ClockDrift*(2*w.rng.Float64()-1) }

func (w *simulation) after(span time.Duration, f func()) { w.timers.Add(w.now+max(span, 0), f) }

func (w *simulation) violate(format string, a ...any) {
	if len(w.result.Violations) < 20 {
		w.result.Violations = append(w.result.Violations, fmt.Sprintf("%.3f s: ", (w.now-startTime).Seconds())+fmt.Sprintf(format, a...))
	}
}

func (w *simulation) encodeTable(t *commands.Table) string {
	text, err := commands.Encode(t)
	if err != nil {
		panic(err) // tables are plain values
	}
	return string(text)
}

// checkLog compares a voter's table with the other voters' at the same index and epoch, and records new epochs.
func (w *simulation) checkLog(voter *voterProcess) {
	if voter.replica == nil {
		return
	}
	at, table := voter.replica.Log().Applied(), voter.replica.Table()
	if at == voter.checked {
		return
	}
	voter.checked = at
	text := w.encodeTable(table)
	if known, ok := w.tablesByIndex[at]; ok && known != text {
		w.violate("voter %s has another table at entry %d than another voter", voter.process.name, at)
	}
	w.tablesByIndex[at] = text
	known, ok := w.tablesByEpoch[table.Epoch]
	if ok && known != text {
		w.violate("voter %s has another table of epoch %d than another voter", voter.process.name, table.Epoch)
	}
	if ok {
		return
	}
	w.tablesByEpoch[table.Epoch], w.committedAt[table.Epoch] = text, w.now
	w.result.Epochs = max(w.result.Epochs, table.Epoch)
	for _, name := range w.zones {
		z := table.Zone(name)
		if z.SinceEpoch != table.Epoch {
			continue
		}
		if z.Phase == commands.PhaseEvacuated && z.Reason != "the tries went wrong" {
			w.result.Evacuations++
			if w.result.EvacuatedAfter == 0 && w.firstFaultAt > 0 {
				w.result.EvacuatedAfter = w.now - w.firstFaultAt
				w.measureSpread(table.Epoch)
			}
		}
		if from, ok := w.faultEndedAt[name]; ok && z.Phase == commands.PhaseActive && len(z.UnreachableFrom) == 0 && w.now > from {
			w.result.RecoveryTime = max(w.result.RecoveryTime, w.now-from)
		}
	}
}

// measureSpread measures how long a table takes to reach all connected nodes.
func (w *simulation) measureSpread(epoch uint64) {
	began := w.now
	var look func()
	look = func() {
		for _, p := range w.nodes {
			if !p.down && !p.paused && p.node.follower.HasLease(p.now()) && p.node.follower.Epoch() < epoch {
				w.after(5*time.Millisecond, look)
				return
			}
		}
		w.result.EvacuationSpread = w.now - began
	}
	look()
}

// maxStaleness is how long a process may obey an outdated table: its lease, the time for which a voter that
// has lost the leader may still grant one, and a margin for messages and clocks.
func (w *simulation) maxStaleness() time.Duration {
	r := w.scenario.Replica
	return r.Lease + time.Duration(r.ElectionTicks+2)*r.Tick + 500*time.Millisecond
}

// checkShares compares a node's shares with the committed table.
func (w *simulation) checkShares(node *nodeProcess, shares map[string]float64) {
	if w.scenario.Standalone {
		return
	}
	if !node.follower.HasLease(node.process.now()) {
		w.checkStarting(node, shares)
		return
	}
	epoch := node.follower.Epoch()
	if at, ok := w.committedAt[epoch+1]; ok && w.now-at > w.maxStaleness() {
		w.violate("%s goes by epoch %d, %v after the next was committed", node.process.name, epoch, w.now-at)
	}
	table := node.follower.Table()
	for _, zone := range w.zones {
		if z := table.Zone(zone); z.Phase == commands.PhaseEvacuated && shares[zone] > 0 {
			w.violate("%s gives %v to zone %s, which is evacuated", node.process.name, shares[zone], zone)
		} else if z.Phase == commands.PhaseSlowStart && shares[zone] > z.Share+1e-9 && !w.noneActive(table) {
			w.violate("%s gives %v to zone %s, which rises at %v", node.process.name, shares[zone], zone, z.Share)
		}
	}
}

// checkStarting checks a process without a table: while it waits for its first one it must not give a zone
// in slow start more than the zone's share.
func (w *simulation) checkStarting(node *nodeProcess, shares map[string]float64) {
	if p := w.leader(); p != nil && node.follower.Epoch() == 0 && node.process.now()-node.startedAt < w.scenario.Follower.StartupWait {
		for _, zone := range w.zones {
			if z := p.voter.replica.Table().Zone(zone); z.Phase == commands.PhaseSlowStart && z.Share < shares[zone] {
				w.violate("%s, just started, gives %v to zone %s, which rises at %v", node.process.name, shares[zone], zone, z.Share)
			}
		}
	}
}

// noneActive reports whether no zone takes its full share: then shares are scaled.
func (w *simulation) noneActive(t *commands.Table) bool {
	return !slices.ContainsFunc(w.zones, func(zone string) bool {
		z := t.Zone(zone)
		return z.Phase == commands.PhaseActive && len(z.UnreachableFrom) == 0
	})
}

func each(processes []*process, f func(*process)) {
	for _, p := range processes {
		f(p)
	}
}

// participates reports whether a process takes part in this scenario.
func (w *simulation) participates(p *process) bool {
	return p != nil && (p.voter == nil || !w.scenario.Standalone)
}

func (w *simulation) crashProcess(p *process) {
	if w.participates(p) && !p.down {
		p.crash()
	}
}

func (w *simulation) startProcess(p *process) {
	if w.participates(p) && p.down {
		p.start()
	}
}

func (w *simulation) processNamed(name string) *process {
	for _, p := range append(slices.Clone(w.voters), w.nodes...) {
		if p.name == name {
			return p
		}
	}
	return nil
}

func (w *simulation) processesIn(zone string) (out []*process) {
	for _, p := range append(slices.Clone(w.voters), w.nodes...) {
		if p.zone == zone && w.participates(p) {
			out = append(out, p)
		}
	}
	return out
}

// leader returns the leader of the latest term; nil if there is none.
func (w *simulation) leader() (out *process) {
	term := uint64(0)
	for _, p := range w.voters {
		if w.participates(p) && !p.down && p.voter.replica.Log().IsLeader() && p.voter.replica.Log().Term() > term {
			out, term = p, p.voter.replica.Log().Term()
		}
	}
	return out
}
