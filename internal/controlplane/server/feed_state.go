package server

import (
	"sync"

	"ospreybend/coord/feed"
)

// feedStore is the replicated store whose changes the feed shows.
type feedStore interface {
	Snapshot() []byte
	Restore(data []byte) error
	Items() []feed.Item
}

// feedState is what the state machines have in common: a shard's feed and the store behind it. One mutex guards both, so that
// they are always at the same log index.
type feedState struct {
	mutex     sync.Mutex
	buffer    *feed.Buffer
	feedStore feedStore
}

func newFeedState(store feedStore) feedState {
	return feedState{buffer: feed.NewBuffer(feedBacklogBytes), feedStore: store}
}

// Snapshot returns the encoded state.
func (f *feedState) Snapshot() []byte {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.feedStore.Snapshot()
}

// Restore replaces the state by a snapshot's, and resets the feed to it. It returns an error if the snapshot cannot be decoded.
func (f *feedState) Restore(index uint64, data []byte) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if err := f.feedStore.Restore(data); err != nil {
		return err
	}
	f.buffer.Reset(feed.Snapshot{Index: index, Items: f.feedStore.Items()})
	return nil
}

// changesSince returns the changes above an index, or a snapshot if they are no longer buffered; both are nil if there is none.
func (f *feedState) changesSince(index uint64) ([]feed.Change, *feed.Snapshot) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.buffer.CatchUp(index)
}

// index returns the log index that the feed has reached.
func (f *feedState) index() uint64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.buffer.Index()
}

// append adds the change of a log entry. The caller holds the mutex. Entries are applied in the order of their indexes, so the
// buffer cannot reject one.
func (f *feedState) append(change feed.Change) { _ = f.buffer.Append(change) }
