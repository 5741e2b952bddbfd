package replica

import (
	"context"
	"errors"
	"testing"
	"time"

	"ospreybend/coord/consensus"
	"ospreybend/coord/seglog/seglogtest"
)

// scriptedNode gives what the test put there and notes what it is told.
type scriptedNode struct {
	nextTick  time.Duration
	ticks     int
	ready     consensus.Ready // given once
	status    consensus.Status
	refusal   error // of proposals, reads, changes and transfers
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
	if n.refusal == nil {
		n.status.LastIndex++
	}
	return n.status.Term, n.status.LastIndex, n.refusal
}

func (n *scriptedNode) CanPromote(consensus.MemberID) bool { return false }
func (n *scriptedNode) ChangeMembers(time.Duration, consensus.MembershipChange) error {
	return n.refusal
}

func (n *scriptedNode) ReadIndex(_ time.Duration, id uint64) error {
	n.reads = append(n.reads, id)
	return n.refusal
}

func (n *scriptedNode) TransferLeadership(time.Duration, consensus.MemberID) error { return n.refusal }
func (n *scriptedNode) SetWritable(_ time.Duration, writable bool)                 { n.writable = writable }
func (n *scriptedNode) Persisted(_ time.Duration, sequence uint64)                 { n.persisted = sequence }

func (n *scriptedNode) Ready() consensus.Ready {
	ready := n.ready
	n.ready = consensus.Ready{}
	return ready
}

func (n *scriptedNode) SnapshotAt(index uint64, data []byte) (consensus.Snapshot, bool) {
	return consensus.Snapshot{Index: index, Term: 1, Data: data}, true
}

func (n *scriptedNode) Compact(index uint64, _ []consensus.Member, _ []byte) { n.compacted = index }

// script has a loop with a scripted node that leads term 1, and the jobs that it submits.
type script struct {
	clock *fakeClock
	node  *scriptedNode
	loop  *loop
	jobs  []job
}

func newScript() *script {
	s := &script{clock: &fakeClock{now: time.Second}}
	s.node = &scriptedNode{
		nextTick: never,
		status:   consensus.Status{Role: consensus.RoleLeader, Term: 1, Leader: 1, Members: []consensus.Member{testMember(1, true)}},
		writable: true,
	}
	options := Options{Machine: &listMachine{}, Clock: s.clock, Send: func(consensus.Member, consensus.Message) {}}.withDefaults()
	s.loop = newLoop(&options, s.node, func(one job) { s.jobs = append(s.jobs, one) })
	return s
}

// turn handles the events after some time.
func (s *script) turn(after time.Duration, events ...event) {
	s.clock.now += after
	s.loop.turn(events)
}

// commit has the node give entries of term 1 up to an index.
func (s *script) commit(first, last uint64) {
	var entries []consensus.Entry
	for index := first; index <= last; index++ {
		entries = append(entries, consensus.Entry{Term: 1, Index: index})
	}
	s.node.ready.Committed = entries
}

func answeredWith(t *testing.T, done chan outcome, want error) {
	t.Helper()
	if len(done) == 0 {
		t.Fatal("no answer")
	}
	if answered := <-done; !errors.Is(answered.err, want) {
		t.Fatalf("got %v, not %v", answered.err, want)
	}
}

func TestReadWaitsForMachine(t *testing.T) {
	s := newScript()
	done, second := newDone(), newDone()
	s.turn(0, readEvent{done}, readEvent{second})
	if len(s.node.reads) != 1 {
		t.Fatalf("%d rounds for two reads of one turn", len(s.node.reads))
	}
	s.node.ready.Reads = []consensus.ReadResult{{ID: s.node.reads[0], Index: 5, OK: true}}
	s.commit(1, 4)
	s.turn(0)
	if len(done) > 0 {
		t.Fatal("answered before the machine was there")
	}
	s.commit(5, 5)
	s.turn(0)
	answeredWith(t, done, nil)
	answeredWith(t, second, nil)
}

func TestReadRefused(t *testing.T) {
	s := newScript()
	s.node.refusal = consensus.ErrNotLeader
	done := newDone()
	s.turn(0, readEvent{done})
	answeredWith(t, done, ErrNotLeader{Leader: testMember(1, true)})
}

