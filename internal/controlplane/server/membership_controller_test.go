package server

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"ospreybend/coord/consensus"
	"ospreybend/coord/replica"
	"ospreybend/internal/controlplane/peertransport"
)

// changingGroup is a group that this server leads and that applies each membership change immediately.
type changingGroup struct {
	scriptedGroup
	promotable []consensus.MemberID
	changes    chan replica.MembershipChange
	onAdd      func(consensus.MemberID)
}

func newChangingGroup(members ...consensus.Member) *changingGroup {
	group := &changingGroup{changes: make(chan replica.MembershipChange, 20)}
	group.status = replica.Status{Role: consensus.RoleLeader, Term: 3, Members: members}
	return group
}

func (g *changingGroup) PromotableLearners() []consensus.MemberID { return g.promotable }

func (g *changingGroup) ChangeMembers(_ context.Context, change replica.MembershipChange) error {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	updated := &simulatedGroup{members: g.status.Members}
	updated.apply(change)
	g.status.Members = updated.members
	if change.Add != nil && g.onAdd != nil {
		g.onAdd(change.Add.ID)
	}
	if change.Retire {
		g.status.Retired = append(g.status.Retired, change.Remove)
	}
	g.changes <- change
	return nil
}

// hearMembers makes all members of a changing group, and those added later, count as responsive for the whole test.
func hearMembers(s *Server, shard *shard, group *changingGroup) {
	later := s.environment.Now().Add(time.Hour)
	for _, member := range group.status.Members {
		shard.recordHeard(member.ID, later)
	}
	group.onAdd = func(id consensus.MemberID) { shard.recordHeard(id, later) }
}

// laggingGroup is a changingGroup whose learners become promotable only after lag queries following each change.
type laggingGroup struct {
	*changingGroup
	queries, lag int
}

func (g *laggingGroup) PromotableLearners() []consensus.MemberID {
	g.queries++
	if g.queries <= g.lag {
		return nil
	}
	return g.changingGroup.PromotableLearners()
}

func (g *laggingGroup) ChangeMembers(ctx context.Context, change replica.MembershipChange) error {
	g.queries = 0
	return g.changingGroup.ChangeMembers(ctx, change)
}

// identityNetwork answers identity calls; addresses without an identity cannot be reached.
type identityNetwork struct {
	scriptedNetwork
	identities map[string]identityReply
}

func (n *identityNetwork) Call(ctx context.Context, address string, kind peertransport.CallKind, body []byte) ([]byte, error) {
	if kind != callIdentity {
		return n.scriptedNetwork.Call(ctx, address, kind, body)
	}
	identity, found := n.identities[address]
	if !found {
		return nil, peertransport.ErrNotSent
	}
	return encodeIdentity(identity)
}

// waitForReconcile waits until the reconcile of a shard has ended.
func waitForReconcile(t *testing.T, s *Server, shard *shard) {
	t.Helper()
	s.lifecycle.background.Wait()
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	if shard.reconciling {
		t.Fatalf("shard %d is still reconciling after all background goroutines have ended", shard.id)
	}
}

// A delayed join request of a former member must not remove the member that now runs at its address. Without the identity check it does.
func TestServer_ReceiveJoin_lateRequestOfFormerMemberRemovesNobody(t *testing.T) {
	const id, former, replacement = joinedShard, consensus.MemberID(30), consensus.MemberID(31)
	for _, omit := range [][]Guard{nil, {GuardIdentityConfirmed}} {
		s, _, _ := newScriptedServer(t)
		s.environment.OmitGuards = omit
		s.peers.network = &identityNetwork{identities: map[string]identityReply{"server3": {ID: replacement}}}
		group := newChangingGroup(voter(1), voter(2), consensus.Member{ID: replacement, Address: "server3", Voter: true})
		s.shards[id].group = group
		hearMembers(s, s.shards[id], group)
		sendJoinRequest(t, s, former)
		waitForReconcile(t, s, s.shards[id])
		removed := len(group.changes) > 0
		if removed != (omit != nil) {
			t.Fatalf("with guards %v omitted: running member is removed: got %v, want %v", omit, removed, omit != nil)
		}
		if _, found := nextMembershipChange(s.observeGroup(s.shards[id], group.Status())); found && omit == nil {
			t.Fatal("the delayed request is kept although it was not confirmed")
		}
	}
}

