package membership

import (
	"hash/fnv"
	"slices"
)

// DefaultRings is the default number of hash rings: about as many nodes are probed by each node, and probe it.
const DefaultRings = 3

// Targets returns the names of the nodes that the node named self probes. On each ring, all nodes are ordered
// by a hash of the ring's number and their name, and each node probes its successor. Therefore each node is
// probed by one other per ring (rarely by the same one on two rings), and a node that joins or leaves changes
// one target per ring. The order of names does not matter, and self need not be among them.
func Targets(self string, names []string, rings int) []string {
	var targets []string
	for ring := range rings {
		next, ok := successor(ring, self, names)
		if ok && !slices.Contains(targets, next) {
			targets = append(targets, next)
		}
	}
	return targets
}

// successor returns the name that follows self on a ring. It returns false if there is no other name.
func successor(ring int, self string, names []string) (next string, ok bool) {
	origin := ringPosition(ring, self)
	var shortest uint64
	for _, name := range names {
		if name == self {
			continue
		}
		distance := ringPosition(ring, name) - origin // modulo 2^64
		if !ok || distance < shortest || (distance == shortest && name < next) {
			next, shortest, ok = name, distance, true
		}
	}
	return next, ok
}

// ringPosition returns the position of a name on a ring, a hash of both.
func ringPosition(ring int, name string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte{byte(ring)})
	_, _ = hash.Write([]byte(name))
	return fmix64(hash.Sum64())
}

// fmix64 is the 64-bit finalizer of MurmurHash3. It spreads the differences between hashes over all
// bits.
func fmix64(value uint64) uint64 {
	value ^= value >> 33
	value *= 0xff51afd7ed558ccd
	value ^= value >> 33
	value *= 0xc4ceb9fe1a85ec53
	return value ^ value>>33
}
