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

// overrideTimeout limits how long the voters are asked to commit a manual override.
const overrideTimeout = 3 * time.Second

// joinFleet starts the agent that reports what the node observes to the voters and applies the fleet's commands.
func (n *node) joinFleet(fleet nodeconfig.Fleet) {
	cfg := n.cfg
	n.voterClient = transport.NewClient()
	config := agent.Config{
		Fleet: fleet.Name, Name: cfg.Name, Zone: fleet.Zone, Zones: cfg.Zones,
		Classes: cfg.Settings.Classes, ClassNames: cfg.ClassNames, ReportsStart: cfg.Settings.ReportsStart,
		Settings: follower.DefaultSettings(), Timers: &n.loop.Timers,
		Incarnation: uint64(time.Now().UnixMicro()), Rand: rand.New(rand.NewPCG(cfg.Seed, rand.Uint64())),
		ZoneOf: n.discovery.ZoneOf, DisabledCheck: os.Getenv(withoutCheckEnv),
	}
	for _, voter := range fleet.Voters {
		config.Voters = append(config.Voters, agent.Voter{Zone: voter.Zone, Address: voter.Address})
	}
	n.voters = fleet.Voters
	n.agent = agent.New(config, n.loop, n.core, n.voterClient)
	n.core.SetStepObserver(n.agent)
	n.core.SetAdmission(n.agent)
	n.agent.Start()
	slog.Info("joined the fleet", "name", fleet.Name, "zone", fleet.Zone, "voters", len(fleet.Voters))
}

// overrideZone sends an operator's override of a zone to one voter after the other until one reports it committed. done
// is called on the loop.
func (n *node) overrideZone(zone, action, reason string, duration time.Duration, done func(error)) {
	manual := commands.Override{Zone: zone, Action: action, Reason: reason, Until: time.Now().Add(duration).UnixMicro()}
	voters := n.voters
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), overrideTimeout)
		defer cancel()
		var errs []error
		for _, voter := range voters {
			err := n.voterClient.ApplyOverride(ctx, voter.Address, manual)
			if err == nil {
				n.loop.Post(func() { done(nil) })
				return
			}
			errs = append(errs, fmt.Errorf("voter %d: %w", voter.ID, err))
		}
		n.loop.Post(func() { done(errors.Join(errs...)) })
	}()
}

// fleetStatus returns the text of the fleet's state that the administration server shows.
func (n *node) fleetStatus() []byte {
	state := n.agent.Follower()
	text := fmt.Appendf(nil, "epoch %d, led %v, older orders refused %d, leases gained or lost %d\n", state.Epoch(),
		state.HasLease(n.loop.Now()), state.StaleResponses(), n.agent.LeaseChanges())
	shares := state.Shares(n.loop.Now(), n.cfg.Zones)
	for _, name := range n.cfg.Zones {
		zone := state.Table().Zone(name)
		text = fmt.Appendf(text, "zone %s: %v, share here %.3f, failures %d, reason %q\n", name, zone.Phase, shares[name], zone.Failures, zone.Reason)
	}
	for _, name := range n.cfg.Zones {
		if manual, ok := state.Table().Overrides[name]; ok {
			text = fmt.Appendf(text, "by hand: %s %s until %s, %q\n", manual.Action, name, time.UnixMicro(manual.Until).UTC().Format(time.RFC3339), manual.Reason)
		}
	}
	return text
}
