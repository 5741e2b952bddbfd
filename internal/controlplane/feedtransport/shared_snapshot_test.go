package feedtransport

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"ospreybend/coord/feed"
	"ospreybend/coord/shards"
)

// bufferSource is a source of one shard with a feed.Buffer, as a control plane server is.
type bufferSource struct {
	*scriptedSource
	mutex  sync.Mutex
	buffer *feed.Buffer
}

func newBufferSource(items []feed.Item) *bufferSource {
	source := &bufferSource{scriptedSource: newScriptedSource(1), buffer: feed.NewBuffer(1 << 20)}
	for _, item := range items {
		source.put(item)
	}
	return source
}

func (s *bufferSource) put(item feed.Item) {
	s.mutex.Lock()
	change := feed.Change{Index: s.buffer.Index() + 1, Put: []feed.Item{item}}
	_ = s.buffer.Append(change)
	s.mutex.Unlock()
	s.commit(1, change)
}

func (s *bufferSource) Since(_ shards.ID, index uint64) ([]feed.Change, *feed.Snapshot) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.buffer.CatchUp(index)
}

// All nodes connect at once after a restart of all, while workers change: each gets all of them within the time of a
// status, and nearly all get the same bytes.
func TestSession_Run_readersShareOneSnapshot(t *testing.T) {
	const (
		readers = 60
		workers = 600
		extra   = 40 // changes while the readers connect
	)
	synctest.Test(t, func(t *testing.T) {
		items := manyItems(4, workers+extra)
		source := newBufferSource(items[:workers])
		encoder := NewEncoder()
		var handlers []*recorder
		var counts []*int
		snapshots := map[uint64]bool{}
		for number := range readers {
			handlers = append(handlers, newRecorder())
			written, stop := serveOne(source, encoder, fmt.Sprintf("edge-%d", number), handlers[number])
			defer stop()
			counts = append(counts, written)
			if number < extra {
				source.put(items[workers+number])
			}
			time.Sleep(time.Millisecond)
			synctest.Wait()
			snapshots[encoder.snapshotFrames[1].to] = true
		}
		time.Sleep(StatusInterval)
		synctest.Wait()
		for _, handler := range handlers {
			expectItems(t, handler, 1, source.scriptedSource)
			if handler.seen().snapshots != 1 {
				t.Errorf("a reader got %d snapshots", handler.seen().snapshots)
			}
		}
		if len(snapshots) != 1 {
			t.Errorf("%d snapshots were encoded for %d readers", len(snapshots), readers)
		}
		total, plain := 0, 0
		for _, item := range items {
			plain += itemBytes(item)
		}
		for _, count := range counts {
			total += *count
		}
		if total > readers*plain/2 {
			t.Errorf("%d bytes to %d readers for %d bytes of items", total, readers, plain)
		}
	})
}

// The first update after a quiet interval is sent at once, also if a status has just been sent.
func TestSession_Run_firstUpdateIsImmediate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := newScriptedSource(0)
		handler := newRecorder()
		stop := runClient(&servers{sources: map[string]*scriptedSource{address(1): source}}, 1, handler)
		defer stop()
		for index := range uint64(60) { // at all phases of the status interval
			time.Sleep(BatchInterval + 7*time.Millisecond)
			source.commit(0, put(index+1, "key", fmt.Sprint(index)))
			synctest.Wait()
			expectItems(t, handler, 0, source)
		}
	})
}
