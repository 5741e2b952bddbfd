package server

import (
	"context"
	"time"

	"go.uber.org/zap"

	"ospreybend/coord/consensus"
	"ospreybend/coord/replica"
	"ospreybend/coord/shards"
	"ospreybend/internal/util/strictavro"
)

// preferredOwner returns the voter that should lead a shard: the one with the greatest rendezvous
// weight. The members are spread over the shards by it.
func preferredOwner(shard shards.ID, members []consensus.Member) (consensus.Member, bool) {
	addresses := make([]string, 0, len(members))
	for _, member := range members {
		if member.Voter {
			addresses = append(addresses, member.Address)
		}
	}
	chosen := shards.Group(shard, addresses, 1)
	if len(chosen) == 0 {
		return consensus.Member{}, false
	}
	for _, member := range members {
		if member.Voter && member.Address == chosen[0] {
			return member, true
		}
	}
	return consensus.Member{}, false
}

// spreadShard hands leadership of a shard to its preferred owner once that has been able to take
// it for spreadCalm. At most one shard moves in spreadInterval. Called by maintenance alone.
func (k *Keeper) spreadShard(ctx context.Context, shard *shard, status replica.Status, now time.Time) {
	group, able := shard.group.(targetedTransfer)
	preferred, found := preferredOwner(shard.id, status.Members)
	if !able || !found || preferred.ID == k.self.ID || !k.couldOwn(ctx, preferred.Address, shard.id) {
		shard.better = time.Time{}
		return
	}
	if shard.better.IsZero() {
		shard.better = now
	}
	if now.Sub(shard.better) < spreadCalm || now.Sub(k.lastMove) < spreadInterval {
		return
	}
	k.lastMove = now
	ctx, cancel := context.WithTimeout(ctx, transferBudget)
	defer cancel()
	err := group.TransferLeadershipTo(ctx, preferred.ID)
	k.log.Info("leadership handed to the preferred owner",
		zap.Uint32("shard", uint32(shard.id)), zap.String("to", preferred.Address), zap.Error(err))
}

// couldOwn asks a keeper whether its replica of a shard is current and takes writes.
func (k *Keeper) couldOwn(ctx context.Context, address string, id shards.ID) bool {
	ctx, cancel := context.WithTimeout(ctx, joinInterval)
	defer cancel()
	reply, err := k.network.Call(ctx, address, callCurrency, nil)
	if err != nil {
		return false
	}
	var states []groupState
	if strictavro.Unmarshal(codec, groupsSchema, reply, &states) != nil {
		return false
	}
	for _, state := range states {
		if state.Shard == int(id) {
			return state.Voter && state.Current && state.Writable
		}
	}
	return false
}
