package simulation

import (
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func run(t interface{ Fatal(...any) }, scenario Scenario) Result {
	r, err := Run(scenario)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// The same scenario gives the same result; another seed gives another result.
func TestRun_sameSeedSameResult(t *testing.T) {
	a, b := run(t, RandomFaults(5)), run(t, RandomFaults(5))
	if !reflect.DeepEqual(a, b) {
		t.Errorf("two runs with seed 5: got %+v, then %+v, want the same result", a, b)
	}
	if c := run(t, RandomFaults(6)); reflect.DeepEqual(a, c) {
		t.Errorf("seeds 5 and 6 give the same result %+v", a)
	}
}

// Run rejects scenarios without zones or voters, or with a negative length.
func TestRun_rejectsInvalidScenario(t *testing.T) {
	for _, scenario := range []Scenario{{}, {Zones: 3}, {Zones: 3, Voters: 1, Nodes: 1, Length: -1}} {
		if _, err := Run(scenario); err == nil {
			t.Errorf("Run accepted the invalid scenario %+v", scenario)
		}
	}
}

// Under any combination of faults the voters' tables never differ, and no process follows an outdated table for longer
// than its lease allows. Package rapid shrinks a failing scenario to as few faults as possible.
func TestRun_agreementHoldsThroughFaults(t *testing.T) {
	kinds := []FaultKind{ZoneCrash, ZoneErrors, ZoneSlow, ZoneFlaps, SomeWorkersFail, LinkPartition, OneWayPartition, ProcessIsolated, ZoneIsolated, LoadBurst, ProcessCrash, LeaderCrash, AllRestart, ProcessPause}
	rapid.Check(t, func(t *rapid.T) {
		scenario := Baseline(rapid.Uint64Range(1, 1<<40).Draw(t, "seed"))
		scenario.Length = 20 * time.Second
		if rapid.Bool().Draw(t, "five zones") {
			scenario.Zones, scenario.Voters, scenario.Nodes = 5, 5, 10
		}
		scenario.LossProbability = rapid.Float64Range(0, 0.3).Draw(t, "loss")
		scenario.DuplicateProbability, scenario.ReorderProbability = rapid.Float64Range(0, 0.2).Draw(t, "duplicate"), rapid.Float64Range(0, 0.1).Draw(t, "reorder")
		for range rapid.IntRange(0, 4).Draw(t, "faults") {
			kind := rapid.SampledFrom(kinds).Draw(t, "kind")
			faultSeed := rapid.Uint64().Draw(t, "fault seed")
			scenario.Faults = append(scenario.Faults, scenario.RandomFault(rand.New(rand.NewPCG(faultSeed, 1)), kind))
		}
		if r := run(t, scenario); len(r.Violations) > 0 {
			t.Fatalf("scenario with faults %+v: got violations %v, want none", scenario.Faults, r.Violations)
		}
	})
}

// TestRun_evacuatedZonesWhileTheOnlyOtherIsUnreachable guards against a check that finds fault with the last resort of Follower.Shares: two of
// three zones are evacuated, and the third cannot be reached from the zone of a node, so that its table leaves it none, and each share is 1.
func TestRun_evacuatedZonesWhileTheOnlyOtherIsUnreachable(t *testing.T) {
	scenario := Baseline(1)
	scenario.Length = 20 * time.Second
	scenario.LossProbability, scenario.DuplicateProbability, scenario.ReorderProbability = 0.03125, 0.140625, 0.1
	for _, drawn := range []struct {
		kind FaultKind
		seed uint64
	}{{ProcessPause, 0x205}, {ZoneErrors, 0x42}, {LinkPartition, 0xfb}, {ZoneFlaps, 0x139}} {
		scenario.Faults = append(scenario.Faults, scenario.RandomFault(rand.New(rand.NewPCG(drawn.seed, 1)), drawn.kind))
	}
	if r := run(t, scenario); len(r.Violations) > 0 {
		t.Fatalf("scenario with faults %+v: got violations %v, want none", scenario.Faults, r.Violations)
	}
}

// A failing zone is evacuated, all processes apply that within a time limit, and the zone later takes its full share
// again. This holds at 25 operations per second and node, and at 2.
func TestRun_failingZoneIsEvacuated(t *testing.T) {
	for _, kind := range []FaultKind{ZoneCrash, ZoneErrors} {
		for seed := range uint64(6) {
			scenario := Baseline(seed + 1)
			scenario.Length = 40 * time.Second
			if seed%2 == 1 {
				scenario.Nodes, scenario.Rate = 60, 2
			}
			scenario.Faults = []Fault{{Kind: kind, At: 5 * time.Second, Duration: 6 * time.Second, Zone: "b", WarmsUp: true}}
			r := run(t, scenario)
			if len(r.Violations) > 0 || r.Evacuations == 0 || r.EvacuatedAfter > 4*time.Second || r.EvacuationSpread == 0 || r.EvacuationSpread > time.Second ||
				r.RecoveryTime == 0 || r.Overloads > 0 {
				t.Errorf("%s, seed %d: got %+v, want an evacuation within 4 s, spread within 1 s, recovery, no violation and no overload", kind, seed+1, r)
			}
		}
	}
}

// Faults such as a few failing workers, an isolated process, a load burst or crashes evacuate no zone.
func TestRun_harmlessFaultsEvacuateNothing(t *testing.T) {
	for seed := range uint64(100) {
		scenario := HarmlessFault(seed)
		if r := run(t, scenario); r.Evacuations > 0 || len(r.Violations) > 0 {
			t.Errorf("seed %d, %s: got %d evacuations and violations %v, want none", seed, scenario.Faults[0].Kind, r.Evacuations, r.Violations)
		}
	}
}

// Each check of the protocol is needed: with it disabled, some scenario violates an invariant that holds with the check.
func TestRun_eachCheckIsNeeded(t *testing.T) {
	for _, check := range []string{"write", "contact", "epoch", "echo", "start", "ready", "settled"} {
		found := false
		for seed := uint64(0); seed < 60 && !found; seed++ {
			scenario := RandomFaults(seed)
			if check == "write" {
				scenario = RepeatedRestarts(seed)
				if r := run(t, scenario); len(r.Violations) > 0 {
					t.Fatalf("seed %d, with all checks: got violations %v, want none", seed, r.Violations)
				}
			}
			if check == "echo" || check == "start" {
				// The leader's messages to a voter are delayed for long, and the voter's messages are lost.
				scenario = Baseline(seed)
				scenario.Faults = []Fault{{Kind: ZoneErrors, At: 6 * time.Second, Duration: 10 * time.Second, Zone: "b"}}
				scenario.VoterLag = 6 * time.Second
				if check == "start" {
					// In addition the voter has just restarted, so the leader echoes a message of its earlier incarnation. The
					// voter has enough time to learn the commit index before its messages are lost, and the zone fails soon after.
					scenario.Faults[0].At = 5200 * time.Millisecond
					scenario.Faults = append(scenario.Faults, Fault{Kind: ProcessCrash, At: 4700 * time.Millisecond, Duration: 50 * time.Millisecond, Process: "v3"})
				}
			}
			if check == "epoch" {
				// Responses are reordered.
				scenario = RepeatedRestarts(seed)
				scenario.Faults = scenario.Faults[:1]
				scenario.MessageDelay, scenario.ReorderProbability = Range{time.Millisecond, 40 * time.Millisecond}, 0.2
			}
			if check == "settled" {
				// All processes restart soon after a change, and many messages of the new leader are lost.
				scenario = Baseline(seed)
				scenario.LossProbability = 0.22
				scenario.Faults = []Fault{{Kind: ZoneIsolated, At: 4300 * time.Millisecond, Duration: 10 * time.Second, Zone: "b"},
					{Kind: AllRestart, At: 6600 * time.Millisecond}}
			}
			if check == "ready" {
				// A node restarts during a slow start.
				scenario = Baseline(seed)
				scenario.Faults = []Fault{{Kind: ZoneErrors, At: 5 * time.Second, Duration: 5 * time.Second, Zone: "b", WarmsUp: true},
					{Kind: ProcessCrash, At: 20 * time.Second, Duration: 300 * time.Millisecond, Process: "n4"}}
			}
			scenario.DisabledCheck = check
			if r := run(t, scenario); len(r.Violations) > 0 {
				t.Logf("with check %q disabled, seed %d: %s", check, seed, r.Violations[0])
				found = true
				scenario.DisabledCheck = ""
				if r := run(t, scenario); len(r.Violations) > 0 {
					t.Errorf("scenario for check %q, seed %d, with all checks: got violations %v, want none", check, seed, r.Violations)
				}
			}
		}
		if !found {
			t.Errorf("no scenario has a violation with check %q disabled", check)
		}
	}
}

// Each node causes no more messages per second in a group of 300 nodes than in one of 30.
func TestRun_costPerProcessIsFlat(t *testing.T) {
	each := func(nodes int) float64 {
		scenario := Baseline(3)
		scenario.Nodes, scenario.Rate, scenario.Length = nodes, 2, 8*time.Second
		r := run(t, scenario)
		if len(r.Violations) > 0 {
			t.Fatalf("%d nodes: got violations %v, want none", nodes, r.Violations)
		}
		return float64(r.Messages) / float64(nodes) / scenario.Length.Seconds()
	}
	if few, many := each(30), each(300); many > few {
		t.Errorf("with 300 nodes %.1f messages per second and node, want at most the %.1f with 30 nodes", many, few)
	}
}
