package server

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"ospreybend/coord/consensus"
	"ospreybend/coord/shards"
)

// joinRequest is a keeper that asks to be taken into a group. Its request may be late: the process that sent it may have
// ended, and another may live at its address under another ID.
type joinRequest struct {
	ID      consensus.MemberID
	Address string
}

// joinRequests are the keepers that asked lately to be taken into groups.
type joinRequests struct {
	mutex     sync.Mutex
	byAddress [shards.ShardCount]map[string]receivedJoinRequest // by address
}

type receivedJoinRequest struct {
	request    joinRequest
	receivedAt time.Time
}

func (r *joinRequests) record(shard shards.ID, request joinRequest, now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.byAddress[shard] == nil {
		r.byAddress[shard] = make(map[string]receivedJoinRequest)
	}
	r.byAddress[shard][request.Address] = receivedJoinRequest{request: request, receivedAt: now}
}

// forget drops a request that does not hold. A newer one from the same address under another ID stays.
func (r *joinRequests) forget(shard shards.ID, request joinRequest) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.byAddress[shard][request.Address].request == request {
		delete(r.byAddress[shard], request.Address)
	}
}

// recent returns those who asked not long ago, by address, and forgets the others.
func (r *joinRequests) recent(shard shards.ID, now time.Time) []joinRequest {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var found []joinRequest
	for address, received := range r.byAddress[shard] {
		if now.Sub(received.receivedAt) > joinRequestMaxAge {
			delete(r.byAddress[shard], address)
			continue
		}
		found = append(found, received.request)
	}
	slices.SortFunc(found, func(a, b joinRequest) int { return cmp.Compare(a.Address, b.Address) })
	return found
}
