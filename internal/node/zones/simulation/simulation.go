package simulation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"ospreybend/internal/node/timerqueue"
	"ospreybend/internal/node/zones/commands"
	"ospreybend/internal/node/zones/encoding"
	"ospreybend/internal/node/zones/replicatedlog"
)

const (
	startTime      = time.Hour              // simulated time at the start of a scenario; above 0, so that slow process clocks are behind from the start
	faultAftermath = 10 * time.Second       // time after the last fault that still counts as during faults
	loadInterval   = 100 * time.Millisecond // how often nodes send steps, and the resolution of the zones' load
)

// Result is the outcome of a scenario. Offered, Served and Rejected are sums of the operations' class values.
type Result struct {
	Violations           []string      `json:"violations"`
	Offered              float64       `json:"asked"`
	Served               float64       `json:"served"`
	Rejected             float64       `json:"refused"`
	OfferedDuringFaults  float64       `json:"trouble"` // offered from the first fault to faultAftermath past the last
	ServedDuringFaults   float64       `json:"troubleServed"`
	Overloads            int           `json:"felled"`
	Evacuations          int           `json:"left"`     // times that a zone was evacuated
	EvacuatedAfter       time.Duration `json:"leftAt"`   // from the first fault until the first evacuation was committed
	EvacuationSpread     time.Duration `json:"allLeft"`  // from that commit until all connected nodes had the table; 0: never
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
	tablesByIndex map[uint64]string        // encoded table at each log index, from the first voter that applied it
	tablesByEpoch map[uint64]string        // encoded table of each epoch
	committedAt   map[uint64]time.Duration // when each epoch was first seen at a voter
	result        Result
	firstFaultAt  time.Duration // start time of the first fault; 0: none yet
	lastFaultEnd  time.Duration
	faultEndedAt  map[string]time.Duration // by zone
}

// Run simulates a scenario. It returns an error for an invalid scenario; violated invariants are in the result.
func Run(scenario Scenario) (Result, error) {
	if err := scenario.validate(); err != nil {
		return Result{}, err
	}
	s := &simulation{scenario: scenario, rng: rand.New(rand.NewPCG(scenario.Seed, 1)), now: startTime, zoneStates: map[string]*zoneState{}, loadFactor: 1,
		tablesByIndex: map[uint64]string{}, tablesByEpoch: map[uint64]string{}, committedAt: map[uint64]time.Duration{}, faultEndedAt: map[string]time.Duration{}}
	s.network = &network{simulation: s, blocked: map[[2]string]bool{}}
	s.createZones()
	s.createProcesses()
	s.startProcesses()
	for _, fault := range scenario.Faults {
		s.scheduleWhenDue(fault)
	}
	s.runTimers(startTime + scenario.Length)
	s.result.Messages = s.network.delivered
	s.checkLeader()
	return s.result, nil
}

func (s *simulation) createZones() {
	scenario := s.scenario
	for i := range scenario.Zones {
		s.zones = append(s.zones, ZoneName(i))
	}
	workPerZone := scenario.Rate * float64(scenario.Nodes) * workPerStep / float64(scenario.Zones)
	for _, z := range s.zones {
		s.zoneStates[z] = &zoneState{simulation: s, slots: workPerZone / scenario.Load, lastInterval: int64(startTime / loadInterval)}
	}
}

func (s *simulation) createProcesses() {
	scenario := s.scenario
	ids := make([]uint64, scenario.Voters)
	for i := range ids {
		ids[i] = uint64(i + 1)
	}
	for i := range scenario.Voters {
		p := &process{simulation: s, name: voterName(i), zone: s.zones[i%scenario.Zones], clockRate: s.clockRate()}
		p.voter = &voterProcess{process: p, id: ids[i], disk: disk{stored: replicatedlog.Bootstrap(ids), name: "store" + strconv.Itoa(i)}}
		s.voters = append(s.voters, p)
	}
	for i := range scenario.Nodes {
		p := &process{simulation: s, name: nodeName(i), zone: s.zones[i%scenario.Zones], clockRate: s.clockRate()}
		p.node = &nodeProcess{process: p, number: i}
		s.nodes = append(s.nodes, p)
	}
}

// startProcesses schedules the start of each process after a random delay.
func (s *simulation) startProcesses() {
	if !s.scenario.Standalone {
		for _, p := range s.voters {
			p.down = true
			s.after(time.Duration(s.rng.Int64N(int64(50*time.Millisecond))), p.start)
		}
	}
	for _, p := range s.nodes {
		p.down = true
		s.after(time.Duration(s.rng.Int64N(int64(300*time.Millisecond))), p.start)
	}
}

