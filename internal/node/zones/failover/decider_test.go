package failover

import (
	"math"
	"testing"
	"time"

	"ospreybend/internal/node/zones/commands"
	"ospreybend/internal/node/zones/health"
)

var testClasses = []Class{{Name: "check", Value: 2}, {Name: "preview", Value: 1}, {Name: "book", Value: 4, NonIdempotent: true}}

// observationBy returns the merged observation of a number of processes, each of which saw the given numbers of
// succeeded and failed steps. A process sees the zone fail if at least half of its steps failed. The zone has 10 slots.
func observationBy(processes int, succeeded, failed float64) health.Observation {
	merged := health.Observation{Slots: 10, WorkRate: []float64{1, 1, 1}}
	for range processes {
		perProcess := health.Observation{StepCounts: health.StepCounts{Sent: succeeded + failed, Succeeded: succeeded, Failed: failed}, Observers: 1, RecentSteps: succeeded + failed}
		if failed >= succeeded {
			perProcess.FailingObservers = 1
		}
		merged.Add(perProcess)
	}
	return merged
}

// The observations by three processes of a healthy and of a failing zone.
var healthyObservation, failingObservation = observationBy(3, 10, 0), observationBy(3, 0, 10)

// digestWith returns the digest of the zones a, b and c with three processes each. All observe all zones as healthy,
// except for the given pairs of observing and observed zone.
func digestWith(exceptions map[[2]string]health.Observation) health.Digest {
	digest := health.Digest{}
	for _, from := range []string{"a", "b", "c"} {
		report := health.ZoneReport{Processes: 3, Observations: health.Observations{}}
		for _, to := range []string{"a", "b", "c"} {
			observed, ok := exceptions[[2]string{from, to}]
			if !ok {
				observed = healthyObservation
			}
			report.Observations[to] = observed
		}
		digest[from] = report
	}
	return digest
}

// assessZones derives the condition of zone b from the observations of all zones.
func TestSettings_assessZones(t *testing.T) {
	late := observationBy(3, 10, 0)
	late.Late = 25
	overloaded := observationBy(3, 5, 10)
	overloaded.WorkRate = []float64{4, 4, 4}
	oneOfThreeFailing := observationBy(2, 10, 0)
	oneOfThreeFailing.Add(observationBy(1, 0, 10))
	zoneBSilent := digestWith(map[[2]string]health.Observation{{"a", "b"}: failingObservation, {"c", "b"}: failingObservation})
	delete(zoneBSilent, "b")
	for _, c := range []struct {
		name   string
		digest health.Digest
		want   Condition
	}{
		{"all zones healthy", digestWith(nil), Healthy},
		{"fails from all zones", digestWith(map[[2]string]health.Observation{{"a", "b"}: failingObservation, {"b", "b"}: failingObservation, {"c", "b"}: failingObservation}), Failed},
		{"fails from the other zones, its own processes do not report", zoneBSilent, Failed},
		{"only its own processes reach it", digestWith(map[[2]string]health.Observation{{"a", "b"}: failingObservation, {"c", "b"}: failingObservation}), PartiallyUnreachable},
		{"one zone cannot reach it", digestWith(map[[2]string]health.Observation{{"a", "b"}: failingObservation}), PartiallyUnreachable},
		{"fails from the only zone that reports", health.Digest{"a": {Processes: 3, Observations: health.Observations{"a": healthyObservation, "b": failingObservation}}}, Unknown},
		{"the only zone from which it fails cannot reach most zones", digestWith(map[[2]string]health.Observation{{"a", "b"}: failingObservation, {"a", "c"}: failingObservation}), Healthy},
		{"fails from one of three processes in each zone", digestWith(map[[2]string]health.Observation{{"a", "b"}: oneOfThreeFailing, {"c", "b"}: oneOfThreeFailing, {"b", "b"}: oneOfThreeFailing}), Healthy},
		{"too few failed steps", digestWith(map[[2]string]health.Observation{{"a", "b"}: observationBy(2, 0, 1), {"b", "b"}: observationBy(2, 0, 1), {"c", "b"}: observationBy(2, 0, 1)}), Unknown},
		{"offered more than its capacity, serves a third", digestWith(map[[2]string]health.Observation{{"a", "b"}: overloaded, {"b", "b"}: overloaded, {"c", "b"}: overloaded}), Overloaded},
		{"only its steps are late", digestWith(map[[2]string]health.Observation{{"a", "b"}: late, {"b", "b"}: late, {"c", "b"}: late}), Slow},
		{"steps are late in all zones", digestWith(map[[2]string]health.Observation{{"a", "a"}: late, {"a", "b"}: late, {"a", "c"}: late, {"b", "a"}: late,
			{"b", "b"}: late, {"b", "c"}: late, {"c", "a"}: late, {"c", "b"}: late, {"c", "c"}: late}), Healthy},
	} {
		if got := DefaultSettings().assessZones(c.digest, &commands.Table{})["b"]; got.Condition != c.want {
			t.Errorf("%s: condition %v, want %v", c.name, got.Condition, c.want)
		}
	}
}

