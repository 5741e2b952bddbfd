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

// listMachine is a state machine that records its commands.
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

// cluster is a group of logs whose messages arrive at once, except at partitioned voters.
type cluster struct {
	t      *testing.T
	logs   map[uint64]*Log
	of     map[uint64]*listMachine
	stored map[uint64]*StoredState
	cut    map[uint64]bool
	ends   map[uint64]error // errors by voter
}

func newCluster(t *testing.T, ids ...uint64) *cluster {
	v := &cluster{t: t, logs: map[uint64]*Log{}, of: map[uint64]*listMachine{}, stored: map[uint64]*StoredState{}, cut: map[uint64]bool{}, ends: map[uint64]error{}}
	for _, id := range ids {
		k := Bootstrap(ids)
		v.stored[id] = &k
		v.start(id)
	}
	return v
}

func (v *cluster) start(id uint64) {
	v.of[id] = &listMachine{}
	log, err := New(Config{ID: id, ElectionTicks: 8, HeartbeatTicks: 2, SnapshotInterval: 100, Rand: rand.New(rand.NewPCG(id, 1))}, *v.stored[id], v.of[id])
	if err != nil {
		v.t.Fatal(err)
	}
	v.logs[id] = log
}

func (v *cluster) ids() []uint64 {
	var ids []uint64
	for id := range v.logs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// runUntilIdle writes, sends and applies until nothing is left to do.
func (v *cluster) runUntilIdle() {
	rounds := 0
	for again := true; again; {
		again = false
		if rounds++; rounds > 10000 {
			v.t.Fatal("the voters never become idle")
		}
		for _, id := range v.ids() {
			again = v.advance(id) || again
		}
	}
}

// advance sends and writes what a voter returns, and reports whether there was anything.
func (v *cluster) advance(id uint64) bool {
	if v.ends[id] != nil {
		return false
	}
	messages, err := v.logs[id].Advance()
	if err != nil {
		v.t.Fatal(err)
	}
	for _, m := range messages {
		v.send(id, m)
	}
	p, ok := v.logs[id].NextPersist()
	if ok {
		v.write(id, p)
		v.logs[id].Persisted(p)
	}
	return ok || len(messages) > 0
}

// send delivers a message by its encoding.
func (v *cluster) send(from uint64, m Message) {
	id := uint64(m.To)
	to := v.logs[id]
	if to == nil || v.cut[from] || v.cut[id] || v.ends[id] != nil {
		return
	}
	read, err := DecodeMessage(EncodeMessage(m))
	if err != nil || !reflect.DeepEqual(read, m) {
		v.t.Fatalf("%+v is decoded as %+v, %v", m, read, err)
	}
	v.ends[id] = to.Step(read)
}

func (v *cluster) write(id uint64, p Persist) {
	s := v.stored[id]
	if p.HardState != nil {
		s.HardState = p.HardState
	}
	if p.Snapshot != nil {
		s.Snapshot = p.Snapshot
		s.Entries = slices.DeleteFunc(s.Entries, func(e consensus.Entry) bool { return p.Replaces || e.Index < p.First })
	}
	if len(p.Entries) > 0 {
		first := p.Entries[0].Index
		s.Entries = append(slices.DeleteFunc(s.Entries, func(e consensus.Entry) bool { return e.Index >= first }), p.Entries...)
	}
}

func (v *cluster) tick(n int) {
	for range n {
		for _, id := range v.ids() {
			v.logs[id].Tick()
		}
		v.runUntilIdle()
	}
}

func (v *cluster) leader() uint64 {
	for _, id := range v.ids() {
		if v.logs[id].IsLeader() && !v.cut[id] {
			return id
		}
	}
	v.t.Fatal("no voter leads")
	return 0
}

func (v *cluster) propose(command string) {
	v.t.Helper()
	if err := v.logs[v.leader()].Propose([]byte(command)); err != nil {
		v.t.Fatal(err)
	}
	v.runUntilIdle()
}

// A command is applied by all voters; a minority commits nothing and catches up later.
func TestLog_Propose_needsMajority(t *testing.T) {
	v := newCluster(t, 1, 2, 3)
	v.tick(20)
	v.propose("one")
	old := v.leader()
	v.cut[old] = true
	if err := v.logs[old].Propose([]byte("alone")); err != nil {
		t.Fatal(err)
	}
	v.tick(30)
	if v.logs[old].IsLeader() {
		t.Error("a partitioned voter still leads")
	}
	if err := v.logs[old].Propose([]byte("alone")); !errors.Is(err, ErrNotLeader) {
		t.Errorf("a minority accepts a command: %v", err)
	}
	v.propose("two")
	v.cut[old] = false
	v.tick(10)
	for id, of := range v.of {
		if !slices.Equal(of.commands, []string{"one", "two"}) {
			t.Errorf("voter %d has %v", id, of.commands)
		}
	}
}

// A voter that lags far gets a snapshot, a restarted one continues from its stored state, and voters are replaced one
// at a time.
func TestLog_snapshotRestartAndVoterChange(t *testing.T) {
	v := newCluster(t, 1, 2, 3)
	v.tick(20)
	lagging := v.leader()%3 + 1
	v.cut[lagging] = true
	var want []string
	for i := range 400 {
		want = append(want, fmt.Sprint(i))
		v.propose(fmt.Sprint(i))
	}
	if first := v.stored[v.leader()].Entries[0].Index; first < 200 {
		t.Errorf("entries from %d on are retained", first)
	}
	v.cut[lagging] = false
	v.tick(10)
	if !slices.Equal(v.of[lagging].commands, want) {
		t.Errorf("the lagging voter has %d commands of %d", len(v.of[lagging].commands), len(want))
	}
	for _, id := range v.ids() {
		v.start(id)
	}
	v.tick(30)
	for _, id := range v.ids() {
		if !slices.Equal(v.of[id].commands, want) {
			t.Errorf("voter %d starts with %d commands of %d", id, len(v.of[id].commands), len(want))
		}
	}
	leader := v.logs[v.leader()]
	if err := leader.ChangeVoters(4, 1); err == nil {
		t.Error("two changes are accepted at once")
	}
	if err := leader.ChangeVoters(4, 0); err != nil {
		t.Fatal(err)
	}
	v.stored[4] = &StoredState{}
	v.start(4)
	v.tick(10)
	if !slices.Equal(v.of[4].commands, want) || len(leader.Voters()) != 4 {
		t.Errorf("the new voter has %d commands of %d; the voters are %v", len(v.of[4].commands), len(want), leader.Voters())
	}
	gone := v.leader()%3 + 1
	if err := leader.ChangeVoters(0, gone); err != nil {
		t.Fatal(err)
	}
	v.tick(5)
	delete(v.logs, gone)
	v.tick(30)
	v.propose("last")
	if of := v.of[4]; of.commands[len(of.commands)-1] != "last" || len(v.logs[4].Voters()) != 3 {
		t.Errorf("the new voter ends with %q; the voters are %v", of.commands[len(of.commands)-1], v.logs[4].Voters())
	}
}

func TestNew_rejectsInvalidStoredState(t *testing.T) {
	hole := Bootstrap([]uint64{1})
	hole.Entries = []consensus.Entry{{Index: 3, Term: 1}}
	ahead := Bootstrap([]uint64{1})
	ahead.HardState = &consensus.HardState{Term: 2, Commit: 9}
	for name, k := range map[string]StoredState{"a hole": hole, "committed beyond the log": ahead} {
		if _, err := New(Config{ID: 1, ElectionTicks: 8, HeartbeatTicks: 2, SnapshotInterval: 9, Rand: rand.New(rand.NewPCG(1, 1))}, k, &listMachine{}); err == nil {
			t.Errorf("%s is accepted", name)
		}
	}
}

// A voter whose store was restored from an older copy stops: the leader relies on entries that it acknowledged.
func TestLog_Step_detectsLostAcknowledgedEntries(t *testing.T) {
	v := newCluster(t, 1, 2, 3)
	v.tick(20)
	v.propose("one")
	id := v.leader()%3 + 1
	old := StoredState{HardState: v.stored[id].HardState, Snapshot: v.stored[id].Snapshot, Entries: slices.Clone(v.stored[id].Entries)}
	v.propose("two")
	v.propose("three")
	v.stored[id] = &old
	v.start(id)
	v.tick(10)
	var broken *ConsistencyError
	if err := v.ends[id]; !errors.As(err, &broken) || !errors.Is(err, ErrAcknowledgedLost) {
		t.Errorf("it continues, with %v", err)
	}
	for other, err := range v.ends {
		if other != id && err != nil {
			t.Errorf("voter %d ends with %v", other, err)
		}
	}
}

// While the leader's write is in progress its messages go out, the others commit without it, and what arrives
// meanwhile is written at once afterwards.
func TestLog_NextPersist_oneAtATime(t *testing.T) {
	v := newCluster(t, 1, 2, 3)
	v.tick(20)
	id := v.leader()
	leader := v.logs[id]
	if err := leader.Propose([]byte("one")); err != nil {
		t.Fatal(err)
	}
	messages, err := leader.Advance()
	if err != nil {
		t.Fatal(err)
	}
	first, ok := leader.NextPersist()
	if !ok || len(first.Entries) != 1 || len(messages) != 2 {
		t.Fatalf("%d messages, to write %+v", len(messages), first)
	}
	for _, m := range messages {
		v.send(id, m)
	}
	v.tick(2)
	for of, machine := range v.of {
		if !slices.Equal(machine.commands, []string{"one"}) {
			t.Errorf("voter %d has %v", of, machine.commands)
		}
	}
	v.propose("two")
	v.propose("three")
	if _, ok := leader.NextPersist(); ok {
		t.Error("two writes in progress")
	}
	v.write(id, first)
	leader.Persisted(first)
	rest, ok := leader.NextPersist()
	if !ok || len(rest.Entries) != 2 {
		t.Errorf("to write then %+v", rest)
	}
	v.write(id, rest)
	leader.Persisted(rest)
	v.start(id)
	v.tick(30)
	if want := []string{"one", "two", "three"}; !slices.Equal(v.of[id].commands, want) {
		t.Errorf("after the restart it has %v", v.of[id].commands)
	}
}

// A leader that was not heard for an election timeout is no longer returned.
func TestLog_Leader_forgottenAfterTimeout(t *testing.T) {
	v := newCluster(t, 1, 2, 3)
	v.tick(20)
	leader := v.leader()
	other := leader%3 + 1
	v.cut[other] = true
	for range 6 { // the last heartbeat was one tick ago at most
		v.logs[other].Tick()
	}
	if got := v.logs[other].Leader(); got != leader {
		t.Errorf("before it: %d, not %d", got, leader)
	}
	for range 2 {
		v.logs[other].Tick()
	}
	if got := v.logs[other].Leader(); got != 0 {
		t.Errorf("after it: %d", got)
	}
}
