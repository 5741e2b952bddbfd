package proxy

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
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
	if err := Run(ctx, testSettings(), zap.NewNop()); err != nil {
		t.Fatal(err)
	}
}

func TestRun_addressInUse(t *testing.T) {
	taken := listenLoopback(t)
	settings := testSettings()
	settings.Listen.Readiness = taken.Addr().String()
	if err := Run(t.Context(), settings, zap.NewNop()); err == nil {
		t.Fatal("Run with the readiness address in use returned no error")
	}
}

func writeSettings(t *testing.T, settings bootconfig.Settings) string {
	t.Helper()
	content, err := json.Marshal(settings)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "boot.json")
	if err := os.WriteFile(path, content, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestProxy_reload_grace(t *testing.T) {
	settings := testSettings()
	p := newProxy(settings, zap.NewNop())
	settings.Bounds.GraceS = 5
	p.reload(writeSettings(t, settings))
	if got := p.settings.Load().Bounds.GraceS; got != 5 {
		t.Fatalf("GraceS after the reload is %v, want 5", got)
	}
	p.reload(filepath.Join(t.TempDir(), "none.json"))
	if got := p.settings.Load().Bounds.GraceS; got != 5 {
		t.Fatalf("GraceS after the reload of a missing file is %v, want the previous value of 5", got)
	}
}

func TestProxy_watchSettings_reloadsOnSIGHUP(t *testing.T) {
	s := newTestSystem(t)
	s.waitUntilReady()
	defer s.proxy.watchSettings()()
	settings := testSettings()
	settings.Bounds.GraceS = 3
	t.Setenv(bootconfig.PathVariable, writeSettings(t, settings))
	answered := make(chan int, 1)
	go func() {
		status, _, _ := s.request("/a/pending")
		answered <- status
	}()
	<-s.worker.arrived
	if err := syscall.Kill(syscall.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	s.waitFor("the settings to be reloaded", func() bool { return s.proxy.settings.Load().Bounds.GraceS == 3 })
	close(s.worker.release)
	if status := <-answered; status != 200 {
		t.Fatalf("the request in flight during the reload got status %d, want 200", status)
	}
}

func TestAgentFeedPort(t *testing.T) {
	port, err := agentFeedPort(&bootconfig.Settings{PortRange: [2]int{7660, 7675}})
	if err != nil || port != 7661 {
		t.Fatalf("got port %d and error %v, want 7661, the second port of the range", port, err)
	}
}
