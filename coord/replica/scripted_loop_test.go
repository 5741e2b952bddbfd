package replica

import (
	"errors"
	"testing"
	"time"

	"ospreybend/coord/consensus"
)

// scriptedNode is a consensusNode that returns values set by the test and records its calls.
type scriptedNode struct {
	nextTick  time.Duration
	ticks     int
	ready     consensus.Ready // returned by the next call of Ready only
	status    consensus.Status
	callError error // returned by proposals, reads, membership changes and transfers
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

func (n *scriptedNode) TransferLeadership(_ time.Duration, _ consensus.MemberID, _ ...consensus.MemberID) error {
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

// scriptedLoop is an event loop with a scripted node that leads term 1. It records the write jobs that the loop submits.
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
		status: consensus.Status{
			Role: consensus.RoleLeader, Term: 1, Leader: 1, Members: []consensus.Member{testMember(1, true)},
		},
		writable: true,
	}
	options := Options{
		StateMachine: &listStateMachine{}, Clock: s.clock, Send: func(consensus.Member, consensus.Message) {},
	}.withDefaults()
	s.loop = newEventLoop(&options, s.node, func(job writeJob) { s.jobs = append(s.jobs, job) })
	return s
}

// iterate advances the clock and then iterates the event loop with the events.
func (s *scriptedLoop) iterate(after time.Duration, events ...loopEvent) {
	s.clock.now += after
	s.loop.iterate(events)
}

// commit makes the next Ready return the entries of term 1 from first to last as committed.
func (s *scriptedLoop) commit(first, last uint64) {
	var entries []consensus.Entry
	for index := first; index <= last; index++ {
		entries = append(entries, consensus.Entry{Term: 1, Index: index})
	}
	s.node.ready.Committed = entries
}

// requireError fails the test unless the call has already ended with the error want.
func requireError(t *testing.T, done chan outcome, want error) {
	t.Helper()
	if len(done) == 0 {
		t.Fatalf("the call has no outcome, want error %v", want)
	}
	if received := <-done; !errors.Is(received.err, want) {
		t.Fatalf("the call ended with error %v, want %v", received.err, want)
	}
}