func TestSnapshotSkipsProposal(t *testing.T) {
	s := newScript()
	done := newDone()
	s.turn(0, proposeEvent{done: done})
	s.node.ready.Restore = &consensus.Snapshot{Index: 10, Term: 1, Data: []byte("{}")}
	s.turn(0)
	answeredWith(t, done, ErrUnknownOutcome)
}

func TestProposalGrace(t *testing.T) {
	s := newScript()
	done := newDone()
	s.turn(0, proposeEvent{done: done})
	s.node.status.Role = consensus.RoleFollower
	s.turn(0)
	grace := lossGraces * DefaultElectionTimeout
	if next := s.loop.next(); next != s.clock.now+grace {
		t.Fatalf("wakes in %v", next-s.clock.now)
	}
	s.turn(grace - 1)
	if len(done) > 0 {
		t.Fatal("answered too early")
	}
	s.turn(1)
	answeredWith(t, done, ErrUnknownOutcome)
	if s.loop.next() != never {
		t.Fatal("wakes with nothing to do")
	}
}

func TestProposalCommittedWithinGrace(t *testing.T) {
	s := newScript()
	done := newDone()
	s.turn(0, proposeEvent{done: done})
	s.node.status.Role = consensus.RoleFollower
	s.turn(0)
	s.commit(1, 1)
	s.turn(time.Millisecond)
	answeredWith(t, done, nil)
}

func TestLeaderTicksOnGrid(t *testing.T) {
	s := newScript()
	s.turn(0)
	s.node.nextTick = 10*DefaultHeartbeat + 1
	grid := 11 * DefaultHeartbeat
	if next := s.loop.next(); next != grid {
		t.Fatalf("wakes at %v, not at %v", next, grid)
	}
	s.clock.now = grid - 1
	s.turn(0)
	if s.node.ticks != 0 {
		t.Fatal("ticked between two moments of the grid")
	}
	s.turn(1)
	if s.node.ticks != 1 {
		t.Fatalf("ticked %d times", s.node.ticks)
	}
	s.node.nextTick = grid // on the grid already
	if next := s.loop.next(); next != grid {
		t.Fatalf("wakes at %v, not at %v", next, grid)
	}
}

func TestFollowerTicksOffGrid(t *testing.T) {
	s := newScript()
	s.node.status.Role = consensus.RoleFollower
	s.turn(0)
	s.node.nextTick = 10*DefaultHeartbeat + 1
	if next := s.loop.next(); next != s.node.nextTick {
		t.Fatalf("wakes at %v, not at %v", next, s.node.nextTick)
	}
}

func TestTransferFails(t *testing.T) {
	s := newScript()
	done := newDone()
	s.turn(0, transferEvent{done: done})
	timeout := transferTimeouts * DefaultElectionTimeout
	if next := s.loop.next(); next != s.clock.now+timeout {
		t.Fatalf("wakes in %v", next-s.clock.now)
	}
	s.turn(timeout)
	answeredWith(t, done, ErrTransferFailed)
}

func TestChangeOfNothing(t *testing.T) {
	s := newScript()
	done := newDone()
	s.turn(0, changeEvent{done: done})
	answeredWith(t, done, nil)
}

func TestTickWhenDue(t *testing.T) {
	s := newScript()
	s.node.nextTick = s.clock.now + time.Second
	s.turn(time.Second - 1)
	if s.node.ticks != 0 || s.loop.next() != s.node.nextTick {
		t.Fatal("ticked too early")
	}
	s.turn(1)
	if s.node.ticks != 1 {
		t.Fatal("not ticked")
	}
}

func TestStallTellsNode(t *testing.T) {
	s := newScript()
	s.node.ready.Persist = &consensus.PersistRequest{Sequence: 1}
	s.turn(0)
	if next := s.loop.next(); next != s.clock.now+stallAfter {
		t.Fatalf("wakes in %v", next-s.clock.now)
	}
	s.turn(stallAfter)
	if s.node.writable || s.loop.read().Writable {
		t.Fatal("a stalled disk is writable")
	}
	s.turn(time.Second, diskEvent{jobs: 1, persisted: 1})
	if !s.node.writable || s.node.persisted != 1 || !s.loop.read().Writable {
		t.Fatal("the write that ended was not noted")
	}
}

