package replica

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"ospreybend/coord/consensus"
	"ospreybend/coord/seglog/seglogtest"
)

func TestGroup_replicasApplySameCommands(t *testing.T) {
	c := newTestCluster(t, 3)
	for i := range 20 {
		c.commit(fmt.Sprint("command ", i))
	}
	for _, replica := range c.replicas {
		c.awaitCommands(replica, 20)
		if !slices.Equal(replica.stateMachine.Commands, c.replicas[0].stateMachine.Commands) {
			t.Fatalf("member %d applied %q, member %d applied %q; want equal lists", replica.member.ID,
				replica.stateMachine.Commands, c.replicas[0].member.ID, c.replicas[0].stateMachine.Commands)
		}
	}
}

func TestGroup_Propose_returnsResultAndIndex(t *testing.T) {
	c := newTestCluster(t, 3)
	leader := c.awaitLeader()
	first := c.awaitOutcome(leader.propose("one"))
	second := c.awaitOutcome(leader.propose("two"))
	if first.err != nil || first.result != 1 || second.result != 2 || second.index != first.index+1 {
		t.Fatalf("got outcomes %+v and %+v, want results 1 and 2 at consecutive indexes", first, second)
	}
}

func TestGroup_Propose_followerNamesLeader(t *testing.T) {
	c := newTestCluster(t, 3)
	leader := c.awaitLeader()
	for _, replica := range c.replicas {
		if replica == leader {
			continue
		}
		c.stepUntil("the follower knows the leader", func() bool { return replica.group.Status().Leader.ID != 0 })
		var rejected NotLeaderError
		if err := c.awaitOutcome(replica.propose("x")).err; !errors.As(err, &rejected) || rejected.Leader != leader.member {
			t.Fatalf("proposal to follower %d: got %v, want NotLeaderError with leader %d", replica.member.ID, err, leader.member.ID)
		}
	}
}

func TestGroup_Propose_partitionedLeaderOutcomeUnknown(t *testing.T) {
	c := newTestCluster(t, 3)
	leader := c.awaitLeader()
	leader.partitioned = true
	done := leader.propose("lost")
	if err := c.awaitOutcome(done).err; !errors.Is(err, ErrUnknownOutcome) {
		t.Fatalf("proposal to a partitioned leader: got %v, want %v", err, ErrUnknownOutcome)
	}
	c.commit("other")
	leader.partitioned = false
	c.awaitCommands(leader, 1)
	if leader.stateMachine.Commands[0] != "other" {
		t.Fatalf("the former leader applied %q, want \"other\" first", leader.stateMachine.Commands)
	}
}

func TestGroup_Propose_proposalOfLostTermIsRejected(t *testing.T) {
	c := newTestCluster(t, 3)
	leader := c.awaitLeader()
	leader.partitioned = true
	done := leader.propose("lost")
	c.stepUntil("another member leads and has applied an entry", func() bool {
		return c.leader() != nil && c.leader().group.loop.appliedIndex > 2
	})
	leader.partitioned = false
	var rejected NotLeaderError
	if err := c.awaitOutcome(done).err; !errors.As(err, &rejected) && !errors.Is(err, ErrUnknownOutcome) {
		t.Fatalf("proposal of a lost term: got %v, want NotLeaderError or %v", err, ErrUnknownOutcome)
	}
	c.commit("other")
	c.awaitCommands(leader, 1)
}

func TestGroup_ReadBarrier(t *testing.T) {
	c := newTestCluster(t, 3)
	c.commit("one")
	leader := c.leader()
	done := newOutcomeChannel()
	leader.group.queue.push(readEvent{done})
	if err := c.awaitOutcome(done).err; err != nil {
		t.Fatalf("read barrier at the leader: %v", err)
	}
	leader.partitioned = true
	rejected := newOutcomeChannel()
	leader.group.queue.push(readEvent{rejected})
	if err := c.awaitOutcome(rejected).err; err == nil {
		t.Fatal("the read barrier at a partitioned leader succeeded, want an error")
	}
}

func TestGroup_TransferLeadership(t *testing.T) {
	c := newTestCluster(t, 3)
	leader := c.awaitLeader()
	done := newOutcomeChannel()
	leader.group.queue.push(transferEvent{done: done})
	if err := c.awaitOutcome(done).err; err != nil {
		t.Fatalf("leadership transfer: %v", err)
	}
	if next := c.awaitLeader(); next == leader {
		t.Fatalf("member %d still leads after the transfer", leader.member.ID)
	}
}

func TestGroup_TransferLeadershipTo_chosenVoter(t *testing.T) {
	c := newTestCluster(t, 5)
	leader := c.awaitLeader()
	for _, chosen := range c.replicas {
		if chosen == leader {
			continue
		}
		done := newOutcomeChannel()
		leader.group.queue.push(transferEvent{to: chosen.member.ID, done: done})
		if err := c.awaitOutcome(done).err; err != nil {
			t.Fatalf("leadership transfer to member %d: %v", chosen.member.ID, err)
		}
		if leader = c.awaitLeader(); leader != chosen {
			t.Fatalf("after the transfer member %d leads, want %d", leader.member.ID, chosen.member.ID)
		}
	}
}

