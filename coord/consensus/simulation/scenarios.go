package simulation

import (
	"time"

	"ospreybend/coord/consensus"
)

// The faults of this file play scenarios: sequences of events that are known to harm a group without certain
// rules, and that single random faults hardly ever produce.

// loseCurrentTermEntries loses, for a while, all messages with entries of their sender's own term, while
// entries of former terms, votes and heartbeats pass. Leaders are isolated in turn, so that logs have
// entries of different terms at the same index and a former leader leads again: the sequence of events in
// which counting replicas of a former term's entry does harm (paper, figure 8).
func (c *cluster) loseCurrentTermEntries() {
	c.counters.EntryLosses++
	until := c.now + c.randomDuration(2*c.profile.electionTimeout, 16*c.profile.electionTimeout)
	for from := range c.hosts {
		c.loseEntries(from, until, func(*host) bool { return true })
	}
	c.isolateLeadersRepeatedly(until)
}

// isolateLeadersRepeatedly isolates whoever leads, again and again up to a time.
func (c *cluster) isolateLeadersRepeatedly(until time.Duration) {
	if c.faultsOver || c.now >= until {
		return
	}
	for _, leader := range c.leaders() {
		c.partition(func(other *host) bool { return other == leader }, c.now+c.randomDuration(c.profile.electionTimeout, 4*c.profile.electionTimeout))
	}
	c.schedule(c.randomDuration(c.profile.electionTimeout/2, 2*c.profile.electionTimeout), func() { c.isolateLeadersRepeatedly(until) })
}

// competingChanges is a scenario of two leaders, one after the other, that each make a membership change
// which only their side of the group receives. Then the first leader's side joins the hosts that received
// neither change. It harms a group with an even number of voters, unless a change waits for a commit of the
// current term, and unless a truncated change is undone.
type competingChanges struct {
	cluster       *cluster
	firstLeader   *host
	sides         []partitionSide // by host
	truncateFirst bool            // the first leader's change is truncated before the second leader makes its own
	secondLeader  *host           // nil: not elected yet
	finished      bool
}

// partitionSide is the side of a host: whose change it may receive.
type partitionSide int

const (
	sideNeither partitionSide = iota
	sideFirst
	sideSecond
)

// startCompetingChanges starts the scenario, unless it is in progress. Meanwhile the operator makes no
// changes. An odd group loses a voter first.
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

// countVoters returns the number of voters.
func countVoters(members []consensus.Member) int {
	voters := 0
	for _, member := range members {
		if member.Voter {
			voters++
		}
	}
	return voters
}

// splitGroup draws the sides and has the first leader make its change, which only its side receives.
func (r *competingChanges) splitGroup() {
	if r.finished || !r.firstLeader.up {
		return
	}
	c := r.cluster
	r.sides = make([]partitionSide, len(c.hosts))
	for i := range r.sides {
		switch {
		case i == r.firstLeader.index || c.chance(0.15):
			r.sides[i] = sideFirst
		case c.chance(0.6):
			r.sides[i] = sideSecond
		}
	}
	until := c.now + 16*c.profile.electionTimeout
	c.partition(r.onSide(sideFirst), until)
	if !r.truncateFirst {
		r.confineEntriesToSecondSide(until)
	}
	r.firstLeader.removeRandomVoter()
}

// onSide returns a function that reports whether a host is on a side.
func (r *competingChanges) onSide(side partitionSide) func(*host) bool {
	return func(candidate *host) bool { return r.sides[candidate.index] == side }
}

// confineEntriesToSecondSide loses the entries of new terms that leave the second leader's side.
func (r *competingChanges) confineEntriesToSecondSide(until time.Duration) {
	for from := range r.cluster.hosts {
		r.cluster.loseEntries(from, until, func(to *host) bool { return !r.onSide(sideSecond)(to) })
	}
}

// leaderElected is called with each new leader. The first one outside the first leader's side is the second
// leader.
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

// changeUntilJoined has the second leader try its change until the sides join.
func (r *competingChanges) changeUntilJoined() {
	if r.finished || r.secondLeader == nil || !r.secondLeader.up || r.secondLeader.node.Status().Role != consensus.RoleLeader {
		return
	}
	r.secondLeader.removeRandomVoter()
	r.cluster.schedule(r.cluster.randomDuration(0, r.cluster.profile.electionTimeout/2), r.changeUntilJoined)
}

// joinOtherSides isolates the second side and lets the others communicate.
func (r *competingChanges) joinOtherSides() {
	if r.finished {
		return
	}
	c := r.cluster
	c.heal()
	c.partition(r.onSide(sideSecond), c.now+c.randomDuration(2*c.profile.electionTimeout, 6*c.profile.electionTimeout))
	r.finished = true
}

// finish ends the scenario, after which the operator works again.
func (r *competingChanges) finish() { r.finished = true }

// stopAllDuringChange stops all hosts while a membership change is on its way: by kills, or by a loss of
// power that takes from each what it had not synced.
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
