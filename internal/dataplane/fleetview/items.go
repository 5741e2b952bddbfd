package fleetview

import (
	"bytes"
	"strconv"
	"strings"

	"ospreybend/coord/feed"
	"ospreybend/coord/shards"
	"ospreybend/internal/controlplane/configuration"
	"ospreybend/internal/controlplane/registry"
)

// put sets one item of a shard, unless it already has this value.
func (b *Builder) put(shard shards.ID, state *shardState, item feed.Item) {
	value, found := state.values[item.Key]
	if found && bytes.Equal(value, item.Value) {
		return
	}
	if shard != shards.ConfigurationShard {
		b.putInstance(state, item)
	} else {
		b.putConfiguration(item)
	}
	state.values[item.Key] = item.Value
}

// delete deletes one item of a shard, if it exists.
func (b *Builder) delete(shard shards.ID, state *shardState, key string) {
	value, found := state.values[key]
	if !found {
		return
	}
	delete(state.values, key)
	if shard != shards.ConfigurationShard {
		b.deleteInstance(key, value)
		return
	}
	b.deleteConfiguration(key)
}

// putInstance adds or replaces the worker of an instance. An instance whose record cannot be decoded has no worker, and so gets no
// requests.
func (b *Builder) putInstance(state *shardState, item feed.Item) {
	if previous, found := state.values[item.Key]; found {
		b.deleteInstance(item.Key, previous)
	}
	instance, err := registry.DecodeItem(item.Value)
	if err != nil {
		b.undecodable++
		return
	}
	if b.workers[instance.Service] == nil {
		b.workers[instance.Service] = map[string]*Worker{}
	}
	b.workers[instance.Service][instance.ID] = &Worker{Instance: instance}
	b.dirty.workers[instance.Service] = true
}

// deleteInstance deletes the worker of an instance; value is the last record of the instance.
func (b *Builder) deleteInstance(id string, value []byte) {
	instance, err := registry.DecodeItem(value)
	if err != nil {
		return // putInstance skipped this record
	}
	delete(b.workers[instance.Service], id)
	b.dirty.workers[instance.Service] = true
}

// putConfiguration sets an item of the configuration shard: a route, a service, the generation or the limits.
func (b *Builder) putConfiguration(item feed.Item) {
	var err error
	if name, found := strings.CutPrefix(item.Key, configuration.KeyRoutePrefix); found {
		err = b.putRoute(name, item.Value)
	} else if name, found := strings.CutPrefix(item.Key, configuration.KeyServicePrefix); found {
		err = b.putService(name, item.Value)
	} else {
		err = b.putGenerationOrLimits(item)
	}
	if err != nil {
		b.undecodable++
	}
}

func (b *Builder) putRoute(name string, raw []byte) error {
	b.deleteRoute(name)
	route, err := configuration.ParseRoute(raw)
	if err == nil {
		b.routes[name] = &route
		b.routeTable.put(&route)
	}
	return err
}

// deleteRoute deletes a route, if it exists.
func (b *Builder) deleteRoute(name string) {
	b.dirty.routes = true
	if route, found := b.routes[name]; found {
		delete(b.routes, name)
		b.routeTable.remove(route)
	}
}

func (b *Builder) putService(name string, raw []byte) error {
	b.dirty.services = true
	delete(b.services, name)
	service, err := configuration.ParseService(raw)
	if err == nil {
		b.services[name] = &service
	}
	return err
}

// putGenerationOrLimits sets the generation or the limits. It ignores other keys, since a newer control plane may send keys that this
// version does not know.
func (b *Builder) putGenerationOrLimits(item feed.Item) error {
	switch item.Key {
	case configuration.KeyGeneration:
		b.dirty.generationOrLimits = true
		generation, err := strconv.ParseUint(string(item.Value), decimalBase, uint64Bits)
		b.generation = generation
		return err
	case configuration.KeyLimits:
		b.dirty.generationOrLimits = true
		limits, err := configuration.ParseLimits(item.Value)
		if err != nil {
			return err
		}
		b.limits = limits
	}
	return nil
}

// deleteConfiguration deletes an item of the configuration shard. A deleted generation becomes 0; deleted limits become the defaults.
func (b *Builder) deleteConfiguration(key string) {
	if name, found := strings.CutPrefix(key, configuration.KeyRoutePrefix); found {
		b.deleteRoute(name)
		return
	}
	if name, found := strings.CutPrefix(key, configuration.KeyServicePrefix); found {
		delete(b.services, name)
		b.dirty.services = true
		return
	}
	switch key {
	case configuration.KeyGeneration:
		b.generation = 0
		b.dirty.generationOrLimits = true
	case configuration.KeyLimits:
		b.limits = configuration.DefaultLimits()
		b.dirty.generationOrLimits = true
	}
}
