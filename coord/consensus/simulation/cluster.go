package simulation

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"ospreybend/coord/consensus"
)

// Times of a schedule.
const (
	heartbeatsPerElectionTimeout = 5
	recoveryLimit                = 20 * time.Second // for the group to work again after the faults
)

// cluster is the simulated hosts, the network between them and the faults of one schedule.
type cluster struct {
	options  Options
	profile  profile
	random   *rand.Rand
	hosts    []*host
	checks   checks
	counters Counters

	now          time.Duration // simulated time
	events       eventQueue
	lastSequence uint64

	// Faults of the network and of membership changes.
	faultsOver       bool
	partitionedUntil [][]time.Duration // until when no message passes, by sender and receiver
	entriesLostUntil [][]time.Duration // until when no entries of the sender's own term pass
	competition      *competingChanges // the latest one; nil: none yet

	// Losses of voters, which together may exceed what the group tolerates.
	lastDiskLoss  time.Duration
	lastRemoval   time.Duration
	mayLoseQuorum bool

	// The client's latest command and read.
	lastCommandID uint64
	lastReadID    uint64
}

// newCluster returns a group of options.Members voters on new disks.
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

// play runs the schedule: faults occur for a while, then the group must recover.
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
	if c.runUntil(faultDuration+recoveryLimit, recovered) {
		c.checkRecovery()
	}
}

// recordPanic records a panic of the core as a violation.
func (c *cluster) recordPanic() {
	if cause := recover(); cause != nil {
		c.checks.fail(CheckPanic, fmt.Sprint(cause))
	}
}

// runUntil runs events up to a time, or until done returns true. It returns false after a violation.
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

// schedule runs an action after a delay.
func (c *cluster) schedule(delay time.Duration, action func()) {
	c.lastSequence++
	heap.Push(&c.events, event{at: c.now + delay, sequence: c.lastSequence, action: action})
}

// randomDuration returns a uniform duration from shortest to longest.
func (c *cluster) randomDuration(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(c.random.Int64N(int64(longest-shortest)+1))
}

// chance returns true with a probability.
func (c *cluster) chance(probability float64) bool {
	return c.random.Float64() < probability
}

// randomHost returns any host.
func (c *cluster) randomHost() *host {
	return c.hosts[c.random.IntN(len(c.hosts))]
}
