package server

import (
	"testing"
	"testing/synctest"
	"time"

	"ospreybend/coord/consensus"
	"ospreybend/coord/replica"
	"ospreybend/coord/shards"
	"ospreybend/internal/controlplane/peertransport"
)

func TestServer_ReceiveLeave_voteGoesToSuccessorOnly(t *testing.T) {
	const id = shards.ID(1)
	body, err := codec.Marshal(groupsSchema, []groupState{{Shard: int(id), Voter: true}})
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		name      string
		successor identityReply
		want      []replica.MembershipChange
	}{
		{"recently started successor", identityReply{ID: 4, Age: successorMaxUptime},
			[]replica.MembershipChange{{Add: &consensus.Member{ID: 3, Address: "server3"}}, {Add: &consensus.Member{ID: 4, Address: "server4", Voter: true}}}},
		{"learner that was started earlier", identityReply{ID: 4, Age: successorMaxUptime + time.Millisecond}, nil},
		{"successor that is shutting down", identityReply{ID: 4, ShuttingDown: true}, nil},
		{"another member at the successor's address", identityReply{ID: 5}, nil},
	} {
		s, _, _ := newScriptedServer(t)
		s.peers.network = &identityNetwork{identities: map[string]identityReply{"server4": test.successor}}
		group := newChangingGroup(voter(1), voter(2), voter(3), learner(4))
		s.settings.FaultTolerance.Machines = 1
		group.promotable = memberIDs(4)
		s.shards[id].group = group
		hearMembers(s, s.shards[id], group)
		if _, err := s.Call(timeoutContext(t), peertransport.Hello{Address: "server3", Member: 3}, callLeave, body); err != nil {
			t.Fatal(err)
		}
		waitForReconcile(t, s, s.shards[id])
		for _, want := range test.want {
			if got := <-group.changes; !sameChange(got, want) {
				t.Fatalf("%s: got change %s, want %s", test.name, formatChange(got), formatChange(want))
			}
		}
		if len(group.changes) > 0 {
			t.Fatalf("%s: unexpected change %s", test.name, formatChange(<-group.changes))
		}
	}
}

// TestServer_Reconcile_leavingLearnerIsNotPromoted guards against a leader that makes a voter again of a member that is shutting down and
// has told only an earlier leader.
func TestServer_Reconcile_leavingLearnerIsNotPromoted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const id = shards.ID(1)
		s, _, _ := newScriptedServer(t)
		s.settings.FaultTolerance.Machines = 1
		s.peers.network = &identityNetwork{identities: map[string]identityReply{"server3": {ID: 3, Age: time.Hour, ShuttingDown: true}, "server4": {ID: 4, Age: time.Hour}}}
		group := newChangingGroup(voter(1), voter(2), learner(3), learner(4))
		group.promotable = memberIDs(3, 4)
		s.shards[id].group = group
		hearMembers(s, s.shards[id], group)
		s.startReconcile(s.shards[id])
		waitForReconcile(t, s, s.shards[id])
		if want := (replica.MembershipChange{Add: &consensus.Member{ID: 4, Address: "server4", Voter: true}}); len(group.changes) != 1 || !sameChange(<-group.changes, want) {
			t.Fatalf("members after the reconcile are %v, want only member 4 promoted", group.status.Members)
		}
	})
}

// A voter that announced its shutdown and runs again under the same ID was only restarted. It must keep its vote even if a learner that
// looks like its successor was started meanwhile.
func TestServer_Reconcile_returnedVoterKeepsItsVote(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const id = shards.ID(1)
		s, _, _ := newScriptedServer(t)
		s.settings.FaultTolerance.Machines = 1
		s.peers.network = &identityNetwork{identities: map[string]identityReply{"server3": {ID: 3, Age: time.Second}, "server4": {ID: 4, Age: time.Second}}}
		group := newChangingGroup(voter(1), voter(2), voter(3), learner(4))
		group.promotable = memberIDs(4)
		s.shards[id].group = group
		hearMembers(s, s.shards[id], group)
		s.shards[id].recordLeaving(3, s.environment.Now())
		s.startReconcile(s.shards[id])
		waitForReconcile(t, s, s.shards[id])
		if len(group.changes) > 0 {
			t.Fatalf("unexpected change although the voter has returned: %s", formatChange(<-group.changes))
		}
	})
}
