package fleetview

import (
	"bytes"
	"maps"
	"slices"
	"strconv"
	"strings"

	"ospreybend/coord/feed"
	"ospreybend/coord/shards"
	"ospreybend/internal/controlplane/configuration"
	"ospreybend/internal/controlplane/registry"
)

const (
	smallestNodes = 1 // this one
	decimal       = 10
	uintBits      = 64
)

// shardState is what is held of one shard.
type shardState struct {
	index  uint64
	values map[string][]byte // by key
}

// Builder makes views of what the feed tells. It is not safe for concurrent use; the views are.
type Builder struct {
	shards     map[shards.ID]*shardState
	generation uint64
	routes     map[string]*configuration.Route   // by name
	services   map[string]*configuration.Service // by name
	limits     configuration.Limits
	workers    map[string]map[string]*Worker // by service and ID, draining ones included
	view       *View
	unreadable uint64 // items that were passed over
	touched    touched
}

// touched tells which parts of the view are to be made anew.
type touched struct {
	routes   bool
	services bool
	other    bool            // generation or limits
	workers  map[string]bool // by service
}

func (t touched) any() bool {
	return t.routes || t.services || t.other || len(t.workers) > 0
}

// NewBuilder returns a builder whose view is empty.
func NewBuilder() *Builder {
	builder := &Builder{
		shards:   map[shards.ID]*shardState{},
		routes:   map[string]*configuration.Route{},
		services: map[string]*configuration.Service{},
		limits:   configuration.DefaultLimits(),
		workers:  map[string]map[string]*Worker{},
		touched:  touched{workers: map[string]bool{}},
	}
	builder.view = &View{
		Services: map[string]*configuration.Service{},
		Limits:   builder.limits,
		Workers:  map[string][]*Worker{},
		Nodes:    smallestNodes,
		routes:   newRouteTable(builder.routes),
	}
	return builder
}

// state returns what is held of a shard.
func (b *Builder) state(shard shards.ID) *shardState {
	held := b.shards[shard]
	if held == nil {
		held = &shardState{values: map[string][]byte{}}
		b.shards[shard] = held
	}
	return held
}

// ApplySnapshot replaces a shard's items and tells whether the view changed. A snapshot that is not
// newer than what is held is ignored.
func (b *Builder) ApplySnapshot(shard shards.ID, snapshot feed.Snapshot) bool {
	held := b.state(shard)
	if snapshot.Index <= held.index {
		return false
	}
	held.index = snapshot.Index
	kept := make(map[string]bool, len(snapshot.Items))
	for _, item := range snapshot.Items {
		kept[item.Key] = true
	}
	for key := range held.values {
		if !kept[key] {
			b.remove(shard, held, key)
		}
	}
	for _, item := range snapshot.Items {
		b.put(shard, held, item)
	}
	return b.publish()
}

// ApplyChange follows a change and tells whether the view changed. An index that is not above the
// one held is ignored.
func (b *Builder) ApplyChange(shard shards.ID, change feed.Change) bool {
	held := b.state(shard)
	if change.Index <= held.index {
		return false
	}
	held.index = change.Index
	for _, key := range change.Delete {
		b.remove(shard, held, key)
	}
	for _, item := range change.Put {
		b.put(shard, held, item)
	}
	return b.publish()
}

// put takes one item, unless it is the same as before.
func (b *Builder) put(shard shards.ID, held *shardState, item feed.Item) {
	value, found := held.values[item.Key]
	if found && bytes.Equal(value, item.Value) {
		return
	}
	if shard != shards.ConfigurationShard {
		b.putInstance(held, item)
	} else {
		b.putConfiguration(item)
	}
	held.values[item.Key] = item.Value
}

// remove drops one item.
func (b *Builder) remove(shard shards.ID, held *shardState, key string) {
	value, found := held.values[key]
	if !found {
		return
	}
	delete(held.values, key)
	if shard != shards.ConfigurationShard {
		b.dropInstance(key, value)
		return
	}
	b.dropConfiguration(key)
}

// putInstance replaces the worker of an instance. One whose record cannot be read is not sent to.
func (b *Builder) putInstance(held *shardState, item feed.Item) {
	if before, found := held.values[item.Key]; found {
		b.dropInstance(item.Key, before)
	}
	instance, err := registry.DecodeItem(item.Value)
	if err != nil {
		b.unreadable++
		return
	}
	if b.workers[instance.Service] == nil {
		b.workers[instance.Service] = map[string]*Worker{}
	}
	b.workers[instance.Service][instance.ID] = &Worker{Instance: instance}
	b.touched.workers[instance.Service] = true
}

// dropInstance drops the worker that value told of.
func (b *Builder) dropInstance(id string, value []byte) {
	instance, err := registry.DecodeItem(value)
	if err != nil {
		return // it was passed over as it came
	}
	delete(b.workers[instance.Service], id)
	b.touched.workers[instance.Service] = true
}

