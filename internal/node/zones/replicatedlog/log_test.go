package replicatedlog

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"

	"ospreybend/coord/consensus"
)

// listMachine is a state machine that records the applied commands.
type listMachine struct{ commands []string }

func (l *listMachine) Apply(_ uint64, command []byte) {
	l.commands = append(l.commands, string(command))
}
func (l *listMachine) Snapshot() ([]byte, error) { return []byte(strings.Join(l.commands, ",")), nil }
func (l *listMachine) Restore(state []byte) error {
	l.commands = nil
	if len(state) > 0 {
		l.commands = strings.Split(string(state), ",")
	}
	return nil
}

// cluster is a group of logs. Messages are delivered at once, except from and to partitioned voters.
type cluster struct {
	t           *testing.T
	logs        map[uint64]*Log
	machines    map[uint64]*listMachine
	stored      map[uint64]*StoredState
	partitioned map[uint64]bool
	errs        map[uint64]error // error of Step, by voter; a voter with one no longer runs
}

func newCluster(t *testing.T, ids ...uint64) *cluster {
	c := &cluster{t: t, logs: map[uint64]*Log{}, machines: map[uint64]*listMachine{}, stored: map[uint64]*StoredState{}, partitioned: map[uint64]bool{}, errs: map[uint64]error{}}
	for _, id := range ids {
		stored := Bootstrap(ids)
		c.stored[id] = &stored
		c.start(id)
	}
	return c
}

func (c *cluster) start(id uint64) {
	c.machines[id] = &listMachine{}
	log, err := New(Config{ID: id, ElectionTicks: 8, HeartbeatTicks: 2, SnapshotInterval: 100, Rand: rand.New(rand.NewPCG(id, 1))}, *c.stored[id], c.machines[id])
	if err != nil {
		c.t.Fatal(err)
	}
	c.logs[id] = log
}

