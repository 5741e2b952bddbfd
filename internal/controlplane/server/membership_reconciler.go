package server

import (
	"slices"
	"time"

	"ospreybend/coord/consensus"
	"ospreybend/coord/replica"
)

// situation is what the leader of a group knows when it decides on the next change of members.
type situation struct {
	Self               consensus.MemberID
	Members            []consensus.Member
	Retired            []consensus.MemberID                 // IDs that were replaced: they never come back
	Wanted             int                                  // voters that the group should have
	Spares             int                                  // learners that it keeps besides, for the voters that will be lost
	Candidates         []candidate                          // those who asked lately, at most one for each address
	PromotableLearners []consensus.MemberID                 // learners that answer and have acknowledged nearly all of the log as durable
	Steady             []consensus.MemberID                 // those of them that have been so for some time, the longest first
	Silent             map[consensus.MemberID]time.Duration // how long nothing was heard of a member's address
	Leaving            []consensus.MemberID                 // members that said that they are about to end
	Successors         []consensus.MemberID                 // learners whose process began lately: started to take a leaving voter's place

	Omit []Guard // guards left out, by tests alone
}

// step is one change of members and what it rests on.
type step struct {
	Change replica.Change
	// Confirm is the keeper that must live at its address under its ID, or the change must not be made. ID 0: nobody.
	Confirm candidate
}

// nextStep returns the next change that brings a group's members nearer to what is wanted, or false if there is none.
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
func nextStep(s situation) (step, bool) {
	for _, rule := range []func(situation) (step, bool){
		removeSuperseded, releaseSurplus, promoteLearner, addLearner, removeLostLearner,
	} {
		if next, found := rule(s); found {
			return next, true
		}
	}
	return step{}, false
}

func removeSuperseded(s situation) (step, bool) {
	for _, asking := range s.Candidates {
		for _, member := range s.Members {
			if member.Address == asking.Address && member.ID != asking.ID && member.ID != s.Self {
				retire := s.holds(GuardReplacedRetired)
				return s.confirmed(replica.Change{Remove: member.ID, Retire: retire}, asking), true
			}
		}
	}
	return step{}, false
}

func releaseSurplus(s situation) (step, bool) {
	if s.voters() <= s.Wanted && s.holds(GuardSuccessorReady) {
		return step{}, false
	}
	if released, found := s.releaseLeaving(); found {
		return released, true
	}
	gone, found := s.longestSilent(goneAfter)
	return step{Change: replica.Change{Remove: gone}}, found && s.voters() > s.Wanted
}

// releaseLeaving makes a voter that is about to end a learner. The voter goes before its successor comes: with both as
// voters, the loss of that one machine's place would cost two votes.
func (s situation) releaseLeaving() (step, bool) {
	for _, member := range s.Members {
		if member.Voter && member.ID != s.Self && slices.Contains(s.Leaving, member.ID) {
			member.Voter = false
			return step{Change: replica.Change{Add: &member}}, true
		}
	}
	return step{}, false
}

func promoteLearner(s situation) (step, bool) {
	for _, learner := range s.heirs() {
		promoted := learner
		promoted.Voter = true
		free, even := s.voters() < s.Wanted, s.voters()%2 == 0
		if free && even {
			return step{Change: replica.Change{Add: &promoted}}, true
		}
		if gone, found := s.longestSilent(goneAfter); found {
			return step{Change: replica.Change{Remove: gone}}, true
		}
		if free && s.growsSoundly() {
			return step{Change: replica.Change{Add: &promoted}}, true
		}
		if released, found := s.releaseLeaving(); found && slices.Contains(s.Successors, learner.ID) {
			return released, true
		}
	}
	return step{}, false
}

// heirs returns the learners that could be voters at once, those first that have been able to be for some time.
func (s situation) heirs() (found []consensus.Member) {
	for _, member := range s.Members {
		if !member.Voter && !slices.Contains(s.Leaving, member.ID) && s.mayPromote(member.ID) {
			found = append(found, member)
		}
	}
	slices.SortStableFunc(found, func(a, b consensus.Member) int { return s.steadiness(a.ID) - s.steadiness(b.ID) })
	return found
}

