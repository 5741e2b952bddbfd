// Package shards maps services to shards, and shards to the replica groups that own them. Every function is
// a pure function of its arguments, so that all processes with the same list of servers get the same result
// without communicating. The control plane's servers, agents and proxies use it.
package shards

// ID is the number of a shard. It is part of stored data and of the wire format.
type ID uint32

// The shards of a fleet.
const (
	ConfigurationShard ID = 0                     // owns the operator's configuration
	ServiceShardCount     = 4                     // shards 1 to ServiceShardCount own the instances of services
	ShardCount            = ServiceShardCount + 1 // number of all shards
)
