package replica

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"ospreybend/coord/consensus"
	"ospreybend/coord/seglog/seglogtest"
)

const (
	testIdle     = 10 * time.Millisecond // a step in which nothing is due
	testDelay    = 2 * time.Millisecond  // of a message
	testDuration = 20 * time.Second      // until a test gives up, on the fake clock
)

// listMachine keeps all commands in order.
type listMachine struct{ Commands []string }

func (m *listMachine) Apply(entry consensus.Entry) any {
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
	message consensus.Message
}

// peer is one process with its disk.
type peer struct {
	member  consensus.Member
	disk    *seglogtest.Disk
	group   *Group
	machine *listMachine
	cut     bool          // no messages in or out
	stalled bool          // its writer does not run
	stopped bool          // its process has ended
	retryAt time.Duration // of a failed write; 0: none
}

// cluster is a group whose loops, writers and network are driven by hand.
type cluster struct {
	t       *testing.T
	clock   *fakeClock
	peers   []*peer
	network []envelope

	newMachine func() Machine   // nil: a listMachine
	omit       []consensus.Rule // left out of all members
	omitGuards []Guard          // as well
}

func testMember(number int, voter bool) consensus.Member {
	return consensus.Member{
		ID:      consensus.MemberID(number),
		Address: fmt.Sprintf("10.1.0.%d:7660", number),
		Voter:   voter,
	}
}

func newCluster(t *testing.T, founders int) *cluster {
	c := &cluster{t: t, clock: &fakeClock{now: time.Second}}
	var members []consensus.Member
	for number := 1; number <= founders; number++ {
		members = append(members, testMember(number, true))
	}
	for _, member := range members {
		c.add(member, members)
	}
	return c
}

func (c *cluster) add(member consensus.Member, founders []consensus.Member) *peer {
	added := &peer{member: member, disk: seglogtest.NewDisk()}
	c.peers = append(c.peers, added)
	c.open(added, founders)
	return added
}

func (c *cluster) open(p *peer, founders []consensus.Member) {
	c.t.Helper()
	p.machine = &listMachine{}
	machine := Machine(p.machine)
	if c.newMachine != nil {
		machine = c.newMachine()
	}
	group, err := Open(Options{
		Directory:  "group",
		FileSystem: p.disk,
		Self:       p.member,
		Founders:   founders,
		Machine:    machine,
		Send:       func(_ consensus.Member, message consensus.Message) { c.send(p, message) },
		Clock:      c.clock,
		Omit:       c.omit,
		OmitGuards: c.omitGuards,
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

// remove takes a peer out of the cluster for good.
func (c *cluster) remove(gone *peer) {
	c.peers = slices.DeleteFunc(c.peers, func(p *peer) bool { return p == gone })
}

func (c *cluster) send(from *peer, message consensus.Message) {
	if !from.cut {
		c.network = append(c.network, envelope{due: c.clock.now + testDelay, message: message})
	}
}

// step goes on to the next moment at which something is due and does it.
func (c *cluster) step() {
	due := c.nextDue()
	if due == never {
		due = c.clock.now + testIdle
	}
	c.clock.now = max(c.clock.now, due)
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
		if p.stopped {
			continue
		}
		if len(p.group.inbox.events) > 0 || p.mayWrite() {
			return c.clock.now
		}
		due = min(due, p.group.loop.next())
		if p.retryAt > 0 {
			due = min(due, p.retryAt)
		}
	}
	return due
}

// mayWrite tells whether the writer has work that it may do at once.
func (p *peer) mayWrite() bool {
	return !p.stalled && p.retryAt == 0 && len(p.group.writer.arrived)+len(p.group.writer.held) > 0
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
	if p.stopped {
		return
	}
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

func (c *cluster) peer(id consensus.MemberID) *peer {
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
		return leader != nil && leader.group.Status().Applied == leader.group.loop.status.LastIndex && leader.group.Status().Applied > 1
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

// change asks again while the leader does not know yet that it may make the change.
func (c *cluster) change(change consensus.MembershipChange) {
	c.t.Helper()
	limit := c.clock.now + testDuration
	for {
		done := newDone()
		c.awaitLeader().group.inbox.post(changeEvent{change: change, done: done})
		err := c.await(done).err
		if err == nil {
			return
		}
		if !errors.Is(err, consensus.ErrMembershipChange) || c.clock.now > limit {
			c.t.Fatal(err)
		}
		c.step()
	}
}
