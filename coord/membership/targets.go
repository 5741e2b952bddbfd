package membership

import (
	"hash/fnv"
	"slices"
)

// Rings is the default number of nodes that each node probes, and of those that probe it.
const Rings = 3

// Targets returns the nodes that the node named self probes. For each ring, all nodes are ordered by a hash
// of the ring's number and their name, and each probes its successor. So each node is probed by one other
// per ring (rarely by the same in two), and a node that joins or leaves changes one target per ring. The
// order of names does not matter; self need not be among them.
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

// successor returns the name after self on a ring. It returns false if there is no other name.
func successor(ring int, self string, names []string) (next string, ok bool) {
	origin := ringPosition(ring, self)
	var nearest uint64
	for _, name := range names {
		if name == self {
			continue
		}
		steps := ringPosition(ring, name) - origin // wraps around
		if !ok || steps < nearest || (steps == nearest && name < next) {
			next, nearest, ok = name, steps, true
		}
	}
	return next, ok
}

// ringPosition hashes a name to its position on a ring.
func ringPosition(ring int, name string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte{byte(ring)})
	_, _ = hash.Write([]byte(name))
	return mix(hash.Sum64())
}

// mix spreads the bits of a hash (the finalizer of MurmurHash3).
func mix(value uint64) uint64 {
	value ^= value >> 33
	value *= 0xff51afd7ed558ccd
	value ^= value >> 33
	value *= 0xc4ceb9fe1a85ec53
	return value ^ value>>33
}
