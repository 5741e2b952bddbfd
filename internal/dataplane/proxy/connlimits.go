package proxy

import (
	"maps"
	"sync/atomic"

	"ospreybend/internal/dataplane/fleetview"
)

// minConnsPerWorker is the smallest limit of this node's connections to a worker of a service with a limit.
const minConnsPerWorker = 2

// connLimits holds the limit of this node's connections to each worker. The connection pool reads it before it opens a connection.
type connLimits struct {
	byAddress atomic.Pointer[map[string]int]
}

// limit returns the limit of connections to an address, or 0 if they are not limited.
func (l *connLimits) limit(address string) int {
	byAddress := l.byAddress.Load()
	if byAddress == nil {
		return 0
	}
	return (*byAddress)[address]
}

// update computes the limits from a view, and returns the addresses of the previous view that no worker has any more.
func (l *connLimits) update(view *fleetview.View) []string {
	next := connLimitsByAddress(view)
	previous := l.byAddress.Swap(&next)
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

// connLimitsByAddress returns the limit for the address of each worker in a view.
func connLimitsByAddress(view *fleetview.View) map[string]int {
	byAddress := map[string]int{}
	for serviceName, workers := range view.Workers {
		limit := connLimitPerNode(view, serviceName)
		for _, worker := range workers {
			byAddress[worker.Address] = limit
		}
	}
	return byAddress
}

// connLimitPerNode returns this node's share of the connections that a worker of a service accepts, or 0 if the service has no limit.
// One more share is left free for nodes that have just started and are not in the view yet.
func connLimitPerNode(view *fleetview.View, serviceName string) int {
	service := view.Services[serviceName]
	if service == nil || service.MaxConnections <= 0 {
		return 0
	}
	return max(minConnsPerWorker, service.MaxConnections/(max(view.EdgeNodeCount, 1)+1))
}
