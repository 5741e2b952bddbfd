package feedtransport

import (
	"errors"
	"slices"

	"ospreybend/coord/feed"
	"ospreybend/coord/shards"
)

// ErrBrokenSnapshot is returned where the parts of a snapshot do not belong together.
var ErrBrokenSnapshot = errors.New("feedlink: parts of a snapshot do not fit")

// Guard names one check of what a reader takes. Tests leave guards out to show that their absence is noticed. A
// running system leaves out none.
type Guard string

// The guards that can be left out.
const (
	GuardAboveOffset            Guard = "nothing-below"           // what is not above the offset held is dropped
	GuardCompleteSnapshot       Guard = "snapshot-whole"          // the parts of a snapshot are of one snapshot, from its first to its last
	GuardNoChangeDuringSnapshot Guard = "no-change-amid-snapshot" // no change counts before the snapshot of its shard is whole
)

// Guards returns all guards that can be left out.
func Guards() []Guard {
	return []Guard{GuardAboveOffset, GuardCompleteSnapshot, GuardNoChangeDuringSnapshot}
}

// receiver knows how far each shard is held, and drops what is not above that.
type receiver struct {
	offsets map[shards.ID]uint64
	partial map[shards.ID]feed.Snapshot // snapshots of which the last part has not come
	omitted map[Guard]bool
}

func newReceiver(offsets []Offset, omit ...Guard) *receiver {
	known := make(map[shards.ID]uint64)
	for _, offset := range offsets {
		known[offset.Shard] = offset.Index
	}
	omitted := make(map[Guard]bool, len(omit))
	for _, guard := range omit {
		omitted[guard] = true
	}
	return &receiver{offsets: known, partial: make(map[shards.ID]feed.Snapshot), omitted: omitted}
}

// reset forgets what an earlier connection did not complete, and returns the offsets to ask from.
func (r *receiver) reset() []Offset {
	clear(r.partial)
	offsets := make([]Offset, 0, len(r.offsets))
	for shard, index := range r.offsets {
		offsets = append(offsets, Offset{Shard: shard, Index: index})
	}
	slices.SortFunc(offsets, func(a, b Offset) int { return int(a.Shard) - int(b.Shard) })
	return offsets
}

// addPart takes one part of a snapshot, and returns the whole with the last of them, unless it is not
// above what is held.
func (r *receiver) addPart(part SnapshotPart) (snapshot feed.Snapshot, complete bool, err error) {
	if part.First {
		snapshot = feed.Snapshot{Index: part.Index, Items: part.Items}
	} else {
		pending, ok := r.partial[part.Shard]
		if (!ok || pending.Index != part.Index) && !r.omitted[GuardCompleteSnapshot] {
			return feed.Snapshot{}, false, ErrBrokenSnapshot
		}
		snapshot = feed.Snapshot{Index: part.Index, Items: append(pending.Items, part.Items...)}
	}
	if !part.Last {
		r.partial[part.Shard] = snapshot
		return feed.Snapshot{}, false, nil
	}
	delete(r.partial, part.Shard)
	if snapshot.Index <= r.offsets[part.Shard] && !r.omitted[GuardAboveOffset] {
		return feed.Snapshot{}, false, nil
	}
	r.offsets[part.Shard] = snapshot.Index
	return snapshot, true, nil
}

// accept tells whether a change is above what is held, and counts it as held then. It cannot come amid the parts of its
// shard's snapshot, which would be below what is held once they are whole.
func (r *receiver) accept(shard shards.ID, change feed.Change) (above bool, err error) {
	if _, pending := r.partial[shard]; pending && !r.omitted[GuardNoChangeDuringSnapshot] {
		return false, ErrBrokenSnapshot
	}
	if change.Index <= r.offsets[shard] && !r.omitted[GuardAboveOffset] {
		return false, nil
	}
	r.offsets[shard] = change.Index
	return true, nil
}