// runTimers runs all events until end or the first violation.
func (s *simulation) runTimers(end time.Duration) {
	for at, ok := s.timers.Next(); ok && at <= end && len(s.result.Violations) == 0; at, ok = s.timers.Next() {
		s.now = at
		offered, served := s.result.Offered, s.result.Served
		s.timers.Run(at)
		s.result.Events++
		if s.firstFaultAt > 0 && at >= s.firstFaultAt && at <= s.lastFaultEnd+faultAftermath {
			s.result.OfferedDuringFaults += s.result.Offered - offered
			s.result.ServedDuringFaults += s.result.Served - served
		}
	}
}

// checkLeader adds a violation if the leader at the end of the scenario does not have the last committed epoch.
func (s *simulation) checkLeader() {
	p := s.leader()
	if p == nil || !p.voter.replica.Log().LeaderCaughtUp() || len(s.result.Violations) > 0 {
		return
	}
	if epoch := p.voter.replica.Table().Epoch; epoch < s.result.Epochs {
		s.addViolation("%s leads with table epoch %d, but epoch %d was committed", p.name, epoch, s.result.Epochs)
	}
}

func (s *simulation) clockRate() float64 { return 1 + s.scenario.ClockDrift*(2*s.rng.Float64()-1) }

func (s *simulation) after(delay time.Duration, f func()) { s.timers.Add(s.now+max(delay, 0), f) }

func (s *simulation) addViolation(format string, a ...any) {
	if len(s.result.Violations) < 20 {
		s.result.Violations = append(s.result.Violations, fmt.Sprintf("%.3f s: ", (s.now-startTime).Seconds())+fmt.Sprintf(format, a...))
	}
}

// encodeTable returns the table's encoding, by which tables are compared.
func (s *simulation) encodeTable(t *commands.Table) string {
	encoded, err := encoding.Marshal(t)
	if err != nil {
		panic(err) // tables are plain values
	}
	return string(encoded)
}

// checkLog compares a voter's table with the other voters' at the same index and epoch, and records new epochs.
func (s *simulation) checkLog(voter *voterProcess) {
	if voter.replica == nil {
		return
	}
	index, table := voter.replica.Log().AppliedIndex(), voter.replica.Table()
	if index == voter.checkedIndex {
		return
	}
	voter.checkedIndex = index
	encoded := s.encodeTable(table)
	if known, ok := s.tablesByIndex[index]; ok && known != encoded {
		s.addViolation("voter %s has a table at log index %d that differs from another voter's", voter.process.name, index)
	}
	s.tablesByIndex[index] = encoded
	known, ok := s.tablesByEpoch[table.Epoch]
	if ok && known != encoded {
		s.addViolation("voter %s has a table of epoch %d that differs from another voter's", voter.process.name, table.Epoch)
	}
	if ok {
		return
	}
	s.tablesByEpoch[table.Epoch], s.committedAt[table.Epoch] = encoded, s.now
	s.result.Epochs = max(s.result.Epochs, table.Epoch)
	for _, name := range s.zones {
		z := table.Zone(name)
		if z.SinceEpoch != table.Epoch {
			continue
		}
		if z.Phase == commands.PhaseEvacuated && z.Reason != "the tries went wrong" {
			s.result.Evacuations++
			if s.result.EvacuatedAfter == 0 && s.firstFaultAt > 0 {
				s.result.EvacuatedAfter = s.now - s.firstFaultAt
				s.measureSpread(table.Epoch)
			}
		}
		if faultEnd, ok := s.faultEndedAt[name]; ok && z.Phase == commands.PhaseActive && len(z.UnreachableFrom) == 0 && s.now > faultEnd {
			s.result.RecoveryTime = max(s.result.RecoveryTime, s.now-faultEnd)
		}
	}
}

// measureSpread measures how long a table takes to reach all nodes that have a lease.
func (s *simulation) measureSpread(epoch uint64) {
	committedAt := s.now
	var poll func()
	poll = func() {
		for _, p := range s.nodes {
			if !p.down && !p.paused && p.node.follower.HasLease(p.now()) && p.node.follower.Epoch() < epoch {
				s.after(5*time.Millisecond, poll)
				return
			}
		}
		s.result.EvacuationSpread = s.now - committedAt
	}
	poll()
}

