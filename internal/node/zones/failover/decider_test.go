package failover

import (
	"math"
	"testing"
	"time"

	"ospreybend/internal/node/zones/commands"
	"ospreybend/internal/node/zones/health"
)

var testClasses = []Class{{Name: "check", Value: 2}, {Name: "preview", Value: 1}, {Name: "book", Value: 4, NonIdempotent: true}}

// observation returns the merged observation of n processes that each saw good and bad steps, with a load of work.
func observation(n int, good, bad float64) health.Observation {
	s := health.Observation{Slots: 10, WorkRate: []float64{1, 1, 1}}
	for range n {
		one := health.Observation{StepCounts: health.StepCounts{Sent: good + bad, Succeeded: good, Failed: bad}, Observers: 1, RecentSteps: good + bad}
		if bad >= good {
			one.FailingObservers = 1
		}
		s.Add(one)
	}
	return s
}

var healthyBy3, failingBy3 = observation(3, 10, 0), observation(3, 0, 10)

// shownBy returns the digest of zones a, b and c of three processes each, all healthy but for what differs.
func shownBy(differs map[[2]string]health.Observation) health.Digest {
	d := health.Digest{}
	for _, from := range []string{"a", "b", "c"} {
		at := health.ZoneReport{Processes: 3, Observations: health.Observations{}}
		for _, to := range []string{"a", "b", "c"} {
			s, ok := differs[[2]string{from, to}]
			if !ok {
				s = healthyBy3
			}
			at.Observations[to] = s
		}
		d[from] = at
	}
	return d
}

// The condition of zone b by what the zones observe of it.
func TestSettings_assessZones(t *testing.T) {
	late := observation(3, 10, 0)
	late.Late = 25
	crowded := observation(3, 5, 10)
	crowded.WorkRate = []float64{4, 4, 4}
	one := observation(2, 10, 0)
	one.Add(observation(1, 0, 10))
	gone := shownBy(map[[2]string]health.Observation{{"a", "b"}: failingBy3, {"c", "b"}: failingBy3})
	delete(gone, "b")
	for _, c := range []struct {
		name string
		seen health.Digest
		want Condition
	}{
		{"all well", shownBy(nil), Healthy},
		{"nobody gets anything done there", shownBy(map[[2]string]health.Observation{{"a", "b"}: failingBy3, {"b", "b"}: failingBy3, {"c", "b"}: failingBy3}), Failed},
		{"and its processes are gone, too", gone, Failed},
		{"its own processes reach it", shownBy(map[[2]string]health.Observation{{"a", "b"}: failingBy3, {"c", "b"}: failingBy3}), PartiallyUnreachable},
		{"one zone does not reach it", shownBy(map[[2]string]health.Observation{{"a", "b"}: failingBy3}), PartiallyUnreachable},
		{"one zone alone speaks", health.Digest{"a": {Processes: 3, Observations: health.Observations{"a": healthyBy3, "b": failingBy3}}}, Unknown},
		{"who says so reaches nobody", shownBy(map[[2]string]health.Observation{{"a", "b"}: failingBy3, {"a", "c"}: failingBy3}), Healthy},
		{"one process is cut off", shownBy(map[[2]string]health.Observation{{"a", "b"}: one, {"c", "b"}: one, {"b", "b"}: one}), Healthy},
		{"too few steps to tell", shownBy(map[[2]string]health.Observation{{"a", "b"}: observation(2, 0, 1), {"b", "b"}: observation(2, 0, 1), {"c", "b"}: observation(2, 0, 1)}), Unknown},
		{"it only has too much to do", shownBy(map[[2]string]health.Observation{{"a", "b"}: crowded, {"b", "b"}: crowded, {"c", "b"}: crowded}), Overloaded},
		{"it alone is late", shownBy(map[[2]string]health.Observation{{"a", "b"}: late, {"b", "b"}: late, {"c", "b"}: late}), Slow},
		{"all are late", shownBy(map[[2]string]health.Observation{{"a", "a"}: late, {"a", "b"}: late, {"a", "c"}: late, {"b", "a"}: late,
			{"b", "b"}: late, {"b", "c"}: late, {"c", "a"}: late, {"c", "b"}: late, {"c", "c"}: late}), Healthy},
	} {
		if got := DefaultSettings().assessZones(c.seen, &commands.Table{})["b"]; got.Condition != c.want {
			t.Errorf("%s: %v, not %v", c.name, got.Condition, c.want)
		}
	}
}

