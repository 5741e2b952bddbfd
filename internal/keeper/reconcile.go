package keeper

import (
	"time"

	"ospreybend/coord/agreement"
	"ospreybend/coord/replica"
)

// candidate is a keeper that asks to be taken into a group.
type candidate struct {
	ID      agreement.MemberID
	Address string
	Current bool // it says that it holds what the leader had committed
}

// situation is what the leader of a group knows when it decides on the next change of members.
type situation struct {
	Self       agreement.MemberID
	Members    []agreement.Member
	Wanted     int                                  // voters that the group should have
	Candidates []candidate                          // those who asked lately, at most one for each address
	Silent     map[agreement.MemberID]time.Duration // how long nothing was heard of a member's address
}

// nextChange returns the next change that brings a group's members nearer to what is wanted, or
// false if there is none. Changes are of one member:
//
//  1. a member whose address now belongs to another member ID has lost its disk: it is removed, which
//     never makes a majority harder to reach;
//  2. a learner that is current becomes a voter if a place is free; otherwise the voter that is
//     silent longest makes room for it, if that is long enough;
//  3. a candidate becomes a learner, one for each place that is free or held by a silent voter;
//  4. a voter beyond the wanted number goes if it is silent for long, and a learner that no
//     longer asks.
func nextChange(s situation) (replica.Change, bool) {
	for _, rule := range []func(situation) (replica.Change, bool){
		removeSuperseded, promoteLearner, addLearner, removeSurplus, removeLostLearner,
	} {
		if change, found := rule(s); found {
			return change, true
		}
	}
	return replica.Change{}, false
}

func removeSuperseded(s situation) (replica.Change, bool) {
	for _, asking := range s.Candidates {
		for _, member := range s.Members {
			if member.Address == asking.Address && member.ID != asking.ID && member.ID != s.Self {
				return replica.Change{Remove: member.ID}, true
			}
		}
	}
	return replica.Change{}, false
}

func promoteLearner(s situation) (replica.Change, bool) {
	for _, asking := range s.Candidates {
		member, found := s.member(asking.ID)
		if !found || member.Voter || !asking.Current {
			continue
		}
		if s.voters() < s.Wanted {
			member.Voter = true
			return replica.Change{Add: &member}, true
		}
		if gone, found := s.longestSilent(goneAfter); found {
			return replica.Change{Remove: gone}, true
		}
	}
	return replica.Change{}, false
}

func addLearner(s situation) (replica.Change, bool) {
	places := s.Wanted - s.voters() + s.silentVoters(goneAfter)
	if places <= len(s.Members)-s.voters() {
		return replica.Change{}, false
	}
	for _, asking := range s.Candidates {
		if _, found := s.member(asking.ID); !found {
			return replica.Change{Add: &agreement.Member{ID: asking.ID, Address: asking.Address}}, true
		}
	}
	return replica.Change{}, false
}

func removeSurplus(s situation) (replica.Change, bool) {
	if s.voters() <= s.Wanted {
		return replica.Change{}, false
	}
	gone, found := s.longestSilent(surplusGoneAfter)
	return replica.Change{Remove: gone}, found
}

func removeLostLearner(s situation) (replica.Change, bool) {
	for _, member := range s.Members {
		if !member.Voter && !s.asks(member.ID) && s.Silent[member.ID] >= surplusGoneAfter {
			return replica.Change{Remove: member.ID}, true
		}
	}
	return replica.Change{}, false
}

func (s situation) member(id agreement.MemberID) (agreement.Member, bool) {
	for _, member := range s.Members {
		if member.ID == id {
			return member, true
		}
	}
	return agreement.Member{}, false
}

func (s situation) asks(id agreement.MemberID) bool {
	for _, asking := range s.Candidates {
		if asking.ID == id {
			return true
		}
	}
	return false
}

func (s situation) voters() int {
	count := 0
	for _, member := range s.Members {
		if member.Voter {
			count++
		}
	}
	return count
}

// silentVoters counts the voters, the leader apart, that are silent for at least a time.
func (s situation) silentVoters(atLeast time.Duration) int {
	count := 0
	for _, member := range s.Members {
		if member.Voter && member.ID != s.Self && s.Silent[member.ID] >= atLeast {
			count++
		}
	}
	return count
}

// longestSilent returns the voter that is silent longest, if that is at least a time.
func (s situation) longestSilent(atLeast time.Duration) (agreement.MemberID, bool) {
	var longest agreement.Member
	for _, member := range s.Members {
		if !member.Voter || member.ID == s.Self || s.Silent[member.ID] < atLeast {
			continue
		}
		if longest.ID == 0 || s.Silent[member.ID] > s.Silent[longest.ID] {
			longest = member
		}
	}
	return longest.ID, longest.ID != 0
}
