package simulation

import "fmt"

// calmDown ends all faults.
func (w *world) calmDown() {
	w.calm = true
	for _, host := range w.hosts {
		host.stalled = min(host.stalled, w.now)
		host.frozen = min(host.frozen, w.now)
		if !host.up {
			host.start()
		}
		host.act(func() { host.node.SetWritable(host.clock(), true) })
		host.sync()
	}
}

// backlog is how many entries a member may lack while commands go on.
const backlog = 100

// allCurrent reports whether all members are back and have applied an entry of a common term after the faults.
func (w *world) allCurrent() bool {
	leaders := w.leaders()
	if len(leaders) != 1 {
		return false
	}
	leader := leaders[0]
	term, found := w.checks.termOf(leader.applied)
	if !found || term != leader.node.Status().Term {
		return false
	}
	for _, host := range w.hosts {
		behind := host.applied+backlog < leader.applied
		if behind || !host.settledIn(leader.node.Status().Members) {
			return false
		}
	}
	return true
}

// checkRecovery checks that the group works again. It need not where lost disks come back under old IDs: such
// members are refused what they lost.
func (w *world) checkRecovery() {
	if w.mayStandStill || w.options.ReuseIdentity || w.allCurrent() {
		return
	}
	check := CheckAllCurrent
	if len(w.leaders()) != 1 {
		check = CheckRecovers
	}
	text := fmt.Sprintf("%d leaders", len(w.leaders()))
	for _, host := range w.hosts {
		text += fmt.Sprintf("; member %d at %v: %+v", host.id, host.clock(), host.node.Status())
	}
	w.checks.fail(check, text)
}
