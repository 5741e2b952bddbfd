package proxy

import (
	"maps"
	"sync/atomic"

	"ospreybend/internal/dataplane/fleetview"
)

// minConnsPerWorker is the least number of connections that a node may have to one worker.
const minConnsPerWorker = 2

// connLimits tells how many connections this node may have to each worker's address.
type connLimits struct {
	byAddress atomic.Pointer[map[string]int]
}

// limit returns the most connections to an address; 0: no bound is known.
func (p *connLimits) limit(address string) int {
	byAddress := p.byAddress.Load()
	if byAddress == nil {
		return 0
	}
	return (*byAddress)[address]
}

// update takes the addresses of a view, and returns those that no worker of it has any more.
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

// connLimitPerNode is this node's part of the connections that a worker of a service accepts. One part
// is left free for nodes that are not known yet.
func connLimitPerNode(view *fleetview.View, name string) int {
	service := view.Services[name]
	if service == nil || service.MaxConnections <= 0 {
		return 0
	}
	return max(minConnsPerWorker, service.MaxConnections/(max(view.EdgeNodeCount, 1)+1))
}
