package server

import (
	"ospreybend/coord/feed"
	"ospreybend/coord/shards"
	"ospreybend/internal/controlplane/feedtransport"
)

// Feed sessions read the feed from the server.
var _ feedtransport.Source = (*Server)(nil)

// allShards lists the shards in ascending order.
var allShards = func() []shards.ID {
	all := make([]shards.ID, shards.ShardCount)
	for i := range all {
		all[i] = shards.ID(i)
	}
	return all
}()

// Shards returns the shards of the feed.
func (s *Server) Shards() []shards.ID { return allShards }

// Since returns the changes of a shard after a log index, or a snapshot if those changes are no longer buffered. Both are nil if
// there is no change after the index.
func (s *Server) Since(shard shards.ID, index uint64) ([]feed.Change, *feed.Snapshot) {
	return s.shards[shard].stateMachine.changesSince(index)
}

// Status returns the feed index of each shard, whether its replica is current, and the servers that agents may connect to.
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

// Subscribe registers a channel that receives a token whenever a log entry was applied or a group's status has changed. The caller
// must call cancel when it no longer needs the tokens.
func (s *Server) Subscribe(wake chan<- struct{}) (cancel func()) { return s.feed.subscribers.add(wake) }
