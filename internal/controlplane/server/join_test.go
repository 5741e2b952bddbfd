package server

import (
	"testing"

	"ospreybend/coord/consensus"
	"ospreybend/coord/shards"
	"ospreybend/internal/controlplane/peertransport"
)

// The join requests of the tests concern one shard and come from one address.
const (
	joinedShard    = shards.ID(1)
	joiningAddress = "k3"
)

// sendJoinRequest has a server receive the join request of a member.
func sendJoinRequest(t *testing.T, s *Server, id consensus.MemberID) {
	t.Helper()
	body, err := codec.Marshal(groupsSchema, []groupState{{Shard: int(joinedShard), Current: true, Writable: true}})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.receiveJoin(peertransport.Hello{Address: joiningAddress, Member: id}, body); err != nil {
		t.Fatal(err)
	}
}

func TestServer_Call_identity(t *testing.T) {
	s, _, _ := newScriptedServer(t)
	body, err := s.Call(t.Context(), peertransport.Hello{Address: "k2", Member: 2}, callIdentity, nil)
	if err != nil {
		t.Fatal(err)
	}
	identity, err := decodeIdentity(body)
	if err != nil || identity.ID != s.self.ID || identity.ShuttingDown || identity.Age < 0 {
		t.Fatalf("%+v, %v", identity, err)
	}
}