func TestFailedWriteTellsNode(t *testing.T) {
	s := newScript()
	s.node.ready.Persist = &consensus.PersistRequest{Sequence: 1}
	s.turn(0)
	s.turn(0, diskEvent{err: seglogtest.ErrFull})
	if s.node.writable || s.node.persisted != 0 {
		t.Fatal("a failing disk is writable")
	}
	s.turn(time.Millisecond, diskEvent{jobs: 1, persisted: 1})
	if !s.node.writable {
		t.Fatal("not writable again")
	}
}

func TestCompactionByEntries(t *testing.T) {
	s := newScript()
	s.commit(1, compactEntries)
	s.turn(0)
	if len(s.jobs) != 0 {
		t.Fatal("compacted too early")
	}
	s.commit(compactEntries+1, compactEntries+1)
	s.turn(0)
	s.turn(0)
	if len(s.jobs) != 1 || s.jobs[0].snapshot == nil {
		t.Fatalf("%d jobs", len(s.jobs))
	}
	s.turn(0, diskEvent{jobs: 1, compacted: s.jobs[0].snapshot})
	if s.node.compacted != compactEntries+1 || len(s.jobs) != 1 {
		t.Fatal("the node was not told, or a second snapshot was taken")
	}
}

func TestCompactionByBytes(t *testing.T) {
	s := newScript()
	s.commit(1, 1)
	s.turn(0, diskEvent{logBytes: compactBytes})
	if len(s.jobs) != 0 {
		t.Fatal("compacted too early")
	}
	s.turn(0, diskEvent{logBytes: compactBytes + 1})
	if len(s.jobs) != 1 {
		t.Fatalf("%d jobs", len(s.jobs))
	}
	s.turn(0, diskEvent{jobs: 1, compacted: s.jobs[0].snapshot, logBytes: compactBytes})
	s.commit(2, 2)
	s.turn(0, diskEvent{logBytes: compactBytes + 1})
	if len(s.jobs) != 1 {
		t.Fatal("what compaction left counts as grown")
	}
}

func TestCompactionPausesAfterFailure(t *testing.T) {
	s := newScript()
	s.commit(1, compactEntries+1)
	s.turn(0)
	s.turn(0, diskEvent{jobs: 1, dropped: true, err: seglogtest.ErrFull})
	if len(s.jobs) != 1 || s.loop.next() != s.clock.now+compactPause {
		t.Fatal("tried again at once, or never")
	}
	s.turn(compactPause)
	if len(s.jobs) != 2 {
		t.Fatal("not tried again")
	}
}

func TestInboxIsBounded(t *testing.T) {
	box := newInbox()
	for range maxWaitingMessages {
		if !box.post(messageEvent{}) {
			t.Fatal("refused too early")
		}
	}
	if box.post(messageEvent{}) {
		t.Fatal("not bounded")
	}
	if !box.post(readEvent{}) {
		t.Fatal("a call was refused because of messages")
	}
	box.take()
	if !box.post(messageEvent{}) {
		t.Fatal("refused after it was emptied")
	}
}

// failingMachine cannot restore.
type failingMachine struct{ listMachine }

var errMachine = errors.New("the machine fails")

func (*failingMachine) Restore(uint64, []byte) error { return errMachine }

func TestMachineCannotRestore(t *testing.T) {
	member := testMember(1, true)
	_, err := Open(Options{
		Directory:  "group",
		FileSystem: seglogtest.NewDisk(),
		Self:       member,
		Founders:   []consensus.Member{member},
		Machine:    &failingMachine{},
		Send:       func(consensus.Member, consensus.Message) {},
	})
	if !errors.Is(err, errMachine) {
		t.Fatalf("got %v", err)
	}
}

func TestContextEnds(t *testing.T) {
	c := newCluster(t, 1)
	group := c.peers[0].group
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
