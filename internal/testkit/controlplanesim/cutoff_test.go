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

// Times of the scenarios of a cut.
const (
	cutAt        = 6 * time.Second
	cutFor       = 20 * time.Second
	cutLength    = cutAt + cutFor + 6*time.Second
	readInterval = 300 * time.Millisecond // of reads behind the cut
	hurry        = time.Second            // in which a new leader may be there beside the old one
)

// Roles of the operators and workers in these scenarios.
const (
	outsideOperator = 0 // goes to all servers
	insideOperator  = 1 // reaches the cut ones alone
	steadyWorker    = 0 // has its heartbeats go there alone
	drainWorker     = 1 // drains there
	leaveWorker     = 2 // deregisters there without notice before
	crashWorker     = 3 // reaches all, and is there throughout
)

// cutScenario is one way in which a server is partitioned off.
type cutScenario struct {
	variant  schedule.Variant // empty: it is frozen
	follower bool             // not the leader of the configuration's group
	agents   []int            // that are partitioned off along with it
	restart  bool             // its process is restarted behind the cut
	wiped    bool             // and has lost its disk
	early    bool             // workers leave right after the beginning, when it does not know yet
	others   bool             // the other processes are restarted at the beginning, and soon have a leader
}

func (c cutScenario) String() string {
	name := string(c.variant)
	if name == "" {
		name = "frozen"
	}
	for _, one := range []struct {
		holds bool
		name  string
	}{{!c.follower, "leader"}, {c.follower, "follower"}, {len(c.agents) > 0, "with agents"}, {c.restart, "restarted"}, {c.wiped, "wiped"}, {c.early, "early"}, {c.others, "while the others restart"}} {
		if one.holds {
			name += " " + one.name
		}
	}
	return name
}

// cutScenarios are all ways in which the operators report that a server was partitioned off.
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
			cutScenario{variant: schedule.PartitionServers, follower: follower, early: true},
			cutScenario{variant: schedule.PartitionServers, follower: follower, others: true},
		)
	}
	return all
}

// playCutScenario cuts a server off for twenty seconds, with callers that reach it alone.
func playCutScenario(t *testing.T, seed uint64, c cutScenario, omit ...string) (Report, []string) {
	t.Helper()
	s := schedule.Schedule{
		Seed: seed, Servers: 3, Tolerance: 1, Agents: 4, Operators: 2, Workers: 4, Length: cutLength, Omit: omit,
	}
	var wrong []string
	report := playScript(t, s, zap.NewNop(), func(w *world, ctx context.Context) {
		time.Sleep(cutAt)
		victim := w.victim(c.follower)
		if victim < 0 {
			wrong = append(wrong, "no group is led")
			return
		}
		began, ended := w.cutOff(ctx, c, victim)
		time.Sleep(cutLength - w.record.now())
		wrong = append(wrong, w.acknowledgedBehind(victim, began+c.lease(), ended)...)
	})
	return report, wrong
}

// lease is how long after the beginning the server may still acknowledge what changes nothing.
func (c cutScenario) lease() time.Duration {
	return cutLease(c.variant, 1)
}

// victim returns the slot of the server that leads the configuration's group, or of one that doesn't.
func (w *world) victim(follower bool) int {
	leads := func(status replica.Status) bool {
		return status.Shard == shards.ConfigurationShard && status.IsLeader()
	}
	for _, m := range w.currentMachines() {
		if slices.ContainsFunc(m.inspect(), leads) != follower {
			return m.slot
		}
	}
	return -1
}

// cutOff carries the scenario out and returns when the cut began and ended.
func (w *world) cutOff(ctx context.Context, c cutScenario, victim int) (began, ended time.Duration) {
	began = w.record.now()
	event := schedule.Event{
		At: began, Kind: schedule.Partition, Variant: c.variant, Servers: []int{victim}, Agents: c.agents, Duration: cutFor, Restart: c.restart,
		Operators: []int{insideOperator}, Workers: []int{steadyWorker, drainWorker, leaveWorker},
	}
	during, stop := context.WithTimeout(ctx, cutFor)
	defer stop()
	w.running.Go(func() { w.leaveBehind(ctx, c.early) })
	w.running.Go(func() { w.readBehind(during, w.machineAt(victim)) })
	if c.others {
		w.running.Go(func() { w.restartOthers(ctx, victim) })
	}
	if c.wiped {
		w.running.Go(func() {
			time.Sleep(cutFor/3 + cutFor/20)
			w.machineAt(victim).wipe()
		})
	}
	if c.variant == "" {
		event.Kind = schedule.Freeze
		w.restrictTo(event, w.machinesAt(event.Servers))
		w.playFreeze(ctx, event)
		w.restrictTo(event, nil)
	} else {
		w.playCut(ctx, event)
	}
	return began, w.record.now()
}

// leaveBehind has workers leave in the middle of the cut, which they can tell the cut server alone.
func (w *world) leaveBehind(ctx context.Context, early bool) {
	if early {
		time.Sleep(readInterval)
	} else {
		time.Sleep(cutFor / 2)
	}
	for worker, variant := range map[int]schedule.Variant{drainWorker: schedule.WorkerDrain, leaveWorker: schedule.WorkerDeregister} {
		gone := w.workers[worker].takeIncarnation()
		w.running.Go(func() { gone.depart(ctx, variant) })
	}
}

