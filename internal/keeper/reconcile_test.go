package keeper

import (
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"ospreybend/coord/agreement"
	"ospreybend/coord/replica"
)

func voter(id agreement.MemberID) agreement.Member {
	return agreement.Member{ID: id, Address: fmt.Sprintf("k%d", id), Voter: true}
}

func learner(id agreement.MemberID) agreement.Member {
	member := voter(id)
	member.Voter = false
	return member
}

func asks(id agreement.MemberID, current bool) candidate {
	return candidate{ID: id, Address: fmt.Sprintf("k%d", id), Current: current}
}

func TestNextChange(t *testing.T) {
	added := func(member agreement.Member) replica.Change { return replica.Change{Add: &member} }
	renewed := func(id agreement.MemberID, address string, current bool) candidate {
		return candidate{ID: id, Address: address, Current: current}
	}
	cases := []struct {
		name  string
		given situation
		want  replica.Change // zero: none
	}{
		{"nothing asked", situation{Members: []agreement.Member{voter(1), voter(2), voter(3)}, Wanted: 3}, replica.Change{}},
		{"a free place: learner first",
			situation{Members: []agreement.Member{voter(1), voter(2)}, Wanted: 3, Candidates: []candidate{asks(3, true)}},
			added(learner(3))},
		{"a learner that is behind stays one",
			situation{Members: []agreement.Member{voter(1), voter(2), learner(3)}, Wanted: 3, Candidates: []candidate{asks(3, false)}},
			replica.Change{}},
		{"a current learner becomes a voter",
			situation{Members: []agreement.Member{voter(1), voter(2), learner(3)}, Wanted: 3, Candidates: []candidate{asks(3, true)}},
			added(voter(3))},
		{"a wiped disk: the old member goes first",
			situation{Members: []agreement.Member{voter(1), voter(2), voter(3)}, Wanted: 3,
				Candidates: []candidate{renewed(9, "k3", false)}},
			replica.Change{Remove: 3}},
		{"the leader is not removed for one that claims its address",
			situation{Members: []agreement.Member{voter(1), voter(2), voter(3)}, Wanted: 3,
				Candidates: []candidate{renewed(9, "k1", false)}},
			replica.Change{}},
		{"a voter that asks because it was cut off changes nothing",
			situation{Members: []agreement.Member{voter(1), voter(2), voter(3)}, Wanted: 3, Candidates: []candidate{asks(3, false)}},
			replica.Change{}},
		{"no place: a stand-by stays out",
			situation{Members: []agreement.Member{voter(1), voter(2), voter(3)}, Wanted: 3, Candidates: []candidate{asks(4, false)}},
			replica.Change{}},
		{"a voter is silent: the stand-by becomes a learner",
			situation{Members: []agreement.Member{voter(1), voter(2), voter(3)}, Wanted: 3, Candidates: []candidate{asks(4, false)},
				Silent: map[agreement.MemberID]time.Duration{3: goneAfter}},
			added(learner(4))},
		{"and once it is current the silent voter makes room",
			situation{Members: []agreement.Member{voter(1), voter(2), voter(3), learner(4)}, Wanted: 3,
				Candidates: []candidate{asks(4, true)}, Silent: map[agreement.MemberID]time.Duration{2: goneAfter, 3: 2 * goneAfter}},
			replica.Change{Remove: 3}},
		{"not silent for long enough",
			situation{Members: []agreement.Member{voter(1), voter(2), voter(3)}, Wanted: 3, Candidates: []candidate{asks(4, false)},
				Silent: map[agreement.MemberID]time.Duration{3: goneAfter - 1}},
			replica.Change{}},
		{"one learner for each place",
			situation{Members: []agreement.Member{voter(1), voter(2), learner(3)}, Wanted: 3,
				Candidates: []candidate{asks(3, false), asks(4, false)}},
			replica.Change{}},
		{"a surplus voter goes when it is gone for long",
			situation{Members: []agreement.Member{voter(1), voter(2), voter(3), voter(4)}, Wanted: 3,
				Silent: map[agreement.MemberID]time.Duration{4: surplusGoneAfter}},
			replica.Change{Remove: 4}},
		{"a surplus voter that is there stays",
			situation{Members: []agreement.Member{voter(1), voter(2), voter(3), voter(4)}, Wanted: 3}, replica.Change{}},
		{"a learner that asks no more goes",
			situation{Members: []agreement.Member{voter(1), voter(2), voter(3), learner(4)}, Wanted: 3,
				Silent: map[agreement.MemberID]time.Duration{4: surplusGoneAfter}},
			replica.Change{Remove: 4}},
	}
	for _, one := range cases {
		t.Run(one.name, func(t *testing.T) {
			one.given.Self = 1
			got, found := nextChange(one.given)
			if found != (one.want != replica.Change{}) || !sameChange(got, one.want) {
				t.Fatalf("got %s, want %s", changeText(got), changeText(one.want))
			}
		})
	}
}

