package nodesim

import (
	"math"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"
)

func mustSimulate(t *testing.T, d Day) Result {
	t.Helper()
	r, err := Simulate(d)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// The same day must give the same result twice, and another seed a different one.
func TestSimulate_deterministic(t *testing.T) {
	d := ReferenceDay(20, 15, 3).WithNodeKill()
	a, b := mustSimulate(t, d), mustSimulate(t, d)
	if !reflect.DeepEqual(a, b) {
		t.Errorf("same day simulated twice: first %+v, then %+v", a, b)
	}
	if c := mustSimulate(t, ReferenceDay(20, 15, 4).WithNodeKill()); reflect.DeepEqual(a, c) {
		t.Error("seeds 3 and 4 gave the same result")
	}
}

// The value of every operation is counted exactly once, by its outcome.
func TestSimulate_everyOperationEnds(t *testing.T) {
	for name, d := range map[string]Day{"released": ReferenceDay(20, 15, 1).WithRelease(), "returned": ReferenceDay(20, 15, 1).WithWorkerLoss(),
		"killed": ReferenceDay(20, 15, 1).WithNodeKill()} {
		r := mustSimulate(t, d)
		lost := r.Served + r.RunLate + r.QueueLate + r.PendingLate + r.RejectedValue + r.FailedValue
		if r.Requests() < 100 || r.Value-lost > 1e-6*r.Value || lost-r.Value > 1e-6*r.Value {
			t.Errorf("%s: %.0f operations, want at least 100; total value %.3f, sum over the outcomes %.3f, want both equal", name, r.Requests(), r.Value, lost)
		}
	}
}

// An invalid day is rejected with an error that names the parameter.
func TestSimulate_invalidDay(t *testing.T) {
	for name, spoil := range map[string]func(*Day){"nodes": func(d *Day) { d.Nodes = 0 }, "workers": func(d *Day) { d.Workers = -1 },
		"load": func(d *Day) { d.Load = math.NaN() }, "length": func(d *Day) { d.Length = math.Inf(1) }, "classes": func(d *Day) { d.Classes = nil }} {
		d := ReferenceDay(2, 2, 1)
		spoil(&d)
		if _, err := Simulate(d); err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("invalid %s: got error %v, want one that names it", name, err)
		}
	}
}

// During a release that replaces 60% of the prep workers within 7 s, all nodes learn of the new workers at about the same
// time. Together they must not overload any of them, also if 70% of the nodes are killed and restarted meanwhile, and if
// the endpoint list has its maximum delay.
func TestSimulate_warmingWorkersNotOverloaded(t *testing.T) {
	for seed := range uint64(4) {
		d := ReferenceDay(80, 60, 1+seed).WithRelease()
		if seed%2 == 1 {
			d.NodeKill = NodeKill{At: 11, Down: 1, Share: 0.7}
		}
		if seed > 1 {
			d.ListDelay = Range{6, 6}
		}
		if r := mustSimulate(t, d); r.Overloaded > 0 || r.MaxWarmUpLoad == 0 {
			t.Errorf("seed %d: %d warming workers overloaded, want 0; highest load %.2f of its limit, want above 0", d.Seed, r.Overloaded, r.MaxWarmUpLoad)
		}
	}
}

// The endpoint list reports restarted prep workers late: a single worker in a fleet of 300 nodes, and 30% of the workers
// in one of 80 nodes. Nodes that have not been notified may overload a restarted worker; those that have must stay well
// below its limit. With 300 nodes a worker gets far less than it could serve, since each node may send only little.
func TestSimulate_warmingWorkerListedLate(t *testing.T) {
	for seed := range uint64(3) {
		one := ReferenceDay(300, 60, 1+seed)
		one.Length, one.WorkerLoss, one.ListDelay = 16, WorkerLoss{At: 5, For: 2, Share: 1. / 60}, Range{1, 6}
		many := ReferenceDay(80, 60, 1+seed).WithWorkerLoss()
		many.ListDelay = Range{1, 6}
		for name, d := range map[string]Day{"one": one, "many": many} {
			if r := mustSimulate(t, d); r.Overloaded > 0 || r.MaxWarmUpLoad == 0 || r.MaxWarmUpLoad > 0.4 {
				t.Errorf("%s, seed %d: %d overloaded by notified nodes, want 0 (%d others); highest load %.2f of its limit, want above 0 and at most 0.4", name, d.Seed, r.Overloaded, r.OverloadedUnknown, r.MaxWarmUpLoad)
			}
		}
	}
}

