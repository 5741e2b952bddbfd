package agent

import (
	"time"

	"go.uber.org/zap"

	"ospreybend/coord/feed"
	"ospreybend/coord/shards"
	"ospreybend/internal/controlplane/feedtransport"
)

// Delays, counted from the first status of a server, after which its state is served although it is not current. A proxy that
// has just started serves requests better with a slightly stale state, where there is one, than with none.
const (
	staleStateDelay = 120 * time.Millisecond  // if the state includes a configuration
	maxReadyDelay   = 1500 * time.Millisecond // with or without a configuration
)

// feedHandler writes the feed of the control plane servers to the store. The goroutine of the feed client calls it, except for
// acceptStale, which a timer calls.
type feedHandler struct {
	store         *store
	log           *zap.Logger
	firstStatusAt time.Time // when the first status arrived; zero: none yet
}

// Snapshot implements feedtransport.Handler.
func (h *feedHandler) Snapshot(shard shards.ID, snapshot feed.Snapshot) {
	h.store.reset(shard, snapshot)
}

// Change implements feedtransport.Handler.
func (h *feedHandler) Change(shard shards.ID, change feed.Change) {
	if err := h.store.applyChange(shard, change); err != nil {
		h.log.Error("change not applied", zap.Uint32("shard", uint32(shard)), zap.Error(err))
	}
}

// BatchDone implements feedtransport.BatchHandler. It wakes subscribers once for each batch.
func (h *feedHandler) BatchDone() { h.store.wakeAll() }

// Status implements feedtransport.Handler. A server sends its first status after its state of every shard. The store is not
// served before the first current status, as the proxy might see routes without workers; see staleStateDelay for exceptions.
func (h *feedHandler) Status(status feedtransport.Status) {
	h.store.setCurrent(status.Shards)
	now := time.Now()
	if h.firstStatusAt.IsZero() {
		h.firstStatusAt = now
		time.AfterFunc(staleStateDelay, h.acceptStale)
	}
	if status.Current() || now.Sub(h.firstStatusAt) >= maxReadyDelay {
		h.store.markReady()
	}
}

// acceptStale marks the store as ready if it has a configuration, although it is not known to be current.
func (h *feedHandler) acceptStale() {
	if h.store.index(shards.ConfigurationShard) > 0 {
		h.store.markReady()
	}
}

// Connected implements feedtransport.Handler.
func (h *feedHandler) Connected(address string) {
	h.log.Debug("connected to a control plane server", zap.String("address", address))
}

// Disconnected implements feedtransport.Handler.
func (h *feedHandler) Disconnected(err error) {
	h.store.setCurrent(nil)
	h.store.disconnections.Add(1)
	h.log.Info("disconnected from the control plane server", zap.Error(err))
}

// Report implements feedtransport.ReportHandler.
func (h *feedHandler) Report(report feedtransport.Report) { h.store.reportHandler(report) }
