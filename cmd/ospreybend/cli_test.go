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

// newTestNode starts a node with its batch API among fake workers that follow a script.
func newTestNode(t *testing.T, script fakeplatform.Script) *localNode {
	t.Helper()
	fleet, err := fakeplatform.NewFleet(demoZone, demoKind, 2, 4, script)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Stop)
	r, err := newLocalNode(t.TempDir(), fleet)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.shutdown)
	if err := r.ready(t.Context()); err != nil {
		t.Fatal(err)
	}
	return r
}

// The program's own server passes every case of the conformance suite.
func TestBatch_conforms(t *testing.T) {
	r := newTestNode(t, fakeplatform.FixedRunTime(5*time.Millisecond))
	tenant, err := r.admin.Create(t.Context(), "conform", 30_000)
	if err != nil {
		t.Fatal(err)
	}
	report, err := conformance.Run(t.Context(), conformance.Config{URL: "http://" + r.batch.Listen, Token: tenant.Token}, func(got conformance.Result) {
		if !got.Passed {
			t.Errorf("%s: %s (%s)", got.Name, got.Fault, got.Demand)
		}
	})
	if err != nil || report.Passed != conformance.NumCases() {
		t.Errorf("%d of %d cases passed, %v", report.Passed, conformance.NumCases(), err)
	}
}

// call runs the program with these arguments and environment variables.
func call(t *testing.T, env map[string]string, args ...string) (code int, out, complaint string) {
	t.Helper()
	for k, v := range env {
		t.Setenv(k, v)
	}
	// The node of the test logs to the same place from its own goroutines.
	old := slog.Default()
	defer slog.SetDefault(old)
	var o, c syncBuffer
	code = runCommand(signals{shutdown: make(chan os.Signal)}, args, &o, &c)
	return code, o.text(), c.text()
}

