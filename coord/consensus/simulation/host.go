package simulation

import (
	"encoding/binary"
	"fmt"
	"time"

	"ospreybend/coord/consensus"
)

// incarnations is how many IDs a machine has.
const incarnations = 1000

// host is one machine with its disk and its process.
type host struct {
	world       *world
	index       int
	incarnation int
	id          consensus.MemberID
	disk        disk
	offset      time.Duration // of its monotonic clock

	process  int // counts the starts; what belongs to an earlier one is void
	up       bool
	node     *consensus.Node
	frozen   time.Duration // until when
	stalled  time.Duration // until when its disk is
	tickAt   time.Duration // when the next Tick is planned, 0: none
	pumping  bool          // a Take is planned
	ledTerm  uint64        // last term in which it was seen as leader
	applied  uint64
	chain    uint64
	sinceCut int // entries applied since the last snapshot

	proposed map[uint64]uint64 // term by index of the own proposals that wait
	began    map[uint64]uint64 // by read: what it must cover
}

func newHost(w *world, index int) *host {
	h := &host{world: w, index: index, offset: w.draw(0, time.Hour)}
	h.nextIdentity()
	return h
}

func hostOf(id consensus.MemberID) int { return int(id/incarnations) - 1 }

func (h *host) nextIdentity() {
	h.incarnation++
	h.id = consensus.MemberID((h.index+1)*incarnations + h.incarnation)
}

func (h *host) address() string { return fmt.Sprintf("10.0.0.%d:1", h.index+1) }

func (h *host) clock() time.Duration { return h.world.now + h.offset }

// start starts the process with what the disk holds.
func (h *host) start() {
	h.process++
	h.up = true
	h.frozen = 0
	h.tickAt, h.pumping = 0, false
	h.ledTerm, h.applied, h.chain, h.sinceCut = 0, 0, 0, 0
	h.proposed = make(map[uint64]uint64)
	h.began = make(map[uint64]uint64)
	h.node = consensus.New(h.config(), h.disk.durable, h.clock())
	h.pump()
}

func (h *host) config() consensus.Config {
	return consensus.Config{
		ID:                h.id,
		ElectionTimeout:   h.world.profile.election,
		HeartbeatInterval: h.world.profile.election / heartbeatShare,
		MaxAppendBytes:    h.world.profile.appendBytes,
		MaxInflight:       h.world.profile.inflight,
		Seed:              h.world.random.Uint64(),
		TrailingEntries:   h.world.profile.trailing,
		DisabledRules:     h.world.options.Omit,
	}
}

// stop ends the process. Of the writes under way some first records are kept.
func (h *host) stop(kept int) {
	h.up = false
	h.process++
	h.disk.lose(kept)
}

// act lets the process do something, after a freeze if it is frozen, unless it has ended.
func (h *host) act(action func()) {
	if !h.up {
		return
	}
	if h.world.now < h.frozen {
		process := h.process
		pause := h.frozen - h.world.now + h.world.draw(0, time.Millisecond)
		h.world.after(pause, func() { h.actAs(process, action) })
		return
	}
	action()
	h.pumpSoon()
}

// actAs is act for a process that may have ended since.
func (h *host) actAs(process int, action func()) {
	if h.process == process {
		h.act(action)
	}
}

func (h *host) receive(message consensus.Message) {
	h.act(func() { h.node.Step(h.clock(), message) })
}

// pumpSoon calls Take now, or a little later so that several calls fall together.
func (h *host) pumpSoon() {
	if !h.world.chance(h.world.profile.batch) {
		h.pump()
		return
	}
	if h.pumping {
		return
	}
	h.pumping = true
	process := h.process
	h.world.after(h.world.draw(0, 5*time.Millisecond), func() {
		if h.process != process {
			return
		}
		h.pumping = false
		h.act(func() {})
	})
}

// pump carries out what the node wants done.
func (h *host) pump() {
	ready := h.node.Ready()
	if ready.Persist != nil {
		sequence := ready.Persist.Sequence
		h.write(persistOperation(ready.Persist, func() { h.node.Persisted(h.clock(), sequence) }))
	}
	for _, message := range ready.Messages {
		h.world.send(message)
	}
	if ready.Restore != nil {
		h.restore(*ready.Restore)
	}
	for _, entry := range ready.Committed {
		h.apply(entry)
	}
	h.finishReads(ready.Reads)
	h.noticeLeader()
	h.cutLog()
	h.planTick()
}

