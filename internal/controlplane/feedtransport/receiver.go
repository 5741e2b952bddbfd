package feedtransport

import (
	"errors"
	"slices"

	"ospreybend/coord/feed"
	"ospreybend/coord/shards"
)

// ErrInconsistentSnapshot is returned for a part of a snapshot that does not continue the previous parts, and for changes that
// arrive between the parts.
var ErrInconsistentSnapshot = errors.New("feedtransport: the parts of a snapshot are incomplete or out of order")

// Guard names one check that a reader applies to what it receives. Tests disable guards through ClientOptions.Omit to show that
// each of them is necessary. In production all guards are enabled.
type Guard string

// Guards of the receiver.
const (
	// GuardAboveOffset drops snapshots and changes that are not above the offset of their shard.
	GuardAboveOffset Guard = "nothing-below"
	// GuardCompleteSnapshot accepts a snapshot only if all its parts, from the first to the last, have arrived.
	GuardCompleteSnapshot Guard = "snapshot-whole"
	// GuardNoChangeDuringSnapshot rejects changes of a shard that arrive between the parts of the shard's snapshot.
	GuardNoChangeDuringSnapshot Guard = "no-change-amid-snapshot"
)

// receiver tracks the offset of each shard and accepts only what is above it. Only the goroutine of Client.Run uses it.
type receiver struct {
	offsets map[shards.ID]uint64
	partial map[shards.ID]feed.Snapshot // snapshots whose last part has not arrived
	omitted map[Guard]bool
}

// newReceiver returns a receiver that starts at these offsets, without the omitted guards.
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

// reset drops the incomplete snapshots of an earlier connection and returns the offsets for the Hello of a new one, sorted
// by shard.
func (r *receiver) reset() []Offset {
	clear(r.partial)
	offsets := make([]Offset, 0, len(r.offsets))
	for shard, index := range r.offsets {
		offsets = append(offsets, Offset{Shard: shard, Index: index})
	}
	slices.SortFunc(offsets, func(left, right Offset) int { return int(left.Shard) - int(right.Shard) })
	return offsets
}

// addPart adds one part of a snapshot. After the last part it returns the complete snapshot, provided that it is above the
// offset of its shard.
func (r *receiver) addPart(part SnapshotPart) (snapshot feed.Snapshot, complete bool, err error) {
	if part.First {
		snapshot = feed.Snapshot{Index: part.Index, Items: part.Items}
	} else {
		pending, ok := r.partial[part.Shard]
		if (!ok || pending.Index != part.Index) && !r.omitted[GuardCompleteSnapshot] {
			return feed.Snapshot{}, false, ErrInconsistentSnapshot
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

// accept reports whether a change is above the offset of its shard, and if so advances the offset. A change between the parts
// of its shard's snapshot is an error: it would raise the offset, and the snapshot would then be dropped.
func (r *receiver) accept(shard shards.ID, change feed.Change) (above bool, err error) {
	if _, pending := r.partial[shard]; pending && !r.omitted[GuardNoChangeDuringSnapshot] {
		return false, ErrInconsistentSnapshot
	}
	if change.Index <= r.offsets[shard] && !r.omitted[GuardAboveOffset] {
		return false, nil
	}
	r.offsets[shard] = change.Index
	return true, nil
}
