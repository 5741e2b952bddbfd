package server

import (
	"context"
	"testing"
	"time"

	"ospreybend/coord/consensus"
	"ospreybend/coord/shards"
	"ospreybend/internal/controlplane/peertransport"
)

// movableGroup is a scripted group that can hand leadership to a chosen voter.
type movableGroup struct {
	scriptedGroup
	moved []consensus.MemberID
}

func (g *movableGroup) TransferLeadershipTo(_ context.Context, to consensus.MemberID) error {
	g.moved = append(g.moved, to)
	return nil
}

// currencyNetwork answers which shards a keeper could own.
type currencyNetwork struct {
	scriptedNetwork
	states []groupState
}

func (n *currencyNetwork) Call(ctx context.Context, address string, kind peertransport.CallKind, body []byte) ([]byte, error) {
	if kind != callCurrency {
		return n.scriptedNetwork.Call(ctx, address, kind, body)
	}
	return codec.Marshal(groupsSchema, n.states)
}

func TestLeadershipMovesToAPreferredOwnerThatIsSteady(t *testing.T) {
	k, _, _ := scripted(t)
	const id = shards.ID(1)
	group := &movableGroup{}
	k.shards[id].group = group
	network := &currencyNetwork{}
	k.network = network

	// Choose an address that the hash prefers to this keeper's.
	status := leaderStatus()
	status.Members = []consensus.Member{{ID: k.self.ID, Address: k.self.Address, Voter: true}}
	other := consensus.Member{ID: 2, Voter: true}
	for _, address := range []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1", "10.0.0.4:1", "10.0.0.5:1", "10.0.0.6:1"} {
		other.Address = address
		status.Members = append(status.Members[:1:1], other)
		if preferred, _ := preferredOwner(id, status.Members); preferred.ID == other.ID {
			break
		}
	}
	if preferred, _ := preferredOwner(id, status.Members); preferred.ID != other.ID {
		t.Fatal("no address is preferred")
	}
	began := time.Now()
	at := func(after time.Duration, able bool) {
		network.states = []groupState{{Shard: int(id), Voter: true, Current: able, Writable: true}}
		k.spreadShard(t.Context(), k.shards[id], status, began.Add(after))
	}
	at(0, true)
	at(spreadCalm-1, true)
	at(spreadCalm, false) // not steady: it begins anew
	at(spreadCalm+1, true)
	at(2*spreadCalm, true)
	if len(group.moved) != 0 {
		t.Fatalf("moved to %v too early", group.moved)
	}
	at(2*spreadCalm+1, true)
	at(2*spreadCalm+spreadInterval, true) // too soon after the last move
	if len(group.moved) != 1 || group.moved[0] != other.ID {
		t.Fatalf("moved to %v", group.moved)
	}
	at(2*spreadCalm+1+spreadInterval, true)
	if len(group.moved) != 2 {
		t.Fatalf("moved %d times", len(group.moved))
	}
}

func TestAnEarlierLeadershipSaysNothingOfThePreferredOwner(t *testing.T) {
	k, groups, _ := scripted(t)
	const id = shards.ID(1)
	k.shards[id].better = time.Now().Add(-2 * spreadCalm)
	groups[id].set(followerOf("b"))
	k.maintainShard(t.Context(), k.shards[id])
	if !k.shards[id].better.IsZero() {
		t.Fatal("a keeper that follows keeps count of an owner's calm")
	}
}

func TestLearnersAreNotPreferred(t *testing.T) {
	if _, found := preferredOwner(1, []consensus.Member{{ID: 1, Address: "a"}}); found {
		t.Fatal("a learner is preferred")
	}
}
