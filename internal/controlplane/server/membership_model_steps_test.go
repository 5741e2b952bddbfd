package server

import (
	"fmt"

	"ospreybend/coord/consensus"
)

// lateRequests are the former members whose requests may still be on their way.
func (s *modelState) lateRequests() []consensus.MemberID {
	var found []consensus.MemberID
	for machine, one := range s.machines {
		for disk := range int(one.disk) {
			found = append(found, modelID(machine, disk))
		}
	}
	return found
}

// calm returns what happens without faults or late requests: the next election, change or catching up.
func (m model) calm(s modelState) (next []modelStep) {
	if !s.led() {
		return s.elections()
	}
	if made, found := m.decide(s, 0); found {
		next = append(next, made)
	}
	s.each(func(machine, disk int, role modelRole) {
		if role == roleLearner && s.lives(machine, disk) && !s.durable[machine][disk] {
			after := s
			after.durable[machine][disk] = true
			next = append(next, modelStep{name: fmt.Sprintf("%d catches up", modelID(machine, disk)), after: after})
		}
		if s.mayPromote(machine, disk) && !s.machines[machine].steady {
			after := s
			after.machines[machine].steady = true
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
		if role == roleVoter && s.lives(machine, disk) && !s.machines[machine].leaving {
			after := s
			after.leader = int8(machine)
			next = append(next, modelStep{name: fmt.Sprintf("%d leads", modelID(machine, disk)), after: after})
		}
	})
	return next
}

// steps returns all that may happen in a state.
func (m model) steps(s modelState) []modelStep {
	next := m.calm(s)
	settled := len(next) == 0
	if s.led() {
		for _, late := range s.lateRequests() {
			if made, found := m.decide(s, late); found {
				made.name = fmt.Sprintf("late request of %d, %s", late, made.name)
				next = append(next, made)
			}
		}
	}
	for machine := range m.founders + m.spares {
		next = append(next, m.happens(s, machine, settled)...)
	}
	return next
}

// happens returns what may befall one machine.
func (m model) happens(s modelState, machine int, settled bool) (next []modelStep) {
	befall := func(name string, change func(one *modelMachine, after *modelState)) {
		after := s
		change(&after.machines[machine], &after)
		next = append(next, modelStep{name: fmt.Sprintf("machine %d %s", machine, name), after: after})
	}
	one := s.machines[machine]
	if !one.there {
		befall("is added", func(one *modelMachine, _ *modelState) {
			one.there, one.up, one.fresh = true, true, s.lostMachines() > 0
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
		befall("ends", func(one *modelMachine, _ *modelState) { one.up, one.leaving, one.steady = false, false, false })
	}
	if one.lost && settled && m.recovered(&s, machine) {
		befall("counts as lost no more", func(one *modelMachine, after *modelState) {
			one.lost = false
			after.settleFresh()
		})
	}
	if m.oldDisks && !one.up && !one.gone && one.disk > 0 && s.retiredOrNone(machine) {
		befall("gets an old disk back", func(one *modelMachine, _ *modelState) { one.disk--; one.up, one.silent = true, false })
	}
	if s.faults > 0 && (one.lost || s.lostMachines() < m.bears()) {
		next = append(next, m.strikes(s, machine)...)
	}
	return next
}

// settleFresh ends the time in which a new machine counts with one that was lost: with each that counts as lost no more,
// one new machine does not either, and no more stay new than others are lost.
func (s *modelState) settleFresh() {
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

// retiredOrNone tells whether the disk before the present one was replaced or was never a member's.
func (s *modelState) retiredOrNone(machine int) bool {
	return s.roles[machine][s.machines[machine].disk-1] == roleNone
}

// recovered tells whether a machine is back, or another has its place.
func (m model) recovered(s *modelState, machine int) bool {
	for disk, role := range s.roles[machine] {
		if role == roleVoter && !s.lives(machine, disk) {
			return false
		}
	}
	_, living, _ := s.count()
	one := s.machines[machine]
	back := one.up && !one.leaving && !s.retired[machine][one.disk]
	return back || (one.gone && living >= min(m.wanted(), m.founders))
}

// strikes returns the faults that may strike a machine.
func (m model) strikes(s modelState, machine int) (next []modelStep) {
	strike := func(name string, change func(one *modelMachine)) {
		after := s
		after.faults--
		one := &after.machines[machine]
		one.lost, one.steady = true, false
		change(one)
		next = append(next, modelStep{name: fmt.Sprintf("machine %d %s", machine, name), after: after})
	}
	one := s.machines[machine]
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
