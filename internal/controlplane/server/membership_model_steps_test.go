package server

import (
	"fmt"

	"ospreybend/coord/consensus"
)

// delayedRequestSenders returns the former members whose join requests may still be in flight.
func (s *modelState) delayedRequestSenders() []consensus.MemberID {
	var found []consensus.MemberID
	for machine, target := range s.machines {
		for disk := range int(target.disk) {
			found = append(found, modelID(machine, disk))
		}
	}
	return found
}

// faultFreeSteps returns the steps possible without faults or delayed requests: elections, the next membership change, and learners that
// catch up or become stable.
func (m membershipModel) faultFreeSteps(state modelState) (next []modelStep) {
	if !state.hasLeader() {
		return state.elections()
	}
	if made, found := m.decide(state, 0); found {
		next = append(next, made)
	}
	state.forEachMember(func(machine, disk int, role modelRole) {
		if role == roleLearner && state.isRunning(machine, disk) && !state.durable[machine][disk] {
			after := state
			after.durable[machine][disk] = true
			next = append(next, modelStep{name: fmt.Sprintf("%d catches up", modelID(machine, disk)), after: after})
		}
		if state.canPromote(machine, disk) && !state.machines[machine].stable {
			after := state
			after.machines[machine].stable = true
			next = append(next, modelStep{name: fmt.Sprintf("%d has been promotable for stableAfter", modelID(machine, disk)), after: after})
		}
	})
	return next
}

func (s modelState) elections() (next []modelStep) {
	voters, running, _ := s.countVoters()
	if running <= voters/2 {
		return nil
	}
	s.forEachMember(func(machine, disk int, role modelRole) {
		if role == roleVoter && s.isRunning(machine, disk) && !s.machines[machine].leaving {
			after := s
			after.leader = int8(machine)
			next = append(next, modelStep{name: fmt.Sprintf("%d becomes leader", modelID(machine, disk)), after: after})
		}
	})
	return next
}

// steps returns all steps that are possible in a state.
func (m membershipModel) steps(state modelState) []modelStep {
	next := m.faultFreeSteps(state)
	quiescent := len(next) == 0
	if state.hasLeader() {
		for _, sender := range state.delayedRequestSenders() {
			if made, found := m.decide(state, sender); found {
				made.name = fmt.Sprintf("delayed request of %d, %s", sender, made.name)
				next = append(next, made)
			}
		}
	}
	for machine := range m.founders + m.spares {
		next = append(next, m.machineEvents(state, machine, quiescent)...)
	}
	return next
}

// machineEvents returns the possible events of one machine. quiescent reports that no fault-free step is possible.
func (m membershipModel) machineEvents(state modelState, machine int, quiescent bool) (next []modelStep) {
	addEvent := func(name string, change func(target *modelMachine, after *modelState)) {
		after := state
		change(&after.machines[machine], &after)
		next = append(next, modelStep{name: fmt.Sprintf("machine %d %s", machine, name), after: after})
	}
	target := state.machines[machine]
	if !target.exists {
		addEvent("is started for the first time", func(target *modelMachine, _ *modelState) {
			target.exists, target.up, target.replacement = true, true, state.lostMachines() > 0
		})
		return next
	}
	if !target.up && !target.timedOut {
		addEvent("times out", func(target *modelMachine, _ *modelState) { target.timedOut = true })
	}
	if !target.up && !target.destroyed {
		addEvent("returns", func(target *modelMachine, _ *modelState) { target.up, target.timedOut = true, false })
	}
	if target.up && target.leaving {
		addEvent("has shut down", func(target *modelMachine, _ *modelState) {
			target.up, target.leaving, target.stable = false, false, false
		})
	}
	if target.lost && quiescent && m.recovered(&state, machine) {
		addEvent("no longer counts as lost", func(target *modelMachine, after *modelState) {
			target.lost = false
			after.clearReplacement()
		})
	}
	if m.restoreOldDisks && !target.up && !target.destroyed && target.disk > 0 && state.previousDiskIsNotMember(machine) {
		addEvent("gets an old copy of its disk", func(target *modelMachine, _ *modelState) { target.disk--; target.up, target.timedOut = true, false })
	}
	if state.faults > 0 && (target.lost || state.lostMachines() < m.toleratedLosses()) {
		next = append(next, m.faultsAt(state, machine)...)
	}
	return next
}

// clearReplacement is called when a machine no longer counts as lost. Machines started to replace lost ones are part of those losses. At
// least one of them, and as many as exceed the remaining losses, now count as separate machines; voters first.
func (s *modelState) clearReplacement() {
	surplus := -s.lostMachines()
	for _, machine := range s.machines {
		if machine.replacement {
			surplus++
		}
	}
	surplus = max(surplus, 1)
	for _, voters := range []bool{true, false} {
		for machine := range s.machines {
			target := &s.machines[machine]
			if target.replacement && surplus > 0 && (s.roles[machine][target.disk] == roleVoter) == voters {
				target.replacement = false
				surplus--
			}
		}
	}
}

// previousDiskIsNotMember reports whether the previous disk of a machine is not a member of the group at present.
func (s *modelState) previousDiskIsNotMember(machine int) bool {
	return s.roles[machine][s.machines[machine].disk-1] == roleNone
}

// recovered reports whether a lost machine has returned or, if it was destroyed, another has taken its vote.
func (m membershipModel) recovered(s *modelState, machine int) bool {
	for disk, role := range s.roles[machine] {
		if role == roleVoter && !s.isRunning(machine, disk) {
			return false
		}
	}
	_, running, _ := s.countVoters()
	target := s.machines[machine]
	back := target.up && !target.leaving && !s.retired[machine][target.disk]
	return back || (target.destroyed && running >= min(m.desiredVoters(), m.founders))
}

// faultsAt returns the faults that may occur on a machine.
func (m membershipModel) faultsAt(state modelState, machine int) (next []modelStep) {
	addFault := func(name string, change func(target *modelMachine)) {
		after := state
		after.faults--
		target := &after.machines[machine]
		target.lost, target.stable = true, false
		change(target)
		next = append(next, modelStep{name: fmt.Sprintf("machine %d %s", machine, name), after: after})
	}
	target := state.machines[machine]
	if target.up {
		addFault("goes down", func(target *modelMachine) { target.up, target.leaving = false, false })
	}
	if target.up && !target.leaving {
		addFault("receives a SIGTERM", func(target *modelMachine) { target.leaving = true })
	}
	if !target.destroyed && int(target.disk)+1 < modelDisks {
		addFault("loses its disk", func(target *modelMachine) { target.up, target.leaving = false, false; target.disk++ })
	}
	if !target.destroyed {
		addFault("is destroyed", func(target *modelMachine) { target.up, target.leaving, target.destroyed = false, false, true })
	}
	return next
}
