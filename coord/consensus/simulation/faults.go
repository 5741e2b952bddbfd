package simulation

import (
	"time"

	"ospreybend/coord/consensus"
)

// injectFault injects one fault, drawn by the profile's weights, and schedules the next one.
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

// freezeProcess suspends a process. Its events are delayed until it resumes.
func (c *cluster) freezeProcess() {
	c.counters.ProcessFreezes++
	target := c.randomHost()
	target.frozenUntil = max(target.frozenUntil, c.now+c.randomDuration(50*time.Millisecond, 3*time.Second))
}

// killProcess kills a random host's process, which is restarted later.
func (c *cluster) killProcess() {
	c.counters.ProcessKills++
	c.killProcessOf(c.randomHost())
}

// killProcessOf kills a host's process. Pending writes usually survive, since the operating system holds
// them; otherwise a random number of their first records does.
func (c *cluster) killProcessOf(target *host) {
	survivingRecords := target.disk.pendingRecords()
	if c.chance(0.3) {
		survivingRecords = c.random.IntN(survivingRecords + 1)
	}
	target.stop(survivingRecords)
	c.restartLater(target, c.randomDuration(0, time.Second))
}

// losePower cuts the power of a random host, which is restarted later.
func (c *cluster) losePower() {
	c.counters.PowerLosses++
	c.losePowerOf(c.randomHost())
}

// losePowerOf cuts the power of a host. Pending writes are lost, or end after a random record.
func (c *cluster) losePowerOf(target *host) {
	survivingRecords := 0
	if c.chance(0.5) {
		survivingRecords = c.random.IntN(target.disk.pendingRecords() + 1)
	}
	target.stop(survivingRecords)
	c.restartLater(target, c.randomDuration(0, 2*time.Second))
}

// restartLater starts a host's process after a delay, unless it has been started in the meantime.
func (c *cluster) restartLater(target *host, delay time.Duration) {
	processID := target.processID
	c.schedule(delay, func() {
		if target.processID == processID && !target.up {
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

// loseDisk replaces a host's disk by an empty one, unless as many hosts as the group tolerates are already
// unavailable. The host returns under a new member ID, except with options.ReuseMemberID.
func (c *cluster) loseDisk() {
	target := c.randomHost()
	unavailable := c.unavailableHosts()
	if unavailable[target.index] || len(unavailable) >= (c.options.Members-1)/2 {
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

// unavailableHosts returns the indexes of the hosts that are stopped, have no membership, or are not a voter
// under their current ID alone in the membership that some running member knows.
func (c *cluster) unavailableHosts() map[int]bool {
	unavailable := make(map[int]bool)
	for _, host := range c.hosts {
		for _, other := range c.hosts {
			if other.up && len(other.node.Status().Members) > 0 && !host.isSoleVoterIn(other.node.Status().Members) {
				unavailable[host.index] = true
			}
		}
		if host.up && len(host.node.Status().Members) == 0 {
			unavailable[host.index] = true
		}
	}
	for _, other := range c.hosts {
		if !other.up {
			unavailable[other.index] = true
		}
	}
	return unavailable
}

// isSoleVoterIn reports whether a host is a voter of a membership under its current ID, and no member under
// any other.
func (h *host) isSoleVoterIn(members []consensus.Member) bool {
	_, needed := h.nextMembershipChange(members, false)
	return !needed
}

// stallDisk stalls a disk for a while. Usually the process notices and tells its member, first that the disk
// takes no writes and later that it takes them again.
func (c *cluster) stallDisk() {
	c.counters.DiskStalls++
	target := c.randomHost()
	duration := c.randomDuration(100*time.Millisecond, 4*time.Second)
	target.diskStalledUntil = max(target.diskStalledUntil, c.now+duration)
	if c.chance(0.3) {
		return
	}
	processID := target.processID
	c.schedule(c.randomDuration(0, 300*time.Millisecond), func() { target.setWritable(processID, false) })
	c.schedule(duration+c.randomDuration(300*time.Millisecond, 600*time.Millisecond), func() { target.setWritable(processID, true) })
}

// setWritable tells the member of a process whether its disk takes writes, unless the process has ended.
func (h *host) setWritable(processID int, writable bool) {
	h.whenProcessRunning(processID, func() { h.node.SetWritable(h.clock(), writable) })
}

// transferLeadership has the leaders transfer leadership to a random member, or to one that they choose.
func (c *cluster) transferLeadership() {
	c.counters.Transfers++
	to := consensus.MemberID(0)
	if c.chance(0.5) {
		to = c.randomHost().id
	}
	for _, leader := range c.leaders() {
		leader.whenRunning(func() {
			_ = leader.node.TransferLeadership(leader.clock(), to) // may be rejected, for example if the target is not a voter
		})
	}
}

// changeInFlightTime is how long the messages of a membership change may remain in flight.
const changeInFlightTime = 6 * time.Second

// recordVoterLoss records the loss of a voter, either of its disk or by its removal. If a loss of the other
// kind occurred within changeInFlightTime, the group may be left without a quorum: it need not recover then,
// but must stay safe.
func (c *cluster) recordVoterLoss(lostAt *time.Duration, otherLossAt time.Duration) {
	*lostAt = c.now
	if otherLossAt > 0 && c.now-otherLossAt < changeInFlightTime {
		c.mayLoseQuorum = true
	}
}

// removeVoter has each leader remove a random voter. The operator adds it again later, as it does for a host
// that lost its disk.
func (c *cluster) removeVoter() {
	for _, leader := range c.leaders() {
		leader.removeRandomVoter()
	}
}

// removeRandomVoter has a leader propose the removal of a random host's member.
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
