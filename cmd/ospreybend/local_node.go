package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"path/filepath"
	"sync"
	"time"

	"ospreybend/drmaa/client"
	"ospreybend/internal/node/nodeconfig"
	"ospreybend/internal/testkit/fakeplatform"
	"ospreybend/internal/testkit/loadgen"
)

// demoAddresses are the loopback addresses of a node for demonstrations and measurements.
type demoAddresses struct{ platform, batch, admin string }

// newDemoAddresses returns addresses at which nothing listens.
func newDemoAddresses() (addresses demoAddresses, err error) {
	for _, address := range []*string{&addresses.platform, &addresses.batch, &addresses.admin} {
		if *address, err = fakeplatform.FreeAddress(); err != nil {
			return addresses, err
		}
	}
	return addresses, nil
}

// demoConfig returns a node's configuration for demonstrations and measurements.
func demoConfig(listen, discovery string) ([]byte, error) {
	return fakeplatform.Node{
		Name: "demo", Listen: listen, Discovery: discovery, Seed: "8c1f30d27a5be964", MemoryMB: 512,
		Zones: []string{demoZone}, Kind: demoKind, Classes: []fakeplatform.Class{
			{Name: "modell-pruefen", Target: 400 * time.Millisecond, Timeout: 5 * time.Second, Value: 5, Effect: "read_like"},
			{Name: "vorschau", Target: time.Second, Timeout: 20 * time.Second, Value: 2, Effect: "read_like"},
			{Name: "auftrag-buchen", Target: 800 * time.Millisecond, Timeout: 25 * time.Second, Value: 8, Effect: "non_idempotent"},
		},
	}.Config()
}

// demoBatchConfig returns the file of the batch API that goes with it. Its store is in dir.
func demoBatchConfig(addresses demoAddresses, dir string) string {
	sum := sha256.Sum256([]byte(demoAdminToken))
	return fmt.Sprintf("enabled = true\nlisten = %q\nstore = \"sqlite\"\nsource = %q\nadmin_listen = %q\nadmin_token_sha256 = %q\n",
		addresses.batch, filepath.Join(dir, "batch.db"), addresses.admin, hex.EncodeToString(sum[:]))
}

// platformClasses returns the load of the platform's clients in measurements.
func platformClasses() []loadgen.Class {
	return []loadgen.Class{
		{Name: "modell-pruefen", Share: 0.8, Target: 400 * time.Millisecond, Deadline: 5 * time.Second},
		{Name: "auftrag-buchen", Share: 0.2, Target: 800 * time.Millisecond, Deadline: 25 * time.Second},
	}
}

// localNode is a node with its batch API among fake workers, in this process.
type localNode struct {
	fleet        *fakeplatform.Fleet
	node         *node
	batch        nodeconfig.Batch
	admin        *client.Admin
	shutdownOnce sync.Once
}

// shutdown shuts the node down, once.
func (l *localNode) shutdown() { l.shutdownOnce.Do(l.node.shutdown) }

// newLocalNode starts a node whose store is in dir.
func newLocalNode(dir string, fleet *fakeplatform.Fleet) (*localNode, error) {
	addresses, err := newDemoAddresses()
	if err != nil {
		return nil, err
	}
	text, err := demoConfig(addresses.platform, fleet.Discovery.Address())
	if err != nil {
		return nil, err
	}
	cfg, err := nodeconfig.Parse(text, func(string) string { return "" })
	if err != nil {
		return nil, err
	}
	batch, err := nodeconfig.ParseBatch(demoBatchConfig(addresses, dir))
	if err != nil {
		return nil, err
	}
	if err := cfg.ReserveBatch(batch); err != nil {
		return nil, err
	}
	n, err := start(cfg)
	if err != nil {
		return nil, err
	}
	if n.batch, err = n.startBatch(batch); err != nil {
		return nil, errors.Join(err, n.loop.Stop())
	}
	local := &localNode{fleet: fleet, node: n, batch: batch}
	if local.admin, err = client.NewAdmin("http://"+batch.AdminListen, demoAdminToken); err != nil {
		return nil, err
	}
	return local, nil
}

// tenant creates a tenant and a session of it.
func (l *localNode) tenant(ctx context.Context, name string, quota int) (*client.Session, error) {
	return newTenantSession(ctx, l.admin, "http://"+l.batch.Listen, name, quota)
}

// newTenantSession creates a tenant with a quota of unfinished jobs, and a session of it at the batch API.
func newTenantSession(ctx context.Context, admin *client.Admin, batchURL, name string, quota int) (*client.Session, error) {
	tenant, err := admin.Create(ctx, name, quota)
	if err != nil {
		return nil, err
	}
	batch, err := client.New(batchURL, tenant.Token)
	if err != nil {
		return nil, err
	}
	return batch.CreateSession(ctx, "default")
}

// ready waits until the node knows a worker that is ready.
func (l *localNode) ready(ctx context.Context) error {
	return fakeplatform.WaitUntil(ctx, demoReadyTimeout, func() bool {
		ready := false
		l.node.loop.Call(func() { ready = l.node.core.AnyReady() })
		return ready
	})
}
