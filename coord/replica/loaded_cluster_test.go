package replica

import (
	"fmt"
	"testing"
	"time"

	"ospreybend/coord/consensus"
)

// The load consists of changes to a configuration document of 450 routes: every tenth change replaces the whole document, the
// others replace one route.
const (
	minChanges          = 2000
	changeInterval      = time.Second / 30
	documentChangeBytes = 150 << 10
	routeChangeBytes    = 400
	documentChangeEvery = 10
	stateBytes          = 250 << 10
	catchUpBound        = 4 * time.Second // catchUpS of the operators' requirements
)

// documentStateMachine counts the commands. Its snapshot is as large as that document.
type documentStateMachine struct{ count int }

func (m *documentStateMachine) Apply(consensus.Entry) any { m.count++; return m.count }

func (m *documentStateMachine) Snapshot() []byte {
	return append(fmt.Appendf(nil, "%020d", m.count), make([]byte, stateBytes)...)
}

func (m *documentStateMachine) Restore(_ uint64, data []byte) error {
	_, err := fmt.Sscanf(string(data[:20]), "%d", &m.count)
	return err
}

// loadedCluster is a test cluster whose leader receives proposals at a constant rate on the fake clock.
type loadedCluster struct {
	*testCluster
	nextChangeAt    time.Duration // when the next change is due
	proposedChanges int
	peakDiskBytes   map[*testReplica]int64 // most bytes in use on the replica's disk
}

func newLoadedCluster(t *testing.T, omit ...consensus.Rule) *loadedCluster {
	c := newTestCluster(t, 0)
	c.omitRules = omit
	c.newStateMachine = func() StateMachine { return &documentStateMachine{} }
	var members []consensus.Member
	for number := 1; number <= 3; number++ {
		members = append(members, testMember(number, true))
	}
	for _, member := range members {
		c.add(member, members)
	}
	s := &loadedCluster{testCluster: c, peakDiskBytes: map[*testReplica]int64{}}
	s.awaitLeader()
	s.nextChangeAt = c.clock.now
	return s
}

// runUntil continues the load until the condition done is met, and returns how long that took.
func (s *loadedCluster) runUntil(description string, limit time.Duration, done func() bool) time.Duration {
	s.t.Helper()
	start := s.clock.now
	for !done() {
		if s.clock.now > start+limit {
			s.t.Fatalf("condition not met within %v: %s", limit, description)
		}
		if leader := s.leader(); leader != nil && s.clock.now >= s.nextChangeAt {
			s.nextChangeAt = max(s.nextChangeAt+changeInterval, s.clock.now-time.Second)
			s.propose(leader)
		}
		s.step()
		for _, replica := range s.replicas {
			s.peakDiskBytes[replica] = max(s.peakDiskBytes[replica], replica.disk.UsedBytes())
		}
	}
	return s.clock.now - start
}

func (s *loadedCluster) propose(leader *testReplica) {
	size := routeChangeBytes
	if s.proposedChanges%documentChangeEvery == 0 {
		size = documentChangeBytes
	}
	s.proposedChanges++
	leader.group.queue.push(proposeEvent{data: make([]byte, size), done: newOutcomeChannel()})
}

func (s *loadedCluster) runFor(duration time.Duration) {
	until := s.clock.now + duration
	s.runUntil("the duration has passed", duration+time.Second, func() bool { return s.clock.now >= until })
}

// isCurrent reports whether a member was recently confirmed and has applied all that the leader has, except for entries in flight.
func (s *loadedCluster) isCurrent(replica *testReplica) bool {
	leader := s.leader()
	if leader == nil || replica.group.Status().AppliedIndex < 2 {
		return false
	}
	return replica.group.Status().AppliedIndex+2 >= leader.group.Status().AppliedIndex &&
		replica.group.Status().ConfirmedAge < time.Second
}

// stopFor stops a member's process and runs the load for the duration. The caller must then call rejoin or remove.
func (s *loadedCluster) stopFor(replica *testReplica, duration time.Duration) {
	replica.group.loop.stop(replica.group.queue.close())
	replica.partitioned, replica.stopped = true, true
	s.runFor(duration)
	replica.partitioned, replica.stopped = false, false
}

// rejoinMode is how a stopped member rejoins the group.
type rejoinMode string

// The modes of loadedCluster.rejoin.
const (
	rejoinRestarted rejoinMode = "restarted" // with its disk
	rejoinWiped     rejoinMode = "wiped"     // with an empty disk and a new ID, at the same address
	rejoinReplaced  rejoinMode = "replaced"  // with an empty disk and a new ID, at another address
)

// rejoin lets a stopped member rejoin in the given mode and returns the replica that takes its place. A wiped or replaced member
// gets the given number as its new ID.
func (s *loadedCluster) rejoin(replica *testReplica, mode rejoinMode, number int) *testReplica {
	if mode == rejoinRestarted {
		replica.disk.Restart()
		s.open(replica, nil)
		return replica
	}
	previous := replica.member
	member := testMember(number, false)
	if mode == rejoinWiped {
		member.Address = previous.Address
	}
	s.remove(replica)
	added := s.add(member, nil)
	s.changeMembers(consensus.MembershipChange{Remove: previous.ID})
	s.changeMembers(consensus.MembershipChange{Add: &member})
	return added
}

// changeMembers changes the membership under load and retries until the change succeeds.
func (s *loadedCluster) changeMembers(change consensus.MembershipChange) {
	s.t.Helper()
	for {
		s.runUntil("a member leads", testTimeout, func() bool { return s.leader() != nil })
		done := newOutcomeChannel()
		s.leader().group.queue.push(changeEvent{change: change, done: done})
		s.runUntil("the membership change is answered", testTimeout, func() bool { return len(done) > 0 })
		if err := (<-done).err; err == nil {
			return
		}
		s.runFor(changeInterval)
	}
}
