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

// storeLoadTimeout limits how long the node reads the store of record at startup.
const storeLoadTimeout = 30 * time.Second

// batchAPI holds the parts of the batch API: job manager, store and HTTP servers.
type batchAPI struct {
	cfg      nodeconfig.Batch
	jobs     *jobs.Manager
	admin    *httpapi.AdminHandler // nil if no administration address is configured
	executor *store.Executor
	servers  []*protocol.Server
}

// startBatch starts the batch API next to the platform's HTTP server, on the same routing core. The node's configuration
// has already reserved its file descriptors (nodeconfig.Node.ReserveBatch).
func (n *node) startBatch(cfg nodeconfig.Batch) (*batchAPI, error) {
	ctx, cancel := context.WithTimeout(context.Background(), storeLoadTimeout)
	defer cancel()
	recordStore, err := store.Open(ctx, cfg.Store, cfg.Source)
	if err != nil {
		return nil, err
	}
	tenants, err := recordStore.Tenants(ctx)
	if err != nil {
		return nil, fmt.Errorf("store: read tenants: %w", err)
	}
	sessions, err := recordStore.Sessions(ctx)
	if err != nil {
		return nil, fmt.Errorf("store: read sessions: %w", err)
	}
	unfinished, arrays, err := recordStore.Unfinished(ctx)
	if err != nil {
		return nil, fmt.Errorf("store: read unfinished jobs: %w", err)
	}
	b := &batchAPI{cfg: cfg, executor: store.NewExecutor(recordStore, n.loop.Post)}
	n.loop.Call(func() {
		b.jobs = jobs.New(n.jobsConfig(cfg), n.core, b.executor, n.loop, &n.loop.Timers)
		n.core.SetLoadObserver(b.jobs)
		b.jobs.Load(tenants, sessions, unfinished, arrays)
		err = b.startServers(n)
	})
	if err != nil {
		return nil, fmt.Errorf("batch: %w", err)
	}
	slog.Info("batch front", "listen", cfg.Listen, "admin", cfg.AdminListen, "store", cfg.Store)
	return b, nil
}

// jobsConfig returns the configuration of the job manager.
func (n *node) jobsConfig(cfg nodeconfig.Batch) jobs.Config {
	return jobs.Config{
		Machine: n.cfg.Name, Classes: n.cfg.BatchClasses, Settings: n.cfg.Settings, WorkerName: n.destinations.Name,
		MaxSlots: n.batchSlots(cfg), DelayTarget: time.Duration(cfg.TargetMS) * time.Millisecond,
		MaxWait: time.Duration(cfg.MaxWaitSeconds) * time.Second, MaxEvents: cfg.MaxEvents, MaxEndedJobs: jobs.DefaultMaxEndedJobs,
	}
}

// startServers starts the tenants' server and, if an address is configured for it, the administration server. It runs on
// the event loop.
func (b *batchAPI) startServers(node *node) error {
	cfg := b.cfg
	api := httpapi.NewHandler(b.jobs, node.loop, &node.loop.Timers, version)
	b.servers = append(b.servers, protocol.NewServer(node.loop, cfg.Listen, cfg.MaxSockets, node.cfg.FrontMaxBufferedBytes, api.Serve))
	if cfg.AdminListen != "" {
		b.admin = httpapi.NewAdminHandler(api, b.jobs.StoreExecutor(), cfg.AdminTokenSHA256)
		b.servers = append(b.servers, protocol.NewServer(node.loop, cfg.AdminListen, cfg.AdminMaxSockets, node.cfg.FrontMaxBufferedBytes, b.admin.Serve))
	}
	for _, server := range b.servers {
		server.FormatError = httpapi.FormatError
		if err := server.Start(); err != nil {
			return err
		}
	}
	return nil
}

// batchSlots returns how many slots batch jobs may occupy in the core at once. At least half of the connections to
// destinations stays reserved for the platform's requests.
func (n *node) batchSlots(cfg nodeconfig.Batch) float64 {
	slots := n.cfg.MaxDestinationConns / 2
	if cfg.Slots > 0 {
		slots = min(slots, cfg.Slots)
	}
	return float64(slots)
}

// reload rereads the batch API's configuration file, applies the settings that can change at run time and logs the other
// changed keys. An invalid file changes nothing. It must not be called on the event loop.
func (b *batchAPI) reload(node *node, getenv func(string) string) {
	cfg, err := nodeconfig.LoadBatch(getenv)
	if err != nil {
		slog.Error("reload: invalid batch API configuration ignored", "error", err)
		return
	}
	if keys := b.cfg.KeysNeedingRestart(cfg); len(keys) > 0 {
		slog.Warn("reload: some batch API keys take effect at the next start", "keys", keys)
	}
	if !cfg.Enabled {
		return
	}
	node.loop.Call(func() {
		b.jobs.Reconfigure(node.batchSlots(cfg), time.Duration(cfg.TargetMS)*time.Millisecond,
			time.Duration(cfg.MaxWaitSeconds)*time.Second, cfg.MaxEvents)
		if b.admin != nil && cfg.AdminTokenSHA256 != "" {
			b.admin.SetTokenHash(cfg.AdminTokenSHA256)
		}
	})
	slog.Info("reload: batch front", "slots", node.batchSlots(cfg), "target_ms", cfg.TargetMS, "longest_wait_s", cfg.MaxWaitSeconds,
		"events", cfg.MaxEvents)
}

// shutdown stops the batch API once no operation or write is in progress, or at the deadline. Jobs that are unfinished by
// then remain in the store. It must not be called on the event loop.
func (b *batchAPI) shutdown(node *node, deadline time.Time) {
	pending := func() (count int) {
		node.loop.Call(func() { count = b.jobs.Pending() })
		return count
	}
	for time.Now().Before(deadline) && pending() > 0 {
		time.Sleep(flushTime)
	}
	node.loop.Call(b.jobs.EndWaits)
	time.Sleep(flushTime)
	node.loop.Call(func() {
		for _, server := range b.servers {
			server.Stop(0, func() {})
		}
		b.executor.Shutdown()
	})
	if err := b.executor.Wait(); err != nil {
		slog.Error("store of record", "error", err)
	}
}
