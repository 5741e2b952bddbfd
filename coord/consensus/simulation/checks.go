package simulation

import (
	"fmt"

	"ospreybend/coord/consensus"
)

// firstIndex is the index of the bootstrap snapshot.
const firstIndex = 1

// committedEntry is an entry as the first state machine applied it.
type committedEntry struct {
	term      uint64
	stateHash uint64 // of the state after the entry
}

// checks is what a history has shown so far, and the violations found in it.
type checks struct {
	seed         uint64
	violations   []Violation
	leaders      map[uint64]consensus.MemberID // by term
	committed    []committedEntry              // by index, from firstIndex on
	acknowledged []uint64                      // indexes
}

// newChecks returns the checks of a history that starts from the bootstrap state.
func newChecks(seed uint64) checks {
	return checks{
		seed:      seed,
		leaders:   make(map[uint64]consensus.MemberID),
		committed: []committedEntry{{term: 1, stateHash: initialStateHash}},
	}
}

// fail records a violation.
func (c *checks) fail(check Check, text string) {
	c.violations = append(c.violations, Violation{Seed: c.seed, Check: check, Text: text})
}

// lastCommitted returns the highest index that any state machine has applied.
func (c *checks) lastCommitted() uint64 {
	return firstIndex + uint64(len(c.committed)) - 1
}

// leaderMessage checks the sender of a message that only the leader of its term may send.
func (c *checks) leaderMessage(message consensus.Message) {
	switch message.Kind {
	case consensus.MessageAppendEntries, consensus.MessageHeartbeat, consensus.MessageInstallSnapshot:
		c.recordLeader(message.Term, message.From)
	}
}

// recordLeader checks that a term has one leader.
func (c *checks) recordLeader(term uint64, id consensus.MemberID) {
	known, found := c.leaders[term]
	if found && known != id {
		c.fail(CheckElectionSafety, fmt.Sprintf("term %d: leaders %d and %d", term, known, id))
	}
	c.leaders[term] = id
}

// leaderElected checks that a new leader's log has everything acknowledged in former terms (paper: leader
// completeness).
func (c *checks) leaderElected(h *host, term uint64, stored consensus.PersistedState) {
	c.recordLeader(term, h.id)
	for _, index := range c.acknowledged {
		want := c.committed[index-firstIndex].term
		if want < term && !hasEntry(stored, index, want) {
			c.fail(CheckAcknowledgedDurable, fmt.Sprintf("leader %d of term %d lacks entry %d of term %d", h.id, term, index, want))
			return
		}
	}
}

// hasEntry reports whether a log has an entry, or a snapshot in its place.
func hasEntry(log consensus.PersistedState, index, term uint64) bool {
	base := log.Snapshot.Index
	if index <= base {
		return true
	}
	position := index - base - 1
	return position < uint64(len(log.Entries)) && log.Entries[position].Term == term
}

// applied checks an entry that a state machine applies.
func (c *checks) applied(member *host, entry consensus.Entry) {
	if entry.Index != member.applied+1 {
		c.fail(CheckApplyOrder, fmt.Sprintf("member %d applies entry %d after %d", member.id, entry.Index, member.applied))
		return
	}
	stateHash := nextStateHash(member.stateHash, entry)
	if entry.Index > c.lastCommitted() {
		c.committed = append(c.committed, committedEntry{term: entry.Term, stateHash: stateHash})
		return
	}
	known := c.committed[entry.Index-firstIndex]
	if known.stateHash != stateHash {
		c.fail(CheckStateMachineSafety, fmt.Sprintf("member %d applies entry %d of term %d, another applied one of term %d",
			member.id, entry.Index, entry.Term, known.term))
	}
}

// restored checks a snapshot that a state machine restores.
func (c *checks) restored(h *host, snapshot consensus.Snapshot) {
	if snapshot.Index > c.lastCommitted() {
		c.fail(CheckStateMachineSafety, fmt.Sprintf("member %d restores a snapshot at %d, the last applied entry is %d", h.id, snapshot.Index, c.lastCommitted()))
		return
	}
	if c.committed[snapshot.Index-firstIndex].stateHash != h.stateHash {
		c.fail(CheckStateMachineSafety, fmt.Sprintf("member %d restores another state at %d", h.id, snapshot.Index))
	}
}

// read checks the index of a confirmed read.
func (c *checks) read(h *host, floor, index uint64) {
	if index < floor {
		c.fail(CheckLinearizableRead, fmt.Sprintf("member %d reads at %d, entry %d was applied before", h.id, index, floor))
	}
}

// termOf returns the term of an entry that a state machine has applied.
func (c *checks) termOf(index uint64) (uint64, bool) {
	if index < firstIndex || index > c.lastCommitted() {
		return 0, false
	}
	return c.committed[index-firstIndex].term, true
}
