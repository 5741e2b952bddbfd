package replica

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"ospreybend/coord/agreement"
	"ospreybend/coord/seglog/seglogtest"
)

const (
	testDelay    = 2 * time.Millisecond // of a message
	testDuration = 20 * time.Second     // until a test gives up, on the fake clock
)

// listMachine keeps all commands in order.
type listMachine struct{ Commands []string }

func (m *listMachine) Apply(entry agreement.Entry) any {
	m.Commands = append(m.Commands, string(entry.Data))
	return len(m.Commands)
}

func (m *listMachine) Snapshot() []byte {
	data, err := json.Marshal(m)
	if err != nil {
		panic(err)
	}
	return data
}

func (m *listMachine) Restore(_ uint64, data []byte) error {
	m.Commands = nil
	return json.Unmarshal(data, m)
}

type fakeClock struct{ now time.Duration }

func (c *fakeClock) Now() time.Duration { return c.now }

// envelope is a message on its way.
type envelope struct {
	due     time.Duration
	message agreement.Message
}

// peer is one process with its disk.
type peer struct {
	member  agreement.Member
	disk    *seglogtest.Disk
	group   *Group
	machine *listMachine
	cut     bool          // no messages in or out
	stalled bool          // its writer does not run
	retryAt time.Duration // of a failed write; 0: none
}

// cluster is a group whose loops, writers and network are driven by hand.
type cluster struct {
	t       *testing.T
	clock   *fakeClock
	peers   []*peer
	network []envelope
}

func testMember(number int, voter bool) agreement.Member {
	return agreement.Member{
		ID:      agreement.MemberID(number),
		Address: fmt.Sprintf("10.1.0.%d:7660", number),
		Voter:   voter,
	}
}

func newCluster(t *testing.T, founders int) *cluster {
	c := &cluster{t: t, clock: &fakeClock{now: time.Second}}
	var members []agreement.Member
	for number := 1; number <= founders; number++ {
		members = append(members, testMember(number, true))
	}
	for _, member := range members {
		c.add(member, members)
	}
	return c
}

func (c *cluster) add(member agreement.Member, founders []agreement.Member) *peer {
	added := &peer{member: member, disk: seglogtest.NewDisk()}
	c.peers = append(c.peers, added)
	c.open(added, founders)
	return added
}

func (c *cluster) open(p *peer, founders []agreement.Member) {
	c.t.Helper()
	p.machine = &listMachine{}
	group, err := Open(Options{
		Directory:  "group",
		FileSystem: p.disk,
		Self:       p.member,
		Founders:   founders,
		Machine:    p.machine,
		Send:       func(_ agreement.Member, message agreement.Message) { c.send(p, message) },
		Clock:      c.clock,
	})
	if err != nil {
		c.t.Fatal(err)
	}
	p.group = group
}

// restart ends a process and starts it again from its disk, after a loss of power if asked.
func (c *cluster) restart(p *peer, powerLoss bool, seed uint64) {
	if powerLoss {
		p.disk.LosePower(seglogtest.NewRandom(seed))
	} else {
		p.disk.Restart()
	}
	p.group.loop.stop(p.group.inbox.close())
	p.stalled, p.retryAt = false, 0
	c.open(p, nil)
}

func (c *cluster) send(from *peer, message agreement.Message) {
	if !from.cut {
		c.network = append(c.network, envelope{due: c.clock.now + testDelay, message: message})
	}
}

// step goes on to the next moment at which something is due and does it.
func (c *cluster) step() {
	c.clock.now = max(c.clock.now, c.nextDue())
	c.deliver()
	for _, p := range c.peers {
		p.work(c.clock.now)
	}
}

func (c *cluster) nextDue() time.Duration {
	due := never
	for _, one := range c.network {
		due = min(due, one.due)
	}
	for _, p := range c.peers {
		if len(p.group.inbox.events) > 0 {
			return c.clock.now
		}
		due = min(due, p.group.loop.next())
		if p.retryAt > 0 {
			due = min(due, p.retryAt)
		}
	}
	return due
}

func (c *cluster) deliver() {
	var later []envelope
	for _, one := range c.network {
		if one.due > c.clock.now {
			later = append(later, one)
			continue
		}
		if to := c.peer(one.message.To); to != nil && !to.cut {
			to.group.Step(one.message)
		}
	}
	c.network = later
}

func (p *peer) work(now time.Duration) {
	if len(p.group.inbox.events) > 0 || now >= p.group.loop.next() {
		p.group.loop.turn(p.group.inbox.take())
	}
	if p.stalled || now < p.retryAt {
		return
	}
	p.retryAt = 0
	if pause := p.group.writer.step(); pause > 0 {
		p.retryAt = now + pause
	}
}

func (c *cluster) peer(id agreement.MemberID) *peer {
	for _, p := range c.peers {
		if p.member.ID == id {
			return p
		}
	}
	return nil
}

