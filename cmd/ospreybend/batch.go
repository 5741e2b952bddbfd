package main

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"ospreybend/internal/batch"
	"ospreybend/internal/config"
	"ospreybend/internal/protocol"
)

const loadWithin = 30 * time.Second

// batchFront is the parts of the batch front, wired.
type batchFront struct {
	service *batch.Service
	keeper  *batch.Keeper
	servers []*protocol.Server
}

// startBatch opens the batch front beside the platform's, on the same core.
func (n *node) startBatch(cfg config.Batch) (*batchFront, error) {
	ctx, cancel := context.WithTimeout(context.Background(), loadWithin)
	defer cancel()
	store, err := batch.OpenStore(ctx, cfg.Store, cfg.Source)
	if err != nil {
		return nil, err
	}
	tenants, err := store.Tenants(ctx)
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	sessions, err := store.Sessions(ctx)
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	unfinished, err := store.Unfinished(ctx)
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	f := &batchFront{keeper: batch.NewKeeper(store, n.loop.Post)}
	n.loop.Call(func() {
		f.service = batch.NewService(batch.Config{Classes: n.cfg.Classes, Settings: n.cfg.Settings}, n.core, f.keeper,
			n.loop, &n.loop.Due)
		f.service.Load(tenants, sessions, unfinished)
		f.servers = append(f.servers, protocol.NewServer(n.loop, cfg.Listen, cfg.Sockets, n.cfg.FrontMemory, f.service.Serve))
		if cfg.AdminListen != "" {
			admin := batch.NewAdmin(f.service, cfg.AdminToken)
			f.servers = append(f.servers, protocol.NewServer(n.loop, cfg.AdminListen, cfg.AdminSockets, n.cfg.FrontMemory, admin.Serve))
		}
		for _, s := range f.servers {
			if err = s.Start(); err != nil {
				return
			}
		}
	})
	if err != nil {
		return nil, fmt.Errorf("batch: %w", err)
	}
	slog.Info("batch front", "listen", cfg.Listen, "admin", cfg.AdminListen, "store", cfg.Store)
	return f, nil
}

// stop ends the batch front once what its jobs have in work is answered, or by
// the given time. What is then unfinished the store has.
func (f *batchFront) stop(n *node, by time.Time) {
	busy := func() (count int) {
		n.loop.Call(func() { count = f.service.Busy() })
		return count
	}
	for time.Now().Before(by) && busy() > 0 {
		time.Sleep(flushFor)
	}
	n.loop.Call(func() {
		for _, s := range f.servers {
			s.Stop(func() {})
		}
		f.keeper.Shut()
	})
	if err := f.keeper.Wait(); err != nil {
		slog.Error("store of record", "error", err)
	}
}
