package simulation

import (
	"time"

	"ospreybend/coord/consensus"
)

// injectFault has one fault strike, by the schedule's weights.
func (c *cluster) injectFault() {
	if c.faultsOver {
		return
	}
	c.schedule(c.randomDuration(0, 2*c.profile.faultPause), c.injectFault)
	total := 0
	for _, weight := range c.profile.faultWeights {
		total += weight
	}
	if total == 0 {
		return
	}
	left := c.random.IntN(total)
	for at, weight := range c.profile.faultWeights {
		if left < weight {
			faults[at](c)
			return
		}
		left -= weight
	}
}

// isolateHost cuts a machine off from all others, in one direction or both.
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

// isolateLeaderButOne leaves a leader the way to one other member alone, so that entries and changes of members reach a
// minority, and has it propose.
func (c *cluster) isolateLeaderButOne() {
	c.counters.Partitions++
	for _, leader := range c.leaders() {
		left := c.randomHost().index
		until := c.now + c.randomDuration(100*time.Millisecond, 4*c.profile.electionTimeout)
		for other := range c.hosts {
			if other != left {
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

// partitionOneWay cuts one direction between two machines.
func (c *cluster) partitionOneWay() {
	c.counters.Partitions++
	from, to := c.randomHost().index, c.randomHost().index
	c.partitionedUntil[from][to] = c.now + c.randomDuration(100*time.Millisecond, 3*time.Second)
}

func (c *cluster) freezeProcess() {
	c.counters.ProcessFreezes++
	target := c.randomHost()
	target.frozenUntil = max(target.frozenUntil, c.now+c.randomDuration(50*time.Millisecond, 3*time.Second))
}

// killProcess ends a process. Mostly the writes under way are kept.
func (c *cluster) killProcess() {
	c.counters.ProcessKills++
	c.killProcessOf(c.randomHost())
}

func (c *cluster) killProcessOf(target *host) {
	survivingRecords := target.disk.pendingRecords()
	if c.chance(0.3) {
		survivingRecords = c.random.IntN(survivingRecords + 1)
	}
	target.stop(survivingRecords)
	c.restartLater(target, c.randomDuration(0, time.Second))
}

// losePower ends a machine. Writes under way are lost, or torn at any place.
func (c *cluster) losePower() {
	c.counters.PowerLosses++
	c.losePowerOf(c.randomHost())
}

func (c *cluster) losePowerOf(target *host) {
	survivingRecords := 0
	if c.chance(0.5) {
		survivingRecords = c.random.IntN(target.disk.pendingRecords() + 1)
	}
	target.stop(survivingRecords)
	c.restartLater(target, c.randomDuration(0, 2*time.Second))
}

func (c *cluster) restartLater(target *host, pause time.Duration) {
	process := target.processID
	c.schedule(pause, func() {
		if target.processID == process && !target.up {
			target.start()
		}
	})
}

func (c *cluster) killAllProcesses() {
	c.counters.GroupOutages++
	for _, host := range c.hosts {
		c.killProcessOf(host)
	}
}

func (c *cluster) loseAllPower() {
	c.counters.GroupOutages++
	for _, host := range c.hosts {
		c.losePowerOf(host)
	}
}

// loseDisk takes a machine's disk, unless as many as the group stands are already without.
func (c *cluster) loseDisk() {
	target := c.randomHost()
	lost := c.lostHosts()
	if lost[target.index] || len(lost) >= (c.options.Members-1)/2 {
		return
	}
	c.counters.DiskLosses++
	c.recordVoterLoss(&c.lastDiskLoss, c.lastRemoval)
	target.stop(0)
	target.disk = disk{}
	if !c.options.ReuseMemberID {
		target.nextMemberID()
	}
	c.restartLater(target, c.randomDuration(0, 500*time.Millisecond))
}

// lostHosts returns the machines that lost their disk and are not back, as a majority of disks knows it: the voters
// under their addresses are not just the present ID.
func (c *cluster) lostHosts() map[int]bool {
	lost := make(map[int]bool)
	for _, host := range c.hosts {
		for _, other := range c.hosts {
			if other.up && len(other.node.Status().Members) > 0 && !host.restoredIn(other.node.Status().Members) {
				lost[host.index] = true
			}
		}
		if host.up && len(host.node.Status().Members) == 0 {
			lost[host.index] = true
		}
	}
	for _, other := range c.hosts {
		if !other.up {
			lost[other.index] = true
		}
	}
	return lost
}

func (h *host) restoredIn(members []consensus.Member) bool {
	_, needed := h.neededChange(members, false)
	return !needed
}

// stallDisk has a disk hang, or refuse writes. Mostly the process notices.
func (c *cluster) stallDisk() {
	c.counters.DiskStalls++
	target := c.randomHost()
	span := c.randomDuration(100*time.Millisecond, 4*time.Second)
	target.diskStalledUntil = max(target.diskStalledUntil, c.now+span)
	if c.chance(0.3) {
		return
	}
	process := target.processID
	c.schedule(c.randomDuration(0, 300*time.Millisecond), func() { target.setWritable(process, false) })
	c.schedule(span+c.randomDuration(300*time.Millisecond, 600*time.Millisecond), func() { target.setWritable(process, true) })
}

func (h *host) setWritable(process int, writable bool) {
	h.whenProcessRunning(process, func() { h.node.SetWritable(h.clock(), writable) })
}

// transferLeadership has a leader hand over, to anyone or to the most current voter.
func (c *cluster) transferLeadership() {
	c.counters.Transfers++
	to := consensus.MemberID(0)
	if c.chance(0.5) {
		to = c.randomHost().id
	}
	for _, leader := range c.leaders() {
		leader.whenRunning(func() { leader.node.TransferLeadership(leader.clock(), to) })
	}
}

// changeInFlightTime is how long a message of a change may still be on its way.
const changeInFlightTime = 6 * time.Second

// recordVoterLoss notes that a voter is lost, by its disk or by removal. If the other kind of loss struck shortly before,
// the group may be left with fewer voters than it needs: it need not recover then, but must stay safe.
func (c *cluster) recordVoterLoss(at *time.Duration, other time.Duration) {
	*at = c.now
	if other > 0 && c.now-other < changeInFlightTime {
		c.mayLoseQuorum = true
	}
}

// removeVoter has leaders remove a voter. It is taken in again later, as one that lost its disk is.
func (c *cluster) removeVoter() {
	for _, leader := range c.leaders() {
		leader.removeRandomVoter()
	}
}

// removeRandomVoter has a leader remove some voter.
func (h *host) removeRandomVoter() {
	c := h.cluster
	c.recordVoterLoss(&c.lastRemoval, c.lastDiskLoss)
	removed := c.randomHost().id
	h.whenRunning(func() {
		if h.node.ChangeMembers(h.clock(), consensus.MembershipChange{Remove: removed}) == nil {
			c.counters.MembershipChanges++
		}
	})
}