func (c *cluster) ids() []uint64 {
	var ids []uint64
	for id := range c.logs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// runUntilIdle advances all voters until none has anything to send or write.
func (c *cluster) runUntilIdle() {
	rounds := 0
	for again := true; again; {
		again = false
		if rounds++; rounds > 10000 {
			c.t.Fatalf("the voters still send or write after %d rounds", rounds-1)
		}
		for _, id := range c.ids() {
			again = c.advance(id) || again
		}
	}
}

// advance sends and writes what a voter's log returns, and reports whether there was anything.
func (c *cluster) advance(id uint64) bool {
	if c.errs[id] != nil {
		return false
	}
	messages, err := c.logs[id].Advance()
	if err != nil {
		c.t.Fatal(err)
	}
	for _, m := range messages {
		c.send(id, m)
	}
	p, ok := c.logs[id].NextPersist()
	if ok {
		c.write(id, p)
		c.logs[id].Persisted(p)
	}
	return ok || len(messages) > 0
}

// send encodes a message, checks that it is decoded unchanged, and delivers it.
func (c *cluster) send(from uint64, m Message) {
	id := uint64(m.To)
	to := c.logs[id]
	if to == nil || c.partitioned[from] || c.partitioned[id] || c.errs[id] != nil {
		return
	}
	read, err := DecodeMessage(EncodeMessage(m))
	if err != nil || !reflect.DeepEqual(read, m) {
		c.t.Fatalf("message %+v decoded as %+v, error %v, want no change", m, read, err)
	}
	c.errs[id] = to.Step(read)
}

func (c *cluster) write(id uint64, p Persist) {
	s := c.stored[id]
	if p.HardState != nil {
		s.HardState = p.HardState
	}
	if p.Snapshot != nil {
		s.Snapshot = p.Snapshot
		s.Entries = slices.DeleteFunc(s.Entries, func(e consensus.Entry) bool { return p.ReplacesEntries || e.Index < p.FirstIndex })
	}
	if len(p.Entries) > 0 {
		first := p.Entries[0].Index
		s.Entries = append(slices.DeleteFunc(s.Entries, func(e consensus.Entry) bool { return e.Index >= first }), p.Entries...)
	}
}

func (c *cluster) tick(n int) {
	for range n {
		for _, id := range c.ids() {
			c.logs[id].Tick()
		}
		c.runUntilIdle()
	}
}

func (c *cluster) leader() uint64 {
	for _, id := range c.ids() {
		if c.logs[id].IsLeader() && !c.partitioned[id] {
			return id
		}
	}
	c.t.Fatal("no voter leads")
	return 0
}

func (c *cluster) propose(command string) {
	c.t.Helper()
	if err := c.logs[c.leader()].Propose([]byte(command)); err != nil {
		c.t.Fatal(err)
	}
	c.runUntilIdle()
}

// A committed command is applied by all voters. A partitioned leader commits nothing, steps down and catches up later.
func TestLog_Propose_needsMajority(t *testing.T) {
	c := newCluster(t, 1, 2, 3)
	c.tick(20)
	c.propose("one")
	old := c.leader()
	c.partitioned[old] = true
	if err := c.logs[old].Propose([]byte("alone")); err != nil {
		t.Fatal(err)
	}
	c.tick(30)
	if c.logs[old].IsLeader() {
		t.Error("a partitioned voter still leads after 30 ticks")
	}
	if err := c.logs[old].Propose([]byte("alone")); !errors.Is(err, ErrNotLeader) {
		t.Errorf("proposal at a partitioned voter: got error %v, want %v", err, ErrNotLeader)
	}
	c.propose("two")
	c.partitioned[old] = false
	c.tick(10)
	for id, machine := range c.machines {
		if !slices.Equal(machine.commands, []string{"one", "two"}) {
			t.Errorf("voter %d applied %v, want [one two]", id, machine.commands)
		}
	}
}

// A voter that lags far behind receives a snapshot, restarted voters continue from their stored state, and voters are
// added and removed one at a time.
func TestLog_snapshotRestartAndVoterChange(t *testing.T) {
	c := newCluster(t, 1, 2, 3)
	c.tick(20)
	lagging := c.leader()%3 + 1
	c.partitioned[lagging] = true
	var want []string
	for i := range 400 {
		want = append(want, fmt.Sprint(i))
		c.propose(fmt.Sprint(i))
	}
	if first := c.stored[c.leader()].Entries[0].Index; first < 200 {
		t.Errorf("the leader stores entries from index %d on, want none before 200", first)
	}
	c.partitioned[lagging] = false
	c.tick(10)
	if !slices.Equal(c.machines[lagging].commands, want) {
		t.Errorf("the lagging voter applied %d commands, want all %d in order", len(c.machines[lagging].commands), len(want))
	}
	for _, id := range c.ids() {
		c.start(id)
	}
	c.tick(30)
	for _, id := range c.ids() {
		if !slices.Equal(c.machines[id].commands, want) {
			t.Errorf("restarted voter %d has %d commands, want all %d in order", id, len(c.machines[id].commands), len(want))
		}
	}
	leader := c.logs[c.leader()]
	if err := leader.ChangeVoters(4, 1); err == nil {
		t.Error("adding and removing a voter in one change was accepted, want an error")
	}
	if err := leader.ChangeVoters(4, 0); err != nil {
		t.Fatal(err)
	}
	c.stored[4] = &StoredState{}
	c.start(4)
	c.tick(10)
	if !slices.Equal(c.machines[4].commands, want) || len(leader.Voters()) != 4 {
		t.Errorf("the new voter applied %d commands, want all %d in order; voters %v, want 4", len(c.machines[4].commands), len(want), leader.Voters())
	}
	removed := c.leader()%3 + 1
	if err := leader.ChangeVoters(0, removed); err != nil {
		t.Fatal(err)
	}
	c.tick(5)
	delete(c.logs, removed)
	c.tick(30)
	c.propose("last")
	if machine := c.machines[4]; machine.commands[len(machine.commands)-1] != "last" || len(c.logs[4].Voters()) != 3 {
		t.Errorf("the new voter's last command is %q, want \"last\"; voters %v, want 3", machine.commands[len(machine.commands)-1], c.logs[4].Voters())
	}
}

// New rejects stored records that contradict each other.
func TestNew_rejectsInvalidStoredState(t *testing.T) {
	gap := Bootstrap([]uint64{1})
	gap.Entries = []consensus.Entry{{Index: 3, Term: 1}}
	commitPastEnd := Bootstrap([]uint64{1})
	commitPastEnd.HardState = &consensus.HardState{Term: 2, Commit: 9}
	for problem, stored := range map[string]StoredState{"gap before the entries": gap, "commit index past the last entry": commitPastEnd} {
		if _, err := New(Config{ID: 1, ElectionTicks: 8, HeartbeatTicks: 2, SnapshotInterval: 9, Rand: rand.New(rand.NewPCG(1, 1))}, stored, &listMachine{}); err == nil {
			t.Errorf("New accepted stored state with this problem: %s", problem)
		}
	}
}

// A voter whose store was restored from an older copy must stop, because the leader counts the entries that the voter
// acknowledged as stored. The other voters continue.
func TestLog_Step_detectsLostAcknowledgedEntries(t *testing.T) {
	c := newCluster(t, 1, 2, 3)
	c.tick(20)
	c.propose("one")
	id := c.leader()%3 + 1
	old := StoredState{HardState: c.stored[id].HardState, Snapshot: c.stored[id].Snapshot, Entries: slices.Clone(c.stored[id].Entries)}
	c.propose("two")
	c.propose("three")
	c.stored[id] = &old
	c.start(id)
	c.tick(10)
	var inconsistent *ConsistencyError
	if err := c.errs[id]; !errors.As(err, &inconsistent) || !errors.Is(err, ErrAcknowledgedLost) {
		t.Errorf("voter %d with lost entries: got error %v, want a ConsistencyError with ErrAcknowledgedLost", id, err)
	}
	for other, err := range c.errs {
		if other != id && err != nil {
			t.Errorf("voter %d, whose store is intact: got error %v, want none", other, err)
		}
	}
}

// While the leader's write is in progress, its messages are sent and the other voters form the majority that commits.
// What is proposed meanwhile is written in one write afterwards.
func TestLog_NextPersist_oneAtATime(t *testing.T) {
	c := newCluster(t, 1, 2, 3)
	c.tick(20)
	id := c.leader()
	leader := c.logs[id]
	if err := leader.Propose([]byte("one")); err != nil {
		t.Fatal(err)
	}
	messages, err := leader.Advance()
	if err != nil {
		t.Fatal(err)
	}
	first, ok := leader.NextPersist()
	if !ok || len(first.Entries) != 1 || len(messages) != 2 {
		t.Fatalf("after a proposal: %d messages and write %+v, want 2 messages and a write of 1 entry", len(messages), first)
	}
	for _, m := range messages {
		c.send(id, m)
	}
	c.tick(2)
	for voter, machine := range c.machines {
		if !slices.Equal(machine.commands, []string{"one"}) {
			t.Errorf("voter %d applied %v during the leader's write, want [one]", voter, machine.commands)
		}
	}
	c.propose("two")
	c.propose("three")
	if _, ok := leader.NextPersist(); ok {
		t.Error("NextPersist returned a second write while one is in progress")
	}
	c.write(id, first)
	leader.Persisted(first)
	second, ok := leader.NextPersist()
	if !ok || len(second.Entries) != 2 {
		t.Errorf("second write: got %+v, want 2 entries", second)
	}
	c.write(id, second)
	leader.Persisted(second)
	c.start(id)
	c.tick(30)
	if want := []string{"one", "two", "three"}; !slices.Equal(c.machines[id].commands, want) {
		t.Errorf("after its restart voter %d has %v, want %v", id, c.machines[id].commands, want)
	}
}

// Leader returns 0 once the leader has sent nothing for ElectionTicks.
func TestLog_Leader_forgottenAfterTimeout(t *testing.T) {
	c := newCluster(t, 1, 2, 3)
	c.tick(20)
	leader := c.leader()
	other := leader%3 + 1
	c.partitioned[other] = true
	for range 6 { // the last heartbeat was one tick ago at most
		c.logs[other].Tick()
	}
	if got := c.logs[other].Leader(); got != leader {
		t.Errorf("leader before the timeout: got %d, want %d", got, leader)
	}
	for range 2 {
		c.logs[other].Tick()
	}
	if got := c.logs[other].Leader(); got != 0 {
		t.Errorf("leader after the timeout: got %d, want 0", got)
	}
}
