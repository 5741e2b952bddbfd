package server

import (
	"sync"

	"ospreybend/coord/feed"
)

// feedStore is a replicated store whose changes the feed publishes.
type feedStore interface {
	Snapshot() []byte
	Restore(data []byte) error
	Items() []feed.Item
}

// feedState is the part that both state machines share: a shard's replicated store and the buffer of its feed. One mutex guards
// both, so that they are always at the same log index.
type feedState struct {
	mutex     sync.Mutex
	buffer    *feed.Buffer
	feedStore feedStore
}

func newFeedState(store feedStore) feedState {
	return feedState{buffer: feed.NewBuffer(feedBacklogBytes), feedStore: store}
}

// Snapshot returns the encoded state of the store.
func (f *feedState) Snapshot() []byte {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.feedStore.Snapshot()
}

// Restore replaces the store's state with a snapshot and resets the feed to that state. It returns an error if the snapshot cannot
// be decoded.
func (f *feedState) Restore(index uint64, data []byte) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if err := f.feedStore.Restore(data); err != nil {
		return err
	}
	f.buffer.Reset(feed.Snapshot{Index: index, Items: f.feedStore.Items()})
	return nil
}

// changesSince returns the changes after a log index, or a snapshot if those changes are no longer buffered. Both are nil if there
// is no change after the index.
func (f *feedState) changesSince(index uint64) ([]feed.Change, *feed.Snapshot) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.buffer.CatchUp(index)
}

// index returns the log index of the last change in the feed.
func (f *feedState) index() uint64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.buffer.Index()
}

// append adds the change that a log entry has made to the feed. The caller holds the mutex. The error is ignored: entries are
// applied in the order of their indexes, so the buffer cannot reject a change.
func (f *feedState) append(change feed.Change) { _ = f.buffer.Append(change) }
