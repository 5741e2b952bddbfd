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
)

// demoConfig is a node's configuration for demonstrations and measurements.
func demoConfig(listen, discovery string) ([]byte, error) {
	return fakeplatform.Node{Name: "demo", Listen: listen, Discovery: discovery, Seed: "8c1f30d27a5be964", MemoryMB: 512,
		Zones: []string{demoZone}, Kind: demoKind, Grades: []fakeplatform.Grade{
			{Name: "modell-pruefen", Target: 400 * time.Millisecond, GiveUp: 5 * time.Second, Points: 5, Repeat: "read_like"},
			{Name: "vorschau", Target: time.Second, GiveUp: 20 * time.Second, Points: 2, Repeat: "read_like"},
			{Name: "auftrag-buchen", Target: 800 * time.Millisecond, GiveUp: 25 * time.Second, Points: 8, Repeat: "non_idempotent"}}}.Config()
}

// localNode is a node with a batch front, among stand-ins, in this process.
type localNode struct {
	fleet        *fakeplatform.Fleet
	node         *node
	batch        nodeconfig.Batch
	admin        *client.Admin
	shutdownOnce sync.Once
}

// shutdown has the node leave, once.
func (r *localNode) shutdown() { r.shutdownOnce.Do(r.node.shutdown) }

// newLocalNode starts one. Its store is in dir.
func newLocalNode(dir string, fleet *fakeplatform.Fleet, change func(*nodeconfig.Batch)) (*localNode, error) {
	var at [3]string
	for i := range at {
		var err error
		if at[i], err = fakeplatform.FreeAddress(); err != nil {
			return nil, err
		}
	}
	text, err := demoConfig(at[0], fleet.Discovery.Address())
	if err != nil {
		return nil, err
	}
	cfg, err := nodeconfig.Parse(text, func(string) string { return "" })
	if err != nil {
		return nil, err
	}
	sum := sha256.Sum256([]byte(demoAdminToken))
	b, err := nodeconfig.ParseBatch(fmt.Sprintf("enabled = true\nlisten = %q\nstore = \"sqlite\"\nsource = %q\nadmin_listen = %q\nadmin_token_sha256 = %q\n",
		at[1], filepath.Join(dir, "batch.db"), at[2], hex.EncodeToString(sum[:])))
	if err != nil {
		return nil, err
	}
	if change != nil {
		change(&b)
	}
	if err := cfg.ReserveBatch(b); err != nil {
		return nil, err
	}
	n, err := start(cfg)
	if err != nil {
		return nil, err
	}
	if n.batch, err = n.startBatch(b); err != nil {
		return nil, errors.Join(err, n.loop.Stop())
	}
	r := &localNode{fleet: fleet, node: n, batch: b}
	if r.admin, err = client.NewAdmin("http://"+b.AdminListen, demoAdminToken); err != nil {
		return nil, err
	}
	return r, nil
}

// tenant makes a tenant with a session.
func (r *localNode) tenant(ctx context.Context, name string, quota int) (*client.Client, *client.Session, error) {
	t, err := r.admin.Create(ctx, name, quota)
	if err != nil {
		return nil, nil, err
	}
	c, err := client.New("http://"+r.batch.Listen, t.Token)
	if err != nil {
		return nil, nil, err
	}
	s, err := c.CreateSession(ctx, "default")
	return c, s, err
}

// ready waits until the node knows its workers.
func (r *localNode) ready(ctx context.Context) error {
	return fakeplatform.Until(ctx, demoReadyTimeout, func() bool {
		able := false
		r.node.loop.Call(func() { able = r.node.core.AnyReady() })
		return able
	})
}
