package server

import (
	"context"
	"time"

	"go.uber.org/zap"

	"ospreybend/internal/util/bootconfig"
)

// followSettings applies changed settings until ctx ends. Seeds, fault tolerance, bounds, the workers' heartbeat interval and the memory
// limit take effect while the server runs; all others are those of its start.
func (s *Server) followSettings(ctx context.Context) {
	for {
		select {
		case settings := <-s.environment.SettingsChanges:
			s.applySettings(settings)
		case <-ctx.Done():
			return
		}
	}
}

func (s *Server) applySettings(settings bootconfig.Settings) {
	s.changedSettings.Store(&settings)
	s.directory.addSeeds(seedPeerAddresses(settings))
	for _, shard := range s.shards {
		if machine := s.registryMachine(shard.id); machine != nil {
			machine.setHeartbeatInterval(time.Duration(settings.HeartbeatMs) * time.Millisecond)
		}
	}
	if s.environment.LimitMemory {
		limitMemory(settings.Limits.MemoryMb)
	}
	s.logger.Info("settings applied", zap.Strings("seeds", settings.Seeds))
}

// currentSettings returns the settings as of the last change.
func (s *Server) currentSettings() *bootconfig.Settings {
	if changed := s.changedSettings.Load(); changed != nil {
		return changed
	}
	return &s.settings
}