// A class with about 5% of the total value must be served at least half as well as all classes together, under overload
// and with 30% of the prep workers lost and restarted.
func TestSimulate_noClassStarved(t *testing.T) {
	for seed := range uint64(2) {
		over := ReferenceDay(60, 40, 1+seed)
		over.Load = 1.2
		for name, d := range map[string]Day{"overload": over, "returned": ReferenceDay(60, 40, 1+seed).WithWorkerLoss()} {
			for class, factor := range []float64{0.45, 0.18} { // the two idempotent classes in turn
				d.Settings.Classes = slices.Clone(ReferenceDay(1, 1, 1).Settings.Classes)
				d.Settings.Classes[class].Value *= factor
				r := mustSimulate(t, d)
				value, part, all := r.ClassValue[class]/r.Value, r.ClassServed[class]/r.ClassValue[class], r.Served/r.Value
				if part < all/2 || value < 0.03 || value > 0.08 {
					t.Errorf("%s, seed %d: class %d with %.3f of the value (want 0.03 to 0.08): fraction %.3f served, all classes %.3f, want at least half of that", name, d.Seed, class, value, part, all)
				}
			}
		}
	}
}

// A worker with four slots starts jobs in FIFO order: a job that does not fit blocks those queued behind it. A warming
// worker is slow and warms up through its work.
func TestWorker_servesInOrder(t *testing.T) {
	d := ReferenceDay(1, 1, 1)
	d.Kinds = []Kind{{Share: 1, Cores: 4, Speed: Range{1, 1}, SlotsPerCore: Range{1, 1}, QueuePerCore: Range{8, 8},
		WarmUpFloor: Range{0.25, 0.25}, WarmUpTime: Range{20, 20}}}
	d.AttemptNoise, d.WarmUpWork = 0, 0.05
	w := newWorld(d)
	k := w.addWorker(0)
	n := &node{world: w}
	if err := n.start(); err != nil {
		t.Fatal(err)
	}
	var steps []*attempt
	send := func(slots, work float64) {
		op := &operation{slots: slots, work: work, deadline: w.now + time.Hour}
		op.first, op.ended = op, true // no client waits for the result
		s := &attempt{operation: op, node: n, worker: k, sentAt: w.now, remainingWork: work}
		steps = append(steps, s)
		k.arrive(s)
	}
	began := func() (at []float64) {
		for _, s := range steps {
			at = append(at, math.Round((s.startedAt-dayStart).Seconds()*100)/100)
		}
		return at
	}
	send(2, 1)
	send(4, 2)
	send(1, 1)
	w.run(dayStart + 10*time.Second)
	if want := []float64{0, 1, 3}; !slices.Equal(began(), want) {
		t.Errorf("jobs started at %v s, want %v s", began(), want)
	}
	k.restart()
	steps = nil
	send(4, 1)
	send(4, 1)
	send(4, 1)
	w.run(dayStart + 40*time.Second)
	first, second := steps[1].startedAt-steps[0].startedAt, steps[2].startedAt-steps[1].startedAt
	if first < 1500*time.Millisecond || first > 2500*time.Millisecond || second > 1200*time.Millisecond {
		t.Errorf("jobs of 1 s after a restart: the first took %v, want 1.5s to 2.5s; the second %v, want at most 1.2s", first, second)
	}
}