// planTick plans the next Tick, a little late.
func (h *host) planTick() {
	next := h.node.NextTick()
	if next == consensus.NoTick {
		h.tickAt = 0
		return
	}
	at := max(next-h.offset, h.world.now)
	if h.tickAt != 0 && h.tickAt <= at {
		return
	}
	h.tickAt = at
	process := h.process
	h.world.after(at-h.world.now+h.world.draw(0, 2*time.Millisecond), func() {
		if h.process == process && h.tickAt == at {
			h.tickAt = 0
			h.act(func() { h.node.Tick(h.clock()) })
		}
	})
}

func (h *host) restore(snapshot consensus.Snapshot) {
	h.applied = snapshot.Index
	h.chain = binary.LittleEndian.Uint64(snapshot.Data)
	h.sinceCut = 0
	h.world.checks.restored(h, snapshot)
}

func (h *host) apply(entry consensus.Entry) {
	h.world.checks.applied(h, entry)
	h.applied = entry.Index
	h.chain = nextChain(h.chain, entry)
	h.sinceCut++
	term, own := h.proposed[entry.Index]
	if !own {
		return
	}
	delete(h.proposed, entry.Index)
	if term == entry.Term {
		h.world.acknowledged(entry)
	}
}

// noticeLeader checks a new leader's log.
func (h *host) noticeLeader() {
	status := h.node.Status()
	if status.Role != consensus.RoleLeader || status.Term == h.ledTerm {
		return
	}
	h.ledTerm = status.Term
	h.world.count.Leaders++
	h.world.checks.leads(h, status.Term, h.disk.view())
	if h.world.rivals != nil && !h.world.calm {
		h.world.rivals.leads(h)
	}
	if !h.world.calm && h.world.chance(h.world.profile.cutAtLead) {
		process := h.process
		h.world.after(h.world.draw(0, 100*time.Millisecond), func() {
			if h.process == process {
				h.world.cutPower(h)
			}
		})
	}
}

// cutLog takes a snapshot after a number of entries.
func (h *host) cutLog() {
	if h.sinceCut < h.world.profile.cutAfter {
		return
	}
	snapshot, known := h.node.SnapshotAt(h.applied, encodeChain(h.chain))
	if !known {
		return
	}
	h.sinceCut = 0
	h.world.count.Compactions++
	h.write(operation{
		records: []record{{compact: &snapshot}},
		done:    func() { h.node.Compact(snapshot.Index, snapshot.Members, snapshot.Data) },
	})
}

// write queues a write. One sync takes all that is queued when it starts.
func (h *host) write(written operation) {
	h.disk.queue = append(h.disk.queue, written)
	h.sync()
}

func (h *host) sync() {
	if h.disk.syncing || len(h.disk.queue) == 0 {
		return
	}
	h.disk.syncing = true
	pause := h.world.draw(0, h.world.profile.sync) + max(0, h.stalled-h.world.now)
	count, process := len(h.disk.queue), h.process
	h.world.after(pause, func() { h.synced(process, count) })
}

func (h *host) synced(process, count int) {
	if h.process != process {
		return
	}
	if h.world.now < h.stalled {
		h.world.after(h.stalled-h.world.now, func() { h.synced(process, count) })
		return
	}
	finished := h.disk.queue[:count]
	h.disk.queue = h.disk.queue[count:]
	h.disk.syncing = false
	for _, operation := range finished {
		h.keep(operation)
	}
	h.act(func() { h.report(finished) })
	h.sync()
}

func (h *host) keep(operation operation) {
	for _, written := range operation.records {
		if err := write(&h.disk.durable, written); err != nil {
			h.world.checks.fail(CheckStorage, fmt.Sprintf("member %d: %v", h.id, err))
		}
	}
}

func (h *host) report(finished []operation) {
	for _, operation := range finished {
		operation.done()
	}
}

func encodeChain(chain uint64) []byte {
	return binary.LittleEndian.AppendUint64(nil, chain)
}
