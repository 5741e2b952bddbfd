package agent

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"ospreybend/coord/feed"
	"ospreybend/coord/shards"
	"ospreybend/internal/controlplane/feedtransport"
)

// backlogBytes limits the size of the changes that are retained for each shard. A connected proxy reads changes immediately;
// a proxy that has missed more gets a snapshot, which travels only over loopback.
const backlogBytes = 64 << 10

// currencyTTL is how long a status that says that the server is current is valid. The feed client leaves a server that sends
// nothing for so long, but if the agent process itself stalls, it notices the lost server only once it runs again.
const currencyTTL = feedtransport.ReceiveTimeout + feedtransport.StatusInterval

// store holds the items of all shards as received from the control plane server.
type store struct {
	mu               sync.Mutex // guards the fields up to subscribers
	buffers          map[shards.ID]*feed.Buffer
	current          map[shards.ID]bool           // as of the server's last status; empty without a connection
	statusReceivedAt time.Time                    // when the last status arrived
	subscribers      map[chan<- struct{}]struct{} // channels that receive wake-ups

	reportHandler func(report feedtransport.Report) // set before the feed client runs

	disconnections atomic.Int64 // connections to servers that have ended

	ready     chan struct{} // closed by markReady
	readyOnce sync.Once
}

// newStore returns an empty store that is not ready.
func newStore() *store {
	return &store{
		buffers:     make(map[shards.ID]*feed.Buffer),
		current:     make(map[shards.ID]bool),
		subscribers: make(map[chan<- struct{}]struct{}),
		ready:       make(chan struct{}),
	}
}

// markReady marks the store as ready to be served. It is called once a server has sent its state of all shards.
func (s *store) markReady() { s.readyOnce.Do(func() { close(s.ready) }) }

// setReportHandler sets the handler of the server's reports. It must be called before the feed client runs.
func (s *store) setReportHandler(handle func(report feedtransport.Report)) { s.reportHandler = handle }

// reset replaces all items of a shard by a snapshot.
func (s *store) reset(shard shards.ID, snapshot feed.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.buffer(shard).Reset(snapshot)
}

// applyChange applies a change to a shard.
func (s *store) applyChange(shard shards.ID, change feed.Change) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buffer(shard).Append(change)
}

// buffer returns the buffer of a shard and creates it if necessary. The caller must hold mu.
func (s *store) buffer(shard shards.ID) *feed.Buffer {
	buffer, ok := s.buffers[shard]
	if !ok {
		buffer = feed.NewBuffer(backlogBytes)
		s.buffers[shard] = buffer
	}
	return buffer
}

// index returns the offset of a shard, or 0 if the store has nothing of it.
func (s *store) index(shard shards.ID) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	buffer, ok := s.buffers[shard]
	if !ok {
		return 0
	}
	return buffer.Index()
}

// shardStates returns for each shard whether the server's last status called it current, and the offset up to which the agent
// has it.
func (s *store) shardStates() (current [shards.ShardCount]bool, indexes [shards.ShardCount]uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for shard := range current {
		current[shard] = s.current[shards.ID(shard)]
		if buffer, known := s.buffers[shards.ID(shard)]; known {
			indexes[shard] = buffer.Index()
		}
	}
	return current, indexes
}

// setCurrent records for which shards the server is current, and wakes subscribers if that has changed.
func (s *store) setCurrent(status []feedtransport.ShardStatus) {
	s.mu.Lock()
	changed := len(status) != len(s.current)
	for _, shard := range status {
		known, ok := s.current[shard.Shard]
		changed = changed || !ok || known != shard.Current
	}
	s.statusReceivedAt = time.Now()
	clear(s.current)
	for _, shard := range status {
		s.current[shard.Shard] = shard.Current
	}
	s.mu.Unlock()
	if changed {
		s.wakeAll()
	}
}

// wakeAll wakes all subscribers.
func (s *store) wakeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for wake := range s.subscribers {
		select {
		case wake <- struct{}{}:
		default:
		}
	}
}

// Shards implements feedtransport.Source.
func (s *store) Shards() []shards.ID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sortedShards()
}

// sortedShards returns the shards in the store, in ascending order. The caller must hold mu.
func (s *store) sortedShards() []shards.ID {
	ids := make([]shards.ID, 0, len(s.buffers))
	for shard := range s.buffers {
		ids = append(ids, shard)
	}
	slices.Sort(ids)
	return ids
}

// Since implements feedtransport.Source.
func (s *store) Since(shard shards.ID, index uint64) ([]feed.Change, *feed.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	buffer, ok := s.buffers[shard]
	if !ok || buffer.Index() <= index {
		return nil, nil
	}
	if changes, ok := buffer.Since(index); ok {
		return changes, nil
	}
	snapshot := buffer.Snapshot()
	return nil, &snapshot
}

// Status implements feedtransport.Source. A shard is current if the server's last status said so and is not older than
// currencyTTL.
func (s *store) Status() feedtransport.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	var status feedtransport.Status
	confirmed := time.Since(s.statusReceivedAt) <= currencyTTL
	for _, shard := range s.sortedShards() {
		status.Shards = append(status.Shards, feedtransport.ShardStatus{
			Shard: shard, Index: s.buffers[shard].Index(), Current: confirmed && s.current[shard],
		})
	}
	return status
}

// Subscribe implements feedtransport.Source.
func (s *store) Subscribe(wake chan<- struct{}) (cancel func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscribers[wake] = struct{}{}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.subscribers, wake)
	}
}

// valuesSince returns the values of a shard's items and the shard's index. It returns no values if the shard is unchanged since
// the given index.
func (s *store) valuesSince(shard shards.ID, index uint64) (values [][]byte, now uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	buffer, ok := s.buffers[shard]
	if !ok || buffer.Index() == index {
		return nil, index
	}
	for _, item := range buffer.Snapshot().Items {
		values = append(values, item.Value)
	}
	return values, buffer.Index()
}
