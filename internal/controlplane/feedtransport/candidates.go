package feedtransport

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"
)

// distance ranks servers by how far they are from the client, the nearest first.
type distance int

const (
	sameZone distance = iota
	sameRegion
	otherRegion
	unlisted // a seed that is not in the last list of servers
)

// candidate is a server that the client may use.
type candidate struct {
	address  string // address of its feed
	distance distance
	rank     uint64 // rendezvous hash of the node with the address; the highest is preferred

	failures    int // consecutive failed attempts and lost connections; reset when the server's status is current (Status.Current)
	avoidUntil  time.Time
	attemptedAt time.Time
}

// avoided reports whether the server is used only after others, since it failed recently.
func (c *candidate) avoided(now time.Time) bool { return now.Before(c.avoidUntil) }

// candidateList holds the seeds and the servers that the last status listed.
type candidateList struct {
	options    SelectorOptions
	candidates []*candidate
}

// newCandidateList returns the list of the seeds, or of the fixed server alone.
func newCandidateList(options SelectorOptions) candidateList {
	list := candidateList{options: options}
	if options.FixedServer != "" {
		list.candidates = []*candidate{{address: options.FixedServer}}
		return list
	}
	list.update(nil)
	return list
}

func (l *candidateList) len() int { return len(l.candidates) }

// update replaces the listed servers and keeps the state of those that remain. With an empty list it adds the seeds if there
// are no candidates yet, and changes nothing otherwise.
func (l *candidateList) update(servers []ServerEndpoint) {
	if l.options.FixedServer != "" || (len(servers) == 0 && len(l.candidates) > 0) {
		return
	}
	var next []*candidate
	for _, server := range servers {
		next = l.appendServer(next, server.Address, l.distanceTo(server))
	}
	for _, seed := range l.options.Seeds {
		next = l.appendServer(next, seed, unlisted)
	}
	l.candidates = next
}

// setSeeds replaces the seeds and keeps the listed servers.
func (l *candidateList) setSeeds(seeds []string) {
	if l.options.FixedServer != "" {
		return
	}
	l.options.Seeds = seeds
	next := slices.DeleteFunc(slices.Clone(l.candidates), func(c *candidate) bool { return c.distance == unlisted })
	for _, seed := range seeds {
		if feedAddress, _ := FeedAddress(seed, l.options.FeedPort); !slices.ContainsFunc(next, func(c *candidate) bool { return c.address == feedAddress }) {
			next = l.appendServer(next, seed, unlisted)
		}
	}
	l.candidates = next
}

// appendServer appends the server at an address to the list, unless the address is invalid or already in the list.
func (l *candidateList) appendServer(list []*candidate, address string, dist distance) []*candidate {
	feedAddress, ok := FeedAddress(address, l.options.FeedPort)
	if !ok {
		return list
	}
	hasAddress := func(c *candidate) bool { return c.address == feedAddress }
	if slices.ContainsFunc(list, hasAddress) {
		return list
	}
	if known := slices.IndexFunc(l.candidates, hasAddress); known >= 0 {
		l.candidates[known].distance = dist
		return append(list, l.candidates[known])
	}
	rank := rendezvousRank(l.options.Node, feedAddress)
	return append(list, &candidate{address: feedAddress, distance: dist, rank: rank})
}

// distanceTo returns the distance between the client and a listed server.
func (l *candidateList) distanceTo(server ServerEndpoint) distance {
	switch {
	case server.Zone != "" && server.Zone == l.options.Zone:
		return sameZone
	case server.Region != "" && server.Region == l.options.Region:
		return sameRegion
	}
	return otherRegion
}

// best returns the server to use, or nil if there is none: the nearest one that did not fail recently or, if all did, the one
// whose last attempt was the longest ago.
func (l *candidateList) best(now time.Time) *candidate {
	if len(l.candidates) == 0 {
		return nil
	}
	return slices.MinFunc(l.candidates, func(a, b *candidate) int {
		return compareCandidates(a, b, now)
	})
}

// compareCandidates returns a negative number if left is preferred to right, and a positive one if right is preferred.
func compareCandidates(left, right *candidate, now time.Time) int {
	if left.avoided(now) != right.avoided(now) {
		if right.avoided(now) {
			return -1
		}
		return 1
	}
	if left.avoided(now) {
		if order := left.attemptedAt.Compare(right.attemptedAt); order != 0 {
			return order
		}
	}
	if order := cmp.Compare(left.distance, right.distance); order != 0 {
		return order
	}
	return cmp.Compare(right.rank, left.rank)
}

// rendezvousRank returns the rendezvous hash of a node with a server's address, which spreads the nodes over the servers.
func rendezvousRank(node, address string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(node))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(address))
	return murmur3Finalizer(hash.Sum64())
}

// murmur3Finalizer applies the 64-bit finalizer of MurmurHash3: FNV alone does not distribute similar addresses evenly.
func murmur3Finalizer(value uint64) uint64 {
	value ^= value >> 33
	value *= 0xff51afd7ed558ccd
	value ^= value >> 33
	value *= 0xc4ceb9fe1a85ec53
	return value ^ value>>33
}
