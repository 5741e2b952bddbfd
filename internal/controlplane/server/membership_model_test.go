package server

import (
	"fmt"
	"slices"
	"time"

	"ospreybend/coord/consensus"
	"ospreybend/coord/replica"
)

// Bounds of the model: machines, and disks that one machine may have had.
const (
	modelMachines = 12
	modelDisks    = 3
)

// modelRole is what a member is in the model's group.
type modelRole uint8

const (
	roleNone modelRole = iota
	roleLearner
	roleVoter
)

// modelMachine is one machine of the core. Its disk is numbered: one that is lost is followed by an empty one.
type modelMachine struct {
	exists      bool // it was started at some time
	up          bool // its process runs and is reached
	destroyed   bool // it never comes back
	timedOut    bool // it is down for so long that its time-out has passed
	leaving     bool // its graceful shutdown has begun
	stable      bool // its member has been ready to be a voter for some time
	lost        bool // it counts as lost
	replacement bool // it was started to replace a lost machine: part of that loss until it has the vote
	disk        uint8
}

// modelState is a group and its machines between two steps. A member is a machine with one of its disks.
type modelState struct {
	machines [modelMachines]modelMachine
	roles    [modelMachines][modelDisks]modelRole
	durable  [modelMachines][modelDisks]bool // it holds all that is committed
	retired  [modelMachines][modelDisks]bool // its ID is retired in the group
	replaced [modelMachines][modelDisks]bool // it was removed for another member at its address, retired or not
	leader   int8                            // machine; -1: none
	faults   int8                            // that may still strike
}

// model is the game: what may happen in which state, and what must never.
type membershipModel struct {
	founders, spares  int
	tolerated         int
	faults            int
	replacementSpares bool // spares are started to replace a voter that leaves
	restoreOldDisks   bool // an old copy of a disk may be put back
	omit              []Guard
	readdRetired      bool // the group's core takes retired members back
}

// modelStep is a step and the state after it.
type modelStep struct {
	name      string
	after     modelState
	violation string // what must not happen did
}

func (m membershipModel) desiredVoters() int { return 2*m.tolerated + 1 }

// toleratedLosses is how many machines may be lost at once: fewer than the settings tolerate if there are too few machines.
func (m membershipModel) toleratedLosses() int { return (min(m.desiredVoters(), m.founders) - 1) / 2 }

func (m membershipModel) initialState() modelState {
	state := modelState{leader: -1, faults: int8(m.faults)}
	for i := range m.founders {
		state.machines[i] = modelMachine{exists: true, up: true}
		state.roles[i][0], state.durable[i][0] = roleVoter, true
	}
	return state
}

func modelID(machine, disk int) consensus.MemberID {
	return consensus.MemberID(1 + machine*modelDisks + disk)
}

func machineAndDiskOf(id consensus.MemberID) (machine, disk int) {
	return int(id-1) / modelDisks, int(id-1) % modelDisks
}

func modelAddress(machine int) string { return fmt.Sprintf("k%02d", machine) }

// isRunning reports whether a member's process runs.
func (s *modelState) isRunning(machine, disk int) bool {
	return s.machines[machine].up && int(s.machines[machine].disk) == disk
}

// each calls a function for each member.
func (s *modelState) forEachMember(function func(machine, disk int, role modelRole)) {
	for machine := range s.roles {
		for disk, role := range s.roles[machine] {
			if role != roleNone {
				function(machine, disk, role)
			}
		}
	}
}

// count counts the voters, those that live, and those that live on machines that do not count as lost.
func (s *modelState) countVoters() (voters, running, unaffected int) {
	s.forEachMember(func(machine, disk int, role modelRole) {
		if role != roleVoter {
			return
		}
		voters++
		if s.isRunning(machine, disk) {
			running++
			if !s.machines[machine].lost && !s.machines[machine].replacement {
				unaffected++
			}
		}
	})
	return voters, running, unaffected
}

