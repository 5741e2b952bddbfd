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

// startFakeWorker serves what a worker's address answers, and counts the calls.
func startFakeWorker(t *testing.T, answer http.HandlerFunc) (address string, calls *atomic.Int64) {
	t.Helper()
	calls = new(atomic.Int64)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		answer(w, r)
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

func commandContext(t *testing.T, limit time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	t.Cleanup(cancel)
	return ctx
}

func TestHTTPWorkerClient_SendRoleCommand_namesHolderAndTarget(t *testing.T) {
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
		t.Fatal(status)
	}
	expected := roleCommandBody{Operation: "stage", Role: "prefill", LeaseHolder: "core-1", FencingToken: 41}
	if path != "POST /-/order" || instance != "i-1" || received != expected || calls.Load() != 1 {
		t.Fatalf("%s to %s: %+v, %d calls", path, instance, received, calls.Load())
	}
}

func TestHTTPWorkerClient_SendRoleCommand_unansweredIsSentOnce(t *testing.T) {
	release := make(chan struct{})
	unresponsive, unresponsiveCalls := startFakeWorker(t, func(http.ResponseWriter, *http.Request) { <-release })
	aborting, abortedCalls := startFakeWorker(t, func(w http.ResponseWriter, _ *http.Request) {
		connection, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		_ = connection.Close()
	})
	defer close(release)
	client := newTestWorkerClient(t)
	for _, address := range []string{unresponsive, aborting} {
		command := RoleCommand{Instance: "i-1", Address: address, Role: roleplanner.Decode}
		if status := client.SendRoleCommand(commandContext(t, 100*time.Millisecond), command); status != 0 {
			t.Errorf("status %d of no answer", status)
		}
	}
	if unresponsiveCalls.Load() != 1 || abortedCalls.Load() != 1 {
		t.Fatalf("sent %d and %d times", unresponsiveCalls.Load(), abortedCalls.Load())
	}
}

func TestHTTPWorkerClient_ReportedRole_validReportsOnly(t *testing.T) {
	for body, expected := range map[string]string{
		`{"stage":"decode","utilization":false,"sequence":2}`: "decode",
		`{"stage":"prefill","utilization":true}`:              "", // in transition
		`{"stage":`:                                           "",
		`{}`:                                                  "",
	} {
		address, _ := startFakeWorker(t, func(w http.ResponseWriter, r *http.Request) {
			if r.Method != http.MethodGet || r.URL.Path != reportPath || r.Header.Get(headerInstance) != "i-1" {
				t.Errorf("%s %s for %s", r.Method, r.URL.Path, r.Header.Get(headerInstance))
			}
			_, _ = io.WriteString(w, body)
		})
		if stage := newTestWorkerClient(t).ReportedRole(commandContext(t, workerCommandTimeout), "i-1", address); stage != expected {
			t.Errorf("%s: stage %q", body, stage)
		}
	}
	address, _ := startFakeWorker(t, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		_, _ = io.WriteString(w, `{"stage":"decode"}`)
	})
	if stage := newTestWorkerClient(t).ReportedRole(commandContext(t, workerCommandTimeout), "i-1", address); stage != "" {
		t.Errorf("another worker's stage %q was taken", stage)
	}
}
