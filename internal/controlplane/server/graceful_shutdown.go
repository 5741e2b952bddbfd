package server

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"ospreybend/coord/consensus"
	"ospreybend/coord/replica"
	"ospreybend/coord/shards"
	"ospreybend/internal/controlplane/peertransport"
	"ospreybend/internal/util/strictavro"
)

// leave ends the feed's sessions, so that agents go elsewhere at once, hands over all leaderships and, where a successor
// stands by, the places in the groups, and stops the API, which until then takes calls.
func (k *Keeper) leave(api APIServer) {
	k.leaving.Store(true)
	k.stopFeed()
	k.handOverAll()
	ctx, cancel := context.WithTimeout(context.Background(), shutdownBudget)
	defer cancel()
	_ = api.Shutdown(ctx)
	k.stopWork()
}

// handOverAll transfers the leadership of all shards that this keeper leads, and then its places.
func (k *Keeper) handOverAll() {
	ctx, cancel := context.WithTimeout(context.Background(), transferBudget)
	defer cancel()
	started := k.outside.Now()
	var waitGroup sync.WaitGroup
	for _, shard := range k.shards {
		if shard.group.Status().IsLeader() {
			waitGroup.Go(func() { k.handOver(ctx, shard) })
		}
	}
	waitGroup.Wait()
	k.giveUpPlaces(ctx)
	k.log.Info("leaving", zap.Duration("handed over in", k.outside.Now().Sub(started)))
}

// handOver transfers the leadership of one shard, and tries again while the group refuses.
func (k *Keeper) handOver(ctx context.Context, shard *shard) {
	for {
		err := shard.group.TransferLeadership(ctx)
		if err == nil || !shard.group.Status().IsLeader() {
			return
		}
		if !pause(ctx, nil, ownerRetryPause) {
			k.log.Warn("leadership is not handed over", zap.Uint32("shard", uint32(shard.id)), zap.Error(err))
			return
		}
	}
}

// giveUpPlaces tells the leaders of the groups in which this keeper votes that it is about to end, and waits for what
// they make of it. A leader without a successor at hand answers at once. Where none is known, or the one asked leads
// no more, the next one is awaited.
func (k *Keeper) giveUpPlaces(ctx context.Context) {
	left := slices.Clone(allShards[:])
	for len(left) > 0 {
		var waitGroup sync.WaitGroup
		var mutex sync.Mutex
		places, elsewhere := k.placesByLeader(ctx, left)
		for address, places := range places {
			waitGroup.Go(func() {
				refused := k.giveUp(ctx, address, places)
				mutex.Lock()
				defer mutex.Unlock()
				elsewhere = append(elsewhere, refused...)
			})
		}
		waitGroup.Wait()
		left = elsewhere
		if !pause(ctx, nil, releasePoll) {
			return
		}
	}
}

// giveUp tells one leader, and returns the groups that it does not lead.
func (k *Keeper) giveUp(ctx context.Context, leader string, places []groupState) []shards.ID {
	body, err := codec.Marshal(groupsSchema, places)
	if err != nil {
		return nil
	}
	reply, err := k.network.Call(ctx, leader, callLeave, body)
	if err != nil {
		k.log.Debug("a leader does not take leave", zap.String("leader", leader), zap.Error(err))
		return shardsOf(places)
	}
	var states []groupState
	if strictavro.Unmarshal(codec, groupsSchema, reply, &states) != nil {
		return nil
	}
	return shardsOf(states)
}

func shardsOf(states []groupState) []shards.ID {
	found := make([]shards.ID, 0, len(states))
	for _, state := range states {
		found = append(found, shards.ID(state.Shard))
	}
	return found
}

// placesByLeader returns the groups in which this keeper votes, out of some, by the address of their leader, and those whose
// leader is not known. Where leadership has just been handed over, the new leader may be known a moment later.
func (k *Keeper) placesByLeader(ctx context.Context, among []shards.ID) (found map[string][]groupState, unknown []shards.ID) {
	ctx, cancel := context.WithTimeout(ctx, leaderKnownBudget)
	defer cancel()
	found = make(map[string][]groupState)
	for _, id := range among {
		group := k.shards[id].group
		status := group.Status()
		for isVoter(status, k.self.ID) && status.Leader.Address == "" && pause(ctx, nil, releasePoll) {
			status = group.Status()
		}
		leader := status.Leader.Address
		switch {
		case !isVoter(status, k.self.ID):
		case leader == "" || leader == k.self.Address:
			unknown = append(unknown, id)
		default:
			found[leader] = append(found[leader], groupState{Shard: int(id), Voter: true})
		}
	}
	return found, unknown
}

