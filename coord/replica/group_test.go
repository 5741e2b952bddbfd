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

func TestThreeMembersApplyAlike(t *testing.T) {
	c := newCluster(t, 3)
	for i := range 20 {
		c.commit(fmt.Sprint("command ", i))
	}
	for _, p := range c.peers {
		c.awaitCommands(p, 20)
		if !slices.Equal(p.machine.Commands, c.peers[0].machine.Commands) {
			t.Fatal("replicas differ")
		}
	}
}

func TestProposeAnswers(t *testing.T) {
	c := newCluster(t, 3)
	leader := c.awaitLeader()
	first := c.await(leader.propose("one"))
	second := c.await(leader.propose("two"))
	if first.err != nil || first.result != 1 || second.result != 2 || second.index != first.index+1 {
		t.Fatalf("got %+v and %+v", first, second)
	}
}

func TestFollowerNamesLeader(t *testing.T) {
	c := newCluster(t, 3)
	leader := c.awaitLeader()
	for _, p := range c.peers {
		if p == leader {
			continue
		}
		c.until("knows the leader", func() bool { return p.group.Status().Leader.ID != 0 })
		var refused ErrNotLeader
		if err := c.await(p.propose("x")).err; !errors.As(err, &refused) || refused.Leader != leader.member {
			t.Fatalf("got %v", err)
		}
	}
}

func TestCutLeaderOutcomeUnknown(t *testing.T) {
	c := newCluster(t, 3)
	leader := c.awaitLeader()
	leader.cut = true
	done := leader.propose("lost")
	if err := c.await(done).err; !errors.Is(err, ErrUnknownOutcome) {
		t.Fatalf("got %v", err)
	}
	c.commit("other")
	leader.cut = false
	c.awaitCommands(leader, 1)
	if leader.machine.Commands[0] != "other" {
		t.Fatalf("got %q", leader.machine.Commands)
	}
}

func TestProposalOfLostTermIsRefused(t *testing.T) {
	c := newCluster(t, 3)
	leader := c.awaitLeader()
	leader.cut = true
	done := leader.propose("lost")
	c.until("another leader", func() bool { return c.leader() != nil && c.leader().group.loop.applied > 2 })
	leader.cut = false
	var refused ErrNotLeader
	if err := c.await(done).err; !errors.As(err, &refused) && !errors.Is(err, ErrUnknownOutcome) {
		t.Fatalf("got %v", err)
	}
	c.commit("other")
	c.awaitCommands(leader, 1)
}

func TestReadBarrier(t *testing.T) {
	c := newCluster(t, 3)
	c.commit("one")
	leader := c.leader()
	done := newDone()
	leader.group.inbox.post(readEvent{done})
	if err := c.await(done).err; err != nil {
		t.Fatal(err)
	}
	leader.cut = true
	refused := newDone()
	leader.group.inbox.post(readEvent{refused})
	if err := c.await(refused).err; err == nil {
		t.Fatal("a leader that is cut off confirmed a read")
	}
}

func TestTransfer(t *testing.T) {
	c := newCluster(t, 3)
	leader := c.awaitLeader()
	done := newDone()
	leader.group.inbox.post(transferEvent{done: done})
	if err := c.await(done).err; err != nil {
		t.Fatal(err)
	}
	if next := c.awaitLeader(); next == leader {
		t.Fatal("the same member leads")
	}
}

func TestTransferToChosenVoter(t *testing.T) {
	c := newCluster(t, 5)
	leader := c.awaitLeader()
	for _, chosen := range c.peers {
		if chosen == leader {
			continue
		}
		done := newDone()
		leader.group.inbox.post(transferEvent{to: chosen.member.ID, done: done})
		if err := c.await(done).err; err != nil {
			t.Fatal(err)
		}
		if leader = c.awaitLeader(); leader != chosen {
			t.Fatalf("member %d leads, not %d", leader.member.ID, chosen.member.ID)
		}
	}
}

func TestTransferToNoVoter(t *testing.T) {
	c := newCluster(t, 3)
	leader := c.awaitLeader()
	for _, to := range []consensus.MemberID{leader.member.ID, 99} {
		done := newDone()
		leader.group.inbox.post(transferEvent{to: to, done: done})
		if err := c.await(done).err; !errors.Is(err, consensus.ErrNoTransferTarget) {
			t.Fatalf("to %d: %v", to, err)
		}
	}
	if !leader.group.Status().IsLeader() {
		t.Fatal("leadership is lost")
	}
}

