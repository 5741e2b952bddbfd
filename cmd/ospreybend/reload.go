package main

import (
	"log/slog"

	"ospreybend/internal/node/nodeconfig"
)

// reload reads the configuration once more, off the loop. Discovery's address
// takes effect at once; the rest stays as it was at the start. A file with a
// fault changes nothing.
func (n *node) reload(env func(string) string) {
	cfg, err := nodeconfig.Load(env)
	if err != nil {
		slog.Error("reload: the old configuration stays", "fault", err)
		return
	}
	slog.Info("reload", "discovery", cfg.Discovery)
	if keys := n.cfg.NeedRestart(cfg); len(keys) > 0 {
		slog.Warn("reload: some keys take effect at the next start", "keys", keys)
	}
	n.loop.Post(func() { n.discovery.SetAddress(cfg.Discovery) })
	if n.batch != nil {
		n.batch.reload(n, env)
	}
}
