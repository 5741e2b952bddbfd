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

// storeLoadTimeout limits how long a start reads what the store of record holds.
const storeLoadTimeout = 30 * time.Second

// batchFront wires the parts of the batch API.
type batchFront struct {
	cfg      nodeconfig.Batch
	jobs     *jobs.Manager
	admin    *httpapi.AdminHandler // nil: none
	executor *store.Executor
	servers  []*protocol.Server
}

// startBatch starts the batch API beside the platform's server, on the same core. The node's configuration has reserved
// its descriptors (nodeconfig.Node.ReserveBatch).
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
		f.jobs = jobs.New(n.jobsConfig(cfg), n.core, f.executor, n.loop, &n.loop.Timers)
		n.core.SetLoadObserver(f.jobs)
		f.jobs.Load(tenants, sessions, unfinished, arrays)
		err = f.startServers(n)
	})
	if err != nil {
		return nil, fmt.Errorf("batch: %w", err)
	}
	slog.Info("batch front", "listen", cfg.Listen, "admin", cfg.AdminListen, "store", cfg.Store)
	return f, nil
}

// jobsConfig returns the configuration of the job manager.
func (n *node) jobsConfig(cfg nodeconfig.Batch) jobs.Config {
	return jobs.Config{
		Machine: n.cfg.Name, Classes: n.cfg.BatchClasses, Settings: n.cfg.Settings, WorkerName: n.destinations.Name,
		MaxSlots: n.batchSlots(cfg), DelayTarget: time.Duration(cfg.TargetMS) * time.Millisecond,
		MaxWait: time.Duration(cfg.MaxWaitSeconds) * time.Second, MaxEvents: cfg.MaxEvents, MaxEndedJobs: jobs.DefaultMaxEndedJobs,
	}
}

// startServers starts the servers of the tenants and, where it has an address, of the administration. It runs on the
// loop.
func (f *batchFront) startServers(node *node) error {
	cfg := f.cfg
	api := httpapi.NewHandler(f.jobs, node.loop, &node.loop.Timers, version)
	f.servers = append(f.servers, protocol.NewServer(node.loop, cfg.Listen, cfg.MaxSockets, node.cfg.FrontMaxBufferedBytes, api.Serve))
	if cfg.AdminListen != "" {
		f.admin = httpapi.NewAdminHandler(api, f.jobs.StoreExecutor(), cfg.AdminTokenSHA256)
		f.servers = append(f.servers, protocol.NewServer(node.loop, cfg.AdminListen, cfg.AdminMaxSockets, node.cfg.FrontMaxBufferedBytes, f.admin.Serve))
	}
	for _, server := range f.servers {
		server.FormatError = httpapi.FormatError
		if err := server.Start(); err != nil {
			return err
		}
	}
	return nil
}

// batchSlots returns how many slots batch jobs may take in the core at once; the other connections are reserved for the
// platform's requests.
func (n *node) batchSlots(cfg nodeconfig.Batch) float64 {
	slots := n.cfg.MaxDestinationConns / 2
	if cfg.Slots > 0 {
		slots = min(slots, cfg.Slots)
	}
	return float64(slots)
}

// reload reads the batch API's file again, applies what can change while it runs and logs the other changed keys. An
// invalid file changes nothing. It runs off the loop.
func (f *batchFront) reload(node *node, getenv func(string) string) {
	cfg, err := nodeconfig.LoadBatch(getenv)
	if err != nil {
		slog.Error("reload: invalid configuration of the batch front ignored", "error", err)
		return
	}
	if keys := f.cfg.NeedRestart(cfg); len(keys) > 0 {
		slog.Warn("reload: some keys of the batch front take effect at the next start", "keys", keys)
	}
	if !cfg.Enabled {
		return
	}
	node.loop.Call(func() {
		f.jobs.Reconfigure(node.batchSlots(cfg), time.Duration(cfg.TargetMS)*time.Millisecond,
			time.Duration(cfg.MaxWaitSeconds)*time.Second, cfg.MaxEvents)
		if f.admin != nil && cfg.AdminTokenSHA256 != "" {
			f.admin.SetTokenHash(cfg.AdminTokenSHA256)
		}
	})
	slog.Info("reload: batch front", "slots", node.batchSlots(cfg), "target_ms", cfg.TargetMS, "longest_wait_s", cfg.MaxWaitSeconds,
		"events", cfg.MaxEvents)
}

// shutdown ends the batch API once all its requests in flight are answered, or by the deadline. The store has the jobs
// that are unfinished then. It runs off the loop.
func (f *batchFront) shutdown(node *node, deadline time.Time) {
	pending := func() (count int) {
		node.loop.Call(func() { count = f.jobs.Pending() })
		return count
	}
	for time.Now().Before(deadline) && pending() > 0 {
		time.Sleep(flushTime)
	}
	node.loop.Call(f.jobs.EndWaits)
	time.Sleep(flushTime)
	node.loop.Call(func() {
		for _, server := range f.servers {
			server.Stop(0, func() {})
		}
		f.executor.Shutdown()
	})
	if err := f.executor.Wait(); err != nil {
		slog.Error("store of record", "error", err)
	}
}
