package agent

import (
	"context"
	"sync/atomic"

	"go.uber.org/zap"

	"ospreybend/internal/controlplane/feedtransport"
	"ospreybend/internal/util/bootconfig"
)

// followedSettings are the settings as of the last change. An agent applies seeds, the grace period and the memory limit while it runs.
type followedSettings struct {
	current atomic.Pointer[bootconfig.Settings]
}

func newFollowedSettings(initial bootconfig.Settings) *followedSettings {
	f := &followedSettings{}
	f.current.Store(&initial)
	return f
}

func (f *followedSettings) bounds() bootconfig.Bounds { return f.current.Load().Bounds }

// follow applies changed settings until ctx ends.
func (f *followedSettings) follow(ctx context.Context, options Options, client *feedtransport.Client, log *zap.Logger) {
	for {
		select {
		case settings := <-options.Changes:
			f.current.Store(&settings)
			client.SetSeeds(settings.Seeds)
			if options.LimitMemory {
				limitMemory(settings.Limits)
			}
			log.Info("settings applied", zap.Strings("seeds", settings.Seeds))
		case <-ctx.Done():
			return
		}
	}
}
