package server

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"ospreybend/coord/consensus"
	"ospreybend/coord/replica"
	"ospreybend/coord/shards"
	"ospreybend/internal/controlplane/peertransport"
)

// changingGroup is a group that this keeper leads and that makes each change of members at once.
type changingGroup struct {
	scriptedGroup
	promotable []consensus.MemberID
	changes    chan replica.Change
}

func newChangingGroup(members ...consensus.Member) *changingGroup {
	group := &changingGroup{changes: make(chan replica.Change, 20)}
	group.status = replica.Status{Role: consensus.RoleLeader, Term: 3, Members: members}
	return group
}

func (g *changingGroup) PromotableLearners() []consensus.MemberID { return g.promotable }

func (g *changingGroup) ChangeMembers(_ context.Context, change replica.Change) error {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	w := &world{members: g.status.Members}
	w.apply(change)
	g.status.Members = w.members
	if change.Retire {
		g.status.Retired = append(g.status.Retired, change.Remove)
	}
	g.changes <- change
	return nil
}

// laggingGroup is a changingGroup whose learner holds a change only after some questions.
type laggingGroup struct {
	*changingGroup
	asked, lag int
}

func (g *laggingGroup) PromotableLearners() []consensus.MemberID {
	g.asked++
	if g.asked <= g.lag {
		return nil
	}
	return g.changingGroup.PromotableLearners()
}

func (g *laggingGroup) ChangeMembers(ctx context.Context, change replica.Change) error {
	g.asked = 0
	return g.changingGroup.ChangeMembers(ctx, change)
}

// livingNetwork answers which member lives at an address.
type livingNetwork struct {
	scriptedNetwork
	living map[string]identityReply
}

func (n *livingNetwork) LastReceived(string) time.Time { return time.Now() }

func (n *livingNetwork) Call(ctx context.Context, address string, kind peertransport.CallKind, body []byte) ([]byte, error) {
	if kind != callIdentity {
		return n.scriptedNetwork.Call(ctx, address, kind, body)
	}
	identity, lives := n.living[address]
	if !lives {
		return nil, peertransport.ErrNotSent
	}
	return encodeIdentity(identity)
}

// request plays a request to join one shard's group.
func request(t *testing.T, k *Keeper, shard shards.ID, id consensus.MemberID, address string) {
	t.Helper()
	body, err := codec.Marshal(groupsSchema, []groupState{{Shard: int(shard), Current: true, Writable: true}})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := k.takeJoin(peertransport.Hello{Address: address, Member: id}, body); err != nil {
		t.Fatal(err)
	}
}

// calm waits until no change of members is under way.
func calm(t *testing.T, k *Keeper, shard *shard) {
	t.Helper()
	k.background.Wait()
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if shard.reconciling {
		t.Fatal("still reconciling")
	}
}

func TestLateRequestOfAFormerMemberRemovesNobody(t *testing.T) {
	const id, former, living = shards.ID(1), consensus.MemberID(30), consensus.MemberID(31)
	for _, omit := range [][]Guard{nil, {GuardIdentityAsked}} {
		k, _, _ := scripted(t)
		k.outside.Omit = omit
		k.network = &livingNetwork{living: map[string]identityReply{"k3": {ID: living}}}
		group := newChangingGroup(voter(1), voter(2), consensus.Member{ID: living, Address: "k3", Voter: true})
		k.shards[id].group = group
		request(t, k, id, former, "k3")
		calm(t, k, k.shards[id])
		removed := len(group.changes) > 0
		if removed != (omit != nil) {
			t.Fatalf("without %v: the living member is removed: %v", omit, removed)
		}
		if _, found := nextStep(k.situation(k.shards[id], group.Status())); found && omit == nil {
			t.Fatal("the late request is still believed")
		}
	}
}

func TestMemberThatLostItsDiskIsReplacedAndRetired(t *testing.T) {
	const id, former, living = shards.ID(1), consensus.MemberID(3), consensus.MemberID(31)
	k, _, _ := scripted(t)
	k.network = &livingNetwork{living: map[string]identityReply{"k3": {ID: living}}}
	group := newChangingGroup(voter(1), voter(2), voter(former))
	k.shards[id].group = group
	request(t, k, id, living, "k3")
	calm(t, k, k.shards[id])
	for _, want := range []replica.Change{{Remove: former, Retire: true}, {Add: &consensus.Member{ID: living, Address: "k3"}}} {
		if got := <-group.changes; !sameChange(got, want) {
			t.Fatalf("got %s, want %s", changeText(got), changeText(want))
		}
	}
	request(t, k, id, former, "k3") // late
	calm(t, k, k.shards[id])
	if len(group.changes) > 0 {
		t.Fatalf("a retired member came back: %s", changeText(<-group.changes))
	}
}

func TestKeeperThatIsAboutToEndIsNotTakenIn(t *testing.T) {
	const id = shards.ID(1)
	k, _, _ := scripted(t)
	network := &livingNetwork{living: map[string]identityReply{"k3": {ID: 3, Leaving: true}}}
	k.network = network
	group := newChangingGroup(voter(1), voter(2))
	k.shards[id].group = group
	request(t, k, id, 3, "k3")
	calm(t, k, k.shards[id])
	if len(group.changes) > 0 {
		t.Fatalf("it is taken in: %s", changeText(<-group.changes))
	}
	network.living["k3"] = identityReply{ID: 3}
	request(t, k, id, 3, "k3")
	calm(t, k, k.shards[id])
	if got := <-group.changes; got.Add == nil || got.Add.ID != 3 || got.Add.Voter {
		t.Fatalf("got %s", changeText(got))
	}
}