func (s *modelState) lostMachines() int {
	count := 0
	for _, machine := range s.machines {
		if machine.lost {
			count++
		}
	}
	return count
}

// led reports whether there is a leader that a majority follows.
func (s *modelState) hasLeader() bool {
	if s.leader < 0 {
		return false
	}
	disk := int(s.machines[s.leader].disk)
	voters, running, _ := s.countVoters()
	return s.isRunning(int(s.leader), disk) && s.roles[s.leader][disk] == roleVoter && running > voters/2
}

// observe is what the leader knows. Candidates are all processes that are no voters; late puts a request of a former
// member in place of the one from its address.
func (m membershipModel) observe(state *modelState, delayed consensus.MemberID) observedState {
	observed := observedState{
		Self: modelID(int(state.leader), int(state.machines[state.leader].disk)), DesiredVoters: m.desiredVoters(), SpareLearners: max(minSpareLearners, m.tolerated),
		SinceHeard: map[consensus.MemberID]time.Duration{}, OmitGuards: m.omit,
	}
	state.forEachMember(func(machine, disk int, role modelRole) {
		id := modelID(machine, disk)
		observed.Members = append(observed.Members, consensus.Member{ID: id, Address: modelAddress(machine), Voter: role == roleVoter})
		switch {
		case state.machines[machine].timedOut:
			observed.SinceHeard[id] = learnerTimeout
		case !state.machines[machine].up:
			observed.SinceHeard[id] = missedHeartbeatsAge
		}
		if state.canPromote(machine, disk) {
			observed.PromotableLearners = append(observed.PromotableLearners, id)
			if state.machines[machine].stable {
				observed.Stable = append(observed.Stable, id)
			}
		}
	})
	for machine, target := range state.machines {
		id := modelID(machine, int(target.disk))
		for disk, retired := range state.retired[machine] {
			if retired {
				observed.Retired = append(observed.Retired, modelID(machine, disk))
			}
		}
		sendsRequest := target.up && !target.leaving && state.roles[machine][target.disk] != roleVoter
		if from, _ := machineAndDiskOf(max(delayed, 1)); delayed != 0 && from == machine {
			id, sendsRequest = delayed, true
		}
		if sendsRequest {
			observed.JoinRequests = append(observed.JoinRequests, joinRequest{ID: id, Address: modelAddress(machine)})
		}
		if target.up && target.leaving {
			observed.Leaving = append(observed.Leaving, id)
		}
		if m.replacementSpares && target.up && !target.leaving && machine >= m.founders {
			observed.Successors = append(observed.Successors, id)
		}
	}
	return observed
}

// canPromote is what the core's leader knows of a learner.
func (s *modelState) canPromote(machine, disk int) bool {
	return s.roles[machine][disk] == roleLearner && s.isRunning(machine, disk) && s.durable[machine][disk]
}

// decide has the leader make its next change, after a request that came late if there is one.
func (m membershipModel) decide(state modelState, delayed consensus.MemberID) (modelStep, bool) {
	next, found := nextMembershipChange(m.observe(&state, delayed))
	if !found {
		return modelStep{}, false
	}
	if next.Confirm.ID != 0 {
		machine, disk := machineAndDiskOf(next.Confirm.ID)
		if !state.isRunning(machine, disk) || state.machines[machine].leaving {
			return modelStep{}, false
		}
	}
	made := modelStep{name: "change: " + formatChange(next.Change), after: state}
	made.violation = m.apply(&made.after, next.Change)
	return made, made.after != state || made.violation != ""
}

// apply makes a change if the core's leader would, and returns the violation if there is one.
func (m membershipModel) apply(state *modelState, change replica.MembershipChange) (violation string) {
	before := *state
	if change.Add == nil {
		violation = m.remove(state, change)
	} else {
		violation = m.add(state, *change.Add)
	}
	voters, running, _ := state.countVoters()
	if running <= voters/2 {
		*state = before // a majority of the new voters must answer
		return ""
	}
	return violation
}

