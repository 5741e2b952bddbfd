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
	// The configuration is confirmed only shortly after it has been put in force; until then an unknown route gets 503.
	s.waitFor("an unknown route to be answered with 404", func() bool { return s.statusOf("/none/") == http.StatusNotFound })
}

func TestProxy_resumesStream(t *testing.T) {
	s := newTestSystem(t)
	s.waitUntilReady()
	status, body, err := s.request("/stream/whole")
	want := "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n"
	if status != 200 || body != want || err != nil {
		t.Fatalf("a complete stream: got status %d, body %q and error %v, want 200 and %q", status, body, err, want)
	}
	if _, body, err := s.request("/stream/cut"); err == nil || !strings.HasPrefix(want, body) {
		t.Fatalf("a stream aborted by the only worker: got body %q and error %v, want an error and the beginning of %q", body, err, want)
	}
}

func TestProxy_isReady_withoutConfiguration(t *testing.T) {
	s := &testSystem{t: t, client: &http.Client{Timeout: testTimeout}}
	unused := listenLoopback(t)
	s.startProxy(unused.Addr().(*net.TCPAddr).Port)
	if status := s.readinessStatus(); status != http.StatusServiceUnavailable {
		t.Fatalf("readiness check without a configuration: got status %d, want %d", status, http.StatusServiceUnavailable)
	}
	if status, _, err := s.request("/a/x"); status != http.StatusServiceUnavailable || err != nil {
		t.Fatalf("request without a configuration: got status %d and error %v, want %d", status, err, http.StatusServiceUnavailable)
	}
}

func TestProxy_drain_finishesRequestsInFlight(t *testing.T) {
	s := newTestSystem(t)
	s.waitUntilReady()
	answered := s.startPendingRequest()
	drained := s.startDrain()
	s.waitFor("the readiness check to fail", func() bool { return s.readinessStatus() == http.StatusServiceUnavailable })
	s.requireResponse("/a/x", 200, "POST /a/x "+requestBody)
	close(s.worker.release)
	if body := <-answered; body != pendingResponse {
		t.Fatalf("the request in flight got the body %q, want %q", body, pendingResponse)
	}
	<-drained
	if inFlight := s.proxy.clientServer.Counts().InFlight; inFlight != 0 {
		t.Fatalf("%d requests in flight after the drain, want 0", inFlight)
	}
}

// TestProxy_drain_rejectsInFinalWindow drains with a grace period so short that it consists of the final window alone.
func TestProxy_drain_rejectsInFinalWindow(t *testing.T) {
	s := newTestSystem(t)
	s.waitUntilReady()
	answered := s.startPendingRequest()
	settings := *s.proxy.settings.Load()
	settings.Bounds.GraceS = (shutdownMargin + finalWindow).Seconds()
	s.proxy.settings.Store(&settings)
	drained := s.startDrain()
	s.waitFor("the shutdown to begin", func() bool { return s.proxy.shutdown.Load() != nil })
	if status, _, err := s.request("/a/x"); status != http.StatusServiceUnavailable || err != nil {
		t.Fatalf("a request in the final window: got status %d and error %v, want %d", status, err, http.StatusServiceUnavailable)
	}
	close(s.worker.release)
	if body := <-answered; body != pendingResponse {
		t.Fatalf("the request in flight got the body %q, want %q", body, pendingResponse)
	}
	<-drained
}
