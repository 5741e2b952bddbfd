package history

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// checkMajority finds times at which further machine losses within the tolerance would leave a group without a majority of its
// voters, or without any voter that holds all acknowledged entries.
func checkMajority(history History) []Violation {
	var found []Violation
	for group, states := range history.statesByGroup() {
		for i, state := range states {
			until := history.End
			if i+1 < len(states) {
				until = states[i+1].At
			}
			for _, at := range history.lossEndTimes(state.At, until) {
				if text := history.quorumRisk(state, at); text != "" {
					found = append(found, Violation{Check: CheckMajority, At: at, Text: fmt.Sprintf("group %d: %s", group, text)})
				}
			}
		}
	}
	slices.SortFunc(found, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	return found
}

// statesByGroup returns the states of each group, oldest first.
func (h History) statesByGroup() map[int][]GroupState {
	groups := map[int][]GroupState{}
	for _, state := range h.GroupStates {
		groups[state.Group] = append(groups[state.Group], state)
	}
	return groups
}

// lossEndTimes returns from and all times before until at which a lost slot stops counting as lost. The margin is smallest at
// these times, since fewer losses mean that more further losses must be survived.
func (h History) lossEndTimes(from, until time.Duration) []time.Duration {
	times := []time.Duration{from}
	for _, fault := range h.Faults {
		if len(fault.Lost) > 0 && from < fault.Until && fault.Until < until {
			times = append(times, fault.Until)
		}
	}
	return times
}

// lostAt returns the slots that count as lost at the given time.
func (h History) lostAt(at time.Duration) map[int]bool {
	lost := map[int]bool{}
	for _, fault := range h.Faults {
		if fault.From <= at && at < fault.Until {
			for _, slot := range fault.Lost {
				lost[slot] = true
			}
		}
	}
	return lost
}

// quorumRisk describes how further losses within the tolerance would break the group. It returns an empty string if the group
// would survive them.
func (h History) quorumRisk(state GroupState, at time.Duration) string {
	lost := h.lostAt(at)
	further := min(h.Tolerance, (h.TargetVoters-1)/2) - len(lost)
	if further < 0 {
		return "" // more machines are lost than any membership can tolerate
	}
	remaining, holding := 0, 0
	for _, voter := range state.Voters {
		if voter.Lost || lost[voter.Slot] {
			continue
		}
		remaining++
		if voter.Durable >= state.Committed {
			holding++
		}
	}
	if remaining-further < len(state.Voters)/2+1 {
		return fmt.Sprintf("%d of %d voters remain with %d machines lost; %d further losses would leave no majority: %v", remaining, len(state.Voters), len(lost), further, state.Voters)
	}
	if holding <= further {
		return fmt.Sprintf("%d voters have index %d durable with %d machines lost; %d further losses may leave none: %v", holding, state.Committed, len(lost), further, state.Voters)
	}
	return ""
}