func TestKeeperTellsWhoItIs(t *testing.T) {
	k, _, _ := scripted(t)
	body, err := k.Call(t.Context(), peertransport.Hello{Address: "k2", Member: 2}, callIdentity, nil)
	if err != nil {
		t.Fatal(err)
	}
	identity, err := decodeIdentity(body)
	if err != nil || identity.ID != k.self.ID || identity.Leaving || identity.Age < 0 {
		t.Fatalf("%+v, %v", identity, err)
	}
}

func TestLeavingVoterHandsItsPlaceToItsSuccessorAlone(t *testing.T) {
	const id = shards.ID(1)
	body, err := codec.Marshal(groupsSchema, []groupState{{Shard: int(id), Voter: true}})
	if err != nil {
		t.Fatal(err)
	}
	for _, one := range []struct {
		name      string
		successor identityReply
		want      []replica.Change
	}{
		{"a successor that was just started", identityReply{ID: 4, Age: successorAge},
			[]replica.Change{{Add: &consensus.Member{ID: 3, Address: "k3"}}, {Add: &consensus.Member{ID: 4, Address: "k4", Voter: true}}}},
		{"a stand-by that was there before", identityReply{ID: 4, Age: successorAge + time.Millisecond}, nil},
		{"a successor that is about to end", identityReply{ID: 4, Leaving: true}, nil},
		{"another member at the successor's address", identityReply{ID: 5}, nil},
	} {
		k, _, _ := scripted(t)
		k.network = &livingNetwork{living: map[string]identityReply{"k4": one.successor}}
		group := newChangingGroup(voter(1), voter(2), voter(3), learner(4))
		k.settings.FaultTolerance.Machines = 1
		group.promotable = ids(4)
		k.shards[id].group = group
		if _, err := k.Call(limited(t), peertransport.Hello{Address: "k3", Member: 3}, callLeave, body); err != nil {
			t.Fatal(err)
		}
		calm(t, k, k.shards[id])
		for _, want := range one.want {
			if got := <-group.changes; !sameChange(got, want) {
				t.Fatalf("%s: got %s, want %s", one.name, changeText(got), changeText(want))
			}
		}
		if len(group.changes) > 0 {
			t.Fatalf("%s: %s", one.name, changeText(<-group.changes))
		}
	}
}

// A voter that said that it leaves and is back under its ID only restarted: the successor that was started meanwhile is
// for another one.
func TestAVoterThatIsBackKeepsItsPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const id = shards.ID(1)
		k, _, _ := scripted(t)
		k.settings.FaultTolerance.Machines = 1
		k.network = &livingNetwork{living: map[string]identityReply{"k3": {ID: 3, Age: time.Second}, "k4": {ID: 4, Age: time.Second}}}
		group := newChangingGroup(voter(1), voter(2), voter(3), learner(4))
		group.promotable = ids(4)
		k.shards[id].group = group
		k.noteLeaving(k.shards[id], 3)
		k.startReconcile(k.shards[id])
		calm(t, k, k.shards[id])
		if len(group.changes) > 0 {
			t.Fatal(changeText(<-group.changes))
		}
	})
}

func TestPlaceOfALostVoterIsTakenAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const id = shards.ID(1)
		k, _, _ := scripted(t)
		k.settings.FaultTolerance.Machines = 1
		k.network = &livingNetwork{living: map[string]identityReply{"k3": {ID: 31}}}
		group := &laggingGroup{changingGroup: newChangingGroup(voter(1), voter(2), voter(3), learner(4)), lag: 5}
		group.promotable = ids(4)
		k.shards[id].group = group
		began := time.Now()
		request(t, k, id, 31, "k3") // member 3 has lost its disk
		calm(t, k, k.shards[id])
		if took := time.Since(began); took > takePlaceBudget {
			t.Fatalf("taken after %s", took)
		}
		for _, want := range []replica.Change{
			{Remove: 3, Retire: true}, {Add: &consensus.Member{ID: 31, Address: "k3"}}, {Add: &consensus.Member{ID: 4, Address: "k4", Voter: true}},
		} {
			if len(group.changes) == 0 {
				t.Fatalf("no change: %s is still to come", changeText(want))
			}
			if got := <-group.changes; !sameChange(got, want) {
				t.Fatalf("got %s, want %s", changeText(got), changeText(want))
			}
		}
	})
}

// leaveNetwork takes leave of keepers.
type leaveNetwork struct {
	scriptedNetwork
	asked []string
}

func (n *leaveNetwork) Call(_ context.Context, address string, kind peertransport.CallKind, _ []byte) ([]byte, error) {
	if kind != callLeave {
		return nil, peertransport.ErrNotSent
	}
	n.asked = append(n.asked, address)
	return codec.Marshal(groupsSchema, []groupState{})
}

func TestLeavingKeeperWaitsForANewLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const elected = leaderKnownBudget + 200*time.Millisecond
		k, groups, _ := scripted(t)
		network := &leaveNetwork{}
		k.network = network
		status := followerOf("b")
		status.Leader = consensus.Member{}
		groups[1].set(status)
		time.AfterFunc(elected, func() { groups[1].set(followerOf("b")) })
		ctx, cancel := context.WithTimeout(t.Context(), transferBudget)
		defer cancel()
		began := time.Now()
		k.giveUpPlaces(ctx)
		if len(network.asked) != 1 || network.asked[0] != "b" || time.Since(began) > elected+10*releasePoll {
			t.Fatalf("asked %v within %s", network.asked, time.Since(began))
		}
	})
}
