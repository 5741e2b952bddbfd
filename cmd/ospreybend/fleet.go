package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"time"

	"ospreybend/internal/node/nodeconfig"
	"ospreybend/internal/node/zones/agent"
	"ospreybend/internal/node/zones/commands"
	"ospreybend/internal/node/zones/follower"
	"ospreybend/internal/node/zones/transport"
)

// joinFleet has the node tell the voters what it sees, and go by the fleet's orders.
func (n *node) joinFleet(f nodeconfig.Fleet) {
	cfg := n.cfg
	n.voterClient = transport.NewClient()
	a := agent.Config{Fleet: f.Fleet, Name: cfg.Name, Zone: f.Zone, Zones: cfg.Zones, Classes: cfg.Settings.Classes,
		ClassNames: cfg.ClassNames, ReportsStart: cfg.Settings.ReportsStart, Settings: follower.DefaultSettings(), Timers: &n.loop.Timers,
		Incarnation: uint64(time.Now().UnixMicro()), Rand: rand.New(rand.NewPCG(cfg.Seed, rand.Uint64())), ZoneOf: n.discovery.ZoneOf}
	for _, v := range f.Voters {
		a.Voters = append(a.Voters, agent.Voter{Zone: v.Zone, Address: v.Address})
	}
	n.voters = f.Voters
	a.DisabledCheck = os.Getenv("OSPREYBEND_WITHOUT")
	n.agent = agent.New(a, n.loop, n.core, n.voterClient)
	n.core.SetStepObserver(n.agent)
	n.core.SetAdmission(n.agent)
	n.agent.Start()
	slog.Info("fleet", "name", f.Fleet, "zone", f.Zone, "voters", len(f.Voters))
}

// overrideZone puts a person's word on a zone to the voters, one after the other until one has it
// agreed on. done is called on the loop.
func (n *node) overrideZone(zone, do, reason string, span time.Duration, done func(error)) {
	w := commands.Override{Zone: zone, Action: do, Reason: reason, Until: time.Now().Add(span).UnixMicro()}
	voters := n.voters
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), overrideTimeout)
		defer cancel()
		var faults []error
		for _, v := range voters {
			err := n.voterClient.ApplyOverride(ctx, v.Address, w)
			if err == nil {
				n.loop.Post(func() { done(nil) })
				return
			}
			faults = append(faults, fmt.Errorf("voter %d: %w", v.ID, err))
		}
		n.loop.Post(func() { done(errors.Join(faults...)) })
	}()
}

// fleetStatus is what the operators' address tells of the fleet.
func (n *node) fleetStatus() []byte {
	f := n.agent.Follower()
	text := fmt.Appendf(nil, "epoch %d, led %v, older orders refused %d\n", f.Epoch(), f.HasLease(n.loop.Now()), f.StaleResponses())
	shares := f.Shares(n.loop.Now(), n.cfg.Zones)
	for _, name := range n.cfg.Zones {
		z := f.Table().Zone(name)
		text = fmt.Appendf(text, "zone %s: %v, share here %.3f, failures %d, reason %q\n", name, z.Phase, shares[name], z.Failures, z.Reason)
	}
	for _, name := range n.cfg.Zones {
		if w, ok := f.Table().Overrides[name]; ok {
			text = fmt.Appendf(text, "by hand: %s %s until %s, %q\n", w.Action, name, time.UnixMicro(w.Until).UTC().Format(time.RFC3339), w.Reason)
		}
	}
	return text
}