func sameChange(a, b replica.Change) bool {
	if (a.Add == nil) != (b.Add == nil) || a.Remove != b.Remove {
		return false
	}
	return a.Add == nil || *a.Add == *b.Add
}

func changeText(change replica.Change) string {
	if change.Add != nil {
		return fmt.Sprintf("add %+v", *change.Add)
	}
	return fmt.Sprintf("remove %d", change.Remove)
}

// world is a group together with the keepers that run; each asks whenever it is not a voter.
type world struct {
	members []agreement.Member
	running map[string]agreement.MemberID // by address
	wanted  int
}

func (w *world) situation() situation {
	s := situation{Self: 1, Members: w.members, Wanted: w.wanted, Silent: map[agreement.MemberID]time.Duration{}}
	for address, id := range w.running {
		member, found := s.member(id)
		if !found || !member.Voter {
			s.Candidates = append(s.Candidates, candidate{ID: id, Address: address, Current: found})
		}
	}
	for _, member := range w.members {
		if _, runs := w.running[member.Address]; !runs {
			s.Silent[member.ID] = surplusGoneAfter
		}
	}
	return s
}

// apply makes a change as a group does; it returns false for one that a group would refuse.
func (w *world) apply(change replica.Change) bool {
	if change.Add == nil {
		kept := []agreement.Member{}
		for _, member := range w.members {
			if member.ID != change.Remove {
				kept = append(kept, member)
			}
		}
		removed := len(kept) == len(w.members)-1
		w.members = kept
		return removed && change.Remove != 1
	}
	for i, member := range w.members {
		if member.ID == change.Add.ID {
			w.members[i] = *change.Add
			return change.Add.Voter && !member.Voter
		}
	}
	w.members = append(w.members, *change.Add)
	return !change.Add.Voter
}

func (w *world) runningVoters() (running, all int) {
	for _, member := range w.members {
		if !member.Voter {
			continue
		}
		all++
		if w.running[member.Address] == member.ID {
			running++
		}
	}
	return running, all
}

func TestReconciliationReachesWhatIsWanted(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(1))
	properties.Property("whatever came and went, the group ends with as many running voters as it can", prop.ForAll(
		func(fate []int, tolerated int) bool {
			w := &world{running: map[string]agreement.MemberID{"k1": 1}, wanted: 2*tolerated + 1}
			w.members = []agreement.Member{voter(1)}
			for i, what := range fate {
				addFate(w, agreement.MemberID(i+2), what)
			}
			return settles(w)
		},
		gen.SliceOfN(7, gen.IntRange(0, 4)), gen.IntRange(1, 2),
	))
	properties.TestingRun(t)
}

// addFate adds one more machine, as a member, wiped, gone, or new.
func addFate(w *world, id agreement.MemberID, fate int) {
	address := fmt.Sprintf("k%d", id)
	_, voters := w.runningVoters()
	place := voters < w.wanted
	switch {
	case fate == 0 && place: // a voter that runs
		w.members = append(w.members, voter(id))
		w.running[address] = id
	case fate == 1 && place: // a voter that lost its disk and came back
		w.members = append(w.members, voter(id))
		w.running[address] = id + 100
	case fate == 2 && place: // a voter that is gone
		w.members = append(w.members, voter(id))
	case fate == 3: // a machine without state
		w.running[address] = id
	}
}

func settles(w *world) bool {
	const mostChanges = 50
	for range mostChanges {
		before, voters := w.runningVoters()
		change, found := nextChange(w.situation())
		if !found {
			return before == min(w.wanted, len(w.running)) && (voters == before || before == len(w.running))
		}
		if !w.apply(change) {
			return false
		}
		if after, _ := w.runningVoters(); after < before {
			return false // a running voter was removed
		}
	}
	return false
}
