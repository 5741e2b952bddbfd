package server

import (
	"slices"
	"time"

	"ospreybend/coord/consensus"
	"ospreybend/coord/replica"
)

// plannedChange is a membership change and its precondition.
type plannedChange struct {
	Change replica.MembershipChange
	// Confirm is the join request that must be confirmed before the change is made. Its ID is 0 if none need be.
	Confirm joinRequest
}

// nextMembershipChange returns the next change that brings a group's members closer to the desired ones, or false if none is needed. It
// is a pure function of the observed state. The first rule that applies is used; each rule changes one member:
//
//  1. removeSuperseded: a member whose address now belongs to another member ID has lost its disk. It is removed, which never makes a
//     majority harder to reach, and its ID is retired. This applies even if the other ID is itself retired, for example after an old
//     copy of a disk was restored: the retired ID is not added again, but the superseded member no longer exists.
//  2. releaseSurplusVoter: if there are more voters than desired, one that is leaving becomes a learner, else one that has timed out is
//     removed.
//  3. promoteLearner: a learner that has acknowledged nearly all of the log as durable becomes a voter if there is a vacancy and the
//     number of voters becomes odd. Otherwise the voter that has been unresponsive longest is removed if it has timed out; otherwise
//     the learner is promoted if canAddVoter expects a second promotion; otherwise, if the learner is the successor of a leaving
//     voter, that voter becomes a learner. A successor that is established is promoted first, and rule 2 then demotes the leaving voter;
//     so is any successor if so many voters are leaving that no majority would remain.
//  4. addLearner: a server with a join request becomes a learner: one for each vacancy or timed-out voter, plus SpareLearners, so that a
//     lost voter can be replaced without first transferring the state.
//  5. removeUnresponsiveLearner: a learner without a join request that has been unresponsive for learnerTimeout is removed.
func nextMembershipChange(observed observedState) (plannedChange, bool) {
	for _, rule := range []func(observedState) (plannedChange, bool){
		removeSuperseded, releaseSurplusVoter, promoteLearner, addLearner, removeUnresponsiveLearner,
	} {
		if next, found := rule(observed); found {
			return next, true
		}
	}
	return plannedChange{}, false
}

// removeSuperseded is rule 1 of nextMembershipChange.
func removeSuperseded(observed observedState) (plannedChange, bool) {
	for _, request := range observed.JoinRequests {
		for _, member := range observed.Members {
			if member.Address == request.Address && member.ID != request.ID && member.ID != observed.Self {
				retire := observed.guardEnabled(GuardReplacedRetired)
				return observed.requireConfirmation(replica.MembershipChange{Remove: member.ID, Retire: retire}, request), true
			}
		}
	}
	return plannedChange{}, false
}

// releaseSurplusVoter is rule 2 of nextMembershipChange.
func releaseSurplusVoter(observed observedState) (plannedChange, bool) {
	if observed.voterCount() <= observed.DesiredVoters && observed.guardEnabled(GuardSuccessorReady) {
		return plannedChange{}, false
	}
	if released, found := observed.demoteLeavingVoter(); found {
		return released, true
	}
	unresponsive, found := observed.longestUnresponsiveVoter(voterTimeout)
	return plannedChange{Change: replica.MembershipChange{Remove: unresponsive}}, found && observed.voterCount() > observed.DesiredVoters
}

// demoteLeavingVoter returns the change that makes a voter that is shutting down a learner. It is demoted before its successor is
// promoted: while both were voters, one planned replacement could cost two votes.
func (o observedState) demoteLeavingVoter() (plannedChange, bool) {
	for _, member := range o.Members {
		if member.Voter && member.ID != o.Self && slices.Contains(o.Leaving, member.ID) {
			member.Voter = false
			return plannedChange{Change: replica.MembershipChange{Add: &member}}, true
		}
	}
	return plannedChange{}, false
}

// promoteLearner is rule 3 of nextMembershipChange.
func promoteLearner(observed observedState) (plannedChange, bool) {
	for _, learner := range observed.promotionCandidates() {
		promoted := learner
		promoted.Voter = true
		if observed.precedesDemotion(learner.ID) {
			return plannedChange{Change: replica.MembershipChange{Add: &promoted}}, true
		}
		hasVacancy, evenVoters := observed.voterCount() < observed.DesiredVoters, observed.voterCount()%2 == 0
		if hasVacancy && evenVoters {
			return plannedChange{Change: replica.MembershipChange{Add: &promoted}}, true
		}
		if unresponsive, found := observed.longestUnresponsiveVoter(voterTimeout); found {
			return plannedChange{Change: replica.MembershipChange{Remove: unresponsive}}, true
		}
		if hasVacancy && observed.canAddVoter() {
			return plannedChange{Change: replica.MembershipChange{Add: &promoted}}, true
		}
		if released, found := observed.demoteLeavingVoter(); found && slices.Contains(observed.Successors, learner.ID) {
			return released, true
		}
	}
	return plannedChange{}, false
}

