package proxy

import (
	"maps"
	"sync/atomic"

	"go.uber.org/zap"

	"ospreybend/internal/dataplane/fleetview"
)

// leastPlaces is the least number of connections that a node may have to one worker.
const leastPlaces = 2

// places tells how many connections this node may have to each worker's address.
type places struct {
	byAddress atomic.Pointer[map[string]int]
}

// of returns the most connections to an address; 0: no bound is known.
func (p *places) of(address string) int {
	byAddress := p.byAddress.Load()
	if byAddress == nil {
		return 0
	}
	return (*byAddress)[address]
}

// set takes the addresses of a view, and returns those that no worker of it has any more.
func (p *places) set(view *fleetview.View) []string {
	next := placesOf(view)
	previous := p.byAddress.Swap(&next)
	if previous == nil {
		return nil
	}
	var gone []string
	for address := range maps.Keys(*previous) {
		if _, stays := next[address]; !stays {
			gone = append(gone, address)
		}
	}
	return gone
}

func placesOf(view *fleetview.View) map[string]int {
	byAddress := map[string]int{}
	for name, workers := range view.Workers {
		share := shareOfPlaces(view, name)
		for _, worker := range workers {
			byAddress[worker.Address] = share
		}
	}
	return byAddress
}

// shareOfPlaces is this node's part of the connections that a worker of a service accepts. One part
// is left free for nodes that are not known yet.
func shareOfPlaces(view *fleetview.View, name string) int {
	service := view.Services[name]
	if service == nil || service.MaxConnections <= 0 {
		return 0
	}
	return max(leastPlaces, service.MaxConnections/(max(view.Nodes, 1)+1))
}

// publish puts a view in force. Idle connections to workers that are not in it are closed.
func (p *proxy) publish(view *fleetview.View) {
	first := p.dispatcher.View() == nil
	gone := p.places.set(view)
	p.dispatcher.SetView(view)
	for _, address := range gone {
		p.pool.Forget(address)
	}
	if first {
		p.log.Info("first view", zap.Uint64("generation", view.Generation))
	}
}
