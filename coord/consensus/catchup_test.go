package consensus

import (
	"testing"
	"time"
)

// catchUpLoad is what a group's leader takes without a pause while a learner catches up over a slow way.
type catchUpLoad struct {
	change    time.Duration // between two changes
	entry     int           // bytes of a change
	document  int           // bytes of a snapshot
	bandwidth int           // of the slow way, bytes a second
}

// Loads of the tests: 30 changes a second that each replace a document of 450 routes, and 20 smaller ones a second to
// a document of some 12,000 routes. The way hardly passes more than the changes take.
var (
	replacingLoad = catchUpLoad{change: time.Second / 30, entry: 150 << 10, document: 250 << 10, bandwidth: 5 << 20}
	largeLoad     = catchUpLoad{change: time.Second / 20, entry: 90 << 10, document: 4 << 20, bandwidth: 5 << 19}
)

const (
	compactionBytes = 4 << 20 // of the log between two snapshots
	slowWay         = 200 * time.Millisecond
	catchUpLimit    = 60 * time.Second
	catchUpStep     = 5 * time.Millisecond
	caughtUpLag     = 3 // changes that may be on their way
	heldChange      = 150 << 10
)

// slowLine delivers messages in order, after the time that their bytes and the way take.
type slowLine struct {
	bandwidth int
	free      time.Duration // when the line has passed what it was given
	waiting   []lateMessage
}

type lateMessage struct {
	at      time.Duration
	message Message
}

func (l *slowLine) give(now time.Duration, message Message) {
	size := 100
	for at := range message.Entries {
		size += entrySize(&message.Entries[at])
	}
	if message.Snapshot != nil {
		size += len(message.Snapshot.Data)
	}
	l.free = max(l.free, now) + time.Duration(size)*time.Second/time.Duration(l.bandwidth)
	l.waiting = append(l.waiting, lateMessage{at: l.free + slowWay, message: message})
}

func (l *slowLine) arrived(now time.Duration) []Message {
	var due []Message
	for len(l.waiting) > 0 && l.waiting[0].at <= now {
		due = append(due, l.waiting[0].message)
		l.waiting = l.waiting[1:]
	}
	return due
}

// catchUpGroup is a leader, a voter beside it and a learner behind slow lines.
type catchUpGroup struct {
	t                  *testing.T
	load               catchUpLoad
	now                time.Duration
	nodes              map[MemberID]*Node
	there, back        slowLine // to the learner and from it
	snapshots          int      // sent to the learner
	compacted          uint64   // index
	sinceCut, keptMost int      // bytes
	document           []byte
}

const learnerID = 3

func newCatchUpGroup(t *testing.T, load catchUpLoad, omit ...Rule) *catchUpGroup {
	g := &catchUpGroup{t: t, load: load, now: time.Second, nodes: map[MemberID]*Node{}, document: make([]byte, load.document)}
	g.there.bandwidth, g.back.bandwidth = load.bandwidth, load.bandwidth
	founders := []Member{{ID: 1, Voter: true}, {ID: 2, Voter: true}, {ID: learnerID}}
	for _, id := range []MemberID{1, 2, learnerID} {
		config := Config{ID: id, ElectionTimeout: 500 * time.Millisecond, HeartbeatInterval: 120 * time.Millisecond,
			MaxAppendBytes: 256 << 10, MaxInflight: 16, Seed: uint64(id), DisabledRules: omit}
		stored := PersistedState{}
		if id != learnerID {
			stored = Bootstrap(founders, g.document)
		}
		g.nodes[id] = New(config, stored, g.now)
	}
	return g
}

// step lets a short time pass.
func (g *catchUpGroup) step() {
	g.now += catchUpStep
	for _, message := range append(g.there.arrived(g.now), g.back.arrived(g.now)...) {
		g.nodes[message.To].Step(g.now, message)
	}
	for range 4 {
		for id := MemberID(1); id <= learnerID; id++ {
			g.turn(id)
		}
	}
}

