package server

import (
	"context"
	"testing"
	"time"

	"ospreybend/coord/consensus"
	"ospreybend/coord/shards"
	"ospreybend/internal/controlplane/peertransport"
)

// transferrableGroup is a scripted group that can transfer leadership to a chosen voter.
type transferrableGroup struct {
	scriptedGroup
	transfers []consensus.MemberID
}

func (g *transferrableGroup) TransferLeadershipTo(_ context.Context, to consensus.MemberID) error {
	g.transfers = append(g.transfers, to)
	return nil
}

// groupStatesNetwork answers calls for the group states of a server.
type groupStatesNetwork struct {
	scriptedNetwork
	states []groupState
}

func (n *groupStatesNetwork) Call(ctx context.Context, address string, kind peertransport.CallKind, body []byte) ([]byte, error) {
	if kind != callGroupStates {
		return n.scriptedNetwork.Call(ctx, address, kind, body)
	}
	return codec.Marshal(groupsSchema, n.states)
}

func TestServer_BalanceLeadership_movesToStablePreferredOwner(t *testing.T) {
	s, _, _ := newScriptedServer(t)
	const id = shards.ID(1)
	group := &transferrableGroup{}
	s.shards[id].group = group
	network := &groupStatesNetwork{}
	s.peers.network = network

	// Find an address with a higher rendezvous hash than this server's.
	status := leaderStatus()
	status.Members = []consensus.Member{{ID: s.self.ID, Address: s.self.Address, Voter: true}}
	other := consensus.Member{ID: 2, Voter: true}
	for _, address := range []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1", "10.0.0.4:1", "10.0.0.5:1", "10.0.0.6:1"} {
		other.Address = address
		status.Members = append(status.Members[:1:1], other)
		if preferred, _ := preferredOwner(id, status.Members); preferred.ID == other.ID {
			break
		}
	}
	if preferred, _ := preferredOwner(id, status.Members); preferred.ID != other.ID {
		t.Fatal("no candidate address is preferred to that of this server")
	}
	start := time.Now()
	balanceAt := func(after time.Duration, current bool) {
		network.states = []groupState{{Shard: int(id), Voter: true, Current: current, Writable: true}}
		s.balanceLeadership(t.Context(), s.shards[id], status, start.Add(after))
	}
	balanceAt(0, true)
	balanceAt(preferredOwnerStableFor-1, true)
	balanceAt(preferredOwnerStableFor, false) // not current: the stable time starts over
	balanceAt(preferredOwnerStableFor+1, true)
	balanceAt(2*preferredOwnerStableFor, true)
	if len(group.transfers) != 0 {
		t.Fatalf("leadership transferred to %v before the preferred owner was ready for %v", group.transfers, preferredOwnerStableFor)
	}
	balanceAt(2*preferredOwnerStableFor+1, true)
	balanceAt(2*preferredOwnerStableFor+minLeaderTransferInterval, true) // too soon after the last transfer
	if len(group.transfers) != 1 || group.transfers[0] != other.ID {
		t.Fatalf("got transfers to %v, want one to member %d", group.transfers, other.ID)
	}
	balanceAt(2*preferredOwnerStableFor+1+minLeaderTransferInterval, true)
	if len(group.transfers) != 2 {
		t.Fatalf("got %d transfers, want 2 after another minLeaderTransferInterval", len(group.transfers))
	}
}

func TestServer_BalanceLeadership_forgetsEarlierLeadership(t *testing.T) {
	s, groups, _ := newScriptedServer(t)
	const id = shards.ID(1)
	s.shards[id].preferredReadySince = time.Now().Add(-2 * preferredOwnerStableFor)
	groups[id].set(followerStatus("b"))
	s.maintainShard(t.Context(), s.shards[id])
	if !s.shards[id].preferredReadySince.IsZero() {
		t.Fatal("a follower still tracks since when the preferred owner is ready")
	}
}

func TestPreferredOwner_ignoresLearners(t *testing.T) {
	if _, found := preferredOwner(1, []consensus.Member{{ID: 1, Address: "a"}}); found {
		t.Fatal("a learner is the preferred owner")
	}
}
