package simulation

import (
	"testing"
	"time"
)

// Each scenario causes one hard case on purpose; random scenarios may or may not.

// checkScenario runs a scenario on several seeds and checks the invariants besides.
func checkScenario(t *testing.T, day func(seed uint64) Scenario, check func(Result) string) {
	t.Helper()
	for seed := range uint64(5) {
		r := run(t, day(seed+1))
		if len(r.Violations) > 0 {
			t.Errorf("seed %d: %v", seed+1, r.Violations)
		} else if what := check(r); what != "" {
			t.Errorf("seed %d: %s: %+v", seed+1, what, r)
		}
	}
}

func leftInTime(within, spreadLimit time.Duration) func(Result) string {
	return func(r Result) string {
		switch {
		case r.Evacuations == 0:
			return "never left"
		case r.EvacuatedAfter > within:
			return "left late"
		case r.EvacuationSpread == 0 || r.EvacuationSpread > spreadLimit:
			return "not held by all in time"
		case r.Overloads > 0:
			return "felled on return"
		}
		return ""
	}
}

// The leader crashes while a zone fails, about when the change is committed and spread: another voter commits or
// spreads it. Where that takes over a second, the leader crashed during the spread and an election was needed.
func TestRun_leaderCrashBetweenCommitAndSpread(t *testing.T) {
	const election = 500 * time.Millisecond
	days, slow := 0, 0
	for after := 1200 * time.Millisecond; after < 3*time.Second; after += 100 * time.Millisecond {
		checkScenario(t, func(seed uint64) Scenario {
			d := Baseline(seed)
			d.Faults = []Fault{{Kind: ZoneErrors, At: 5 * time.Second, Duration: 8 * time.Second, Zone: "b", WarmsUp: true},
				{Kind: LeaderCrash, At: 5*time.Second + after, Duration: 3 * time.Second}}
			return d
		}, func(r Result) string {
			days++
			spreadLimit := time.Second
			if r.EvacuationSpread > spreadLimit {
				slow++
			}
			if r.EvacuatedAfter <= after && after < r.EvacuatedAfter+r.EvacuationSpread {
				spreadLimit += election
			}
			return leftInTime(5*time.Second, spreadLimit)(r)
		})
	}
	if slow*20 > days {
		t.Errorf("in %d of %d runs not all processes have the table within a second", slow, days)
	}
}

// The zone that fails runs two of five voters, often the leader.
func TestRun_failingZoneWithTwoOfFiveVoters(t *testing.T) {
	checkScenario(t, func(seed uint64) Scenario {
		d := Baseline(seed)
		d.Voters = 5 // of three zones: a and b have two each
		d.Faults = []Fault{{Kind: ZoneCrash, At: 5 * time.Second, Duration: 8 * time.Second, Zone: "a", WarmsUp: true}}
		return d
	}, leftInTime(5*time.Second, time.Second))
}

// A minority commits nothing, and the processes keep serving: two of three voters are down, and a zone fails.
func TestRun_minorityCommitsNothing(t *testing.T) {
	checkScenario(t, func(seed uint64) Scenario {
		d := Baseline(seed)
		d.Faults = []Fault{{Kind: ProcessCrash, At: 4 * time.Second, Duration: 20 * time.Second, Process: "v1"},
			{Kind: ProcessCrash, At: 4 * time.Second, Duration: 20 * time.Second, Process: "v2"},
			{Kind: ZoneErrors, At: 8 * time.Second, Duration: 8 * time.Second, Zone: "c"}}
		return d
	}, func(r Result) string {
		if r.Evacuations > 0 && r.EvacuatedAfter < 20*time.Second {
			return "a minority has left a zone"
		}
		if r.ServedDuringFaults < 0.9*r.OfferedDuringFaults {
			return "nodes without orders do not look after themselves"
		}
		return ""
	})
}

// Two of five zones fail within two seconds and are evacuated. A third would be more than half and is not.
func TestRun_twoZonesFailWithinSeconds(t *testing.T) {
	two := func(seed uint64) Scenario {
		d := Baseline(seed)
		d.Zones, d.Voters, d.Nodes = 5, 5, 15
		d.Faults = []Fault{{Kind: ZoneErrors, At: 5 * time.Second, Duration: 9 * time.Second, Zone: "b"},
			{Kind: ZoneErrors, At: 7 * time.Second, Duration: 7 * time.Second, Zone: "d"}}
		return d
	}
	checkScenario(t, two, func(r Result) string {
		if r.Evacuations != 2 {
			return "not both were left"
		}
		return ""
	})
	checkScenario(t, func(seed uint64) Scenario {
		d := two(seed)
		d.Faults = append(d.Faults, Fault{Kind: ZoneErrors, At: 9 * time.Second, Duration: 5 * time.Second, Zone: "e"})
		return d
	}, func(r Result) string {
		if r.Evacuations > 2 {
			return "more than half was left"
		}
		return ""
	})
}

// A zone fails again during its slow start: it is evacuated again, with a longer backoff.
func TestRun_failureDuringSlowStart(t *testing.T) {
	checkScenario(t, func(seed uint64) Scenario {
		d := Baseline(seed)
		d.Length = 50 * time.Second
		d.Faults = []Fault{{Kind: ZoneErrors, At: 5 * time.Second, Duration: 4 * time.Second, Zone: "b", WarmsUp: true},
			{Kind: ZoneErrors, At: 14 * time.Second, Duration: 5 * time.Second, Zone: "b", WarmsUp: true}}
		return d
	}, func(r Result) string {
		if r.Evacuations < 1 || r.RecoveryTime == 0 {
			return "not left, or never whole again"
		}
		return ""
	})
}

// A node, or all processes, restart during a slow start: it continues from its step, and no process sends more than
// the step allows (checked after every event).
func TestRun_restartsDuringSlowStart(t *testing.T) {
	for _, again := range []Fault{{Kind: ProcessCrash, Duration: 300 * time.Millisecond, Process: "n4"}, {Kind: AllRestart}} {
		checkScenario(t, func(seed uint64) Scenario {
			d := Baseline(seed)
			d.Length = 45 * time.Second
			again.At, again.DuringSlowStartOf = 10*time.Second, "b"
			again.MinShare = []float64{1. / 16, 1. / 8, 1. / 4}[seed%3]
			d.Faults = []Fault{{Kind: ZoneErrors, At: 5 * time.Second, Duration: 5 * time.Second, Zone: "b", WarmsUp: true}, again}
			return d
		}, func(r Result) string {
			if r.Evacuations == 0 || r.RecoveryTime == 0 || r.Overloads > 0 {
				return "not left, never whole again, or felled"
			}
			if !r.FaultDuringSlowStart {
				return "the day has no restart amid a ramp"
			}
			return ""
		})
	}
}
