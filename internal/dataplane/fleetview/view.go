// Package fleetview is a proxy's view of the fleet: the configuration in force and the workers of each service, built from the
// snapshots and changes of the agent's feed.
//
// A Builder is the state of one goroutine; the View that it returns is immutable and is read by all requests without a lock. A request
// is handled by one view from its route to its last byte. What a view shares with the view before it is not copied: a change of one
// worker costs the list of its service alone.
//
// The package only mirrors what the control plane has decided. It does not validate configuration (see package configuration) and does
// not choose workers (see package selection).
package fleetview

import (
	"ospreybend/internal/controlplane/configuration"
	"ospreybend/internal/controlplane/registry"
)

// Worker is one instance that requests may be sent to. It is immutable: a changed record is a new Worker, so that pointers can be
// compared.
type Worker struct {
	registry.Instance
}

// View is the immutable state that one request is handled by.
type View struct {
	Generation    uint64 // of the configuration; 0 before the first one
	Services      map[string]*configuration.Service
	Limits        configuration.Limits
	Workers       map[string][]*Worker // ready ones, by service, in the order of their IDs
	EdgeNodeCount int                  // edge nodes that run, this one included; at least 1
	EdgeNodes     []*Worker            // in the order of their IDs

	routes routeTable
}
