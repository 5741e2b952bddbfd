package simulation

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"ospreybend/coord/consensus"
)

const (
	heartbeatsPerElectionTimeout = 5
	recoveryTimeout              = 20 * time.Second // after the faults, until the group must work again
)

// cluster simulates the hosts, the network between them and the faults of one schedule.
type cluster struct {
	options  Options
	profile  profile
	random   *rand.Rand
	hosts    []*host
	checks   checks
	counters Counters

	now          time.Duration // simulated time since the start of the schedule
	events       eventQueue
	lastSequence uint64 // of the latest scheduled event

	// Faults of the network and of membership changes.
	faultsOver       bool
	partitionedUntil [][]time.Duration         // until when no message is delivered, by sender and receiver
	entriesLostUntil [][]time.Duration         // until when messages with entries of the sender's own term are lost
	competingChanges *competingChangesScenario // the latest scenario; nil: none yet

	// Losses of voters, which together may leave the group without a quorum.
	lastDiskLoss  time.Duration
	lastRemoval   time.Duration
	mayLoseQuorum bool

	// Of the client.
	lastCommandID uint64
	lastReadID    uint64
}

// newCluster returns a cluster whose hosts are the options.Members voters of a newly bootstrapped group.
func newCluster(seed uint64, options Options) *cluster {
	c := &cluster{options: options, random: rand.New(rand.NewPCG(seed, seed^seedStep))}
	c.checks = newChecks(seed)
	c.profile = drawProfile(c.random)
	var voters []consensus.Member
	for index := range options.Members {
		host := newHost(c, index)
		c.hosts = append(c.hosts, host)
		c.partitionedUntil = append(c.partitionedUntil, make([]time.Duration, options.Members))
		c.entriesLostUntil = append(c.entriesLostUntil, make([]time.Duration, options.Members))
		voters = append(voters, consensus.Member{ID: host.id, Address: host.address(), Voter: true})
	}
	for _, host := range c.hosts {
		host.disk.durable = consensus.Bootstrap(voters, encodeStateHash(initialStateHash))
	}
	return c
}

// play runs the schedule: faults are injected for options.FaultDuration, then the group must recover.
func (c *cluster) play() {
	defer c.recordPanic()
	for _, host := range c.hosts {
		host.start()
	}
	c.schedule(0, c.runClient)
	c.schedule(0, c.runOperator)
	c.schedule(0, c.injectFault)
	faultDuration := c.options.FaultDuration
	if faultDuration == 0 {
		faultDuration = defaultFaultDuration
	}
	if !c.runUntil(faultDuration, nil) {
		return
	}
	c.endFaults()
	recovered := func() bool { return c.now > faultDuration+time.Second && c.converged() }
	if c.runUntil(faultDuration+recoveryTimeout, recovered) {
		c.checkRecovery()
	}
}

// recordPanic records a panic of the core as a violation. It must be deferred.
func (c *cluster) recordPanic() {
	if cause := recover(); cause != nil {
		c.checks.recordViolation(CheckPanic, fmt.Sprint(cause))
	}
}

// runUntil runs events up to a time, or until done returns true (nil: never). It returns false after a
// violation.
func (c *cluster) runUntil(end time.Duration, done func() bool) bool {
	for len(c.events) > 0 && c.events[0].at <= end {
		if len(c.checks.violations) > 0 {
			return false
		}
		if done != nil && done() {
			return true
		}
		next := heap.Pop(&c.events).(event)
		c.now = next.at
		next.action()
	}
	c.now = end
	return len(c.checks.violations) == 0
}

// schedule adds an event that runs an action after a delay of simulated time.
func (c *cluster) schedule(delay time.Duration, action func()) {
	c.lastSequence++
	heap.Push(&c.events, event{at: c.now + delay, sequence: c.lastSequence, action: action})
}

// randomDuration returns a uniformly distributed duration from shortest to longest, both included.
func (c *cluster) randomDuration(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(c.random.Int64N(int64(longest-shortest)+1))
}

// chance returns true with the given probability.
func (c *cluster) chance(probability float64) bool {
	return c.random.Float64() < probability
}

// randomHost returns a host chosen uniformly at random.
func (c *cluster) randomHost() *host {
	return c.hosts[c.random.IntN(len(c.hosts))]
}
