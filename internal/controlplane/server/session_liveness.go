package server

import (
	"context"
	"sync"
	"time"

	"ospreybend/coord/shards"
	"ospreybend/internal/controlplane/registry"
	"ospreybend/internal/util/strictavro"
)

// presences are the heartbeats that this keeper has acknowledged by itself and the owners of their shards have not been
// told of.
type presences struct {
	mutex sync.Mutex
	heard [shards.Count]map[string]uint64 // the highest sequence, by instance
	came  chan struct{}
}

func newPresences() *presences { return &presences{came: make(chan struct{}, 1)} }

func (p *presences) note(shard shards.ID, id string, sequence uint64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.heard[shard] == nil {
		p.heard[shard] = make(map[string]uint64)
		kick(p.came)
	}
	p.heard[shard][id] = max(p.heard[shard][id], sequence)
}

// take returns what was noted of a shard since the last call.
func (p *presences) take(shard shards.ID) []presence {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	taken := make([]presence, 0, len(p.heard[shard]))
	for id, sequence := range p.heard[shard] {
		taken = append(taken, presence{ID: id, Sequence: int64(sequence)})
	}
	p.heard[shard] = nil
	return taken
}

// acknowledgeHere tells whether a heartbeat may be acknowledged without its shard's owner: this replica is current and
// has just what the heartbeat says. The owner is told within presenceInterval that the instance was heard.
func (k *Keeper) acknowledgeHere(shard shards.ID, beat registry.Heartbeat) bool {
	machine := k.instances(shard)
	status := k.shards[shard].group.Status()
	if machine == nil || status.IsLeader() {
		return false
	}
	if !current(status) && k.outside.holds(GuardBeatCurrent) {
		return false
	}
	if !machine.records(beat) && k.outside.holds(GuardBeatRecorded) {
		return false
	}
	k.presences.note(shard, beat.ID, beat.Sequence)
	return true
}

// tellPresences tells the owners of shards who was heard, until ctx ends. It sleeps while nobody is.
func (k *Keeper) tellPresences(ctx context.Context) {
	timer := time.NewTimer(presenceInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.presences.came:
		}
		timer.Reset(presenceInterval)
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		for _, id := range allShards {
			k.tellOwner(ctx, id)
		}
	}
}

// tellOwner tells the owner of one shard. What it cannot be told is dropped: the instances send again.
func (k *Keeper) tellOwner(ctx context.Context, id shards.ID) {
	heard := k.presences.take(id)
	if len(heard) == 0 {
		return
	}
	body, err := codec.Marshal(presencesSchema, heard)
	if err != nil {
		return
	}
	k.carryInBackground(ctx, call{Kind: callPresences, Shard: id, Body: body}, smallCallBudget)
}

// carryInBackground has the owner of a call's shard carry it out within a time, and drops its answer.
func (k *Keeper) carryInBackground(ctx context.Context, c call, within time.Duration) {
	k.background.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, within)
		defer cancel()
		k.carry(ctx, c)
	})
}

// takePresences notes as the owner of a shard whom another keeper has heard.
func (k *Keeper) takePresences(c call) answer {
	var heard []presence
	machine := k.instances(c.Shard)
	if machine == nil || strictavro.Unmarshal(codec, presencesSchema, c.Body, &heard) != nil {
		return failed(InternalFault)
	}
	if !machine.heard(k.outside.Now(), heard) {
		return notOwner(k.shards[c.Shard].group.Status().Leader.Address)
	}
	return succeeded(emptyObject)
}
