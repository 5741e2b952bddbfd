package proxy

import (
	"maps"
	"sync/atomic"

	"ospreybend/internal/dataplane/fleetview"
)

// minConnsPerWorker is the least limit of a node's connections to one worker.
const minConnsPerWorker = 2

// connLimits are the limits of this node's connections to each worker, by address. The pool reads them at each new connection.
type connLimits struct {
	byAddress atomic.Pointer[map[string]int]
}

// limit returns the limit of connections to an address, or 0 if there is none.
func (p *connLimits) limit(address string) int {
	byAddress := p.byAddress.Load()
	if byAddress == nil {
		return 0
	}
	return (*byAddress)[address]
}

// update sets the limits by a view, and returns the addresses that no worker has any more.
func (p *connLimits) update(view *fleetview.View) []string {
	next := connLimitsOf(view)
	previous := p.byAddress.Swap(&next)
	if previous == nil {
		return nil
	}
	var removed []string
	for address := range maps.Keys(*previous) {
		if _, stays := next[address]; !stays {
			removed = append(removed, address)
		}
	}
	return removed
}

// connLimitsOf returns the limit of each worker's address.
func connLimitsOf(view *fleetview.View) map[string]int {
	byAddress := map[string]int{}
	for name, workers := range view.Workers {
		limit := connLimitPerNode(view, name)
		for _, worker := range workers {
			byAddress[worker.Address] = limit
		}
	}
	return byAddress
}

// connLimitPerNode returns this node's share of the connections that a worker of a service accepts. One more share is left for nodes
// that have just started and are not in the view.
func connLimitPerNode(view *fleetview.View, name string) int {
	service := view.Services[name]
	if service == nil || service.MaxConnections <= 0 {
		return 0
	}
	return max(minConnsPerWorker, service.MaxConnections/(max(view.EdgeNodeCount, 1)+1))
}
