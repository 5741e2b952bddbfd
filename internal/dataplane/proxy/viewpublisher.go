package proxy

import (
	"time"

	"go.uber.org/zap"

	"ospreybend/coord/feed"
	"ospreybend/coord/shards"
	"ospreybend/internal/controlplane/feedtransport"
	"ospreybend/internal/dataplane/fleetview"
)

// viewPublisher makes views of what the feed tells, and publishes them. One goroutine calls it.
type viewPublisher struct {
	builder      *fleetview.Builder
	publish      func(*fleetview.View)
	confirmation *configConfirmation
	log          *zap.Logger
	dirty        bool // the newest view is not published
	synced       bool // each shard has come as far as the server had it
}

func newViewPublisher(publish func(*fleetview.View), confirmation *configConfirmation, log *zap.Logger) *viewPublisher {
	return &viewPublisher{builder: fleetview.NewBuilder(), publish: publish, confirmation: confirmation, log: log}
}

// Snapshot implements feedlink.Handler.
func (p *viewPublisher) Snapshot(shard shards.ID, snapshot feed.Snapshot) {
	if p.builder.ApplySnapshot(shard, snapshot) {
		p.dirty = true
	}
}

// Change implements feedlink.Handler.
func (p *viewPublisher) Change(shard shards.ID, change feed.Change) {
	if p.builder.ApplyChange(shard, change) {
		p.dirty = true
	}
}

// BatchDone implements feedlink.BatchHandler.
func (p *viewPublisher) BatchDone() { p.publishChanged() }

// Status implements feedlink.Handler. The first one follows all that the server had of every shard:
// no view is published before, since it would have routes and no workers.
func (p *viewPublisher) Status(status feedtransport.Status) {
	p.synced = true
	p.publishChanged()
	p.confirmation.update(time.Now(), status)
}

// Connected implements feedlink.Handler.
func (p *viewPublisher) Connected(address string) {
	p.log.Info("feed connected", zap.String("from", address))
}

// Disconnected implements feedlink.Handler.
func (p *viewPublisher) Disconnected(err error) {
	p.confirmation.clear()
	p.log.Info("feed lost", zap.Error(err))
}

func (p *viewPublisher) publishChanged() {
	if !p.dirty || !p.synced {
		return
	}
	p.dirty = false
	p.publish(p.builder.View())
}

// publishView puts a view in force. Idle connections to workers that are not in it are closed.
func (p *proxy) publishView(view *fleetview.View) {
	first := p.dispatcher.View() == nil
	removed := p.connLimits.update(view)
	p.dispatcher.SetView(view)
	for _, address := range removed {
		p.pool.CloseEndpoint(address)
	}
	if first {
		p.log.Info("first view", zap.Uint64("generation", view.Generation))
	}
}
