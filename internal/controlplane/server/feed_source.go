package server

import (
	"ospreybend/coord/feed"
	"ospreybend/coord/shards"
	"ospreybend/internal/controlplane/feedtransport"
)

// The keeper is the source of its feed's sessions.
var _ feedtransport.Source = (*Server)(nil)

// allShards lists the shards in their order.
var allShards = func() []shards.ID {
	all := make([]shards.ID, shards.ShardCount)
	for i := range all {
		all[i] = shards.ID(i)
	}
	return all
}()

// Shards lists the shards of the feed.
func (s *Server) Shards() []shards.ID { return allShards }

// Since returns what takes a reader on from index.
func (s *Server) Since(shard shards.ID, index uint64) ([]feed.Change, *feed.Snapshot) {
	return s.shards[shard].stateMachine.changesSince(index)
}

// Status tells how far this keeper has each shard, whether it is current, and which keepers serve.
func (s *Server) Status() feedtransport.Status {
	status := feedtransport.Status{Shards: make([]feedtransport.ShardStatus, 0, shards.ShardCount)}
	for _, shard := range s.shards {
		status.Shards = append(status.Shards, feedtransport.ShardStatus{
			Shard: shard.id, Index: shard.stateMachine.index(), Current: isCurrent(shard.group.Status()) || !s.environment.guardEnabled(GuardFeedCurrent),
		})
	}
	for _, info := range s.directory.serving() {
		status.Servers = append(status.Servers, feedtransport.ServerEndpoint{Address: info.Address, Zone: info.Zone, Region: info.Region})
	}
	return status
}

// Subscribe has a token sent whenever a shard has advanced or the members of a group have changed.
func (s *Server) Subscribe(wake chan<- struct{}) (cancel func()) { return s.feed.subscribers.add(wake) }
