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

// startTime is the clock at the start of a day.
const startTime = time.Hour

// Result is what became of a day.
type Result struct {
	Violations           []string      `json:"violations"`
	Offered              float64       `json:"asked"` // worth
	Served               float64       `json:"served"`
	Rejected             float64       `json:"refused"`
	OfferedDuringFaults  float64       `json:"trouble"` // worth asked for from the first trouble to ten seconds past the last
	ServedDuringFaults   float64       `json:"troubleServed"`
	Overloads            int           `json:"felled"`
	Evacuations          int           `json:"left"`     // times that a zone was left
	EvacuatedAfter       time.Duration `json:"leftAt"`   // from the first trouble to the first order that leaves
	EvacuationSpread     time.Duration `json:"allLeft"`  // from that order until the last process in contact held it; 0: never
	RecoveryTime         time.Duration `json:"returned"` // from the trouble's end until the zone took its whole share
	Epochs               uint64        `json:"epochs"`
	FaultDuringSlowStart bool          `json:"rising"` // a trouble has begun amid a rise; see Trouble.Amid
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
	tablesByIndex map[uint64]string // what was applied at each index, as the first voter had it
	tablesByEpoch map[uint64]string // by epoch
	committedAt   map[uint64]time.Duration
	result        Result
	firstFaultAt  time.Duration // of the troubles
	lastFaultEnd  time.Duration
	faultEndedAt  map[string]time.Duration // when a zone's trouble ended
}

// Run plays a day.
func Run(scenario Scenario) (Result, error) {
	if err := scenario.validate(); err != nil {
		return Result{}, err
	}
	w := &simulation{scenario: scenario, rng: rand.New(rand.NewPCG(scenario.Seed, 1)), now: startTime, zoneStates: map[string]*zoneState{}, loadFactor: 1,
		tablesByIndex: map[uint64]string{}, tablesByEpoch: map[uint64]string{}, committedAt: map[uint64]time.Duration{}, faultEndedAt: map[string]time.Duration{}}
	w.network = &network{simulation: w, blocked: map[[2]string]bool{}}
	for i := range scenario.Zones {
		w.zones = append(w.zones, ZoneName(i))
	}
	perZone := scenario.Rate * float64(scenario.Nodes) * workPerStep / float64(scenario.Zones)
	for _, z := range w.zones {
		w.zoneStates[z] = &zoneState{simulation: w, slots: perZone / scenario.Load, lastTenth: int64(startTime / (100 * time.Millisecond))}
	}
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
	if !scenario.Standalone {
		for _, p := range w.voters {
			p.down = true
			w.after(time.Duration(w.rng.Int64N(int64(50*time.Millisecond))), p.start)
		}
	}
	for _, p := range w.nodes {
		p.down = true
		w.after(time.Duration(w.rng.Int64N(int64(300*time.Millisecond))), p.start)
	}
	for _, t := range scenario.Faults {
		w.scheduleWhenDue(t)
	}
	end := startTime + scenario.Length
	for at, ok := w.timers.Next(); ok && at <= end && len(w.result.Violations) == 0; at, ok = w.timers.Next() {
		w.now = at
		asked, served := w.result.Offered, w.result.Served
		w.timers.Run(at)
		w.result.Events++
		if w.firstFaultAt > 0 && at >= w.firstFaultAt && at <= w.lastFaultEnd+10*time.Second {
			w.result.OfferedDuringFaults += w.result.Offered - asked
			w.result.ServedDuringFaults += w.result.Served - served
		}
	}
	w.result.Messages = w.network.delivered
	if p := w.leader(); p != nil && p.voter.replica.Log().LeaderCaughtUp() && len(w.result.Violations) == 0 {
		if at := p.voter.replica.Table().Epoch; at < w.result.Epochs {
			w.violate("%s leads with epoch %d, and epoch %d was agreed on", p.name, at, w.result.Epochs)
		}
	}
	return w.result, nil
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

// checkLog holds what a voter has applied against what others have, and notes new orders.
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
		w.violate("voter %s has other orders at entry %d than another voter", voter.process.name, at)
	}
	w.tablesByIndex[at] = text
	known, ok := w.tablesByEpoch[table.Epoch]
	if ok && known != text {
		w.violate("voter %s has other orders of epoch %d than another voter", voter.process.name, table.Epoch)
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

// measureSpread measures how long an order takes to reach all nodes that are in contact.
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

// maxStaleness is how long a process may hold orders that are not the last: its lease, the
// time in which a voter that has lost the leader may still grant one, and a little for
// messages and clocks.
func (w *simulation) maxStaleness() time.Duration {
	r := w.scenario.Replica
	return r.Lease + time.Duration(r.ElectionTicks+2)*r.Tick + 500*time.Millisecond
}

// checkShares holds what a node does against the orders.
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
		w.violate("%s goes by epoch %d, %v after the next was agreed on", node.process.name, epoch, w.now-at)
	}
	table := node.follower.Table()
	for _, zone := range w.zones {
		if z := table.Zone(zone); z.Phase == commands.PhaseEvacuated && shares[zone] > 0 {
			w.violate("%s gives %v to zone %s, which is left", node.process.name, shares[zone], zone)
		} else if z.Phase == commands.PhaseSlowStart && shares[zone] > z.Share+1e-9 && !w.noneActive(table) {
			w.violate("%s gives %v to zone %s, which rises at %v", node.process.name, shares[zone], zone, z.Share)
		}
	}
}

// checkStarting holds a process that has not heard any orders yet: within its time for hearing them
// it is not to give a zone that rises its whole share.
func (w *simulation) checkStarting(node *nodeProcess, shares map[string]float64) {
	if p := w.leader(); p != nil && node.follower.Epoch() == 0 && node.process.now()-node.startedAt < w.scenario.Follower.StartupWait {
		for _, zone := range w.zones {
			if z := p.voter.replica.Table().Zone(zone); z.Phase == commands.PhaseSlowStart && z.Share < shares[zone] {
				w.violate("%s, just started, gives %v to zone %s, which rises at %v", node.process.name, shares[zone], zone, z.Share)
			}
		}
	}
}

// noneActive tells whether no zone takes its whole share: then the shares are relative.
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

// participates tells whether a process takes part in this day.
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

// leader is the voter that leads, of the latest term.
func (w *simulation) leader() (out *process) {
	term := uint64(0)
	for _, p := range w.voters {
		if w.participates(p) && !p.down && p.voter.replica.Log().IsLeader() && p.voter.replica.Log().Term() > term {
			out, term = p, p.voter.replica.Log().Term()
		}
	}
	return out
}
