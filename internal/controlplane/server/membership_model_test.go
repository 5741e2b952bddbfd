package server

import (
	"fmt"
	"slices"
	"time"

	"ospreybend/coord/consensus"
	"ospreybend/coord/replica"
)

// Limits of the model: machines, and disks per machine, including lost ones.
const (
	modelMachines = 12
	modelDisks    = 3
)

// modelRole is the role of a member in the modeled group.
type modelRole uint8

const (
	roleNone modelRole = iota
	roleLearner
	roleVoter
)

// modelMachine is one machine that may run a server. Its disks are numbered; a lost disk is followed by an empty one.
type modelMachine struct {
	exists      bool  // it has been started at some time
	up          bool  // its process runs and can be reached
	destroyed   bool  // it never returns
	timedOut    bool  // it has been down for longer than its timeout
	leaving     bool  // its graceful shutdown has begun
	stable      bool  // its member has been promotable for stableAfter
	lost        bool  // a fault has occurred on it and the group has not recovered from it yet
	replacement bool  // it was started to replace a lost machine and counts as part of that loss, see clearReplacement
	disk        uint8 // number of the current disk
}

// modelState is the state of a group and its machines between two steps. A member is identified by a machine and one of its disks.
type modelState struct {
	machines [modelMachines]modelMachine
	roles    [modelMachines][modelDisks]modelRole
	durable  [modelMachines][modelDisks]bool // it has acknowledged all committed entries
	retired  [modelMachines][modelDisks]bool // its ID is retired in the group
	replaced [modelMachines][modelDisks]bool // it was removed in favor of another member at its address, whether or not its ID was retired
	leader   int8                            // machine; -1: none
	faults   int8                            // number of faults that may still occur
}

// membershipModel defines the possible steps in each state and the conditions that must never be violated. It is used to check
// nextMembershipChange against all schedules of small groups.
type membershipModel struct {
	founders, spares  int
	tolerated         int  // losses tolerated according to the settings
	faults            int  // number of faults that may occur in one schedule
	replacementSpares bool // spares are started to replace a leaving voter
	restoreOldDisks   bool // an old copy of a disk may be restored
	omit              []Guard
	readdRetired      bool // the group adds retired members again
}

// modelStep is a step with the state after it.
type modelStep struct {
	name      string
	after     modelState
	violation string // condition that the step violates; empty if none
}

func (m membershipModel) desiredVoters() int { return 2*m.tolerated + 1 }

// toleratedLosses returns how many machines may be lost at the same time: fewer than the settings tolerate if there are too few founders.
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

func modelAddress(machine int) string { return fmt.Sprintf("server%02d", machine) }

// isRunning reports whether a member's process runs, with the disk of that member.
func (s *modelState) isRunning(machine, disk int) bool {
	return s.machines[machine].up && int(s.machines[machine].disk) == disk
}

// forEachMember calls a function for each member of the group.
func (s *modelState) forEachMember(function func(machine, disk int, role modelRole)) {
	for machine := range s.roles {
		for disk, role := range s.roles[machine] {
			if role != roleNone {
				function(machine, disk, role)
			}
		}
	}
}

// countVoters counts the voters, those that are running, and those that are running on machines that are not part of a loss.
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

// hasLeader reports whether there is a leader that a majority follows.
func (s *modelState) hasLeader() bool {
	if s.leader < 0 {
		return false
	}
	disk := int(s.machines[s.leader].disk)
	voters, running, _ := s.countVoters()
	return s.isRunning(int(s.leader), disk) && s.roles[s.leader][disk] == roleVoter && running > voters/2
}

// observe returns what the leader knows. All running servers that are not voters and not shutting down send join requests; if delayed is
// not 0, a request of that former member replaces the one from its address.
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
		if sender, _ := machineAndDiskOf(max(delayed, 1)); delayed != 0 && sender == machine {
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

// canPromote reports whether a member is a learner that the leader can promote.
func (s *modelState) canPromote(machine, disk int) bool {
	return s.roles[machine][disk] == roleLearner && s.isRunning(machine, disk) && s.durable[machine][disk]
}

// decide has the leader make its next change, after a delayed request of a former member unless delayed is 0.
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

// apply makes a change if it can be committed, and returns the violation, if any.
func (m membershipModel) apply(state *modelState, change replica.MembershipChange) (violation string) {
	before := *state
	if change.Add == nil {
		violation = m.remove(state, change)
	} else {
		violation = m.add(state, *change.Add)
	}
	voters, running, _ := state.countVoters()
	if running <= voters/2 {
		*state = before // a majority of the new voters must acknowledge the change
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
		return fmt.Sprintf("member %d is removed although it is running", change.Remove)
	case wasVoter && !diskLost && !m.hasPromotionCandidate(state):
		return fmt.Sprintf("voter %d is removed without a successor", change.Remove)
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
			return fmt.Sprintf("voter %d is demoted without a successor", added.ID)
		}
	case !added.Voter && role == roleNone:
		state.roles[machine][disk] = roleLearner
	}
	if state.replaced[machine][disk] && state.roles[machine][disk] != roleNone {
		return fmt.Sprintf("member %d is added again although it was replaced", added.ID)
	}
	return ""
}

// hasPromotionCandidate reports whether the group has all desired voters or a learner that can fill a vacancy immediately.
func (m membershipModel) hasPromotionCandidate(s *modelState) bool {
	voters, _, _ := s.countVoters()
	found := voters >= m.desiredVoters()
	s.forEachMember(func(machine, disk int, _ modelRole) {
		found = found || (s.canPromote(machine, disk) && !s.machines[machine].leaving)
	})
	return found
}

// checkLossTolerance returns a violation if the further losses that must be tolerated would leave no majority.
func (m membershipModel) checkLossTolerance(state modelState) string {
	voters, _, unaffected := state.countVoters()
	furtherLosses := m.toleratedLosses() - state.lostMachines()
	if unaffected-furtherLosses <= voters/2 {
		return fmt.Sprintf("%d of %d voters run on machines that are not part of a loss; %d further losses leave no majority", unaffected, voters, furtherLosses)
	}
	return ""
}

// checkConverged returns a violation if a group in which no fault-free step remains lacks voters that it could have.
func (m membershipModel) checkConverged(state modelState) string {
	available, timeoutsPassed := 0, true
	for machine, target := range state.machines {
		if target.up && target.leaving {
			return "" // its shutdown must complete first
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
		return fmt.Sprintf("%d of %d voters are running although %d machines are available", running, voters, available)
	}
	return ""
}

// expectedVoters returns how many voters a group should have with the given number of available machines. An even number tolerates no
// more losses than the odd one below it.
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
		parts = append(parts, fmt.Sprintf("%d(voter %v, running %v)", modelID(machine, disk), role == roleVoter, s.isRunning(machine, disk)))
	})
	slices.Sort(parts)
	return fmt.Sprint(parts)
}
