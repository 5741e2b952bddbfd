package consensus

import (
	"fmt"
	"time"
)

// Config sets up a member.
type Config struct {
	ID                MemberID
	ElectionTimeout   time.Duration // least silence of the leader before a campaign; drawn up to twice this
	HeartbeatInterval time.Duration // pause between a leader's heartbeats
	MaxAppendBytes    int           // most bytes of entries in one message
	MaxInflight       int           // most unanswered Append messages for a member
	Seed              uint64        // of the draws of election timeouts
	TrailingEntries   int           // entries kept before a snapshot for members a little behind; 0: 256, negative: none
	DisabledRules     []Rule        // checks left out, by tests alone
}

// PersistedState is what a member finds on its disk. The zero value is an empty disk: such a member
// has no vote and waits for a leader to send it the group's state.
type PersistedState struct {
	HardState HardState
	Snapshot  Snapshot // Index 0: none
	Entries   []Entry  // those after the snapshot
}

// Bootstrap returns the state of a group's first members at its formation: a snapshot at index 1
// of term 1 with nothing but the membership. All founders must be given the same members.
func Bootstrap(members []Member, data []byte) PersistedState {
	return PersistedState{HardState: HardState{Term: 1, Commit: 1},
		Snapshot: Snapshot{Index: 1, Term: 1, Members: members, Data: data}}
}

// Check reports whether the state can be used: entries follow the snapshot without a gap, and terms never fall.
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