// putConfiguration takes an item of the configuration's shard.
func (b *Builder) putConfiguration(item feed.Item) {
	err := error(nil)
	if name, found := strings.CutPrefix(item.Key, configuration.KeyRoutePrefix); found {
		err = b.putRoute(name, item.Value)
	} else if name, found := strings.CutPrefix(item.Key, configuration.KeyServicePrefix); found {
		err = b.putService(name, item.Value)
	} else {
		err = b.putOther(item)
	}
	if err != nil {
		b.unreadable++
	}
}

func (b *Builder) putRoute(name string, raw []byte) error {
	b.touched.routes = true
	delete(b.routes, name)
	route, err := configuration.ParseRoute(raw)
	if err == nil {
		b.routes[name] = &route
	}
	return err
}

func (b *Builder) putService(name string, raw []byte) error {
	b.touched.services = true
	delete(b.services, name)
	service, err := configuration.ParseService(raw)
	if err == nil {
		b.services[name] = &service
	}
	return err
}

// putOther takes the generation or the limits; other keys are passed over.
func (b *Builder) putOther(item feed.Item) error {
	err := error(nil)
	switch item.Key {
	case configuration.KeyGeneration:
		b.touched.other = true
		b.generation, err = strconv.ParseUint(string(item.Value), decimal, uintBits)
	case configuration.KeyLimits:
		b.touched.other = true
		limits, failed := configuration.ParseLimits(item.Value)
		if err = failed; err == nil {
			b.limits = limits
		}
	}
	return err
}

// dropConfiguration drops an item of the configuration's shard.
func (b *Builder) dropConfiguration(key string) {
	if name, found := strings.CutPrefix(key, configuration.KeyRoutePrefix); found {
		delete(b.routes, name)
		b.touched.routes = true
		return
	}
	if name, found := strings.CutPrefix(key, configuration.KeyServicePrefix); found {
		delete(b.services, name)
		b.touched.services = true
		return
	}
	switch key {
	case configuration.KeyGeneration:
		b.generation = 0
		b.touched.other = true
	case configuration.KeyLimits:
		b.limits = configuration.DefaultLimits()
		b.touched.other = true
	}
}

// publish makes a new view of all that was touched since the last one.
func (b *Builder) publish() bool {
	if !b.touched.any() {
		return false
	}
	next := *b.view
	next.Generation = b.generation
	next.Limits = b.limits
	if b.touched.routes {
		next.routes = newRouteTable(b.routes)
	}
	if b.touched.services {
		next.Services = maps.Clone(b.services)
	}
	if len(b.touched.workers) > 0 {
		next.Workers = maps.Clone(b.view.Workers)
	}
	for service := range b.touched.workers {
		b.publishWorkers(&next, service)
	}
	b.view = &next
	b.touched = touched{workers: map[string]bool{}}
	return true
}

// publishWorkers makes the list of one service anew; NodesService is only counted.
func (b *Builder) publishWorkers(next *View, service string) {
	list := b.list(service, b.view.Workers[service])
	if len(b.workers[service]) == 0 {
		delete(b.workers, service)
	}
	if service == registry.NodesService {
		next.Nodes, next.NodeList = max(len(list), smallestNodes), list
		return
	}
	if len(list) == 0 {
		delete(next.Workers, service)
		return
	}
	next.Workers[service] = list
}

// list merges those of before that are still the same with the ready ones that are new, in the
// order of their IDs.
func (b *Builder) list(service string, before []*Worker) []*Worker {
	held := b.workers[service]
	list := make([]*Worker, 0, len(held))
	known := make(map[string]bool, len(before))
	for _, worker := range before {
		if held[worker.ID] == worker {
			list = append(list, worker)
			known[worker.ID] = true
		}
	}
	kept := len(list)
	for id, worker := range held {
		if worker.State == registry.Ready && !known[id] {
			list = append(list, worker)
		}
	}
	slices.SortFunc(list[kept:], byID)
	if kept > 0 && len(list) > kept && list[kept].ID < list[kept-1].ID {
		slices.SortFunc(list, byID)
	}
	return list
}

func byID(left, right *Worker) int { return strings.Compare(left.ID, right.ID) }

// View returns the state now. It never changes.
func (b *Builder) View() *View { return b.view }

// Offsets returns the index that is held of each shard.
func (b *Builder) Offsets() map[shards.ID]uint64 {
	offsets := make(map[shards.ID]uint64, len(b.shards))
	for shard, held := range b.shards {
		offsets[shard] = held.index
	}
	return offsets
}

// Ready tells whether a configuration has come.
func (b *Builder) Ready() bool { return b.generation > 0 }

// Unreadable returns how many items were passed over because they could not be read.
func (b *Builder) Unreadable() uint64 { return b.unreadable }
