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

// bufferSource is a source of shard 1 that serves changes from a feed.Buffer, as a control plane server does.
type bufferSource struct {
	*scriptedSource
	bufferMu sync.Mutex
	buffer   *feed.Buffer
}

func newBufferSource(items []feed.Item) *bufferSource {
	source := &bufferSource{scriptedSource: newScriptedSource(1), buffer: feed.NewBuffer(1 << 20)}
	for _, item := range items {
		source.put(item)
	}
	return source
}

func (s *bufferSource) put(item feed.Item) {
	s.bufferMu.Lock()
	change := feed.Change{Index: s.buffer.Index() + 1, Put: []feed.Item{item}}
	_ = s.buffer.Append(change)
	s.bufferMu.Unlock()
	s.commit(1, change)
}

func (s *bufferSource) Since(_ shards.ID, index uint64) ([]feed.Change, *feed.Snapshot) {
	s.bufferMu.Lock()
	defer s.bufferMu.Unlock()
	return s.buffer.CatchUp(index)
}

// After a restart of all nodes, all of them connect at the same time while workers change. Each must receive all workers within a
// StatusInterval, and they must share one encoded snapshot.
func TestSession_Run_readersShareOneSnapshot(t *testing.T) {
	const (
		readers = 60
		workers = 600
		extra   = 40 // changes while the readers connect
	)
	synctest.Test(t, func(t *testing.T) {
		items := workerItems(4, workers+extra)
		source := newBufferSource(items[:workers])
		encoder := NewEncoder()
		var handlers []*recorder
		var counts []*int
		snapshots := map[uint64]bool{}
		for number := range readers {
			handlers = append(handlers, newRecorder())
			written, stop := startSessionAndClient(source, encoder, fmt.Sprintf("edge-%d", number), handlers[number])
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
			if handler.state().snapshots != 1 {
				t.Errorf("a reader received %d snapshots, want 1", handler.state().snapshots)
			}
		}
		if len(snapshots) != 1 {
			t.Errorf("%d snapshots were encoded for %d readers, want 1", len(snapshots), readers)
		}
		total, plain := 0, 0
		for _, item := range items {
			plain += itemBytes(item)
		}
		for _, count := range counts {
			total += *count
		}
		if total > readers*plain/2 {
			t.Errorf("%d bytes were written to %d readers for %d bytes of items, want at most %d", total, readers, plain, readers*plain/2)
		}
	})
}

// The first update after an interval without updates is sent immediately, even if a status has just been sent.
func TestSession_Run_firstUpdateIsImmediate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := newScriptedSource(0)
		handler := newRecorder()
		stop := runClient(&serverNetwork{sources: map[string]*scriptedSource{serverAddress(1): source}}, 1, handler)
		defer stop()
		for index := range uint64(60) { // spreads the commits over all phases of the status interval
			time.Sleep(BatchInterval + 7*time.Millisecond)
			source.commit(0, putChange(index+1, "key", fmt.Sprint(index)))
			synctest.Wait()
			expectItems(t, handler, 0, source)
		}
	})
}
