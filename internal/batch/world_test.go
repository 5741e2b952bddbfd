package batch

import (
	"context"
	"fmt"
	"path/filepath"
	"testing"
	"time"

	"ospreybend/balance"
	"ospreybend/internal/protocol"
	"ospreybend/internal/routing"
	"ospreybend/internal/scenario"
)

// world is a node with the batch front on a stage. The stand-in "workers" plays
// its prep workers; scenarios play the batch clients.
type world struct {
	*scenario.Stage
	t       *testing.T
	core    *routing.Core
	to      *protocol.Destinations
	service *Service
	keeper  *Keeper
	file    string
}

const adminToken = "chief"

// newWorld sets a node up on a store in a file; an empty one has the tenants
// 'anna' and 'ben', each with a session 's' and a token of its name.
func newWorld(t *testing.T, file string) *world {
	t.Helper()
	if file == "" {
		file = filepath.Join(t.TempDir(), "batch.db")
	}
	w := &world{Stage: scenario.New(t), t: t, file: file}
	ctx := context.Background()
	store := openStore(t, file)
	for _, name := range []string{"anna", "ben"} {
		must(t, store.PutTenant(ctx, Tenant{Name: name, TokenHash: hashOf(name), Quota: 2}))
		must(t, store.OpenSession(ctx, name, "s"))
	}
	tenants, err := store.Tenants(ctx)
	must(t, err)
	sessions, err := store.Sessions(ctx)
	must(t, err)
	unfinished, err := store.Unfinished(ctx)
	must(t, err)
	class := func(e balance.Effect) balance.Class {
		return balance.Class{Aim: 2 * time.Second, Stretch: 2, GiveUp: 4 * time.Second, Worth: 1, Effect: e, Kind: -1}
	}
	s := balance.Settings{Balancers: 1, Resolution: 2 * time.Millisecond, TellsStart: true,
		Classes: []balance.Class{class(balance.Safe), class(balance.Unsafe)},
		Limits: balance.Limits{Cancel: true, MaxAttempts: 2, RetryAfter: true, MaxRetryAfter: 2 * time.Second,
			ConnIdle: time.Minute}, Rules: balance.Rules{ColdFrom: 1}}
	batch, admin, workers := scenario.Free(t), scenario.Free(t), w.StandIn("workers")
	w.Serve("batch", batch)
	w.Serve("admin", admin)
	w.Words["stream"] = `HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n`
	w.Words["started"] = scenario.Chunk(`{"state":"started"}`)
	w.Words["done"] = scenario.Chunk(`{"state":"done","result":"fine"}`) + `0\r\n\r\n`
	w.Words["returned"] = scenario.Chunk(`{"state":"returned"}`) + `0\r\n\r\n`
	w.keeper = NewKeeper(store, w.Loop.Post)
	w.Loop.Call(func() {
		w.core, err = routing.New(s, 1, w.Loop, &w.Loop.Due)
		must(t, err)
		w.to = protocol.NewDestinations(protocol.DestinationConfig{Sockets: 8, ConnectTimeout: 10 * time.Second,
			ConnIdle: time.Minute}, w.Loop, w.core)
		pool := protocol.NewDiscovery(protocol.DiscoveryConfig{Known: protocol.List{Version: 1, Entries: []protocol.Listed{
			{Name: "s-1", Address: workers, State: "Ready", Weight: 1},
			{Name: "s-2", Address: workers, State: "Ready", Weight: 1}}}}, w.Loop, w.core, w.to)
		w.core.Connect(w.to, pool, nil)
		pool.Start()
		w.service = NewService(Config{Classes: map[string]int{"pruefen": 0, "buchen": 1}, Settings: s}, w.core, w.keeper,
			w.Loop, &w.Loop.Due)
		w.service.Load(tenants, sessions, unfinished)
		must(t, protocol.NewServer(w.Loop, batch, 40, 1<<20, w.service.Serve).Start())
		must(t, protocol.NewServer(w.Loop, admin, 40, 1<<20, NewAdmin(w.service, hashOf(adminToken)).Serve).Start())
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

func openStore(t *testing.T, file string) Store {
	t.Helper()
	store, err := OpenStore(context.Background(), "sqlite", file)
	must(t, err)
	return store
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// call writes a client's request.
func call(token, method, path, body string) string {
	return fmt.Sprintf(`send %s %s HTTP/1.1\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s`,
		method, path, token, len(body), body)
}

const jobsPath = "/drmaa/v2/sessions/s/jobs"

func submit(token, body string) string { return call(token, "POST", jobsPath, body) }

func (w *world) steps() (n uint64) {
	w.Loop.Call(func() { n = w.core.Counts().Steps })
	return n
}
