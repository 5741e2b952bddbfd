package consensus

import (
	"testing"
	"time"
)

// catchUpLoad is the steady load of a group's leader while a learner catches up over a slow link.
type catchUpLoad struct {
	interval      time.Duration // between two changes
	entryBytes    int           // bytes of a change
	snapshotBytes int           // bytes of a snapshot
	bandwidth     int           // of the link to the learner, bytes a second
}

// Loads of the tests: 30 changes a second that each replace a document of 450 routes, and 20 smaller ones a
// second to a document of some 12,000 routes. The link has little more bandwidth than the changes need.
var (
	replacingLoad = catchUpLoad{interval: time.Second / 30, entryBytes: 150 << 10, snapshotBytes: 250 << 10, bandwidth: 5 << 20}
	largeLoad     = catchUpLoad{interval: time.Second / 20, entryBytes: 90 << 10, snapshotBytes: 4 << 20, bandwidth: 5 << 19}
)

const (
	compactionBytes = 4 << 20 // bytes of the log between two snapshots
	linkLatency     = 200 * time.Millisecond
	catchUpLimit    = 60 * time.Second
	catchUpStep     = 5 * time.Millisecond
	caughtUpLag     = 3 // changes that may be in flight
	largeEntryBytes = 150 << 10
)

// slowLink delivers messages in order, after the time that their bytes and the latency take.
type slowLink struct {
	bandwidth int
	idleAt    time.Duration // when it has sent everything that was queued
	inFlight  []delayedMessage
}

type delayedMessage struct {
	at      time.Duration
	message Message
}

func (l *slowLink) enqueue(now time.Duration, message Message) {
	size := 100
	for at := range message.Entries {
		size += entrySize(&message.Entries[at])
	}
	if message.Snapshot != nil {
		size += len(message.Snapshot.Data)
	}
	l.idleAt = max(l.idleAt, now) + time.Duration(size)*time.Second/time.Duration(l.bandwidth)
	l.inFlight = append(l.inFlight, delayedMessage{at: l.idleAt + linkLatency, message: message})
}

func (l *slowLink) receive(now time.Duration) []Message {
	var due []Message
	for len(l.inFlight) > 0 && l.inFlight[0].at <= now {
		due = append(due, l.inFlight[0].message)
		l.inFlight = l.inFlight[1:]
	}
	return due
}

// catchUpGroup is a leader, a second voter and a learner behind slow links.
type catchUpGroup struct {
	t                                      *testing.T
	load                                   catchUpLoad
	now                                    time.Duration
	nodes                                  map[MemberID]*Node
	toLearner, fromLearner                 slowLink
	snapshots                              int    // sent to the learner
	compactedIndex                         uint64 // of the latest snapshot
	bytesSinceCompaction, maxRetainedBytes int
	snapshotData                           []byte
}

const learnerID = 3

func newCatchUpGroup(t *testing.T, load catchUpLoad, omit ...Rule) *catchUpGroup {
	g := &catchUpGroup{t: t, load: load, now: time.Second, nodes: map[MemberID]*Node{}, snapshotData: make([]byte, load.snapshotBytes)}
	g.toLearner.bandwidth, g.fromLearner.bandwidth = load.bandwidth, load.bandwidth
	founders := []Member{{ID: 1, Voter: true}, {ID: 2, Voter: true}, {ID: learnerID}}
	for _, id := range []MemberID{1, 2, learnerID} {
		config := Config{ID: id, ElectionTimeout: 500 * time.Millisecond, HeartbeatInterval: 120 * time.Millisecond,
			MaxAppendBytes: 256 << 10, MaxInflight: 16, Seed: uint64(id), OmitRules: omit}
		stored := PersistedState{}
		if id != learnerID {
			stored = Bootstrap(founders, g.snapshotData)
		}
		g.nodes[id] = New(config, stored, g.now)
	}
	return g
}

// step advances the time by catchUpStep.
func (g *catchUpGroup) step() {
	g.now += catchUpStep
	for _, message := range append(g.toLearner.receive(g.now), g.fromLearner.receive(g.now)...) {
		g.nodes[message.To].Step(g.now, message)
	}
	for range 4 {
		for id := MemberID(1); id <= learnerID; id++ {
			g.runMember(id)
		}
	}
}