// simulatedFleet applies the changes of a Decider to a table without delay.
type simulatedFleet struct {
	t        *testing.T
	decider  *Decider
	table    commands.Table
	now      time.Duration
	wallTime int64
}

func newSimulatedFleet(t *testing.T) *simulatedFleet {
	return &simulatedFleet{t: t, decider: New(DefaultSettings(), testClasses), now: time.Hour,
		table: commands.Table{Zones: map[string]commands.ZoneState{}, Overrides: map[string]commands.Override{}}}
}

// observe lets the Decider decide on the same digest every 200 ms for a time span and returns the state of zone b.
func (s *simulatedFleet) observe(span time.Duration, digest health.Digest) commands.ZoneState {
	for end := s.now + span; s.now < end; s.now += 200 * time.Millisecond {
		change, _ := s.decider.Decide(s.now, s.wallTime, digest, &s.table)
		if change == nil {
			continue
		}
		s.table.Epoch++
		for name, state := range change.Zones {
			state.SinceEpoch = s.table.Epoch
			s.table.Zones[name] = state
		}
		if change.SetsAdmission {
			s.table.Admission = change.Admission
		}
	}
	return s.table.Zone("b")
}

// zoneBFailing is a digest in which zone b fails from all zones.
var zoneBFailing = digestWith(map[[2]string]health.Observation{{"a", "b"}: failingObservation, {"b", "b"}: failingObservation, {"c", "b"}: failingObservation})

// A failed zone is evacuated, probed after a backoff that doubles with each failure, and returned by a slow start that
// at most doubles the share at a time and does not exceed the warm capacity. Failures during a step halve the share.
func TestDecider_evacuatesAndReturns(t *testing.T) {
	s := newSimulatedFleet(t)
	if z := s.observe(time.Second, zoneBFailing); z.Phase != commands.PhaseEvacuated || z.Share != 0 || z.Failures != 1 {
		t.Fatalf("after one failing second: %+v, want evacuated with share 0 and 1 failure", z)
	}
	if z := s.observe(2*time.Second, zoneBFailing); z.Phase != commands.PhaseProbing || z.ProbeFraction*z.Share > DefaultSettings().InitialShare+1e-9 {
		t.Fatalf("after the backoff: %+v, want probing with at most the initial share over all processes", z)
	}
	if z := s.observe(1500*time.Millisecond, zoneBFailing); z.Phase != commands.PhaseEvacuated || z.Failures != 2 {
		t.Fatalf("after failed probes: %+v, want evacuated with 2 failures", z)
	}
	if z := s.observe(3*time.Second, zoneBFailing); z.Phase != commands.PhaseEvacuated {
		t.Fatalf("before the doubled backoff ended: %+v, want evacuated", z)
	}
	s.observe(1200*time.Millisecond, zoneBFailing)
	warmingUp := observationBy(3, 10, 0)
	warmingUp.WarmupDeficit = 0.7
	zoneBWarmingUp := digestWith(map[[2]string]health.Observation{{"a", "b"}: warmingUp, {"b", "b"}: warmingUp, {"c", "b"}: warmingUp})
	if z := s.observe(12*time.Second, zoneBWarmingUp); z.Phase != commands.PhaseSlowStart || z.Share != 0.25 {
		t.Fatalf("slow start with three tenths of the capacity warm: %+v, want share 0.25", z)
	}
	if z := s.observe(400*time.Millisecond, zoneBFailing); z.Phase != commands.PhaseSlowStart || z.Share != 0.125 {
		t.Fatalf("after failures in a slow start step: %+v, want slow start with share 0.125", z)
	}
	last := 0.0
	for range 40 {
		z := s.observe(200*time.Millisecond, digestWith(nil))
		if z.Share > 2*last && last > 0 {
			t.Fatalf("the share rose from %v to %v at once, want at most twofold", last, z.Share)
		}
		last = z.Share
	}
	z := s.table.Zone("b")
	if z.Phase != commands.PhaseActive || z.Share != 1 || z.Failures != 2 {
		t.Fatalf("after the slow start: %+v, want active with share 1 and 2 failures", z)
	}
	if z := s.observe(31*time.Second, digestWith(nil)); z.Failures != 0 {
		t.Errorf("after 31 healthy seconds: %+v, want the failure count reset to 0", z)
	}
}

// A new leader continues the slow start from the committed share and restarts the duration of the current step.
func TestDecider_slowStartSurvivesLeaderChange(t *testing.T) {
	s := newSimulatedFleet(t)
	s.table = commands.Table{Epoch: 7, Zones: map[string]commands.ZoneState{"b": {Phase: commands.PhaseSlowStart, Share: 0.25, Step: 3, Failures: 1, SinceEpoch: 7}}}
	if z := s.observe(time.Second, digestWith(nil)); z.Share != 0.25 {
		t.Errorf("1 s after the change of leader: %+v, want share 0.25", z)
	}
	if z := s.observe(800*time.Millisecond, digestWith(nil)); z.Share != 0.5 {
		t.Errorf("1.8 s after the change of leader: %+v, want share 0.5", z)
	}
}

