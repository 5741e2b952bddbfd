package main

import (
	"context"
	"errors"
	"os"

	"ospreybend/balance"
	"ospreybend/internal/node/nodeconfig"
	"ospreybend/internal/node/zones/failover"
	"ospreybend/internal/node/zones/replica"
	"ospreybend/internal/node/zones/server"
	"ospreybend/internal/node/zones/transport"
)

// withoutCheckEnv names the variable by which a trial disables one check of the fleet's protocol.
const withoutCheckEnv = "OSPREYBEND_WITHOUT"

// errNoVoter is returned when the fleet's file does not describe a voter of this process.
var errNoVoter = errors.New("fleet: this process is told of no voter; docs/FLEET.md says what its file has to hold")

// checkMajority is the name of the check that a zone's failure is reported by a majority of its observers.
const checkMajority = "majority"

// voterCmd serves as one of the fleet's voters.
type voterCmd struct{}

// Run serves until the process is signalled to shut down.
func (voterCmd) Run(caught signals) error {
	config, err := loadVoterConfig(os.Getenv)
	if err != nil {
		return err
	}
	voter, err := server.Open(config)
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
		signalReady(ctx, func() bool { _, err := client.Status(ctx, voter.Address()); return err == nil })
	}()
	return voter.Run(ctx)
}

// loadVoterConfig reads the fleet's file and the node's, whose classes the failover decisions need.
func loadVoterConfig(getenv func(string) string) (server.Config, error) {
	fleet, err := nodeconfig.LoadFleet(getenv)
	if err != nil {
		return server.Config{}, err
	}
	if !fleet.Enabled || fleet.Voter.ID == 0 {
		return server.Config{}, errNoVoter
	}
	node, err := nodeconfig.Load(getenv)
	if err != nil {
		return server.Config{}, err
	}
	config := server.Config{
		Fleet: fleet.Name, ID: fleet.Voter.ID, Listen: fleet.Voter.Listen, StorePath: fleet.Voter.Store,
		Voters: map[uint64]string{}, Classes: failoverClasses(node), Settings: replica.DefaultSettings(),
		DisabledCheck: getenv(withoutCheckEnv),
	}
	for _, voter := range fleet.Voters {
		config.Voters[voter.ID] = voter.Address
	}
	if config.DisabledCheck == checkMajority {
		config.Settings.Failover.Majority, config.Settings.Failover.MinObserverZones = 0, 1
	}
	if !fleet.Voter.Joins {
		config.InitialVoters = fleet.VoterIDs()
	}
	return config, nil
}

// failoverClasses returns what the failover decisions need to know of the node's request classes.
func failoverClasses(node *nodeconfig.Node) []failover.Class {
	var classes []failover.Class
	for i, name := range node.ClassNames {
		settings := node.Settings.Classes[i]
		classes = append(classes, failover.Class{Name: name, Value: settings.Value, NonIdempotent: settings.Effect == balance.NonIdempotent})
	}
	return classes
}
