package replica

import (
	"context"
	"errors"
	"testing"
	"time"

	"ospreybend/coord/consensus"
	"ospreybend/coord/seglog/seglogtest"
)

func TestEventLoop_readWaitsForStateMachine(t *testing.T) {
	s := newScriptedLoop()
	done, second := newOutcomeChannel(), newOutcomeChannel()
	s.iterate(0, readEvent{done}, readEvent{second})
	if len(s.node.reads) != 1 {
		t.Fatalf("%d rounds for two reads of one iteration", len(s.node.reads))
	}
	s.node.ready.Reads = []consensus.ReadResult{{ID: s.node.reads[0], Index: 5, OK: true}}
	s.commit(1, 4)
	s.iterate(0)
	if len(done) > 0 {
		t.Fatal("answered before the state machine reached the index")
	}
	s.commit(5, 5)
	s.iterate(0)
	requireError(t, done, nil)
	requireError(t, second, nil)
}

func TestEventLoop_readRejectedByFollower(t *testing.T) {
	s := newScriptedLoop()
	s.node.callError = consensus.ErrNotLeader
	done := newOutcomeChannel()
	s.iterate(0, readEvent{done})
	requireError(t, done, NotLeaderError{Leader: testMember(1, true)})
}

func TestEventLoop_snapshotSkipsProposal(t *testing.T) {
	s := newScriptedLoop()
	done := newOutcomeChannel()
	s.iterate(0, proposeEvent{done: done})
	s.node.ready.Restore = &consensus.Snapshot{Index: 10, Term: 1, Data: []byte("{}")}
	s.iterate(0)
	requireError(t, done, ErrUnknownOutcome)
}

func TestEventLoop_proposalGracePeriod(t *testing.T) {
	s := newScriptedLoop()
	done := newOutcomeChannel()
	s.iterate(0, proposeEvent{done: done})
	s.node.status.Role = consensus.RoleFollower
	s.iterate(0)
	grace := gracePeriodElectionTimeouts * DefaultElectionTimeout
	if next := s.loop.proposals.nextDeadline(); next != s.clock.now+grace {
		t.Fatalf("deadline in %v", next-s.clock.now)
	}
	if next := s.loop.nextWakeUp(); next != s.clock.now+idleHeartbeats*DefaultHeartbeatInterval {
		t.Fatalf("a follower wakes in %v", next-s.clock.now)
	}
	s.iterate(grace - 1)
	if len(done) > 0 {
		t.Fatal("answered too early")
	}
	s.iterate(1)
	requireError(t, done, ErrUnknownOutcome)
	if s.loop.proposals.nextDeadline() != never {
		t.Fatal("has a deadline with nothing to do")
	}
	s.node.status.Role = consensus.RoleLeader
	s.iterate(0)
	if s.loop.nextWakeUp() != never {
		t.Fatal("a leader wakes with nothing to do")
	}
}

func TestEventLoop_proposalCommittedWithinGracePeriod(t *testing.T) {
	s := newScriptedLoop()
	done := newOutcomeChannel()
	s.iterate(0, proposeEvent{done: done})
	s.node.status.Role = consensus.RoleFollower
	s.iterate(0)
	s.commit(1, 1)
	s.iterate(time.Millisecond)
	requireError(t, done, nil)
}

func TestEventLoop_leaderTicksAtMultiplesOfHeartbeat(t *testing.T) {
	s := newScriptedLoop()
	s.iterate(0)
	s.node.nextTick = 10*DefaultHeartbeatInterval + 1
	multiple := 11 * DefaultHeartbeatInterval
	if next := s.loop.nextWakeUp(); next != multiple {
		t.Fatalf("wakes at %v, not at %v", next, multiple)
	}
	s.clock.now = multiple - 1
	s.iterate(0)
	if s.node.ticks != 0 {
		t.Fatal("ticked between two multiples of the interval")
	}
	s.iterate(1)
	if s.node.ticks != 1 {
		t.Fatalf("ticked %d times", s.node.ticks)
	}
	s.node.nextTick = multiple // a multiple already
	if next := s.loop.nextWakeUp(); next != multiple {
		t.Fatalf("wakes at %v, not at %v", next, multiple)
	}
}

func TestEventLoop_followerTicksWhenDue(t *testing.T) {
	s := newScriptedLoop()
	s.node.status.Role = consensus.RoleFollower
	s.iterate(0)
	s.node.nextTick = 10*DefaultHeartbeatInterval + 1
	if next := s.loop.nextWakeUp(); next != s.node.nextTick {
		t.Fatalf("wakes at %v, not at %v", next, s.node.nextTick)
	}
}

func TestEventLoop_transferTimesOut(t *testing.T) {
	s := newScriptedLoop()
	done := newOutcomeChannel()
	s.iterate(0, transferEvent{done: done})
	timeout := transferElectionTimeouts * DefaultElectionTimeout
	if next := s.loop.nextWakeUp(); next != s.clock.now+timeout {
		t.Fatalf("wakes in %v", next-s.clock.now)
	}
	s.iterate(timeout)
	requireError(t, done, ErrTransferFailed)
}

func TestEventLoop_changeWithoutEffect(t *testing.T) {
	s := newScriptedLoop()
	done := newOutcomeChannel()
	s.iterate(0, changeEvent{done: done})
	requireError(t, done, nil)
}

