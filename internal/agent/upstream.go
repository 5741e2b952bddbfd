package agent

import (
	"go.uber.org/zap"

	"ospreybend/coord/feed"
	"ospreybend/coord/shards"
	"ospreybend/internal/feedlink"
)

// upstream takes what the keeper sends.
type upstream struct {
	store *store
	log   *zap.Logger
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

// Status implements feedlink.Handler.
func (u *upstream) Status(status feedlink.Status) { u.store.setCurrent(status.Shards) }

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
func (u *upstream) Report(report feedlink.Report) { u.store.toReport(report) }
