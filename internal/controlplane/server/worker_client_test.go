package server

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"ospreybend/internal/controlplane/roleplanner"
)

// fakeWorker is an HTTP server in place of a worker. It answers each report, and commands by a handler.
type fakeWorker struct {
	address  string
	reports  atomic.Int64
	commands atomic.Int64
}

// startFakeWorker starts a worker with the given report.
func startFakeWorker(t *testing.T, report string, onCommand http.HandlerFunc) *fakeWorker {
	t.Helper()
	worker := &fakeWorker{}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+reportPath, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(headerInstance) != "i-1" {
			t.Errorf("report asked of instance %q, want i-1", r.Header.Get(headerInstance))
		}
		worker.reports.Add(1)
		_, _ = io.WriteString(w, report)
	})
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		worker.commands.Add(1)
		onCommand(w, r)
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	worker.address = strings.TrimPrefix(server.URL, "http://")
	return worker
}

func always() bool { return true }

func sendCommand(t *testing.T, address string, permitted func() bool) CommandDelivery {
	t.Helper()
	command := RoleCommand{Instance: "i-1", Address: address, Role: roleplanner.Prefill, LeaseHolder: "core-1", FencingToken: 41}
	return NewWorkerClient(DialWorker).SendRoleCommand(t.Context(), command, permitted)
}

func TestHTTPWorkerClient_SendRoleCommand_sendsLeaseHolderTargetAndRevision(t *testing.T) {
	for report, revision := range map[string]*uint64{`{"stage":"decode","sequence":7}`: new(uint64(7)), `{"stage":"decode"}`: nil, `{"stage":`: nil} {
		var received roleCommandBody
		var path, instance string
		worker := startFakeWorker(t, report, func(w http.ResponseWriter, r *http.Request) {
			path, instance = r.Method+" "+r.URL.Path, r.Header.Get(headerInstance)
			body, _ := io.ReadAll(r.Body)
			if err := json.Unmarshal(body, &received); err != nil {
				t.Error(err)
			}
			w.WriteHeader(http.StatusAccepted)
		})
		delivery := sendCommand(t, worker.address, always)
		if delivery.Status != http.StatusAccepted || delivery.Err != nil || delivery.WrittenAt.IsZero() {
			t.Fatalf("delivery %+v, want status 202 and the time of the write", delivery)
		}
		want := roleCommandBody{Operation: "stage", Role: "prefill", LeaseHolder: "core-1", FencingToken: 41, IfRevision: revision}
		if path != "POST /-/order" || instance != "i-1" || !reflect.DeepEqual(received, want) {
			t.Fatalf("worker received %q for instance %q with %+v, want POST /-/order for i-1 with %+v", path, instance, received, want)
		}
		if worker.commands.Load() != 1 || worker.reports.Load() != 1 {
			t.Fatalf("worker received %d commands and %d polls, want one each", worker.commands.Load(), worker.reports.Load())
		}
	}
}

func TestHTTPWorkerClient_SendRoleCommand_unansweredIsSentOnce(t *testing.T) {
	release := make(chan struct{})
	unresponsive := startFakeWorker(t, `{"stage":"decode"}`, func(http.ResponseWriter, *http.Request) { <-release })
	disconnecting := startFakeWorker(t, `{"stage":"decode"}`, func(w http.ResponseWriter, _ *http.Request) {
		connection, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		_ = connection.Close()
	})
	defer close(release)
	for _, worker := range []*fakeWorker{unresponsive, disconnecting} {
		if delivery := sendCommand(t, worker.address, always); delivery.Status != 0 || delivery.Err == nil {
			t.Errorf("delivery %+v of a command without an answer, want status 0 and an error", delivery)
		}
		if worker.commands.Load() != 1 {
			t.Errorf("the command was sent %d times, want once", worker.commands.Load())
		}
	}
}

