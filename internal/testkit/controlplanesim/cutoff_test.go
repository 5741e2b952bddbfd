package controlplanesim

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"ospreybend/coord/replica"
	"ospreybend/coord/shards"
	"ospreybend/internal/testkit/controlplanesim/history"
	"ospreybend/internal/testkit/controlplanesim/schedule"
	"ospreybend/internal/testkit/controlplanesim/simnet"
)

// Times of the network partition scenarios.
const (
	cutAt                  = 6 * time.Second
	cutDuration            = 20 * time.Second
	scenarioLength         = cutAt + cutDuration + 6*time.Second
	readInterval           = 300 * time.Millisecond // between reads from the isolated server
	concurrentLeaderWindow = time.Second            // in which a new leader may be active beside the old one
)

// Roles of the operators and workers in these scenarios.
const (
	outsideOperator = 0 // reaches all servers
	insideOperator  = 1 // reaches only the isolated server
	steadyWorker    = 0 // sends heartbeats to the isolated server only
	drainWorker     = 1 // drains at the isolated server
	leaveWorker     = 2 // deregisters at the isolated server without draining
	crashWorker     = 3 // reaches all servers and runs throughout
)

// cutScenario is one way in which a server is isolated from the others.
type cutScenario struct {
	variant        schedule.Variant // empty: the server is frozen instead
	follower       bool             // isolates a follower of the configuration group, not its leader
	agents         []int            // isolated together with the server
	restart        bool             // restarts the isolated server's process
	wiped          bool             // the isolated server also loses its disk
	earlyDeparture bool             // workers leave right after the cut, before the server notices that it is isolated
	othersRestart  bool             // restarts the other servers when the cut begins; they soon elect a leader
}

func (c cutScenario) String() string {
	name := string(c.variant)
	if name == "" {
		name = "frozen"
	}
	for _, one := range []struct {
		holds bool
		name  string
	}{{!c.follower, "leader"}, {c.follower, "follower"}, {len(c.agents) > 0, "with agents"}, {c.restart, "restarted"}, {c.wiped, "wiped"}, {c.earlyDeparture, "early"}, {c.othersRestart, "while the others restart"}} {
		if one.holds {
			name += " " + one.name
		}
	}
	return name
}

// cutScenarios returns the partition scenarios that operators have reported, for a leader and for a follower.
func cutScenarios() []cutScenario {
	var all []cutScenario
	for _, follower := range []bool{false, true} {
		for _, variant := range []schedule.Variant{schedule.PartitionServers, schedule.PartitionSide, schedule.PartitionInbound, schedule.PartitionOutbound, ""} {
			all = append(all, cutScenario{variant: variant, follower: follower})
		}
		all = append(all,
			cutScenario{variant: schedule.PartitionSide, follower: follower, agents: []int{0, 1}},
			cutScenario{variant: schedule.PartitionServers, follower: follower, restart: true},
			cutScenario{variant: schedule.PartitionSide, follower: follower, agents: []int{0}, restart: true},
			cutScenario{variant: schedule.PartitionServers, follower: follower, restart: true, wiped: true},
			cutScenario{variant: schedule.PartitionServers, follower: follower, earlyDeparture: true},
			cutScenario{variant: schedule.PartitionServers, follower: follower, othersRestart: true},
		)
	}
	return all
}

// playCutScenario isolates a server for cutDuration, with callers that can reach only this server.
func playCutScenario(t *testing.T, seed uint64, c cutScenario, omit ...string) (Report, []string) {
	t.Helper()
	s := schedule.Schedule{
		Seed: seed, Servers: 3, Tolerance: 1, Agents: 4, Operators: 2, Workers: 4, Length: scenarioLength, Omit: omit,
	}
	var problems []string
	report := playScript(t, s, zap.NewNop(), func(sim *simulation, ctx context.Context) {
		time.Sleep(cutAt)
		victim := sim.serverToIsolate(c.follower)
		if victim < 0 {
			problems = append(problems, "no server to isolate: the configuration group has no leader")
			return
		}
		began, ended := sim.isolate(ctx, c, victim)
		time.Sleep(scenarioLength - sim.recorder.now())
		problems = append(problems, sim.acknowledgedDuringCut(victim, began+c.lease(), ended)...)
	})
	return report, problems
}

