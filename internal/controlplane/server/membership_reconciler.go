package server

import (
	"slices"
	"time"

	"ospreybend/coord/consensus"
	"ospreybend/coord/replica"
)

// observedState is what the leader of a group knows when it decides on the next change of members.
type observedState struct {
	Self               consensus.MemberID
	Members            []consensus.Member
	Retired            []consensus.MemberID                 // IDs that were replaced: they never come back
	DesiredVoters      int                                  // voters that the group should have
	SpareLearners      int                                  // learners that it keeps besides, for the voters that will be lost
	JoinRequests       []joinRequest                        // those who asked lately, at most one for each address
	PromotableLearners []consensus.MemberID                 // learners that answer and have acknowledged nearly all of the log as durable
	Stable             []consensus.MemberID                 // those of them that have been so for some time, the longest first
	SinceHeard         map[consensus.MemberID]time.Duration // how long nothing was heard of a member's address
	Leaving            []consensus.MemberID                 // members that said that they are about to end
	Successors         []consensus.MemberID                 // learners whose process began lately: started to take a leaving voter's place

	OmitGuards []Guard // guards left out, by tests alone
}

// membershipChange is one change of members and what it rests on.
type membershipChange struct {
	Change replica.Change
	// Confirm is the keeper that must live at its address under its ID, or the change must not be made. ID 0: nobody.
	Confirm joinRequest
}

// nextMembershipChange returns the next change that brings a group's members nearer to what is wanted, or false if there is none.
// Changes are of one member:
//
//  1. a member whose address now belongs to another member ID has lost its disk: it is removed, which never makes a
//     majority harder to reach, and its ID is retired. That holds also if the other ID is a retired one, as when an old
//     copy of a disk was put back: it is not taken in, but the member is no longer there;
//  2. with more voters than wanted, one that is leaving becomes a learner, else one that is silent goes;
//  3. a learner that is known to hold nearly all becomes a voter if a place is free and that makes their number odd; else
//     the voter that is silent longest makes room, if that is long enough; else it becomes a voter if a second one is to
//     follow; else a voter that is leaving makes room, if the learner is its successor, and becomes a learner itself;
//  4. a candidate becomes a learner: one for each place that is free or held by a silent voter, and some spares, so that
//     taking a lost voter's place is one change and no transfer of the state;
//  5. a learner that no longer asks and is silent for long goes.
func nextMembershipChange(observed observedState) (membershipChange, bool) {
	for _, rule := range []func(observedState) (membershipChange, bool){
		removeSuperseded, releaseSurplusVoter, promoteLearner, addLearner, removeUnresponsiveLearner,
	} {
		if next, found := rule(observed); found {
			return next, true
		}
	}
	return membershipChange{}, false
}

func removeSuperseded(observed observedState) (membershipChange, bool) {
	for _, request := range observed.JoinRequests {
		for _, member := range observed.Members {
			if member.Address == request.Address && member.ID != request.ID && member.ID != observed.Self {
				retire := observed.guardEnabled(GuardReplacedRetired)
				return observed.requireConfirmation(replica.Change{Remove: member.ID, Retire: retire}, request), true
			}
		}
	}
	return membershipChange{}, false
}

func releaseSurplusVoter(observed observedState) (membershipChange, bool) {
	if observed.voterCount() <= observed.DesiredVoters && observed.guardEnabled(GuardSuccessorReady) {
		return membershipChange{}, false
	}
	if released, found := observed.demoteLeavingVoter(); found {
		return released, true
	}
	gone, found := observed.longestUnresponsiveVoter(voterTimeout)
	return membershipChange{Change: replica.Change{Remove: gone}}, found && observed.voterCount() > observed.DesiredVoters
}

// demoteLeavingVoter makes a voter that is about to end a learner. The voter goes before its successor comes: with both as
// voters, the loss of that one machine's place would cost two votes.
func (o observedState) demoteLeavingVoter() (membershipChange, bool) {
	for _, member := range o.Members {
		if member.Voter && member.ID != o.Self && slices.Contains(o.Leaving, member.ID) {
			member.Voter = false
			return membershipChange{Change: replica.Change{Add: &member}}, true
		}
	}
	return membershipChange{}, false
}

func promoteLearner(observed observedState) (membershipChange, bool) {
	for _, learner := range observed.promotionCandidates() {
		promoted := learner
		promoted.Voter = true
		free, even := observed.voterCount() < observed.DesiredVoters, observed.voterCount()%2 == 0
		if free && even {
			return membershipChange{Change: replica.Change{Add: &promoted}}, true
		}
		if gone, found := observed.longestUnresponsiveVoter(voterTimeout); found {
			return membershipChange{Change: replica.Change{Remove: gone}}, true
		}
		if free && observed.canAddVoter() {
			return membershipChange{Change: replica.Change{Add: &promoted}}, true
		}
		if released, found := observed.demoteLeavingVoter(); found && slices.Contains(observed.Successors, learner.ID) {
			return released, true
		}
	}
	return membershipChange{}, false
}

// promotionCandidates returns the learners that could be voters at once, those first that have been able to be for some time.
func (o observedState) promotionCandidates() (found []consensus.Member) {
	for _, member := range o.Members {
		if !member.Voter && !slices.Contains(o.Leaving, member.ID) && o.canPromote(member.ID) {
			found = append(found, member)
		}
	}
	slices.SortStableFunc(found, func(a, b consensus.Member) int { return o.stabilityRank(a.ID) - o.stabilityRank(b.ID) })
	return found
}

