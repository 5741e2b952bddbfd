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
	idleStep     = 10 * time.Millisecond // length of a step in which nothing is due
	messageDelay = 2 * time.Millisecond  // of the test network
	testTimeout  = 20 * time.Second      // on the fake clock
)

// listStateMachine collects all commands in order.
type listStateMachine struct{ Commands []string }

func (m *listStateMachine) Apply(entry consensus.Entry) any {
	m.Commands = append(m.Commands, string(entry.Data))
	return len(m.Commands)
}

func (m *listStateMachine) Snapshot() []byte {
	data, err := json.Marshal(m)
	if err != nil {
		panic(err)
	}
	return data
}

func (m *listStateMachine) Restore(_ uint64, data []byte) error {
	m.Commands = nil
	return json.Unmarshal(data, m)
}

type fakeClock struct{ now time.Duration }

func (c *fakeClock) Now() time.Duration { return c.now }

// envelope is a message in flight.
type envelope struct {
	due     time.Duration
	message consensus.Message
}

// testReplica is one member: a process with its disk.
type testReplica struct {
	member       consensus.Member
	disk         *seglogtest.MemoryDisk
	group        *Group
	stateMachine *listStateMachine
	partitioned  bool          // sends and receives no messages
	stalled      bool          // its log writer does not run
	stopped      bool          // its process has ended
	retryAt      time.Duration // when a failed write is retried; 0: none failed
}

// testCluster is a group whose event loops, log writers and network are driven by the test on a fake clock.
type testCluster struct {
	t        *testing.T
	clock    *fakeClock
	replicas []*testReplica
	network  []envelope

	newStateMachine func() StateMachine // nil: a listStateMachine
	omitRules       []consensus.Rule    // omitted by all members
	omitGuards      []Guard             // likewise
}

func testMember(number int, voter bool) consensus.Member {
	return consensus.Member{
		ID:      consensus.MemberID(number),
		Address: fmt.Sprintf("10.1.0.%d:7660", number),
		Voter:   voter,
	}
}

func newTestCluster(t *testing.T, founders int) *testCluster {
	c := &testCluster{t: t, clock: &fakeClock{now: time.Second}}
	var members []consensus.Member
	for number := 1; number <= founders; number++ {
		members = append(members, testMember(number, true))
	}
	for _, member := range members {
		c.add(member, members)
	}
	return c
}

func (c *testCluster) add(member consensus.Member, founders []consensus.Member) *testReplica {
	added := &testReplica{member: member, disk: seglogtest.NewMemoryDisk()}
	c.replicas = append(c.replicas, added)
	c.open(added, founders)
	return added
}

func (c *testCluster) open(p *testReplica, founders []consensus.Member) {
	c.t.Helper()
	p.stateMachine = &listStateMachine{}
	machine := StateMachine(p.stateMachine)
	if c.newStateMachine != nil {
		machine = c.newStateMachine()
	}
	group, err := Open(Options{
		Directory:    "group",
		FileSystem:   p.disk,
		Self:         p.member,
		Founders:     founders,
		StateMachine: machine,
		Send:         func(_ consensus.Member, message consensus.Message) { c.send(p, message) },
		Clock:        c.clock,
		OmitRules:    c.omitRules,
		OmitGuards:   c.omitGuards,
	})
	if err != nil {
		c.t.Fatal(err)
	}
	p.group = group
}

// restart ends a process and starts it again from its disk, after a power loss if requested.
func (c *testCluster) restart(p *testReplica, powerLoss bool, seed uint64) {
	if powerLoss {
		p.disk.LosePower(seglogtest.NewRandom(seed))
	} else {
		p.disk.Restart()
	}
	p.group.loop.stop(p.group.queue.close())
	p.stalled, p.retryAt = false, 0
	c.open(p, nil)
}

// remove removes a replica from the cluster for good.
func (c *testCluster) remove(gone *testReplica) {
	c.replicas = slices.DeleteFunc(c.replicas, func(p *testReplica) bool { return p == gone })
}

func (c *testCluster) send(from *testReplica, message consensus.Message) {
	if !from.partitioned {
		c.network = append(c.network, envelope{due: c.clock.now + messageDelay, message: message})
	}
}

