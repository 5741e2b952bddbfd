package registry

import "ospreybend/coord/feed"

// Outcome is what became of one command. The caller is answered with Status.
type Outcome struct {
	Status int // of HTTP
	Code   Code
	Text   string
}

// Store is the replicated list of instances of one shard. It is not safe for concurrent use.
type Store struct{}

// NewStore returns a store without instances.
func NewStore() *Store { return &Store{} }

// Apply carries out a committed command. It is deterministic. The change has the given index, and
// is empty where nothing changed.
func (s *Store) Apply(index uint64, command []byte) (Outcome, feed.Change) { panic("not built yet") }

// Instance returns a record that nobody may write to, or nil.
func (s *Store) Instance(id string) *Instance { panic("not built yet") }

// Instances returns the instances of a service in the order of their IDs, of all for "".
func (s *Store) Instances(service string) []Instance { panic("not built yet") }

// Removed tells whether an instance is gone for good, so that its heartbeats change nothing.
func (s *Store) Removed(id string) bool { panic("not built yet") }

// Items returns the feed's items, sorted by key (the instance's ID).
func (s *Store) Items() []feed.Item { panic("not built yet") }

// Snapshot returns the whole state; equal states give equal bytes.
func (s *Store) Snapshot() []byte { panic("not built yet") }

// Restore replaces the state by what Snapshot returned.
func (s *Store) Restore(snapshot []byte) error { panic("not built yet") }
