package simulation

import (
	"fmt"
	"time"

	"ospreybend/coord/consensus"
)

// idsPerHost is the number of member IDs of a host, one for each incarnation of its disk.
const idsPerHost = 1000

// host is one machine with its disk and its process.
type host struct {
	cluster          *cluster
	index            int
	incarnation      int // of the disk
	id               consensus.MemberID
	disk             disk
	diskStalledUntil time.Duration
	clockOffset      time.Duration // of its monotonic clock

	// The process. Events that belong to an earlier one are void.
	processID      int // number of the starts
	up             bool
	frozenUntil    time.Duration
	node           *consensus.Node
	tickAt         time.Duration     // when the next Tick is scheduled, 0: none
	readyScheduled bool              // a call of Ready is scheduled
	lastLedTerm    uint64            // last term in which it was seen as leader
	proposedTerms  map[uint64]uint64 // of its own pending proposals: the term, by index
	readFloors     map[uint64]uint64 // of its pending reads: the index to be covered, by ID

	// The replicated state machine.
	applied                uint64
	stateHash              uint64
	appliedSinceCompaction int // entries
}

// newHost returns a host with an empty disk.
func newHost(c *cluster, index int) *host {
	h := &host{cluster: c, index: index, clockOffset: c.randomDuration(0, time.Hour)}
	h.nextMemberID()
	return h
}

// hostOf returns the index of the host that a member ID belongs to.
func hostOf(id consensus.MemberID) int { return int(id/idsPerHost) - 1 }

// nextMemberID gives the host the ID of its next incarnation.
func (h *host) nextMemberID() {
	h.incarnation++
	h.id = consensus.MemberID((h.index+1)*idsPerHost + h.incarnation)
}

// address returns the host's address, which stays the same.
func (h *host) address() string { return fmt.Sprintf("10.0.0.%d:1", h.index+1) }

// clock returns the host's monotonic time.
func (h *host) clock() time.Duration { return h.cluster.now + h.clockOffset }

// start starts the process with what the disk has.
func (h *host) start() {
	h.processID++
	h.up = true
	h.frozenUntil = 0
	h.tickAt, h.readyScheduled = 0, false
	h.lastLedTerm, h.applied, h.stateHash, h.appliedSinceCompaction = 0, 0, 0, 0
	h.proposedTerms = make(map[uint64]uint64)
	h.readFloors = make(map[uint64]uint64)
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

// stop ends the process. Of the records of pending writes, in order, only the first ones survive.
func (h *host) stop(survivingRecords int) {
	h.up = false
	h.processID++
	h.disk.crash(survivingRecords)
}

// whenRunning runs an action of the process: now, when it is no longer frozen, or never if it has ended by
// then.
func (h *host) whenRunning(action func()) {
	if !h.up {
		return
	}
	if h.cluster.now < h.frozenUntil {
		process := h.processID
		delay := h.frozenUntil - h.cluster.now + h.cluster.randomDuration(0, time.Millisecond)
		h.cluster.schedule(delay, func() { h.whenProcessRunning(process, action) })
		return
	}
	action()
	h.scheduleReady()
}

// whenProcessRunning is whenRunning for a process that may have ended.
func (h *host) whenProcessRunning(process int, action func()) {
	if h.processID == process {
		h.whenRunning(action)
	}
}

// receive passes a message to the member.
func (h *host) receive(message consensus.Message) {
	h.whenRunning(func() { h.node.Step(h.clock(), message) })
}

// scheduleReady calls Ready now, or a little later so that several events share the call.
func (h *host) scheduleReady() {
	if !h.cluster.chance(h.cluster.profile.batchRate) {
		h.processReady()
		return
	}
	if h.readyScheduled {
		return
	}
	h.readyScheduled = true
	process := h.processID
	h.cluster.schedule(h.cluster.randomDuration(0, 5*time.Millisecond), func() {
		if h.processID != process {
			return
		}
		h.readyScheduled = false
		h.whenRunning(func() {})
	})
}

// processReady does what the member asks for.
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

// scheduleTick schedules the next Tick, a little late.
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
	process := h.processID
	h.cluster.schedule(tickAt-h.cluster.now+h.cluster.randomDuration(0, 2*time.Millisecond), func() {
		if h.processID == process && h.tickAt == tickAt {
			h.tickAt = 0
			h.whenRunning(func() { h.node.Tick(h.clock()) })
		}
	})
}

// checkNewLeader checks the log of a member that has become leader. Some schedules cut its power soon
// after.
func (h *host) checkNewLeader() {
	status := h.node.Status()
	if status.Role != consensus.RoleLeader || status.Term == h.lastLedTerm {
		return
	}
	h.lastLedTerm = status.Term
	h.cluster.counters.Leaders++
	h.cluster.checks.leaderElected(h, status.Term, h.disk.stateAfterWrites())
	if h.cluster.competition != nil && !h.cluster.faultsOver {
		h.cluster.competition.leaderElected(h)
	}
	if !h.cluster.faultsOver && h.cluster.chance(h.cluster.profile.powerLossAtElectionRate) {
		process := h.processID
		h.cluster.schedule(h.cluster.randomDuration(0, 100*time.Millisecond), func() {
			if h.processID == process {
				h.cluster.losePowerOf(h)
			}
		})
	}
}
