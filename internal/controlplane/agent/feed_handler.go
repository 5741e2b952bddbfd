package agent

import (
	"time"

	"go.uber.org/zap"

	"ospreybend/coord/feed"
	"ospreybend/coord/shards"
	"ospreybend/internal/controlplane/feedtransport"
)

// How long after a keeper's first status its state is passed on though it is not current. A proxy that has just
// started serves better by a state that may be a moment old than not at all, provided that there is one.
const (
	wholeAfter  = 120 * time.Millisecond  // with a configuration
	wholeAtLast = 1500 * time.Millisecond // without one
)

// upstream takes what the keeper sends.
type upstream struct {
	store   *store
	log     *zap.Logger
	firstAt time.Time // of the first status; zero: none yet
}

// Snapshot implements feedlink.Handler.
func (u *upstream) Snapshot(shard shards.ID, snapshot feed.Snapshot) { u.store.reset(shard, snapshot) }

// Change implements feedlink.Handler.
func (u *upstream) Change(shard shards.ID, change feed.Change) {
	if err := u.store.change(shard, change); err != nil {
		u.log.Error("a change was not taken", zap.Uint32("shard", uint32(shard)), zap.Error(err))
	}
}

// BatchDone implements feedlink.BatchHandler: readers look once per batch.
func (u *upstream) BatchDone() { u.store.wakeAll() }

// Status implements feedlink.Handler. A status follows all that the keeper had of every shard; before
// the first one that is current, the proxy would see routes without workers.
func (u *upstream) Status(status feedtransport.Status) {
	u.store.setCurrent(status.Shards)
	now := time.Now()
	if u.firstAt.IsZero() {
		u.firstAt = now
		time.AfterFunc(wholeAfter, u.acceptOld)
	}
	if status.Current() || now.Sub(u.firstAt) >= wholeAtLast {
		u.store.markWhole()
	}
}

// acceptOld passes on a state that is not known to be current, if there is a configuration in it.
func (u *upstream) acceptOld() {
	if u.store.index(shards.Configuration) > 0 {
		u.store.markWhole()
	}
}

// Connected implements feedlink.Handler.
func (u *upstream) Connected(address string) {
	u.log.Debug("connected to a keeper", zap.String("address", address))
}

// Disconnected implements feedlink.Handler.
func (u *upstream) Disconnected(err error) {
	u.store.setCurrent(nil)
	u.log.Info("keeper left", zap.Error(err))
}

// Report implements feedlink.ReportHandler.
func (u *upstream) Report(report feedtransport.Report) { u.store.toReport(report) }
