package shards_test

import (
	"fmt"

	"ospreybend/coord/shards"
)

// Example finds the replica group that owns the instances of a service.
func Example() {
	servers := []string{"10.0.0.1:7660", "10.0.0.2:7660", "10.0.0.3:7660", "10.0.0.4:7660", "10.0.0.5:7660"}
	shard := shards.ForService("chat")
	fmt.Println("shard", shard)
	fmt.Println("replicas", shards.ReplicaGroup(shard, servers, 3))
	// Output:
	// shard 1
	// replicas [10.0.0.5:7660 10.0.0.3:7660 10.0.0.4:7660]
}
