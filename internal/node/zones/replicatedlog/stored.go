package replicatedlog

import (
	"errors"
	"fmt"

	"ospreybend/coord/consensus"
)

// ErrInvalidStoredState says that what a store holds cannot be used.
var ErrInvalidStoredState = errors.New("agreed: stored state cannot be used")

// StoredState is what a voter has made durable.
type StoredState struct {
	HardState *consensus.HardState // nil: none yet
	Snapshot  *consensus.Snapshot  // nil: none yet
	Entries   []consensus.Entry    // without a gap after the snapshot; some that it holds may still be among them
}

// Bootstrap is what every voter of a new fleet begins with: an empty state that names
// the voters.
func Bootstrap(ids []uint64) StoredState {
	members := make([]consensus.Member, len(ids))
	for i, id := range ids {
		members[i] = consensus.Member{ID: consensus.MemberID(id), Voter: true}
	}
	state := consensus.Bootstrap(members, nil)
	return StoredState{Snapshot: &state.Snapshot}
}

// toConsensus returns it as the core takes it.
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
		return state, fmt.Errorf("%w: agreed up to %d, but entries end at %d", ErrInvalidStoredState, state.HardState.Commit, last)
	}
	return state, nil
}

// Persist is what has to be made durable, whole or not at all.
type Persist struct {
	HardState   *consensus.HardState // nil: unchanged
	Entries     []consensus.Entry    // these and none after them
	Snapshot    *consensus.Snapshot  // nil: none; entries before First are not needed any more
	Replaces    bool                 // the snapshot came from another voter: all entries stored before are void
	First       uint64               // the first entry that is still needed, with a Snapshot
	sequence    uint64               // of the last that the core handed out
	ownSnapshot bool                 // the snapshot was made here
}

// Empty tells whether there is nothing to write.
func (p *Persist) Empty() bool {
	return p.HardState == nil && len(p.Entries) == 0 && p.Snapshot == nil
}

// merge takes in what the core wants durable after all that is in already.
func (p *Persist) merge(later *consensus.PersistRequest) {
	if later == nil {
		return
	}
	p.sequence = later.Sequence
	if later.Snapshot != nil {
		p.Snapshot, p.Replaces, p.First, p.Entries = later.Snapshot, true, later.Snapshot.Index+1, nil
	}
	if len(later.Entries) > 0 {
		p.Entries = truncateAndAppend(p.Entries, later.Entries)
	}
	if later.HardState != nil {
		p.HardState = later.HardState
	}
}

// truncateAndAppend appends entries in place of those from their first index on. The core may share both.
func truncateAndAppend(entries, later []consensus.Entry) []consensus.Entry {
	end := len(entries)
	for end > 0 && entries[end-1].Index >= later[0].Index {
		end--
	}
	return append(entries[:end:end], later...)
}

// addSnapshot takes in a snapshot made here.
func (p *Persist) addSnapshot(s consensus.Snapshot, first uint64) {
	p.Snapshot, p.First, p.ownSnapshot = &s, first, true
}
