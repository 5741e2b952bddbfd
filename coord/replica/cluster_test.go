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
	idleStep     = 10 * time.Millisecond // how far a step advances the clock if nothing is due
	messageDelay = 2 * time.Millisecond  // latency of the test network
	testTimeout  = 20 * time.Second      // limit of a wait, on the fake clock
)

// listStateMachine stores all commands in the order in which they were applied.
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

// envelope is a message in flight, to be delivered at due.
type envelope struct {
	due     time.Duration
	message consensus.Message
}

// testReplica is one member of a testCluster: a process and its disk.
type testReplica struct {
	member       consensus.Member
	disk         *seglogtest.MemoryDisk
	group        *Group
	stateMachine *listStateMachine
	partitioned  bool          // neither sends nor receives messages
	stalled      bool          // its log writer does not run
	stopped      bool          // its process has ended
	retryAt      time.Duration // when a failed write is retried; 0: the last write succeeded
}

// testCluster is a group of replicas in one goroutine: the test drives their event loops, log writers and network on a fake clock.
type testCluster struct {
	t        *testing.T
	clock    *fakeClock
	replicas []*testReplica
	network  []envelope

	newStateMachine func() StateMachine // nil: use a listStateMachine
	omitRules       []consensus.Rule    // not enforced by any member
	omitGuards      []Guard             // likewise
}

func testMember(number int, voter bool) consensus.Member {
	return consensus.Member{
		ID:      consensus.MemberID(number),
		Address: fmt.Sprintf("10.1.0.%d:7660", number),
		Voter:   voter,
	}
}

func newTestCluster(t *testing.T, voterCount int) *testCluster {
	c := &testCluster{t: t, clock: &fakeClock{now: time.Second}}
	var members []consensus.Member
	for number := 1; number <= voterCount; number++ {
		members = append(members, testMember(number, true))
	}
	for _, member := range members {
		c.add(member, members)
	}
	return c
}

func (c *testCluster) add(member consensus.Member, bootstrapMembers []consensus.Member) *testReplica {
	added := &testReplica{member: member, disk: seglogtest.NewMemoryDisk()}
	c.replicas = append(c.replicas, added)
	c.open(added, bootstrapMembers)
	return added
}

func (c *testCluster) open(replica *testReplica, bootstrapMembers []consensus.Member) {
	c.t.Helper()
	replica.stateMachine = &listStateMachine{}
	stateMachine := StateMachine(replica.stateMachine)
	if c.newStateMachine != nil {
		stateMachine = c.newStateMachine()
	}
	group, err := Open(Options{
		Directory:        "group",
		FileSystem:       replica.disk,
		Self:             replica.member,
		BootstrapMembers: bootstrapMembers,
		StateMachine:     stateMachine,
		Send:             func(_ consensus.Member, message consensus.Message) { c.send(replica, message) },
		Clock:            c.clock,
		OmitRules:        c.omitRules,
		OmitGuards:       c.omitGuards,
	})
	if err != nil {
		c.t.Fatalf("open member %d: %v", replica.member.ID, err)
	}
	replica.group = group
}

// restart restarts a process from its disk, optionally with a power loss, whose effects depend on seed.
func (c *testCluster) restart(replica *testReplica, powerLoss bool, seed uint64) {
	if powerLoss {
		replica.disk.LosePower(seglogtest.NewRandom(seed))
	} else {
		replica.disk.Restart()
	}
	replica.group.loop.stop(replica.group.queue.close())
	replica.stalled, replica.retryAt = false, 0
	c.open(replica, nil)
}

// remove permanently removes a replica from the cluster.
func (c *testCluster) remove(removed *testReplica) {
	c.replicas = slices.DeleteFunc(c.replicas, func(replica *testReplica) bool { return replica == removed })
}

func (c *testCluster) send(from *testReplica, message consensus.Message) {
	if !from.partitioned {
		c.network = append(c.network, envelope{due: c.clock.now + messageDelay, message: message})
	}
}

// step advances the clock to the next time at which something is due, and does everything that is due then.
func (c *testCluster) step() {
	due := c.nextDue()
	if due == never {
		due = c.clock.now + idleStep
	}
	c.clock.now = max(c.clock.now, due)
	c.deliverDue()
	for _, replica := range c.replicas {
		replica.runDue(c.clock.now)
	}
}

