package replica

import (
	"context"
	"errors"
	"slices"
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
		t.Fatalf("two reads of one iteration started %d rounds, want 1", len(s.node.reads))
	}
	s.node.ready.Reads = []consensus.ReadResult{{ID: s.node.reads[0], Index: 5, OK: true}}
	s.commit(1, 4)
	s.iterate(0)
	if len(done) > 0 {
		t.Fatal("the read was answered before the state machine reached its index")
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
		t.Fatalf("the proposal's deadline is in %v, want %v", next-s.clock.now, grace)
	}
	if next := s.loop.nextWakeUp(); next != s.clock.now+idleHeartbeats*DefaultHeartbeatInterval {
		t.Fatalf("the follower's next wake-up is in %v, want %v", next-s.clock.now, idleHeartbeats*DefaultHeartbeatInterval)
	}
	s.iterate(grace - 1)
	if len(done) > 0 {
		t.Fatal("the proposal was answered before its grace period ended")
	}
	s.iterate(1)
	requireError(t, done, ErrUnknownOutcome)
	if s.loop.proposals.nextDeadline() != never {
		t.Fatal("a deadline is set although no proposal is pending")
	}
	s.node.status.Role = consensus.RoleLeader
	s.iterate(0)
	if s.loop.nextWakeUp() != never {
		t.Fatal("the leader has a wake-up time although nothing is due")
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
		t.Fatalf("next wake-up at %v, want %v", next, multiple)
	}
	s.clock.now = multiple - 1
	s.iterate(0)
	if s.node.ticks != 0 {
		t.Fatalf("ticked %d times before a multiple of the heartbeat interval, want 0", s.node.ticks)
	}
	s.iterate(1)
	if s.node.ticks != 1 {
		t.Fatalf("ticked %d times at a multiple of the heartbeat interval, want 1", s.node.ticks)
	}
	s.node.nextTick = multiple // is a multiple already
	if next := s.loop.nextWakeUp(); next != multiple {
		t.Fatalf("next wake-up at %v, want %v", next, multiple)
	}
}

func TestEventLoop_followerTicksWhenDue(t *testing.T) {
	s := newScriptedLoop()
	s.node.status.Role = consensus.RoleFollower
	s.iterate(0)
	s.node.nextTick = 10*DefaultHeartbeatInterval + 1
	if next := s.loop.nextWakeUp(); next != s.node.nextTick {
		t.Fatalf("next wake-up at %v, want %v", next, s.node.nextTick)
	}
}

func TestEventLoop_transferTimesOut(t *testing.T) {
	s := newScriptedLoop()
	done := newOutcomeChannel()
	s.iterate(0, transferEvent{done: done})
	timeout := transferElectionTimeouts * DefaultElectionTimeout
	if next := s.loop.nextWakeUp(); next != s.clock.now+timeout {
		t.Fatalf("next wake-up is in %v, want %v", next-s.clock.now, timeout)
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
		t.Fatalf("ticked %d times before the tick was due, next wake-up at %v; want 0 and %v",
			s.node.ticks, s.loop.nextWakeUp(), s.node.nextTick)
	}
	s.iterate(1)
	if s.node.ticks != 1 {
		t.Fatalf("ticked %d times when the tick was due, want 1", s.node.ticks)
	}
}

func TestEventLoop_stalledWriteMakesNodeUnwritable(t *testing.T) {
	s := newScriptedLoop()
	s.node.ready.Persist = &consensus.PersistRequest{Sequence: 1}
	s.iterate(0)
	if next := s.loop.nextWakeUp(); next != s.clock.now+diskStallTimeout {
		t.Fatalf("next wake-up is in %v, want %v", next-s.clock.now, diskStallTimeout)
	}
	s.iterate(diskStallTimeout)
	if s.node.writable || s.loop.currentStatus().Writable {
		t.Fatalf("stalled disk: the node has writable %t, the status %t; want false", s.node.writable, s.loop.currentStatus().Writable)
	}
	s.iterate(time.Second, diskReport{finishedJobs: 1, persistedSequence: 1})
	if !s.node.writable || s.node.persisted != 1 || !s.loop.currentStatus().Writable {
		t.Fatalf("after the write completed: node writable %t, sequence %d persisted, status writable %t; want true, 1, true",
			s.node.writable, s.node.persisted, s.loop.currentStatus().Writable)
	}
}

