package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"time"

	"ospreybend/balance"
	"ospreybend/internal/node/nodeconfig"
	"ospreybend/internal/node/zones/agent"
	"ospreybend/internal/node/zones/commands"
	"ospreybend/internal/node/zones/failover"
	"ospreybend/internal/node/zones/follower"
	"ospreybend/internal/node/zones/replica"
	"ospreybend/internal/node/zones/server"
	"ospreybend/internal/node/zones/transport"
)

const (
	overrideTimeout    = 3 * time.Second
	readyCheckInterval = 5 * time.Millisecond
	readyCheckTimeout  = time.Second
)

// voterCmd serves as one of the fleet's voters.
type voterCmd struct{}

// Run votes until the process is told to leave.
func (voterCmd) Run(caught signals) error {
	f, err := nodeconfig.LoadFleet(os.Getenv)
	if err != nil {
		return err
	}
	if !f.Enabled || f.Voter.ID == 0 {
		return errors.New("fleet: this process is told of no voter; docs/FLEET.md says what its file has to hold")
	}
	node, err := nodeconfig.Load(os.Getenv)
	if err != nil {
		return err
	}
	c := server.Config{Fleet: f.Fleet, ID: f.Voter.ID, Listen: f.Voter.Listen, StorePath: f.Voter.Store, Voters: map[uint64]string{},
		Classes: classesOf(node), Settings: replica.DefaultSettings(), DisabledCheck: os.Getenv("OSPREYBEND_WITHOUT")}
	for _, v := range f.Voters {
		c.Voters[v.ID] = v.Address
	}
	if c.DisabledCheck == "majority" {
		c.Settings.Failover.Majority, c.Settings.Failover.MinObserverZones = 0, 1
	}
	if !f.Voter.Joins {
		c.InitialVoters = f.VoterIDs()
	}
	s, err := server.Open(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		<-caught.shutdown
		cancel()
	}()
	go func() {
		client := transport.NewClient()
		defer client.Close()
		signalReady(ctx, func() bool { _, err := client.Status(ctx, s.Address()); return err == nil })
	}()
	return s.Run(ctx)
}

// classesOf tells the fleet's decisions of the node's classes.
func classesOf(n *nodeconfig.Node) (out []failover.Class) {
	for i, name := range n.ClassNames {
		c := n.Settings.Classes[i]
		out = append(out, failover.Class{Name: name, Value: c.Value, NonIdempotent: c.Effect == balance.NonIdempotent})
	}
	return out
}

// signalReady writes a line to the descriptor that OSPREYBEND_READY_FD names once all that
// the process listens on answers, and closes it.
func signalReady(ctx context.Context, answers func() bool) {
	text := os.Getenv("OSPREYBEND_READY_FD")
	if text == "" {
		return
	}
	fd, err := strconv.Atoi(text)
	if err != nil || fd < 3 {
		slog.Error("OSPREYBEND_READY_FD names no descriptor above 2", "value", text)
		return
	}
	f := os.NewFile(uintptr(fd), "ready")
	defer f.Close()
	for !answers() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(readyCheckInterval):
		}
	}
	if _, err := f.WriteString("ready\n"); err != nil {
		slog.Warn("nobody hears that the process is ready", "fault", err)
	}
}

// answersHealthCheck tells whether something that speaks HTTP answers at an address.
func answersHealthCheck(client *http.Client, address string) bool {
	r, err := client.Get("http://" + address + "/healthz")
	if err != nil {
		return false
	}
	return r.Body.Close() == nil
}

// signalNodeReady signals the readiness of a node: its clients' address says that it serves, and all
// others answer.
func (n *node) signalNodeReady(ctx context.Context) {
	client := &http.Client{Timeout: readyCheckTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	others := []string{}
	if n.cfg.Admin != "" {
		others = append(others, n.cfg.Admin)
	}
	if n.batch != nil {
		others = append(others, n.batch.cfg.Listen)
		if at := n.batch.cfg.AdminListen; at != "" {
			others = append(others, at)
		}
	}
	signalReady(ctx, func() bool {
		serves := false
		n.loop.Call(func() { serves = n.front.Accepting() && n.core.AnyReady() })
		if !serves || n.inherited == nil && !answersHealthCheck(client, n.cfg.Listen) {
			return false
		}
		for _, at := range others {
			if !answersHealthCheck(client, at) {
				return false
			}
		}
		return true
	})
}

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