func (g *catchUpGroup) runMember(id MemberID) {
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
			g.toLearner.enqueue(g.now, message)
		case message.From == learnerID:
			g.fromLearner.enqueue(g.now, message)
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

// change proposes one change, and compacts the log as a replica does.
func (g *catchUpGroup) change() {
	leader := g.leader()
	if leader == nil {
		return
	}
	if _, _, err := leader.Propose(g.now, make([]byte, g.load.entryBytes)); err != nil {
		g.t.Fatal(err)
	}
	g.bytesSinceCompaction += g.load.entryBytes
	if g.bytesSinceCompaction > compactionBytes && leader.appliedIndex > g.compactedIndex {
		g.bytesSinceCompaction, g.compactedIndex = 0, leader.appliedIndex
		leader.Compact(leader.appliedIndex, nil, g.snapshotData)
	}
	g.maxRetainedBytes = max(g.maxRetainedBytes, len(leader.log.entries)*g.load.entryBytes)
}

// catchUp returns how long the learner took to have nearly all entries, and false after catchUpLimit.
func (g *catchUpGroup) catchUp() (time.Duration, bool) {
	for g.leader() == nil {
		g.step()
	}
	began, next := g.now, g.now
	for g.now < began+catchUpLimit {
		for ; next <= g.now; next += g.load.interval {
			g.change()
		}
		g.step()
		learner, leader := g.nodes[learnerID], g.leader()
		lag := caughtUpLag + uint64(2*linkLatency/g.load.interval)
		if leader != nil && learner.appliedIndex > 1 && learner.appliedIndex+lag >= leader.commitIndex {
			return g.now - began, true
		}
	}
	return catchUpLimit, false
}

// TestNode_Compact_learnerCatchesUpUnderLoad has a learner catch up although the log is compacted several
// times meanwhile: the leader retains what the learner needs next, so that one snapshot is enough.
func TestNode_Compact_learnerCatchesUpUnderLoad(t *testing.T) {
	for _, load := range []catchUpLoad{replacingLoad, largeLoad} {
		group := newCatchUpGroup(t, load)
		took, caught := group.catchUp()
		if !caught || group.snapshots != 1 {
			t.Fatalf("%+v: caught up: %t, in %v, after %d snapshots", load, caught, took, group.snapshots)
		}
		t.Logf("%+v: caught up in %v; the leader retained %d KiB at most", load, took, group.maxRetainedBytes>>10)
		if most := maxCatchUpBytes + compactionBytes + 2*load.entryBytes; group.maxRetainedBytes > most {
			t.Errorf("%d bytes were retained", group.maxRetainedBytes)
		}
	}
}

// TestNode_Compact_learnerFallsBehindWithoutRetention disables the rule that the leader retains what a
// learner needs next.
func TestNode_Compact_learnerFallsBehindWithoutRetention(t *testing.T) {
	group := newCatchUpGroup(t, largeLoad, RuleCatchUpRetention)
	if took, caught := group.catchUp(); caught {
		t.Errorf("caught up in %v without the rule", took)
	}
	t.Logf("%d snapshots in %v", group.snapshots, catchUpLimit)
}

// TestNode_Compact_catchUpRetentionIsBounded has a learner that answers heartbeats and acknowledges no
// entries: what is retained for it is bounded.
func TestNode_Compact_catchUpRetentionIsBounded(t *testing.T) {
	n := newRuleNode(t, persistedLog())
	n.config.TrailingEntries = -1
	n.becomeLeader()
	n.persistAll()
	n.ackAppend(2, 2)
	n.ackAppend(3, 2)
	for index := uint64(3); index < 303; index++ {
		n.now += 10 * time.Millisecond
		n.Tick(n.now)
		if _, _, err := n.Propose(n.now, make([]byte, largeEntryBytes)); err != nil {
			t.Fatal(err)
		}
		n.persistAll()
		n.ackHeartbeat(2)
		n.ackHeartbeat(3)
		n.ackAppend(2, index)
		n.persistAll()
		n.Compact(index, nil, nil)
		if retained := len(n.log.entries) * largeEntryBytes; retained > maxCatchUpBytes {
			t.Fatalf("%d bytes are retained after entry %d", retained, index)
		}
	}
	if len(n.log.entries) == 0 {
		t.Fatal("nothing is retained for an active member")
	}
}