func TestStalledDiskHandsOver(t *testing.T) {
	c := newCluster(t, 3)
	leader := c.awaitLeader()
	leader.stalled = true
	done := leader.propose("with the others' disks")
	c.until("another leader", func() bool { return c.leader() != nil && c.leader() != leader })
	if answered := c.await(done); answered.err != nil {
		t.Fatal(answered.err)
	}
	if leader.group.Status().Writable {
		t.Fatal("a stalled disk counts as writable")
	}
	c.commit("and on")
	leader.stalled = false
	c.until("writable", func() bool { return leader.group.Status().Writable })
	c.awaitCommands(leader, 2)
}

func TestFullDiskRecovers(t *testing.T) {
	c := newCluster(t, 3)
	leader := c.awaitLeader()
	leader.disk.Room = 10
	done := leader.propose("kept by the others")
	if answered := c.await(done); answered.err != nil {
		t.Fatal(answered.err)
	}
	c.until("another leader", func() bool { return c.leader() != nil && c.leader() != leader })
	leader.disk.Room = seglogtest.Unlimited
	c.commit("more")
	c.until("writable", func() bool { return leader.group.Status().Writable })
	c.awaitCommands(leader, 2)
	c.restart(leader, true, 1)
	c.awaitCommands(leader, 2)
}

func TestAllLosePower(t *testing.T) {
	c := newCluster(t, 3)
	for round := range 10 {
		c.commit(fmt.Sprint("command ", round))
		for _, p := range c.peers {
			c.restart(p, round%2 == 0, uint64(round))
		}
	}
	c.awaitLeader()
	for _, p := range c.peers {
		c.awaitCommands(p, 10)
	}
}

func TestLearnerIsTakenIn(t *testing.T) {
	c := newCluster(t, 3)
	for i := range compactEntries + 100 {
		c.commit(fmt.Sprint("command ", i))
	}
	leader := c.awaitLeader()
	if first := leader.group.loop.status.FirstIndex; first == 2 {
		t.Fatal("the log was not compacted")
	}
	added := c.add(testMember(4, false), nil)
	c.change(consensus.MembershipChange{Add: &consensus.Member{ID: 4, Address: added.member.Address}})
	c.awaitCommands(added, compactEntries+100)
	c.change(consensus.MembershipChange{Add: &consensus.Member{ID: 4, Address: added.member.Address, Voter: true}})
	removed := c.awaitLeader().member.ID%3 + 1
	c.change(consensus.MembershipChange{Remove: removed})
	c.commit("last")
	c.awaitCommands(added, compactEntries+101)
	c.restart(added, true, 3)
	c.awaitCommands(added, compactEntries+101)
	if members := c.awaitLeader().group.Status().Members; len(members) != 3 {
		t.Fatalf("got %v", members)
	}
}

// TestRunWithGoroutines runs one group of one member with its goroutines and the steady clock.
func TestRunWithGoroutines(t *testing.T) {
	member := testMember(1, true)
	machine := &listMachine{}
	leading := make(chan struct{}, 1)
	group, err := Open(Options{
		Directory:       "group",
		FileSystem:      seglogtest.NewDisk(),
		Self:            member,
		Founders:        []consensus.Member{member},
		Machine:         machine,
		Send:            func(consensus.Member, consensus.Message) {},
		ElectionTimeout: time.Millisecond,
		Heartbeat:       time.Millisecond,
		OnStatus: func(status Status) {
			if status.IsLeader() {
				wake(leading)
			}
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- group.Run(ctx) }()
	<-leading
	if result, _, err := group.Propose(ctx, []byte("one")); err != nil || result != 1 {
		t.Fatal(result, err)
	}
	if err := group.ReadBarrier(ctx); err != nil {
		t.Fatal(err)
	}
	var seen int
	if err := group.Do(func() { seen = len(machine.Commands) }); err != nil || seen != 1 {
		t.Fatal(seen, err)
	}
	cancel()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	if _, _, err := group.Propose(context.Background(), nil); !errors.Is(err, ErrClosed) {
		t.Fatal(err)
	}
	if err := group.Close(); err != nil {
		t.Fatal(err)
	}
}
