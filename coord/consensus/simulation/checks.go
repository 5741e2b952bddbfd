package simulation

import (
	"fmt"

	"ospreybend/coord/consensus"
)

// bootstrapIndex is the index of the bootstrap snapshot.
const bootstrapIndex = 1

// committedEntry describes an entry as the first state machine to reach its index applied it.
type committedEntry struct {
	term      uint64
	stateHash uint64 // of the state after the entry
}

// checks records what has been observed in a schedule so far, and the violations found in it.
type checks struct {
	seed         uint64
	violations   []Violation
	leaders      map[uint64]consensus.MemberID // by term
	committed    []committedEntry              // index i is at i-bootstrapIndex
	acknowledged []uint64                      // indexes of acknowledged commands
}

// newChecks returns the checks of a schedule that starts from the bootstrap state.
func newChecks(seed uint64) checks {
	return checks{
		seed:      seed,
		leaders:   make(map[uint64]consensus.MemberID),
		committed: []committedEntry{{term: 1, stateHash: initialStateHash}},
	}
}

// recordViolation records a violation of a check.
func (c *checks) recordViolation(check Check, text string) {
	c.violations = append(c.violations, Violation{Seed: c.seed, Check: check, Text: text})
}

// lastCommitted returns the highest index that any state machine has applied.
func (c *checks) lastCommitted() uint64 {
	return bootstrapIndex + uint64(len(c.committed)) - 1
}

// messageSent checks that a message that only a leader may send comes from the one leader of its term.
func (c *checks) messageSent(message consensus.Message) {
	switch message.Kind {
	case consensus.MessageAppendEntries, consensus.MessageHeartbeat, consensus.MessageInstallSnapshot:
		c.recordLeader(message.Term, message.From)
	}
}

// recordLeader checks that a term has at most one leader.
func (c *checks) recordLeader(term uint64, id consensus.MemberID) {
	known, found := c.leaders[term]
	if found && known != id {
		c.recordViolation(CheckElectionSafety, fmt.Sprintf("term %d: leaders %d and %d", term, known, id))
	}
	c.leaders[term] = id
}

// leaderElected checks that a new leader's log contains every command acknowledged in an earlier term
// (leader completeness in the Raft paper).
func (c *checks) leaderElected(h *host, term uint64, stored consensus.PersistedState) {
	c.recordLeader(term, h.id)
	for _, index := range c.acknowledged {
		entryTerm := c.committed[index-bootstrapIndex].term
		if entryTerm < term && !hasEntry(stored, index, entryTerm) {
			c.recordViolation(CheckAcknowledgedDurable, fmt.Sprintf("the log of leader %d of term %d lacks acknowledged entry %d of term %d", h.id, term, index, entryTerm))
			return
		}
	}
}

// hasEntry reports whether persisted state contains an entry, in its log or covered by its snapshot.
func hasEntry(state consensus.PersistedState, index, term uint64) bool {
	base := state.Snapshot.Index
	if index <= base {
		return true
	}
	position := index - base - 1
	return position < uint64(len(state.Entries)) && state.Entries[position].Term == term
}

// applied checks an entry that a host is about to apply to its state machine.
func (c *checks) applied(h *host, entry consensus.Entry) {
	if entry.Index != h.applied+1 {
		c.recordViolation(CheckApplyOrder, fmt.Sprintf("member %d applies entry %d directly after entry %d", h.id, entry.Index, h.applied))
		return
	}
	stateHash := nextStateHash(h.stateHash, entry)
	if entry.Index > c.lastCommitted() {
		c.committed = append(c.committed, committedEntry{term: entry.Term, stateHash: stateHash})
		return
	}
	known := c.committed[entry.Index-bootstrapIndex]
	if known.stateHash != stateHash {
		c.recordViolation(CheckStateMachineSafety, fmt.Sprintf("member %d applies entry %d of term %d, another member applied a different entry of term %d there",
			h.id, entry.Index, entry.Term, known.term))
	}
}

// restored checks the state that a host has restored from a snapshot.
func (c *checks) restored(h *host, snapshot consensus.Snapshot) {
	if snapshot.Index > c.lastCommitted() {
		c.recordViolation(CheckStateMachineSafety, fmt.Sprintf("member %d restores a snapshot at index %d, but no member has applied an entry beyond %d", h.id, snapshot.Index, c.lastCommitted()))
		return
	}
	if c.committed[snapshot.Index-bootstrapIndex].stateHash != h.stateHash {
		c.recordViolation(CheckStateMachineSafety, fmt.Sprintf("member %d restores a state at index %d that differs from the state other members had there", h.id, snapshot.Index))
	}
}

// readConfirmed checks the index of a confirmed read. minIndex is the highest index that was applied
// anywhere when the read started.
func (c *checks) readConfirmed(h *host, minIndex, index uint64) {
	if index < minIndex {
		c.recordViolation(CheckLinearizableRead, fmt.Sprintf("member %d reads at index %d, but entry %d was applied before the read started", h.id, index, minIndex))
	}
}

// termOf returns the term of the applied entry at an index. It returns false if no member has applied one.
func (c *checks) termOf(index uint64) (uint64, bool) {
	if index < bootstrapIndex || index > c.lastCommitted() {
		return 0, false
	}
	return c.committed[index-bootstrapIndex].term, true
}
