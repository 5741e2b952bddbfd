package proxy

import (
	"time"

	"go.uber.org/zap"

	"ospreybend/coord/feed"
	"ospreybend/coord/shards"
	"ospreybend/internal/controlplane/feedtransport"
	"ospreybend/internal/dataplane/fleetview"
)

// follower makes views of what the feed tells, and publishes them. One goroutine calls it.
type follower struct {
	builder   *fleetview.Builder
	publish   func(*fleetview.View)
	confirmed *confirmation
	log       *zap.Logger
	changed   bool // the newest view is not published
	whole     bool // each shard has come as far as the server had it
}

func newFollower(publish func(*fleetview.View), confirmed *confirmation, log *zap.Logger) *follower {
	return &follower{builder: fleetview.NewBuilder(), publish: publish, confirmed: confirmed, log: log}
}

// Snapshot implements feedlink.Handler.
func (f *follower) Snapshot(shard shards.ID, snapshot feed.Snapshot) {
	if f.builder.ApplySnapshot(shard, snapshot) {
		f.changed = true
	}
}

// Change implements feedlink.Handler.
func (f *follower) Change(shard shards.ID, change feed.Change) {
	if f.builder.ApplyChange(shard, change) {
		f.changed = true
	}
}

// BatchDone implements feedlink.BatchHandler.
func (f *follower) BatchDone() { f.publishChanged() }

// Status implements feedlink.Handler. The first one follows all that the server had of every shard:
// no view is published before, since it would have routes and no workers.
func (f *follower) Status(status feedtransport.Status) {
	f.whole = true
	f.publishChanged()
	f.confirmed.note(time.Now(), status)
}

// Connected implements feedlink.Handler.
func (f *follower) Connected(address string) {
	f.log.Info("feed connected", zap.String("from", address))
}

// Disconnected implements feedlink.Handler.
func (f *follower) Disconnected(err error) {
	f.confirmed.lose()
	f.log.Info("feed lost", zap.Error(err))
}

func (f *follower) publishChanged() {
	if !f.changed || !f.whole {
		return
	}
	f.changed = false
	f.publish(f.builder.View())
}