func (m membershipModel) remove(state *modelState, change replica.MembershipChange) (violation string) {
	machine, disk := machineAndDiskOf(change.Remove)
	wasVoter := state.roles[machine][disk] == roleVoter
	diskLost := int(state.machines[machine].disk) != disk
	state.roles[machine][disk] = roleNone
	state.durable[machine][disk] = false
	state.retired[machine][disk] = change.Retire
	state.replaced[machine][disk] = diskLost && state.machines[machine].up
	switch {
	case state.isRunning(machine, disk):
		return fmt.Sprintf("member %d is removed although it lives", change.Remove)
	case wasVoter && !diskLost && !m.hasPromotionCandidate(state):
		return fmt.Sprintf("voter %d gives its place to nobody", change.Remove)
	}
	return ""
}

func (m membershipModel) add(state *modelState, added consensus.Member) (violation string) {
	machine, disk := machineAndDiskOf(added.ID)
	role := state.roles[machine][disk]
	switch {
	case state.retired[machine][disk] && !m.readdRetired:
		return "" // rejected
	case added.Voter && role == roleLearner && state.canPromote(machine, disk):
		state.roles[machine][disk] = roleVoter
	case !added.Voter && role == roleVoter:
		state.roles[machine][disk] = roleLearner
		if !m.hasPromotionCandidate(state) {
			return fmt.Sprintf("voter %d gives its place to nobody", added.ID)
		}
	case !added.Voter && role == roleNone:
		state.roles[machine][disk] = roleLearner
	}
	if state.replaced[machine][disk] && state.roles[machine][disk] != roleNone {
		return fmt.Sprintf("member %d is back although it was replaced", added.ID)
	}
	return ""
}

// hasPromotionCandidate reports whether the group has its voters, or a learner that can fill a vacancy at once.
func (m membershipModel) hasPromotionCandidate(s *modelState) bool {
	voters, _, _ := s.countVoters()
	found := voters >= m.desiredVoters()
	s.forEachMember(func(machine, disk int, _ modelRole) {
		found = found || (s.canPromote(machine, disk) && !s.machines[machine].leaving)
	})
	return found
}

// weakness returns what is wrong with a state; empty if nothing is.
func (m membershipModel) checkLossTolerance(state modelState) string {
	voters, _, unaffected := state.countVoters()
	furtherLosses := m.toleratedLosses() - state.lostMachines()
	if unaffected-furtherLosses <= voters/2 {
		return fmt.Sprintf("%d of %d voters stand, %d further losses leave no majority", unaffected, voters, furtherLosses)
	}
	return ""
}

// unfinished returns what a group still lacks when nothing more happens by itself; empty if nothing.
func (m membershipModel) checkConverged(state modelState) string {
	available, timeoutsPassed := 0, true
	for machine, target := range state.machines {
		if target.up && target.leaving {
			return "" // its shutdown comes first
		}
		timeoutsPassed = timeoutsPassed && (!target.exists || target.up || target.timedOut)
		if target.up && !state.retired[machine][target.disk] {
			available++
		}
	}
	voters, running, _ := state.countVoters()
	if !state.hasLeader() || !timeoutsPassed {
		return ""
	}
	if running < m.expectedVoters(available) || (available >= m.desiredVoters() && voters != running) {
		return fmt.Sprintf("%d of %d voters live, with %d machines at hand", running, voters, available)
	}
	return ""
}

// reachable is how many voters a group should have with so many machines. An even number bears no more losses than the
// odd one below it.
func (m membershipModel) expectedVoters(available int) int {
	voters := min(m.desiredVoters(), available)
	if voters%2 == 0 {
		return voters - 1
	}
	return voters
}

// describe lists the members of a state.
func (s modelState) describe() string {
	var parts []string
	s.forEachMember(func(machine, disk int, role modelRole) {
		parts = append(parts, fmt.Sprintf("%d(voter %v, lives %v)", modelID(machine, disk), role == roleVoter, s.isRunning(machine, disk)))
	})
	slices.Sort(parts)
	return fmt.Sprint(parts)
}
