package consensus

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

const (
	testElectionTimeout   = 1000 * time.Millisecond
	testHeartbeatInterval = 100 * time.Millisecond
	testTickInterval      = 20 * time.Millisecond
)

// testStorage is the state that a member has made durable.
type testStorage struct {
	stored PersistedState
}

// write makes a PersistRequest durable.
func (s *testStorage) write(persist *PersistRequest) {
	if persist.Snapshot != nil {
		s.stored.Snapshot = *persist.Snapshot
		s.stored.Entries = nil
	}
	if len(persist.Entries) > 0 {
		keptCount := persist.Entries[0].Index - s.stored.Snapshot.Index - 1
		s.stored.Entries = append(slices.Clone(s.stored.Entries[:keptCount]), persist.Entries...)
	}
	if persist.HardState != nil {
		s.stored.HardState = *persist.HardState
	}
}

// testMember is a node with its storage and the output to its state machine.
type testMember struct {
	node          *Node
	storage       testStorage
	pendingWrites []*PersistRequest // not durable yet; kept while diskStalled is set
	diskStalled   bool
	stopped       bool
	applied       []string
	reads         []ReadResult
	restoredState string // data of the last restored snapshot
}

// testGroup is a group of members with a network without latency.
type testGroup struct {
	t            *testing.T
	now          time.Duration
	members      map[MemberID]*testMember
	ids          []MemberID
	queue        []Message
	dropMessage  func(Message) bool
	sentMessages int
}

func testConfig(id MemberID) Config {
	return Config{
		ID:                id,
		ElectionTimeout:   testElectionTimeout,
		HeartbeatInterval: testHeartbeatInterval,
		MaxAppendBytes:    1 << 10,
		MaxInflight:       4,
		Seed:              7,
	}
}

func testVoters(ids ...MemberID) []Member {
	var members []Member
	for _, id := range ids {
		members = append(members, Member{ID: id, Address: fmt.Sprintf("10.0.0.%d:1", id), Voter: true})
	}
	return members
}

func newTestGroup(t *testing.T, ids ...MemberID) *testGroup {
	g := &testGroup{t: t, members: map[MemberID]*testMember{}}
	for _, id := range ids {
		g.add(id, Bootstrap(testVoters(ids...), nil))
	}
	return g
}

func (g *testGroup) add(id MemberID, stored PersistedState) {
	member := &testMember{storage: testStorage{stored: stored}}
	member.node = New(testConfig(id), stored, g.now)
	g.members[id] = member
	g.ids = append(g.ids, id)
}

// restart starts a member from the state in its storage.
func (g *testGroup) restart(id MemberID) {
	member := g.members[id]
	member.pendingWrites, member.applied, member.stopped = nil, nil, false
	member.node = New(testConfig(id), member.storage.stored, g.now)
}

// processReady processes a member's Ready: it applies entries, queues messages and, unless the disk is stalled,
// makes writes durable.
func (g *testGroup) processReady(id MemberID) {
	member := g.members[id]
	if member.stopped {
		return
	}
	ready := member.node.Ready()
	if ready.Restore != nil {
		member.restoredState, member.applied = string(ready.Restore.Data), nil
	}
	for _, entry := range ready.Committed {
		if entry.Kind == EntryCommand {
			member.applied = append(member.applied, string(entry.Data))
		}
	}
	member.reads = append(member.reads, ready.Reads...)
	g.queue = append(g.queue, ready.Messages...)
	g.sentMessages += len(ready.Messages)
	if ready.Persist != nil {
		member.pendingWrites = append(member.pendingWrites, ready.Persist)
	}
	if !member.diskStalled {
		g.syncDisk(id)
	}
}

// syncDisk makes a member's pending writes durable.
func (g *testGroup) syncDisk(id MemberID) {
	member := g.members[id]
	for _, persist := range member.pendingWrites {
		member.storage.write(persist)
		member.node.Persisted(g.now, persist.Sequence)
	}
	member.pendingWrites = nil
}

// deliverAll delivers messages until no member sends any more.
func (g *testGroup) deliverAll() {
	for idleRounds := 0; idleRounds < 2; {
		for _, id := range g.ids {
			g.processReady(id)
		}
		if len(g.queue) == 0 {
			idleRounds++
			continue
		}
		idleRounds = 0
		g.deliver()
	}
}

// deliver delivers the queued messages, except those that dropMessage drops.
func (g *testGroup) deliver() {
	queue := g.queue
	g.queue = nil
	for _, message := range queue {
		member := g.members[message.To]
		if member == nil || member.stopped || (g.dropMessage != nil && g.dropMessage(message)) {
			continue
		}
		member.node.Step(g.now, message)
	}
}

// run advances the time by duration. In each step it ticks the members that are due and delivers all messages.
func (g *testGroup) run(duration time.Duration) {
	for end := g.now + duration; g.now < end; {
		g.now += testTickInterval
		for _, id := range g.ids {
			member := g.members[id]
			if !member.stopped && g.now >= member.node.NextTick() {
				member.node.Tick(g.now)
			}
		}
		g.deliverAll()
	}
}

// leader returns the leader of the highest term, 0 if there is none.
func (g *testGroup) leader() MemberID {
	var leader MemberID
	var term uint64
	for _, id := range g.ids {
		status := g.members[id].node.Status()
		if !g.members[id].stopped && status.Role == RoleLeader && status.Term > term {
			leader, term = id, status.Term
		}
	}
	return leader
}

// elect runs the group for four election timeouts and returns the node of the leader. It fails the test if there
// is none.
func (g *testGroup) elect() *Node {
	g.t.Helper()
	g.run(4 * testElectionTimeout)
	id := g.leader()
	if id == 0 {
		g.t.Fatalf("no leader after %v", 4*testElectionTimeout)
	}
	return g.members[id].node
}

// propose proposes a command at the leader and delivers all messages.
func (g *testGroup) propose(data string) {
	g.t.Helper()
	if _, _, err := g.members[g.leader()].node.Propose(g.now, []byte(data)); err != nil {
		g.t.Fatalf("proposing %q at member %d: %v", data, g.leader(), err)
	}
	g.deliverAll()
}

// changeMembers proposes a membership change at the leader and delivers all messages.
func (g *testGroup) changeMembers(change MembershipChange) {
	g.t.Helper()
	if err := g.members[g.leader()].node.ChangeMembers(g.now, change); err != nil {
		g.t.Fatalf("membership change %+v at member %d: %v", change, g.leader(), err)
	}
	g.deliverAll()
}

// wantApplied fails the test unless a member has applied exactly these commands.
func (g *testGroup) wantApplied(id MemberID, want ...string) {
	g.t.Helper()
	if got := g.members[id].applied; !slices.Equal(got, want) {
		g.t.Fatalf("member %d applied %q, want %q", id, got, want)
	}
}

// others returns all members but one.
func (g *testGroup) others(id MemberID) []MemberID {
	return slices.DeleteFunc(slices.Clone(g.ids), func(other MemberID) bool { return other == id })
}
