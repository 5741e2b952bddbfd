package server

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"ospreybend/coord/consensus"
	"ospreybend/coord/shards"
)

// candidate is a keeper that asks to be taken into a group. Its request may be late: the process that sent it may have
// ended, and another may live at its address under another ID.
type candidate struct {
	ID      consensus.MemberID
	Address string
}

// candidates are the keepers that asked lately to be taken into groups.
type candidates struct {
	mutex sync.Mutex
	asked [shards.Count]map[string]asking // by address
}

type asking struct {
	candidate candidate
	at        time.Time
}

func (c *candidates) note(shard shards.ID, one candidate, now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.asked[shard] == nil {
		c.asked[shard] = make(map[string]asking)
	}
	c.asked[shard][one.Address] = asking{candidate: one, at: now}
}

// forget drops a request that does not hold. A newer one from the same address under another ID stays.
func (c *candidates) forget(shard shards.ID, one candidate) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.asked[shard][one.Address].candidate == one {
		delete(c.asked[shard], one.Address)
	}
}

// fresh returns those who asked not long ago, by address, and forgets the others.
func (c *candidates) fresh(shard shards.ID, now time.Time) []candidate {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var found []candidate
	for address, one := range c.asked[shard] {
		if now.Sub(one.at) > candidateFresh {
			delete(c.asked[shard], address)
			continue
		}
		found = append(found, one.candidate)
	}
	slices.SortFunc(found, func(a, b candidate) int { return cmp.Compare(a.Address, b.Address) })
	return found
}
