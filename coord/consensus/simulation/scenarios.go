package simulation

import (
	"time"

	"ospreybend/coord/consensus"
)

// The faults of this file are scenarios: sequences of events that are known to violate safety if certain
// rules are omitted, and that independent random faults hardly ever produce.

// loseCurrentTermEntries loses, for a while, all messages with entries of their sender's own term, while
// entries of earlier terms, votes and heartbeats are delivered. Leaders are isolated in turn, so that logs
// contain entries of different terms at the same index and a former leader is elected again. In this
// sequence it is unsafe to commit an entry of an earlier term by counting its replicas (Raft paper, figure 8).
func (c *cluster) loseCurrentTermEntries() {
	c.counters.EntryLosses++
	until := c.now + c.randomDuration(2*c.profile.electionTimeout, 16*c.profile.electionTimeout)
	for from := range c.hosts {
		c.loseEntries(from, until, func(*host) bool { return true })
	}
	c.isolateLeadersRepeatedly(until)
}

// isolateLeadersRepeatedly isolates the current leaders, and does so repeatedly up to a time.
func (c *cluster) isolateLeadersRepeatedly(until time.Duration) {
	if c.faultsOver || c.now >= until {
		return
	}
	for _, leader := range c.leaders() {
		c.partition(func(other *host) bool { return other == leader }, c.now+c.randomDuration(c.profile.electionTimeout, 4*c.profile.electionTimeout))
	}
	c.schedule(c.randomDuration(c.profile.electionTimeout/2, 2*c.profile.electionTimeout), func() { c.isolateLeadersRepeatedly(until) })
}

// competingChangesScenario is a scenario in which two successive leaders each make a membership change that
// only their side of the group receives. Then the first leader's side is connected to the hosts that received
// neither change. In a group with an even number of voters this violates safety, unless a change waits for a
// commit of the current term, and unless a truncated change is undone.
type competingChangesScenario struct {
	cluster       *cluster
	firstLeader   *host
	sides         []partitionSide // by host index; nil: the group is not partitioned yet
	truncateFirst bool            // the first leader's change is truncated before the second leader makes its change
	secondLeader  *host           // nil: not elected yet
	finished      bool
}

// partitionSide tells which leader's change a host may receive.
type partitionSide int

const (
	sideNeither partitionSide = iota // neither change
	sideFirst                        // the first leader's change
	sideSecond                       // the second leader's change
)

// startCompetingChanges starts the scenario, unless one is in progress. The operator makes no changes until
// the scenario ends. If the number of voters is odd, a voter is removed first.
func (c *cluster) startCompetingChanges() {
	leaders := c.leaders()
	if len(leaders) == 0 || (c.competingChanges != nil && !c.competingChanges.finished) {
		return
	}
	c.counters.CompetingChanges++
	s := &competingChangesScenario{cluster: c, firstLeader: leaders[0], truncateFirst: c.chance(0.5)}
	c.competingChanges = s
	c.schedule(c.randomDuration(6*c.profile.electionTimeout, 16*c.profile.electionTimeout), s.finish)
	if countVoters(s.firstLeader.node.Status().Members)%2 == 0 {
		s.splitGroup()
		return
	}
	s.firstLeader.removeRandomVoter()
	c.schedule(c.randomDuration(0, c.profile.electionTimeout), s.splitGroup)
}

// countVoters returns the number of voters in a membership.
func countVoters(members []consensus.Member) int {
	voters := 0
	for _, member := range members {
		if member.Voter {
			voters++
		}
	}
	return voters
}

// splitGroup draws the sides, partitions the group and has the first leader make its change, which only its
// side receives.
func (s *competingChangesScenario) splitGroup() {
	if s.finished || !s.firstLeader.up {
		return
	}
	c := s.cluster
	s.sides = make([]partitionSide, len(c.hosts))
	for i := range s.sides {
		switch {
		case i == s.firstLeader.index || c.chance(0.15):
			s.sides[i] = sideFirst
		case c.chance(0.6):
			s.sides[i] = sideSecond
		}
	}
	until := c.now + 16*c.profile.electionTimeout
	c.partition(s.onSide(sideFirst), until)
	if !s.truncateFirst {
		s.confineEntriesToSecondSide(until)
	}
	s.firstLeader.removeRandomVoter()
}

// onSide returns a function that reports whether a host is on a side.
func (s *competingChangesScenario) onSide(side partitionSide) func(*host) bool {
	return func(candidate *host) bool { return s.sides[candidate.index] == side }
}

// confineEntriesToSecondSide loses, up to a time, messages with entries of their sender's own term to any host
// that is not on the second leader's side.
func (s *competingChangesScenario) confineEntriesToSecondSide(until time.Duration) {
	for from := range s.cluster.hosts {
		s.cluster.loseEntries(from, until, func(to *host) bool { return !s.onSide(sideSecond)(to) })
	}
}

// leaderElected must be called with each new leader. The first one that is not on the first leader's side
// becomes the second leader of the scenario.
func (s *competingChangesScenario) leaderElected(leader *host) {
	if s.finished || s.secondLeader != nil || s.sides == nil || s.onSide(sideFirst)(leader) {
		return
	}
	s.secondLeader = leader
	s.sides[leader.index] = sideSecond
	c := s.cluster
	if !s.truncateFirst {
		s.proposeChangeUntilJoined()
	} else {
		c.heal()
		c.schedule(c.randomDuration(0, c.profile.electionTimeout), func() {
			if !s.finished {
				s.confineEntriesToSecondSide(c.now + 16*c.profile.electionTimeout)
				s.proposeChangeUntilJoined()
			}
		})
	}
	c.schedule(c.randomDuration(c.profile.electionTimeout, 3*c.profile.electionTimeout), s.joinOtherSides)
}

// proposeChangeUntilJoined has the second leader propose its change repeatedly until joinOtherSides is called.
func (s *competingChangesScenario) proposeChangeUntilJoined() {
	if s.finished || s.secondLeader == nil || !s.secondLeader.up || s.secondLeader.node.Status().Role != consensus.RoleLeader {
		return
	}
	s.secondLeader.removeRandomVoter()
	s.cluster.schedule(s.cluster.randomDuration(0, s.cluster.profile.electionTimeout/2), s.proposeChangeUntilJoined)
}

// joinOtherSides isolates the second leader's side, connects all other hosts and ends the scenario.
func (s *competingChangesScenario) joinOtherSides() {
	if s.finished {
		return
	}
	c := s.cluster
	c.heal()
	c.partition(s.onSide(sideSecond), c.now+c.randomDuration(2*c.profile.electionTimeout, 6*c.profile.electionTimeout))
	s.finished = true
}

// finish ends the scenario, after which the operator may change the membership again.
func (s *competingChangesScenario) finish() { s.finished = true }

// stopAllDuringChange stops all hosts while the messages and writes of a membership change are in flight,
// either by killing all processes or by cutting the power of all hosts.
func (c *cluster) stopAllDuringChange() {
	for _, leader := range c.leaders() {
		c.counters.OutagesDuringChange++
		leader.removeRandomVoter()
	}
	stopAll := c.loseAllPower
	if c.chance(0.5) {
		stopAll = c.killAllProcesses
	}
	c.schedule(c.randomDuration(0, 2*(c.profile.maxDelay+c.profile.maxSyncTime)), func() {
		if !c.faultsOver {
			stopAll()
		}
	})
}
