package consensus

import (
	"testing"
	"time"
)

// catchUpLoad is a steady load on a group's leader while a learner catches up over a slow link.
type catchUpLoad struct {
	interval      time.Duration // interval between changes
	entryBytes    int           // size of a change
	snapshotBytes int           // size of a snapshot
	bandwidth     int           // of the links to and from the learner, in bytes per second
}

// Loads of the tests: 30 changes per second that each replace a document of 450 routes, and 20 smaller changes
// per second to a document of about 12,000 routes. The bandwidth is little more than the changes need.
var (
	mediumDocumentLoad = catchUpLoad{interval: time.Second / 30, entryBytes: 150 << 10, snapshotBytes: 250 << 10, bandwidth: 5 << 20}
	largeDocumentLoad  = catchUpLoad{interval: time.Second / 20, entryBytes: 90 << 10, snapshotBytes: 4 << 20, bandwidth: 5 << 19}
)

const (
	compactionIntervalBytes = 4 << 20 // size of the entries between two snapshots
	linkLatency             = 200 * time.Millisecond
	catchUpTimeout          = 60 * time.Second
	catchUpTickInterval     = 5 * time.Millisecond
	maxCaughtUpLag          = 3 // entries by which a caught-up learner may lag, besides those in transit
	largeEntryBytes         = 150 << 10
)

// slowLink delivers messages in order, delayed by their transmission time and the latency.
type slowLink struct {
	bandwidth int
	idleAt    time.Duration // when all queued messages are transmitted
	inFlight  []delayedMessage
}

// delayedMessage is a message in transit.
type delayedMessage struct {
	deliverAt time.Duration
	message   Message
}

// enqueue sends a message over the link.
func (l *slowLink) enqueue(now time.Duration, message Message) {
	size := 100
	for i := range message.Entries {
		size += entrySize(&message.Entries[i])
	}
	if message.Snapshot != nil {
		size += len(message.Snapshot.Data)
	}
	l.idleAt = max(l.idleAt, now) + time.Duration(size)*time.Second/time.Duration(l.bandwidth)
	l.inFlight = append(l.inFlight, delayedMessage{deliverAt: l.idleAt + linkLatency, message: message})
}

// receive returns the messages that have arrived.
func (l *slowLink) receive(now time.Duration) []Message {
	var due []Message
	for len(l.inFlight) > 0 && l.inFlight[0].deliverAt <= now {
		due = append(due, l.inFlight[0].message)
		l.inFlight = l.inFlight[1:]
	}
	return due
}

// catchUpGroup is a group of two voters and a learner behind slow links.
type catchUpGroup struct {
	t                                      *testing.T
	load                                   catchUpLoad
	now                                    time.Duration
	nodes                                  map[MemberID]*Node
	toLearner, fromLearner                 slowLink
	snapshots                              int    // number sent to the learner
	compactedIndex                         uint64 // index of the latest snapshot
	bytesSinceCompaction, maxRetainedBytes int
	snapshotData                           []byte
}

const learnerID = 3

func newCatchUpGroup(t *testing.T, load catchUpLoad, omit ...Rule) *catchUpGroup {
	g := &catchUpGroup{t: t, load: load, now: time.Second, nodes: map[MemberID]*Node{}, snapshotData: make([]byte, load.snapshotBytes)}
	g.toLearner.bandwidth, g.fromLearner.bandwidth = load.bandwidth, load.bandwidth
	initialMembers := []Member{{ID: 1, Voter: true}, {ID: 2, Voter: true}, {ID: learnerID}}
	for _, id := range []MemberID{1, 2, learnerID} {
		config := Config{ID: id, ElectionTimeout: 500 * time.Millisecond, HeartbeatInterval: 120 * time.Millisecond,
			MaxAppendBytes: 256 << 10, MaxInflight: 16, Seed: uint64(id), OmitRules: omit}
		stored := PersistedState{}
		if id != learnerID {
			stored = Bootstrap(initialMembers, g.snapshotData)
		}
		g.nodes[id] = New(config, stored, g.now)
	}
	return g
}

// step advances the time by catchUpTickInterval, delivers the messages that are due and runs all members.
func (g *catchUpGroup) step() {
	g.now += catchUpTickInterval
	for _, message := range append(g.toLearner.receive(g.now), g.fromLearner.receive(g.now)...) {
		g.nodes[message.To].Step(g.now, message)
	}
	for range 4 {
		for id := MemberID(1); id <= learnerID; id++ {
			g.runMember(id)
		}
	}
}

