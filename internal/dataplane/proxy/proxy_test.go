package proxy

import (
	"net"
	"net/http"
	"strings"
	"testing"
)

func TestProxy_forwardsOnceConfigured(t *testing.T) {
	s := newTestSystem(t)
	s.waitUntilReady()
	s.requireResponse("/a/x?y=1", 200, "POST /a/x?y=1 "+requestBody)
	// The configuration is put in force a moment before it is confirmed.
	s.waitFor("denied", func() bool { return s.statusOf("/none/") == http.StatusNotFound })
}

func TestProxy_resumesStream(t *testing.T) {
	s := newTestSystem(t)
	s.waitUntilReady()
	status, body, err := s.request("/stream/whole")
	want := "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n"
	if status != 200 || body != want || err != nil {
		t.Fatalf("%d %q %v", status, body, err)
	}
	if _, body, err := s.request("/stream/cut"); err == nil || !strings.HasPrefix(want, body) {
		t.Fatalf("a truncated stream without another worker ended as complete: %q", body)
	}
}

func TestProxy_isReady_withoutConfiguration(t *testing.T) {
	s := &testSystem{t: t, client: &http.Client{Timeout: testTimeout}}
	unused := listenLoopback(t)
	s.startProxy(unused.Addr().(*net.TCPAddr).Port)
	if status := s.readinessStatus(); status != http.StatusServiceUnavailable {
		t.Fatal(status)
	}
	if status, _, err := s.request("/a/x"); status != http.StatusServiceUnavailable || err != nil {
		t.Fatal(status, err)
	}
}

func TestProxy_drain_finishesRequestsInFlight(t *testing.T) {
	s := newTestSystem(t)
	s.waitUntilReady()
	answered := s.startPendingRequest()
	drained := s.startDrain()
	s.waitFor("not ready", func() bool { return s.readinessStatus() == http.StatusServiceUnavailable })
	s.requireResponse("/a/x", 200, "POST /a/x "+requestBody)
	close(s.worker.release)
	if body := <-answered; body != pendingResponse {
		t.Fatalf("the request in flight got %q", body)
	}
	<-drained
	if inFlight := s.proxy.clientServer.Counts().InFlight; inFlight != 0 {
		t.Fatalf("%d requests in flight at the end", inFlight)
	}
}

// TestProxy_drain_rejectsInFinalWindow drains with a grace that has only the final window.
func TestProxy_drain_rejectsInFinalWindow(t *testing.T) {
	s := newTestSystem(t)
	s.waitUntilReady()
	answered := s.startPendingRequest()
	loaded := *s.proxy.settings.Load()
	loaded.Bounds.GraceS = (shutdownMargin + finalWindow).Seconds()
	s.proxy.settings.Store(&loaded)
	drained := s.startDrain()
	s.waitFor("shutdown", func() bool { return s.proxy.shutdown.Load() != nil })
	if status, _, err := s.request("/a/x"); status != http.StatusServiceUnavailable || err != nil {
		t.Fatal(status, err)
	}
	close(s.worker.release)
	if body := <-answered; body != pendingResponse {
		t.Fatalf("the request in flight got %q", body)
	}
	<-drained
}
