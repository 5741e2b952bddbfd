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
	replaced := strings.NewReplacer("127.0.0.1:8080", scriptedpeer.FreeAddress(t), "127.0.0.1:8500", scriptedpeer.FreeAddress(t),
		"127.0.0.1:9901", scriptedpeer.FreeAddress(t)).Replace(string(text))
	cfg, err := nodeconfig.Parse([]byte(replaced), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

// A node starts with the example configuration. It is unhealthy while no worker is known, but not beyond the startup
// deadline, and shuts down gracefully.
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
		t.Errorf("GET /healthz without a known worker: status %d, want 503", status)
	}
	n.loop.Call(func() { n.startDeadline = n.loop.Now() }) // as if discovery had not answered until the deadline
	if status := health(); status != http.StatusOK {
		t.Errorf("GET /healthz after the startup deadline: status %d, want 200", status)
	}
	n.shutdown()
	if c, err := net.Dial("tcp", n.cfg.Listen); err == nil {
		c.Close()
		t.Error("the node still accepts connections after its shutdown")
	}
}

// SIGHUP is caught, and a reload moves the discovery watch to the new address. An invalid file changes nothing.
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
	write := func(old, replacement string) {
		if err := os.WriteFile(path, []byte(strings.Replace(string(text), old, replacement, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
		n.reload(env)
	}
	newDiscovery, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer newDiscovery.Close()
	n.loop.Call(func() { n.discovery.Watch(true) })
	write("127.0.0.1:8500", newDiscovery.Addr().String())
	write("127.0.0.1:8500", "nowhere") // invalid: the address stays
	if err := newDiscovery.(*net.TCPListener).SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	watch, err := newDiscovery.Accept()
	if err != nil {
		t.Fatal("no watch at the new discovery address after the reload:", err)
	}
	watch.Close()
	var address string
	n.loop.Call(func() { address = n.discovery.Address() })
	if address != newDiscovery.Addr().String() {
		t.Errorf("discovery address after a reload of an invalid file: %s, want %s", address, newDiscovery.Addr())
	}
}

func TestNode_startWithBatchAPI(t *testing.T) {
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
	request, err := http.NewRequest("GET", "http://"+b.AdminListen+"/admin/v1/tenants", nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer chief")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	if response.StatusCode != http.StatusOK {
		t.Errorf("GET /admin/v1/tenants: status %d, want 200", response.StatusCode)
	}
	n.shutdown()
}
