// Package feed holds a shard's state as keyed items together with a bounded backlog of its
// changes, so that a reader starts from a snapshot and goes on from an offset. It has no I/O.
package feed

// Item is one keyed record.
type Item struct {
	Key   string
	Value []byte
}

// Change is what one committed entry did to the items. All of it takes hold at one moment.
type Change struct {
	Index  uint64 // of the entry in the shard's log: the offset
	Put    []Item
	Delete []string
}

// Snapshot is the whole state at an offset.
type Snapshot struct {
	Index uint64
	Items []Item
}