// simulatedFleet applies a decider's changes to a table at once.
type simulatedFleet struct {
	t     *testing.T
	d     *Decider
	table commands.Table
	now   time.Duration
	wall  int64
}

func newSimulatedFleet(t *testing.T) *simulatedFleet {
	return &simulatedFleet{t: t, d: New(DefaultSettings(), testClasses), now: time.Hour,
		table: commands.Table{Zones: map[string]commands.ZoneState{}, Overrides: map[string]commands.Override{}}}
}

// observe presents the same observations for a while and returns the state of zone b.
func (s *simulatedFleet) observe(span time.Duration, v health.Digest) commands.ZoneState {
	for end := s.now + span; s.now < end; s.now += 200 * time.Millisecond {
		change, _ := s.d.Decide(s.now, s.wall, v, &s.table)
		if change == nil {
			continue
		}
		s.table.Epoch++
		for name, z := range change.Zones {
			z.SinceEpoch = s.table.Epoch
			s.table.Zones[name] = z
		}
		if change.SetsAdmission {
			s.table.Admission = change.Admission
		}
	}
	return s.table.Zone("b")
}

var failing = shownBy(map[[2]string]health.Observation{{"a", "b"}: failingBy3, {"b", "b"}: failingBy3, {"c", "b"}: failingBy3})

// A failed zone is evacuated, probed after a backoff that doubles with each failure, and returns by slow start steps
// no larger than its warm capacity; failures during a step halve the share.
func TestDecider_evacuatesAndReturns(t *testing.T) {
	s := newSimulatedFleet(t)
	if z := s.observe(time.Second, failing); z.Phase != commands.PhaseEvacuated || z.Share != 0 || z.Failures != 1 {
		t.Fatalf("after the failure: %+v", z)
	}
	if z := s.observe(2*time.Second, failing); z.Phase != commands.PhaseProbing || z.ProbeFraction*z.Share > DefaultSettings().InitialShare+1e-9 {
		t.Fatalf("after the backoff: %+v", z)
	}
	if z := s.observe(1500*time.Millisecond, failing); z.Phase != commands.PhaseEvacuated || z.Failures != 2 {
		t.Fatalf("after failed probes: %+v", z)
	}
	if z := s.observe(3*time.Second, failing); z.Phase != commands.PhaseEvacuated {
		t.Fatalf("before the doubled backoff ended: %+v", z)
	}
	s.observe(1200*time.Millisecond, failing)
	warmupDeficit := observation(3, 10, 0)
	warmupDeficit.WarmupDeficit = 0.7
	coming := shownBy(map[[2]string]health.Observation{{"a", "b"}: warmupDeficit, {"b", "b"}: warmupDeficit, {"c", "b"}: warmupDeficit})
	if z := s.observe(12*time.Second, coming); z.Phase != commands.PhaseSlowStart || z.Share != 0.25 {
		t.Fatalf("at three tenths of the capacity: %+v", z)
	}
	if z := s.observe(400*time.Millisecond, failing); z.Phase != commands.PhaseSlowStart || z.Share != 0.125 {
		t.Fatalf("after failures in a step: %+v", z)
	}
	last := 0.0
	for range 40 {
		z := s.observe(200*time.Millisecond, shownBy(nil))
		if z.Share > 2*last && last > 0 {
			t.Fatalf("from %v to %v at once", last, z.Share)
		}
		last = z.Share
	}
	z := s.table.Zone("b")
	if z.Phase != commands.PhaseActive || z.Share != 1 || z.Failures != 2 {
		t.Fatalf("after the slow start: %+v", z)
	}
	if z := s.observe(31*time.Second, shownBy(nil)); z.Failures != 0 {
		t.Errorf("the failure count is not reset: %+v", z)
	}
}

// A new leader starts the time of a step anew and continues from the share.
func TestDecider_slowStartSurvivesLeaderChange(t *testing.T) {
	s := newSimulatedFleet(t)
	s.table = commands.Table{Epoch: 7, Zones: map[string]commands.ZoneState{"b": {Phase: commands.PhaseSlowStart, Share: 0.25, Step: 3, Failures: 1, SinceEpoch: 7}}}
	if z := s.observe(time.Second, shownBy(nil)); z.Share != 0.25 {
		t.Errorf("at once: %+v", z)
	}
	if z := s.observe(800*time.Millisecond, shownBy(nil)); z.Share != 0.5 {
		t.Errorf("after its time: %+v", z)
	}
}