// maxStaleness returns how long a process may follow an outdated table: the lease, the time for which a voter that
// has lost contact with the leader may still grant one, and a margin for message delay and clock drift.
func (s *simulation) maxStaleness() time.Duration {
	r := s.scenario.Replica
	return r.Lease + time.Duration(r.ElectionTicks+2)*r.Tick + 500*time.Millisecond
}

// checkShares checks that a node's shares follow a recent committed table.
func (s *simulation) checkShares(node *nodeProcess, shares map[string]float64) {
	if s.scenario.Standalone {
		return
	}
	if !node.follower.HasLease(node.process.now()) {
		s.checkStarting(node, shares)
		return
	}
	epoch := node.follower.Epoch()
	if supersededAt, ok := s.committedAt[epoch+1]; ok && s.now-supersededAt > s.maxStaleness() {
		s.addViolation("%s uses table epoch %d, %v after the next epoch was committed", node.process.name, epoch, s.now-supersededAt)
	}
	table := node.follower.Table()
	for _, zone := range s.zones {
		if z := table.Zone(zone); z.Phase == commands.PhaseEvacuated && shares[zone] > 0 && !s.allDoubted(node, shares) {
			s.addViolation("%s gives share %v to zone %s, which is evacuated", node.process.name, shares[zone], zone)
		} else if z.Phase == commands.PhaseSlowStart && shares[zone] > z.Share+1e-9 && !s.noneActive(table) {
			s.addViolation("%s gives share %v to zone %s, which is in slow start with share %v", node.process.name, shares[zone], zone, z.Share)
		}
	}
}

// allDoubted reports whether the node's table leaves it no zone, each being evacuated, probed or unreachable from the node's own, and the
// node doubts none of them then: all shares are 1.
func (s *simulation) allDoubted(node *nodeProcess, shares map[string]float64) bool {
	return !slices.ContainsFunc(s.zones, func(zone string) bool {
		z := node.follower.Table().Zone(zone)
		doubted := z.Phase == commands.PhaseEvacuated || z.Phase == commands.PhaseProbing || slices.Contains(z.UnreachableFrom, node.process.zone)
		return !doubted || shares[zone] != 1
	})
}

// checkStarting checks a node that has no lease. While it waits for its first table, it must not give a zone in
// slow start more than the zone's share.
func (s *simulation) checkStarting(node *nodeProcess, shares map[string]float64) {
	if p := s.leader(); p != nil && node.follower.Epoch() == 0 && node.process.now()-node.startedAt < s.scenario.Follower.StartupWait {
		for _, zone := range s.zones {
			if z := p.voter.replica.Table().Zone(zone); z.Phase == commands.PhaseSlowStart && z.Share < shares[zone] {
				s.addViolation("%s has no table yet and gives share %v to zone %s, which is in slow start with share %v", node.process.name, shares[zone], zone, z.Share)
			}
		}
	}
}

// noneActive reports whether no zone is active and reachable from all others. In that case nodes scale the shares.
func (s *simulation) noneActive(t *commands.Table) bool {
	return !slices.ContainsFunc(s.zones, func(zone string) bool {
		z := t.Zone(zone)
		return z.Phase == commands.PhaseActive && len(z.UnreachableFrom) == 0
	})
}

func forEach(processes []*process, f func(*process)) {
	for _, p := range processes {
		f(p)
	}
}

// participates reports whether a process exists and runs in this scenario; voters do not in a standalone one.
func (s *simulation) participates(p *process) bool {
	return p != nil && (p.voter == nil || !s.scenario.Standalone)
}

func (s *simulation) crashProcess(p *process) {
	if s.participates(p) && !p.down {
		p.crash()
	}
}

func (s *simulation) startProcess(p *process) {
	if s.participates(p) && p.down {
		p.start()
	}
}

func (s *simulation) processNamed(name string) *process {
	for _, p := range append(slices.Clone(s.voters), s.nodes...) {
		if p.name == name {
			return p
		}
	}
	return nil
}

func (s *simulation) processesIn(zone string) (out []*process) {
	for _, p := range append(slices.Clone(s.voters), s.nodes...) {
		if p.zone == zone && s.participates(p) {
			out = append(out, p)
		}
	}
	return out
}

// leader returns the running voter that leads in the highest term; nil if none leads.
func (s *simulation) leader() (out *process) {
	term := uint64(0)
	for _, p := range s.voters {
		if s.participates(p) && !p.down && p.voter.replica.Log().IsLeader() && p.voter.replica.Log().Term() > term {
			out, term = p, p.voter.replica.Log().Term()
		}
	}
	return out
}