func (g *catchUpGroup) turn(id MemberID) {
	node := g.nodes[id]
	if g.now >= node.NextTick() {
		node.Tick(g.now)
	}
	ready := node.Ready()
	if ready.Persist != nil {
		node.Persisted(g.now, ready.Persist.Sequence)
	}
	for _, message := range ready.Messages {
		switch {
		case message.To == learnerID:
			if message.Kind == MessageInstallSnapshot {
				g.snapshots++
			}
			g.there.give(g.now, message)
		case message.From == learnerID:
			g.back.give(g.now, message)
		default:
			g.nodes[message.To].Step(g.now, message)
		}
	}
}

func (g *catchUpGroup) leader() *Node {
	for _, node := range g.nodes {
		if node.Status().Role == RoleLeader {
			return node
		}
	}
	return nil
}

// change proposes one change and compacts the log as a replica does.
func (g *catchUpGroup) change() {
	leader := g.leader()
	if leader == nil {
		return
	}
	if _, _, err := leader.Propose(g.now, make([]byte, g.load.entry)); err != nil {
		g.t.Fatal(err)
	}
	g.sinceCut += g.load.entry
	if g.sinceCut > compactionBytes && leader.appliedIndex > g.compacted {
		g.sinceCut, g.compacted = 0, leader.appliedIndex
		leader.Compact(leader.appliedIndex, nil, g.document)
	}
	g.keptMost = max(g.keptMost, len(leader.log.entries)*g.load.entry)
}

// catchUp returns how long the learner took until it lacked next to nothing, and false after catchUpLimit.
func (g *catchUpGroup) catchUp() (time.Duration, bool) {
	for g.leader() == nil {
		g.step()
	}
	began, next := g.now, g.now
	for g.now < began+catchUpLimit {
		for ; next <= g.now; next += g.load.change {
			g.change()
		}
		g.step()
		learner, leader := g.nodes[learnerID], g.leader()
		lag := caughtUpLag + uint64(2*slowWay/g.load.change)
		if leader != nil && learner.appliedIndex > 1 && learner.appliedIndex+lag >= leader.commitIndex {
			return g.now - began, true
		}
	}
	return catchUpLimit, false
}

// TestChangesThatGoOnNeverOutrunALearner has a learner catch up although the log is compacted several times while
// it does: the leader keeps what the learner asks for next, so that one snapshot is enough.
func TestChangesThatGoOnNeverOutrunALearner(t *testing.T) {
	for _, load := range []catchUpLoad{replacingLoad, largeLoad} {
		group := newCatchUpGroup(t, load)
		took, caught := group.catchUp()
		if !caught || group.snapshots != 1 {
			t.Fatalf("%+v: caught up: %t, in %v, after %d snapshots", load, caught, took, group.snapshots)
		}
		t.Logf("%+v: caught up in %v; the leader kept %d KiB at most", load, took, group.keptMost>>10)
		if most := maxCatchUpBytes + compactionBytes + 2*load.entry; group.keptMost > most {
			t.Errorf("%d bytes were kept", group.keptMost)
		}
	}
}

// TestWithoutTheRuleALearnerIsOutrun leaves out that the leader keeps what a learner asks for next.
func TestWithoutTheRuleALearnerIsOutrun(t *testing.T) {
	group := newCatchUpGroup(t, largeLoad, RuleCatchUpRetention)
	if took, caught := group.catchUp(); caught {
		t.Errorf("caught up in %v all the same", took)
	}
	t.Logf("%d snapshots in %v", group.snapshots, catchUpLimit)
}

// TestKeptForACatchUpIsBounded has a learner that answers heartbeats and takes nothing: what is kept for it ends.
func TestKeptForACatchUpIsBounded(t *testing.T) {
	n := newRuleNode(t, storedLog())
	n.config.TrailingEntries = -1
	n.lead()
	n.saved()
	n.hold(2, 2)
	n.hold(3, 2)
	for index := uint64(3); index < 303; index++ {
		n.now += 10 * time.Millisecond
		n.Tick(n.now)
		if _, _, err := n.Propose(n.now, make([]byte, heldChange)); err != nil {
			t.Fatal(err)
		}
		n.saved()
		n.answer(2)
		n.answer(3)
		n.hold(2, index)
		n.saved()
		n.Compact(index, nil, nil)
		if kept := len(n.log.entries) * heldChange; kept > maxCatchUpBytes {
			t.Fatalf("%d bytes are kept after entry %d", kept, index)
		}
	}
	if len(n.log.entries) == 0 {
		t.Fatal("nothing is kept for a member in touch")
	}
}