// restartOthers restarts the processes of all but one server at once, and sends orders as soon as they can be accepted.
func (w *world) restartOthers(ctx context.Context, victim int) {
	over := w.record.beginFault(history.Fault{Description: "all others are killed", Core: true, Lost: w.allSlots()})
	var others []*machine
	for _, m := range w.currentMachines() {
		if m.slot != victim {
			m.kill()
			others = append(others, m)
		}
	}
	w.startAll(others)
	over()
	outside := w.operators[outsideOperator]
	outside.restrictTo(others)
	until, stop := context.WithTimeout(ctx, hurry)
	defer stop()
	w.running.Go(func() { w.readOften(until, w.machineAt(victim)) })
	var sending sync.WaitGroup
	for _, m := range others {
		sending.Go(func() { w.orderOften(until, outside, m) })
	}
	sending.Wait()
	outside.restrictTo(nil)
}

// orderOften has an operator send orders to a server, one after the other, until ctx ends.
func (w *world) orderOften(ctx context.Context, o *operator, to *machine) {
	for ctx.Err() == nil {
		sent := o.makeOrder(w.newestBase([]int{outsideOperator, insideOperator}))
		if ends, taken := classify(o.attempt(sent, to, 1)); ends {
			o.recordOutcome(ctx, sent, taken)
		}
	}
}

// readOften reads from a server again and again until ctx ends.
func (w *world) readOften(ctx context.Context, from *machine) {
	for simnet.Sleep(ctx, hurry/100) {
		w.operators[insideOperator].read(ctx, from)
	}
}

// readBehind reads from the cut server until ctx ends.
func (w *world) readBehind(ctx context.Context, from *machine) {
	for simnet.Sleep(ctx, readInterval) {
		w.operators[insideOperator].read(ctx, from)
	}
}

// acknowledgedBehind lists what the cut server acknowledged, or rejected for good, though it could not know.
func (w *world) acknowledgedBehind(victim int, from, to time.Duration) []string {
	seen, _ := w.record.result()
	var wrong []string
	for _, one := range seen.Operations {
		if one.Server == victim && one.Call >= from && one.Return < to && one.Outcome != history.Unknown {
			wrong = append(wrong, "behind the cut: "+one.String())
		}
	}
	inside := func(instance string) bool {
		return slices.ContainsFunc([]int{steadyWorker, drainWorker, leaveWorker}, func(worker int) bool {
			return instance == fmt.Sprintf("w%d-1", worker)
		})
	}
	for _, one := range seen.Heartbeats {
		if inside(one.Instance) && one.At >= from && one.At < to {
			wrong = append(wrong, fmt.Sprintf("behind the cut, %s is acknowledged a heartbeat at %v", one.Instance, one.At))
		}
	}
	for _, one := range seen.Departures {
		if inside(one.Instance) && one.Acknowledged >= from && one.Acknowledged < to {
			wrong = append(wrong, fmt.Sprintf("behind the cut, %s is acknowledged its departure at %v", one.Instance, one.Acknowledged))
		}
	}
	return wrong
}

func TestCut_isolatedServerServesNothingAsCurrent(t *testing.T) {
	for i, c := range cutScenarios() {
		t.Run(c.String(), func(t *testing.T) {
			report, wrong := playCutScenario(t, uint64(1+i), c)
			if len(wrong) > 0 || report.Failed() {
				t.Errorf("%v\n%v", wrong, report)
			}
			if report.Figures.Acknowledged < 10 {
				t.Errorf("only %d orders were taken", report.Figures.Acknowledged)
			}
		})
	}
}

// guardedCuts names the guards against cuts, each with a scenario that breaks a promise without it.
var guardedCuts = []struct {
	guard    string
	scenario cutScenario
	seed     uint64 // from which on one of twenty shows it
}{
	{"keeper.read-confirmed", cutScenario{variant: schedule.PartitionServers, others: true}, 1},
	{"agreement.read-confirmed", cutScenario{variant: schedule.PartitionServers, others: true}, 20},
	{"keeper.feed-current", cutScenario{variant: schedule.PartitionServers}, 1},
	{"keeper.beat-current", cutScenario{variant: schedule.PartitionServers, follower: true}, 1},
	{"keeper.beat-recorded", cutScenario{variant: schedule.PartitionServers, follower: true, early: true}, 1},
	{"keeper.founding-once", cutScenario{variant: schedule.PartitionServers, restart: true, wiped: true}, 1},
	{"agreement.commit-majority", cutScenario{variant: schedule.PartitionServers}, 1},
	{GuardLeaveStale, cutScenario{variant: schedule.PartitionServers}, 1},
}

func TestCut_eachGuardIsNeeded(t *testing.T) {
	for _, one := range guardedCuts {
		t.Run(one.guard, func(t *testing.T) {
			const attempts = 20
			for seed := range uint64(attempts) {
				if report, wrong := playCutScenario(t, one.seed+seed, one.scenario, one.guard); len(wrong) > 0 || report.Failed() {
					t.Logf("seed %d: %.300v %.300v", one.seed+seed, wrong, report.Violations)
					return
				}
			}
			t.Errorf("without %s, no promise is broken by %q", one.guard, one.scenario)
		})
	}
}
