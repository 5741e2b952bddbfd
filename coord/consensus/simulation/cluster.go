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
	heartbeatsPerElectionTimeout = 5                // heartbeats in an election timeout
	recoveryLimit                = 20 * time.Second // after the faults
)

// cluster is all machines, what is between them and what happens to them in one schedule.
type cluster struct {
	options          Options
	random           *rand.Rand
	profile          profile
	now              time.Duration
	events           eventQueue
	lastSequence     uint64
	hosts            []*host
	partitionedUntil [][]time.Duration // until when nothing passes, by sender and receiver
	entriesLostUntil [][]time.Duration // until when no entries of the sender's own term pass
	competition      *competingChanges // the last one, nil: none yet
	checks           checks
	counters         Counters
	faultsOver       bool // the faults are over

	lastDiskLoss  time.Duration
	lastRemoval   time.Duration
	mayLoseQuorum bool // more was lost at a time than the group stands

	lastCommandID uint64
	lastReadID    uint64
}

func newCluster(seed uint64, options Options) *cluster {
	c := &cluster{options: options, random: rand.New(rand.NewPCG(seed, seed^seedStep))}
	c.checks = newChecks(seed)
	c.profile = drawProfile(c.random)
	var founders []consensus.Member
	for index := range options.Members {
		host := newHost(c, index)
		c.hosts = append(c.hosts, host)
		c.partitionedUntil = append(c.partitionedUntil, make([]time.Duration, options.Members))
		c.entriesLostUntil = append(c.entriesLostUntil, make([]time.Duration, options.Members))
		founders = append(founders, consensus.Member{ID: host.id, Address: host.address(), Voter: true})
	}
	for _, host := range c.hosts {
		host.disk.durable = consensus.Bootstrap(founders, encodeStateHash(initialStateHash))
	}
	return c
}

// play runs the schedule: faults strike for a while, then the group must recover.
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

// recordPanic records that the core found an impossible state.
func (c *cluster) recordPanic() {
	if cause := recover(); cause != nil {
		c.checks.fail(CheckPanic, fmt.Sprint(cause))
	}
}

// runUntil plays events until a time, or until done says so. It returns false after a violation.
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

// schedule has something happen after a pause.
func (c *cluster) schedule(pause time.Duration, action func()) {
	c.lastSequence++
	heap.Push(&c.events, event{at: c.now + pause, sequence: c.lastSequence, action: action})
}

// randomDuration returns a time from least up to most.
func (c *cluster) randomDuration(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(c.random.Int64N(int64(longest-shortest)+1))
}

func (c *cluster) chance(probability float64) bool {
	return c.random.Float64() < probability
}

func (c *cluster) randomHost() *host {
	return c.hosts[c.random.IntN(len(c.hosts))]
}

// send delivers a message after a delay, several times or never.
func (c *cluster) send(message consensus.Message) {
	c.counters.Messages++
	if message.Kind == consensus.MessageInstallSnapshot {
		c.counters.Snapshots++
	}
	c.checks.leaderMessage(message)
	copies := 1
	if !c.faultsOver && c.chance(c.profile.duplicateRate) {
		copies = 2
	}
	for range copies {
		c.deliverLater(message)
	}
}

func (c *cluster) deliverLater(message consensus.Message) {
	from, to := hostOf(message.From), hostOf(message.To)
	if to < 0 || to >= len(c.hosts) {
		return
	}
	delay := c.randomDuration(time.Millisecond, c.profile.maxDelay)
	if !c.faultsOver {
		if c.now < c.partitionedUntil[from][to] || c.losesEntries(message, from, to) || c.chance(c.profile.lossRate) {
			return
		}
		if c.chance(c.profile.lateRate) {
			delay += c.randomDuration(0, 2*time.Second)
		}
	}
	receiver := c.hosts[to]
	c.schedule(delay, func() { receiver.receive(message) })
}
