package simulation

import (
	"time"

	"ospreybend/coord/consensus"
)

// The faults of this file lead schedules towards courses of events that are known to do harm to a group without
// certain rules, and that faults drawn one by one hardly ever make up.

// loseCurrentTermEntries loses, for a while, all messages that carry entries of their sender's own term, while entries of
// former terms, votes and heartbeats pass. Leaders are cut off in turn, so that entries of several terms stand in
// one place of different logs and a former leader leads again: the course of events in which counting the copies
// of a former term's entry does harm.
func (c *cluster) loseCurrentTermEntries() {
	c.counters.EntryLosses++
	until := c.now + c.randomDuration(2*c.profile.electionTimeout, 16*c.profile.electionTimeout)
	for from := range c.hosts {
		c.loseEntries(from, until, func(*host) bool { return true })
	}
	c.isolateLeadersRepeatedly(until)
}

// isolateLeadersRepeatedly cuts off whoever leads, again and again until a time.
func (c *cluster) isolateLeadersRepeatedly(until time.Duration) {
	if c.faultsOver || c.now >= until {
		return
	}
	for _, leader := range c.leaders() {
		c.partition(func(other *host) bool { return other == leader }, c.now+c.randomDuration(c.profile.electionTimeout, 4*c.profile.electionTimeout))
	}
	c.schedule(c.randomDuration(c.profile.electionTimeout/2, 2*c.profile.electionTimeout), func() { c.isolateLeadersRepeatedly(until) })
}

// loseEntries loses a machine's messages with entries of its own term to some others until a time.
func (c *cluster) loseEntries(from int, until time.Duration, to func(*host) bool) {
	for _, other := range c.hosts {
		if to(other) {
			c.entriesLostUntil[from][other.index] = until
		}
	}
}

// losesEntries reports whether a message is one that muting loses.
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

// partition cuts some machines off from the rest, in both directions, until a time.
func (c *cluster) partition(some func(*host) bool, until time.Duration) {
	for _, one := range c.hosts {
		for _, other := range c.hosts {
			if some(one) != some(other) {
				c.partitionedUntil[one.index][other.index] = until
			}
		}
	}
}

// heal ends all cuts and mutes.
func (c *cluster) heal() {
	for from := range c.hosts {
		clear(c.partitionedUntil[from])
		clear(c.entriesLostUntil[from])
	}
}

// competingChanges is a course of events with two leaders, one after the other, that each have a change of members which
// only a part of the group gets; then the first one's part meets those that got neither. A group with an even
// number of voters is harmed by it unless a change waits for an entry of the own term, and unless a truncated
// change is undone.
type competingChanges struct {
	cluster       *cluster
	firstLeader   *host
	sides         []partitionSide // by machine
	truncateFirst bool            // the first leader's change is truncated before the second one makes its own
	secondLeader  *host           // the second leader, nil: not elected yet
	finished      bool
}

// partitionSide tells whose change a machine may get.
type partitionSide int

const (
	sideNeither partitionSide = iota
	sideFirst
	sideSecond
)

// startCompetingChanges starts a rivalry, unless one is under way. Meanwhile the operator makes no changes.
func (c *cluster) startCompetingChanges() {
	leaders := c.leaders()
	if len(leaders) == 0 || (c.competition != nil && !c.competition.finished) {
		return
	}
	c.counters.CompetingChanges++
	r := &competingChanges{cluster: c, firstLeader: leaders[0], truncateFirst: c.chance(0.5)}
	c.competition = r
	c.schedule(c.randomDuration(6*c.profile.electionTimeout, 16*c.profile.electionTimeout), r.finish)
	if countVoters(r.firstLeader.node.Status().Members)%2 == 0 {
		r.splitGroup()
		return
	}
	r.firstLeader.removeRandomVoter()
	c.schedule(c.randomDuration(0, c.profile.electionTimeout), r.splitGroup)
}

func countVoters(members []consensus.Member) int {
	voters := 0
	for _, member := range members {
		if member.Voter {
			voters++
		}
	}
	return voters
}

// splitGroup draws the parts and has the first leader change the members in its own part alone.
func (r *competingChanges) splitGroup() {
	if r.finished || !r.firstLeader.up {
		return
	}
	c := r.cluster
	r.sides = make([]partitionSide, len(c.hosts))
	for at := range r.sides {
		switch {
		case at == r.firstLeader.index || c.chance(0.15):
			r.sides[at] = sideFirst
		case c.chance(0.6):
			r.sides[at] = sideSecond
		}
	}
	until := c.now + 16*c.profile.electionTimeout
	c.partition(r.onSide(sideFirst), until)
	if !r.truncateFirst {
		r.confineEntriesToSecondSide(until)
	}
	r.firstLeader.removeRandomVoter()
}

func (r *competingChanges) onSide(side partitionSide) func(*host) bool {
	return func(one *host) bool { return r.sides[one.index] == side }
}

func (r *competingChanges) confineEntriesToSecondSide(until time.Duration) {
	for from := range r.cluster.hosts {
		r.cluster.loseEntries(from, until, func(to *host) bool { return !r.onSide(sideSecond)(to) })
	}
}

// leaderElected takes note of a new leader: the second one, if it is not of the first one's part.
func (r *competingChanges) leaderElected(leader *host) {
	if r.finished || r.secondLeader != nil || r.sides == nil || r.onSide(sideFirst)(leader) {
		return
	}
	r.secondLeader = leader
	r.sides[leader.index] = sideSecond
	c := r.cluster
	if !r.truncateFirst {
		r.changeUntilJoined()
	} else {
		c.heal()
		c.schedule(c.randomDuration(0, c.profile.electionTimeout), func() {
			if !r.finished {
				r.confineEntriesToSecondSide(c.now + 16*c.profile.electionTimeout)
				r.changeUntilJoined()
			}
		})
	}
	c.schedule(c.randomDuration(c.profile.electionTimeout, 3*c.profile.electionTimeout), r.joinOtherSides)
}

// changeUntilJoined has the second leader try to change the members until the parts meet.
func (r *competingChanges) changeUntilJoined() {
	if r.finished || r.secondLeader == nil || !r.secondLeader.up || r.secondLeader.node.Status().Role != consensus.RoleLeader {
		return
	}
	r.secondLeader.removeRandomVoter()
	r.cluster.schedule(r.cluster.randomDuration(0, r.cluster.profile.electionTimeout/2), r.changeUntilJoined)
}

// joinOtherSides cuts the second part off and lets the others meet.
func (r *competingChanges) joinOtherSides() {
	if r.finished {
		return
	}
	c := r.cluster
	c.heal()
	c.partition(r.onSide(sideSecond), c.now+c.randomDuration(2*c.profile.electionTimeout, 6*c.profile.electionTimeout))
	r.finished = true
}

func (r *competingChanges) finish() { r.finished = true }

// stopAllDuringChange ends all machines while a change of members is on its way: by a kill, or by a loss of power
// that takes from each what it had not synced.
func (c *cluster) stopAllDuringChange() {
	for _, leader := range c.leaders() {
		c.counters.OutagesDuringChange++
		leader.removeRandomVoter()
	}
	all := c.loseAllPower
	if c.chance(0.5) {
		all = c.killAllProcesses
	}
	c.schedule(c.randomDuration(0, 2*(c.profile.maxDelay+c.profile.maxSync)), func() {
		if !c.faultsOver {
			all()
		}
	})
}
