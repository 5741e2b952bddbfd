package server

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"ospreybend/internal/util/bootconfig"
)

// TestServer_followSettings guards against a server that goes on with the settings of its start: one that was cut off while all others
// were replaced then asks for ever servers that are gone.
func TestServer_followSettings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _, _ := newScriptedServer(t)
		changes := make(chan bootconfig.Settings, 1)
		s.environment.SettingsChanges = changes
		s.lifecycle.background.Go(func() { s.followSettings(s.lifecycle.backgroundContext) })
		changed := s.settings
		changed.Seeds = []string{"127.0.0.9:8000"}
		changed.FaultTolerance.Machines, changed.Bounds.GraceS, changed.HeartbeatMs = 2, 12, 3000
		changes <- changed
		synctest.Wait()
		if got := s.directory.otherAddresses(); !slices.Contains(got, "127.0.0.9:7000") {
			t.Errorf("known servers are %v, want the new seed among them", got)
		}
		if s.desiredVoters() != 5 || s.successionTimeout() != 9*time.Second {
			t.Errorf("got %d desired voters and a succession timeout of %v, want 5 and 9s", s.desiredVoters(), s.successionTimeout())
		}
	})
}