// stabilityRank ranks learners by how long they have been able to be voters: the longest first, those last that have only
// begun. Whoever came back last may still be about to fail, and must not be the one that makes the number even.
func (o observedState) stabilityRank(id consensus.MemberID) int {
	if rank := slices.Index(o.Stable, id); rank >= 0 {
		return rank
	}
	return len(o.Stable)
}

func (o observedState) isStable(id consensus.MemberID) bool { return slices.Contains(o.Stable, id) }

// canAddVoter tells whether a group with an odd number of voters may take one more. An even number bears no more losses
// than the odd one below it and needs one voter more for a majority, so the group waits for two (unless no more than one is
// wanted), and until all is calm: its voters answer, none is leaving, and the two have been ready for some time.
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

// canPromote tells whether a learner is known to hold what makes it a sound voter. Without the guard its own request to
// join is believed.
func (o observedState) canPromote(id consensus.MemberID) bool {
	return slices.Contains(o.PromotableLearners, id) || (!o.guardEnabled(GuardPromotedDurable) && o.hasJoinRequest(id))
}

func addLearner(observed observedState) (membershipChange, bool) {
	vacancies := max(0, observed.DesiredVoters-observed.voterCount()+observed.unresponsiveVoters(voterTimeout))
	if observed.responsiveLearners(voterTimeout) >= vacancies+observed.SpareLearners {
		return membershipChange{}, false
	}
	for _, request := range observed.JoinRequests {
		if _, found := observed.member(request.ID); !found && !slices.Contains(observed.Retired, request.ID) {
			return observed.requireConfirmation(replica.Change{Add: &consensus.Member{ID: request.ID, Address: request.Address}}, request), true
		}
	}
	return membershipChange{}, false
}

func removeUnresponsiveLearner(observed observedState) (membershipChange, bool) {
	for _, member := range observed.Members {
		if !member.Voter && !observed.hasJoinRequest(member.ID) && observed.SinceHeard[member.ID] >= learnerTimeout {
			return membershipChange{Change: replica.Change{Remove: member.ID}}, true
		}
	}
	return membershipChange{}, false
}

// requireConfirmation is a change that is made only if the candidate lives.
func (o observedState) requireConfirmation(change replica.Change, request joinRequest) membershipChange {
	if !o.guardEnabled(GuardIdentityAsked) {
		return membershipChange{Change: change}
	}
	return membershipChange{Change: change, Confirm: request}
}

// timeSinceHeard is how long a member counts as silent that was last heard at some time. Before a keeper leads, members have no
// reason to talk to it, so only the time since then counts; one that has left its first heartbeats unanswered for
// newLeaderPatience, though, was most likely silent before, too: a change of leader does not make a lost voter last longer.
func timeSinceHeard(now, heard, leadingSince time.Time) time.Duration {
	if !heard.Before(leadingSince) {
		return now.Sub(heard)
	}
	led := now.Sub(leadingSince)
	if led < newLeaderGracePeriod {
		return led
	}
	return max(led, min(now.Sub(heard), voterTimeout))
}

func (o observedState) guardEnabled(guard Guard) bool { return !slices.Contains(o.OmitGuards, guard) }

func (o observedState) member(id consensus.MemberID) (consensus.Member, bool) {
	for _, member := range o.Members {
		if member.ID == id {
			return member, true
		}
	}
	return consensus.Member{}, false
}

func (o observedState) hasJoinRequest(id consensus.MemberID) bool {
	for _, request := range o.JoinRequests {
		if request.ID == id {
			return true
		}
	}
	return false
}

func (o observedState) voterCount() int {
	count := 0
	for _, member := range o.Members {
		if member.Voter {
			count++
		}
	}
	return count
}

// responsiveLearners counts the learners that are not silent for a time.
func (o observedState) responsiveLearners(limit time.Duration) int {
	count := 0
	for _, member := range o.Members {
		if !member.Voter && o.SinceHeard[member.ID] < limit {
			count++
		}
	}
	return count
}

// hasFillableVacancy tells whether a place is free that learners take as soon as they can.
func (o observedState) hasFillableVacancy() bool {
	candidates := 0
	for _, member := range o.Members {
		if !member.Voter && !slices.Contains(o.Leaving, member.ID) && o.SinceHeard[member.ID] < voterTimeout {
			candidates++
		}
	}
	return o.voterCount() < o.DesiredVoters && (candidates > 1 || (candidates == 1 && o.voterCount()%2 == 0))
}

// unresponsiveVoters counts the voters, the leader apart, that are silent for at least a time.
func (o observedState) unresponsiveVoters(atLeast time.Duration) int {
	count := 0
	for _, member := range o.Members {
		if member.Voter && member.ID != o.Self && o.SinceHeard[member.ID] >= atLeast {
			count++
		}
	}
	return count
}

// longestUnresponsiveVoter returns the voter that is silent longest, if that is at least a time.
func (o observedState) longestUnresponsiveVoter(atLeast time.Duration) (consensus.MemberID, bool) {
	var longest consensus.Member
	for _, member := range o.Members {
		if !member.Voter || member.ID == o.Self || o.SinceHeard[member.ID] < atLeast {
			continue
		}
		if longest.ID == 0 || o.SinceHeard[member.ID] > o.SinceHeard[longest.ID] {
			longest = member
		}
	}
	return longest.ID, longest.ID != 0
}
