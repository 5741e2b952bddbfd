// Package feed holds the state of one shard as keyed items, together with a bounded backlog of its latest
// changes. A reader starts from a snapshot and continues from an offset, which is the index of the last change
// that it has applied.
//
// The package has no I/O and no goroutines. The state machines of the control plane fill a Buffer from
// committed entries; package feedtransport sends its snapshots and changes to agents and proxies, which apply
// them in the same form.
package feed

// Item is one keyed record.
type Item struct {
	Key   string
	Value []byte
}

// Change is the effect of one committed entry on the items. It is applied as a whole.
type Change struct {
	Index  uint64   // the offset: the index of the entry in the shard's log
	Put    []Item   // added or replaced; applied after Delete
	Delete []string // keys of the deleted items
}

// Snapshot is the complete state of a shard at an offset.
type Snapshot struct {
	Index uint64
	Items []Item
}
