package server

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"ospreybend/internal/controlplane/roleplanner"
)

// startFakeWorker starts an HTTP server in place of a worker and counts the calls to it.
func startFakeWorker(t *testing.T, handler http.HandlerFunc) (address string, calls *atomic.Int64) {
	t.Helper()
	calls = new(atomic.Int64)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		handler(w, r)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), calls
}

func newTestWorkerClient(t *testing.T) *httpWorkerClient {
	t.Helper()
	client, err := newHTTPWorkerClient()
	if err != nil {
		t.Fatal(err)
	}
	return client
}

func commandContext(t *testing.T, timeout time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	t.Cleanup(cancel)
	return ctx
}

func TestHTTPWorkerClient_SendRoleCommand_sendsLeaseHolderAndTarget(t *testing.T) {
	var received roleCommandBody
	var path, instance string
	address, calls := startFakeWorker(t, func(w http.ResponseWriter, r *http.Request) {
		path, instance = r.Method+" "+r.URL.Path, r.Header.Get(headerInstance)
		body, _ := io.ReadAll(r.Body)
		if err := json.Unmarshal(body, &received); err != nil {
			t.Error(err)
		}
		w.WriteHeader(http.StatusAccepted)
	})
	command := RoleCommand{Instance: "i-1", Address: address, Role: roleplanner.Prefill, LeaseHolder: "core-1", FencingToken: 41}
	if status := newTestWorkerClient(t).SendRoleCommand(commandContext(t, workerCommandTimeout), command); status != http.StatusAccepted {
		t.Fatalf("status %d, want 202", status)
	}
	expected := roleCommandBody{Operation: "stage", Role: "prefill", LeaseHolder: "core-1", FencingToken: 41}
	if path != "POST /-/order" || instance != "i-1" || received != expected || calls.Load() != 1 {
		t.Fatalf("worker received %q for instance %q with %+v in %d calls, want POST /-/order for i-1 with %+v in one call", path, instance, received, calls.Load(), expected)
	}
}

func TestHTTPWorkerClient_SendRoleCommand_unansweredIsSentOnce(t *testing.T) {
	release := make(chan struct{})
	unresponsive, unresponsiveCalls := startFakeWorker(t, func(http.ResponseWriter, *http.Request) { <-release })
	disconnecting, disconnectedCalls := startFakeWorker(t, func(w http.ResponseWriter, _ *http.Request) {
		connection, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		_ = connection.Close()
	})
	defer close(release)
	client := newTestWorkerClient(t)
	for _, address := range []string{unresponsive, disconnecting} {
		command := RoleCommand{Instance: "i-1", Address: address, Role: roleplanner.Decode}
		if status := client.SendRoleCommand(commandContext(t, 100*time.Millisecond), command); status != 0 {
			t.Errorf("status %d of a command without an answer, want 0", status)
		}
	}
	if unresponsiveCalls.Load() != 1 || disconnectedCalls.Load() != 1 {
		t.Fatalf("sent %d times to an unresponsive worker and %d times to one that disconnects, want once each", unresponsiveCalls.Load(), disconnectedCalls.Load())
	}
}

func TestHTTPWorkerClient_ReportedRole_ignoresInvalidReports(t *testing.T) {
	for body, expected := range map[string]string{
		`{"stage":"decode","utilization":false,"sequence":2}`: "decode",
		`{"stage":"prefill","utilization":true}`:              "", // in transition
		`{"stage":`:                                           "",
		`{}`:                                                  "",
	} {
		address, _ := startFakeWorker(t, func(w http.ResponseWriter, r *http.Request) {
			if r.Method != http.MethodGet || r.URL.Path != reportPath || r.Header.Get(headerInstance) != "i-1" {
				t.Errorf("worker received %s %s for instance %q, want GET %s for i-1", r.Method, r.URL.Path, r.Header.Get(headerInstance), reportPath)
			}
			_, _ = io.WriteString(w, body)
		})
		if role := newTestWorkerClient(t).ReportedRole(commandContext(t, workerCommandTimeout), "i-1", address); role != expected {
			t.Errorf("role from the report %s is %q, want %q", body, role, expected)
		}
	}
	address, _ := startFakeWorker(t, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		_, _ = io.WriteString(w, `{"stage":"decode"}`)
	})
	if role := newTestWorkerClient(t).ReportedRole(commandContext(t, workerCommandTimeout), "i-1", address); role != "" {
		t.Errorf("role %q was taken from an answer with status 421, want none", role)
	}
}