// syncBuffer is a buffer that several goroutines write to.
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
	r := newTestNode(t, func(j fakeplatform.Job) fakeplatform.Act {
		if strings.HasSuffix(j.Path, "/bad") {
			return fakeplatform.Act{Kind: fakeplatform.Reject}
		}
		return fakeplatform.Act{Run: time.Millisecond}
	})
	token := filepath.Join(t.TempDir(), "token")
	env := map[string]string{"OSPREYBEND_URL": "http://" + r.batch.Listen, "OSPREYBEND_ADMIN_URL": "http://" + r.batch.AdminListen,
		"OSPREYBEND_ADMIN_TOKEN": demoAdminToken, "OSPREYBEND_TOKEN_FILE": token}
	do := func(want int, args ...string) string {
		t.Helper()
		code, out, complaint := call(t, env, args...)
		if code != want {
			t.Fatalf("%v: code %d, not %d: %s%s", args, code, want, out, complaint)
		}
		return strings.TrimSpace(out)
	}
	do(cli.ExitError, "job", "list") // no token yet
	var made []struct{ Token string }
	if err := json.Unmarshal([]byte(do(cli.ExitOK, "--json", "tenant", "create", "anna", "--quota", "50")), &made); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(token, []byte(made[0].Token+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	do(cli.ExitUnknown, "job", "list") // no session yet
	do(cli.ExitOK, "session", "create", "default")
	do(cli.ExitUnknown, "session", "create", "default")
	id := do(cli.ExitOK, "job", "submit", "vorschau", "--hold", "--name", "n1")
	do(cli.ExitState, "job", "hold", id)
	do(cli.ExitTimeout, "job", "wait", id, "--timeout", "50ms")
	if out := do(cli.ExitOK, "job", "list"); !strings.Contains(out, "QUEUED_HELD") || !strings.Contains(out, "n1") {
		t.Error(out)
	}
	do(cli.ExitOK, "job", "release", id)
	if out := do(cli.ExitOK, "job", "wait", id); !strings.Contains(out, "DONE") {
		t.Error(out)
	}
	do(cli.ExitOK, "job", "reap", id)
	do(cli.ExitUnknown, "job", "info", id)
	if out := do(cli.ExitFailed, "job", "submit", "vorschau", "bad", "--wait"); !strings.Contains(out, "can make nothing") {
		t.Error(out)
	}
	do(cli.ExitUnknown, "job", "submit", "rm")
	do(cli.ExitUsage, "job", "submit")
	array := do(cli.ExitOK, "job", "bulk", "vorschau", "--end", "4", "--hold")
	if out := do(cli.ExitOK, "job", "release", "-a", array); !strings.Contains(out, "4 jobs") {
		t.Error(out)
	}
	if out := do(cli.ExitOK, "job", "wait", "-a", array); !strings.Contains(out, "DONE") {
		t.Error(out)
	}
	if out := do(cli.ExitOK, "job", "queues"); !strings.Contains(out, "auftrag-buchen") || !strings.Contains(out, "w-2") {
		t.Error(out)
	}
	if out := do(cli.ExitOK, "tenant", "queue"); !strings.Contains(out, "window") {
		t.Error(out)
	}
	do(cli.ExitOK, "tenant", "quota", "anna", "0")
	do(cli.ExitLater, "job", "submit", "vorschau")
	do(cli.ExitOK, "tenant", "rotate", "anna")
	do(cli.ExitDenied, "job", "list")
	do(cli.ExitOK, "version")
	do(cli.ExitOK, "--help")
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
	if code, out, complaint := call(t, nil, "config", "check", "--batch", good, "--node", "../../examples/config.json"); code != 0 || !strings.Contains(out, "on") {
		t.Errorf("%d %s%s", code, out, complaint)
	}
	for _, c := range [][3]string{{"--batch", "enabled = true\nlisten = \"127.0.0.1:1\"\nstore = \"sqlite\"\nsource = \"x\"\ntarget_ms = 0", "target_ms"},
		{"--batch", "colour = 1", "colour"}, {"--log", "level = \"loud\"", "level"}, {"--log", "format = \"xml\"", "format"}, {"--node", "{", "JSON"}} {
		code, _, complaint := call(t, nil, "config", "check", c[0], write("bad", c[1]))
		if code != cli.ExitError || !strings.Contains(complaint, c[2]) {
			t.Errorf("%v: %d %s", c, code, complaint)
		}
	}
}

// The demonstration runs to its end and removes its files.
func TestDemo(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	code, out, complaint := call(t, nil, "demo")
	if code != 0 || strings.Count(out, "DONE") < 10 || !strings.Contains(out, "has left") {
		t.Errorf("%d %s%s", code, out, complaint)
	}
	left, err := os.ReadDir(os.Getenv("TMPDIR"))
	if err != nil || len(left) != 0 {
		t.Errorf("files not removed: %v, %v", left, err)
	}
}

// A reload applies the window and the administration's token. An invalid file changes nothing.
func TestBatchFront_reload(t *testing.T) {
	r := newTestNode(t, fakeplatform.FixedRunTime(time.Millisecond))
	path := filepath.Join(t.TempDir(), "batch.toml")
	env := func(key string) string { return map[string]string{"OSPREYBEND_BATCH": path}[key] }
	write := func(rest string) {
		t.Helper()
		text := "enabled = true\nlisten = \"" + r.batch.Listen + "\"\nstore = \"sqlite\"\nsource = \"" + r.batch.Source + "\"\nadmin_listen = \"" +
			r.batch.AdminListen + "\"\n" + rest
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		r.node.batch.reload(r.node, env)
	}
	size := func() (out float64) {
		r.node.loop.Call(func() { out = r.node.batch.jobs.Counts().Window.Size })
		return out
	}
	admits := func() bool { _, err := r.admin.Tenants(context.Background()); return err == nil }
	other := strings.Repeat("ab", 32)
	write("slots = 1\nadmin_token_sha256 = \"" + other + "\"\n")
	if size() != 1 || admits() {
		t.Errorf("window %v, the old token is accepted: %v", size(), admits())
	}
	write("slots = -1\nadmin_token_sha256 = \"" + r.batch.AdminTokenSHA256 + "\"\n")
	if size() != 1 || admits() {
		t.Error("an invalid file took effect")
	}
	write("slots = 9\nadmin_token_sha256 = \"" + r.batch.AdminTokenSHA256 + "\"\n")
	if !admits() {
		t.Error("the token is not accepted again")
	}
}
