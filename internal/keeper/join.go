package keeper

import (
	"context"
	"sync"
	"time"

	"ospreybend/coord/agreement"
	"ospreybend/coord/replica"
	"ospreybend/coord/shards"
	"ospreybend/internal/peerlink"
	"ospreybend/internal/strictavro"
)

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

// fresh returns those who asked not long ago and forgets the others.
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
	return found
}

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
		if !k.needsGroups(k.outside.Now().Sub(started)) {
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
	var waiting sync.WaitGroup
	for _, address := range k.directory.others() {
		waiting.Go(func() {
			reply, err := k.network.Call(ctx, address, callJoin, body)
			if err == nil {
				k.learnKeepers(reply)
			}
		})
	}
	waiting.Wait()
}

func (k *Keeper) groupStates() []groupState {
	states := make([]groupState, 0, shards.Count)
	for _, shard := range k.shards {
		status := shard.group.Status()
		states = append(states, groupState{
			Shard: int(shard.id), Voter: isVoter(status, k.self.ID), Current: current(status), Writable: status.Writable,
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
func (k *Keeper) takeJoin(peer peerlink.Hello, body []byte) ([]byte, error) {
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
		k.candidates.note(shard.id, candidate{ID: peer.Member, Address: peer.Address, Current: state.Current}, now)
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
	for k.workContext.Err() == nil {
		status := shard.group.Status()
		if !status.IsLeader() {
			return
		}
		change, found := nextChange(k.situation(shard, status))
		if !found {
			return
		}
		if !k.changeMembers(shard, change) {
			return
		}
	}
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
	k.mutex.Lock()
	ledSince := shard.ledSince
	k.mutex.Unlock()
	silent := make(map[agreement.MemberID]time.Duration, len(status.Members))
	for _, member := range status.Members {
		heard := k.network.LastHeard(member.Address)
		if heard.Before(ledSince) {
			heard = ledSince
		}
		silent[member.ID] = now.Sub(heard)
	}
	return situation{
		Self: k.self.ID, Members: status.Members, Wanted: k.wantedVoters(),
		Candidates: k.candidates.fresh(shard.id, now), Silent: silent,
	}
}

// wantedVoters is the number of voters that bears the losses of the settings, and no less than the
// groups are founded with.
func (k *Keeper) wantedVoters() int {
	tolerated := k.settings.FaultTolerance
	lost := max(tolerated.Machines, tolerated.Zones, tolerated.Regions)
	return max(2*lost+1, len(k.settings.Seeds))
}
