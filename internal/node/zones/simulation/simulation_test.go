package simulation

import (
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func run(t interface{ Fatal(...any) }, d Scenario) Result {
	r, err := Run(d)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// The same scenario gives the same result, another seed does not.
func TestRun_sameSeedSameResult(t *testing.T) {
	a, b := run(t, RandomFaults(5)), run(t, RandomFaults(5))
	if !reflect.DeepEqual(a, b) {
		t.Errorf("%+v, then %+v", a, b)
	}
	if c := run(t, RandomFaults(6)); reflect.DeepEqual(a, c) {
		t.Error("another seed makes no difference")
	}
}

// A scenario without zones, voters or length is an error.
func TestRun_rejectsInvalidScenario(t *testing.T) {
	for _, d := range []Scenario{{}, {Zones: 3}, {Zones: 3, Voters: 1, Nodes: 1, Length: -1}} {
		if _, err := Run(d); err == nil {
			t.Errorf("%+v is accepted", d)
		}
	}
}

// Whatever fails, voters never differ, and no process obeys an outdated table for longer than its lease. The library
// shrinks a failing scenario to the fewest faults.
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
		if r := run(t, d); len(r.Violations) > 0 {
			t.Fatalf("%v", r.Violations)
		}
	})
}

// A failing zone is evacuated once, by all processes within a bound, and takes its full share again. At 25 operations
// a second and process, and at 2.
func TestRun_failingZoneIsEvacuated(t *testing.T) {
	for _, kind := range []FaultKind{ZoneCrash, ZoneErrors} {
		for seed := range uint64(6) {
			d := Baseline(seed + 1)
			d.Length = 40 * time.Second
			if seed%2 == 1 {
				d.Nodes, d.Rate = 60, 2
			}
			d.Faults = []Fault{{Kind: kind, At: 5 * time.Second, Duration: 6 * time.Second, Zone: "b", WarmsUp: true}}
			r := run(t, d)
			if len(r.Violations) > 0 || r.Evacuations == 0 || r.EvacuatedAfter > 4*time.Second || r.EvacuationSpread == 0 || r.EvacuationSpread > time.Second ||
				r.RecoveryTime == 0 || r.Overloads > 0 {
				t.Errorf("%s, seed %d: %+v", kind, seed, r)
			}
		}
	}
}

// Other faults evacuate no zone: a few failing workers, an isolated process, a load burst, crashes.
func TestRun_harmlessFaultsEvacuateNothing(t *testing.T) {
	for seed := range uint64(100) {
		d := HarmlessFault(seed)
		if r := run(t, d); r.Evacuations > 0 || len(r.Violations) > 0 {
			t.Errorf("seed %d, %s: evacuated %d times, %v", seed, d.Faults[0].Kind, r.Evacuations, r.Violations)
		}
	}
}

// Each check of the protocol is needed: without it the same scenarios show a violation.
func TestRun_eachCheckIsNeeded(t *testing.T) {
	for _, check := range []string{"write", "contact", "epoch", "echo", "start", "ready", "settled"} {
		found := false
		for seed := uint64(0); seed < 60 && !found; seed++ {
			d := RandomFaults(seed)
			if check == "write" {
				d = RepeatedRestarts(seed)
				if r := run(t, d); len(r.Violations) > 0 {
					t.Fatalf("seed %d, with all checks: %v", seed, r.Violations)
				}
			}
			if check == "echo" || check == "start" {
				// The leader's messages to a voter are delayed ever more, and the voter's are lost.
				d = Baseline(seed)
				d.Faults = []Fault{{Kind: ZoneErrors, At: 6 * time.Second, Duration: 10 * time.Second, Zone: "b"}}
				d.VoterLag = 6 * time.Second
				if check == "start" {
					// And it has just restarted: the leader echoes a message of an earlier incarnation. It has time enough, before
					// its messages are lost, to learn the commit index, and the zone fails soon.
					d.Faults[0].At = 5200 * time.Millisecond
					d.Faults = append(d.Faults, Fault{Kind: ProcessCrash, At: 4700 * time.Millisecond, Duration: 50 * time.Millisecond, Process: "v3"})
				}
			}
			if check == "epoch" {
				// Responses are reordered.
				d = RepeatedRestarts(seed)
				d.Faults = d.Faults[:1]
				d.MessageDelay, d.ReorderProbability = Range{time.Millisecond, 40 * time.Millisecond}, 0.2
			}
			if check == "settled" {
				// All restart soon after a change, and the new leader's messages are lost.
				d = Baseline(seed)
				d.LossProbability = 0.22
				d.Faults = []Fault{{Kind: ZoneIsolated, At: 4300 * time.Millisecond, Duration: 10 * time.Second, Zone: "b"},
					{Kind: AllRestart, At: 6600 * time.Millisecond}}
			}
			if check == "ready" {
				// A node restarts during a slow start.
				d = Baseline(seed)
				d.Faults = []Fault{{Kind: ZoneErrors, At: 5 * time.Second, Duration: 5 * time.Second, Zone: "b", WarmsUp: true},
					{Kind: ProcessCrash, At: 20 * time.Second, Duration: 300 * time.Millisecond, Process: "n4"}}
			}
			d.DisabledCheck = check
			if r := run(t, d); len(r.Violations) > 0 {
				t.Logf("without %q, seed %d: %s", check, seed, r.Violations[0])
				found = true
				d.DisabledCheck = ""
				if r := run(t, d); len(r.Violations) > 0 {
					t.Errorf("%q, seed %d, with all checks: %v", check, seed, r.Violations)
				}
			}
		}
		if !found {
			t.Errorf("no scenario needs the check %q", check)
		}
	}
}

// A process sends as many messages among 300 processes as among 30.
func TestRun_costPerProcessIsFlat(t *testing.T) {
	each := func(nodes int) float64 {
		d := Baseline(3)
		d.Nodes, d.Rate, d.Length = nodes, 2, 8*time.Second
		r := run(t, d)
		if len(r.Violations) > 0 {
			t.Fatalf("%d nodes: %v", nodes, r.Violations)
		}
		return float64(r.Messages) / float64(nodes) / d.Length.Seconds()
	}
	if few, many := each(30), each(300); many > few {
		t.Errorf("%.1f messages a second and process among 300, %.1f among 30", many, few)
	}
}
