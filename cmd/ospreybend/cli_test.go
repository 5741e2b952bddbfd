package main

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"ospreybend/internal/node/batch/cli"
	"ospreybend/internal/testkit/conformance"
	"ospreybend/internal/testkit/fakeplatform"
)

// newTestNode starts a node with its batch API and two fake workers that follow a script.
func newTestNode(t *testing.T, script fakeplatform.Script) *localNode {
	t.Helper()
	fleet, err := fakeplatform.NewFleet(demoZone, demoKind, 2, 4, script)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Stop)
	node, err := newLocalNode(t.TempDir(), fleet)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(node.shutdown)
	if err := node.waitReady(t.Context()); err != nil {
		t.Fatal(err)
	}
	return node
}

// The program's own server passes every case of the conformance suite.
func TestBatch_conforms(t *testing.T) {
	node := newTestNode(t, fakeplatform.FixedRunTime(5*time.Millisecond))
	tenant, err := node.admin.CreateTenant(t.Context(), "conform", 30_000)
	if err != nil {
		t.Fatal(err)
	}
	report, err := conformance.Run(t.Context(), conformance.Config{URL: "http://" + node.batch.Listen, Token: tenant.Token}, func(result conformance.Result) {
		if !result.Passed {
			t.Errorf("case %s failed: %s; required: %s", result.Name, result.Fault, result.Demand)
		}
	})
	if err != nil || report.Passed != conformance.NumCases() {
		t.Errorf("%d of %d conformance cases passed, error %v", report.Passed, conformance.NumCases(), err)
	}
}

// runProgram runs the program in this process with the given arguments and environment variables.
func runProgram(t *testing.T, env map[string]string, args ...string) (code int, stdout, stderr string) {
	t.Helper()
	for k, v := range env {
		t.Setenv(k, v)
	}
	// runCommand replaces the default logger. The test's node logs through it from its own goroutines, so the buffers
	// must be safe for concurrent use.
	old := slog.Default()
	defer slog.SetDefault(old)
	var outBuffer, errBuffer syncBuffer
	code = runCommand(signals{shutdown: make(chan os.Signal)}, args, &outBuffer, &errBuffer)
	return code, outBuffer.text(), errBuffer.text()
}

// syncBuffer is a buffer that is safe for concurrent use.
type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (s *syncBuffer) Write(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(b)
}
func (s *syncBuffer) text() string { s.mu.Lock(); defer s.mu.Unlock(); return s.buf.String() }

