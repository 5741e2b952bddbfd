// Package fleetview builds a proxy's view of the fleet, the configuration in force and the workers of each service, from the snapshots
// and changes of the agent's feed.
//
// A Builder belongs to one goroutine. The View that it returns is immutable, so that all requests read it without a lock. A request
// uses the same view from its routing to the last byte of its response. A new view shares unchanged parts with the previous one: a
// change of one worker copies only the list of that worker's service.
//
// The package only mirrors what the control plane has decided. It does not validate the configuration (see package configuration) and
// does not choose workers (see package selection).
package fleetview

import (
	"ospreybend/internal/controlplane/configuration"
	"ospreybend/internal/controlplane/registry"
)

// Worker is an instance of a service. It is immutable: when the record of an instance changes, the instance gets a new Worker, so that
// comparing pointers shows whether it has changed.
type Worker struct {
	registry.Instance
}

// View is an immutable snapshot of the fleet.
type View struct {
	Generation    uint64 // generation of the configuration; 0 before the first one
	Services      map[string]*configuration.Service
	Limits        configuration.Limits
	Workers       map[string][]*Worker // ready workers by service, sorted by ID
	EdgeNodeCount int                  // ready edge nodes including this one; at least 1
	EdgeNodes     []*Worker            // ready edge nodes, sorted by ID

	routes routeTable
}