// runMember ticks a member if that is due and processes its Ready. Its disk makes writes durable immediately.
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

// proposeChange proposes one change at the leader, and compacts the log as package replica does.
func (g *catchUpGroup) proposeChange() {
	leader := g.leader()
	if leader == nil {
		return
	}
	if _, _, err := leader.Propose(g.now, make([]byte, g.load.entryBytes)); err != nil {
		g.t.Fatalf("proposing a change of %d bytes at %v: %v", g.load.entryBytes, g.now, err)
	}
	g.bytesSinceCompaction += g.load.entryBytes
	if g.bytesSinceCompaction > compactionIntervalBytes && leader.appliedIndex > g.compactedIndex {
		g.bytesSinceCompaction, g.compactedIndex = 0, leader.appliedIndex
		leader.Compact(leader.appliedIndex, nil, g.snapshotData)
	}
	g.maxRetainedBytes = max(g.maxRetainedBytes, len(leader.log.entries)*g.load.entryBytes)
}

// catchUp runs the load until the learner has nearly all entries, and returns the time that this took. It returns
// false if the learner has not caught up within catchUpTimeout.
func (g *catchUpGroup) catchUp() (time.Duration, bool) {
	for g.leader() == nil {
		g.step()
	}
	start, nextProposalAt := g.now, g.now
	for g.now < start+catchUpTimeout {
		for ; nextProposalAt <= g.now; nextProposalAt += g.load.interval {
			g.proposeChange()
		}
		g.step()
		learner, leader := g.nodes[learnerID], g.leader()
		lag := maxCaughtUpLag + uint64(2*linkLatency/g.load.interval)
		if leader != nil && learner.appliedIndex > 1 && learner.appliedIndex+lag >= leader.commitIndex {
			return g.now - start, true
		}
	}
	return catchUpTimeout, false
}

// TestNode_Compact_learnerCatchesUpUnderLoad requires that a learner catches up with a single snapshot although the
// leader compacts the log several times meanwhile, because the leader retains the entries that the learner needs
// next.
func TestNode_Compact_learnerCatchesUpUnderLoad(t *testing.T) {
	for _, load := range []catchUpLoad{mediumDocumentLoad, largeDocumentLoad} {
		group := newCatchUpGroup(t, load)
		elapsed, caughtUp := group.catchUp()
		if !caughtUp || group.snapshots != 1 {
			t.Fatalf("load %+v: caught up %t after %v with %d snapshots, want true with 1 snapshot", load, caughtUp, elapsed, group.snapshots)
		}
		t.Logf("load %+v: caught up in %v; the leader retained at most %d KiB", load, elapsed, group.maxRetainedBytes>>10)
		if limit := maxCatchUpBytes + compactionIntervalBytes + 2*load.entryBytes; group.maxRetainedBytes > limit {
			t.Errorf("load %+v: the leader retained %d bytes, want at most %d", load, group.maxRetainedBytes, limit)
		}
	}
}

// TestNode_Compact_learnerFallsBehindWithoutRetention verifies that a learner does not catch up under load if the
// leader does not retain the entries that it needs next.
func TestNode_Compact_learnerFallsBehindWithoutRetention(t *testing.T) {
	group := newCatchUpGroup(t, largeDocumentLoad, RuleCatchUpRetention)
	if elapsed, caughtUp := group.catchUp(); caughtUp {
		t.Errorf("caught up in %v without RuleCatchUpRetention, want not caught up after %v", elapsed, catchUpTimeout)
	}
	t.Logf("%d snapshots sent in %v", group.snapshots, catchUpTimeout)
}

// TestNode_Compact_catchUpRetentionIsBounded verifies the limit of the entries retained for a member that answers
// heartbeats but acknowledges no further entries.
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
			t.Fatalf("proposing entry %d: %v", index, err)
		}
		n.persistAll()
		n.ackHeartbeat(2)
		n.ackHeartbeat(3)
		n.ackAppend(2, index)
		n.persistAll()
		n.Compact(index, nil, nil)
		if retained := len(n.log.entries) * largeEntryBytes; retained > maxCatchUpBytes {
			t.Fatalf("after compaction up to entry %d: %d bytes retained, want at most %d", index, retained, maxCatchUpBytes)
		}
	}
	if len(n.log.entries) == 0 {
		t.Fatal("no entries retained for an active member that lacks them, want some")
	}
}
