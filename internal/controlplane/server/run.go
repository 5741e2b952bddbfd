package server

import (
	"context"
	"errors"
	"runtime/debug"
	"sync"

	"go.uber.org/zap"

	"ospreybend/coord/seglog"
	"ospreybend/internal/util/bootconfig"
)

// Run works as a keeper until ctx ends; it then hands over what it leads, within about two seconds.
// Errors: a listener or the disk cannot be used.
func Run(ctx context.Context, config bootconfig.Settings, log *zap.Logger) error {
	limitMemory(config.Limits.MemoryMb)
	workers, err := newHTTPCaller()
	if err != nil {
		return err
	}
	k, err := Open(ctx, config, Environment{Orders: workers}, log)
	if err != nil {
		return err
	}
	defer k.Close()
	control, err := listenControl(ctx, config.Listen.Control)
	if err != nil {
		return err
	}
	defer func() { _ = control.Close() }() // if the server has not begun to run
	return k.Serve(ctx, newAPI(k, control))
}

// limitMemory has the collector work harder as the machine's memory fills.
func limitMemory(memoryMb int) {
	if memoryMb <= 0 {
		return
	}
	debug.SetGCPercent(collectorPercent)
	debug.SetMemoryLimit(int64(memoryMb) << 20 * memoryLimitPercent / 100)
}

// Open prepares a keeper and opens its replicas. If one of them is damaged, the disk counts as lost: the keeper takes
// a new member ID and begins without any replica, since what it may have promised is not known any more.
func Open(ctx context.Context, config bootconfig.Settings, outside Environment, log *zap.Logger) (*Keeper, error) {
	for {
		k, err := openReplicas(ctx, config, outside, log)
		if !errors.Is(err, seglog.ErrCorrupt) {
			return k, err
		}
		log.Error("this disk counts as lost", zap.Error(err))
		if err := seglog.RemoveMemberID(outside.FileSystem, config.DataDir); err != nil {
			return nil, err
		}
	}
}

func openReplicas(ctx context.Context, config bootconfig.Settings, outside Environment, log *zap.Logger) (*Keeper, error) {
	start := &identityStart{config: config, address: ownAddress(config), outside: outside.withDefaults()}
	self, founders, err := start.await(ctx, log)
	if err != nil {
		return nil, err
	}
	k := newKeeper(config, self, outside, log)
	if err := k.openNetwork(); err != nil {
		return nil, err
	}
	if err := k.openGroups(ctx, founders); err != nil {
		k.Close()
		return nil, err
	}
	log.Info("keeper opened", zap.String("address", self.Address), zap.Uint64("member", uint64(self.ID)),
		zap.Bool("founder", founders != nil))
	return k, nil
}

// APIServer takes calls from outside the process and hands them to Handle. Run returns after Shutdown, or with a fault.
type APIServer interface {
	Run() error
	Shutdown(ctx context.Context) error
}

// Serve runs all parts until ctx ends or one of them fails; it then hands over what it leads. Errors: the listener for
// peers cannot be opened, or a listener fails.
func (k *Keeper) Serve(ctx context.Context, api APIServer) error {
	peers, err := k.listenPeers(ctx)
	if err != nil {
		return err
	}
	failed := make(chan error, 2)
	k.runGroups()
	k.background.Go(func() { k.join(k.workContext) })
	k.background.Go(func() { k.beatNodes(k.workContext) })
	k.background.Go(func() { k.tellPresences(k.workContext) })
	k.background.Go(func() { k.maintain(k.workContext) })
	if k.outside.Orders != nil {
		k.background.Go(func() { k.tellDemands(k.workContext) })
		k.background.Go(func() { k.controlStages(k.workContext) })
	}
	k.background.Go(func() {
		if err := k.servePeers(peers); err != nil {
			failed <- err
		}
	})
	k.background.Go(func() {
		if err := api.Run(); err != nil && !k.leaving.Load() {
			failed <- err
		}
	})
	var failure error
	select {
	case <-ctx.Done():
	case failure = <-failed:
	}
	k.leave(api)
	return failure
}

// running is what runGroups needs beside replicaGroup.
type running interface {
	Run(ctx context.Context) error
}

// runGroups starts the groups' loops; they end when the groups are closed.
func (k *Keeper) runGroups() {
	for _, shard := range k.shards {
		group, ok := shard.group.(running)
		if !ok {
			continue
		}
		k.background.Go(func() {
			if err := group.Run(context.Background()); err != nil {
				k.log.Error("a replica has stopped", zap.Uint32("shard", uint32(shard.id)), zap.Error(err))
			}
		})
	}
}

// closeAllGroups closes the replicas at the same time, since each may wait for a disk that hangs.
func (k *Keeper) closeAllGroups() {
	var waitGroup sync.WaitGroup
	for _, closeGroup := range k.closeGroups {
		waitGroup.Go(func() {
			if err := closeGroup(); err != nil {
				k.log.Warn("a replica was not closed well", zap.Error(err))
			}
		})
	}
	waitGroup.Wait()
}

// Close ends everything that Open and Serve have begun, without a hand-over.
func (k *Keeper) Close() {
	k.leaving.Store(true)
	k.stopWork()
	k.stopFeed()
	k.closeAllGroups()
	if k.closeNetwork != nil {
		k.closeNetwork()
	}
	k.background.Wait()
}