func TestServer_ReceiveJoin_memberWithLostDiskIsReplacedAndRetired(t *testing.T) {
	const id, former, replacement = joinedShard, consensus.MemberID(3), consensus.MemberID(31)
	s, _, _ := newScriptedServer(t)
	s.peers.network = &identityNetwork{identities: map[string]identityReply{"server3": {ID: replacement}}}
	group := newChangingGroup(voter(1), voter(2), voter(former))
	s.shards[id].group = group
	hearMembers(s, s.shards[id], group)
	sendJoinRequest(t, s, replacement)
	waitForReconcile(t, s, s.shards[id])
	for _, want := range []replica.MembershipChange{{Remove: former, Retire: true}, {Add: &consensus.Member{ID: replacement, Address: "server3"}}} {
		if got := <-group.changes; !sameChange(got, want) {
			t.Fatalf("got %s, want %s", formatChange(got), formatChange(want))
		}
	}
	sendJoinRequest(t, s, former) // delayed
	waitForReconcile(t, s, s.shards[id])
	if len(group.changes) > 0 {
		t.Fatalf("unexpected change after the request of a retired member: %s", formatChange(<-group.changes))
	}
}

func TestServer_ReceiveJoin_serverShuttingDownIsNotAdded(t *testing.T) {
	const id = joinedShard
	s, _, _ := newScriptedServer(t)
	network := &identityNetwork{identities: map[string]identityReply{"server3": {ID: 3, ShuttingDown: true}}}
	s.peers.network = network
	group := newChangingGroup(voter(1), voter(2))
	s.shards[id].group = group
	hearMembers(s, s.shards[id], group)
	sendJoinRequest(t, s, 3)
	waitForReconcile(t, s, s.shards[id])
	if len(group.changes) > 0 {
		t.Fatalf("unexpected change for a server that is shutting down: %s", formatChange(<-group.changes))
	}
	network.identities["server3"] = identityReply{ID: 3}
	sendJoinRequest(t, s, 3)
	waitForReconcile(t, s, s.shards[id])
	if got := <-group.changes; got.Add == nil || got.Add.ID != 3 || got.Add.Voter {
		t.Fatalf("got %s, want member 3 added as a learner", formatChange(got))
	}
}

// After a voter with a lost disk is removed, a learner is promoted in the same reconcile, although learners are not promotable until they
// have acknowledged the preceding change.
func TestServer_Reconcile_vacancyOfLostVoterIsFilledAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const id = joinedShard
		s, _, _ := newScriptedServer(t)
		s.settings.FaultTolerance.Machines = 1
		s.peers.network = &identityNetwork{identities: map[string]identityReply{"server3": {ID: 31}}}
		group := &laggingGroup{changingGroup: newChangingGroup(voter(1), voter(2), voter(3), learner(4)), lag: 5}
		group.promotable = memberIDs(4)
		s.shards[id].group = group
		hearMembers(s, s.shards[id], group.changingGroup)
		startedAt := time.Now()
		sendJoinRequest(t, s, 31) // member 3 has lost its disk
		waitForReconcile(t, s, s.shards[id])
		if took := time.Since(startedAt); took > vacancyFillTimeout {
			t.Fatalf("reconcile took %s, want at most %s", took, vacancyFillTimeout)
		}
		for _, want := range []replica.MembershipChange{
			{Remove: 3, Retire: true}, {Add: &consensus.Member{ID: 31, Address: "server3"}}, {Add: &consensus.Member{ID: 4, Address: "server4", Voter: true}},
		} {
			if len(group.changes) == 0 {
				t.Fatalf("got no further change, want %s", formatChange(want))
			}
			if got := <-group.changes; !sameChange(got, want) {
				t.Fatalf("got %s, want %s", formatChange(got), formatChange(want))
			}
		}
	})
}
