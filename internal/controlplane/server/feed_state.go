package server

import (
	"sync"

	"ospreybend/coord/feed"
)

// feedState is a shard's feed. The mutex also guards the store that the feed shows, so that both
// are always at the same entry.
type feedState struct {
	mutex  sync.Mutex
	buffer *feed.Buffer
}

func newFeedState() feedState { return feedState{buffer: feed.NewBuffer(feedBacklogBytes)} }

// changesSince returns what takes a reader on from index; both are nil if there is nothing above it.
func (f *feedState) changesSince(index uint64) ([]feed.Change, *feed.Snapshot) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.buffer.From(index)
}

func (f *feedState) index() uint64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.buffer.Index()
}

// append takes the change of an entry. The caller holds the mutex. Entries come in the order of
// their indexes, so the buffer cannot refuse one.
func (f *feedState) append(change feed.Change) { _ = f.buffer.Append(change) }

func (f *feedState) reset(index uint64, items []feed.Item) {
	f.buffer.Reset(feed.Snapshot{Index: index, Items: items})
}
