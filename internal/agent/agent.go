// Package agent is the process beside each proxy that holds the fleet's state for it: it reads the
// feed from one keeper at a time, keeps the items of all shards in memory, and serves the same
// feed to the proxy over loopback. It also probes a few other machines of the fleet.
package agent

import (
	"context"

	"go.uber.org/zap"

	"ospreybend/internal/settings"
)

// Run runs the agent until ctx ends, and then serves the proxy until it has gone or the time of
// grace is nearly over. It fails if a port of the machine cannot be opened.
func Run(ctx context.Context, config settings.Settings, log *zap.Logger) error {
	<-ctx.Done()
	return nil
}
