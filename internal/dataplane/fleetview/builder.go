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
	minEdgeNodes = 1 // this node itself
	decimalBase  = 10
	uint64Bits   = 64
)

// shardState is the builder's copy of one shard's items.
type shardState struct {
	index  uint64            // index of the last snapshot or change that was applied
	values map[string][]byte // by key
}

// Builder builds views from the snapshots and changes of the feed. A Builder is not safe for concurrent use; the views that it returns
// are.
type Builder struct {
	shards      map[shards.ID]*shardState
	generation  uint64
	routes      map[string]*configuration.Route   // by name
	routeTable  routeTable                        // of the routes
	services    map[string]*configuration.Service // by name
	limits      configuration.Limits
	workers     map[string]map[string]*Worker // by service and ID; includes draining workers
	view        *View
	undecodable uint64 // number of items skipped because they could not be decoded
	dirty       dirtyParts
}

// dirtyParts records which parts of the state have changed since the last view was built.
type dirtyParts struct {
	routes             bool
	services           bool
	generationOrLimits bool
	workers            map[string]bool // by service
}

func (d dirtyParts) anyDirty() bool {
	return d.routes || d.services || d.generationOrLimits || len(d.workers) > 0
}

// NewBuilder returns a builder with an empty view.
func NewBuilder() *Builder {
	builder := &Builder{
		shards:     map[shards.ID]*shardState{},
		routes:     map[string]*configuration.Route{},
		routeTable: newRouteTable(),
		services:   map[string]*configuration.Service{},
		limits:     configuration.DefaultLimits(),
		workers:    map[string]map[string]*Worker{},
		dirty:      dirtyParts{workers: map[string]bool{}},
	}
	builder.view = &View{
		Services:      map[string]*configuration.Service{},
		Limits:        builder.limits,
		Workers:       map[string][]*Worker{},
		EdgeNodeCount: minEdgeNodes,
		routes:        newRouteTable(),
	}
	return builder
}

// shardState returns the copy of a shard, and creates an empty one if there is none.
func (b *Builder) shardState(shard shards.ID) *shardState {
	state := b.shards[shard]
	if state == nil {
		state = &shardState{values: map[string][]byte{}}
		b.shards[shard] = state
	}
	return state
}

// ApplySnapshot replaces all items of a shard and reports whether this changed the view. A snapshot whose index is not above the
// shard's current index is ignored.
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

// ApplyChange applies a change to a shard and reports whether this changed the view. A change whose index is not above the shard's
// current index is ignored.
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

// buildView builds a new view if something has changed, and reports whether it did. The new view shares unchanged parts with the
// previous one.
func (b *Builder) buildView() bool {
	if !b.dirty.anyDirty() {
		return false
	}
	next := *b.view
	next.Generation = b.generation
	next.Limits = b.limits
	if b.dirty.routes {
		next.routes = b.routeTable.clone()
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

// buildWorkers sets the ready workers of one service in the next view. The instances of registry.NodesService are not workers but
// the edge nodes.
func (b *Builder) buildWorkers(next *View, service string) {
	ready := b.readyWorkers(service, b.view.Workers[service])
	if len(b.workers[service]) == 0 {
		delete(b.workers, service)
	}
	if service == registry.NodesService {
		next.EdgeNodeCount, next.EdgeNodes = max(len(ready), minEdgeNodes), ready
		return
	}
	if len(ready) == 0 {
		delete(next.Workers, service)
		return
	}
	next.Workers[service] = ready
}

// readyWorkers returns the ready workers of a service, sorted by ID. Unchanged workers of the previous list are already sorted, so it
// sorts only the new ones and appends them, and sorts the whole list only if the first new one does not belong at the end.
func (b *Builder) readyWorkers(service string, previous []*Worker) []*Worker {
	current := b.workers[service]
	ready := make([]*Worker, 0, len(current))
	kept := make(map[string]bool, len(previous))
	for _, worker := range previous {
		if current[worker.ID] == worker {
			ready = append(ready, worker)
			kept[worker.ID] = true
		}
	}
	keptCount := len(ready)
	for id, worker := range current {
		if worker.State == registry.Ready && !kept[id] {
			ready = append(ready, worker)
		}
	}
	slices.SortFunc(ready[keptCount:], compareByID)
	if keptCount > 0 && len(ready) > keptCount && ready[keptCount].ID < ready[keptCount-1].ID {
		slices.SortFunc(ready, compareByID)
	}
	return ready
}

func compareByID(a, b *Worker) int { return strings.Compare(a.ID, b.ID) }

// View returns the most recently built view.
func (b *Builder) View() *View { return b.view }

// Indexes returns the index of the last snapshot or change that was applied to each shard.
func (b *Builder) Indexes() map[shards.ID]uint64 {
	indexes := make(map[shards.ID]uint64, len(b.shards))
	for shard, state := range b.shards {
		indexes[shard] = state.index
	}
	return indexes
}

// HasConfiguration reports whether the builder has received a configuration.
func (b *Builder) HasConfiguration() bool { return b.generation > 0 }

// Undecodable returns how many items have been skipped because they could not be decoded.
func (b *Builder) Undecodable() uint64 { return b.undecodable }
