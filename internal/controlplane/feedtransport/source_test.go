package feedtransport

import (
	"fmt"
	"sync"

	"ospreybend/coord/feed"
	"ospreybend/coord/shards"
)

// scriptedSource is a source that a test controls. Its logs have all changes of each shard since the first.
type scriptedSource struct {
	mu          sync.Mutex
	logs        map[shards.ID][]feed.Change
	compactedTo map[shards.ID]uint64 // a reader whose offset is below gets a snapshot
	current     bool
	servers     []ServerEndpoint
	subscribers map[chan<- struct{}]bool
	reports     []Report
	sinceCalls  int // calls of Since
}

func newScriptedSource(list ...shards.ID) *scriptedSource {
	source := &scriptedSource{
		logs:        make(map[shards.ID][]feed.Change),
		compactedTo: make(map[shards.ID]uint64),
		current:     true,
		subscribers: make(map[chan<- struct{}]bool),
	}
	for _, shard := range list {
		source.logs[shard] = nil
	}
	return source
}

func (s *scriptedSource) Shards() []shards.ID {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []shards.ID
	for shard := range shards.ID(shards.ShardCount) {
		if _, ok := s.logs[shard]; ok {
			list = append(list, shard)
		}
	}
	return list
}

func (s *scriptedSource) Since(shard shards.ID, index uint64) ([]feed.Change, *feed.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sinceCalls++
	if index < s.compactedTo[shard] {
		snapshot := snapshotOf(s.logs[shard])
		return nil, &snapshot
	}
	var changes []feed.Change
	for _, change := range s.logs[shard] {
		if change.Index > index {
			changes = append(changes, change)
		}
	}
	return changes, nil
}

func (s *scriptedSource) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	status := Status{Servers: s.servers}
	for shard := range shards.ID(shards.ShardCount) {
		if log, ok := s.logs[shard]; ok {
			status.Shards = append(status.Shards, ShardStatus{Shard: shard, Index: lastIndex(log), Current: s.current})
		}
	}
	return status
}

func (s *scriptedSource) Subscribe(wake chan<- struct{}) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscribers[wake] = true
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.subscribers, wake)
	}
}

func (s *scriptedSource) OnReport(_ Hello, topic string, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reports = append(s.reports, Report{Topic: topic, Body: body})
}

func (s *scriptedSource) wakeSubscribers() {
	for wake := range s.subscribers {
		notify(wake)
	}
}

func (s *scriptedSource) commit(shard shards.ID, change feed.Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logs[shard] = append(s.logs[shard], change)
	s.wakeSubscribers()
}

// compact makes readers that lack any change of a shard's present log receive a snapshot.
func (s *scriptedSource) compact(shard shards.ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactedTo[shard] = lastIndex(s.logs[shard])
}

func (s *scriptedSource) setCurrent(current bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current = current
	s.wakeSubscribers()
}

func lastIndex(log []feed.Change) uint64 {
	if len(log) == 0 {
		return 0
	}
	return log[len(log)-1].Index
}

// apply applies a change to items.
func apply(items map[string]string, change feed.Change) {
	for _, key := range change.Delete {
		delete(items, key)
	}
	for _, item := range change.Put {
		items[item.Key] = string(item.Value)
	}
}

func itemsOf(log []feed.Change) map[string]string {
	items := make(map[string]string)
	for _, change := range log {
		apply(items, change)
	}
	return items
}

func snapshotOf(log []feed.Change) feed.Snapshot {
	snapshot := feed.Snapshot{Index: lastIndex(log)}
	for key, value := range itemsOf(log) {
		snapshot.Items = append(snapshot.Items, feed.Item{Key: key, Value: []byte(value)})
	}
	return snapshot
}

// recorder is a handler that applies changes to its items and records its calls.
type recorder struct {
	mu sync.Mutex
	recordedState
}

type recordedState struct {
	items            map[shards.ID]map[string]string
	offsets          map[shards.ID]uint64
	snapshots        int
	batches          int
	statuses         []Status
	connectionEvents []string // addresses of connections, and errors with which they ended
	reports          []Report
	violations       []string
}

func newRecorder() *recorder {
	return &recorder{recordedState: recordedState{
		items: make(map[shards.ID]map[string]string), offsets: make(map[shards.ID]uint64),
	}}
}

// state returns what has been recorded so far. Its maps must not be read while the client runs.
func (r *recorder) state() recordedState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.recordedState
}

func (r *recorder) Snapshot(shard shards.ID, snapshot feed.Snapshot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.snapshots++
	r.advanceOffset(shard, snapshot.Index)
	r.items[shard] = make(map[string]string)
	apply(r.items[shard], feed.Change{Put: snapshot.Items})
}

func (r *recorder) Change(shard shards.ID, change feed.Change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advanceOffset(shard, change.Index)
	if r.items[shard] == nil {
		r.items[shard] = make(map[string]string)
	}
	apply(r.items[shard], change)
}

func (r *recorder) advanceOffset(shard shards.ID, index uint64) {
	if index <= r.offsets[shard] {
		r.violations = append(r.violations, fmt.Sprintf("shard %d received index %d at offset %d, want only higher indexes",
			shard, index, r.offsets[shard]))
	}
	r.offsets[shard] = index
}

func (r *recorder) BatchDone() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.batches++
}

func (r *recorder) Status(status Status) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, shard := range status.Shards {
		if r.offsets[shard.Shard] < shard.Index {
			r.violations = append(r.violations, fmt.Sprintf("shard %d is at offset %d when a status with index %d arrives, want at least that index",
				shard.Shard, r.offsets[shard.Shard], shard.Index))
		}
	}
	r.statuses = append(r.statuses, status)
}

func (r *recorder) Connected(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.connectionEvents = append(r.connectionEvents, address)
}

func (r *recorder) Disconnected(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.connectionEvents = append(r.connectionEvents, err.Error())
}

func (r *recorder) Report(report Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reports = append(r.reports, report)
}
