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

	failures   int // since it was last current
	avoidUntil time.Time
	triedAt    time.Time
}

func (c *candidate) avoided(now time.Time) bool { return now.Before(c.avoidUntil) }

// candidateList holds the seeds and the keepers that were learned.
type candidateList struct {
	options ChoiceOptions
	all     []*candidate
}

func newCandidateList(options ChoiceOptions) candidateList {
	list := candidateList{options: options}
	if options.Fixed != "" {
		list.all = []*candidate{{address: options.Fixed}}
		return list
	}
	list.learn(nil)
	return list
}

func (l *candidateList) len() int { return len(l.all) }

// learn replaces the keepers that were learned before, and keeps what is known of those that stay.
// An empty list changes nothing but that the seeds are there.
func (l *candidateList) learn(keepers []Keeper) {
	if l.options.Fixed != "" || (len(keepers) == 0 && len(l.all) > 0) {
		return
	}
	var next []*candidate
	for _, keeper := range keepers {
		next = l.include(next, keeper.Address, l.distanceTo(keeper))
	}
	for _, seed := range l.options.Seeds {
		next = l.include(next, seed, unlisted)
	}
	l.all = next
}

// include adds the server of an address to the list unless it is there already.
func (l *candidateList) include(list []*candidate, address string, away distance) []*candidate {
	feedAddress, ok := FeedAddress(address, l.options.FeedPort)
	if !ok {
		return list
	}
	hasAddress := func(c *candidate) bool { return c.address == feedAddress }
	if slices.ContainsFunc(list, hasAddress) {
		return list
	}
	if known := slices.IndexFunc(l.all, hasAddress); known >= 0 {
		l.all[known].distance = away
		return append(list, l.all[known])
	}
	rank := rendezvousRank(l.options.Node, feedAddress)
	return append(list, &candidate{address: feedAddress, distance: away, rank: rank})
}

func (l *candidateList) distanceTo(keeper Keeper) distance {
	switch {
	case keeper.Zone != "" && keeper.Zone == l.options.Zone:
		return sameZone
	case keeper.Region != "" && keeper.Region == l.options.Region:
		return sameRegion
	}
	return otherRegion
}

// best returns the server to use: the nearest that did not fail lately, or, where all did, the one
// that was tried the longest ago. It is nil if there is none.
func (l *candidateList) best(now time.Time) *candidate {
	if len(l.all) == 0 {
		return nil
	}
	return slices.MinFunc(l.all, func(a, b *candidate) int {
		return compareCandidates(a, b, now)
	})
}

func compareCandidates(a, b *candidate, now time.Time) int {
	if a.avoided(now) != b.avoided(now) {
		if b.avoided(now) {
			return -1
		}
		return 1
	}
	if a.avoided(now) {
		if order := a.triedAt.Compare(b.triedAt); order != 0 {
			return order
		}
	}
	if order := cmp.Compare(a.distance, b.distance); order != 0 {
		return order
	}
	return cmp.Compare(b.rank, a.rank)
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
