package server

import (
	"fmt"

	"ospreybend/coord/consensus"
)

// lateRequests are the former members whose join requests may still be in flight.
func (s *modelState) lateRequests() []consensus.MemberID {
	var found []consensus.MemberID
	for machine, one := range s.machines {
		for disk := range int(one.disk) {
			found = append(found, modelID(machine, disk))
		}
	}
	return found
}

// faultFreeSteps returns what happens without faults or late requests: the next election, change or catching up.
func (m model) faultFreeSteps(state modelState) (next []modelStep) {
	if !state.led() {
		return state.elections()
	}
	if made, found := m.decide(state, 0); found {
		next = append(next, made)
	}
	state.each(func(machine, disk int, role modelRole) {
		if role == roleLearner && state.isRunning(machine, disk) && !state.durable[machine][disk] {
			after := state
			after.durable[machine][disk] = true
			next = append(next, modelStep{name: fmt.Sprintf("%d catches up", modelID(machine, disk)), after: after})
		}
		if state.canPromote(machine, disk) && !state.machines[machine].stable {
			after := state
			after.machines[machine].stable = true
			next = append(next, modelStep{name: fmt.Sprintf("%d has been ready for some time", modelID(machine, disk)), after: after})
		}
	})
	return next
}

func (s modelState) elections() (next []modelStep) {
	voters, living, _ := s.count()
	if living <= voters/2 {
		return nil
	}
	s.each(func(machine, disk int, role modelRole) {
		if role == roleVoter && s.isRunning(machine, disk) && !s.machines[machine].leaving {
			after := s
			after.leader = int8(machine)
			next = append(next, modelStep{name: fmt.Sprintf("%d leads", modelID(machine, disk)), after: after})
		}
	})
	return next
}

// steps returns all that may happen in a state.
func (m model) steps(state modelState) []modelStep {
	next := m.faultFreeSteps(state)
	vacancyFilled := len(next) == 0
	if state.led() {
		for _, late := range state.lateRequests() {
			if made, found := m.decide(state, late); found {
				made.name = fmt.Sprintf("late request of %d, %s", late, made.name)
				next = append(next, made)
			}
		}
	}
	for machine := range m.founders + m.spares {
		next = append(next, m.machineEvents(state, machine, vacancyFilled)...)
	}
	return next
}

// machineEvents returns the events that may happen to one machine.
func (m model) machineEvents(state modelState, machine int, vacancyFilled bool) (next []modelStep) {
	befall := func(name string, change func(one *modelMachine, after *modelState)) {
		after := state
		change(&after.machines[machine], &after)
		next = append(next, modelStep{name: fmt.Sprintf("machine %d %s", machine, name), after: after})
	}
	one := state.machines[machine]
	if !one.exists {
		befall("is added", func(one *modelMachine, _ *modelState) {
			one.exists, one.up, one.fresh = true, true, state.lostMachines() > 0
		})
		return next
	}
	if !one.up && !one.silent {
		befall("is silent", func(one *modelMachine, _ *modelState) { one.silent = true })
	}
	if !one.up && !one.gone {
		befall("is back", func(one *modelMachine, _ *modelState) { one.up, one.silent = true, false })
	}
	if one.up && one.leaving {
		befall("ends", func(one *modelMachine, _ *modelState) { one.up, one.leaving, one.stable = false, false, false })
	}
	if one.lost && vacancyFilled && m.recovered(&state, machine) {
		befall("counts as lost no more", func(one *modelMachine, after *modelState) {
			one.lost = false
			after.clearFresh()
		})
	}
	if m.oldDisks && !one.up && !one.gone && one.disk > 0 && state.retiredOrNone(machine) {
		befall("gets an old disk back", func(one *modelMachine, _ *modelState) { one.disk--; one.up, one.silent = true, false })
	}
	if state.faults > 0 && (one.lost || state.lostMachines() < m.toleratedLosses()) {
		next = append(next, m.faultsAt(state, machine)...)
	}
	return next
}

// clearFresh ends the time in which a new machine counts with one that was lost: with each that counts as lost no more,
// one new machine does not either, and no more stay new than others are lost.
func (s *modelState) clearFresh() {
	surplus := -s.lostMachines()
	for _, machine := range s.machines {
		if machine.fresh {
			surplus++
		}
	}
	surplus = max(surplus, 1)
	for _, voters := range []bool{true, false} {
		for machine := range s.machines {
			one := &s.machines[machine]
			if one.fresh && surplus > 0 && (s.roles[machine][one.disk] == roleVoter) == voters {
				one.fresh = false
				surplus--
			}
		}
	}
}

// retiredOrNone reports whether the previous disk was replaced or never belonged to a member.
func (s *modelState) retiredOrNone(machine int) bool {
	return s.roles[machine][s.machines[machine].disk-1] == roleNone
}

// recovered reports whether a machine is back, or another has its vote.
func (m model) recovered(s *modelState, machine int) bool {
	for disk, role := range s.roles[machine] {
		if role == roleVoter && !s.isRunning(machine, disk) {
			return false
		}
	}
	_, living, _ := s.count()
	one := s.machines[machine]
	back := one.up && !one.leaving && !s.retired[machine][one.disk]
	return back || (one.gone && living >= min(m.desiredVoters(), m.founders))
}

// faultsAt returns the faults that may strike a machine.
func (m model) faultsAt(state modelState, machine int) (next []modelStep) {
	strike := func(name string, change func(one *modelMachine)) {
		after := state
		after.faults--
		one := &after.machines[machine]
		one.lost, one.stable = true, false
		change(one)
		next = append(next, modelStep{name: fmt.Sprintf("machine %d %s", machine, name), after: after})
	}
	one := state.machines[machine]
	if one.up {
		strike("is down", func(one *modelMachine) { one.up, one.leaving = false, false })
	}
	if one.up && !one.leaving {
		strike("gets a SIGTERM", func(one *modelMachine) { one.leaving = true })
	}
	if !one.gone && int(one.disk)+1 < modelDisks {
		strike("loses its disk", func(one *modelMachine) { one.up, one.leaving = false, false; one.disk++ })
	}
	if !one.gone {
		strike("is gone", func(one *modelMachine) { one.up, one.leaving, one.gone = false, false, true })
	}
	return next
}
