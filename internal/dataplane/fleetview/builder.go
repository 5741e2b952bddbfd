package fleetview

import (
	"maps"
	"slices"
	"strings"

	"ospreybend/coord/feed"
	"ospreybend/coord/shards"
	"ospreybend/internal/controlplane/configuration"
	"ospreybend/internal/controlplane/registry"
)

const (
	minEdgeNodes = 1 // this node
	decimal      = 10
	uintBits     = 64
)

// shardState is the builder's copy of one shard.
type shardState struct {
	index  uint64            // of the last snapshot or change
	values map[string][]byte // by key
}

// Builder builds views from the feed. It is not safe for concurrent use; the views are.
type Builder struct {
	shards      map[shards.ID]*shardState
	generation  uint64
	routes      map[string]*configuration.Route   // by name
	services    map[string]*configuration.Service // by name
	limits      configuration.Limits
	workers     map[string]map[string]*Worker // by service and ID, draining ones included
	view        *View
	undecodable uint64 // items that were skipped
	dirty       dirtyParts
}

// dirtyParts are the parts of the view that have changed since it was built.
type dirtyParts struct {
	routes   bool
	services bool
	other    bool            // generation or limits
	workers  map[string]bool // by service
}

func (d dirtyParts) any() bool {
	return d.routes || d.services || d.other || len(d.workers) > 0
}

// NewBuilder returns a builder with an empty view.
func NewBuilder() *Builder {
	builder := &Builder{
		shards:   map[shards.ID]*shardState{},
		routes:   map[string]*configuration.Route{},
		services: map[string]*configuration.Service{},
		limits:   configuration.DefaultLimits(),
		workers:  map[string]map[string]*Worker{},
		dirty:    dirtyParts{workers: map[string]bool{}},
	}
	builder.view = &View{
		Services:      map[string]*configuration.Service{},
		Limits:        builder.limits,
		Workers:       map[string][]*Worker{},
		EdgeNodeCount: minEdgeNodes,
		routes:        newRouteTable(builder.routes),
	}
	return builder
}

// shardState returns the copy of a shard, which is empty at first.
func (b *Builder) shardState(shard shards.ID) *shardState {
	state := b.shards[shard]
	if state == nil {
		state = &shardState{values: map[string][]byte{}}
		b.shards[shard] = state
	}
	return state
}

// ApplySnapshot replaces the items of a shard and reports whether the view has changed. A snapshot whose index is not above the
// shard's is ignored.
func (b *Builder) ApplySnapshot(shard shards.ID, snapshot feed.Snapshot) bool {
	state := b.shardState(shard)
	if snapshot.Index <= state.index {
		return false
	}
	state.index = snapshot.Index
	listed := make(map[string]bool, len(snapshot.Items))
	for _, item := range snapshot.Items {
		listed[item.Key] = true
	}
	for key := range state.values {
		if !listed[key] {
			b.delete(shard, state, key)
		}
	}
	for _, item := range snapshot.Items {
		b.put(shard, state, item)
	}
	return b.buildView()
}

// ApplyChange applies a change to a shard and reports whether the view has changed. A change whose index is not above the shard's is
// ignored.
func (b *Builder) ApplyChange(shard shards.ID, change feed.Change) bool {
	state := b.shardState(shard)
	if change.Index <= state.index {
		return false
	}
	state.index = change.Index
	for _, key := range change.Delete {
		b.delete(shard, state, key)
	}
	for _, item := range change.Put {
		b.put(shard, state, item)
	}
	return b.buildView()
}

// buildView builds the next view if something has changed, and reports whether it did. Unchanged parts are shared with the last view.
func (b *Builder) buildView() bool {
	if !b.dirty.any() {
		return false
	}
	next := *b.view
	next.Generation = b.generation
	next.Limits = b.limits
	if b.dirty.routes {
		next.routes = newRouteTable(b.routes)
	}
	if b.dirty.services {
		next.Services = maps.Clone(b.services)
	}
	if len(b.dirty.workers) > 0 {
		next.Workers = maps.Clone(b.view.Workers)
	}
	for service := range b.dirty.workers {
		b.buildWorkers(&next, service)
	}
	b.view = &next
	b.dirty = dirtyParts{workers: map[string]bool{}}
	return true
}

// buildWorkers builds the list of one service's workers. The instances of registry.NodesService are the edge nodes.
func (b *Builder) buildWorkers(next *View, service string) {
	list := b.readyWorkers(service, b.view.Workers[service])
	if len(b.workers[service]) == 0 {
		delete(b.workers, service)
	}
	if service == registry.NodesService {
		next.EdgeNodeCount, next.EdgeNodes = max(len(list), minEdgeNodes), list
		return
	}
	if len(list) == 0 {
		delete(next.Workers, service)
		return
	}
	next.Workers[service] = list
}

// readyWorkers returns the ready workers of a service in the order of their IDs. Those of the previous list that are unchanged are in
// order already: only new ones are sorted, and all of them only if that puts one out of order.
func (b *Builder) readyWorkers(service string, previous []*Worker) []*Worker {
	current := b.workers[service]
	list := make([]*Worker, 0, len(current))
	known := make(map[string]bool, len(previous))
	for _, worker := range previous {
		if current[worker.ID] == worker {
			list = append(list, worker)
			known[worker.ID] = true
		}
	}
	unchanged := len(list)
	for id, worker := range current {
		if worker.State == registry.Ready && !known[id] {
			list = append(list, worker)
		}
	}
	slices.SortFunc(list[unchanged:], compareByID)
	if unchanged > 0 && len(list) > unchanged && list[unchanged].ID < list[unchanged-1].ID {
		slices.SortFunc(list, compareByID)
	}
	return list
}

func compareByID(left, right *Worker) int { return strings.Compare(left.ID, right.ID) }

// View returns the newest view.
func (b *Builder) View() *View { return b.view }

// Indexes returns the index of each shard up to which the builder has followed the feed.
func (b *Builder) Indexes() map[shards.ID]uint64 {
	indexes := make(map[shards.ID]uint64, len(b.shards))
	for shard, state := range b.shards {
		indexes[shard] = state.index
	}
	return indexes
}

// HasConfiguration reports whether a configuration was received.
func (b *Builder) HasConfiguration() bool { return b.generation > 0 }

// Undecodable returns the number of items that were skipped because they could not be decoded.
func (b *Builder) Undecodable() uint64 { return b.undecodable }