func TestGroup_TransferLeadershipTo_nonVoter(t *testing.T) {
	c := newTestCluster(t, 3)
	leader := c.awaitLeader()
	for _, to := range []consensus.MemberID{leader.member.ID, 99} {
		done := newOutcomeChannel()
		leader.group.queue.push(transferEvent{to: to, done: done})
		if err := c.awaitOutcome(done).err; !errors.Is(err, consensus.ErrNoTransferTarget) {
			t.Fatalf("leadership transfer to member %d: got %v, want %v", to, err, consensus.ErrNoTransferTarget)
		}
	}
	if !leader.group.Status().IsLeader() {
		t.Fatal("the leader lost leadership by rejected transfers")
	}
}

func TestGroup_stalledDiskStepsDown(t *testing.T) {
	c := newTestCluster(t, 3)
	leader := c.awaitLeader()
	leader.stalled = true
	done := leader.propose("durable on the other disks")
	c.stepUntil("another member leads", func() bool { return c.leader() != nil && c.leader() != leader })
	if received := c.awaitOutcome(done); received.err != nil {
		t.Fatalf("proposal to a leader with a stalled disk: %v", received.err)
	}
	if leader.group.Status().Writable {
		t.Fatal("the status of the member with the stalled disk is writable")
	}
	c.commit("after the stall")
	leader.stalled = false
	c.stepUntil("the former leader is writable", func() bool { return leader.group.Status().Writable })
	c.awaitCommands(leader, 2)
}

func TestGroup_fullDiskRecovers(t *testing.T) {
	c := newTestCluster(t, 3)
	leader := c.awaitLeader()
	leader.disk.FreeBytes = 10
	done := leader.propose("durable on the other disks")
	if received := c.awaitOutcome(done); received.err != nil {
		t.Fatalf("proposal to a leader with a full disk: %v", received.err)
	}
	c.stepUntil("another member leads", func() bool { return c.leader() != nil && c.leader() != leader })
	leader.disk.FreeBytes = seglogtest.Unlimited
	c.commit("more")
	c.stepUntil("the former leader is writable", func() bool { return leader.group.Status().Writable })
	c.awaitCommands(leader, 2)
	c.restart(leader, true, 1)
	c.awaitCommands(leader, 2)
}

func TestGroup_allMembersLosePower(t *testing.T) {
	c := newTestCluster(t, 3)
	for round := range 10 {
		c.commit(fmt.Sprint("command ", round))
		for _, replica := range c.replicas {
			c.restart(replica, round%2 == 0, uint64(round))
		}
	}
	c.awaitLeader()
	for _, replica := range c.replicas {
		c.awaitCommands(replica, 10)
	}
}

func TestGroup_ChangeMembers_learnerCatchesUpAndIsPromoted(t *testing.T) {
	c := newTestCluster(t, 3)
	for i := range compactionEntries + 100 {
		c.commit(fmt.Sprint("command ", i))
	}
	leader := c.awaitLeader()
	if first := leader.group.loop.status.FirstIndex; first == 2 {
		t.Fatalf("the leader's log still begins at index %d, want a compacted log", first)
	}
	added := c.add(testMember(4, false), nil)
	c.commitChange(consensus.MembershipChange{Add: &consensus.Member{ID: 4, Address: added.member.Address}})
	c.awaitCommands(added, compactionEntries+100)
	c.commitChange(consensus.MembershipChange{Add: &consensus.Member{ID: 4, Address: added.member.Address, Voter: true}})
	removed := c.awaitLeader().member.ID%3 + 1
	c.commitChange(consensus.MembershipChange{Remove: removed})
	c.commit("last")
	c.awaitCommands(added, compactionEntries+101)
	c.restart(added, true, 3)
	c.awaitCommands(added, compactionEntries+101)
	if members := c.awaitLeader().group.Status().Members; len(members) != 3 {
		t.Fatalf("got members %v, want 3", members)
	}
}

// TestGroup_Run_withGoroutines runs a group of one member with its goroutines and the monotonic clock.
func TestGroup_Run_withGoroutines(t *testing.T) {
	member := testMember(1, true)
	stateMachine := &listStateMachine{}
	leading := make(chan struct{}, 1)
	group, err := Open(Options{
		Directory:         "group",
		FileSystem:        seglogtest.NewMemoryDisk(),
		Self:              member,
		BootstrapMembers:  []consensus.Member{member},
		StateMachine:      stateMachine,
		Send:              func(consensus.Member, consensus.Message) {},
		ElectionTimeout:   time.Millisecond,
		HeartbeatInterval: time.Millisecond,
		OnStatus: func(status Status) {
			if status.IsLeader() {
				notify(leading)
			}
		},
	})
	if err != nil {
		t.Fatalf("Open: %v", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- group.Run(ctx) }()
	<-leading
	if result, _, err := group.Propose(ctx, []byte("one")); err != nil || result != 1 {
		t.Fatalf("Propose returned result %v, error %v; want 1, nil", result, err)
	}
	if err := group.ReadBarrier(ctx); err != nil {
		t.Fatalf("ReadBarrier: %v", err)
	}
	var seen int
	if err := group.Do(func() { seen = len(stateMachine.Commands) }); err != nil || seen != 1 {
		t.Fatalf("Do saw %d commands, error %v; want 1, nil", seen, err)
	}
	cancel()
	if err := <-ended; err != nil {
		t.Fatalf("Run: %v", err)
	}
	if _, _, err := group.Propose(context.Background(), nil); !errors.Is(err, ErrClosed) {
		t.Fatalf("Propose after Run has ended: got %v, want %v", err, ErrClosed)
	}
	if err := group.Close(); err != nil {
		t.Fatalf("Close: %v", err)
	}
}
