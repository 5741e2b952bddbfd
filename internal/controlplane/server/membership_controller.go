package server

import (
	"cmp"
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

// join asks the other keepers to be taken into the groups that this keeper is no voter of, or
// whose leader it has not heard for some time, until ctx ends.
func (k *Keeper) join(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	started, asked := k.outside.Now(), 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		if k.leaving.Load() || !k.needsGroups(k.outside.Now().Sub(started)) {
			asked = 0
			timer.Reset(joinIdleInterval)
			continue
		}
		k.askToJoin(ctx)
		asked++
		timer.Reset(joinPause(asked))
	}
}

// joinPause is the pause after so many requests in a row: one that is not needed just now asks less often.
func joinPause(asked int) time.Duration {
	if asked > joinEagerRequests {
		return joinIdleInterval
	}
	return joinInterval
}

// needsGroups tells whether any group has not taken this keeper in, as far as it knows.
func (k *Keeper) needsGroups(running time.Duration) bool {
	for _, shard := range k.shards {
		status := shard.group.Status()
		if !isVoter(status, k.self.ID) {
			return true
		}
		if running > lostContactAge && status.ConfirmedAge > lostContactAge {
			return true
		}
	}
	return false
}

// askToJoin asks all other keepers at once and learns of further ones from their replies.
func (k *Keeper) askToJoin(ctx context.Context) {
	body, err := codec.Marshal(groupsSchema, k.groupStates())
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, joinInterval)
	defer cancel()
	var waitGroup sync.WaitGroup
	for _, address := range k.directory.others() {
		waitGroup.Go(func() {
			reply, err := k.network.Call(ctx, address, callJoin, body)
			if err == nil {
				k.learnKeepers(reply)
			}
		})
	}
	waitGroup.Wait()
}

func (k *Keeper) groupStates() []groupState {
	states := make([]groupState, 0, shards.Count)
	for _, shard := range k.shards {
		status := shard.group.Status()
		states = append(states, groupState{
			Shard: int(shard.id), Voter: isVoter(status, k.self.ID), Current: current(status),
			Writable: status.Writable && !k.leaving.Load(),
		})
	}
	return states
}

func (k *Keeper) learnKeepers(body []byte) {
	var infos []keeperInfo
	if strictavro.Unmarshal(codec, keepersSchema, body, &infos) != nil {
		return
	}
	for _, info := range infos {
		k.directory.learn(info)
	}
}

// takeJoin notes a keeper as a candidate of the groups that this keeper leads, and tells it of the
// keepers that it knows.
func (k *Keeper) takeJoin(peer peertransport.Hello, body []byte) ([]byte, error) {
	var states []groupState
	if err := strictavro.Unmarshal(codec, groupsSchema, body, &states); err != nil {
		return nil, err
	}
	now := k.outside.Now()
	for _, state := range states {
		if state.Shard < 0 || state.Shard >= shards.Count {
			continue
		}
		shard := k.shards[state.Shard]
		if !shard.group.Status().IsLeader() {
			continue
		}
		k.candidates.note(shard.id, candidate{ID: peer.Member, Address: peer.Address}, now)
		k.startReconcile(shard)
	}
	return codec.Marshal(keepersSchema, k.directory.serving())
}

// startReconcile brings a group's members nearer to what is wanted, unless that is under way.
func (k *Keeper) startReconcile(shard *shard) {
	k.mutex.Lock()
	busy := shard.reconciling || k.leaving.Load()
	if !busy {
		shard.reconciling = true
	}
	k.mutex.Unlock()
	if busy {
		return
	}
	k.background.Go(func() {
		defer func() {
			k.mutex.Lock()
			shard.reconciling = false
			k.mutex.Unlock()
		}()
		k.reconcile(shard)
	})
}

// reconcile makes changes of members until there is none to make or one fails; the next request to
// join, or the next round of maintenance, goes on.
func (k *Keeper) reconcile(shard *shard) {
	changed := false
	for k.workContext.Err() == nil {
		next, found := k.awaitStep(shard, changed)
		if !found {
			return
		}
		if !k.confirm(next.Confirm) {
			k.candidates.forget(shard.id, next.Confirm)
			continue
		}
		if !k.changeMembers(shard, next.Change) {
			return
		}
		changed = true
	}
}

