package consensus

import (
	"fmt"
	"time"
)

// Config configures a member. All members of a group should share the same values, except for ID, Seed and
// OmitRules.
type Config struct {
	ID                MemberID
	ElectionTimeout   time.Duration // minimum time without a leader before an election; the actual timeout is drawn from one to two times this
	HeartbeatInterval time.Duration // interval between a leader's rounds of heartbeats
	MaxAppendBytes    int           // maximum size of the entries in one AppendEntries; a larger entry is sent alone
	MaxInflight       int           // maximum number of unacknowledged AppendEntries per peer
	Seed              uint64        // seed of the random election timeouts
	TrailingEntries   int           // maximum number of entries before a snapshot that compaction retains for members slightly behind; 0: 256, negative: none
	OmitRules         []Rule        // safety rules that are not enforced; set only in tests
}

// PersistedState is the state that a member reads from its disk on start. The zero value stands for an empty
// disk: such a member does not vote and waits for a leader to send it the group's state.
type PersistedState struct {
	HardState HardState
	Snapshot  Snapshot // Index 0 means that there is none
	Entries   []Entry  // entries after the snapshot
}

// Bootstrap returns the initial state for the first members of a group: a snapshot at index 1 of term 1 with the
// membership and the state machine's initial data. All of these members must use the same arguments.
func Bootstrap(members []Member, data []byte) PersistedState {
	return PersistedState{
		HardState: HardState{Term: 1, Commit: 1},
		Snapshot:  Snapshot{Index: 1, Term: 1, Members: members, Data: data},
	}
}

// Check returns an error that wraps ErrInvalidState unless the entries follow the snapshot without a gap and in
// non-decreasing terms.
func (s *PersistedState) Check() error {
	index, term := s.Snapshot.Index, s.Snapshot.Term
	if index == 0 && len(s.Entries) > 0 {
		return fmt.Errorf("%w: %d entries without a snapshot", ErrInvalidState, len(s.Entries))
	}
	for _, entry := range s.Entries {
		if entry.Index != index+1 {
			return fmt.Errorf("%w: entry %d follows index %d, want entry %d", ErrInvalidState, entry.Index, index, index+1)
		}
		if entry.Term < term {
			return fmt.Errorf("%w: entry %d of term %d follows an entry of the higher term %d", ErrInvalidState, entry.Index, entry.Term, term)
		}
		index, term = entry.Index, entry.Term
	}
	return nil
}
