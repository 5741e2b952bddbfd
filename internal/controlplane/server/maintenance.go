package server

import (
	"context"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"ospreybend/coord/consensus"
	"ospreybend/coord/replica"
)

// maintain does at an interval what only the owners of shards do, until ctx ends.
func (k *Keeper) maintain(ctx context.Context) {
	every(ctx, maintainInterval, func() {
		for _, shard := range k.shards {
			k.maintainShard(ctx, shard)
		}
	})
}

// every calls a function at an interval until ctx ends.
func every(ctx context.Context, interval time.Duration, do func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			do()
		}
	}
}

func (k *Keeper) maintainShard(ctx context.Context, shard *shard) {
	status := shard.group.Status()
	if !status.IsLeader() {
		shard.better = time.Time{} // what it saw in an earlier leadership says nothing
		return
	}
	now := k.outside.Now()
	k.startExpiry(shard, shard.machine.expired(now))
	if _, found := nextStep(k.situation(shard, status)); found {
		k.startReconcile(shard)
	}
	k.spreadShard(ctx, shard, status, now)
}

// startExpiry proposes the removal of instances that fell silent. What fails is decided on anew later.
func (k *Keeper) startExpiry(shard *shard, commands [][]byte) {
	if len(commands) == 0 {
		return
	}
	k.background.Go(func() {
		ctx, cancel := context.WithTimeout(k.workContext, changeBudget)
		defer cancel()
		var group errgroup.Group
		group.SetLimit(proposalsAtOnce)
		for _, command := range commands {
			group.Go(func() error {
				_, _, err := shard.group.Propose(ctx, command)
				return err
			})
		}
		err := group.Wait()
		k.log.Info("instances expired",
			zap.Uint32("shard", uint32(shard.id)), zap.Int("count", len(commands)), zap.Error(err))
	})
}

// onStatus follows a group's role and members. Called by the group's loop: it must not block.
func (k *Keeper) onStatus(shard *shard, status replica.Status) {
	k.directory.setMembers(shard.id, status.Members)
	k.noteLeader(shard, status.Leader)
	leading := uint64(0)
	if status.IsLeader() {
		leading = status.Term
	}
	shard.machine.setLeading(leading)
	if k.noteLeading(shard, status.IsLeader()) {
		k.log.Info("leads a shard", zap.Uint32("shard", uint32(shard.id)), zap.Uint64("term", status.Term))
		k.background.Go(func() { k.takeOwnership(shard, leading) })
	}
	k.ownersChanged.raise()
	k.readers.wake()
	k.outside.Observe(status)
}

// noteLeader ends the calls that wait for an owner of the shard who is no longer the leader.
func (k *Keeper) noteLeader(shard *shard, leader consensus.Member) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if shard.leader == leader && shard.leaderContext != nil {
		return
	}
	if shard.leaderGone != nil {
		shard.leaderGone()
	}
	shard.leader = leader
	shard.leaderContext, shard.leaderGone = context.WithCancel(context.Background())
}

// leaderContext ends when the leader of the shard is another one.
func (k *Keeper) leaderContext(shard *shard) context.Context {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if shard.leaderContext == nil {
		return context.Background()
	}
	return shard.leaderContext
}

// noteLeading records whether a shard is led, and tells whether that has just begun.
func (k *Keeper) noteLeading(shard *shard, leads bool) (begun bool) {
	now := k.outside.Now()
	k.mutex.Lock()
	defer k.mutex.Unlock()
	begun = leads && shard.ledSince.IsZero()
	switch {
	case begun:
		shard.ledSince = now
	case !leads:
		shard.ledSince = time.Time{}
	}
	return begun
}

// takeOwnership waits until this replica has applied all that earlier leaders acknowledged, and
// then starts to own the shard, unless it no longer leads in the term.
func (k *Keeper) takeOwnership(shard *shard, term uint64) {
	select {
	case <-k.opened:
	case <-k.workContext.Done():
		return
	}
	for k.workContext.Err() == nil {
		err := k.barrier(shard)
		status := shard.group.Status()
		if err == nil {
			shard.machine.gained(k.outside.Now(), term)
			k.ownersChanged.raise()
			return
		}
		if !status.IsLeader() || status.Term != term {
			return
		}
		pause(k.workContext, nil, ownerRetryPause)
	}
}

func (k *Keeper) barrier(shard *shard) error {
	if !k.outside.holds(GuardOwnershipBarrier) {
		return nil
	}
	ctx, cancel := context.WithTimeout(k.workContext, changeBudget)
	defer cancel()
	return shard.group.ReadBarrier(ctx)
}

func (k *Keeper) logChange(shard *shard, change replica.Change, err error) {
	fields := []zap.Field{zap.Uint32("shard", uint32(shard.id)), zap.Error(err)}
	if change.Add != nil {
		fields = append(fields, zap.String("add", change.Add.Address), zap.Bool("voter", change.Add.Voter))
	} else {
		fields = append(fields, zap.Uint64("remove", uint64(change.Remove)))
	}
	k.log.Info("membership change", fields...)
}
