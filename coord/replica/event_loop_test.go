package replica

import (
	"context"
	"errors"
	"testing"
	"time"

	"ospreybend/coord/consensus"
	"ospreybend/coord/seglog/seglogtest"
)

// scriptedNode is a consensusNode that returns what the test has set and records its calls.
type scriptedNode struct {
	nextTick  time.Duration
	ticks     int
	ready     consensus.Ready // returned once
	status    consensus.Status
	callError error // returned by proposals, reads, changes and transfers
	reads     []uint64
	writable  bool
	persisted uint64
	compacted uint64
}

func (n *scriptedNode) Tick(time.Duration)                    { n.ticks++ }
func (n *scriptedNode) NextTick() time.Duration               { return n.nextTick }
func (n *scriptedNode) Step(time.Duration, consensus.Message) {}
func (n *scriptedNode) Status() consensus.Status              { return n.status }

func (n *scriptedNode) Propose(time.Duration, []byte) (term, index uint64, err error) {
	if n.callError == nil {
		n.status.LastIndex++
	}
	return n.status.Term, n.status.LastIndex, n.callError
}

func (n *scriptedNode) CanPromote(consensus.MemberID) bool { return false }
func (n *scriptedNode) ChangeMembers(time.Duration, consensus.MembershipChange) error {
	return n.callError
}

func (n *scriptedNode) ReadIndex(_ time.Duration, id uint64) error {
	n.reads = append(n.reads, id)
	return n.callError
}

func (n *scriptedNode) TransferLeadership(time.Duration, consensus.MemberID) error {
	return n.callError
}
func (n *scriptedNode) SetWritable(_ time.Duration, writable bool) { n.writable = writable }
func (n *scriptedNode) Persisted(_ time.Duration, sequence uint64) { n.persisted = sequence }

func (n *scriptedNode) Ready() consensus.Ready {
	ready := n.ready
	n.ready = consensus.Ready{}
	return ready
}

func (n *scriptedNode) SnapshotAt(index uint64, data []byte) (consensus.Snapshot, bool) {
	return consensus.Snapshot{Index: index, Term: 1, Data: data}, true
}

func (n *scriptedNode) Compact(index uint64, _ []consensus.Member, _ []byte) { n.compacted = index }

// scriptedLoop is an event loop with a scripted node that leads term 1, and the jobs that it has submitted.
type scriptedLoop struct {
	clock *fakeClock
	node  *scriptedNode
	loop  *eventLoop
	jobs  []writeJob
}

func newScriptedLoop() *scriptedLoop {
	s := &scriptedLoop{clock: &fakeClock{now: time.Second}}
	s.node = &scriptedNode{
		nextTick: never,
		status:   consensus.Status{Role: consensus.RoleLeader, Term: 1, Leader: 1, Members: []consensus.Member{testMember(1, true)}},
		writable: true,
	}
	options := Options{StateMachine: &listStateMachine{}, Clock: s.clock, Send: func(consensus.Member, consensus.Message) {}}.withDefaults()
	s.loop = newEventLoop(&options, s.node, func(job writeJob) { s.jobs = append(s.jobs, job) })
	return s
}

// iterate advances the clock and handles the events.
func (s *scriptedLoop) iterate(after time.Duration, events ...loopEvent) {
	s.clock.now += after
	s.loop.iterate(events)
}

// commit makes the node return the entries of term 1 from first to last as committed.
func (s *scriptedLoop) commit(first, last uint64) {
	var entries []consensus.Entry
	for index := first; index <= last; index++ {
		entries = append(entries, consensus.Entry{Term: 1, Index: index})
	}
	s.node.ready.Committed = entries
}

func requireError(t *testing.T, done chan outcome, want error) {
	t.Helper()
	if len(done) == 0 {
		t.Fatal("no answer")
	}
	if received := <-done; !errors.Is(received.err, want) {
		t.Fatalf("got %v, not %v", received.err, want)
	}
}

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
	grace := gracePeriodTimeouts * DefaultElectionTimeout
	if next := s.loop.nextWakeUp(); next != s.clock.now+grace {
		t.Fatalf("wakes in %v", next-s.clock.now)
	}
	s.iterate(grace - 1)
	if len(done) > 0 {
		t.Fatal("answered too early")
	}
	s.iterate(1)
	requireError(t, done, ErrUnknownOutcome)
	if s.loop.nextWakeUp() != never {
		t.Fatal("wakes with nothing to do")
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
	grid := 11 * DefaultHeartbeatInterval
	if next := s.loop.nextWakeUp(); next != grid {
		t.Fatalf("wakes at %v, not at %v", next, grid)
	}
	s.clock.now = grid - 1
	s.iterate(0)
	if s.node.ticks != 0 {
		t.Fatal("ticked between two multiples of the interval")
	}
	s.iterate(1)
	if s.node.ticks != 1 {
		t.Fatalf("ticked %d times", s.node.ticks)
	}
	s.node.nextTick = grid // a multiple already
	if next := s.loop.nextWakeUp(); next != grid {
		t.Fatalf("wakes at %v, not at %v", next, grid)
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

func TestEventQueue_push_boundsMessages(t *testing.T) {
	box := newEventQueue()
	for range maxQueuedMessages {
		if !box.push(messageEvent{}) {
			t.Fatal("rejected too early")
		}
	}
	if box.push(messageEvent{}) {
		t.Fatal("not bounded")
	}
	if !box.push(readEvent{}) {
		t.Fatal("a call was rejected because of messages")
	}
	box.drain()
	if !box.push(messageEvent{}) {
		t.Fatal("rejected after it was drained")
	}
}

// failingStateMachine cannot restore a snapshot.
type failingStateMachine struct{ listStateMachine }

var errStateMachine = errors.New("the state machine fails")

func (*failingStateMachine) Restore(uint64, []byte) error { return errStateMachine }

func TestOpen_stateMachineCannotRestore(t *testing.T) {
	member := testMember(1, true)
	_, err := Open(Options{
		Directory:    "group",
		FileSystem:   seglogtest.NewMemoryDisk(),
		Self:         member,
		Founders:     []consensus.Member{member},
		StateMachine: &failingStateMachine{},
		Send:         func(consensus.Member, consensus.Message) {},
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