// until steps until the condition holds.
func (c *cluster) until(what string, condition func() bool) {
	c.t.Helper()
	limit := c.clock.now + testDuration
	for !condition() {
		if c.clock.now > limit {
			c.t.Fatalf("not reached in %v: %s", testDuration, what)
		}
		c.step()
	}
}

// leader returns the replica that leads in the highest term, or nil.
func (c *cluster) leader() *peer {
	var found *peer
	for _, p := range c.peers {
		status := p.group.Status()
		if p.cut || !status.IsLeader() {
			continue
		}
		if found == nil || status.Term > found.group.Status().Term {
			found = p
		}
	}
	return found
}

func (c *cluster) awaitLeader() *peer {
	c.t.Helper()
	c.until("a leader whose own entry is applied", func() bool {
		leader := c.leader()
		return leader != nil && leader.group.Status().Applied == leader.group.loop.status.Last && leader.group.Status().Applied > 1
	})
	return c.leader()
}

// propose posts a proposal without waiting.
func (p *peer) propose(command string) chan outcome {
	done := newDone()
	p.group.inbox.post(proposeEvent{data: []byte(command), done: done})
	return done
}

func (c *cluster) await(done chan outcome) outcome {
	c.t.Helper()
	c.until("an answer", func() bool { return len(done) > 0 })
	return <-done
}

// commit proposes at the leader and waits until it is applied there.
func (c *cluster) commit(command string) {
	c.t.Helper()
	leader := c.awaitLeader()
	if answered := c.await(leader.propose(command)); answered.err != nil {
		c.t.Fatal(answered.err)
	}
}

func (c *cluster) awaitCommands(p *peer, count int) {
	c.t.Helper()
	c.until(fmt.Sprintf("%d commands at member %d", count, p.member.ID), func() bool {
		return len(p.machine.Commands) == count
	})
}

func TestThreeMembersApplyAlike(t *testing.T) {
	c := newCluster(t, 3)
	for i := range 20 {
		c.commit(fmt.Sprint("command ", i))
	}
	for _, p := range c.peers {
		c.awaitCommands(p, 20)
		if !slices.Equal(p.machine.Commands, c.peers[0].machine.Commands) {
			t.Fatal("replicas differ")
		}
	}
}

func TestProposeAnswers(t *testing.T) {
	c := newCluster(t, 3)
	leader := c.awaitLeader()
	first := c.await(leader.propose("one"))
	second := c.await(leader.propose("two"))
	if first.err != nil || first.result != 1 || second.result != 2 || second.index != first.index+1 {
		t.Fatalf("got %+v and %+v", first, second)
	}
}

func TestFollowerNamesLeader(t *testing.T) {
	c := newCluster(t, 3)
	leader := c.awaitLeader()
	for _, p := range c.peers {
		if p == leader {
			continue
		}
		c.until("knows the leader", func() bool { return p.group.Status().Leader.ID != 0 })
		var refused ErrNotLeader
		if err := c.await(p.propose("x")).err; !errors.As(err, &refused) || refused.Leader != leader.member {
			t.Fatalf("got %v", err)
		}
	}
}

func TestCutLeaderOutcomeUnknown(t *testing.T) {
	c := newCluster(t, 3)
	leader := c.awaitLeader()
	leader.cut = true
	done := leader.propose("lost")
	if err := c.await(done).err; !errors.Is(err, ErrUnknownOutcome) {
		t.Fatalf("got %v", err)
	}
	c.commit("other")
	leader.cut = false
	c.awaitCommands(leader, 1)
	if leader.machine.Commands[0] != "other" {
		t.Fatalf("got %q", leader.machine.Commands)
	}
}

func TestProposalOfLostTermIsRefused(t *testing.T) {
	c := newCluster(t, 3)
	leader := c.awaitLeader()
	leader.cut = true
	done := leader.propose("lost")
	c.until("another leader", func() bool { return c.leader() != nil && c.leader().group.loop.applied > 2 })
	leader.cut = false
	var refused ErrNotLeader
	if err := c.await(done).err; !errors.As(err, &refused) && !errors.Is(err, ErrUnknownOutcome) {
		t.Fatalf("got %v", err)
	}
	c.commit("other")
	c.awaitCommands(leader, 1)
}

func TestReadBarrier(t *testing.T) {
	c := newCluster(t, 3)
	c.commit("one")
	leader := c.leader()
	done := newDone()
	leader.group.inbox.post(readEvent{done})
	if err := c.await(done).err; err != nil {
		t.Fatal(err)
	}
	leader.cut = true
	refused := newDone()
	leader.group.inbox.post(readEvent{refused})
	if err := c.await(refused).err; err == nil {
		t.Fatal("a leader that is cut off confirmed a read")
	}
}

