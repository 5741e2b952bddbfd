package server

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"ospreybend/coord/consensus"
	"ospreybend/coord/shards"
)

// joinRequest is a server's request to be added to a group. It may be outdated: the process that sent it may have ended, and a member
// with another ID may run at its address. Server.confirmJoinRequest checks this.
type joinRequest struct {
	ID      consensus.MemberID
	Address string
}

// joinRequests holds the recent join requests of each shard.
type joinRequests struct {
	mutex     sync.Mutex
	byAddress [shards.ShardCount]map[string]receivedJoinRequest // by the address of the sender
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

// forget drops a request that was not confirmed, unless a request with another ID has since arrived from the same address.
func (r *joinRequests) forget(shard shards.ID, request joinRequest) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.byAddress[shard][request.Address].request == request {
		delete(r.byAddress[shard], request.Address)
	}
}

// recent returns the requests received within joinRequestMaxAge, sorted by address, and drops older ones.
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
