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

// apply applies the settings that may change while the process runs: the memory limit and the grace period. It does not affect
// connections and requests.
func (p *proxy) apply(settings bootconfig.Settings) {
	p.settings.Store(&settings)
	configureGarbageCollector(settings.Limits)
	p.log.Info("settings applied")
}
