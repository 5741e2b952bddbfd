package simulation

import (
	"encoding/binary"
	"time"

	"ospreybend/coord/consensus"
)

// minClientIntervalAfterFaults is the shortest mean interval between two calls of the client after the
// faults. It lets members that are far behind catch up even if few messages may be in flight.
const minClientIntervalAfterFaults = 100 * time.Millisecond

// runClient proposes a command to, or reads from, one of the members that believe they lead, and schedules
// the client's next call.
func (c *cluster) runClient() {
	delay := c.profile.clientInterval
	if c.faultsOver {
		delay = max(delay, minClientIntervalAfterFaults)
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

// maxUncommittedEntries is the number of uncommitted entries above which the client proposes no command.
const maxUncommittedEntries = 50

// propose proposes a new command, unless the member has too many uncommitted entries.
func (h *host) propose() {
	if status := h.node.Status(); status.LastIndex > status.CommitIndex+maxUncommittedEntries {
		return
	}
	h.cluster.lastCommandID++
	data := binary.LittleEndian.AppendUint64(nil, h.cluster.lastCommandID)
	term, index, err := h.node.Propose(h.clock(), data)
	if err == nil {
		h.proposedTerms[index] = term
	}
}

// acknowledged records a command that its proposer saw committed. In some schedules all hosts may then lose
// power at once.
func (c *cluster) acknowledged(entry consensus.Entry) {
	c.counters.Acknowledged++
	c.checks.acknowledged = append(c.checks.acknowledged, entry.Index)
	if !c.faultsOver && c.chance(c.profile.powerLossAtAckRate) {
		c.schedule(0, c.loseAllPower)
	}
}

// read starts a read. Its result must cover everything that any member has applied so far.
func (h *host) read() {
	h.cluster.lastReadID++
	id := h.cluster.lastReadID
	if h.node.ReadIndex(h.clock(), id) == nil {
		h.minReadIndexes[id] = h.cluster.checks.lastCommitted()
	}
}

// finishReads checks the results of confirmed reads.
func (h *host) finishReads(results []consensus.ReadResult) {
	for _, result := range results {
		minIndex := h.minReadIndexes[result.ID]
		delete(h.minReadIndexes, result.ID)
		if result.OK {
			h.cluster.counters.Reads++
			h.cluster.checks.readConfirmed(h, minIndex, result.Index)
		}
	}
}

// operatorInterval is the longest interval between two checks of the membership by the operator.
const operatorInterval = 100 * time.Millisecond

// runOperator plays the operator, which brings hosts that lost their disk back into the group, as the
// control plane's server does. It makes no changes while competing changes are played.
func (c *cluster) runOperator() {
	c.schedule(c.randomDuration(operatorInterval/2, operatorInterval), c.runOperator)
	if c.competingChanges != nil && !c.competingChanges.finished && !c.faultsOver {
		return
	}
	for _, leader := range c.leaders() {
		leader.whenRunning(leader.repairMembership)
	}
}

// repairMembership proposes the first membership change that any host needs.
func (h *host) repairMembership() {
	members := h.node.Status().Members
	for _, machine := range h.cluster.hosts {
		change, needed := machine.nextMembershipChange(members, h.cluster.profile.removeBeforePromotion)
		if !needed {
			continue
		}
		if h.node.ChangeMembers(h.clock(), change) == nil {
			h.cluster.counters.MembershipChanges++
		}
		return
	}
}

// nextMembershipChange returns the next change needed for a host to be a voter under its current ID, and
// under no other. It returns false if no change is needed.
func (h *host) nextMembershipChange(members []consensus.Member, removeBeforePromotion bool) (consensus.MembershipChange, bool) {
	var current, former *consensus.Member
	for i := range members {
		switch {
		case members[i].ID == h.id:
			current = &members[i]
		case members[i].Address == h.address():
			former = &members[i]
		}
	}
	added := consensus.Member{ID: h.id, Address: h.address()}
	switch {
	case current == nil:
		return consensus.MembershipChange{Add: &added}, true
	case former != nil && (removeBeforePromotion || current.Voter):
		return consensus.MembershipChange{Remove: former.ID}, true
	case !current.Voter:
		added.Voter = true
		return consensus.MembershipChange{Add: &added}, true
	}
	return consensus.MembershipChange{}, false
}
