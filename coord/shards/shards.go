package shards

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ForService returns the shard that owns the instances of a service, one of 1 to ServiceShardCount. Stored
// data depends on the hash function, which must not change.
func ForService(serviceName string) ID {
	return ID(1 + xxhash.Sum64String(serviceName)%ServiceShardCount)
}

// weightedMember is a member with its rendezvous weight for one shard.
type weightedMember struct {
	address string
	weight  uint64
}

// ReplicaGroup returns the addresses of the members that replicate a shard, in order of preference: the
// members with the size highest weights by rendezvous hashing (Thaler and Ravishankar, 1998), or all if there
// are fewer. The order of members and duplicates do not matter. Adding or removing one member replaces at most
// one address in each group.
func ReplicaGroup(shard ID, members []string, size int) []string {
	candidates := withWeights(shard, members)
	slices.SortFunc(candidates, compareWeights)
	candidates = slices.Compact(candidates)
	candidates = candidates[:min(max(size, 0), len(candidates))]
	chosen := make([]string, len(candidates))
	for i, candidate := range candidates {
		chosen[i] = candidate.address
	}
	return chosen
}

// withWeights returns members with their weights for a shard.
func withWeights(shard ID, members []string) []weightedMember {
	candidates := make([]weightedMember, len(members))
	for i, address := range members {
		candidates[i] = weightedMember{address: address, weight: rendezvousWeight(shard, address)}
	}
	return candidates
}

// rendezvousWeight returns the hash of the shard's number, as four bytes in little-endian order, followed by
// the address.
func rendezvousWeight(shard ID, address string) uint64 {
	key := make([]byte, 0, 4+len(address))
	key = append(key, byte(shard), byte(shard>>8), byte(shard>>16), byte(shard>>24))
	key = append(key, address...)
	return xxhash.Sum64(key)
}

// compareWeights orders members by descending weight, and by address for equal weights, so that all processes
// get the same order.
func compareWeights(left, right weightedMember) int {
	if order := cmp.Compare(right.weight, left.weight); order != 0 {
		return order
	}
	return cmp.Compare(left.address, right.address)
}
