package shards

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ForService returns the shard that holds the instances of a service, one of 1 to ServiceShards.
func ForService(serviceName string) ID {
	return ID(1 + xxhash.Sum64String(serviceName)%ServiceShardCount)
}

// weightedMember is a member with its weight for one shard.
type weightedMember struct {
	address string
	weight  uint64
}

// ReplicaGroup returns the addresses of the members that hold the shard, the heaviest first: the size ones
// with the greatest rendezvous weights, or all if there are no more. The order of members and
// repeats in it change nothing, and one member more or less moves only the places that it takes or leaves.
func ReplicaGroup(shard ID, members []string, size int) []string {
	candidates := withWeights(shard, members)
	slices.SortFunc(candidates, heavierFirst)
	candidates = slices.Compact(candidates)
	candidates = candidates[:min(max(size, 0), len(candidates))]
	chosen := make([]string, len(candidates))
	for i, candidate := range candidates {
		chosen[i] = candidate.address
	}
	return chosen
}

func withWeights(shard ID, members []string) []weightedMember {
	candidates := make([]weightedMember, len(members))
	for i, address := range members {
		candidates[i] = weightedMember{address: address, weight: rendezvousWeight(shard, address)}
	}
	return candidates
}

// rendezvousWeight hashes the shard's number, four bytes with the least first, followed by the address.
func rendezvousWeight(shard ID, address string) uint64 {
	key := make([]byte, 0, 4+len(address))
	key = append(key, byte(shard), byte(shard>>8), byte(shard>>16), byte(shard>>24))
	key = append(key, address...)
	return xxhash.Sum64(key)
}

// heavierFirst orders by weight, then by address so that equal weights give one order everywhere.
func heavierFirst(a, b weightedMember) int {
	if order := cmp.Compare(b.weight, a.weight); order != 0 {
		return order
	}
	return cmp.Compare(a.address, b.address)
}
