package feed

import (
	"errors"
	"sort"

	"github.com/google/btree"
)

// ErrIndexNotIncreasing is returned for a change whose index is not above the buffer's.
var ErrIndexNotIncreasing = errors.New("feed: the index of the change is not above the index of the buffer")

const (
	itemTreeDegree = 32
	changeOverhead = 64 // bytes counted for a change in addition to its items
	itemOverhead   = 32 // bytes counted for an item or a deleted key in addition to its key and value

	// maxSharedSnapshotLag is the greatest size in bytes of the changes after a snapshot with which the snapshot
	// is still given to further readers.
	maxSharedSnapshotLag = 32 << 10
)

// Guard names a safety check of a Buffer. Tests omit guards one by one to show that they then detect a
// violation; a running system enforces all of them.
type Guard string

// The guards that tests can omit.
const (
	// GuardBacklogFloor requires that a reader whose offset is before the backlog gets a snapshot.
	GuardBacklogFloor Guard = "backlog-floor"
	// GuardIndexIncreases requires that a change whose index is not above the last one is rejected.
	GuardIndexIncreases Guard = "index-rises"
)

// Buffer holds the items of one shard and the latest changes to them. Values passed in and out are shared and
// must not be modified. A Buffer is not safe for concurrent use.
type Buffer struct {
	index           uint64 // of the last change or of the snapshot
	backlogFloor    uint64 // all changes with a higher index are in the backlog
	items           *btree.BTreeG[Item]
	backlog         []Change
	backlogBytes    int
	maxBacklogBytes int
	omittedGuards   map[Guard]bool
	sharedSnapshot  *Snapshot // the latest one that CatchUp returned; nil: none since the last Reset
}

// NewBuffer returns an empty buffer at index 0, whose backlog is limited to maxBacklogBytes. Only tests omit
// guards.
func NewBuffer(maxBacklogBytes int, omit ...Guard) *Buffer {
	buffer := &Buffer{maxBacklogBytes: maxBacklogBytes, omittedGuards: make(map[Guard]bool, len(omit))}
	for _, guard := range omit {
		buffer.omittedGuards[guard] = true
	}
	buffer.items = newItemTree()
	return buffer
}

// newItemTree returns an empty tree of items sorted by key.
func newItemTree() *btree.BTreeG[Item] {
	return btree.NewG(itemTreeDegree, func(left, right Item) bool { return left.Key < right.Key })
}

// Reset replaces the items by those of a snapshot and empties the backlog.
func (b *Buffer) Reset(snapshot Snapshot) {
	b.index = snapshot.Index
	b.backlogFloor = snapshot.Index
	b.backlog = nil
	b.backlogBytes = 0
	b.sharedSnapshot = nil
	b.items = newItemTree()
	for _, item := range snapshot.Items {
		b.items.ReplaceOrInsert(item)
	}
}

// Append applies a change. If its index is not above the buffer's, Append returns ErrIndexNotIncreasing and
// changes nothing. Indexes may be skipped. A change without items is appended as well, so that the offsets of
// readers follow the log.
func (b *Buffer) Append(change Change) error {
	if change.Index <= b.index && !b.omittedGuards[GuardIndexIncreases] {
		return ErrIndexNotIncreasing
	}
	for _, key := range change.Delete {
		b.items.Delete(Item{Key: key})
	}
	for _, item := range change.Put {
		b.items.ReplaceOrInsert(item)
	}
	b.index = change.Index
	b.backlog = append(b.backlog, change)
	b.backlogBytes += changeBytes(change)
	b.trimBacklog()
	return nil
}

// trimBacklog drops the oldest changes until the backlog is within its limit.
func (b *Buffer) trimBacklog() {
	dropped := 0
	for b.backlogBytes > b.maxBacklogBytes && dropped < len(b.backlog) {
		oldest := b.backlog[dropped]
		b.backlogFloor = oldest.Index
		b.backlogBytes -= changeBytes(oldest)
		b.backlog[dropped] = Change{}
		dropped++
	}
	b.backlog = b.backlog[dropped:]
}

// changeBytes returns the size of a change as counted in the backlog.
func changeBytes(change Change) int {
	total := changeOverhead
	for _, item := range change.Put {
		total += itemOverhead + len(item.Key) + len(item.Value)
	}
	for _, key := range change.Delete {
		total += itemOverhead + len(key)
	}
	return total
}

// Since returns the changes above index in order. It returns false if some of them are no longer in the
// backlog, so that the reader needs a snapshot. A reader at or beyond the last change gets no changes.
func (b *Buffer) Since(index uint64) (changes []Change, ok bool) {
	if index < b.backlogFloor && !b.omittedGuards[GuardBacklogFloor] {
		return nil, false
	}
	first := sort.Search(len(b.backlog), func(i int) bool { return b.backlog[i].Index > index })
	return append([]Change(nil), b.backlog[first:]...), true
}

// CatchUp returns what a reader at index needs to catch up: the changes above index, or a snapshot and the
// changes above that. Both are nil if nothing above index exists. A reader at index 0 always gets a snapshot,
// since changes may delete items that it never had. Consecutive readers get the same snapshot, so that it is
// created and encoded only once.
func (b *Buffer) CatchUp(index uint64) (changes []Change, snapshot *Snapshot) {
	if index >= b.index {
		return nil, nil
	}
	if index > 0 {
		if changes, ok := b.Since(index); ok {
			return changes, nil
		}
	}
	if b.sharedSnapshot != nil {
		if changes, ok := b.Since(b.sharedSnapshot.Index); ok && totalChangeBytes(changes) <= maxSharedSnapshotLag {
			return changes, b.sharedSnapshot
		}
	}
	fresh := b.Snapshot()
	b.sharedSnapshot = &fresh
	return nil, b.sharedSnapshot
}

// totalChangeBytes returns the total size of changes as counted in the backlog.
func totalChangeBytes(changes []Change) int {
	total := 0
	for _, change := range changes {
		total += changeBytes(change)
	}
	return total
}

// Snapshot returns all items, sorted by key, at the buffer's index.
func (b *Buffer) Snapshot() Snapshot {
	items := make([]Item, 0, b.items.Len())
	b.items.Ascend(func(item Item) bool {
		items = append(items, item)
		return true
	})
	return Snapshot{Index: b.index, Items: items}
}

// Index returns the index of the last change, or of the snapshot if no change has been appended since.
func (b *Buffer) Index() uint64 { return b.index }