// step advances the clock to the next moment at which something is due, and does that.
func (c *testCluster) step() {
	due := c.nextDue()
	if due == never {
		due = c.clock.now + idleStep
	}
	c.clock.now = max(c.clock.now, due)
	c.deliver()
	for _, p := range c.replicas {
		p.work(c.clock.now)
	}
}

func (c *testCluster) nextDue() time.Duration {
	due := never
	for _, one := range c.network {
		due = min(due, one.due)
	}
	for _, p := range c.replicas {
		if p.stopped {
			continue
		}
		if len(p.group.queue.events) > 0 || p.hasWriteReady() {
			return c.clock.now
		}
		due = min(due, p.group.loop.nextWakeUp())
		if p.retryAt > 0 {
			due = min(due, p.retryAt)
		}
	}
	return due
}

// hasWriteReady reports whether the log writer has work that it may do at once.
func (p *testReplica) hasWriteReady() bool {
	return !p.stalled && p.retryAt == 0 && len(p.group.writer.submitted)+len(p.group.writer.pending) > 0
}

func (c *testCluster) deliver() {
	var later []envelope
	for _, one := range c.network {
		if one.due > c.clock.now {
			later = append(later, one)
			continue
		}
		if to := c.replica(one.message.To); to != nil && !to.partitioned {
			to.group.Step(one.message)
		}
	}
	c.network = later
}

func (p *testReplica) work(now time.Duration) {
	if p.stopped {
		return
	}
	if len(p.group.queue.events) > 0 || now >= p.group.loop.nextWakeUp() {
		p.group.loop.iterate(p.group.queue.drain())
	}
	if p.stalled || now < p.retryAt {
		return
	}
	p.retryAt = 0
	if retryDelay := p.group.writer.writePending(); retryDelay > 0 {
		p.retryAt = now + retryDelay
	}
}

func (c *testCluster) replica(id consensus.MemberID) *testReplica {
	for _, p := range c.replicas {
		if p.member.ID == id {
			return p
		}
	}
	return nil
}

// stepUntil steps until the condition is true.
func (c *testCluster) stepUntil(what string, condition func() bool) {
	c.t.Helper()
	limit := c.clock.now + testTimeout
	for !condition() {
		if c.clock.now > limit {
			c.t.Fatalf("not reached in %v: %s", testTimeout, what)
		}
		c.step()
	}
}

// leader returns the replica that leads in the highest term, or nil.
func (c *testCluster) leader() *testReplica {
	var found *testReplica
	for _, p := range c.replicas {
		status := p.group.Status()
		if p.partitioned || !status.IsLeader() {
			continue
		}
		if found == nil || status.Term > found.group.Status().Term {
			found = p
		}
	}
	return found
}

func (c *testCluster) awaitLeader() *testReplica {
	c.t.Helper()
	c.stepUntil("a leader whose own entry is applied", func() bool {
		leader := c.leader()
		return leader != nil && leader.group.Status().AppliedIndex == leader.group.loop.status.LastIndex && leader.group.Status().AppliedIndex > 1
	})
	return c.leader()
}

// propose queues a proposal without waiting.
func (p *testReplica) propose(command string) chan outcome {
	done := newOutcomeChannel()
	p.group.queue.push(proposeEvent{data: []byte(command), done: done})
	return done
}

func (c *testCluster) await(done chan outcome) outcome {
	c.t.Helper()
	c.stepUntil("an answer", func() bool { return len(done) > 0 })
	return <-done
}

// commit proposes a command at the leader and waits until it is applied there.
func (c *testCluster) commit(command string) {
	c.t.Helper()
	leader := c.awaitLeader()
	if received := c.await(leader.propose(command)); received.err != nil {
		c.t.Fatal(received.err)
	}
}

func (c *testCluster) awaitCommands(p *testReplica, count int) {
	c.t.Helper()
	c.stepUntil(fmt.Sprintf("%d commands at member %d", count, p.member.ID), func() bool {
		return len(p.stateMachine.Commands) == count
	})
}

// change changes the membership, and retries while the leader does not know yet that the change is possible.
func (c *testCluster) change(change consensus.MembershipChange) {
	c.t.Helper()
	limit := c.clock.now + testTimeout
	for {
		done := newOutcomeChannel()
		c.awaitLeader().group.queue.push(changeEvent{change: change, done: done})
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
