package server

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

// predecessor records how a state was first reached.
type predecessor struct {
	from modelState
	step string
}

// explore visits all reachable states breadth-first. It returns their number and the first violation with the steps that lead to it.
func (m membershipModel) explore() (states int, violation string) {
	start := m.initialState()
	reached := map[modelState]predecessor{start: {}}
	queue := []modelState{start}
	for len(queue) > 0 {
		state := queue[0]
		queue = queue[1:]
		if violation := m.check(state); violation != "" {
			return len(reached), violation + pathTo(reached, start, state)
		}
		for _, next := range m.steps(state) {
			if next.violation != "" {
				return len(reached), next.violation + pathTo(reached, start, state) + "\n" + next.name
			}
			if _, known := reached[next.after]; !known {
				reached[next.after] = predecessor{from: state, step: next.name}
				queue = append(queue, next.after)
			}
		}
	}
	return len(reached), ""
}

// check returns the violation in a state, if any. Convergence is checked only if no fault-free step remains.
func (m membershipModel) check(state modelState) string {
	if violation := m.checkLossTolerance(state); violation != "" {
		return violation + " " + state.describe()
	}
	if len(m.faultFreeSteps(state)) == 0 {
		if violation := m.checkConverged(state); violation != "" {
			return violation + " " + state.describe()
		}
	}
	return ""
}

// pathTo returns the names of the steps from start to state, one per line.
func pathTo(reached map[modelState]predecessor, start, state modelState) string {
	var names []string
	for state != start {
		names = append(names, reached[state].step)
		state = reached[state].from
	}
	slices.Reverse(names)
	return "\n" + strings.Join(names, "\n")
}

func TestNextMembershipChange_everyScheduleKeepsMajority(t *testing.T) {
	for _, m := range []membershipModel{
		{founders: 3, tolerated: 1, faults: 3},
		{founders: 3, spares: 1, tolerated: 1, faults: 2, replacementSpares: true},
		{founders: 3, spares: 1, tolerated: 1, faults: 2},
		{founders: 3, spares: 1, tolerated: 1, faults: 2, replacementSpares: true, restoreOldDisks: true},
		{founders: 3, spares: 2, tolerated: 1, faults: 1, replacementSpares: true, restoreOldDisks: true},
		{founders: 2, spares: 1, tolerated: 1, faults: 1, replacementSpares: true},
		{founders: 3, spares: 1, tolerated: 2, faults: 2, replacementSpares: true},
		{founders: 5, tolerated: 2, faults: 2},
		{founders: 5, spares: 1, tolerated: 2, faults: 1, replacementSpares: true},
	} {
		t.Run(fmt.Sprintf("%d founders, %d spares, %d faults", m.founders, m.spares, m.faults), func(t *testing.T) {
			t.Parallel()
			states, violation := m.explore()
			if violation != "" {
				t.Fatal(violation)
			}
			t.Logf("%d states", states)
		})
	}
}

// randomWalk takes up to length random steps and then checks that the group converges without further faults.
func (m membershipModel) randomWalk(random *rand.Rand, length int) (violation string) {
	state, names := m.initialState(), []string{}
	for range length {
		if violation := m.check(state); violation != "" {
			return violation + "\n" + strings.Join(names, "\n")
		}
		next := m.steps(state)
		if faultFree := m.faultFreeSteps(state); len(faultFree) > 0 && random.IntN(2) == 0 {
			next = faultFree
		}
		if len(next) == 0 {
			return ""
		}
		chosen := next[random.IntN(len(next))]
		names = append(names, chosen.name)
		if chosen.violation != "" {
			return chosen.violation + "\n" + strings.Join(names, "\n")
		}
		state = chosen.after
	}
	return m.convergesFrom(state)
}

// convergesFrom takes fault-free steps until none remains. It returns a violation if there is no end.
func (m membershipModel) convergesFrom(state modelState) (violation string) {
	const maxSteps = 60
	for range maxSteps {
		next := m.faultFreeSteps(state)
		if len(next) == 0 {
			return ""
		}
		state = next[0].after
	}
	return fmt.Sprintf("no convergence within %d fault-free steps: %s", maxSteps, state.describe())
}

func TestNextMembershipChange_randomSchedulesKeepMajority(t *testing.T) {
	const walks, length = 400, 150
	for _, m := range []membershipModel{
		{founders: 5, spares: 3, tolerated: 2, faults: 12, replacementSpares: true},
		{founders: 5, spares: 2, tolerated: 2, faults: 12, restoreOldDisks: true},
		{founders: 9, spares: 3, tolerated: 4, faults: 20, replacementSpares: true},
		{founders: 7, spares: 2, tolerated: 4, faults: 12, replacementSpares: true},
	} {
		for seed := range uint64(walks) {
			if violation := m.randomWalk(rand.New(rand.NewPCG(seed, uint64(m.founders))), length); violation != "" {
				t.Fatalf("%d founders, %d spares, seed %d: %s", m.founders, m.spares, seed, violation)
			}
		}
	}
}

// TestNextMembershipChange_eachGuardIsNeeded omits one guard at a time; some schedule must then end in a violation.
func TestNextMembershipChange_eachGuardIsNeeded(t *testing.T) {
	base := membershipModel{founders: 3, spares: 1, tolerated: 1, faults: 2, replacementSpares: true, restoreOldDisks: true}
	wide := membershipModel{founders: 3, spares: 1, tolerated: 2, faults: 2, replacementSpares: true}
	for guard, weakened := range map[Guard]membershipModel{
		GuardIdentityConfirmed: base, GuardReplacedRetired: base, GuardPromotedDurable: base, GuardSuccessorReady: base,
		GuardVotersOdd: wide,
	} {
		weakened.omit = []Guard{guard}
		states, violation := weakened.explore()
		if violation == "" {
			t.Errorf("without guard %s: found no violation in %d states, want one", guard, states)
			continue
		}
		t.Logf("without guard %s: violation after %d states: %s", guard, states, violation)
	}
	weakened := base
	weakened.readdRetired, weakened.omit = true, []Guard{GuardReplacedRetired}
	if _, violation := weakened.explore(); violation == "" {
		t.Errorf("without guard %s and with retired members added again: found no violation, want one", GuardReplacedRetired)
	}
}
