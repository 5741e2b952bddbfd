package main

import (
	"context"
	"errors"
	"os"
	"time"

	"ospreybend/balance"
	"ospreybend/internal/node/nodeconfig"
	"ospreybend/internal/node/zones/failover"
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
