package history

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// checkMajority finds instants at which one more loss within the tolerance would leave a group without a majority of
// its voters, or without any voter that holds what was acknowledged.
func checkMajority(history History) []Violation {
	var found []Violation
	for group, standings := range history.byGroup() {
		for i, standing := range standings {
			until := history.End
			if i+1 < len(standings) {
				until = standings[i+1].At
			}
			for _, at := range history.lossChanges(standing.At, until) {
				if text := history.weakness(standing, at); text != "" {
					found = append(found, Violation{Check: CheckMajority, At: at, Text: fmt.Sprintf("group %d: %s", group, text)})
				}
			}
		}
	}
	slices.SortFunc(found, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	return found
}

func (h History) byGroup() map[int][]GroupState {
	groups := map[int][]GroupState{}
	for _, standing := range h.GroupStates {
		groups[standing.Group] = append(groups[standing.Group], standing)
	}
	return groups
}

// lossChanges returns the first instant and those up to the second at which a slot stops to count as lost.
func (h History) lossChanges(from, until time.Duration) []time.Duration {
	instants := []time.Duration{from}
	for _, fault := range h.Faults {
		if len(fault.Lost) > 0 && from < fault.Until && fault.Until < until {
			instants = append(instants, fault.Until)
		}
	}
	return instants
}

// lostAt returns the slots that count as lost at the instant.
func (h History) lostAt(at time.Duration) map[int]bool {
	lost := map[int]bool{}
	for _, fault := range h.Faults {
		if fault.From <= at && at < fault.Until {
			for _, place := range fault.Lost {
				lost[place] = true
			}
		}
	}
	return lost
}

// weakness describes what a further loss within the tolerance would cost; it is empty if nothing is lost.
func (h History) weakness(standing GroupState, at time.Duration) string {
	lost := h.lostAt(at)
	further := min(h.Tolerance, (h.Wanted-1)/2) - len(lost)
	if further < 0 {
		return "" // more is lost than any membership can stand
	}
	remaining, holding := 0, 0
	for _, voter := range standing.Voters {
		if voter.Gone || lost[voter.Slot] {
			continue
		}
		remaining++
		if voter.Durable >= standing.Committed {
			holding++
		}
	}
	if remaining-further < len(standing.Voters)/2+1 {
		return fmt.Sprintf("%d of %d voters stand with %d machines lost; %d further losses would leave no majority: %v", remaining, len(standing.Voters), len(lost), further, standing.Voters)
	}
	if holding <= further {
		return fmt.Sprintf("%d voters hold index %d durably with %d machines lost; %d further losses may leave none: %v", holding, standing.Committed, len(lost), further, standing.Voters)
	}
	return ""
}
