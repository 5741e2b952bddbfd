package server

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"ospreybend/coord/consensus"
	"ospreybend/coord/replica"
)

func voter(id consensus.MemberID) consensus.Member {
	return consensus.Member{ID: id, Address: fmt.Sprintf("server%d", id), Voter: true}
}

func learner(id consensus.MemberID) consensus.Member {
	member := voter(id)
	member.Voter = false
	return member
}

func joinRequestFrom(id consensus.MemberID) joinRequest {
	return joinRequest{ID: id, Address: fmt.Sprintf("server%d", id)}
}

// memberIDs returns its arguments as a slice.
func memberIDs(listed ...consensus.MemberID) []consensus.MemberID { return listed }

func TestNextMembershipChange(t *testing.T) {
	added := func(member consensus.Member) replica.MembershipChange { return replica.MembershipChange{Add: &member} }
	renewed := joinRequest{ID: 9, Address: "server3"}
	sinceHeard := func(id consensus.MemberID, span time.Duration) map[consensus.MemberID]time.Duration {
		return map[consensus.MemberID]time.Duration{id: span}
	}
	three := []consensus.Member{voter(1), voter(2), voter(3)}
	threeAndOne := append(three[:3:3], learner(4))
	four := append(three[:3:3], voter(4))
	cases := []struct {
		name    string
		given   observedState
		want    replica.MembershipChange // zero value: no change
		confirm consensus.MemberID       // 0: no confirmation
	}{
		{name: "no join request", given: observedState{Members: three, DesiredVoters: 3, SpareLearners: 2}},
		{name: "vacancy: the joining server becomes a learner first, if it confirms",
			given: observedState{Members: three[:2], DesiredVoters: 3, JoinRequests: []joinRequest{joinRequestFrom(3)}},
			want:  added(learner(3)), confirm: 3},
		{name: "a learner that has not caught up stays a learner",
			given: observedState{Members: []consensus.Member{voter(1), voter(2), learner(3)}, DesiredVoters: 3, JoinRequests: []joinRequest{joinRequestFrom(3)}}},
		{name: "a promotable learner becomes a voter",
			given: observedState{Members: []consensus.Member{voter(1), voter(2), learner(3)}, DesiredVoters: 3, PromotableLearners: memberIDs(3)},
			want:  added(voter(3))},
		{name: "one learner does not make three voters four: they would tolerate no more losses",
			given: observedState{Members: threeAndOne, DesiredVoters: 5, PromotableLearners: memberIDs(4), Stable: memberIDs(4)}},
		{name: "two stable learners make three voters five, one after the other",
			given: observedState{Members: append(three[:3:3], learner(4), learner(5)), DesiredVoters: 5, PromotableLearners: memberIDs(4, 5), Stable: memberIDs(4, 5)},
			want:  added(voter(4))},
		{name: "the learner that has been promotable longest is promoted first",
			given: observedState{Members: append(three[:3:3], learner(4), learner(5)), DesiredVoters: 5, PromotableLearners: memberIDs(4, 5), Stable: memberIDs(5, 4)},
			want:  added(voter(5))},
		{name: "the second learner makes four voters five",
			given: observedState{Members: append(four[:4:4], learner(5)), DesiredVoters: 5, PromotableLearners: memberIDs(5)},
			want:  added(voter(5))},
		{name: "no even number of voters before both learners are stable",
			given: observedState{Members: append(three[:3:3], learner(4), learner(5)), DesiredVoters: 5, PromotableLearners: memberIDs(4, 5), Stable: memberIDs(5)}},
		{name: "no even number of voters while a voter is unresponsive",
			given: observedState{Members: append(three[:3:3], learner(4), learner(5)), DesiredVoters: 5, PromotableLearners: memberIDs(4, 5), Stable: memberIDs(4, 5),
				SinceHeard: sinceHeard(3, missedHeartbeatsAge)}},
		{name: "a leaving voter is demoted before its successor is promoted, if the successor has just started",
			given: observedState{Members: threeAndOne, DesiredVoters: 3, PromotableLearners: memberIDs(4), Leaving: memberIDs(3), Successors: memberIDs(4), Established: memberIDs(3)},
			want:  added(learner(3))},
		{name: "an established successor is promoted before the leaving voter is demoted",
			given: observedState{Members: threeAndOne, DesiredVoters: 3, PromotableLearners: memberIDs(4), Leaving: memberIDs(3), Successors: memberIDs(4), Established: memberIDs(3, 4)},
			want:  added(voter(4))},
		{name: "the leaving voter is demoted once its successor is a voter",
			given: observedState{Members: four, DesiredVoters: 3, Leaving: memberIDs(3)},
			want:  added(learner(3))},
		{name: "a majority of the voters leaves: any successor is promoted first",
			given: observedState{Members: threeAndOne, DesiredVoters: 3, PromotableLearners: memberIDs(4), Leaving: memberIDs(2, 3), Successors: memberIDs(4)},
			want:  added(voter(4))},
		{name: "a voter leaves and another is unresponsive: the successor is promoted first",
			given: observedState{Members: threeAndOne, DesiredVoters: 3, PromotableLearners: memberIDs(4), Leaving: memberIDs(3), Successors: memberIDs(4),
				SinceHeard: sinceHeard(2, missedHeartbeatsAge)},
			want: added(voter(4))},
		{name: "a majority of the voters leaves: a learner for each, though learners that leave still respond",
			given: observedState{Members: append(three[:3:3], learner(4)), DesiredVoters: 3, SpareLearners: 0, Leaving: memberIDs(2, 3, 4), JoinRequests: []joinRequest{joinRequestFrom(5)}},
			want:  added(learner(5)), confirm: 5},
		{name: "lost disk: the old member is removed and retired first, if the new one confirms",
			given: observedState{Members: three, DesiredVoters: 3, JoinRequests: []joinRequest{renewed}},
			want:  replica.MembershipChange{Remove: 3, Retire: true}, confirm: 9},
		{name: "a retired member is not added",
			given: observedState{Members: []consensus.Member{voter(1), voter(2)}, DesiredVoters: 3, SpareLearners: 2,
				Retired: memberIDs(3), JoinRequests: []joinRequest{joinRequestFrom(3)}}},
		{name: "a retired member that confirms shows that its successor no longer exists",
			given: observedState{Members: []consensus.Member{voter(1), voter(2), {ID: 9, Address: "server3", Voter: true}}, DesiredVoters: 3, SpareLearners: 2,
				Retired: memberIDs(3), JoinRequests: []joinRequest{joinRequestFrom(3)}},
			want: replica.MembershipChange{Remove: 9, Retire: true}, confirm: 3},
		{name: "the leader is not removed for a server that claims its address",
			given: observedState{Members: three, DesiredVoters: 3, JoinRequests: []joinRequest{{ID: 9, Address: "server1"}}}},
		{name: "a join request of a voter after a partition changes nothing",
			given: observedState{Members: three, DesiredVoters: 3, SpareLearners: 2, JoinRequests: []joinRequest{joinRequestFrom(3)}}},
		{name: "no vacancy and no spare desired: a joining server is not added",
			given: observedState{Members: three, DesiredVoters: 3, JoinRequests: []joinRequest{joinRequestFrom(4)}}},
		{name: "no vacancy: a joining server becomes a spare learner",
			given: observedState{Members: three, DesiredVoters: 3, SpareLearners: 1, JoinRequests: []joinRequest{joinRequestFrom(4)}},
			want:  added(learner(4)), confirm: 4},
		{name: "no more spares than desired",
			given: observedState{Members: threeAndOne, DesiredVoters: 3, SpareLearners: 1, JoinRequests: []joinRequest{joinRequestFrom(4), joinRequestFrom(5)}}},
		{name: "an unresponsive spare is replaced by another",
			given: observedState{Members: threeAndOne, DesiredVoters: 3, SpareLearners: 1, JoinRequests: []joinRequest{joinRequestFrom(5)}, SinceHeard: sinceHeard(4, voterTimeout)},
			want:  added(learner(5)), confirm: 5},
		{name: "a voter has timed out: a joining server becomes a learner",
			given: observedState{Members: three, DesiredVoters: 3, JoinRequests: []joinRequest{joinRequestFrom(4)}, SinceHeard: sinceHeard(3, voterTimeout)},
			want:  added(learner(4)), confirm: 4},
		{name: "a voter that has timed out is removed for a promotable learner",
			given: observedState{Members: threeAndOne, DesiredVoters: 3, PromotableLearners: memberIDs(4),
				SinceHeard: map[consensus.MemberID]time.Duration{2: voterTimeout, 3: 2 * voterTimeout}},
			want: replica.MembershipChange{Remove: 3}},
		{name: "a voter that has timed out stays while no learner is promotable",
			given: observedState{Members: threeAndOne, DesiredVoters: 3, JoinRequests: []joinRequest{joinRequestFrom(4)}, SinceHeard: sinceHeard(3, voterTimeout)}},
		{name: "an unresponsive voter stays before its timeout",
			given: observedState{Members: threeAndOne, DesiredVoters: 3, PromotableLearners: memberIDs(4), SinceHeard: sinceHeard(3, voterTimeout-1)}},
		{name: "one learner for each vacancy",
			given: observedState{Members: []consensus.Member{voter(1), voter(2), learner(3)}, DesiredVoters: 3, JoinRequests: []joinRequest{joinRequestFrom(3), joinRequestFrom(4)}}},
		{name: "a surplus voter is removed once it has timed out",
			given: observedState{Members: four, DesiredVoters: 3, SinceHeard: sinceHeard(4, voterTimeout)},
			want:  replica.MembershipChange{Remove: 4}},
		{name: "a responsive surplus voter stays",
			given: observedState{Members: four, DesiredVoters: 3}},
		{name: "an unresponsive learner without a join request is removed",
			given: observedState{Members: threeAndOne, DesiredVoters: 3, SinceHeard: sinceHeard(4, learnerTimeout)},
			want:  replica.MembershipChange{Remove: 4}},
		{name: "a leaving voter becomes a learner if its successor is promotable",
			given: observedState{Members: threeAndOne, DesiredVoters: 3, PromotableLearners: memberIDs(4), Leaving: memberIDs(3), Successors: memberIDs(4)},
			want:  added(learner(3))},
		{name: "after the leaving voter is a learner, its successor becomes a voter",
			given: observedState{Members: []consensus.Member{voter(1), voter(2), learner(3), learner(4)}, DesiredVoters: 3, PromotableLearners: memberIDs(3, 4),
				Leaving: memberIDs(3), Successors: memberIDs(4)},
			want: added(voter(4))},
		{name: "a successor that has not caught up is not promoted",
			given: observedState{Members: threeAndOne, DesiredVoters: 3, Leaving: memberIDs(3), Successors: memberIDs(4)}},
		{name: "a surplus voter that is leaving becomes a learner",
			given: observedState{Members: four, DesiredVoters: 3, Leaving: memberIDs(3)},
			want:  added(learner(3))},
		{name: "a spare started earlier is no successor: the voter may only be restarting",
			given: observedState{Members: threeAndOne, DesiredVoters: 3, PromotableLearners: memberIDs(4), Leaving: memberIDs(3)}},
		{name: "a learner that is itself leaving is no successor",
			given: observedState{Members: threeAndOne, DesiredVoters: 3, PromotableLearners: memberIDs(4), Leaving: memberIDs(3, 4), Successors: memberIDs(4)}},
		{name: "the leader does not release its own vote",
			given: observedState{Members: threeAndOne, DesiredVoters: 3, PromotableLearners: memberIDs(4), Leaving: memberIDs(1), Successors: memberIDs(4)}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			test.given.Self = 1
			got, found := nextMembershipChange(test.given)
			if found != (test.want != replica.MembershipChange{}) || !sameChange(got.Change, test.want) || got.Confirm.ID != test.confirm {
				t.Fatalf("got %s with confirmation by %d, want %s by %d",
					formatChange(got.Change), got.Confirm.ID, formatChange(test.want), test.confirm)
			}
		})
	}
}

