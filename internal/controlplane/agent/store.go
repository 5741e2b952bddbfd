package agent

import (
	"slices"
	"sync"
	"time"

	"ospreybend/coord/feed"
	"ospreybend/coord/shards"
	"ospreybend/internal/controlplane/feedtransport"
)

// backlogBytes bounds the changes that are kept of each shard. The proxy reads them at once; one that
// was away for longer gets a snapshot, over loopback.
const backlogBytes = 64 << 10

// currencyTTL is how long a keeper's word counts that it is current. The agent leaves a keeper that is silent for so long, but
// not before it runs again where it stood still itself.
const currencyTTL = feedtransport.ReceiveTimeout + feedtransport.StatusInterval

// store holds the items of all shards as the keeper sent them.
type store struct {
	mu            sync.Mutex
	buffers       map[shards.ID]*feed.Buffer
	current       map[shards.ID]bool // by the keeper's last status; empty without a keeper
	statusAt      time.Time          // when that status came
	wakes         map[chan<- struct{}]struct{}
	reportHandler func(report feedtransport.Report)

	ready     chan struct{} // closed once the store is fit for readers
	readyOnce sync.Once
}

func newStore() *store {
	return &store{
		buffers: make(map[shards.ID]*feed.Buffer),
		current: make(map[shards.ID]bool),
		wakes:   make(map[chan<- struct{}]struct{}),
		ready:   make(chan struct{}),
	}
}

// markReady lets readers in: all shards have come as far as a keeper had them.
func (s *store) markReady() { s.readyOnce.Do(func() { close(s.ready) }) }

// setReportHandler sets what becomes of the keeper's reports. It is called before the feed is read.
func (s *store) setReportHandler(take func(report feedtransport.Report)) { s.reportHandler = take }

func (s *store) reset(shard shards.ID, snapshot feed.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.buffer(shard).Reset(snapshot)
}

func (s *store) change(shard shards.ID, change feed.Change) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buffer(shard).Append(change)
}

// buffer returns a shard's buffer, a new one if there is none. The caller holds mu.
func (s *store) buffer(shard shards.ID) *feed.Buffer {
	buffer, ok := s.buffers[shard]
	if !ok {
		buffer = feed.NewBuffer(backlogBytes)
		s.buffers[shard] = buffer
	}
	return buffer
}

// index is the offset held of a shard; 0: nothing.
func (s *store) index(shard shards.ID) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	buffer, ok := s.buffers[shard]
	if !ok {
		return 0
	}
	return buffer.Index()
}

// setCurrent notes which shards the keeper is current in, and wakes readers if that is news.
func (s *store) setCurrent(status []feedtransport.ShardStatus) {
	s.mu.Lock()
	changed := len(status) != len(s.current)
	for _, shard := range status {
		known, ok := s.current[shard.Shard]
		changed = changed || !ok || known != shard.Current
	}
	s.statusAt = time.Now()
	clear(s.current)
	for _, shard := range status {
		s.current[shard.Shard] = shard.Current
	}
	s.mu.Unlock()
	if changed {
		s.wakeAll()
	}
}

func (s *store) wakeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for wake := range s.wakes {
		select {
		case wake <- struct{}{}:
		default:
		}
	}
}

// Shards implements feedlink.Source.
func (s *store) Shards() []shards.ID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sortedShards()
}

// sortedShards lists the shards that there is anything of. The caller holds mu.
func (s *store) sortedShards() []shards.ID {
	ids := make([]shards.ID, 0, len(s.buffers))
	for shard := range s.buffers {
		ids = append(ids, shard)
	}
	slices.Sort(ids)
	return ids
}

// Since implements feedlink.Source.
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

// Status implements feedlink.Source: a shard is current where the keeper is and has said so within toldFor.
func (s *store) Status() feedtransport.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	var status feedtransport.Status
	confirmed := time.Since(s.statusAt) <= currencyTTL
	for _, shard := range s.sortedShards() {
		status.Shards = append(status.Shards, feedtransport.ShardStatus{
			Shard: shard, Index: s.buffers[shard].Index(), Current: confirmed && s.current[shard],
		})
	}
	return status
}

// Subscribe implements feedlink.Source.
func (s *store) Subscribe(wake chan<- struct{}) (cancel func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wakes[wake] = struct{}{}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.wakes, wake)
	}
}

// valuesSince returns the values of a shard's items and their index, or nothing but the index if
// that is the given one.
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
