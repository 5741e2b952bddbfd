package configuration

import "ospreybend/coord/feed"

// Outcome is what became of one change.
type Outcome struct {
	Status     int // of HTTP: 200, 400 or 412
	Code       Code
	Text       string
	Generation uint64 // in force after the change
}

// Store is the replicated configuration. It is not safe for concurrent use.
type Store struct{}

// NewStore returns a store without a configuration: generation 0.
func NewStore() *Store { return &Store{} }

// CheckStatic returns why a command is invalid whatever the state is, or nil.
func CheckStatic(command Command) *Refusal { panic("not built yet") }

// Apply carries out a committed command. It is deterministic. The change has the given index, and
// is empty where nothing changed.
func (s *Store) Apply(index uint64, command []byte) (Outcome, feed.Change) { panic("not built yet") }

// Document returns the configuration as JSON, each item as it was sent.
func (s *Store) Document() []byte { panic("not built yet") }

// Items returns the feed's items, sorted by key.
func (s *Store) Items() []feed.Item { panic("not built yet") }

// Generation returns the number of the configuration in force; 0: none.
func (s *Store) Generation() uint64 { panic("not built yet") }

// Snapshot returns the whole state; equal states give equal bytes.
func (s *Store) Snapshot() []byte { panic("not built yet") }

// Restore replaces the state by what Snapshot returned.
func (s *Store) Restore(snapshot []byte) error { panic("not built yet") }