func TestEventLoop_failedWriteMakesNodeUnwritable(t *testing.T) {
	s := newScriptedLoop()
	s.node.ready.Persist = &consensus.PersistRequest{Sequence: 1}
	s.iterate(0)
	s.iterate(0, diskReport{err: seglogtest.ErrFull})
	if s.node.writable || s.node.persisted != 0 {
		t.Fatalf("after a failed write: node writable %t, sequence %d persisted; want false, 0", s.node.writable, s.node.persisted)
	}
	s.iterate(time.Millisecond, diskReport{finishedJobs: 1, persistedSequence: 1})
	if !s.node.writable {
		t.Fatal("the node is not writable after a write succeeded")
	}
}

func TestEventLoop_compactionByEntries(t *testing.T) {
	s := newScriptedLoop()
	s.commit(1, compactionEntries)
	s.iterate(0)
	if len(s.jobs) != 0 {
		t.Fatalf("%d jobs after %d entries, want 0", len(s.jobs), compactionEntries)
	}
	s.commit(compactionEntries+1, compactionEntries+1)
	s.iterate(0)
	s.iterate(0)
	if len(s.jobs) != 1 || s.jobs[0].snapshot == nil {
		t.Fatalf("%d jobs after %d entries, want 1 with a snapshot", len(s.jobs), compactionEntries+1)
	}
	s.iterate(0, diskReport{finishedJobs: 1, compactedSnapshot: s.jobs[0].snapshot})
	if s.node.compacted != compactionEntries+1 || len(s.jobs) != 1 {
		t.Fatalf("the node compacted to index %d and %d jobs were submitted, want %d and 1",
			s.node.compacted, len(s.jobs), compactionEntries+1)
	}
}

func TestEventLoop_compactionByBytes(t *testing.T) {
	s := newScriptedLoop()
	s.commit(1, 1)
	s.iterate(0, diskReport{logBytes: compactionLogBytes})
	if len(s.jobs) != 0 {
		t.Fatalf("%d jobs with a log of %d bytes, want 0", len(s.jobs), compactionLogBytes)
	}
	s.iterate(0, diskReport{logBytes: compactionLogBytes + 1})
	if len(s.jobs) != 1 {
		t.Fatalf("%d jobs with a log of %d bytes, want 1", len(s.jobs), compactionLogBytes+1)
	}
	s.iterate(0, diskReport{finishedJobs: 1, compactedSnapshot: s.jobs[0].snapshot, logBytes: compactionLogBytes})
	s.commit(2, 2)
	s.iterate(0, diskReport{logBytes: compactionLogBytes + 1})
	if len(s.jobs) != 1 {
		t.Fatalf("%d jobs after the log grew by 1 byte since its compaction, want 1", len(s.jobs))
	}
}

func TestEventLoop_compactionRetryDelay(t *testing.T) {
	s := newScriptedLoop()
	s.commit(1, compactionEntries+1)
	s.iterate(0)
	s.iterate(0, diskReport{finishedJobs: 1, snapshotFailed: true, err: seglogtest.ErrFull})
	if len(s.jobs) != 1 || s.loop.nextWakeUp() != s.clock.now+compactionRetryDelay {
		t.Fatalf("after a failed snapshot: %d jobs, next wake-up in %v; want 1 and %v",
			len(s.jobs), s.loop.nextWakeUp()-s.clock.now, compactionRetryDelay)
	}
	s.iterate(compactionRetryDelay)
	if len(s.jobs) != 2 {
		t.Fatalf("%d jobs after the retry delay, want 2", len(s.jobs))
	}
}

// failingStateMachine returns errStateMachine when it should restore a snapshot.
type failingStateMachine struct{ listStateMachine }

var errStateMachine = errors.New("the state machine cannot restore the snapshot")

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
		t.Fatalf("Open returned %v, want %v", err, errStateMachine)
	}
}