func TestTimeSinceHeard_newLeader(t *testing.T) {
	start := time.Now()
	for _, test := range []struct {
		name             string
		heard, led, want time.Duration // heard, led: time before now at which the member was last heard and leadership began
	}{
		{"heard under this leader", 50 * time.Millisecond, time.Hour, 50 * time.Millisecond},
		{"not heard yet by a leader within its grace period", time.Hour, newLeaderGracePeriod - 1, newLeaderGracePeriod - 1},
		{"heard shortly before this leader, and not since", newLeaderGracePeriod + time.Millisecond, newLeaderGracePeriod, newLeaderGracePeriod + time.Millisecond},
		{"lost long before this leader", time.Hour, newLeaderGracePeriod, voterTimeout},
		{"unresponsive for a long time under this leader", time.Hour, learnerTimeout, learnerTimeout},
	} {
		if got := timeSinceHeard(start, start.Add(-test.heard), start.Add(-test.led)); got != test.want {
			t.Errorf("%s: got %s, want %s", test.name, got, test.want)
		}
	}
}

func sameChange(a, b replica.MembershipChange) bool {
	if (a.Add == nil) != (b.Add == nil) || a.Remove != b.Remove || a.Retire != b.Retire {
		return false
	}
	return a.Add == nil || *a.Add == *b.Add
}

