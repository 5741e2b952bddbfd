package simulation

import (
	"encoding/binary"
	"time"

	"ospreybend/coord/consensus"
)

// minRecoveryPause is the mean pause between two calls of the client once the faults are over, so that members far behind
// catch up whatever the schedule's flow of messages is.
const minRecoveryPause = 100 * time.Millisecond

// runClient proposes a command or reads at a member that takes itself for the leader.
func (c *cluster) runClient() {
	pause := c.profile.clientPause
	if c.faultsOver {
		pause = max(pause, minRecoveryPause)
	}
	c.schedule(c.randomDuration(0, 2*pause), c.runClient)
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

// leaders returns the machines whose process takes itself for the leader.
func (c *cluster) leaders() []*host {
	var leaders []*host
	for _, host := range c.hosts {
		if host.up && host.node.Status().Role == consensus.RoleLeader {
			leaders = append(leaders, host)
		}
	}
	return leaders
}

// maxUncommitted is how many entries may wait for a majority before the client holds back.
const maxUncommitted = 50

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

// acknowledged notes a command that its proposer saw committed. Some schedules cut the power at that moment.
func (c *cluster) acknowledged(entry consensus.Entry) {
	c.counters.Acknowledged++
	c.checks.acknowledged = append(c.checks.acknowledged, entry.Index)
	if !c.faultsOver && c.chance(c.profile.powerLossAtAckRate) {
		c.schedule(0, c.loseAllPower)
	}
}

func (h *host) read() {
	h.cluster.lastReadID++
	id := h.cluster.lastReadID
	if h.node.ReadIndex(h.clock(), id) == nil {
		h.readFloors[id] = h.cluster.checks.lastCommitted()
	}
}

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

// operatorInterval is the pause between two looks at the members.
const operatorInterval = 100 * time.Millisecond

// runOperator brings machines that lost their disk back into the group.
func (c *cluster) runOperator() {
	c.schedule(c.randomDuration(operatorInterval/2, operatorInterval), c.runOperator)
	if c.competition != nil && !c.competition.finished && !c.faultsOver {
		return
	}
	for _, leader := range c.leaders() {
		leader.whenRunning(leader.repairMembership)
	}
}

// repairMembership makes the first change that the members need.
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

// neededChange returns the next change by which a machine comes back under its present ID.
func (h *host) neededChange(members []consensus.Member, removeFirst bool) (consensus.MembershipChange, bool) {
	var own, old *consensus.Member
	for at := range members {
		switch {
		case members[at].ID == h.id:
			own = &members[at]
		case members[at].Address == h.address():
			old = &members[at]
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
