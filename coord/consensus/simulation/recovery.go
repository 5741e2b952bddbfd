package simulation

import "fmt"

// endFaults ends all faults and starts all hosts.
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

// maxConvergenceLag is the number of entries that a member may lack while the client goes on.
const maxConvergenceLag = 100

// converged reports whether one member leads, its term has committed entries, and all hosts are voters that
// have applied nearly as much.
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
		if behind || !host.restoredIn(leader.node.Status().Members) {
			return false
		}
	}
	return true
}

// checkRecovery checks that the group works again. It need not where voters were lost beyond what it
// tolerates, or where lost disks returned under their old IDs: the leader rejects what such members lack.
func (c *cluster) checkRecovery() {
	if c.mayLoseQuorum || c.options.ReuseMemberID || c.converged() {
		return
	}
	check := CheckConvergence
	if len(c.leaders()) != 1 {
		check = CheckLeaderAfterFaults
	}
	text := fmt.Sprintf("%d leaders", len(c.leaders()))
	for _, host := range c.hosts {
		text += fmt.Sprintf("; member %d at %v: %+v", host.id, host.clock(), host.node.Status())
	}
	c.checks.fail(check, text)
}