func TestEventLoop_ticksWhenDue(t *testing.T) {
	s := newScriptedLoop()
	s.node.nextTick = s.clock.now + time.Second
	s.iterate(time.Second - 1)
	if s.node.ticks != 0 || s.loop.nextWakeUp() != s.node.nextTick {
		t.Fatal("ticked too early")
	}
	s.iterate(1)
	if s.node.ticks != 1 {
		t.Fatal("not ticked")
	}
}

func TestEventLoop_stalledWriteMakesNodeUnwritable(t *testing.T) {
	s := newScriptedLoop()
	s.node.ready.Persist = &consensus.PersistRequest{Sequence: 1}
	s.iterate(0)
	if next := s.loop.nextWakeUp(); next != s.clock.now+diskStallTimeout {
		t.Fatalf("wakes in %v", next-s.clock.now)
	}
	s.iterate(diskStallTimeout)
	if s.node.writable || s.loop.currentStatus().Writable {
		t.Fatal("a stalled disk is writable")
	}
	s.iterate(time.Second, diskReport{finishedJobs: 1, persistedSequence: 1})
	if !s.node.writable || s.node.persisted != 1 || !s.loop.currentStatus().Writable {
		t.Fatal("the completed write was not recorded")
	}
}

func TestEventLoop_failedWriteMakesNodeUnwritable(t *testing.T) {
	s := newScriptedLoop()
	s.node.ready.Persist = &consensus.PersistRequest{Sequence: 1}
	s.iterate(0)
	s.iterate(0, diskReport{err: seglogtest.ErrFull})
	if s.node.writable || s.node.persisted != 0 {
		t.Fatal("a failing disk is writable")
	}
	s.iterate(time.Millisecond, diskReport{finishedJobs: 1, persistedSequence: 1})
	if !s.node.writable {
		t.Fatal("not writable again")
	}
}

func TestEventLoop_compactionByEntries(t *testing.T) {
	s := newScriptedLoop()
	s.commit(1, compactionEntries)
	s.iterate(0)
	if len(s.jobs) != 0 {
		t.Fatal("compacted too early")
	}
	s.commit(compactionEntries+1, compactionEntries+1)
	s.iterate(0)
	s.iterate(0)
	if len(s.jobs) != 1 || s.jobs[0].snapshot == nil {
		t.Fatalf("%d jobs", len(s.jobs))
	}
	s.iterate(0, diskReport{finishedJobs: 1, compactedSnapshot: s.jobs[0].snapshot})
	if s.node.compacted != compactionEntries+1 || len(s.jobs) != 1 {
		t.Fatal("the node was not informed, or a second snapshot was taken")
	}
}

func TestEventLoop_compactionByBytes(t *testing.T) {
	s := newScriptedLoop()
	s.commit(1, 1)
	s.iterate(0, diskReport{logBytes: compactionLogBytes})
	if len(s.jobs) != 0 {
		t.Fatal("compacted too early")
	}
	s.iterate(0, diskReport{logBytes: compactionLogBytes + 1})
	if len(s.jobs) != 1 {
		t.Fatalf("%d jobs", len(s.jobs))
	}
	s.iterate(0, diskReport{finishedJobs: 1, compactedSnapshot: s.jobs[0].snapshot, logBytes: compactionLogBytes})
	s.commit(2, 2)
	s.iterate(0, diskReport{logBytes: compactionLogBytes + 1})
	if len(s.jobs) != 1 {
		t.Fatal("the log after the compaction counts as grown")
	}
}

func TestEventLoop_compactionRetryDelay(t *testing.T) {
	s := newScriptedLoop()
	s.commit(1, compactionEntries+1)
	s.iterate(0)
	s.iterate(0, diskReport{finishedJobs: 1, snapshotFailed: true, err: seglogtest.ErrFull})
	if len(s.jobs) != 1 || s.loop.nextWakeUp() != s.clock.now+compactionRetryDelay {
		t.Fatal("retried at once, or never")
	}
	s.iterate(compactionRetryDelay)
	if len(s.jobs) != 2 {
		t.Fatal("not retried")
	}
}

// failingStateMachine cannot restore a snapshot.
type failingStateMachine struct{ listStateMachine }

var errStateMachine = errors.New("the state machine fails")

func (*failingStateMachine) Restore(uint64, []byte) error { return errStateMachine }

func TestOpen_stateMachineCannotRestore(t *testing.T) {
	member := testMember(1, true)
	_, err := Open(Options{
		Directory:        "group",
		FileSystem:       seglogtest.NewMemoryDisk(),
		Self:             member,
		BootstrapMembers: []consensus.Member{member},
		StateMachine:     &failingStateMachine{},
		Send:             func(consensus.Member, consensus.Message) {},
	})
	if !errors.Is(err, errStateMachine) {
		t.Fatalf("got %v", err)
	}
}

func TestGroup_contextEnds(t *testing.T) {
	c := newTestCluster(t, 1)
	group := c.replicas[0].group
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	if _, _, err := group.Propose(ended, nil); !errors.Is(err, ErrUnknownOutcome) {
		t.Fatalf("got %v", err)
	}
	if err := group.ReadBarrier(ended); !errors.Is(err, context.Canceled) {
		t.Fatalf("got %v", err)
	}
	if err := group.Close(); err != nil {
		t.Fatal(err)
	}
	if err := group.Run(context.Background()); !errors.Is(err, ErrClosed) {
		t.Fatalf("got %v", err)
	}
}