func TestCommandLine_exitCodes(t *testing.T) {
	node := newTestNode(t, func(j fakeplatform.Job) fakeplatform.Act {
		if strings.HasSuffix(j.Path, "/bad") {
			return fakeplatform.Act{Kind: fakeplatform.Reject}
		}
		return fakeplatform.Act{Run: time.Millisecond}
	})
	token := filepath.Join(t.TempDir(), "token")
	env := map[string]string{"OSPREYBEND_URL": "http://" + node.batch.Listen, "OSPREYBEND_ADMIN_URL": "http://" + node.batch.AdminListen,
		"OSPREYBEND_ADMIN_TOKEN": demoAdminToken, "OSPREYBEND_TOKEN_FILE": token}
	run := func(want int, args ...string) string {
		t.Helper()
		code, stdout, stderr := runProgram(t, env, args...)
		if code != want {
			t.Fatalf("%v: exit code %d, want %d; output: %s%s", args, code, want, stdout, stderr)
		}
		return strings.TrimSpace(stdout)
	}
	run(cli.ExitError, "job", "list") // no token yet
	var tenants []struct{ Token string }
	if err := json.Unmarshal([]byte(run(cli.ExitOK, "--json", "tenant", "create", "anna", "--quota", "50")), &tenants); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(token, []byte(tenants[0].Token+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	run(cli.ExitInvalidArgument, "job", "list") // no session yet
	run(cli.ExitOK, "session", "create", "default")
	run(cli.ExitInvalidArgument, "session", "create", "default")
	id := run(cli.ExitOK, "job", "submit", "vorschau", "--hold", "--name", "n1")
	run(cli.ExitInvalidState, "job", "hold", id)
	run(cli.ExitTimeout, "job", "wait", id, "--timeout", "50ms")
	if out := run(cli.ExitOK, "job", "list"); !strings.Contains(out, "QUEUED_HELD") || !strings.Contains(out, "n1") {
		t.Errorf("job list with the held job n1: got %q, want QUEUED_HELD and n1", out)
	}
	run(cli.ExitOK, "job", "release", id)
	if out := run(cli.ExitOK, "job", "wait", id); !strings.Contains(out, "DONE") {
		t.Errorf("job wait after release: got %q, want DONE", out)
	}
	run(cli.ExitOK, "job", "reap", id)
	run(cli.ExitInvalidArgument, "job", "info", id)
	if out := run(cli.ExitFailed, "job", "submit", "vorschau", "bad", "--wait"); !strings.Contains(out, "can make nothing") {
		t.Errorf("job submit --wait of a rejected job: got %q, want the worker's message", out)
	}
	run(cli.ExitInvalidArgument, "job", "submit", "rm")
	run(cli.ExitUsage, "job", "submit")
	array := run(cli.ExitOK, "job", "bulk", "vorschau", "--end", "4", "--hold")
	if out := run(cli.ExitOK, "job", "release", "-a", array); !strings.Contains(out, "4 jobs") {
		t.Errorf("job release of an array of 4: got %q, want \"4 jobs\"", out)
	}
	if out := run(cli.ExitOK, "job", "wait", "-a", array); !strings.Contains(out, "DONE") {
		t.Errorf("job wait on the released array: got %q, want DONE", out)
	}
	if out := run(cli.ExitOK, "job", "queues"); !strings.Contains(out, "auftrag-buchen") || !strings.Contains(out, "w-2") {
		t.Errorf("job queues: got %q, want class auftrag-buchen and worker w-2", out)
	}
	if out := run(cli.ExitOK, "tenant", "queue"); !strings.Contains(out, "window") {
		t.Errorf("tenant queue: got %q, want a line on the window", out)
	}
	run(cli.ExitOK, "tenant", "quota", "anna", "0")
	run(cli.ExitTryLater, "job", "submit", "vorschau")
	run(cli.ExitOK, "tenant", "rotate", "anna")
	run(cli.ExitDenied, "job", "list")
	run(cli.ExitOK, "version")
	run(cli.ExitOK, "--help")
}

func TestConfigCheck(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	good := write("good.toml", "enabled = true\nlisten = \"127.0.0.1:1\"\nstore = \"sqlite\"\nsource = \"x\"\n")
	if code, stdout, stderr := runProgram(t, nil, "config", "check", "--batch", good, "--node", "../../examples/config.json"); code != 0 || !strings.Contains(stdout, "on") {
		t.Errorf("config check of valid files: exit code %d, output %s%s; want 0 and the batch API on", code, stdout, stderr)
	}
	for _, c := range [][3]string{{"--batch", "enabled = true\nlisten = \"127.0.0.1:1\"\nstore = \"sqlite\"\nsource = \"x\"\ntarget_ms = 0", "target_ms"},
		{"--batch", "colour = 1", "colour"}, {"--log", "level = \"loud\"", "level"}, {"--log", "format = \"xml\"", "format"}, {"--node", "{", "JSON"}} {
		code, _, stderr := runProgram(t, nil, "config", "check", c[0], write("bad", c[1]))
		if code != cli.ExitError || !strings.Contains(stderr, c[2]) {
			t.Errorf("config check %s with %q: exit code %d, stderr %q; want %d and an error that names %q", c[0], c[1], code, stderr, cli.ExitError, c[2])
		}
	}
}

// The demonstration runs to its end and removes its files.
func TestDemo(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	code, stdout, stderr := runProgram(t, nil, "demo")
	if code != 0 || strings.Count(stdout, "DONE") < 10 || !strings.Contains(stdout, "has shut down") {
		t.Errorf("demo: exit code %d, output %s%s; want 0, 10 DONE jobs and the final shutdown line", code, stdout, stderr)
	}
	left, err := os.ReadDir(os.Getenv("TMPDIR"))
	if err != nil || len(left) != 0 {
		t.Errorf("files left in TMPDIR after the demo: %v, error %v; want none", left, err)
	}
}

// A reload applies a changed window size and administration token. An invalid file changes nothing.
func TestBatchAPI_reload(t *testing.T) {
	node := newTestNode(t, fakeplatform.FixedRunTime(time.Millisecond))
	path := filepath.Join(t.TempDir(), "batch.toml")
	env := func(key string) string { return map[string]string{"OSPREYBEND_BATCH": path}[key] }
	write := func(extra string) {
		t.Helper()
		text := "enabled = true\nlisten = \"" + node.batch.Listen + "\"\nstore = \"sqlite\"\nsource = \"" + node.batch.Source + "\"\nadmin_listen = \"" +
			node.batch.AdminListen + "\"\n" + extra
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		node.node.batch.reload(node.node, env)
	}
	windowSize := func() (out float64) {
		node.node.loop.Call(func() { out = node.node.batch.jobs.Counts().Window.Size })
		return out
	}
	tokenAccepted := func() bool { _, err := node.admin.Tenants(context.Background()); return err == nil }
	otherHash := strings.Repeat("ab", 32)
	write("slots = 1\nadmin_token_sha256 = \"" + otherHash + "\"\n")
	if windowSize() != 1 || tokenAccepted() {
		t.Errorf("after a reload with slots = 1 and another token: window %v, want 1; old token accepted: %v, want false", windowSize(), tokenAccepted())
	}
	write("slots = -1\nadmin_token_sha256 = \"" + node.batch.AdminTokenSHA256 + "\"\n")
	if windowSize() != 1 || tokenAccepted() {
		t.Errorf("after a reload of an invalid file: window %v, want 1; its token accepted: %v, want false", windowSize(), tokenAccepted())
	}
	write("slots = 9\nadmin_token_sha256 = \"" + node.batch.AdminTokenSHA256 + "\"\n")
	if !tokenAccepted() {
		t.Error("after a reload with the original token it is still refused")
	}
}
