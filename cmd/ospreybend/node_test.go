package main

import (
	"crypto/sha256"
	"encoding/hex"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"ospreybend/internal/node/nodeconfig"
	"ospreybend/internal/testkit/scriptedpeer"
)

func exampleConfig(t *testing.T) *nodeconfig.Node {
	t.Helper()
	text, err := os.ReadFile("../../examples/config.json")
	if err != nil {
		t.Fatal(err)
	}
	moved := strings.NewReplacer("127.0.0.1:8080", scriptedpeer.FreeAddress(t), "127.0.0.1:8500", scriptedpeer.FreeAddress(t),
		"127.0.0.1:9901", scriptedpeer.FreeAddress(t)).Replace(string(text))
	cfg, err := nodeconfig.Parse([]byte(moved), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

// The program starts with the example configuration, is unhealthy while no worker is known, but for no longer than a start
// may take, and shuts down gracefully.
func TestNode_startAndShutdown(t *testing.T) {
	n, err := start(exampleConfig(t))
	if err != nil {
		t.Fatal(err)
	}
	health := func() int {
		response, err := http.Get("http://" + n.cfg.Listen + "/healthz")
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
		return response.StatusCode
	}
	if status := health(); status != http.StatusServiceUnavailable {
		t.Errorf("health %d without a destination", status)
	}
	n.loop.Call(func() { n.startDeadline = n.loop.Now() }) // discovery has not answered for so long
	if status := health(); status != http.StatusOK {
		t.Errorf("health %d when the start is over", status)
	}
	n.shutdown()
	if c, err := net.Dial("tcp", n.cfg.Listen); err == nil {
		c.Close()
		t.Error("still listening")
	}
}

// SIGHUP is caught and reloads the configuration. An invalid file changes nothing.
func TestNode_reload(t *testing.T) {
	caught := catchSignals()
	for range 3 {
		if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	<-caught.reload

	text, err := os.ReadFile("../../examples/config.json")
	if err != nil {
		t.Fatal(err)
	}
	n, err := start(exampleConfig(t))
	if err != nil {
		t.Fatal(err)
	}
	defer n.shutdown()
	path := filepath.Join(t.TempDir(), "config.json")
	env := func(key string) string { return map[string]string{"BALANCER_CONFIG": path}[key] }
	write := func(old, now string) {
		if err := os.WriteFile(path, []byte(strings.Replace(string(text), old, now, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
		n.reload(env)
	}
	next, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer next.Close()
	n.loop.Call(func() { n.discovery.Watch(true) })
	write("127.0.0.1:8500", next.Addr().String())
	write("127.0.0.1:8500", "nowhere") // invalid: the address stays
	if err := next.(*net.TCPListener).SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	watch, err := next.Accept()
	if err != nil {
		t.Fatal("the watch has not moved:", err)
	}
	watch.Close()
	var address string
	n.loop.Call(func() { address = n.discovery.Address() })
	if address != next.Addr().String() {
		t.Errorf("discovery at %s, want %s", address, next.Addr())
	}
}

func TestNode_startWithBatchFront(t *testing.T) {
	sum := sha256.Sum256([]byte("chief"))
	b := nodeconfig.Batch{Enabled: true, Listen: scriptedpeer.FreeAddress(t), MaxSockets: 64, Store: "sqlite",
		Source: filepath.Join(t.TempDir(), "x.db"), AdminListen: scriptedpeer.FreeAddress(t), AdminMaxSockets: 32,
		AdminTokenSHA256: hex.EncodeToString(sum[:])}
	cfg := exampleConfig(t)
	if err := cfg.ReserveBatch(b); err != nil {
		t.Fatal(err)
	}
	n, err := start(cfg)
	if err != nil {
		t.Fatal(err)
	}
	if n.batch, err = n.startBatch(b); err != nil {
		t.Fatal(err)
	}
	ask, err := http.NewRequest("GET", "http://"+b.AdminListen+"/admin/v1/tenants", nil)
	if err != nil {
		t.Fatal(err)
	}
	ask.Header.Set("Authorization", "Bearer chief")
	response, err := http.DefaultClient.Do(ask)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	if response.StatusCode != http.StatusOK {
		t.Errorf("the administration answers %d", response.StatusCode)
	}
	n.shutdown()
}