func formatChange(change replica.MembershipChange) string {
	if change.Add != nil {
		return fmt.Sprintf("add %+v", *change.Add)
	}
	return fmt.Sprintf("remove %d (retire: %v)", change.Remove, change.Retire)
}

// simulatedGroup is a group together with the running servers. Each server sends join requests while it is not a voter.
type simulatedGroup struct {
	members       []consensus.Member
	running       map[string]consensus.MemberID // by address
	desiredVoters int
}

func (g *simulatedGroup) observe() observedState {
	state := observedState{Self: 1, Members: g.members, DesiredVoters: g.desiredVoters, SpareLearners: 1, SinceHeard: map[consensus.MemberID]time.Duration{}}
	for address, id := range g.running {
		member, found := state.member(id)
		if !found || !member.Voter {
			state.JoinRequests = append(state.JoinRequests, joinRequest{ID: id, Address: address})
		}
		if found && !member.Voter {
			state.PromotableLearners = append(state.PromotableLearners, id)
			state.Stable = append(state.Stable, id)
		}
	}
	for _, member := range g.members {
		if _, running := g.running[member.Address]; !running {
			state.SinceHeard[member.ID] = learnerTimeout
		}
	}
	return state
}

// apply makes a change as a group does. It returns false for a change that a group would reject.
func (g *simulatedGroup) apply(change replica.MembershipChange) bool {
	if change.Add == nil {
		remaining := []consensus.Member{}
		for _, member := range g.members {
			if member.ID != change.Remove {
				remaining = append(remaining, member)
			}
		}
		removed := len(remaining) == len(g.members)-1
		g.members = remaining
		return removed && change.Remove != 1
	}
	for i, member := range g.members {
		if member.ID == change.Add.ID {
			g.members[i] = *change.Add
			return change.Add.Voter && !member.Voter
		}
	}
	g.members = append(g.members, *change.Add)
	return !change.Add.Voter
}

