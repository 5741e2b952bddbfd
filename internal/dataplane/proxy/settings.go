package proxy

import (
	"context"

	"ospreybend/internal/util/bootconfig"
)

// followSettings applies the settings received from changes until ctx ends.
func (p *proxy) followSettings(ctx context.Context, changes <-chan bootconfig.Settings) {
	for {
		select {
		case settings := <-changes:
			p.apply(settings)
		case <-ctx.Done():
			return
		}
	}
}

// apply applies the settings that may change while the process runs: the bounds, and the limits of memory and descriptors. It does not
// affect connections and requests that are open.
func (p *proxy) apply(settings bootconfig.Settings) {
	p.settings.Store(&settings)
	configureGarbageCollector(settings.Limits)
	p.dispatcher.SetRetryBudget(retryBudgetRules(settings.Bounds))
	p.dispatcher.SetRecomputeWindow(bootconfig.Seconds(settings.Bounds.PrefixReuseS))
	p.clientServer.SetCapacity(clientConnectionLimit(settings.Limits), bufferedBodyLimit(settings.Limits))
	p.log.Info("settings applied")
}
