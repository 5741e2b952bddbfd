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
	staleStateDelay = 120 * time.Millisecond  // with a configuration
	maxReadyDelay   = 1500 * time.Millisecond // without one
)

// feedHandler takes what the keeper sends.
type feedHandler struct {
	store   *store
	log     *zap.Logger
	firstAt time.Time // of the first status; zero: none yet
}

// Snapshot implements feedlink.Handler.
func (h *feedHandler) Snapshot(shard shards.ID, snapshot feed.Snapshot) {
	h.store.reset(shard, snapshot)
}

// Change implements feedlink.Handler.
func (h *feedHandler) Change(shard shards.ID, change feed.Change) {
	if err := h.store.change(shard, change); err != nil {
		h.log.Error("a change was not taken", zap.Uint32("shard", uint32(shard)), zap.Error(err))
	}
}

// BatchDone implements feedlink.BatchHandler: readers look once per batch.
func (h *feedHandler) BatchDone() { h.store.wakeAll() }

// Status implements feedlink.Handler. A status follows all that the keeper had of every shard; before
// the first one that is current, the proxy would see routes without workers.
func (h *feedHandler) Status(status feedtransport.Status) {
	h.store.setCurrent(status.Shards)
	now := time.Now()
	if h.firstAt.IsZero() {
		h.firstAt = now
		time.AfterFunc(staleStateDelay, h.acceptStale)
	}
	if status.Current() || now.Sub(h.firstAt) >= maxReadyDelay {
		h.store.markReady()
	}
}

// acceptStale passes on a state that is not known to be current, if there is a configuration in it.
func (h *feedHandler) acceptStale() {
	if h.store.index(shards.ConfigurationShard) > 0 {
		h.store.markReady()
	}
}

// Connected implements feedlink.Handler.
func (h *feedHandler) Connected(address string) {
	h.log.Debug("connected to a keeper", zap.String("address", address))
}

// Disconnected implements feedlink.Handler.
func (h *feedHandler) Disconnected(err error) {
	h.store.setCurrent(nil)
	h.log.Info("keeper left", zap.Error(err))
}

// Report implements feedlink.ReportHandler.
func (h *feedHandler) Report(report feedtransport.Report) { h.store.reportHandler(report) }
