package simulation

import (
	"time"

	"ospreybend/coord/consensus"
)

// injectFault injects one fault, drawn by the profile's weights, and schedules the next.
func (c *cluster) injectFault() {
	if c.faultsOver {
		return
	}
	c.schedule(c.randomDuration(0, 2*c.profile.faultInterval), c.injectFault)
	total := 0
	for _, weight := range c.profile.faultWeights {
		total += weight
	}
	if total == 0 {
		return
	}
	remaining := c.random.IntN(total)
	for kind, weight := range c.profile.faultWeights {
		if remaining < weight {
			faults[kind](c)
			return
		}
		remaining -= weight
	}
}

// freezeProcess suspends a process. Its events wait until it goes on.
func (c *cluster) freezeProcess() {
	c.counters.ProcessFreezes++
	target := c.randomHost()
	target.frozenUntil = max(target.frozenUntil, c.now+c.randomDuration(50*time.Millisecond, 3*time.Second))
}

// killProcess kills a process, which starts again later.
func (c *cluster) killProcess() {
	c.counters.ProcessKills++
	c.killProcessOf(c.randomHost())
}

// killProcessOf kills a host's process. Pending writes mostly survive in the operating system.
func (c *cluster) killProcessOf(target *host) {
	survivingRecords := target.disk.pendingRecords()
	if c.chance(0.3) {
		survivingRecords = c.random.IntN(survivingRecords + 1)
	}
	target.stop(survivingRecords)
	c.restartLater(target, c.randomDuration(0, time.Second))
}

// losePower cuts the power of a host, which starts again later.
func (c *cluster) losePower() {
	c.counters.PowerLosses++
	c.losePowerOf(c.randomHost())
}

// losePowerOf cuts the power of a host. Pending writes are lost, or torn after any record.
func (c *cluster) losePowerOf(target *host) {
	survivingRecords := 0
	if c.chance(0.5) {
		survivingRecords = c.random.IntN(target.disk.pendingRecords() + 1)
	}
	target.stop(survivingRecords)
	c.restartLater(target, c.randomDuration(0, 2*time.Second))
}

// restartLater starts a host's process after a pause, unless it was started meanwhile.
func (c *cluster) restartLater(target *host, delay time.Duration) {
	process := target.processID
	c.schedule(delay, func() {
		if target.processID == process && !target.up {
			target.start()
		}
	})
}

// killAllProcesses kills the processes of all hosts.
func (c *cluster) killAllProcesses() {
	c.counters.GroupOutages++
	for _, host := range c.hosts {
		c.killProcessOf(host)
	}
}

// loseAllPower cuts the power of all hosts.
func (c *cluster) loseAllPower() {
	c.counters.GroupOutages++
	for _, host := range c.hosts {
		c.losePowerOf(host)
	}
}

// loseDisk empties a host's disk, unless as many as the group tolerates are already lost.
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

// lostHosts returns the hosts that lost their disk and have not returned as voters, as far as any member
// knows, and those that are stopped.
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

// restoredIn reports whether a host is a voter of a membership under its present ID, and under no other.
func (h *host) restoredIn(members []consensus.Member) bool {
	_, needed := h.neededChange(members, false)
	return !needed
}

// stallDisk has a disk stall for a while. Mostly the process notices, and tells its member.
func (c *cluster) stallDisk() {
	c.counters.DiskStalls++
	target := c.randomHost()
	duration := c.randomDuration(100*time.Millisecond, 4*time.Second)
	target.diskStalledUntil = max(target.diskStalledUntil, c.now+duration)
	if c.chance(0.3) {
		return
	}
	process := target.processID
	c.schedule(c.randomDuration(0, 300*time.Millisecond), func() { target.setWritable(process, false) })
	c.schedule(duration+c.randomDuration(300*time.Millisecond, 600*time.Millisecond), func() { target.setWritable(process, true) })
}

// setWritable tells the member of a process whether its disk takes writes.
func (h *host) setWritable(process int, writable bool) {
	h.whenProcessRunning(process, func() { h.node.SetWritable(h.clock(), writable) })
}

// transferLeadership has the leaders transfer leadership to any member, or to the best one.
func (c *cluster) transferLeadership() {
	c.counters.Transfers++
	to := consensus.MemberID(0)
	if c.chance(0.5) {
		to = c.randomHost().id
	}
	for _, leader := range c.leaders() {
		leader.whenRunning(func() {
			_ = leader.node.TransferLeadership(leader.clock(), to) // may be rejected, as by a target that is no voter
		})
	}
}

// changeInFlightTime is how long the messages of a membership change may still be on their way.
const changeInFlightTime = 6 * time.Second

// recordVoterLoss records that a voter is lost, by its disk or by its removal. If a loss of the other kind
// occurred shortly before, the group may be left without a quorum: it need not recover then, but must stay
// safe.
func (c *cluster) recordVoterLoss(lostAt *time.Duration, otherLossAt time.Duration) {
	*lostAt = c.now
	if otherLossAt > 0 && c.now-otherLossAt < changeInFlightTime {
		c.mayLoseQuorum = true
	}
}

// removeVoter has the leaders remove a voter. The operator adds it again later, like one that lost its
// disk.
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