// steadiness ranks learners by how long they have been able to be voters: the longest first, those last that have only
// begun. Whoever came back last may still be about to fail, and must not be the one that makes the number even.
func (s situation) steadiness(id consensus.MemberID) int {
	if place := slices.Index(s.Steady, id); place >= 0 {
		return place
	}
	return len(s.Steady)
}

func (s situation) steady(id consensus.MemberID) bool { return slices.Contains(s.Steady, id) }

// growsSoundly tells whether a group with an odd number of voters may take one more. An even number bears no more losses
// than the odd one below it and needs one voter more for a majority, so the group waits for two (unless no more than one is
// wanted), and until all is calm: its voters answer, none is leaving, and the two have been ready for some time.
func (s situation) growsSoundly() bool {
	if !s.holds(GuardVotersOdd) {
		return true
	}
	if _, leaving := s.releaseLeaving(); leaving || s.silentVoters(answersWithin) > 0 {
		return false
	}
	steady := 0
	for _, heir := range s.heirs() {
		if s.steady(heir.ID) {
			steady++
		}
	}
	return steady > 1 || (steady == 1 && s.voters()+1 == s.Wanted)
}

// mayPromote tells whether a learner is known to hold what makes it a sound voter. Without the guard its own request to
// join is believed.
func (s situation) mayPromote(id consensus.MemberID) bool {
	return slices.Contains(s.PromotableLearners, id) || (!s.holds(GuardPromotedDurable) && s.asks(id))
}

func addLearner(s situation) (step, bool) {
	places := max(0, s.Wanted-s.voters()+s.silentVoters(goneAfter))
	if s.learners(goneAfter) >= places+s.Spares {
		return step{}, false
	}
	for _, asking := range s.Candidates {
		if _, found := s.member(asking.ID); !found && !slices.Contains(s.Retired, asking.ID) {
			return s.confirmed(replica.Change{Add: &consensus.Member{ID: asking.ID, Address: asking.Address}}, asking), true
		}
	}
	return step{}, false
}

func removeLostLearner(s situation) (step, bool) {
	for _, member := range s.Members {
		if !member.Voter && !s.asks(member.ID) && s.Silent[member.ID] >= lostLearnerAfter {
			return step{Change: replica.Change{Remove: member.ID}}, true
		}
	}
	return step{}, false
}

// confirmed is a change that is made only if the candidate lives.
func (s situation) confirmed(change replica.Change, asking candidate) step {
	if !s.holds(GuardIdentityAsked) {
		return step{Change: change}
	}
	return step{Change: change, Confirm: asking}
}

// silence is how long a member counts as silent that was last heard at some time. Before a keeper leads, members have no
// reason to talk to it, so only the time since then counts; one that has left its first heartbeats unanswered for
// newLeaderPatience, though, was most likely silent before, too: a change of leader does not make a lost voter last longer.
func silence(now, heard, ledSince time.Time) time.Duration {
	if !heard.Before(ledSince) {
		return now.Sub(heard)
	}
	led := now.Sub(ledSince)
	if led < newLeaderPatience {
		return led
	}
	return max(led, min(now.Sub(heard), goneAfter))
}

func (s situation) holds(guard Guard) bool { return !slices.Contains(s.Omit, guard) }

func (s situation) member(id consensus.MemberID) (consensus.Member, bool) {
	for _, member := range s.Members {
		if member.ID == id {
			return member, true
		}
	}
	return consensus.Member{}, false
}

func (s situation) asks(id consensus.MemberID) bool {
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

// learners counts the learners that are not silent for a time.
func (s situation) learners(silence time.Duration) int {
	count := 0
	for _, member := range s.Members {
		if !member.Voter && s.Silent[member.ID] < silence {
			count++
		}
	}
	return count
}

// lacksVoter tells whether a place is free that learners take as soon as they can.
func (s situation) lacksVoter() bool {
	heirs := 0
	for _, member := range s.Members {
		if !member.Voter && !slices.Contains(s.Leaving, member.ID) && s.Silent[member.ID] < goneAfter {
			heirs++
		}
	}
	return s.voters() < s.Wanted && (heirs > 1 || (heirs == 1 && s.voters()%2 == 0))
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
func (s situation) longestSilent(atLeast time.Duration) (consensus.MemberID, bool) {
	var longest consensus.Member
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
