package proxy

import (
	"time"

	"go.uber.org/zap"

	"ospreybend/coord/feed"
	"ospreybend/coord/shards"
	"ospreybend/internal/controlplane/feedtransport"
	"ospreybend/internal/dataplane/fleetview"
)

// viewPublisher builds views from the feed's snapshots and changes, and publishes them. Only the goroutine of the feed's client calls
// its methods.
type viewPublisher struct {
	builder      *fleetview.Builder
	publish      func(*fleetview.View)
	confirmation *configConfirmation
	log          *zap.Logger
	dirty        bool // the latest view has not been published yet
	synced       bool // a status has been received, and so every shard up to the index that the agent had
}

// The feed's client calls BatchDone only if a type assertion to BatchHandler succeeds.
var _ feedtransport.BatchHandler = (*viewPublisher)(nil)

func newViewPublisher(publish func(*fleetview.View), confirmation *configConfirmation, log *zap.Logger) *viewPublisher {
	return &viewPublisher{builder: fleetview.NewBuilder(), publish: publish, confirmation: confirmation, log: log}
}

// Snapshot implements feedtransport.Handler.
func (p *viewPublisher) Snapshot(shard shards.ID, snapshot feed.Snapshot) {
	if p.builder.ApplySnapshot(shard, snapshot) {
		p.dirty = true
	}
}

// Change implements feedtransport.Handler.
func (p *viewPublisher) Change(shard shards.ID, change feed.Change) {
	if p.builder.ApplyChange(shard, change) {
		p.dirty = true
	}
}

// BatchDone implements feedtransport.BatchHandler. It publishes the changes that were received together as one view.
func (p *viewPublisher) BatchDone() { p.publishChanged() }

// Status implements feedtransport.Handler. The agent sends the first status after all items of every shard. Before it no view is
// published, since a view could have routes but no workers.
func (p *viewPublisher) Status(status feedtransport.Status) {
	p.synced = true
	p.publishChanged()
	p.confirmation.update(time.Now(), status)
}

// Connected implements feedtransport.Handler.
func (p *viewPublisher) Connected(address string) {
	p.log.Info("feed connected", zap.String("address", address))
}

// Disconnected implements feedtransport.Handler.
func (p *viewPublisher) Disconnected(err error) {
	p.confirmation.clear()
	p.log.Info("feed disconnected", zap.Error(err))
}

// publishChanged publishes the latest view if it has not been published yet.
func (p *viewPublisher) publishChanged() {
	if !p.dirty || !p.synced {
		return
	}
	p.dirty = false
	p.publish(p.builder.View())
}

// publishView puts a view in force for all requests that start from now on, and closes the connections to workers that are no longer
// in it.
func (p *proxy) publishView(view *fleetview.View) {
	first := p.dispatcher.View() == nil
	removed := p.connLimits.update(view)
	p.dispatcher.SetView(view)
	for _, address := range removed {
		p.pool.CloseEndpoint(address)
	}
	if first {
		p.log.Info("initial snapshot applied", zap.Uint64("generation", view.Generation))
	}
}
