package server

import (
	"testing"
	"time"

	"ospreybend/coord/consensus"
	"ospreybend/coord/replica"
	"ospreybend/coord/shards"
	"ospreybend/internal/controlplane/peertransport"
)

// The join requests in tests concern one shard and come from one address.
const (
	joinedShard    = shards.ID(1)
	joiningAddress = "server3"
)

// sendJoinRequest delivers the join request of a member to a server.
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
	body, err := s.Call(t.Context(), peertransport.Hello{Address: "server2", Member: 2}, callIdentity, nil)
	if err != nil {
		t.Fatal(err)
	}
	identity, err := decodeIdentity(body)
	if err != nil || identity.ID != s.self.ID || identity.ShuttingDown || identity.Age < 0 {
		t.Fatalf("got identity %+v (error %v), want member %d, not shutting down", identity, err, s.self.ID)
	}
}

// TestServer_NeedsToJoin_withoutContactAfterAStart covers a server that was a voter when it went down. A group may have replaced it since
// without telling it, so it must ask to join soon after its start, until it has had contact with a majority.
func TestServer_NeedsToJoin_withoutContactAfterAStart(t *testing.T) {
	s, groups, _ := newScriptedServer(t)
	setConfirmedAge := func(confirmed time.Duration) {
		for _, group := range groups {
			group.set(replica.Status{Members: []consensus.Member{{ID: s.self.ID, Voter: true}}, ConfirmedAge: confirmed})
		}
	}
	for _, c := range []struct {
		running, confirmed time.Duration // uptime, age of the last contact with a majority
		want               bool
	}{
		{0, replica.NeverConfirmed, false},
		{firstContactTimeout, replica.NeverConfirmed, false},
		{firstContactTimeout + 1, replica.NeverConfirmed, true},
		{firstContactTimeout + 1, time.Second, false},
		{contactLostAfter + 1, contactLostAfter + 1, true},
		{contactLostAfter + 1, 0, false},
	} {
		if setConfirmedAge(c.confirmed); s.needsToJoin(c.running) != c.want {
			t.Errorf("uptime %v, last contact with a majority %v ago: needsToJoin is %v, want %v", c.running, c.confirmed, !c.want, c.want)
		}
	}
	if joinCheckInterval(0) >= joinCheckInterval(contactLostAfter) {
		t.Errorf("got join check intervals %v at startup and %v later, want a shorter one at startup",
			joinCheckInterval(0), joinCheckInterval(contactLostAfter))
	}
}