func TestGroup_contextEnds(t *testing.T) {
	c := newTestCluster(t, 1)
	group := c.replicas[0].group
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	if _, _, err := group.Propose(ended, nil); !errors.Is(err, ErrUnknownOutcome) {
		t.Fatalf("Propose with a canceled context returned %v, want %v", err, ErrUnknownOutcome)
	}
	if err := group.ReadBarrier(ended); !errors.Is(err, context.Canceled) {
		t.Fatalf("ReadBarrier with a canceled context returned %v, want %v", err, context.Canceled)
	}
	if err := group.Close(); err != nil {
		t.Fatalf("Close: %v", err)
	}
	if err := group.Run(context.Background()); !errors.Is(err, ErrClosed) {
		t.Fatalf("Run after Close returned %v, want %v", err, ErrClosed)
	}
}

// TestEventLoop_iterate_answersWhileItCatchesUp guards against a replica that answers nothing until it has applied all that it
// has missed: with a state machine that is slow for any reason, messages and reads are handled between the entries.
func TestEventLoop_iterate_answersWhileItCatchesUp(t *testing.T) {
	s := loopWithSlowEntries(nil)
	done := newOutcomeChannel()
	s.iterate(0, readEvent{done})
	s.node.ready.Reads = []consensus.ReadResult{{ID: s.node.reads[0], Index: 10, OK: true}}
	for applied := uint64(1); applied < 10; applied++ {
		if s.loop.appliedIndex != applied || len(done) > 0 {
			t.Fatalf("after %d iterations %d entries are applied (read answered: %t), want one an iteration and the read not answered", applied, s.loop.appliedIndex, len(done) > 0)
		}
		if next := s.loop.nextWakeUp(); next > s.clock.now {
			t.Fatalf("next wake-up is in %v with entries to apply, want it at once", next-s.clock.now)
		}
		s.iterate(0)
	}
	requireError(t, done, nil)
	if next := s.loop.nextWakeUp(); next <= s.clock.now {
		t.Fatalf("next wake-up is in %v without entries to apply, want a later one", next-s.clock.now)
	}
}

// TestEventLoop_restore_dropsEntriesOfTheSnapshot checks that entries that wait to be applied are dropped if a snapshot covers them.
func TestEventLoop_restore_dropsEntriesOfTheSnapshot(t *testing.T) {
	s := loopWithSlowEntries(nil)
	s.iterate(0)
	s.node.ready.Restore = &consensus.Snapshot{Index: 12, Term: 1, Data: []byte(`{"Commands":["restored"]}`)}
	s.node.ready.Committed = []consensus.Entry{{Term: 1, Index: 13, Kind: consensus.EntryCommand, Data: []byte("next")}}
	s.iterate(0)
	machine := s.loop.options.StateMachine.(*clockStateMachine)
	if want := []string{"restored", "next"}; !slices.Equal(machine.Commands, want) || s.loop.appliedIndex != 13 {
		t.Fatalf("commands are %v up to index %d, want %v up to 13", machine.Commands, s.loop.appliedIndex, want)
	}
}

// TestEventLoop_currentOnceApplied checks for both roles that a replica becomes current when it has applied everything.
func TestEventLoop_currentOnceApplied(t *testing.T) {
	for _, role := range []consensus.Role{consensus.RoleFollower, consensus.RoleLeader} {
		s := loopWithSlowEntries(nil)
		s.node.status.Role = role
		for s.loop.appliedIndex < 10 {
			if age := s.loop.currentStatus().ConfirmedAge; age != NeverConfirmed {
				t.Fatalf("%v: confirmed %v ago with %d of 10 entries applied, want never", role, age, s.loop.appliedIndex)
			}
			s.node.status.ConfirmedAt = s.clock.now
			s.iterate(0)
		}
		if age := s.loop.currentStatus().ConfirmedAge; age > DefaultHeartbeatInterval {
			t.Errorf("%v: confirmed %v ago with everything applied, want at most %v", role, age, DefaultHeartbeatInterval)
		}
	}
}