// lease returns how long after the cut begins the server may still answer calls that change nothing.
func (c cutScenario) lease() time.Duration {
	return cutLease(c.variant, 1)
}

// serverToIsolate returns the slot of the configuration group's leader, or of a server that is not its leader; -1 if there is none.
func (sim *simulation) serverToIsolate(follower bool) int {
	leads := func(status replica.Status) bool {
		return status.Shard == shards.ConfigurationShard && status.IsLeader()
	}
	for _, m := range sim.currentMachines() {
		if slices.ContainsFunc(m.inspect(), leads) != follower {
			return m.slot
		}
	}
	return -1
}

// isolate runs the scenario and returns when the cut began and ended.
func (sim *simulation) isolate(ctx context.Context, c cutScenario, victim int) (began, ended time.Duration) {
	began = sim.recorder.now()
	event := schedule.Event{
		At: began, Kind: schedule.Partition, Variant: c.variant, Servers: []int{victim}, Agents: c.agents, Duration: cutDuration, Restart: c.restart,
		Operators: []int{insideOperator}, Workers: []int{steadyWorker, drainWorker, leaveWorker},
	}
	during, stop := context.WithTimeout(ctx, cutDuration)
	defer stop()
	sim.goroutines.Go(func() { sim.departDuringCut(ctx, c.earlyDeparture) })
	sim.goroutines.Go(func() { sim.readDuringCut(during, sim.machineAt(victim)) })
	if c.othersRestart {
		sim.goroutines.Go(func() { sim.restartOthers(ctx, victim) })
	}
	if c.wiped {
		sim.goroutines.Go(func() {
			time.Sleep(cutDuration/3 + cutDuration/20)
			sim.machineAt(victim).wipe()
		})
	}
	if c.variant == "" {
		event.Kind = schedule.Freeze
		sim.restrictTo(event, sim.machinesAt(event.Servers))
		sim.playFreeze(ctx, event)
		sim.restrictTo(event, nil)
	} else {
		sim.playCut(ctx, event)
	}
	return began, sim.recorder.now()
}

// departDuringCut makes workers leave during the cut; they can report this only to the isolated server.
func (sim *simulation) departDuringCut(ctx context.Context, early bool) {
	if early {
		time.Sleep(readInterval)
	} else {
		time.Sleep(cutDuration / 2)
	}
	for worker, variant := range map[int]schedule.Variant{drainWorker: schedule.WorkerDrain, leaveWorker: schedule.WorkerDeregister} {
		gone := sim.workers[worker].detachIncarnation()
		sim.goroutines.Go(func() { gone.depart(ctx, variant) })
	}
}

// restartOthers restarts all servers but one at the same time and sends orders to them from then on.
func (sim *simulation) restartOthers(ctx context.Context, victim int) {
	endFault := sim.recorder.beginFault(history.Fault{Description: "all others are killed", Core: true, Lost: sim.allSlots()})
	var others []*machine
	for _, m := range sim.currentMachines() {
		if m.slot != victim {
			m.kill()
			others = append(others, m)
		}
	}
	sim.startAll(others)
	endFault()
	outside := sim.operators[outsideOperator]
	outside.restrictTo(others)
	until, stop := context.WithTimeout(ctx, concurrentLeaderWindow)
	defer stop()
	sim.goroutines.Go(func() { sim.readRepeatedly(until, sim.machineAt(victim)) })
	var sending sync.WaitGroup
	for _, m := range others {
		sending.Go(func() { sim.sendOrdersRepeatedly(until, outside, m) })
	}
	sending.Wait()
	outside.restrictTo(nil)
}

// sendOrdersRepeatedly sends orders from an operator to a server, one after the other, until ctx ends.
func (sim *simulation) sendOrdersRepeatedly(ctx context.Context, o *operator, to *machine) {
	for ctx.Err() == nil {
		sent := o.makeOrder(sim.newestBase([]int{outsideOperator, insideOperator}))
		if final, accepted := classify(o.attempt(sent, to, 1)); final {
			o.recordOutcome(ctx, sent, accepted)
		}
	}
}

