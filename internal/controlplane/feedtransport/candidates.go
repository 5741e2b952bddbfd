package feedtransport

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"
)

// distance orders servers by how far they are from the reader.
type distance int

const (
	sameZone distance = iota
	sameRegion
	otherRegion
	unlisted // a seed that the keepers do not name
)

// candidate is one server that a client may use.
type candidate struct {
	address  string // of its feed
	distance distance
	rank     uint64 // by rendezvous hashing of the node with the address: the highest comes first

	failures    int // since it was last current
	avoidUntil  time.Time
	attemptedAt time.Time
}

func (c *candidate) avoided(now time.Time) bool { return now.Before(c.avoidUntil) }

// candidateList holds the seeds and the keepers that were learned.
type candidateList struct {
	options    SelectorOptions
	candidates []*candidate
}

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

// update replaces the keepers that were learned before, and keeps what is known of those that stay.
// An empty list changes nothing but that the seeds are there.
func (l *candidateList) update(servers []ServerEndpoint) {
	if l.options.FixedServer != "" || (len(servers) == 0 && len(l.candidates) > 0) {
		return
	}
	var next []*candidate
	for _, server := range servers {
		next = l.include(next, server.Address, l.distanceTo(server))
	}
	for _, seed := range l.options.Seeds {
		next = l.include(next, seed, unlisted)
	}
	l.candidates = next
}

// include adds the server of an address to the list unless it is there already.
func (l *candidateList) include(list []*candidate, address string, proximity distance) []*candidate {
	feedAddress, ok := FeedAddress(address, l.options.FeedPort)
	if !ok {
		return list
	}
	hasAddress := func(c *candidate) bool { return c.address == feedAddress }
	if slices.ContainsFunc(list, hasAddress) {
		return list
	}
	if known := slices.IndexFunc(l.candidates, hasAddress); known >= 0 {
		l.candidates[known].distance = proximity
		return append(list, l.candidates[known])
	}
	rank := rendezvousRank(l.options.Node, feedAddress)
	return append(list, &candidate{address: feedAddress, distance: proximity, rank: rank})
}

func (l *candidateList) distanceTo(server ServerEndpoint) distance {
	switch {
	case server.Zone != "" && server.Zone == l.options.Zone:
		return sameZone
	case server.Region != "" && server.Region == l.options.Region:
		return sameRegion
	}
	return otherRegion
}

// best returns the server to use: the nearest that did not fail lately, or, where all did, the one
// that was tried the longest ago. It is nil if there is none.
func (l *candidateList) best(now time.Time) *candidate {
	if len(l.candidates) == 0 {
		return nil
	}
	return slices.MinFunc(l.candidates, func(a, b *candidate) int {
		return compareCandidates(a, b, now)
	})
}

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

// rendezvousRank hashes a node with a server's address.
func rendezvousRank(node, address string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(node))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(address))
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
