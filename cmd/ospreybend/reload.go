package main

import (
	"log/slog"

	"ospreybend/internal/node/nodeconfig"
)

// reload reads the configuration again. The address of discovery takes effect at once; everything else needs a restart.
// An invalid file changes nothing. It runs off the loop.
func (n *node) reload(getenv func(string) string) {
	cfg, err := nodeconfig.Load(getenv)
	if err != nil {
		slog.Error("reload: invalid configuration ignored", "error", err)
		return
	}
	slog.Info("reload", "discovery", cfg.Discovery)
	if keys := n.cfg.KeysNeedingRestart(cfg); len(keys) > 0 {
		slog.Warn("reload: some keys take effect at the next start", "keys", keys)
	}
	n.loop.Post(func() { n.discovery.SetAddress(cfg.Discovery) })
	if n.batch != nil {
		n.batch.reload(n, getenv)
	}
}
