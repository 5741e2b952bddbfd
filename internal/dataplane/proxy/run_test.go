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

// testSettings returns settings with any free port, and with a grace too short to wait for anything.
func testSettings() bootconfig.Settings {
	loaded := bootconfig.Defaults()
	loaded.NodeName, loaded.Role, loaded.IP = "edge-1", "proxy", "127.0.0.1"
	loaded.Listen = bootconfig.Listen{Front: "127.0.0.1:0", Readiness: "127.0.0.1:0"}
	loaded.PortRange = [2]int{7660, 7675}
	loaded.Bounds.GraceS = 0.1
	return loaded
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
	loaded := testSettings()
	loaded.Listen.Readiness = taken.Addr().String()
	if err := Run(t.Context(), loaded, zap.NewNop()); err == nil {
		t.Fatal("two servers on one address")
	}
}

func writeSettings(t *testing.T, loaded bootconfig.Settings) string {
	t.Helper()
	content, err := json.Marshal(loaded)
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
	loaded := testSettings()
	p := newProxy(loaded, zap.NewNop())
	loaded.Bounds.GraceS = 5
	p.reload(writeSettings(t, loaded))
	if got := p.settings.Load().Bounds.GraceS; got != 5 {
		t.Fatal(got)
	}
	p.reload(filepath.Join(t.TempDir(), "none.json"))
	if got := p.settings.Load().Bounds.GraceS; got != 5 {
		t.Fatalf("a file that cannot be read changed the grace to %v", got)
	}
}

func TestProxy_watchSettings_reloadsOnSIGHUP(t *testing.T) {
	s := newTestSystem(t)
	s.waitUntilReady()
	defer s.proxy.watchSettings()()
	changed := testSettings()
	changed.Bounds.GraceS = 3
	t.Setenv(bootconfig.PathVariable, writeSettings(t, changed))
	answered := make(chan int, 1)
	go func() {
		status, _, _ := s.request("/a/pending")
		answered <- status
	}()
	<-s.worker.arrived
	if err := syscall.Kill(syscall.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	s.waitFor("reloaded", func() bool { return s.proxy.settings.Load().Bounds.GraceS == 3 })
	close(s.worker.release)
	if status := <-answered; status != 200 {
		t.Fatalf("the request in flight got %d", status)
	}
}

func TestAgentFeedPort(t *testing.T) {
	port, err := agentFeedPort(&bootconfig.Settings{PortRange: [2]int{7660, 7675}})
	if err != nil || port != 7661 {
		t.Fatal(port, err)
	}
}
