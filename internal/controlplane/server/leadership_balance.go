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

// preferredOwner returns the voter that should lead a shard: the one with the highest rendezvous hash, which spreads the shards
// evenly over the voters. It returns false if there is no voter.
func preferredOwner(shard shards.ID, members []consensus.Member) (consensus.Member, bool) {
	addresses := make([]string, 0, len(members))
	for _, member := range members {
		if member.Voter {
			addresses = append(addresses, member.Address)
		}
	}
	chosen := shards.ReplicaGroup(shard, addresses, 1)
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

// balanceLeadership transfers a shard's leadership to the preferred owner after that server has been able to take it for
// preferredOwnerStableFor. At most one shard is transferred per minLeaderTransferInterval. Only the maintenance loop calls it.
func (s *Server) balanceLeadership(ctx context.Context, shard *shard, status replica.Status, now time.Time) {
	group, able := shard.group.(leadershipTransferrer)
	preferred, found := preferredOwner(shard.id, status.Members)
	if !able || !found || preferred.ID == s.self.ID || !s.canOwn(ctx, preferred.Address, shard.id) {
		shard.preferredReadySince = time.Time{}
		return
	}
	if shard.preferredReadySince.IsZero() {
		shard.preferredReadySince = now
	}
	if now.Sub(shard.preferredReadySince) < preferredOwnerStableFor || now.Sub(s.lastLeaderTransfer) < minLeaderTransferInterval {
		return
	}
	s.lastLeaderTransfer = now
	ctx, cancel := context.WithTimeout(ctx, leaderTransferTimeout)
	defer cancel()
	err := group.TransferLeadershipTo(ctx, preferred.ID)
	s.logger.Info("leadership transferred to preferred owner",
		zap.Uint32("shard", uint32(shard.id)), zap.String("to", preferred.Address), zap.Error(err))
}

// canOwn asks a server whether its replica of a shard is a current voter that accepts writes.
func (s *Server) canOwn(ctx context.Context, address string, id shards.ID) bool {
	ctx, cancel := context.WithTimeout(ctx, joinInterval)
	defer cancel()
	reply, err := s.peers.network.Call(ctx, address, callGroupStates, nil)
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
