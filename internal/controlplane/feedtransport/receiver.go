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
	GuardNothingBelow         Guard = "nothing-below"           // what is not above the offset held is dropped
	GuardSnapshotWhole        Guard = "snapshot-whole"          // the parts of a snapshot are of one snapshot, from its first to its last
	GuardNoChangeAmidSnapshot Guard = "no-change-amid-snapshot" // no change counts before the snapshot of its shard is whole
)

// Guards returns all guards that can be left out.
func Guards() []Guard {
	return []Guard{GuardNothingBelow, GuardSnapshotWhole, GuardNoChangeAmidSnapshot}
}

// receiver knows how far each shard is held, and drops what is not above that.
type receiver struct {
	offsets map[shards.ID]uint64
	partial map[shards.ID]feed.Snapshot // snapshots of which the last part has not come
	omitted map[Guard]bool
}

func newReceiver(offsets []Offset, omit ...Guard) *receiver {
	held := make(map[shards.ID]uint64)
	for _, offset := range offsets {
		held[offset.Shard] = offset.Index
	}
	omitted := make(map[Guard]bool, len(omit))
	for _, guard := range omit {
		omitted[guard] = true
	}
	return &receiver{offsets: held, partial: make(map[shards.ID]feed.Snapshot), omitted: omitted}
}

// connected forgets what an earlier connection did not complete, and returns the offsets to ask from.
func (r *receiver) connected() []Offset {
	clear(r.partial)
	offsets := make([]Offset, 0, len(r.offsets))
	for shard, index := range r.offsets {
		offsets = append(offsets, Offset{Shard: shard, Index: index})
	}
	slices.SortFunc(offsets, func(a, b Offset) int { return int(a.Shard) - int(b.Shard) })
	return offsets
}

// part takes one part of a snapshot, and returns the whole with the last of them, unless it is not
// above what is held.
func (r *receiver) part(part SnapshotPart) (snapshot feed.Snapshot, complete bool, err error) {
	if part.First {
		snapshot = feed.Snapshot{Index: part.Index, Items: part.Items}
	} else {
		begun, ok := r.partial[part.Shard]
		if (!ok || begun.Index != part.Index) && !r.omitted[GuardSnapshotWhole] {
			return feed.Snapshot{}, false, ErrBrokenSnapshot
		}
		snapshot = feed.Snapshot{Index: part.Index, Items: append(begun.Items, part.Items...)}
	}
	if !part.Last {
		r.partial[part.Shard] = snapshot
		return feed.Snapshot{}, false, nil
	}
	delete(r.partial, part.Shard)
	if snapshot.Index <= r.offsets[part.Shard] && !r.omitted[GuardNothingBelow] {
		return feed.Snapshot{}, false, nil
	}
	r.offsets[part.Shard] = snapshot.Index
	return snapshot, true, nil
}

// change tells whether a change is above what is held, and counts it as held then. It cannot come amid the parts of its
// shard's snapshot, which would be below what is held once they are whole.
func (r *receiver) change(shard shards.ID, change feed.Change) (above bool, err error) {
	if _, begun := r.partial[shard]; begun && !r.omitted[GuardNoChangeAmidSnapshot] {
		return false, ErrBrokenSnapshot
	}
	if change.Index <= r.offsets[shard] && !r.omitted[GuardNothingBelow] {
		return false, nil
	}
	r.offsets[shard] = change.Index
	return true, nil
}
