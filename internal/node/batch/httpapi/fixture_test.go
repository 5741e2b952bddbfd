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

// world is a node with the batch front on a stage. The stand-in "workers" plays
// its prep workers; scenarios play the batch clients.
type world struct {
	*scriptedpeer.Stage
	t       *testing.T
	core    *routing.Core
	to      *protocol.Destinations
	service *jobs.Manager
	keeper  *store.Keeper
	file    string
	batchAt string
}

const adminToken = "chief"

// newWorld sets a node up on a store in a file; an empty one has the tenants
// 'anna' and 'ben', each with a session 's' and a token of its name.
func newWorld(t *testing.T, file string) *world { return worldOf(t, file, 2, jobs.DefaultKept) }

func worldOf(t *testing.T, file string, quota, kept int) *world {
	t.Helper()
	if file == "" {
		file = filepath.Join(t.TempDir(), "batch.db")
	}
	w := &world{Stage: scriptedpeer.New(t), t: t, file: file}
	ctx := context.Background()
	record := openStore(t, file)
	for _, name := range []string{"anna", "ben"} {
		must(t, record.PutTenant(ctx, jobs.Tenant{Name: name, TokenHash: HashOf(name), Quota: quota}))
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
	batch, admin, workers := scriptedpeer.Free(t), scriptedpeer.Free(t), w.StandIn("workers")
	w.Serve("batch", batch)
	w.batchAt = batch
	w.Serve("admin", admin)
	w.Words["stream"] = `HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n`
	w.Words["started"] = scriptedpeer.Chunk(`{"state":"started"}`)
	w.Words["done"] = scriptedpeer.Chunk(`{"state":"done","result":"fine"}`) + `0\r\n\r\n`
	w.Words["returned"] = scriptedpeer.Chunk(`{"state":"returned"}`) + `0\r\n\r\n`
	w.keeper = store.NewKeeper(record, w.Loop.Post)
	w.Loop.Call(func() {
		w.core, err = routing.New(s, 1, w.Loop, &w.Loop.Timers)
		must(t, err)
		w.to = protocol.NewDestinations(protocol.DestinationConfig{MaxConnections: 8, ConnectTimeout: 10 * time.Second,
			IdleTimeout: time.Minute}, w.Loop, w.core)
		pool := protocol.NewDiscovery(protocol.DiscoveryConfig{CachedList: protocol.EndpointList{Version: 1, Entries: []protocol.Endpoint{
			{Name: "s-1", Address: workers, State: "Ready", Weight: 1},
			{Name: "s-2", Address: workers, State: "Ready", Weight: 1}}}}, w.Loop, w.core, w.to)
		w.core.Connect(w.to, pool, nil)
		pool.Start()
		w.service = jobs.New(jobs.Config{Machine: "n0", Classes: map[string]int{"pruefen": 0, "buchen": 1}, Settings: s, Name: w.to.Name,
			MostSlots: 100, Target: jobs.DefaultTarget, LongestWait: jobs.DefaultLongestWait, Events: 2000, Kept: kept},
			w.core, w.keeper, w.Loop, &w.Loop.Timers)
		w.core.SetLoadObserver(w.service)
		w.service.Load(tenants, sessions, unfinished, arrays)
		front := New(w.service, w.Loop, &w.Loop.Timers, "test")
		must(t, protocol.NewServer(w.Loop, batch, 40, 1<<20, front.Serve).Start())
		must(t, protocol.NewServer(w.Loop, admin, 40, 1<<20, NewAdmin(front, w.keeper, HashOf(adminToken)).Serve).Start())
	})
	t.Cleanup(w.die)
	return w
}

// die stops the store's side, as the end of the process would.
func (w *world) die() {
	if w.keeper == nil {
		return
	}
	w.Loop.Call(w.keeper.Shut)
	must(w.t, w.keeper.Wait())
	w.keeper = nil
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

func (w *world) steps() (n uint64) {
	w.Loop.Call(func() { n = w.core.Counts().Steps })
	return n
}