// A command is not written to a worker that does not answer a report, nor once its sender may not send it any more.
func TestHTTPWorkerClient_SendRoleCommand_isNotWritten(t *testing.T) {
	accept := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusAccepted) }
	overtaken := startFakeWorker(t, `{"stage":"decode"}`, accept)
	forbid := func() bool {
		if overtaken.reports.Load() != 1 {
			t.Error("permission was asked for before the worker had answered a report")
		}
		return false
	}
	if delivery := sendCommand(t, overtaken.address, forbid); !errors.Is(delivery.Err, errNotPermitted) || !delivery.WrittenAt.IsZero() {
		t.Errorf("delivery %+v without permission, want errNotPermitted and no write", delivery)
	}
	if overtaken.commands.Load() != 0 {
		t.Error("a command was written, want none")
	}
	silent, err := net.Listen("tcp4", "127.0.0.1:0") // its kernel accepts, and nobody reads
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	if delivery := sendCommand(t, silent.Addr().String(), always); delivery.Err == nil || !delivery.WrittenAt.IsZero() {
		t.Errorf("delivery %+v to a worker that does not read, want an error and no write", delivery)
	}
}

// A worker may close the connection after each answer, as with HTTP/1.0.
func TestHTTPWorkerClient_SendRoleCommand_workerClosesAfterReport(t *testing.T) {
	commands := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Connection", "close")
		if r.URL.Path == commandPath {
			commands++
			w.WriteHeader(http.StatusAccepted)
		}
	}))
	defer server.Close()
	if delivery := sendCommand(t, strings.TrimPrefix(server.URL, "http://"), always); delivery.Status != http.StatusAccepted || commands != 1 {
		t.Errorf("delivery %+v and %d commands, want status 202 and one command", delivery, commands)
	}
}

// A connection on which a command has no answer is reset, so that the kernel discards what it has not delivered.
func TestHTTPWorkerClient_SendRoleCommand_unansweredIsReset(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	ended := make(chan error, 1)
	go func() { ended <- answerReportOnly(listener) }()
	if delivery := sendCommand(t, listener.Addr().String(), always); delivery.Status != 0 || delivery.WrittenAt.IsZero() {
		t.Errorf("delivery %+v, want a written command without an answer", delivery)
	}
	if err := <-ended; !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the connection ended with %v at the worker, want ECONNRESET", err)
	}
}

// answerReportOnly accepts one connection, answers a report, reads the command and returns how the connection ended.
func answerReportOnly(listener net.Listener) error {
	connection, err := listener.Accept()
	if err != nil {
		return err
	}
	defer connection.Close()
	reader := bufio.NewReader(connection)
	if _, err := http.ReadRequest(reader); err != nil {
		return err
	}
	if _, err := io.WriteString(connection, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"); err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, reader)
	return err
}

func TestHTTPWorkerClient_Report_deadline(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0") // never accepts
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if report := NewWorkerClient(DialWorker).Report(ctx, "i-1", listener.Addr().String()); report != (WorkerReport{}) {
		t.Errorf("report %+v of a worker that does not answer, want none", report)
	}
}

func TestHTTPWorkerClient_Report_ignoresInvalidReports(t *testing.T) {
	for body, role := range map[string]string{
		`{"stage":"decode","utilization":false,"sequence":2}`: "decode",
		`{"stage":"prefill","utilization":true}`:              "", // in transition
		`{"stage":`:                                           "",
		`{}`:                                                  "",
	} {
		worker := startFakeWorker(t, body, http.NotFound)
		if report := NewWorkerClient(DialWorker).Report(t.Context(), "i-1", worker.address); report != (WorkerReport{Answered: true, Role: role}) {
			t.Errorf("report %+v from %s, want an answer with role %q", report, body, role)
		}
	}
	misdirected := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		_, _ = io.WriteString(w, `{"stage":"decode"}`)
	}))
	defer misdirected.Close()
	address := strings.TrimPrefix(misdirected.URL, "http://")
	if report := NewWorkerClient(DialWorker).Report(t.Context(), "i-1", address); report.Role != "" {
		t.Errorf("role %q was taken from an answer with status 421, want none", report.Role)
	}
	if delivery := sendCommand(t, address, always); delivery.Status != http.StatusMisdirectedRequest || !delivery.WrittenAt.IsZero() {
		t.Errorf("delivery %+v to an address at which another instance runs, want status 421 and no write", delivery)
	}
}
