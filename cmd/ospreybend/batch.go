package main

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"ospreybend/internal/node/batch/httpapi"
	"ospreybend/internal/node/batch/jobs"
	"ospreybend/internal/node/batch/store"
	"ospreybend/internal/node/nodeconfig"
	"ospreybend/internal/node/protocol"
)

const storeLoadTimeout = 30 * time.Second

// batchFront is the parts of the batch front, wired.
type batchFront struct {
	cfg      nodeconfig.Batch
	jobs     *jobs.Manager
	admin    *httpapi.Admin // nil: none
	executor *store.Executor
	servers  []*protocol.Server
}

// startBatch opens the batch front beside the platform's, on the same core. The
// node's configuration has made room for it (Reserve).
func (n *node) startBatch(cfg nodeconfig.Batch) (*batchFront, error) {
	ctx, cancel := context.WithTimeout(context.Background(), storeLoadTimeout)
	defer cancel()
	record, err := store.Open(ctx, cfg.Store, cfg.Source)
	if err != nil {
		return nil, err
	}
	tenants, err := record.Tenants(ctx)
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	sessions, err := record.Sessions(ctx)
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	unfinished, arrays, err := record.Unfinished(ctx)
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	f := &batchFront{cfg: cfg, executor: store.NewExecutor(record, n.loop.Post)}
	n.loop.Call(func() {
		f.jobs = jobs.New(jobs.Config{Machine: n.cfg.Name, Classes: n.cfg.BatchClasses, Settings: n.cfg.Settings, WorkerName: n.destinations.Name,
			MaxSlots: n.batchSlots(cfg), DelayTarget: time.Duration(cfg.TargetMS) * time.Millisecond,
			MaxWait: time.Duration(cfg.MaxWaitSeconds) * time.Second, MaxEvents: cfg.MaxEvents, MaxEndedJobs: jobs.DefaultMaxEndedJobs}, n.core, f.executor, n.loop, &n.loop.Timers)
		n.core.SetLoadObserver(f.jobs)
		f.jobs.Load(tenants, sessions, unfinished, arrays)
		front := httpapi.New(f.jobs, n.loop, &n.loop.Timers, version)
		f.servers = append(f.servers, protocol.NewServer(n.loop, cfg.Listen, cfg.MaxSockets, n.cfg.FrontMaxBufferedBytes, front.Serve))
		if cfg.AdminListen != "" {
			f.admin = httpapi.NewAdmin(front, f.jobs.StoreExecutor(), cfg.AdminTokenSHA256)
			f.servers = append(f.servers, protocol.NewServer(n.loop, cfg.AdminListen, cfg.AdminMaxSockets, n.cfg.FrontMaxBufferedBytes, f.admin.Serve))
		}
		for _, s := range f.servers {
			s.FormatError = httpapi.FormatError
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

// batchSlots is how much of the batch front's work may be in the core at once:
// the descriptors left are the platform's.
func (n *node) batchSlots(cfg nodeconfig.Batch) float64 {
	most := n.cfg.MaxDestinationConns / 2
	if cfg.Slots > 0 {
		most = min(most, cfg.Slots)
	}
	return float64(most)
}

// reload takes up the batch front's file read anew. What it cannot take up while
// it runs it names. One with a fault changes nothing.
func (f *batchFront) reload(n *node, env func(string) string) {
	cfg, err := nodeconfig.LoadBatch(env)
	if err != nil {
		slog.Error("reload: the batch front's old configuration stays", "fault", err)
		return
	}
	if keys := f.cfg.NeedRestart(cfg); len(keys) > 0 {
		slog.Warn("reload: some keys of the batch front take effect at the next start", "keys", keys)
	}
	if !cfg.Enabled {
		return
	}
	n.loop.Call(func() {
		f.jobs.Reconfigure(n.batchSlots(cfg), time.Duration(cfg.TargetMS)*time.Millisecond,
			time.Duration(cfg.MaxWaitSeconds)*time.Second, cfg.MaxEvents)
		if f.admin != nil && cfg.AdminTokenSHA256 != "" {
			f.admin.SetTokenHash(cfg.AdminTokenSHA256)
		}
	})
	slog.Info("reload: batch front", "slots", n.batchSlots(cfg), "target_ms", cfg.TargetMS, "longest_wait_s", cfg.MaxWaitSeconds,
		"events", cfg.MaxEvents)
}

// shutdown ends the batch front once what its jobs have in work is answered, or by
// the given time. What is then unfinished the store has.
func (f *batchFront) shutdown(n *node, by time.Time) {
	busy := func() (count int) {
		n.loop.Call(func() { count = f.jobs.Pending() })
		return count
	}
	for time.Now().Before(by) && busy() > 0 {
		time.Sleep(flushTime)
	}
	n.loop.Call(f.jobs.EndWaits)
	time.Sleep(flushTime)
	n.loop.Call(func() {
		for _, s := range f.servers {
			s.Stop(0, func() {})
		}
		f.executor.Shutdown()
	})
	if err := f.executor.Wait(); err != nil {
		slog.Error("store of record", "error", err)
	}
}