// No zone is evacuated when more than half of the capacity looks failed.
func TestDecider_keepsZonesOnMassFailure(t *testing.T) {
	s := newSimulatedFleet(t)
	mostSlots := observationBy(3, 0, 10)
	mostSlots.Slots = 50
	if z := s.observe(2*time.Second, digestWith(map[[2]string]health.Observation{{"a", "b"}: mostSlots, {"b", "b"}: mostSlots, {"c", "b"}: mostSlots})); z.Phase != commands.PhaseActive {
		t.Errorf("a failing zone with more than half of the slots: %+v, want it still active", z)
	}
}

// When capacity is short for longer than a burst, the class of the lowest value is rejected first and a non-idempotent
// one last. All classes are admitted again when the capacity is back.
func TestDecider_rejectsLowestValueFirst(t *testing.T) {
	s := newSimulatedFleet(t)
	withHighLoad := func(z health.Observation) health.Observation { z.WorkRate = []float64{2.5, 2.5, 1}; return z }
	digest := digestWith(nil)
	for _, report := range digest {
		for to, observed := range report.Observations {
			if to == "b" {
				observed = failingObservation
			}
			report.Observations[to] = withHighLoad(observed)
		}
	}
	if s.observe(3*time.Second, digest); len(s.table.Admission) > 0 {
		t.Errorf("admission after 3 s of high load: %v, want none before OverloadGraceTime", s.table.Admission)
	}
	s.observe(3*time.Second, digest)
	admission := s.table.Admission
	if admittedFraction(admission, "book") != 1 || admittedFraction(admission, "check") >= 1 || admittedFraction(admission, "preview") > admittedFraction(admission, "check") {
		t.Errorf("admission after 6 s of high load: %v, want book fully admitted, check limited, preview no higher than check", admission)
	}
	for range 20 {
		s.observe(time.Second, digestWith(nil))
	}
	if len(s.table.Admission) != 0 {
		t.Errorf("admission with all zones healthy again: %v, want none", s.table.Admission)
	}
}

// A slow zone keeps a reduced share. In a partition only the zones that cannot reach a zone stop sending to it.
func TestDecider_slowAndPartiallyUnreachable(t *testing.T) {
	s := newSimulatedFleet(t)
	late := observationBy(3, 10, 0)
	late.Late = 18
	slow := digestWith(map[[2]string]health.Observation{{"a", "b"}: late, {"b", "b"}: late, {"c", "b"}: late})
	if z := s.observe(3300*time.Millisecond, slow); z.Phase != commands.PhaseReduced || z.Share != 0.25 {
		t.Errorf("a slow zone: %+v, want reduced with share 0.25", z)
	}
	s = newSimulatedFleet(t)
	if z := s.observe(2*time.Second, digestWith(map[[2]string]health.Observation{{"a", "b"}: failingObservation})); z.Phase != commands.PhaseActive || len(z.UnreachableFrom) != 1 || z.UnreachableFrom[0] != "a" {
		t.Errorf("unreachable from zone a alone: %+v, want active and unreachable from a", z)
	}
	if z := s.observe(2*time.Second, digestWith(nil)); len(z.UnreachableFrom) != 0 {
		t.Errorf("reached from all zones again: %+v, want unreachable from none", z)
	}
}

// An override takes precedence over the observations until it expires.
func TestDecider_overrides(t *testing.T) {
	s := newSimulatedFleet(t)
	setOverride := func(action string) {
		s.table.Overrides["b"] = commands.Override{Zone: "b", Action: action, Reason: "works", Until: 10}
	}
	setOverride(commands.OverrideEvacuate)
	if z := s.observe(20*time.Second, digestWith(nil)); z.Phase != commands.PhaseEvacuated {
		t.Errorf("healthy, override evacuates: %+v, want evacuated", z)
	}
	setOverride(commands.OverrideRestore)
	if z := s.observe(time.Second, zoneBFailing); z.Phase != commands.PhaseSlowStart || math.Abs(z.Share-DefaultSettings().InitialShare) > 1e-9 {
		t.Errorf("failing, override restores: %+v, want slow start with the initial share", z)
	}
	s = newSimulatedFleet(t)
	setOverride(commands.OverrideFreeze)
	if z := s.observe(3*time.Second, zoneBFailing); z.Phase != commands.PhaseActive {
		t.Errorf("failing, override freezes: %+v, want still active", z)
	}
	s.wallTime = 11
	if z := s.observe(time.Second, zoneBFailing); z.Phase != commands.PhaseEvacuated {
		t.Errorf("failing, after the override expired: %+v, want evacuated", z)
	}
}
