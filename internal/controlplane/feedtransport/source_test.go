package feedtransport

import (
	"fmt"
	"sync"

	"ospreybend/coord/feed"
	"ospreybend/coord/shards"
)

// scriptedSource is a source under control of a test. Its log has every change since the start of each shard.
type scriptedSource struct {
	mu      sync.Mutex
	logs    map[shards.ID][]feed.Change
	floors  map[shards.ID]uint64 // a reader below it gets a snapshot
	current bool
	servers []ServerEndpoint
	wakes   map[chan<- struct{}]bool
	reports []Report
	looks   int // calls of Since
}

func newScriptedSource(list ...shards.ID) *scriptedSource {
	source := &scriptedSource{
		logs:    make(map[shards.ID][]feed.Change),
		floors:  make(map[shards.ID]uint64),
		current: true,
		wakes:   make(map[chan<- struct{}]bool),
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
	s.looks++
	if index < s.floors[shard] {
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
	s.wakes[wake] = true
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.wakes, wake)
	}
}

func (s *scriptedSource) OnReport(_ Hello, topic string, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reports = append(s.reports, Report{Topic: topic, Body: body})
}

func (s *scriptedSource) wake() {
	for wake := range s.wakes {
		notify(wake)
	}
}

func (s *scriptedSource) commit(shard shards.ID, change feed.Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logs[shard] = append(s.logs[shard], change)
	s.wake()
}

// compact drops the backlog of a shard.
func (s *scriptedSource) compact(shard shards.ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.floors[shard] = lastIndex(s.logs[shard])
}

func (s *scriptedSource) setCurrent(current bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current = current
	s.wake()
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

// recorder is a handler that keeps the items and records its calls.
type recorder struct {
	mu sync.Mutex
	recorded
}

type recorded struct {
	items     map[shards.ID]map[string]string
	index     map[shards.ID]uint64
	snapshots int
	batches   int
	statuses  []Status
	events    []string // connections
	reports   []Report
	faults    []string
}

func newRecorder() *recorder {
	return &recorder{recorded: recorded{
		items: make(map[shards.ID]map[string]string), index: make(map[shards.ID]uint64),
	}}
}

// seen returns what has been recorded so far; its maps must not be read while the client runs.
func (r *recorder) seen() recorded {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.recorded
}

func (r *recorder) Snapshot(shard shards.ID, snapshot feed.Snapshot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.snapshots++
	r.rise(shard, snapshot.Index)
	r.items[shard] = make(map[string]string)
	apply(r.items[shard], feed.Change{Put: snapshot.Items})
}

func (r *recorder) Change(shard shards.ID, change feed.Change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rise(shard, change.Index)
	if r.items[shard] == nil {
		r.items[shard] = make(map[string]string)
	}
	apply(r.items[shard], change)
}

func (r *recorder) rise(shard shards.ID, index uint64) {
	if index <= r.index[shard] {
		r.faults = append(r.faults, fmt.Sprintf("shard %d went from %d to %d", shard, r.index[shard], index))
	}
	r.index[shard] = index
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
		if r.index[shard.Shard] < shard.Index {
			r.faults = append(r.faults, fmt.Sprintf("shard %d is at %d, the status at %d",
				shard.Shard, r.index[shard.Shard], shard.Index))
		}
	}
	r.statuses = append(r.statuses, status)
}

func (r *recorder) Connected(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, address)
}

func (r *recorder) Disconnected(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, err.Error())
}

func (r *recorder) Report(report Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reports = append(r.reports, report)
}
