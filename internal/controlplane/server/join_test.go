package server

import (
	"testing"

	"ospreybend/coord/consensus"
	"ospreybend/coord/shards"
	"ospreybend/internal/controlplane/peertransport"
)

// sendJoinRequest plays a request to join one shard's group.
func sendJoinRequest(t *testing.T, s *Server, shard shards.ID, id consensus.MemberID, address string) {
	t.Helper()
	body, err := codec.Marshal(groupsSchema, []groupState{{Shard: int(shard), Current: true, Writable: true}})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.receiveJoin(peertransport.Hello{Address: address, Member: id}, body); err != nil {
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
