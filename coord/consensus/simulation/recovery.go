package simulation

import "fmt"

// endFaults ends all faults and starts the hosts that are stopped.
func (c *cluster) endFaults() {
	c.faultsOver = true
	for _, host := range c.hosts {
		host.diskStalledUntil = min(host.diskStalledUntil, c.now)
		host.frozenUntil = min(host.frozenUntil, c.now)
		if !host.up {
			host.start()
		}
		host.whenRunning(func() { host.node.SetWritable(host.clock(), true) })
		host.startSync()
	}
}

// maxConvergenceLag is the number of entries by which a converged member may lag behind the leader, since the
// client continues to propose commands.
const maxConvergenceLag = 100

// converged reports whether a single member leads and has applied an entry of its own term, and all hosts are
// voters that have applied all but maxConvergenceLag of the leader's entries.
func (c *cluster) converged() bool {
	leaders := c.leaders()
	if len(leaders) != 1 {
		return false
	}
	leader := leaders[0]
	term, found := c.checks.termOf(leader.applied)
	if !found || term != leader.node.Status().Term {
		return false
	}
	for _, host := range c.hosts {
		behind := host.applied+maxConvergenceLag < leader.applied
		if behind || !host.isSoleVoterIn(leader.node.Status().Members) {
			return false
		}
	}
	return true
}

// checkRecovery checks that the group works again. The check is skipped if the group may have lost its quorum,
// or if hosts with lost disks return under their old IDs: such members need not catch up, since they reject
// entries that they acknowledged before.
func (c *cluster) checkRecovery() {
	if c.mayLoseQuorum || c.options.ReuseMemberID || c.converged() {
		return
	}
	check := CheckConvergence
	if len(c.leaders()) != 1 {
		check = CheckLeaderAfterFaults
	}
	text := fmt.Sprintf("%d leaders after the recovery time", len(c.leaders()))
	for _, host := range c.hosts {
		text += fmt.Sprintf("; member %d at clock %v: %+v", host.id, host.clock(), host.node.Status())
	}
	c.checks.recordViolation(check, text)
}
