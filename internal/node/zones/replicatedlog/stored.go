package replicatedlog

import (
	"errors"
	"fmt"

	"ospreybend/coord/consensus"
)

// ErrInvalidStoredState is returned for stored records that contradict each other.
var ErrInvalidStoredState = errors.New("replicated log: invalid stored state")

// StoredState is the state that a voter has made durable.
type StoredState struct {
	HardState *consensus.HardState // nil: none yet
	Snapshot  *consensus.Snapshot  // nil: none yet
	Entries   []consensus.Entry    // consecutive; may begin before the snapshot's index
}

// Bootstrap returns the initial state of every voter of a new group: an empty log with the given voters.
func Bootstrap(ids []uint64) StoredState {
	members := make([]consensus.Member, len(ids))
	for i, id := range ids {
		members[i] = consensus.Member{ID: consensus.MemberID(id), Voter: true}
	}
	state := consensus.Bootstrap(members, nil)
	return StoredState{Snapshot: &state.Snapshot}
}

// toConsensus converts the state to the consensus core's type. Without a hard state the snapshot's index counts as
// committed.
func (s StoredState) toConsensus() (consensus.PersistedState, error) {
	var state consensus.PersistedState
	if s.Snapshot != nil {
		state.Snapshot = *s.Snapshot
		state.HardState = consensus.HardState{Term: s.Snapshot.Term, Commit: s.Snapshot.Index}
	}
	for _, entry := range s.Entries {
		if entry.Index > state.Snapshot.Index {
			state.Entries = append(state.Entries, entry)
		}
	}
	if err := state.Check(); err != nil {
		return state, fmt.Errorf("%w: %w", ErrInvalidStoredState, err)
	}
	if s.HardState == nil {
		return state, nil
	}
	state.HardState = *s.HardState
	last := state.Snapshot.Index + uint64(len(state.Entries))
	if state.HardState.Commit > last {
		return state, fmt.Errorf("%w: the commit index is %d, but the last entry is %d", ErrInvalidStoredState, state.HardState.Commit, last)
	}
	return state, nil
}

// Persist is what must be made durable in one atomic write.
type Persist struct {
	HardState       *consensus.HardState // nil: unchanged
	Entries         []consensus.Entry    // replace all stored entries from the first one's index on
	Snapshot        *consensus.Snapshot  // nil: none; stored entries before FirstIndex may be deleted
	ReplacesEntries bool                 // the snapshot came from another voter: all stored entries must be deleted
	FirstIndex      uint64               // index of the first entry still needed; set with a Snapshot
	sequence        uint64               // sequence number of the core's last PersistRequest merged into this one
	ownSnapshot     bool                 // the snapshot was made by this voter
}

// Empty reports whether there is nothing to write.
func (p *Persist) Empty() bool {
	return p.HardState == nil && len(p.Entries) == 0 && p.Snapshot == nil
}

// merge adds the core's next request to those merged before.
func (p *Persist) merge(later *consensus.PersistRequest) {
	if later == nil {
		return
	}
	p.sequence = later.Sequence
	if later.Snapshot != nil {
		p.Snapshot, p.ReplacesEntries, p.FirstIndex, p.Entries = later.Snapshot, true, later.Snapshot.Index+1, nil
	}
	if len(later.Entries) > 0 {
		p.Entries = truncateAndAppend(p.Entries, later.Entries)
	}
	if later.HardState != nil {
		p.HardState = later.HardState
	}
}

// truncateAndAppend replaces the entries from the index of the first later entry on. It copies, as both slices may
// share memory with the core.
func truncateAndAppend(entries, later []consensus.Entry) []consensus.Entry {
	end := len(entries)
	for end > 0 && entries[end-1].Index >= later[0].Index {
		end--
	}
	return append(entries[:end:end], later...)
}

// addSnapshot adds a snapshot made by this voter.
func (p *Persist) addSnapshot(s consensus.Snapshot, first uint64) {
	p.Snapshot, p.FirstIndex, p.ownSnapshot = &s, first, true
}
