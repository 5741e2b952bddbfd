package httpapi

import (
	"context"
	"fmt"
	"path/filepath"
	"testing"
	"time"

	"ospreybend/balance"
	"ospreybend/internal/node/batch/jobs"
	"ospreybend/internal/node/batch/store"
	"ospreybend/internal/node/protocol"
	"ospreybend/internal/node/routing"
	"ospreybend/internal/testkit/scriptedpeer"
)

// fixture is a node with the batch front. The scripted peer "workers" plays its prep workers;
// scenarios play the batch clients.
type fixture struct {
	*scriptedpeer.Bench
	t            *testing.T
	core         *routing.Core
	destinations *protocol.Destinations
	service      *jobs.Manager
	executor     *store.Executor
	file         string
	batchAddress string
}

const adminToken = "chief"

// newFixture starts a node on a store in a file; a new one has the tenants 'anna' and 'ben', each
// with a session 's' and a token of its name.
func newFixture(t *testing.T, file string) *fixture {
	return newFixtureWith(t, file, 2, jobs.DefaultMaxEndedJobs)
}

func newFixtureWith(t *testing.T, file string, quota, maxEndedJobs int) *fixture {
	t.Helper()
	if file == "" {
		file = filepath.Join(t.TempDir(), "batch.db")
	}
	w := &fixture{Bench: scriptedpeer.New(t), t: t, file: file}
	ctx := context.Background()
	record := openStore(t, file)
	for _, name := range []string{"anna", "ben"} {
		must(t, record.PutTenant(ctx, jobs.Tenant{Name: name, TokenHash: TokenHash(name), Quota: quota}))
		must(t, record.PutSession(ctx, jobs.SessionRecord{Tenant: name, Name: "s", State: jobs.SessionOpen}))
	}
	tenants, err := record.Tenants(ctx)
	must(t, err)
	sessions, err := record.Sessions(ctx)
	must(t, err)
	unfinished, arrays, err := record.Unfinished(ctx)
	must(t, err)
	class := func(e balance.Effect) balance.Class {
		return balance.Class{LatencyTarget: 2 * time.Second, TargetStretch: 2, Timeout: 4 * time.Second, Value: 1, Effect: e, Kind: -1}
	}
	s := balance.Settings{Balancers: 1, Resolution: 2 * time.Millisecond, ReportsStart: true,
		Classes: []balance.Class{class(balance.Idempotent), class(balance.NonIdempotent)},
		Limits: balance.Limits{Cancel: true, MaxAttempts: 2, RetryAfter: true, MaxRetryAfter: 2 * time.Second,
			ConnIdle: time.Minute}, Rules: balance.Rules{InitialCapacity: 1}}
	batch, admin, workers := scriptedpeer.FreeAddress(t), scriptedpeer.FreeAddress(t), w.Listen("workers")
	w.Serve("batch", batch)
	w.batchAddress = batch
	w.Serve("admin", admin)
	w.Variables["stream"] = `HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n`
	w.Variables["started"] = scriptedpeer.Chunk(`{"state":"started"}`)
	w.Variables["done"] = scriptedpeer.Chunk(`{"state":"done","result":"fine"}`) + `0\r\n\r\n`
	w.Variables["returned"] = scriptedpeer.Chunk(`{"state":"returned"}`) + `0\r\n\r\n`
	w.executor = store.NewExecutor(record, w.Loop.Post)
	w.Loop.Call(func() {
		w.core, err = routing.New(s, 1, w.Loop, &w.Loop.Timers)
		must(t, err)
		w.destinations = protocol.NewDestinations(protocol.DestinationConfig{MaxConnections: 8, ConnectTimeout: 10 * time.Second,
			IdleTimeout: time.Minute}, w.Loop, w.core)
		pool := protocol.NewDiscovery(protocol.DiscoveryConfig{CachedList: protocol.EndpointList{Version: 1, Entries: []protocol.Endpoint{
			{Name: "s-1", Address: workers, State: "Ready", Weight: 1},
			{Name: "s-2", Address: workers, State: "Ready", Weight: 1}}}}, w.Loop, w.core, w.destinations)
		w.core.Connect(w.destinations, pool, nil)
		pool.Start()
		w.service = jobs.New(jobs.Config{Machine: "n0", Classes: map[string]int{"pruefen": 0, "buchen": 1}, Settings: s, WorkerName: w.destinations.Name,
			MaxSlots: 100, DelayTarget: jobs.DefaultDelayTarget, MaxWait: jobs.DefaultMaxWait, MaxEvents: 2000, MaxEndedJobs: maxEndedJobs},
			w.core, w.executor, w.Loop, &w.Loop.Timers)
		w.core.SetLoadObserver(w.service)
		w.service.Load(tenants, sessions, unfinished, arrays)
		front := New(w.service, w.Loop, &w.Loop.Timers, "test")
		must(t, protocol.NewServer(w.Loop, batch, 40, 1<<20, front.Serve).Start())
		must(t, protocol.NewServer(w.Loop, admin, 40, 1<<20, NewAdmin(front, w.executor, TokenHash(adminToken)).Serve).Start())
	})
	t.Cleanup(w.stopStore)
	return w
}

// stopStore closes the store, as the end of the process would.
func (w *fixture) stopStore() {
	if w.executor == nil {
		return
	}
	w.Loop.Call(w.executor.Shutdown)
	must(w.t, w.executor.Wait())
	w.executor = nil
}

func openStore(t *testing.T, file string) *store.Store {
	t.Helper()
	record, err := store.Open(context.Background(), "sqlite", file)
	must(t, err)
	return record
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// request writes a client's request.
func request(token, method, path, body string) string {
	return fmt.Sprintf(`send %s %s HTTP/1.1\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s`,
		method, path, token, len(body), body)
}

const jobsPath = "/drmaa/v2/sessions/s/jobs"

func submit(token, body string) string { return request(token, "POST", jobsPath, body) }

func (w *fixture) steps() (n uint64) {
	w.Loop.Call(func() { n = w.core.Counts().Steps })
	return n
}
