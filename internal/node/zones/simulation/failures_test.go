package simulation

import (
	"fmt"
	"testing"
	"time"
)

// Each test below constructs one difficult case, which random scenarios may or may not contain.

// checkScenario runs a scenario with several seeds. It checks the result with check, and that no invariant is violated.
// check returns what is wrong, or "".
func checkScenario(t *testing.T, newScenario func(seed uint64) Scenario, check func(Result) string) {
	t.Helper()
	for seed := range uint64(5) {
		r := run(t, newScenario(seed+1))
		if len(r.Violations) > 0 {
			t.Errorf("seed %d: got violations %v, want none", seed+1, r.Violations)
		} else if failure := check(r); failure != "" {
			t.Errorf("seed %d: %s: %+v", seed+1, failure, r)
		}
	}
}

// evacuatedInTime returns a check that the zone is evacuated within a time after the first fault, that all connected
// processes have the new table within spreadLimit, and that the zone is not overloaded while it warms up.
func evacuatedInTime(within, spreadLimit time.Duration) func(Result) string {
	return func(r Result) string {
		switch {
		case r.Evacuations == 0:
			return "the zone was never evacuated"
		case r.EvacuatedAfter > within:
			return fmt.Sprintf("the zone was evacuated %v after the first fault, want at most %v", r.EvacuatedAfter, within)
		case r.EvacuationSpread == 0 || r.EvacuationSpread > spreadLimit:
			return "not all processes had the new table in time"
		case r.Overloads > 0:
			return "the zone was overloaded while it warmed up"
		}
		return ""
	}
}

// The leader crashes while a zone fails, at about the time when the evacuation is committed and spread to the processes.
// Another voter then commits or spreads it. If the leader crashed during the spread, an election is needed first, which
// may take the spread past a second.
func TestRun_leaderCrashBetweenCommitAndSpread(t *testing.T) {
	const election = 500 * time.Millisecond
	runs, slowSpreads := 0, 0
	for after := 1200 * time.Millisecond; after < 3*time.Second; after += 100 * time.Millisecond {
		checkScenario(t, func(seed uint64) Scenario {
			scenario := Baseline(seed)
			scenario.Faults = []Fault{{Kind: ZoneErrors, At: 5 * time.Second, Duration: 8 * time.Second, Zone: "b", WarmsUp: true},
				{Kind: LeaderCrash, At: 5*time.Second + after, Duration: 3 * time.Second}}
			return scenario
		}, func(r Result) string {
			runs++
			spreadLimit := time.Second
			if r.EvacuationSpread > spreadLimit {
				slowSpreads++
			}
			if r.EvacuatedAfter <= after && after < r.EvacuatedAfter+r.EvacuationSpread {
				spreadLimit += election
			}
			return evacuatedInTime(5*time.Second, spreadLimit)(r)
		})
	}
	if slowSpreads*20 > runs {
		t.Errorf("in %d of %d runs the table took more than a second to reach all processes, want at most 1 in 20", slowSpreads, runs)
	}
}

// A zone fails that contains two of the five voters, often including the leader.
func TestRun_failingZoneWithTwoOfFiveVoters(t *testing.T) {
	checkScenario(t, func(seed uint64) Scenario {
		scenario := Baseline(seed)
		scenario.Voters = 5 // in three zones: a and b have two each
		scenario.Faults = []Fault{{Kind: ZoneCrash, At: 5 * time.Second, Duration: 8 * time.Second, Zone: "a", WarmsUp: true}}
		return scenario
	}, evacuatedInTime(5*time.Second, time.Second))
}

