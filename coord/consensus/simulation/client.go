package simulation

import (
	"encoding/binary"
	"time"

	"ospreybend/coord/consensus"
)

// calmPause is the mean pause between two calls of the client once the faults are over, so that members far behind
// catch up whatever the schedule's flow of messages is.
const calmPause = 100 * time.Millisecond

// clientWorks proposes a command or reads at a member that takes itself for the leader.
func (w *world) clientWorks() {
	pause := w.profile.work
	if w.calm {
		pause = max(pause, calmPause)
	}
	w.after(w.draw(0, 2*pause), w.clientWorks)
	leaders := w.leaders()
	if len(leaders) == 0 {
		return
	}
	chosen := leaders[w.random.IntN(len(leaders))]
	if w.chance(0.4) {
		chosen.act(chosen.read)
		return
	}
	chosen.act(chosen.propose)
}

// leaders returns the machines whose process takes itself for the leader.
func (w *world) leaders() []*host {
	var leaders []*host
	for _, host := range w.hosts {
		if host.up && host.node.Status().Role == consensus.RoleLeader {
			leaders = append(leaders, host)
		}
	}
	return leaders
}

// mostWaiting is how many entries may wait for a majority before the client holds back.
const mostWaiting = 50

func (h *host) propose() {
	if status := h.node.Status(); status.LastIndex > status.CommitIndex+mostWaiting {
		return
	}
	h.world.lastCommand++
	data := binary.LittleEndian.AppendUint64(nil, h.world.lastCommand)
	term, index, err := h.node.Propose(h.clock(), data)
	if err == nil {
		h.proposed[index] = term
	}
}

// acknowledged notes a command that its proposer saw committed. Some schedules cut the power at that moment.
func (w *world) acknowledged(entry consensus.Entry) {
	w.count.Acknowledged++
	w.checks.acknowledged = append(w.checks.acknowledged, entry.Index)
	if !w.calm && w.chance(w.profile.cutAtAck) {
		w.after(0, w.loseAllPower)
	}
}

func (h *host) read() {
	h.world.lastRead++
	id := h.world.lastRead
	if h.node.ReadIndex(h.clock(), id) == nil {
		h.began[id] = h.world.checks.last()
	}
}

func (h *host) finishReads(results []consensus.ReadResult) {
	for _, result := range results {
		floor := h.began[result.ID]
		delete(h.began, result.ID)
		if result.OK {
			h.world.count.Reads++
			h.world.checks.read(h, floor, result.Index)
		}
	}
}

// operatorPause is the pause between two looks at the members.
const operatorPause = 100 * time.Millisecond

// operatorWorks brings machines that lost their disk back into the group.
func (w *world) operatorWorks() {
	w.after(w.draw(operatorPause/2, operatorPause), w.operatorWorks)
	if w.rivals != nil && !w.rivals.over && !w.calm {
		return
	}
	for _, leader := range w.leaders() {
		leader.act(leader.mendMembers)
	}
}

// mendMembers makes the first change that the members need.
func (h *host) mendMembers() {
	members := h.node.Status().Members
	for _, machine := range h.world.hosts {
		change, needed := machine.neededChange(members, h.world.profile.removeFirst)
		if !needed {
			continue
		}
		if h.node.ChangeMembers(h.clock(), change) == nil {
			h.world.count.MemberChanges++
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
