// Package feed keeps the state of one shard as keyed items, together with a bounded backlog of its latest
// changes. A reader starts from a snapshot and continues from an offset, the index of the last change it
// has.
//
// It has no I/O and no goroutine. The state machines of the control plane fill a Buffer from committed
// entries; package feedtransport sends its snapshots and changes to agents and proxies, which apply them in
// the same form.
package feed

// Item is one keyed record.
type Item struct {
	Key   string
	Value []byte
}

// Change is what one committed entry did to the items. It takes effect as a whole.
type Change struct {
	Index  uint64   // the offset: the index of the entry in the shard's log
	Put    []Item   // added or replaced, after Delete
	Delete []string // keys
}

// Snapshot is the complete state at an offset.
type Snapshot struct {
	Index uint64
	Items []Item
}
