// Package shards maps keys to shards and shards to replica groups. All of it is a pure function of
// the key and of the list of machines, so that every process agrees without a word.
package shards

// ID numbers a shard.
type ID uint32

const (
	ConfigurationShard ID = 0 // the shard of the operator's configuration
	ServiceShardCount     = 4 // shards 1 to ServiceShards hold the instances of services
	ShardCount            = ServiceShardCount + 1
)