func TestTransfer(t *testing.T) {
	c := newCluster(t, 3)
	leader := c.awaitLeader()
	done := newDone()
	leader.group.inbox.post(transferEvent{done})
	if err := c.await(done).err; err != nil {
		t.Fatal(err)
	}
	if next := c.awaitLeader(); next == leader {
		t.Fatal("the same member leads")
	}
}

func TestStalledDiskHandsOver(t *testing.T) {
	c := newCluster(t, 3)
	leader := c.awaitLeader()
	leader.stalled = true
	done := leader.propose("with the others' disks")
	c.until("another leader", func() bool { return c.leader() != nil && c.leader() != leader })
	if answered := c.await(done); answered.err != nil {
		t.Fatal(answered.err)
	}
	if leader.group.Status().Writable {
		t.Fatal("a stalled disk counts as writable")
	}
	c.commit("and on")
	leader.stalled = false
	c.until("writable", func() bool { return leader.group.Status().Writable })
	c.awaitCommands(leader, 2)
}

func TestFullDiskRecovers(t *testing.T) {
	c := newCluster(t, 3)
	leader := c.awaitLeader()
	leader.disk.Room = 10
	done := leader.propose("kept by the others")
	if answered := c.await(done); answered.err != nil {
		t.Fatal(answered.err)
	}
	c.until("another leader", func() bool { return c.leader() != nil && c.leader() != leader })
	leader.disk.Room = seglogtest.Unlimited
	c.commit("more")
	c.until("writable", func() bool { return leader.group.Status().Writable })
	c.awaitCommands(leader, 2)
	c.restart(leader, true, 1)
	c.awaitCommands(leader, 2)
}

func TestAllLosePower(t *testing.T) {
	c := newCluster(t, 3)
	for round := range 10 {
		c.commit(fmt.Sprint("command ", round))
		for _, p := range c.peers {
			c.restart(p, round%2 == 0, uint64(round))
		}
	}
	c.awaitLeader()
	for _, p := range c.peers {
		c.awaitCommands(p, 10)
	}
}

func TestLearnerIsTakenIn(t *testing.T) {
	c := newCluster(t, 3)
	for i := range compactEntries + 100 {
		c.commit(fmt.Sprint("command ", i))
	}
	leader := c.awaitLeader()
	if first := leader.group.loop.status.First; first == 2 {
		t.Fatal("the log was not compacted")
	}
	added := c.add(testMember(4, false), nil)
	c.change(agreement.Change{Add: &agreement.Member{ID: 4, Address: added.member.Address}})
	c.awaitCommands(added, compactEntries+100)
	c.change(agreement.Change{Add: &agreement.Member{ID: 4, Address: added.member.Address, Voter: true}})
	removed := c.awaitLeader().member.ID%3 + 1
	c.change(agreement.Change{Remove: removed})
	c.commit("last")
	c.awaitCommands(added, compactEntries+101)
	c.restart(added, true, 3)
	c.awaitCommands(added, compactEntries+101)
	if members := c.awaitLeader().group.Status().Members; len(members) != 3 {
		t.Fatalf("got %v", members)
	}
}

// change asks again while the leader does not know yet that it may make the change.
func (c *cluster) change(change agreement.Change) {
	c.t.Helper()
	limit := c.clock.now + testDuration
	for {
		done := newDone()
		c.awaitLeader().group.inbox.post(changeEvent{change: change, done: done})
		err := c.await(done).err
		if err == nil {
			return
		}
		if !errors.Is(err, agreement.ErrMemberChange) || c.clock.now > limit {
			c.t.Fatal(err)
		}
		c.step()
	}
}

// TestRunWithGoroutines runs one group of one member with its goroutines and the steady clock.
func TestRunWithGoroutines(t *testing.T) {
	member := testMember(1, true)
	machine := &listMachine{}
	leading := make(chan struct{}, 1)
	group, err := Open(Options{
		Directory:       "group",
		FileSystem:      seglogtest.NewDisk(),
		Self:            member,
		Founders:        []agreement.Member{member},
		Machine:         machine,
		Send:            func(agreement.Member, agreement.Message) {},
		ElectionTimeout: time.Millisecond,
		Heartbeat:       time.Millisecond,
		OnStatus: func(status Status) {
			if status.IsLeader() {
				wake(leading)
			}
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- group.Run(ctx) }()
	<-leading
	if result, _, err := group.Propose(ctx, []byte("one")); err != nil || result != 1 {
		t.Fatal(result, err)
	}
	if err := group.ReadBarrier(ctx); err != nil {
		t.Fatal(err)
	}
	var seen int
	if err := group.Do(func() { seen = len(machine.Commands) }); err != nil || seen != 1 {
		t.Fatal(seen, err)
	}
	cancel()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	if _, _, err := group.Propose(context.Background(), nil); !errors.Is(err, ErrClosed) {
		t.Fatal(err)
	}
	if err := group.Close(); err != nil {
		t.Fatal(err)
	}
}
