package consensus

import (
	"fmt"
	"time"
)

// Config configures a member. All but ID, Seed and OmitRules should be the same on all members of a group.
type Config struct {
	ID                MemberID
	ElectionTimeout   time.Duration // shortest time without a leader before an election; the time is drawn from there up to twice this
	HeartbeatInterval time.Duration // between two heartbeats of a leader
	MaxAppendBytes    int           // bound of the entries in one AppendEntries; a larger entry is sent alone
	MaxInflight       int           // bound of the unanswered AppendEntries to one member
	Seed              uint64        // of the random election timeouts
	TrailingEntries   int           // entries retained before a snapshot for members a little behind; 0: 256, negative: none
	OmitRules         []Rule        // rules that are not enforced; only tests set it
}

// PersistedState is what a member finds on its disk. The zero value is an empty disk: such a member
// gives no vote and waits for a leader to send it the group's state.
type PersistedState struct {
	HardState HardState
	Snapshot  Snapshot // Index 0: none
	Entries   []Entry  // those after the snapshot
}

// Bootstrap returns the state that the first members of a group start from: a snapshot at index 1 of
// term 1 with the membership and the state machine's initial data. All of them must be given the same
// members and data.
func Bootstrap(members []Member, data []byte) PersistedState {
	return PersistedState{
		HardState: HardState{Term: 1, Commit: 1},
		Snapshot:  Snapshot{Index: 1, Term: 1, Members: members, Data: data},
	}
}

// Check returns an error that wraps ErrInvalidState unless the entries follow the snapshot without a
// gap and their terms never decrease.
func (s *PersistedState) Check() error {
	index, term := s.Snapshot.Index, s.Snapshot.Term
	if index == 0 && len(s.Entries) > 0 {
		return fmt.Errorf("%w: entries without a snapshot", ErrInvalidState)
	}
	for _, entry := range s.Entries {
		if entry.Index != index+1 {
			return fmt.Errorf("%w: entry %d follows %d", ErrInvalidState, entry.Index, index)
		}
		if entry.Term < term {
			return fmt.Errorf("%w: entry %d of term %d follows term %d", ErrInvalidState, entry.Index, entry.Term, term)
		}
		index, term = entry.Index, entry.Term
	}
	return nil
}