// No zone is evacuated when more than half of the capacity looks failed.
func TestDecider_keepsZonesOnMassFailure(t *testing.T) {
	s := newSimulatedFleet(t)
	big := observation(3, 0, 10)
	big.Slots = 50
	if z := s.observe(2*time.Second, shownBy(map[[2]string]health.Observation{{"a", "b"}: big, {"b", "b"}: big, {"c", "b"}: big})); z.Phase != commands.PhaseActive {
		t.Errorf("%+v", z)
	}
}

// When capacity is short, the class of the lowest value is rejected first, a non-idempotent one last.
func TestDecider_rejectsLowestValueFirst(t *testing.T) {
	s := newSimulatedFleet(t)
	busy := func(z health.Observation) health.Observation { z.WorkRate = []float64{2.5, 2.5, 1}; return z }
	v := shownBy(nil)
	for _, from := range v {
		for to, z := range from.Observations {
			if to == "b" {
				z = failingBy3
			}
			from.Observations[to] = busy(z)
		}
	}
	if s.observe(3*time.Second, v); len(s.table.Admission) > 0 {
		t.Errorf("a burst is rejected: %v", s.table.Admission)
	}
	s.observe(3*time.Second, v)
	a := s.table.Admission
	if admittedFraction(a, "book") != 1 || admittedFraction(a, "check") >= 1 || admittedFraction(a, "preview") > admittedFraction(a, "check") {
		t.Errorf("admission: %v", a)
	}
	for range 20 {
		s.observe(time.Second, shownBy(nil))
	}
	if len(s.table.Admission) != 0 {
		t.Errorf("all zones are healthy, admission is %v", s.table.Admission)
	}
}

// A slow zone keeps a reduced share; a partition concerns only the zones beyond it.
func TestDecider_slowAndPartiallyUnreachable(t *testing.T) {
	s := newSimulatedFleet(t)
	late := observation(3, 10, 0)
	late.Late = 18
	slow := shownBy(map[[2]string]health.Observation{{"a", "b"}: late, {"b", "b"}: late, {"c", "b"}: late})
	if z := s.observe(3300*time.Millisecond, slow); z.Phase != commands.PhaseReduced || z.Share != 0.25 {
		t.Errorf("slow: %+v", z)
	}
	s = newSimulatedFleet(t)
	if z := s.observe(2*time.Second, shownBy(map[[2]string]health.Observation{{"a", "b"}: failingBy3})); z.Phase != commands.PhaseActive || len(z.UnreachableFrom) != 1 || z.UnreachableFrom[0] != "a" {
		t.Errorf("partitioned: %+v", z)
	}
	if z := s.observe(2*time.Second, shownBy(nil)); len(z.UnreachableFrom) != 0 {
		t.Errorf("reached again: %+v", z)
	}
}

// An override takes precedence until it expires.
func TestDecider_overrides(t *testing.T) {
	s := newSimulatedFleet(t)
	say := func(do string) {
		s.table.Overrides["b"] = commands.Override{Zone: "b", Action: do, Reason: "works", Until: 10}
	}
	say(commands.OverrideEvacuate)
	if z := s.observe(20*time.Second, shownBy(nil)); z.Phase != commands.PhaseEvacuated {
		t.Errorf("evacuated by override: %+v", z)
	}
	say(commands.OverrideRestore)
	if z := s.observe(time.Second, failing); z.Phase != commands.PhaseSlowStart || math.Abs(z.Share-DefaultSettings().InitialShare) > 1e-9 {
		t.Errorf("restored by override: %+v", z)
	}
	s = newSimulatedFleet(t)
	say(commands.OverrideFreeze)
	if z := s.observe(3*time.Second, failing); z.Phase != commands.PhaseActive {
		t.Errorf("frozen by override: %+v", z)
	}
	s.wall = 11
	if z := s.observe(time.Second, failing); z.Phase != commands.PhaseEvacuated {
		t.Errorf("after the override expired: %+v", z)
	}
}
