package server

import (
	"sync"

	"ospreybend/coord/feed"
)

// feedState is the feed of one shard. Its mutex also guards the store that feeds it, so that both are always at the same
// log index.
type feedState struct {
	mutex  sync.Mutex
	buffer *feed.Buffer
}

func newFeedState() feedState { return feedState{buffer: feed.NewBuffer(feedBacklogBytes)} }

// changesSince returns the changes above an index, or a snapshot if they are no longer buffered; both are nil if there is none.
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

// append adds the change of a log entry. The caller holds the mutex. Entries are applied in the order of their indexes, so the
// buffer cannot reject one.
func (f *feedState) append(change feed.Change) { _ = f.buffer.Append(change) }

func (f *feedState) reset(index uint64, items []feed.Item) {
	f.buffer.Reset(feed.Snapshot{Index: index, Items: items})
}
