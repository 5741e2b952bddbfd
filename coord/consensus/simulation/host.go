package simulation

import (
	"fmt"
	"time"

	"ospreybend/coord/consensus"
)

// idsPerHost is the size of the range of member IDs reserved for a host. Each incarnation of its disk uses
// one.
const idsPerHost = 1000

// host simulates one machine with its disk and its process.
type host struct {
	cluster          *cluster
	index            int
	incarnation      int // of the disk, from 1
	id               consensus.MemberID
	disk             disk
	diskStalledUntil time.Duration
	clockOffset      time.Duration // of its monotonic clock from simulated time

	// The process. Events scheduled for an earlier process are ignored.
	processID      int // changes at each start and stop
	up             bool
	frozenUntil    time.Duration
	node           *consensus.Node
	tickAt         time.Duration     // when the next Tick is scheduled; 0: none
	readyScheduled bool              // a call of Ready is scheduled
	lastLedTerm    uint64            // last term in which its member was seen to lead
	proposedTerms  map[uint64]uint64 // of its own pending proposals: term by index
	minReadIndexes map[uint64]uint64 // of its pending reads: lowest valid index by read ID

	// The replicated state machine.
	applied                uint64
	stateHash              uint64
	appliedSinceCompaction int // entries applied since the last compaction
}

// newHost returns a host with an empty disk.
func newHost(c *cluster, index int) *host {
	h := &host{cluster: c, index: index, clockOffset: c.randomDuration(0, time.Hour)}
	h.nextMemberID()
	return h
}

// hostIndexOf returns the index of the host that a member ID belongs to.
func hostIndexOf(id consensus.MemberID) int { return int(id/idsPerHost) - 1 }

// nextMemberID gives the host the member ID of its next incarnation.
func (h *host) nextMemberID() {
	h.incarnation++
	h.id = consensus.MemberID((h.index+1)*idsPerHost + h.incarnation)
}

// address returns the host's address, which is the same for all its incarnations.
func (h *host) address() string { return fmt.Sprintf("10.0.0.%d:1", h.index+1) }

// clock returns the host's monotonic time.
func (h *host) clock() time.Duration { return h.cluster.now + h.clockOffset }

// start starts the process from the durable state.
func (h *host) start() {
	h.processID++
	h.up = true
	h.frozenUntil = 0
	h.tickAt, h.readyScheduled = 0, false
	h.lastLedTerm, h.applied, h.stateHash, h.appliedSinceCompaction = 0, 0, 0, 0
	h.proposedTerms = make(map[uint64]uint64)
	h.minReadIndexes = make(map[uint64]uint64)
	h.node = consensus.New(h.config(), h.disk.durable, h.clock())
	h.processReady()
}

// config returns the configuration of the host's member.
func (h *host) config() consensus.Config {
	return consensus.Config{
		ID:                h.id,
		ElectionTimeout:   h.cluster.profile.electionTimeout,
		HeartbeatInterval: h.cluster.profile.electionTimeout / heartbeatsPerElectionTimeout,
		MaxAppendBytes:    h.cluster.profile.maxAppendBytes,
		MaxInflight:       h.cluster.profile.maxInflight,
		Seed:              h.cluster.random.Uint64(),
		TrailingEntries:   h.cluster.profile.trailingEntries,
		OmitRules:         h.cluster.options.OmitRules,
	}
}

// stop ends the process. Of the records of pending writes, in order, the first survivingRecords become
// durable.
func (h *host) stop(survivingRecords int) {
	h.up = false
	h.processID++
	h.disk.crash(survivingRecords)
}

// whenRunning runs an action of the process: immediately, or after the process is no longer frozen. The
// action is dropped if the process is down or has ended by then.
func (h *host) whenRunning(action func()) {
	if !h.up {
		return
	}
	if h.cluster.now < h.frozenUntil {
		processID := h.processID
		delay := h.frozenUntil - h.cluster.now + h.cluster.randomDuration(0, time.Millisecond)
		h.cluster.schedule(delay, func() { h.whenProcessRunning(processID, action) })
		return
	}
	action()
	h.scheduleReady()
}

// whenProcessRunning is whenRunning for an action of the given process, which may have ended.
func (h *host) whenProcessRunning(processID int, action func()) {
	if h.processID == processID {
		h.whenRunning(action)
	}
}

// receive passes a message to the member.
func (h *host) receive(message consensus.Message) {
	h.whenRunning(func() { h.node.Step(h.clock(), message) })
}

// scheduleReady handles Ready now, or a little later so that several events share one call.
func (h *host) scheduleReady() {
	if !h.cluster.chance(h.cluster.profile.readyBatchRate) {
		h.processReady()
		return
	}
	if h.readyScheduled {
		return
	}
	h.readyScheduled = true
	processID := h.processID
	h.cluster.schedule(h.cluster.randomDuration(0, 5*time.Millisecond), func() {
		if h.processID != processID {
			return
		}
		h.readyScheduled = false
		h.whenRunning(func() {}) // calls scheduleReady
	})
}

// processReady carries out what the member's Ready returns: writes, messages, entries to apply and reads.
func (h *host) processReady() {
	ready := h.node.Ready()
	if ready.Persist != nil {
		sequence := ready.Persist.Sequence
		h.write(newWriteOperation(ready.Persist, func() { h.node.Persisted(h.clock(), sequence) }))
	}
	for _, message := range ready.Messages {
		h.cluster.send(message)
	}
	if ready.Restore != nil {
		h.restore(*ready.Restore)
	}
	for _, entry := range ready.Committed {
		h.apply(entry)
	}
	h.finishReads(ready.Reads)
	h.checkNewLeader()
	h.compactLog()
	h.scheduleTick()
}

// scheduleTick schedules the next Tick with a small random delay, unless one is scheduled by then.
func (h *host) scheduleTick() {
	next := h.node.NextTick()
	if next == consensus.NoTick {
		h.tickAt = 0
		return
	}
	tickAt := max(next-h.clockOffset, h.cluster.now)
	if h.tickAt != 0 && h.tickAt <= tickAt {
		return
	}
	h.tickAt = tickAt
	processID := h.processID
	h.cluster.schedule(tickAt-h.cluster.now+h.cluster.randomDuration(0, 2*time.Millisecond), func() {
		if h.processID == processID && h.tickAt == tickAt {
			h.tickAt = 0
			h.whenRunning(func() { h.node.Tick(h.clock()) })
		}
	})
}

// checkNewLeader checks the log of a member that has become leader. In some schedules the host may lose
// power soon afterwards.
func (h *host) checkNewLeader() {
	status := h.node.Status()
	if status.Role != consensus.RoleLeader || status.Term == h.lastLedTerm {
		return
	}
	h.lastLedTerm = status.Term
	h.cluster.counters.Leaders++
	h.cluster.checks.leaderElected(h, status.Term, h.disk.stateAfterWrites())
	if h.cluster.competingChanges != nil && !h.cluster.faultsOver {
		h.cluster.competingChanges.leaderElected(h)
	}
	if !h.cluster.faultsOver && h.cluster.chance(h.cluster.profile.powerLossAtElectionRate) {
		processID := h.processID
		h.cluster.schedule(h.cluster.randomDuration(0, 100*time.Millisecond), func() {
			if h.processID == processID {
				h.cluster.losePowerOf(h)
			}
		})
	}
}
