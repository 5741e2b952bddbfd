package proxy

import (
	"time"

	"go.uber.org/zap"

	"ospreybend/coord/feed"
	"ospreybend/coord/shards"
	"ospreybend/internal/controlplane/feedtransport"
	"ospreybend/internal/dataplane/fleetview"
)

// viewPublisher builds views from the feed's snapshots and changes, and publishes them. One goroutine calls it: that of the feed's
// client.
type viewPublisher struct {
	builder      *fleetview.Builder
	publish      func(*fleetview.View)
	confirmation *configConfirmation
	log          *zap.Logger
	dirty        bool // the newest view was not published
	synced       bool // every shard was received up to the agent's index
}

// The client finds BatchDone by a type assertion.
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

// BatchDone implements feedtransport.BatchHandler: changes received together make one view.
func (p *viewPublisher) BatchDone() { p.publishChanged() }

// Status implements feedtransport.Handler. The first status follows all items of every shard. No view is published before it: it
// could have routes and no workers.
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

// publishChanged publishes the newest view if it was not published.
func (p *viewPublisher) publishChanged() {
	if !p.dirty || !p.synced {
		return
	}
	p.dirty = false
	p.publish(p.builder.View())
}

// publishView puts a view in force: requests that start from now on are handled by it. It closes the connections to workers that are
// not in it.
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
