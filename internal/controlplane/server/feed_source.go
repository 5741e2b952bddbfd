package server

import (
	"ospreybend/coord/feed"
	"ospreybend/coord/shards"
	"ospreybend/internal/controlplane/feedtransport"
)

// The keeper is the source of its feed's sessions.
var _ feedtransport.Source = (*Keeper)(nil)

// allShards lists the shards in their order.
var allShards = func() []shards.ID {
	all := make([]shards.ID, shards.Count)
	for i := range all {
		all[i] = shards.ID(i)
	}
	return all
}()

// Shards lists the shards of the feed.
func (k *Keeper) Shards() []shards.ID { return allShards }

// Since returns what takes a reader on from index.
func (k *Keeper) Since(shard shards.ID, index uint64) ([]feed.Change, *feed.Snapshot) {
	return k.shards[shard].machine.since(index)
}

// Status tells how far this keeper has each shard, whether it is current, and which keepers serve.
func (k *Keeper) Status() feedtransport.Status {
	status := feedtransport.Status{Shards: make([]feedtransport.ShardStatus, 0, shards.Count)}
	for _, shard := range k.shards {
		status.Shards = append(status.Shards, feedtransport.ShardStatus{
			Shard: shard.id, Index: shard.machine.index(), Current: current(shard.group.Status()) || !k.outside.holds(GuardFeedCurrent),
		})
	}
	for _, info := range k.directory.serving() {
		status.Servers = append(status.Servers, feedtransport.ServerEndpoint{Address: info.Address, Zone: info.Zone, Region: info.Region})
	}
	return status
}

// Subscribe has a token sent whenever a shard has advanced or the members of a group have changed.
func (k *Keeper) Subscribe(wake chan<- struct{}) (cancel func()) { return k.readers.add(wake) }