// awaitStep returns the next step as the leader of a group. After a change it waits a little for a learner to hold that
// change, too, if a place is free: the place of a voter that went is to be taken at once, not at the next occasion.
func (k *Keeper) awaitStep(shard *shard, changed bool) (step, bool) {
	until := k.outside.Now().Add(takePlaceBudget)
	for {
		status := shard.group.Status()
		if !status.IsLeader() {
			return step{}, false
		}
		known := k.situation(shard, status)
		next, found := nextStep(known)
		if found || !changed || !known.lacksVoter() || !k.outside.Now().Before(until) {
			return next, found
		}
		if !pause(k.workContext, nil, releasePoll) {
			return step{}, false
		}
	}
}

// confirm asks a candidate's address which member lives there now, and tells whether that is the candidate. The question
// is sent after this leader has learnt of the members that the step concerns, so whoever answers lives later than they
// did when they were taken in: a former member whose request was held up cannot answer it.
func (k *Keeper) confirm(asking candidate) bool {
	if asking.ID == 0 {
		return true
	}
	identity, err := k.askIdentity(k.workContext, asking.Address)
	if err == nil && identity.ID == asking.ID && !identity.Leaving {
		return true
	}
	k.log.Info("a request to join does not hold", zap.String("address", asking.Address),
		zap.Uint64("asked", uint64(asking.ID)), zap.Uint64("lives there", uint64(identity.ID)), zap.Error(err))
	return false
}

// askIdentity asks an address which member lives there now.
func (k *Keeper) askIdentity(ctx context.Context, address string) (identityReply, error) {
	ctx, cancel := context.WithTimeout(ctx, joinInterval)
	defer cancel()
	reply, err := k.network.Call(ctx, address, callIdentity, nil)
	if err != nil {
		return identityReply{}, err
	}
	return decodeIdentity(reply)
}

func (k *Keeper) changeMembers(shard *shard, change replica.Change) bool {
	ctx, cancel := context.WithTimeout(k.workContext, changeBudget)
	defer cancel()
	err := shard.group.ChangeMembers(ctx, change)
	k.logChange(shard, change, err)
	return err == nil
}

func (k *Keeper) situation(shard *shard, status replica.Status) situation {
	now := k.outside.Now()
	made := situation{
		Self: k.self.ID, Members: status.Members, Retired: status.Retired,
		Wanted: k.wantedVoters(), Spares: max(leastSpares, k.toleratedLosses()),
		Candidates: k.candidates.fresh(shard.id, now), Silent: k.silences(shard, status.Members, now),
		Omit: k.outside.Omit,
	}
	if made.voters() < len(made.Members) {
		made.PromotableLearners = shard.group.PromotableLearners()
	}
	k.forgetReturned(shard, status, k.leavingMembers(shard, now))
	made.Steady = k.noteReady(shard, made.PromotableLearners, now)
	if made.Leaving = k.leavingMembers(shard, now); len(made.Leaving) > 0 {
		made.Successors = k.successors(status)
	}
	return made
}

// noteReady notes since when learners have been able to be voters, and returns those that have been for some time. With
// each change of members they are unable for a moment, until they hold it.
func (k *Keeper) noteReady(shard *shard, ready []consensus.MemberID, now time.Time) (steady []consensus.MemberID) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if shard.ready == nil {
		shard.ready = make(map[consensus.MemberID]readiness)
	}
	for _, id := range ready {
		span, known := shard.ready[id]
		if !known {
			span.since = now
		}
		span.seen = now
		shard.ready[id] = span
	}
	for id, span := range shard.ready {
		switch {
		case now.Sub(span.seen) > readyGap:
			delete(shard.ready, id)
		case now.Sub(span.since) >= steadyAfter:
			steady = append(steady, id)
		}
	}
	slices.SortFunc(steady, func(a, b consensus.MemberID) int {
		return cmp.Or(shard.ready[a].since.Compare(shard.ready[b].since), cmp.Compare(a, b))
	})
	return steady
}

// silences returns how long nothing was heard of each member's address.
func (k *Keeper) silences(shard *shard, members []consensus.Member, now time.Time) map[consensus.MemberID]time.Duration {
	k.mutex.Lock()
	ledSince := shard.ledSince
	k.mutex.Unlock()
	silent := make(map[consensus.MemberID]time.Duration, len(members))
	for _, member := range members {
		silent[member.ID] = silence(now, k.network.LastReceived(member.Address), ledSince)
	}
	return silent
}

// wantedVoters is the number of voters that bears the losses of the settings, and no less than the
// groups are founded with.
func (k *Keeper) wantedVoters() int {
	return max(2*k.toleratedLosses()+1, len(k.settings.Seeds))
}

// toleratedLosses is how many voters may be lost at once by the settings.
func (k *Keeper) toleratedLosses() int {
	tolerated := k.settings.FaultTolerance
	return max(tolerated.Machines, tolerated.Zones, tolerated.Regions)
}
