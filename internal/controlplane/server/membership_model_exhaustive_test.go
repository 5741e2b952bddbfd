package server

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

// predecessor is how a state was first reached.
type predecessor struct {
	from modelState
	step string
}

// explore plays all schedules, and returns the number of states and the first violation with the path to it.
func (m model) explore() (states int, wrong string) {
	start := m.start()
	reached := map[modelState]predecessor{start: {}}
	queue := []modelState{start}
	for len(queue) > 0 {
		state := queue[0]
		queue = queue[1:]
		if wrong := m.check(state); wrong != "" {
			return len(reached), wrong + pathTo(reached, start, state)
		}
		for _, next := range m.steps(state) {
			if next.wrong != "" {
				return len(reached), next.wrong + pathTo(reached, start, state) + "\n" + next.name
			}
			if _, known := reached[next.after]; !known {
				reached[next.after] = predecessor{from: state, step: next.name}
				queue = append(queue, next.after)
			}
		}
	}
	return len(reached), ""
}

// check looks at a state by itself, and, where nothing more happens by itself, at what it has come to.
func (m model) check(state modelState) string {
	if wrong := m.weakness(state); wrong != "" {
		return wrong + " " + state.describe()
	}
	if len(m.faultFreeSteps(state)) == 0 {
		if wrong := m.unfinished(state); wrong != "" {
			return wrong + " " + state.describe()
		}
	}
	return ""
}

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
	for _, m := range []model{
		{founders: 3, tolerated: 1, faults: 3},
		{founders: 3, spares: 1, tolerated: 1, faults: 2, freshSpares: true},
		{founders: 3, spares: 1, tolerated: 1, faults: 2},
		{founders: 3, spares: 1, tolerated: 1, faults: 2, freshSpares: true, oldDisks: true},
		{founders: 3, spares: 2, tolerated: 1, faults: 1, freshSpares: true, oldDisks: true},
		{founders: 2, spares: 1, tolerated: 1, faults: 1, freshSpares: true},
		{founders: 3, spares: 1, tolerated: 2, faults: 2, freshSpares: true},
		{founders: 5, tolerated: 2, faults: 2},
		{founders: 5, spares: 1, tolerated: 2, faults: 1, freshSpares: true},
	} {
		t.Run(fmt.Sprintf("%d founders, %d spares, %d faults", m.founders, m.spares, m.faults), func(t *testing.T) {
			t.Parallel()
			states, wrong := m.explore()
			if wrong != "" {
				t.Fatal(wrong)
			}
			t.Logf("%d states", states)
		})
	}
}

// walk plays one random schedule.
func (m model) walk(random *rand.Rand, length int) (wrong string) {
	state, names := m.start(), []string{}
	for range length {
		if wrong := m.check(state); wrong != "" {
			return wrong + "\n" + strings.Join(names, "\n")
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
		if chosen.wrong != "" {
			return chosen.wrong + "\n" + strings.Join(names, "\n")
		}
		state = chosen.after
	}
	return m.convergesFrom(state)
}

// convergesFrom plays on without faults, and expects an end.
func (m model) convergesFrom(state modelState) (wrong string) {
	const most = 60
	for range most {
		next := m.faultFreeSteps(state)
		if len(next) == 0 {
			return ""
		}
		state = next[0].after
	}
	return "changes without end " + state.describe()
}

func TestNextMembershipChange_randomSchedulesKeepMajority(t *testing.T) {
	const walks, length = 400, 150
	for _, m := range []model{
		{founders: 5, spares: 3, tolerated: 2, faults: 12, freshSpares: true},
		{founders: 5, spares: 2, tolerated: 2, faults: 12, oldDisks: true},
		{founders: 9, spares: 3, tolerated: 4, faults: 20, freshSpares: true},
		{founders: 7, spares: 2, tolerated: 4, faults: 12, freshSpares: true},
	} {
		for seed := range uint64(walks) {
			if wrong := m.walk(rand.New(rand.NewPCG(seed, uint64(m.founders))), length); wrong != "" {
				t.Fatalf("%d founders, %d spares, seed %d: %s", m.founders, m.spares, seed, wrong)
			}
		}
	}
}

// TestNextMembershipChange_eachGuardIsNeeded omits one guard at a time: some schedule must then violate a rule.
func TestNextMembershipChange_eachGuardIsNeeded(t *testing.T) {
	base := model{founders: 3, spares: 1, tolerated: 1, faults: 2, freshSpares: true, oldDisks: true}
	wide := model{founders: 3, spares: 1, tolerated: 2, faults: 2, freshSpares: true}
	for guard, lacking := range map[Guard]model{
		GuardIdentityAsked: base, GuardReplacedRetired: base, GuardPromotedDurable: base, GuardSuccessorReady: base,
		GuardVotersOdd: wide,
	} {
		lacking.omit = []Guard{guard}
		states, wrong := lacking.explore()
		if wrong == "" {
			t.Errorf("without %s nothing goes wrong in %d states", guard, states)
			continue
		}
		t.Logf("without %s, after %d states: %s", guard, states, wrong)
	}
	lacking := base
	lacking.omitRetired, lacking.omit = true, []Guard{GuardReplacedRetired}
	if _, wrong := lacking.explore(); wrong == "" {
		t.Error("without the core's memory nothing goes wrong")
	}
}
