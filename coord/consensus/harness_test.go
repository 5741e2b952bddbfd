package consensus

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

const (
	testElection  = 1000 * time.Millisecond
	testHeartbeat = 100 * time.Millisecond
	testStep      = 20 * time.Millisecond
)

// testStorage is what a member has made durable.
type testStorage struct {
	stored PersistedState
}

func (d *testStorage) write(persist *PersistRequest) {
	if persist.Snapshot != nil {
		d.stored.Snapshot = *persist.Snapshot
		d.stored.Entries = nil
	}
	if len(persist.Entries) > 0 {
		keep := persist.Entries[0].Index - d.stored.Snapshot.Index - 1
		d.stored.Entries = append(slices.Clone(d.stored.Entries[:keep]), persist.Entries...)
	}
	if persist.HardState != nil {
		d.stored.HardState = *persist.HardState
	}
}

// testMember is a node with its storage and what its state machine was given.
type testMember struct {
	node          *Node
	storage       testStorage
	pendingWrites []*PersistRequest // not durable while its disk is stalled
	stalled       bool
	stopped       bool
	applied       []string
	reads         []ReadResult
	restoredState string // of the last restored snapshot
}

// testGroup is a group of members with a network that delivers at once.
type testGroup struct {
	t           *testing.T
	now         time.Duration
	members     map[MemberID]*testMember
	order       []MemberID
	queue       []Message
	dropMessage func(Message) bool
	sent        int
}

func testConfig(id MemberID) Config {
	return Config{
		ID:                id,
		ElectionTimeout:   testElection,
		HeartbeatInterval: testHeartbeat,
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
	g.order = append(g.order, id)
}

// restart starts a member from what its storage has.
func (g *testGroup) restart(id MemberID) {
	member := g.members[id]
	member.pendingWrites, member.applied, member.stopped = nil, nil, false
	member.node = New(testConfig(id), member.storage.stored, g.now)
}

// processReady does what a member asks for.
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
	g.sent += len(ready.Messages)
	if ready.Persist != nil {
		member.pendingWrites = append(member.pendingWrites, ready.Persist)
	}
	if !member.stalled {
		g.sync(id)
	}
}

// sync makes a member's pending writes durable.
func (g *testGroup) sync(id MemberID) {
	member := g.members[id]
	for _, persist := range member.pendingWrites {
		member.storage.write(persist)
		member.node.Persisted(g.now, persist.Sequence)
	}
	member.pendingWrites = nil
}

// deliverAll delivers messages until no member sends any more.
func (g *testGroup) deliverAll() {
	for quiet := 0; quiet < 2; {
		for _, id := range g.order {
			g.processReady(id)
		}
		if len(g.queue) == 0 {
			quiet++
			continue
		}
		quiet = 0
		g.deliver()
	}
}

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

// run advances the time and ticks the members that are due.
func (g *testGroup) run(span time.Duration) {
	for end := g.now + span; g.now < end; {
		g.now += testStep
		for _, id := range g.order {
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
	for _, id := range g.order {
		status := g.members[id].node.Status()
		if !g.members[id].stopped && status.Role == RoleLeader && status.Term > term {
			leader, term = id, status.Term
		}
	}
	return leader
}

// elect runs the group until it must have a leader, and returns its node.
func (g *testGroup) elect() *Node {
	g.t.Helper()
	g.run(4 * testElection)
	id := g.leader()
	if id == 0 {
		g.t.Fatal("no leader")
	}
	return g.members[id].node
}

// propose proposes a command at the leader and delivers all messages.
func (g *testGroup) propose(data string) {
	g.t.Helper()
	if _, _, err := g.members[g.leader()].node.Propose(g.now, []byte(data)); err != nil {
		g.t.Fatal(err)
	}
	g.deliverAll()
}

// change proposes a membership change at the leader and delivers all messages.
func (g *testGroup) change(change MembershipChange) {
	g.t.Helper()
	if err := g.members[g.leader()].node.ChangeMembers(g.now, change); err != nil {
		g.t.Fatal(err)
	}
	g.deliverAll()
}

// wantApplied fails the test unless a member has applied these commands.
func (g *testGroup) wantApplied(id MemberID, want ...string) {
	g.t.Helper()
	if got := g.members[id].applied; !slices.Equal(got, want) {
		g.t.Fatalf("member %d applied %q, want %q", id, got, want)
	}
}

// others returns all members but one.
func (g *testGroup) others(id MemberID) []MemberID {
	return slices.DeleteFunc(slices.Clone(g.order), func(other MemberID) bool { return other == id })
}