func (g *simulatedGroup) runningVoters() (running, all int) {
	for _, member := range g.members {
		if !member.Voter {
			continue
		}
		all++
		if g.running[member.Address] == member.ID {
			running++
		}
	}
	return running, all
}

func TestNextMembershipChange_reachesDesiredVoters(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(1))
	properties.Property("from any initial members, the group ends with as many running voters as possible", prop.ForAll(
		func(fates []int, tolerated int) bool {
			group := &simulatedGroup{running: map[string]consensus.MemberID{"server1": 1}, desiredVoters: 2*tolerated + 1}
			group.members = []consensus.Member{voter(1)}
			for i, fate := range fates {
				addMachine(group, consensus.MemberID(i+2), fate)
			}
			return converges(group)
		},
		gen.SliceOfN(7, gen.IntRange(0, 4)), gen.IntRange(1, 2),
	))
	properties.TestingRun(t)
}

// addMachine adds one more machine: a running voter, one with a lost disk, one that no longer runs, or a server without state. Other
// values of fate, and voters beyond the desired number, add nothing.
func addMachine(group *simulatedGroup, id consensus.MemberID, fate int) {
	address := fmt.Sprintf("server%d", id)
	_, voters := group.runningVoters()
	hasVacancy := voters < group.desiredVoters
	switch {
	case fate == 0 && hasVacancy: // running voter
		group.members = append(group.members, voter(id))
		group.running[address] = id
	case fate == 1 && hasVacancy: // voter that lost its disk and returned under a new ID
		group.members = append(group.members, voter(id))
		group.running[address] = id + 100
	case fate == 2 && hasVacancy: // voter that no longer runs
		group.members = append(group.members, voter(id))
	case fate == 3: // running server that is no member
		group.running[address] = id
	}
}

// converges applies changes until none is needed. It reports whether no running voter was removed and the group has as many running voters
// as its servers allow.
func converges(group *simulatedGroup) bool {
	const mostChanges = 50
	for range mostChanges {
		runningBefore, voters := group.runningVoters()
		next, found := nextMembershipChange(group.observe())
		if !found {
			maxRunning := min(group.desiredVoters, len(group.running))
			minRunning := maxRunning - 1 + maxRunning%2 // an even number of voters tolerates no more losses than the odd one below it
			return runningBefore >= minRunning && runningBefore <= maxRunning && (voters == runningBefore || runningBefore == len(group.running) || runningBefore < group.desiredVoters)
		}
		if !group.apply(next.Change) {
			return false
		}
		if runningAfter, _ := group.runningVoters(); runningAfter < runningBefore {
			return false // a running voter was removed
		}
	}
	return false
}

// TestShard_TrackReadiness_longestReadyFirst checks the order in which learners become voters. A learner that was not promotable for longer
// than readinessGap, for example because its disk hung, starts over and comes after the others.
func TestShard_TrackReadiness_longestReadyFirst(t *testing.T) {
	s, _, _ := newScriptedServer(t)
	shard := s.shards[1]
	start := time.Now()
	trackAt := func(after time.Duration, ready ...consensus.MemberID) []consensus.MemberID {
		return shard.trackReadiness(ready, start.Add(after))
	}
	trackAt(0, 4, 5)
	later := readinessGap + time.Millisecond
	trackAt(later, 5)
	for after := later; after < later+stableAfter; after += readinessGap {
		trackAt(after, 4, 5)
	}
	if stable := trackAt(later+stableAfter, 4, 5); !slices.Equal(stable, memberIDs(5, 4)) {
		t.Fatalf("got stable learners %v, want %v", stable, memberIDs(5, 4))
	}
}
