// Package fleetview is a proxy's view of the fleet: the configuration in force and the workers of each
// service, built from the feed's snapshots and changes. A View never changes once it is published.
package fleetview

import (
	"ospreybend/internal/controlplane/configuration"
	"ospreybend/internal/controlplane/registry"
)

// Worker is one instance that may be sent to. It never changes; a new record makes a new Worker.
type Worker struct {
	registry.Instance
}

// View is the state that one request is handled by, from its route to its last byte.
type View struct {
	Generation    uint64 // of the configuration; 0: none has come
	Services      map[string]*configuration.Service
	Limits        configuration.Limits
	Workers       map[string][]*Worker // by service, in the order of their IDs, draining ones left out
	EdgeNodeCount int                  // edge nodes that are known to run, this one included; at least 1
	EdgeNodes     []*Worker            // those nodes

	routes routeTable
}
