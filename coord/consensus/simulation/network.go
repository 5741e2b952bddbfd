package simulation

import (
	"time"

	"ospreybend/coord/consensus"
)

// isolateHost partitions a host from all others, in one direction or both.
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

// isolateLeaderButOne leaves a leader the way to one other member alone, so that entries and membership
// changes reach a minority, and has it propose one.
func (c *cluster) isolateLeaderButOne() {
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

// partitionOneWay cuts one direction between two hosts.
func (c *cluster) partitionOneWay() {
	c.counters.Partitions++
	from, to := c.randomHost().index, c.randomHost().index
	c.partitionedUntil[from][to] = c.now + c.randomDuration(100*time.Millisecond, 3*time.Second)
}

// send sends a message, which arrives after a delay: once, twice or not at all.
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

// deliverLater delivers one copy of a message after a delay, unless it is lost.
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
		if c.chance(c.profile.delayedRate) {
			delay += c.randomDuration(0, 2*time.Second)
		}
	}
	receiver := c.hosts[to]
	c.schedule(delay, func() { receiver.receive(message) })
}

// loseEntries loses a host's messages with entries of its own term, to the hosts that to returns true for,
// up to a time.
func (c *cluster) loseEntries(from int, until time.Duration, to func(*host) bool) {
	for _, other := range c.hosts {
		if to(other) {
			c.entriesLostUntil[from][other.index] = until
		}
	}
}

// losesEntries reports whether loseEntries loses a message.
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

// partition separates some hosts from the others, in both directions, up to a time.
func (c *cluster) partition(some func(*host) bool, until time.Duration) {
	for _, host := range c.hosts {
		for _, other := range c.hosts {
			if some(host) != some(other) {
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
