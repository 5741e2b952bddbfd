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

// fixture is a node with the batch API. Scripts play the batch clients, and the prep workers as
// connections accepted by the scripted peer "workers".
type fixture struct {
	*scriptedpeer.Bench
	t            *testing.T
	core         *routing.Core
	destinations *protocol.Destinations
	manager      *jobs.Manager
	executor     *store.Executor
	file         string
	batchAddress string
}

// adminToken is the token of the administration API.
const adminToken = "chief"

// newFixture starts a node with its store in a file, or in a new one if file is empty. The store has the
// tenants 'anna' and 'ben', each with a session 's' and its name as the token.
func newFixture(t *testing.T, file string) *fixture {
	return newFixtureWith(t, file, 2, jobs.DefaultMaxEndedJobs)
}

// newFixtureWith is newFixture with a quota for each tenant and a limit on the ended jobs held in memory.
func newFixtureWith(t *testing.T, file string, quota, maxEndedJobs int) *fixture {
	t.Helper()
	if file == "" {
		file = filepath.Join(t.TempDir(), "batch.db")
	}
	f := &fixture{Bench: scriptedpeer.New(t), t: t, file: file}
	ctx := context.Background()
	db := openStore(t, file)
	for _, name := range []string{"anna", "ben"} {
		must(t, db.PutTenant(ctx, jobs.Tenant{Name: name, TokenHash: TokenHash(name), Quota: quota}))
		must(t, db.PutSession(ctx, jobs.SessionRecord{Tenant: name, Name: "s", State: jobs.SessionOpen}))
	}
	tenants, err := db.Tenants(ctx)
	must(t, err)
	sessions, err := db.Sessions(ctx)
	must(t, err)
	unfinished, arrays, err := db.Unfinished(ctx)
	must(t, err)
	classWith := func(e balance.Effect) balance.Class {
		return balance.Class{LatencyTarget: 2 * time.Second, TargetStretch: 2, Timeout: 4 * time.Second, Value: 1, Effect: e, Kind: -1}
	}
	settings := balance.Settings{Balancers: 1, Resolution: 2 * time.Millisecond, ReportsStart: true,
		Classes: []balance.Class{classWith(balance.Idempotent), classWith(balance.NonIdempotent)},
		Limits: balance.Limits{Cancel: true, MaxAttempts: 2, RetryAfter: true, MaxRetryAfter: 2 * time.Second,
			ConnIdle: time.Minute}, Rules: balance.Rules{InitialCapacity: 1}}
	batch, admin, workers := scriptedpeer.FreeAddress(t), scriptedpeer.FreeAddress(t), f.Listen("workers")
	f.Serve("batch", batch)
	f.batchAddress = batch
	f.Serve("admin", admin)
	f.Variables["stream"] = `HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n`
	f.Variables["started"] = scriptedpeer.Chunk(`{"state":"started"}`)
	f.Variables["done"] = scriptedpeer.Chunk(`{"state":"done","result":"fine"}`) + `0\r\n\r\n`
	f.Variables["returned"] = scriptedpeer.Chunk(`{"state":"returned"}`) + `0\r\n\r\n`
	f.executor = store.NewExecutor(db, f.Loop.Post)
	f.Loop.Call(func() {
		f.core, err = routing.New(settings, 1, f.Loop, &f.Loop.Timers)
		must(t, err)
		f.destinations = protocol.NewDestinations(protocol.DestinationConfig{MaxConnections: 8, ConnectTimeout: 10 * time.Second,
			IdleTimeout: time.Minute}, f.Loop, f.core)
		pool := protocol.NewDiscovery(protocol.DiscoveryConfig{CachedList: protocol.EndpointList{Version: 1, Entries: []protocol.Endpoint{
			{Name: "s-1", Address: workers, State: "Ready", Weight: 1},
			{Name: "s-2", Address: workers, State: "Ready", Weight: 1}}}}, f.Loop, f.core, f.destinations)
		f.core.Connect(f.destinations, pool, nil)
		pool.Start()
		f.manager = jobs.New(jobs.Config{Machine: "n0", Classes: map[string]int{"pruefen": 0, "buchen": 1}, Settings: settings, WorkerName: f.destinations.Name,
			MaxSlots: 100, DelayTarget: jobs.DefaultDelayTarget, MaxWait: jobs.DefaultMaxWait, MaxEvents: 2000, MaxEndedJobs: maxEndedJobs},
			f.core, f.executor, f.Loop, &f.Loop.Timers)
		f.core.SetLoadObserver(f.manager)
		f.manager.Load(tenants, sessions, unfinished, arrays)
		handler := NewHandler(f.manager, f.Loop, &f.Loop.Timers, "test")
		must(t, protocol.NewServer(f.Loop, batch, 40, 1<<20, handler.Serve).Start())
		must(t, protocol.NewServer(f.Loop, admin, 40, 1<<20, NewAdminHandler(handler, f.executor, TokenHash(adminToken)).Serve).Start())
	})
	t.Cleanup(f.stopStore)
	return f
}

// stopStore closes the store, as a shutdown of the process does.
func (f *fixture) stopStore() {
	if f.executor == nil {
		return
	}
	f.Loop.Call(f.executor.Shutdown)
	must(f.t, f.executor.Wait())
	f.executor = nil
}

// openStore opens the store in a file.
func openStore(t *testing.T, file string) *store.Store {
	t.Helper()
	opened, err := store.Open(context.Background(), "sqlite", file)
	must(t, err)
	return opened
}

// must ends the test if err is not nil.
func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// request returns the script step that sends an HTTP request.
func request(token, method, path, body string) string {
	return fmt.Sprintf(`send %s %s HTTP/1.1\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s`,
		method, path, token, len(body), body)
}

const jobsPath = "/drmaa/v2/sessions/s/jobs"

// submit returns the script step that submits a job in session s.
func submit(token, body string) string { return request(token, "POST", jobsPath, body) }

// sentSteps returns the number of steps, the attempts at running jobs, that the core has sent.
func (f *fixture) sentSteps() (n uint64) {
	f.Loop.Call(func() { n = f.core.Counts().Steps })
	return n
}