// readRepeatedly reads from a server at short intervals until ctx ends.
func (sim *simulation) readRepeatedly(ctx context.Context, from *machine) {
	for simnet.Sleep(ctx, concurrentLeaderWindow/100) {
		sim.operators[insideOperator].read(ctx, from)
	}
}

// readDuringCut reads from the isolated server until ctx ends.
func (sim *simulation) readDuringCut(ctx context.Context, from *machine) {
	for simnet.Sleep(ctx, readInterval) {
		sim.operators[insideOperator].read(ctx, from)
	}
}

// acknowledgedDuringCut describes the final answers, positive or negative, that the isolated server gave although it could not
// know whether they were current.
func (sim *simulation) acknowledgedDuringCut(victim int, from, to time.Duration) []string {
	recorded, _ := sim.recorder.result()
	var problems []string
	for _, one := range recorded.Operations {
		if one.Server == victim && one.Call >= from && one.Return < to && one.Outcome != history.Unknown {
			problems = append(problems, "final answer from the isolated server: "+one.String())
		}
	}
	inside := func(instance string) bool {
		return slices.ContainsFunc([]int{steadyWorker, drainWorker, leaveWorker}, func(worker int) bool {
			return instance == fmt.Sprintf("w%d-1", worker)
		})
	}
	for _, one := range recorded.Heartbeats {
		if inside(one.Instance) && one.At >= from && one.At < to {
			problems = append(problems, fmt.Sprintf("isolated server acknowledged a heartbeat of %s at %v", one.Instance, one.At))
		}
	}
	for _, one := range recorded.Departures {
		if inside(one.Instance) && one.Acknowledged >= from && one.Acknowledged < to {
			problems = append(problems, fmt.Sprintf("isolated server acknowledged the departure of %s at %v", one.Instance, one.Acknowledged))
		}
	}
	return problems
}

func TestCut_isolatedServerServesNothingAsCurrent(t *testing.T) {
	for i, c := range cutScenarios() {
		t.Run(c.String(), func(t *testing.T) {
			report, problems := playCutScenario(t, uint64(1+i), c)
			if len(problems) > 0 || report.Failed() {
				t.Errorf("isolated server during the cut: %v\nreport: %v", problems, report)
			}
			if report.Figures.Acknowledged < 10 {
				t.Errorf("got %d acknowledged orders, want at least 10", report.Figures.Acknowledged)
			}
		})
	}
}

// guardedCuts lists the guards that matter during a partition, each with a scenario that violates a guarantee without it.
var guardedCuts = []struct {
	guard    string
	scenario cutScenario
	seed     uint64 // first of 20 seeds, at least one of which shows the violation
}{
	{"keeper.read-confirmed", cutScenario{variant: schedule.PartitionServers, othersRestart: true}, 1},
	{"agreement.read-confirmed", cutScenario{variant: schedule.PartitionServers, othersRestart: true}, 20},
	{"keeper.feed-current", cutScenario{variant: schedule.PartitionServers}, 1},
	{"keeper.beat-current", cutScenario{variant: schedule.PartitionServers, follower: true}, 1},
	{"keeper.beat-recorded", cutScenario{variant: schedule.PartitionServers, follower: true, earlyDeparture: true}, 1},
	{"keeper.founding-once", cutScenario{variant: schedule.PartitionServers, restart: true, wiped: true}, 1},
	{"agreement.commit-majority", cutScenario{variant: schedule.PartitionServers}, 1},
	{GuardLeaveStale, cutScenario{variant: schedule.PartitionServers}, 1},
}

func TestCut_eachGuardIsNeeded(t *testing.T) {
	for _, one := range guardedCuts {
		t.Run(one.guard, func(t *testing.T) {
			const attempts = 20
			for seed := range uint64(attempts) {
				if report, problems := playCutScenario(t, one.seed+seed, one.scenario, one.guard); len(problems) > 0 || report.Failed() {
					t.Logf("seed %d violates a guarantee: %.300v %.300v", one.seed+seed, problems, report.Violations)
					return
				}
			}
			t.Errorf("guard %s omitted: %d seeds of scenario %q violated no guarantee, want at least one violation", one.guard, attempts, one.scenario)
		})
	}
}
