package proxy

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"

	"go.uber.org/zap"

	"ospreybend/internal/util/bootconfig"
)

// testSettings returns settings with free ports for the listeners, and with a grace period so short that a drain ends at once.
func testSettings() bootconfig.Settings {
	settings := bootconfig.Defaults()
	settings.NodeName, settings.Role, settings.IP = "edge-1", "proxy", "127.0.0.1"
	settings.Listen = bootconfig.Listen{Front: "127.0.0.1:0", Readiness: "127.0.0.1:0"}
	settings.PortRange = [2]int{7660, 7675}
	settings.Bounds.GraceS = 0.1
	return settings
}

func TestRun_endsWhenContextIsCanceled(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := Run(ctx, testSettings(), nil, zap.NewNop()); err != nil {
		t.Fatal(err)
	}
}

func TestRun_addressInUse(t *testing.T) {
	taken := listenLoopback(t)
	settings := testSettings()
	settings.Listen.Readiness = taken.Addr().String()
	if err := Run(t.Context(), settings, nil, zap.NewNop()); err == nil {
		t.Fatal("Run with the readiness address in use returned no error")
	}
}

// TestProxy_followSettings_reloads changes the settings file while a request is in flight.
func TestProxy_followSettings_reloads(t *testing.T) {
	s := newTestSystem(t)
	s.waitUntilReady()
	path := filepath.Join(t.TempDir(), "boot.json")
	settings := testSettings()
	writeSettings(t, path, settings)
	signals := make(chan os.Signal, 1)
	onError := func(err error) { t.Errorf("got error %v, want none", err) }
	go s.proxy.followSettings(t.Context(), bootconfig.Follow(t.Context(), path, settings, signals, onError))
	settings.Bounds.GraceS = 3
	settings.Limits.MaxFds = reservedDescriptors + 2 // one connection of a client
	writeSettings(t, path, settings)
	answered := make(chan int, 1)
	go func() {
		status, _, _ := s.request("/a/pending")
		answered <- status
	}()
	<-s.worker.arrived
	release := sync.OnceFunc(func() { close(s.worker.release) })
	t.Cleanup(release)
	signals <- syscall.SIGHUP
	s.waitFor("the settings to be reloaded", func() bool { return s.proxy.settings.Load().Bounds.GraceS == 3 })
	s.waitFor("the new limit of connections", func() bool {
		s.client.CloseIdleConnections()
		return s.statusOf("/a/other") == http.StatusServiceUnavailable
	})
	release()
	if status := <-answered; status != 200 {
		t.Fatalf("the request in flight during the reload got status %d, want 200", status)
	}
}

func writeSettings(t *testing.T, path string, settings bootconfig.Settings) {
	t.Helper()
	content, err := json.Marshal(settings)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, content, 0o600); err != nil {
		t.Fatal(err)
	}
}

func TestAgentFeedPort(t *testing.T) {
	port, err := agentFeedPort(&bootconfig.Settings{PortRange: [2]int{7660, 7675}})
	if err != nil || port != 7661 {
		t.Fatalf("got port %d and error %v, want 7661, the second port of the range", port, err)
	}
}
