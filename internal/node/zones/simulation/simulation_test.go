package simulation

import (
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func play(t interface{ Fatal(...any) }, d Scenario) Result {
	r, err := Run(d)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// The same day plays the same, another seed does not.
func TestRun_sameSeedSameResult(t *testing.T) {
	a, b := play(t, RandomFaults(5)), play(t, RandomFaults(5))
	if !reflect.DeepEqual(a, b) {
		t.Errorf("%+v, then %+v", a, b)
	}
	if c := play(t, RandomFaults(6)); reflect.DeepEqual(a, c) {
		t.Error("another seed makes no difference")
	}
}

func TestRun_rejectsInvalidScenario(t *testing.T) {
	for _, d := range []Scenario{{}, {Zones: 3}, {Zones: 3, Voters: 1, Nodes: 1, Length: -1}} {
		if _, err := Run(d); err == nil {
			t.Errorf("%+v is played", d)
		}
	}
}

// Whatever fails, no voter goes back on what was agreed on, and no process goes by old
// orders for longer than its lease. The library shrinks a failure to the fewest troubles.
func TestRun_agreementHoldsThroughFaults(t *testing.T) {
	kinds := []FaultKind{ZoneCrash, ZoneErrors, ZoneSlow, ZoneFlaps, SomeWorkersFail, LinkPartition, OneWayPartition, ProcessIsolated, ZoneIsolated, LoadBurst, ProcessCrash, LeaderCrash, AllRestart, ProcessPause}
	rapid.Check(t, func(t *rapid.T) {
		d := Baseline(rapid.Uint64Range(1, 1<<40).Draw(t, "seed"))
		d.Length = 20 * time.Second
		if rapid.Bool().Draw(t, "five") {
			d.Zones, d.Voters, d.Nodes = 5, 5, 10
		}
		d.LossProbability = rapid.Float64Range(0, 0.3).Draw(t, "loss")
		d.DuplicateProbability, d.ReorderProbability = rapid.Float64Range(0, 0.2).Draw(t, "twice"), rapid.Float64Range(0, 0.1).Draw(t, "stray")
		for range rapid.IntRange(0, 4).Draw(t, "troubles") {
			kind := rapid.SampledFrom(kinds).Draw(t, "kind")
			at := rapid.Uint64().Draw(t, "where")
			d.Faults = append(d.Faults, d.RandomFault(rand.New(rand.NewPCG(at, 1)), kind))
		}
		if r := play(t, d); len(r.Violations) > 0 {
			t.Fatalf("%v", r.Violations)
		}
	})
}

// A zone that fails for all is left once, by all, within a stated time of the order, and
// takes its whole share again. At 25 operations a second a process and at 2.
func TestRun_failingZoneIsEvacuated(t *testing.T) {
	for _, kind := range []FaultKind{ZoneCrash, ZoneErrors} {
		for seed := range uint64(6) {
			d := Baseline(seed + 1)
			d.Length = 40 * time.Second
			if seed%2 == 1 {
				d.Nodes, d.Rate = 60, 2
			}
			d.Faults = []Fault{{Kind: kind, At: 5 * time.Second, Duration: 6 * time.Second, Zone: "b", WarmsUp: true}}
			r := play(t, d)
			if len(r.Violations) > 0 || r.Evacuations == 0 || r.EvacuatedAfter > 4*time.Second || r.EvacuationSpread == 0 || r.EvacuationSpread > time.Second ||
				r.RecoveryTime == 0 || r.Overloads > 0 {
				t.Errorf("%s, seed %d: %+v", kind, seed, r)
			}
		}
	}
}

// Other troubles condemn no zone: a few bad prep workers, one process cut off, a crowd
// everywhere, processes that die.
func TestRun_harmlessFaultsEvacuateNothing(t *testing.T) {
	for seed := range uint64(100) {
		d := HarmlessFault(seed)
		if r := play(t, d); r.Evacuations > 0 || len(r.Violations) > 0 {
			t.Errorf("seed %d, %s: left %d times, %v", seed, d.Faults[0].Kind, r.Evacuations, r.Violations)
		}
	}
}

// Each check of the protocol is there for something: without it the same days show a
// violation.
func TestRun_eachCheckIsNeeded(t *testing.T) {
	for _, check := range []string{"write", "contact", "epoch", "echo", "start", "ready", "settled"} {
		found := false
		for seed := uint64(0); seed < 60 && !found; seed++ {
			d := RandomFaults(seed)
			if check == "write" {
				d = RepeatedRestarts(seed)
				if r := play(t, d); len(r.Violations) > 0 {
					t.Fatalf("seed %d, with all checks: %v", seed, r.Violations)
				}
			}
			if check == "echo" || check == "start" {
				// The leader's words to a voter take ever longer, and it does not hear the voter.
				d = Baseline(seed)
				d.Faults = []Fault{{Kind: ZoneErrors, At: 6 * time.Second, Duration: 10 * time.Second, Zone: "b"}}
				d.VoterLag = 6 * time.Second
				if check == "start" {
					// And it has just been started anew: the leader answers what an earlier start wrote. It has time enough before
					// it is not heard any more to learn what is agreed on, and the zone breaks soon.
					d.Faults[0].At = 5200 * time.Millisecond
					d.Faults = append(d.Faults, Fault{Kind: ProcessCrash, At: 4700 * time.Millisecond, Duration: 50 * time.Millisecond, Process: "v3"})
				}
			}
			if check == "epoch" {
				// Answers overtake each other.
				d = RepeatedRestarts(seed)
				d.Faults = d.Faults[:1]
				d.MessageDelay, d.ReorderProbability = Range{time.Millisecond, 40 * time.Millisecond}, 0.2
			}
			if check == "settled" {
				// All restart soon after an order, and the new leader's messages are lost.
				d = Baseline(seed)
				d.LossProbability = 0.22
				d.Faults = []Fault{{Kind: ZoneIsolated, At: 4300 * time.Millisecond, Duration: 10 * time.Second, Zone: "b"},
					{Kind: AllRestart, At: 6600 * time.Millisecond}}
			}
			if check == "ready" {
				// A node restarts while a zone rises.
				d = Baseline(seed)
				d.Faults = []Fault{{Kind: ZoneErrors, At: 5 * time.Second, Duration: 5 * time.Second, Zone: "b", WarmsUp: true},
					{Kind: ProcessCrash, At: 20 * time.Second, Duration: 300 * time.Millisecond, Process: "n4"}}
			}
			d.DisabledCheck = check
			if r := play(t, d); len(r.Violations) > 0 {
				t.Logf("without %q, seed %d: %s", check, seed, r.Violations[0])
				found = true
				d.DisabledCheck = ""
				if r := play(t, d); len(r.Violations) > 0 {
					t.Errorf("%q, seed %d, with all checks: %v", check, seed, r.Violations)
				}
			}
		}
		if !found {
			t.Errorf("no day shows what %q is for", check)
		}
	}
}

// At 300 processes a process says as much as at 12.
func TestRun_costPerProcessIsFlat(t *testing.T) {
	each := func(nodes int) float64 {
		d := Baseline(3)
		d.Nodes, d.Rate, d.Length = nodes, 2, 8*time.Second
		r := play(t, d)
		if len(r.Violations) > 0 {
			t.Fatalf("%d nodes: %v", nodes, r.Violations)
		}
		return float64(r.Messages) / float64(nodes) / d.Length.Seconds()
	}
	if few, many := each(30), each(300); many > few {
		t.Errorf("%.1f messages a second and process among 300, %.1f among 30", many, few)
	}
}
