package shards

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Of returns the shard that holds the instances of a service, one of 1 to ServiceShards.
func Of(serviceName string) ID {
	return ID(1 + xxhash.Sum64String(serviceName)%ServiceShards)
}

// scored is a member with its weight for one shard.
type scored struct {
	address string
	weight  uint64
}

// Group returns the addresses of the members that hold the shard, the heaviest first: the size ones
// with the greatest rendezvous weights, or all if there are no more. The order of members and
// repeats in it change nothing, and one member more or less moves only the places that it takes or leaves.
func Group(shard ID, members []string, size int) []string {
	candidates := weigh(shard, members)
	slices.SortFunc(candidates, heavierFirst)
	candidates = slices.Compact(candidates)
	candidates = candidates[:min(max(size, 0), len(candidates))]
	chosen := make([]string, len(candidates))
	for i, candidate := range candidates {
		chosen[i] = candidate.address
	}
	return chosen
}

func weigh(shard ID, members []string) []scored {
	candidates := make([]scored, len(members))
	for i, address := range members {
		candidates[i] = scored{address: address, weight: weight(shard, address)}
	}
	return candidates
}

// weight hashes the shard's number, four bytes with the least first, followed by the address.
func weight(shard ID, address string) uint64 {
	key := make([]byte, 0, 4+len(address))
	key = append(key, byte(shard), byte(shard>>8), byte(shard>>16), byte(shard>>24))
	key = append(key, address...)
	return xxhash.Sum64(key)
}

// heavierFirst orders by weight, then by address so that equal weights give one order everywhere.
func heavierFirst(a, b scored) int {
	if order := cmp.Compare(b.weight, a.weight); order != 0 {
		return order
	}
	return cmp.Compare(a.address, b.address)
}
