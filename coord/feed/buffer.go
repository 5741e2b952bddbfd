package feed

import (
	"errors"
	"sort"

	"github.com/google/btree"
)

// ErrIndexNotIncreasing is returned for a change whose index is not above the buffer's.
var ErrIndexNotIncreasing = errors.New("feed: the index of a change is not above the last one")

const (
	itemTreeDegree = 32
	changeOverhead = 64 // bytes counted for a change beside its keys and values
	itemOverhead   = 32 // bytes counted for an item or a deleted key beside its text

	// maxSharedSnapshotLag is how much of changes may follow a snapshot that is handed to a further reader.
	maxSharedSnapshotLag = 32 << 10
)

// Guard names one check of a buffer. Tests leave guards out to show that their absence is noticed. A running system
// leaves out none.
type Guard string

// The guards that can be left out.
const (
	GuardBacklogFloor   Guard = "backlog-floor" // a reader that lags behind the backlog gets a snapshot
	GuardIndexIncreases Guard = "index-rises"   // a change that is not above the last one is refused
)

// Buffer holds the items of one shard and the latest changes to them. Values that are handed in
// and out are shared: nobody may write to them. It is not safe for concurrent use.
type Buffer struct {
	index           uint64 // of the last change or of the snapshot
	backlogFloor    uint64 // the changes above it are all in the backlog
	items           *btree.BTreeG[Item]
	backlog         []Change
	backlogBytes    int
	maxBacklogBytes int
	disabledGuards  map[Guard]bool
	sharedSnapshot  *Snapshot // handed out last by From; nil: none
}

// NewBuffer returns an empty buffer at index 0, which keeps at most maxBacklogBytes of changes. Tests alone leave
// guards out.
func NewBuffer(maxBacklogBytes int, omit ...Guard) *Buffer {
	buffer := &Buffer{maxBacklogBytes: maxBacklogBytes, disabledGuards: make(map[Guard]bool, len(omit))}
	for _, guard := range omit {
		buffer.disabledGuards[guard] = true
	}
	buffer.items = newItemTree()
	return buffer
}

func newItemTree() *btree.BTreeG[Item] {
	return btree.NewG(itemTreeDegree, func(left, right Item) bool { return left.Key < right.Key })
}

// Reset replaces all that is held by a snapshot. The backlog is empty afterwards.
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

// Append takes a change whose index is above the last one; indices may be left out. A change
// without items is kept as well: the offsets of readers follow the log. Within a change, deleted
// keys go before those that are put.
func (b *Buffer) Append(change Change) error {
	if change.Index <= b.index && !b.disabledGuards[GuardIndexIncreases] {
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

// trimBacklog drops the oldest changes until the backlog is within its bound.
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

// changeBytes returns the bytes that a change counts in the backlog.
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

// Since returns the changes above index in their order. It is false where some of them are no
// longer held, so that the reader needs a snapshot. A reader that is ahead gets nothing.
func (b *Buffer) Since(index uint64) (changes []Change, ok bool) {
	if index < b.backlogFloor && !b.disabledGuards[GuardBacklogFloor] {
		return nil, false
	}
	first := sort.Search(len(b.backlog), func(i int) bool { return b.backlog[i].Index > index })
	return append([]Change(nil), b.backlog[first:]...), true
}

// From returns what takes a reader on from index: the changes above it, or a snapshot and the changes above that. Both
// are nil if there is nothing above index. A reader that has nothing gets a snapshot, since changes tell of items that
// are gone. Readers that come one after the other get the same snapshot, so that it is made and encoded once.
func (b *Buffer) From(index uint64) (changes []Change, snapshot *Snapshot) {
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
	made := b.Snapshot()
	b.sharedSnapshot = &made
	return nil, b.sharedSnapshot
}

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

// Index returns the index of the last change, or of the snapshot if none came after it.
func (b *Buffer) Index() uint64 { return b.index }