// takeLeave notes as the leader of groups that a voter is about to end, and returns once its place is taken or nobody is
// there to take it. The reply names the groups that this keeper does not lead.
func (k *Keeper) takeLeave(ctx context.Context, peer peertransport.Hello, body []byte) ([]byte, error) {
	var states []groupState
	if err := strictavro.Unmarshal(codec, groupsSchema, body, &states); err != nil {
		return nil, err
	}
	var waitGroup sync.WaitGroup
	elsewhere := []groupState{}
	for _, state := range states {
		if state.Shard < 0 || state.Shard >= shards.Count {
			continue
		}
		shard := k.shards[state.Shard]
		k.noteLeaving(shard, peer.Member)
		waitGroup.Go(func() { k.awaitRelease(ctx, shard, peer.Member) })
	}
	waitGroup.Wait()
	for _, state := range states {
		if known := state.Shard >= 0 && state.Shard < shards.Count; known && !k.shards[state.Shard].group.Status().IsLeader() {
			elsewhere = append(elsewhere, state)
		}
	}
	return codec.Marshal(groupsSchema, elsewhere)
}

// awaitRelease waits until no change of members is under way or to be made, and no successor may still catch up.
func (k *Keeper) awaitRelease(ctx context.Context, shard *shard, leaving consensus.MemberID) {
	for {
		status := shard.group.Status()
		if !status.IsLeader() {
			return
		}
		known := k.situation(shard, status)
		_, found := nextStep(known)
		catchingUp := len(known.Successors) > 0 && (isVoter(status, leaving) || known.lacksVoter())
		if !found && !catchingUp && !k.isReconciling(shard) {
			return
		}
		k.startReconcile(shard)
		if !pause(ctx, nil, releasePoll) {
			return
		}
	}
}

// isReconciling tells whether a change of members may be made that is not committed yet.
func (k *Keeper) isReconciling(shard *shard) bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return shard.reconciling
}

func (k *Keeper) noteLeaving(shard *shard, member consensus.MemberID) {
	now := k.outside.Now()
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if shard.leaving == nil {
		shard.leaving = make(map[consensus.MemberID]time.Time)
	}
	shard.leaving[member] = now
}

// leavingMembers returns the members that said not long ago that they are about to end.
func (k *Keeper) leavingMembers(shard *shard, now time.Time) []consensus.MemberID {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	var found []consensus.MemberID
	for member, at := range shard.leaving {
		if now.Sub(at) > leavingFresh {
			delete(shard.leaving, member)
			continue
		}
		found = append(found, member)
	}
	slices.Sort(found)
	return found
}

// forgetReturned forgets that members are leaving whose process is back under the same ID: they only restarted, and their
// place is not to be given away.
func (k *Keeper) forgetReturned(shard *shard, status replica.Status, leaving []consensus.MemberID) {
	for _, member := range status.Members {
		if !slices.Contains(leaving, member.ID) {
			continue
		}
		if identity, err := k.askIdentity(k.workContext, member.Address); err != nil || identity.ID != member.ID || identity.Leaving {
			continue
		}
		k.mutex.Lock()
		delete(shard.leaving, member.ID)
		k.mutex.Unlock()
	}
}

// successors returns the learners whose process began so short a time ago that they were started to take the place of a
// voter that is leaving. A stand-by that has been there for long proves nothing of the kind: the voter may only restart.
func (k *Keeper) successors(status replica.Status) []consensus.MemberID {
	var found []consensus.MemberID
	for _, member := range status.Members {
		if member.Voter {
			continue
		}
		identity, err := k.askIdentity(k.workContext, member.Address)
		if err == nil && identity.ID == member.ID && !identity.Leaving && identity.Age <= successorAge {
			found = append(found, member.ID)
		}
	}
	return found
}
