package simulation

import (
	"time"

	"ospreybend/coord/consensus"
)

// isolateHost partitions a host from all others, in one direction or in both.
func (c *cluster) isolateHost() {
	c.counters.Partitions++
	target, until := c.randomHost().index, c.now+c.randomDuration(100*time.Millisecond, 2500*time.Millisecond)
	direction := c.random.IntN(3)
	for other := range c.hosts {
		if direction != 0 {
			c.partitionedUntil[target][other] = until
		}
		if direction != 1 {
			c.partitionedUntil[other][target] = until
		}
	}
}

// isolateLeaderExceptOnePeer lets the messages of each leader reach one host only and has the leader propose
// a command or a membership change, which then reaches a minority. The leader may be killed soon afterwards.
func (c *cluster) isolateLeaderExceptOnePeer() {
	c.counters.Partitions++
	for _, leader := range c.leaders() {
		reachable := c.randomHost().index
		until := c.now + c.randomDuration(100*time.Millisecond, 4*c.profile.electionTimeout)
		for other := range c.hosts {
			if other != reachable {
				c.partitionedUntil[leader.index][other] = until
			}
		}
		if c.chance(0.5) {
			leader.removeRandomVoter()
		} else {
			leader.whenRunning(leader.propose)
		}
		if c.chance(0.3) {
			c.schedule(c.randomDuration(0, c.profile.electionTimeout), func() { c.killProcessOf(leader) })
		}
	}
}

// partitionOneWay loses the messages from one host to another.
func (c *cluster) partitionOneWay() {
	c.counters.Partitions++
	from, to := c.randomHost().index, c.randomHost().index
	c.partitionedUntil[from][to] = c.now + c.randomDuration(100*time.Millisecond, 3*time.Second)
}

// send sends a message, which is delivered after a delay: once, twice or not at all.
func (c *cluster) send(message consensus.Message) {
	c.counters.Messages++
	if message.Kind == consensus.MessageInstallSnapshot {
		c.counters.Snapshots++
	}
	c.checks.messageSent(message)
	copies := 1
	if !c.faultsOver && c.chance(c.profile.duplicateRate) {
		copies = 2
	}
	for range copies {
		c.deliverLater(message)
	}
}

// deliverLater schedules the delivery of one copy of a message, unless it is lost.
func (c *cluster) deliverLater(message consensus.Message) {
	from, to := hostIndexOf(message.From), hostIndexOf(message.To)
	if to < 0 || to >= len(c.hosts) {
		return
	}
	delay := c.randomDuration(time.Millisecond, c.profile.maxDelay)
	if !c.faultsOver {
		if c.now < c.partitionedUntil[from][to] || c.losesEntries(message, from, to) || c.chance(c.profile.lossRate) {
			return
		}
		if c.chance(c.profile.extraDelayRate) {
			delay += c.randomDuration(0, 2*time.Second)
		}
	}
	receiver := c.hosts[to]
	c.schedule(delay, func() { receiver.receive(message) })
}

// loseEntries loses, up to a time, a host's messages with entries of its own term to the hosts that
// isReceiver returns true for.
func (c *cluster) loseEntries(from int, until time.Duration, isReceiver func(*host) bool) {
	for _, other := range c.hosts {
		if isReceiver(other) {
			c.entriesLostUntil[from][other.index] = until
		}
	}
}

// losesEntries reports whether a message is lost because of loseEntries.
func (c *cluster) losesEntries(message consensus.Message, from, to int) bool {
	if c.now >= c.entriesLostUntil[from][to] {
		return false
	}
	for _, entry := range message.Entries {
		if entry.Term == message.Term {
			return true
		}
	}
	return false
}

// partition separates the hosts that isInside returns true for from the others, in both directions, up to a
// time.
func (c *cluster) partition(isInside func(*host) bool, until time.Duration) {
	for _, host := range c.hosts {
		for _, other := range c.hosts {
			if isInside(host) != isInside(other) {
				c.partitionedUntil[host.index][other.index] = until
			}
		}
	}
}

// heal ends all partitions and losses of entries.
func (c *cluster) heal() {
	for from := range c.hosts {
		clear(c.partitionedUntil[from])
		clear(c.entriesLostUntil[from])
	}
}