func (c *testCluster) nextDue() time.Duration {
	due := never
	for _, sent := range c.network {
		due = min(due, sent.due)
	}
	for _, replica := range c.replicas {
		if replica.stopped {
			continue
		}
		if len(replica.group.queue.events) > 0 || replica.hasWriteReady() {
			return c.clock.now
		}
		due = min(due, replica.group.loop.nextWakeUp())
		if replica.retryAt > 0 {
			due = min(due, replica.retryAt)
		}
	}
	return due
}

// hasWriteReady reports whether the log writer has a job that it can write immediately.
func (replica *testReplica) hasWriteReady() bool {
	return !replica.stalled && replica.retryAt == 0 && len(replica.group.writer.submitted)+len(replica.group.writer.pending) > 0
}

// deliverDue delivers the messages that are due.
// deliverDue delivers the messages that are due.
func (c *testCluster) deliverDue() {
	var later []envelope
	for _, sent := range c.network {
		if sent.due > c.clock.now {
			later = append(later, sent)
			continue
		}
		if to := c.replica(sent.message.To); to != nil && !to.partitioned {
			to.group.Step(sent.message)
		}
	}
	c.network = later
}

// runDue runs the event loop and the log writer if they are due.
// runDue runs the event loop and the log writer if they are due.
func (replica *testReplica) runDue(now time.Duration) {
	if replica.stopped {
		return
	}
	if len(replica.group.queue.events) > 0 || now >= replica.group.loop.nextWakeUp() {
		replica.group.loop.iterate(replica.group.queue.drain())
	}
	if replica.stalled || now < replica.retryAt {
		return
	}
	replica.retryAt = 0
	if retryDelay := replica.group.writer.writePending(); retryDelay > 0 {
		replica.retryAt = now + retryDelay
	}
}

func (c *testCluster) replica(id consensus.MemberID) *testReplica {
	for _, replica := range c.replicas {
		if replica.member.ID == id {
			return replica
		}
	}
	return nil
}

// stepUntil steps until the condition is met, and fails the test after testTimeout.
func (c *testCluster) stepUntil(description string, condition func() bool) {
	c.t.Helper()
	limit := c.clock.now + testTimeout
	for !condition() {
		if c.clock.now > limit {
			c.t.Fatalf("condition not met within %v: %s", testTimeout, description)
		}
		c.step()
	}
}

// leader returns the reachable leader of the highest term, or nil.
func (c *testCluster) leader() *testReplica {
	var found *testReplica
	for _, replica := range c.replicas {
		status := replica.group.Status()
		if replica.partitioned || !status.IsLeader() {
			continue
		}
		if found == nil || status.Term > found.group.Status().Term {
			found = replica
		}
	}
	return found
}

func (c *testCluster) awaitLeader() *testReplica {
	c.t.Helper()
	c.stepUntil("a leader has applied its whole log", func() bool {
		leader := c.leader()
		if leader == nil {
			return false
		}
		applied := leader.group.Status().AppliedIndex
		return applied == leader.group.loop.status.LastIndex && applied > 1
	})
	return c.leader()
}

// propose queues a proposal and returns the channel for its outcome.
func (replica *testReplica) propose(command string) chan outcome {
	done := newOutcomeChannel()
	replica.group.queue.push(proposeEvent{data: []byte(command), done: done})
	return done
}

func (c *testCluster) awaitOutcome(done chan outcome) outcome {
	c.t.Helper()
	c.stepUntil("the call is answered", func() bool { return len(done) > 0 })
	return <-done
}

// commit proposes a command to the leader and waits until the leader has applied it.
func (c *testCluster) commit(command string) {
	c.t.Helper()
	leader := c.awaitLeader()
	if received := c.awaitOutcome(leader.propose(command)); received.err != nil {
		c.t.Fatalf("propose %q to member %d: %v", command, leader.member.ID, received.err)
	}
}

func (c *testCluster) awaitCommands(replica *testReplica, count int) {
	c.t.Helper()
	c.stepUntil(fmt.Sprintf("member %d has applied %d commands", replica.member.ID, count), func() bool {
		return len(replica.stateMachine.Commands) == count
	})
}

// commitChange commits a membership change. It retries while the leader does not yet consider the change possible.
func (c *testCluster) commitChange(change consensus.MembershipChange) {
	c.t.Helper()
	limit := c.clock.now + testTimeout
	for {
		done := newOutcomeChannel()
		c.awaitLeader().group.queue.push(changeEvent{change: change, done: done})
		err := c.awaitOutcome(done).err
		if err == nil {
			return
		}
		if !errors.Is(err, consensus.ErrMembershipChange) || c.clock.now > limit {
			c.t.Fatalf("membership change %+v: %v", change, err)
		}
		c.step()
	}
}
