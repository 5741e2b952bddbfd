package catalog

import (
	"ospreybend/coord/feed"
	"ospreybend/coord/shards"
)

// Builder makes views of what the feed tells. It is not safe for concurrent use; the views are.
type Builder struct{}

// NewBuilder returns a builder whose view is empty.
func NewBuilder() *Builder { return &Builder{} }

// ApplySnapshot replaces a shard's items and tells whether the view changed. A snapshot that is not
// newer than what is held is ignored.
func (b *Builder) ApplySnapshot(shard shards.ID, snapshot feed.Snapshot) bool {
	panic("not built yet")
}

// ApplyChange follows a change and tells whether the view changed. An index that is not above the
// one held is ignored.
func (b *Builder) ApplyChange(shard shards.ID, change feed.Change) bool { panic("not built yet") }

// View returns the state now. It never changes.
func (b *Builder) View() *View { panic("not built yet") }

// Offsets returns the index that is held of each shard.
func (b *Builder) Offsets() map[shards.ID]uint64 { panic("not built yet") }

// Ready tells whether a configuration has come.
func (b *Builder) Ready() bool { panic("not built yet") }