// precedesDemotion reports whether a learner is promoted before the leaving voter that it succeeds is demoted. In between there is one
// voter more than desired, and the group tolerates as many losses as before. If the learner or the voter counts as lost, both would cost
// two votes.
func (o observedState) precedesDemotion(learner consensus.MemberID) bool {
	if o.voterCount() > o.DesiredVoters || !slices.Contains(o.Successors, learner) || !o.guardEnabled(GuardMajorityHandedOver) {
		return false
	}
	demoted, found := o.demoteLeavingVoter()
	established := found && slices.Contains(o.Established, learner) && slices.Contains(o.Established, demoted.Change.Add.ID)
	return o.majorityLeaves() || established
}

// promotionCandidates returns the learners that can become voters now, sorted by stabilityRank.
func (o observedState) promotionCandidates() (found []consensus.Member) {
	for _, member := range o.Members {
		if !member.Voter && !slices.Contains(o.Leaving, member.ID) && o.canPromote(member.ID) {
			found = append(found, member)
		}
	}
	slices.SortStableFunc(found, func(a, b consensus.Member) int { return o.stabilityRank(a.ID) - o.stabilityRank(b.ID) })
	return found
}

// stabilityRank ranks learners by how long they have been promotable without interruption: the longest first, those that have been for
// less than stableAfter last. A learner that has just returned may fail again soon and must not be the one that makes the number
// of voters even.
func (o observedState) stabilityRank(id consensus.MemberID) int {
	if rank := slices.Index(o.Stable, id); rank >= 0 {
		return rank
	}
	return len(o.Stable)
}

func (o observedState) isStable(id consensus.MemberID) bool { return slices.Contains(o.Stable, id) }

// canAddVoter reports whether a group with an odd number of voters may add one more. An even number tolerates no more losses than the
// odd one below it and needs one more vote for a majority. So the group waits until two learners are stable (one if only one
// vacancy is left), all voters are responsive and none is leaving.
func (o observedState) canAddVoter() bool {
	if !o.guardEnabled(GuardVotersOdd) {
		return true
	}
	if _, leaving := o.demoteLeavingVoter(); leaving || o.unresponsiveVoters(missedHeartbeatsAge) > 0 {
		return false
	}
	stable := 0
	for _, candidate := range o.promotionCandidates() {
		if o.isStable(candidate.ID) {
			stable++
		}
	}
	return stable > 1 || (stable == 1 && o.voterCount()+1 == o.DesiredVoters)
}

// canPromote reports whether a learner has acknowledged enough of the log to become a voter. If GuardPromotedDurable is omitted, its own
// join request suffices.
func (o observedState) canPromote(id consensus.MemberID) bool {
	return slices.Contains(o.PromotableLearners, id) || (!o.guardEnabled(GuardPromotedDurable) && o.hasJoinRequest(id))
}

// addLearner is rule 4 of nextMembershipChange.
func addLearner(observed observedState) (plannedChange, bool) {
	vacancies := max(0, observed.DesiredVoters-observed.voterCount()+observed.unresponsiveVoters(voterTimeout))
	if observed.majorityLeaves() {
		vacancies += observed.leavingVoters()
	}
	if observed.responsiveLearners(voterTimeout) >= vacancies+observed.SpareLearners {
		return plannedChange{}, false
	}
	for _, request := range observed.JoinRequests {
		if _, found := observed.member(request.ID); !found && !slices.Contains(observed.Retired, request.ID) {
			return observed.requireConfirmation(replica.MembershipChange{Add: &consensus.Member{ID: request.ID, Address: request.Address}}, request), true
		}
	}
	return plannedChange{}, false
}

// removeUnresponsiveLearner is rule 5 of nextMembershipChange.
func removeUnresponsiveLearner(observed observedState) (plannedChange, bool) {
	for _, member := range observed.Members {
		if !member.Voter && !observed.hasJoinRequest(member.ID) && observed.SinceHeard[member.ID] >= learnerTimeout {
			return plannedChange{Change: replica.MembershipChange{Remove: member.ID}}, true
		}
	}
	return plannedChange{}, false
}

// requireConfirmation returns a change that is made only if the server that sent the join request confirms its member ID.
func (o observedState) requireConfirmation(change replica.MembershipChange, request joinRequest) plannedChange {
	if !o.guardEnabled(GuardIdentityConfirmed) {
		return plannedChange{Change: change}
	}
	return plannedChange{Change: change, Confirm: request}
}

// timeSinceHeard returns how long a member is considered unresponsive, given when it last sent a message and since when this server has
// led the group. Members have no reason to send to a server that does not lead, so only the time as leader counts at first. A
// member that has not answered any heartbeat during newLeaderGracePeriod was most likely unresponsive before: its earlier silence
// then counts, up to voterTimeout, so that a change of leader does not extend the timeout of a lost voter.
func timeSinceHeard(now, heard, leadingSince time.Time) time.Duration {
	if !heard.Before(leadingSince) {
		return now.Sub(heard)
	}
	leadingFor := now.Sub(leadingSince)
	if leadingFor < newLeaderGracePeriod {
		return leadingFor
	}
	return max(leadingFor, min(now.Sub(heard), voterTimeout))
}