// Two of three voters are down and a zone fails: the remaining voter commits nothing, and the processes keep serving.
func TestRun_minorityCommitsNothing(t *testing.T) {
	checkScenario(t, func(seed uint64) Scenario {
		scenario := Baseline(seed)
		scenario.Faults = []Fault{{Kind: ProcessCrash, At: 4 * time.Second, Duration: 20 * time.Second, Process: "v1"},
			{Kind: ProcessCrash, At: 4 * time.Second, Duration: 20 * time.Second, Process: "v2"},
			{Kind: ZoneErrors, At: 8 * time.Second, Duration: 8 * time.Second, Zone: "c"}}
		return scenario
	}, func(r Result) string {
		if r.Evacuations > 0 && r.EvacuatedAfter < 20*time.Second {
			return "a minority of the voters evacuated a zone"
		}
		if r.ServedDuringFaults < 0.9*r.OfferedDuringFaults {
			return "nodes without a lease served less than 90% of what was offered during the faults"
		}
		return ""
	})
}

// Two of five zones fail within two seconds and both are evacuated. A third failing zone is not evacuated, because more
// than half of the zones would be.
func TestRun_twoZonesFailWithinSeconds(t *testing.T) {
	twoFailures := func(seed uint64) Scenario {
		scenario := Baseline(seed)
		scenario.Zones, scenario.Voters, scenario.Nodes = 5, 5, 15
		scenario.Faults = []Fault{{Kind: ZoneErrors, At: 5 * time.Second, Duration: 9 * time.Second, Zone: "b"},
			{Kind: ZoneErrors, At: 7 * time.Second, Duration: 7 * time.Second, Zone: "d"}}
		return scenario
	}
	checkScenario(t, twoFailures, func(r Result) string {
		if r.Evacuations != 2 {
			return "want exactly two evacuations"
		}
		return ""
	})
	checkScenario(t, func(seed uint64) Scenario {
		scenario := twoFailures(seed)
		scenario.Faults = append(scenario.Faults, Fault{Kind: ZoneErrors, At: 9 * time.Second, Duration: 5 * time.Second, Zone: "e"})
		return scenario
	}, func(r Result) string {
		if r.Evacuations > 2 {
			return "more than half of the zones were evacuated"
		}
		return ""
	})
}

// A zone fails again during its slow start: it is evacuated again, with a longer backoff.
func TestRun_failureDuringSlowStart(t *testing.T) {
	checkScenario(t, func(seed uint64) Scenario {
		scenario := Baseline(seed)
		scenario.Length = 50 * time.Second
		scenario.Faults = []Fault{{Kind: ZoneErrors, At: 5 * time.Second, Duration: 4 * time.Second, Zone: "b", WarmsUp: true},
			{Kind: ZoneErrors, At: 14 * time.Second, Duration: 5 * time.Second, Zone: "b", WarmsUp: true}}
		return scenario
	}, func(r Result) string {
		if r.Evacuations < 1 || r.RecoveryTime == 0 {
			return "the zone was never evacuated, or never became active again"
		}
		return ""
	})
}

// A node, or all processes, restart during a zone's slow start. The slow start continues from its share, and no process
// sends more than the share allows, which the simulation checks throughout.
func TestRun_restartsDuringSlowStart(t *testing.T) {
	for _, restart := range []Fault{{Kind: ProcessCrash, Duration: 300 * time.Millisecond, Process: "n4"}, {Kind: AllRestart}} {
		checkScenario(t, func(seed uint64) Scenario {
			scenario := Baseline(seed)
			scenario.Length = 45 * time.Second
			restart.At, restart.DuringSlowStartOf = 10*time.Second, "b"
			restart.MinShare = []float64{1. / 16, 1. / 8, 1. / 4}[seed%3]
			scenario.Faults = []Fault{{Kind: ZoneErrors, At: 5 * time.Second, Duration: 5 * time.Second, Zone: "b", WarmsUp: true}, restart}
			return scenario
		}, func(r Result) string {
			if r.Evacuations == 0 || r.RecoveryTime == 0 || r.Overloads > 0 {
				return "the zone was never evacuated, never became active again, or was overloaded"
			}
			if !r.FaultDuringSlowStart {
				return "the scenario has no restart during the slow start"
			}
			return ""
		})
	}
}
