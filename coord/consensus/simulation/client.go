package simulation

import (
	"encoding/binary"
	"time"

	"ospreybend/coord/consensus"
)

// minRecoveryInterval is the least mean pause between two calls of the client after the faults, so that
// members far behind can catch up with any limit of messages in flight.
const minRecoveryInterval = 100 * time.Millisecond

// runClient proposes a command or reads at one of the members that believe they lead, and schedules the
// next call.
func (c *cluster) runClient() {
	delay := c.profile.clientInterval
	if c.faultsOver {
		delay = max(delay, minRecoveryInterval)
	}
	c.schedule(c.randomDuration(0, 2*delay), c.runClient)
	leaders := c.leaders()
	if len(leaders) == 0 {
		return
	}
	target := leaders[c.random.IntN(len(leaders))]
	if c.chance(0.4) {
		target.whenRunning(target.read)
		return
	}
	target.whenRunning(target.propose)
}

// leaders returns the hosts whose member believes that it leads.
func (c *cluster) leaders() []*host {
	var leaders []*host
	for _, host := range c.hosts {
		if host.up && host.node.Status().Role == consensus.RoleLeader {
			leaders = append(leaders, host)
		}
	}
	return leaders
}

// maxUncommitted is the number of uncommitted entries beyond which the client waits.
const maxUncommitted = 50

// propose proposes a new command.
func (h *host) propose() {
	if status := h.node.Status(); status.LastIndex > status.CommitIndex+maxUncommitted {
		return
	}
	h.cluster.lastCommandID++
	data := binary.LittleEndian.AppendUint64(nil, h.cluster.lastCommandID)
	term, index, err := h.node.Propose(h.clock(), data)
	if err == nil {
		h.proposedTerms[index] = term
	}
}

// acknowledged records a command that its proposer saw committed. Some schedules cut all power at that
// moment.
func (c *cluster) acknowledged(entry consensus.Entry) {
	c.counters.Acknowledged++
	c.checks.acknowledged = append(c.checks.acknowledged, entry.Index)
	if !c.faultsOver && c.chance(c.profile.powerLossAtAckRate) {
		c.schedule(0, c.loseAllPower)
	}
}

// read starts a read, which must cover everything applied anywhere so far.
func (h *host) read() {
	h.cluster.lastReadID++
	id := h.cluster.lastReadID
	if h.node.ReadIndex(h.clock(), id) == nil {
		h.readFloors[id] = h.cluster.checks.lastCommitted()
	}
}

// finishReads checks the answered reads.
func (h *host) finishReads(results []consensus.ReadResult) {
	for _, result := range results {
		floor := h.readFloors[result.ID]
		delete(h.readFloors, result.ID)
		if result.OK {
			h.cluster.counters.Reads++
			h.cluster.checks.read(h, floor, result.Index)
		}
	}
}

// operatorInterval is the longest pause between two checks of the membership by the operator.
const operatorInterval = 100 * time.Millisecond

// runOperator brings hosts that lost their disk back into the group, as the control plane's server does.
func (c *cluster) runOperator() {
	c.schedule(c.randomDuration(operatorInterval/2, operatorInterval), c.runOperator)
	if c.competition != nil && !c.competition.finished && !c.faultsOver {
		return
	}
	for _, leader := range c.leaders() {
		leader.whenRunning(leader.repairMembership)
	}
}

// repairMembership proposes the first change that the membership needs.
func (h *host) repairMembership() {
	members := h.node.Status().Members
	for _, machine := range h.cluster.hosts {
		change, needed := machine.neededChange(members, h.cluster.profile.removeFirst)
		if !needed {
			continue
		}
		if h.node.ChangeMembers(h.clock(), change) == nil {
			h.cluster.counters.MembershipChanges++
		}
		return
	}
}

// neededChange returns the next change by which a host becomes a voter under its present ID alone.
func (h *host) neededChange(members []consensus.Member, removeFirst bool) (consensus.MembershipChange, bool) {
	var own, old *consensus.Member
	for i := range members {
		switch {
		case members[i].ID == h.id:
			own = &members[i]
		case members[i].Address == h.address():
			old = &members[i]
		}
	}
	added := consensus.Member{ID: h.id, Address: h.address()}
	switch {
	case own == nil:
		return consensus.MembershipChange{Add: &added}, true
	case old != nil && (removeFirst || own.Voter):
		return consensus.MembershipChange{Remove: old.ID}, true
	case !own.Voter:
		added.Voter = true
		return consensus.MembershipChange{Add: &added}, true
	}
	return consensus.MembershipChange{}, false
}
