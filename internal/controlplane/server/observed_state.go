package server

import (
	"slices"
	"time"

	"ospreybend/coord/consensus"
)

// observedState is what the leader of a group knows when it chooses the next membership change.
type observedState struct {
	Self               consensus.MemberID
	Members            []consensus.Member
	Retired            []consensus.MemberID                 // IDs of replaced members, which are never added again
	DesiredVoters      int                                  // desired number of voters
	SpareLearners      int                                  // desired number of learners in addition to the vacancies, to replace voters lost later
	JoinRequests       []joinRequest                        // recent requests, at most one per address
	PromotableLearners []consensus.MemberID                 // responsive learners that have acknowledged nearly all of the log as durable
	Stable             []consensus.MemberID                 // learners that have been promotable for at least stableAfter, longest first
	SinceHeard         map[consensus.MemberID]time.Duration // time since the last message of this group, by member
	Leaving            []consensus.MemberID                 // members that have announced their shutdown
	Successors         []consensus.MemberID                 // learners that are assumed to replace a leaving voter
	Established        []consensus.MemberID                 // successors and leaving voters that have run for long enough not to count as lost

	OmitGuards []Guard // set by tests only
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

// hasJoinRequest reports whether there is a recent join request from the member.
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

// leavingVoters counts the voters that are shutting down.
func (o observedState) leavingVoters() int {
	count := 0
	for _, member := range o.Members {
		if member.Voter && slices.Contains(o.Leaving, member.ID) {
			count++
		}
	}
	return count
}

// majorityLeaves reports whether voters are shutting down and the other responsive ones are no majority.
func (o observedState) majorityLeaves() bool {
	if !o.guardEnabled(GuardMajorityHandedOver) {
		return false
	}
	leaving := o.leavingVoters()
	staying := 0
	for _, member := range o.Members {
		responsive := member.ID == o.Self || o.SinceHeard[member.ID] < missedHeartbeatsAge
		if member.Voter && responsive && !slices.Contains(o.Leaving, member.ID) {
			staying++
		}
	}
	return leaving > 0 && staying <= o.voterCount()/2
}

// promotionMayBeDue reports whether there is a vacancy, or a voter that must be replaced.
func (o observedState) promotionMayBeDue() bool {
	return o.voterCount() < o.DesiredVoters || o.unresponsiveVoters(voterTimeout) > 0
}

// responsiveLearners counts the learners that sent a message less than maxSilence ago and are not shutting down.
func (o observedState) responsiveLearners(maxSilence time.Duration) int {
	count := 0
	for _, member := range o.Members {
		if !member.Voter && o.SinceHeard[member.ID] < maxSilence && !slices.Contains(o.Leaving, member.ID) {
			count++
		}
	}
	return count
}

// hasFillableVacancy reports whether there is a vacancy that responsive learners will fill once they are promotable.
func (o observedState) hasFillableVacancy() bool {
	candidates := 0
	for _, member := range o.Members {
		if !member.Voter && !slices.Contains(o.Leaving, member.ID) && o.SinceHeard[member.ID] < voterTimeout {
			candidates++
		}
	}
	return o.voterCount() < o.DesiredVoters && (candidates > 1 || (candidates == 1 && o.voterCount()%2 == 0))
}

// unresponsiveVoters counts the voters other than the leader whose last message is at least minSilence old.
func (o observedState) unresponsiveVoters(minSilence time.Duration) int {
	count := 0
	for _, member := range o.Members {
		if member.Voter && member.ID != o.Self && o.SinceHeard[member.ID] >= minSilence {
			count++
		}
	}
	return count
}

// longestUnresponsiveVoter returns the voter other than the leader whose last message is oldest, if it is at least minSilence old.
func (o observedState) longestUnresponsiveVoter(minSilence time.Duration) (consensus.MemberID, bool) {
	var longest consensus.Member
	for _, member := range o.Members {
		if !member.Voter || member.ID == o.Self || o.SinceHeard[member.ID] < minSilence {
			continue
		}
		if longest.ID == 0 || o.SinceHeard[member.ID] > o.SinceHeard[longest.ID] {
			longest = member
		}
	}
	return longest.ID, longest.ID != 0
}
