package main

import (
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"ospreybend/internal/load"
	"ospreybend/internal/scenario"
	"ospreybend/internal/standin"
)

// process is the program, started on the clients' socket that the test holds.
type process struct {
	t     *testing.T
	cmd   *exec.Cmd
	admin string
	log   string
}

func startInherited(t *testing.T, dir, name string, socket *os.File) *process {
	t.Helper()
	p := &process{t: t, admin: scenario.Free(t), log: filepath.Join(dir, name+".log")}
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	log, err := os.Create(p.log)
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	p.cmd = exec.Command(self, "serve")
	p.cmd.ExtraFiles, p.cmd.Stderr = []*os.File{socket}, log
	p.cmd.Env = append(os.Environ(), childMark+"=1", "BALANCER_CONFIG="+filepath.Join(dir, "node.json"), "OSPREYBEND_BATCH=",
		"BALANCER_ADMIN="+p.admin, "BALANCER_INHERITED_FD=3", "TMPDIR="+filepath.Join(dir, "tmp"))
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = p.cmd.Process.Kill(); _ = p.cmd.Wait() })
	return p
}

// call returns the answer to an operators' call, and its status.
func (p *process) call(method, path string) (int, string) {
	in, err := http.NewRequest(method, "http://"+p.admin+path, nil)
	if err != nil {
		p.t.Fatal(err)
	}
	in.Close = true
	answer, err := http.DefaultClient.Do(in)
	if err != nil {
		return 0, err.Error()
	}
	defer answer.Body.Close()
	text, _ := io.ReadAll(answer.Body)
	return answer.StatusCode, string(text)
}

func (p *process) ready() {
	p.t.Helper()
	if err := standin.Until(p.t.Context(), 10*time.Second, func() bool { s, _ := p.call("GET", "/-/ready"); return s == 200 }); err != nil {
		log, _ := os.ReadFile(p.log)
		p.t.Fatalf("never ready: %v\n%s", err, log)
	}
}

// leave ends the process in good order, and tells how it went.
func (p *process) leave() {
	p.t.Helper()
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		p.t.Fatal(err)
	}
	if err := p.cmd.Wait(); err != nil {
		p.t.Errorf("left with %v", err)
	}
}

// upgradeWorld is a fleet, the clients' socket and a node's files.
func upgradeWorld(t *testing.T) (fleet *standin.Fleet, dir string, socket *os.File, address string) {
	t.Helper()
	fleet, err := standin.NewFleet(demoZone, demoKind, 4, 16, standin.For(20*time.Millisecond))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Stop)
	address = scenario.Free(t)
	ln, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	if socket, err = ln.(*net.TCPListener).File(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { socket.Close() })
	dir = t.TempDir()
	text, err := demoText(address, fleet.Discovery.Address())
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(dir, "node.json"), text, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Mkdir(filepath.Join(dir, "tmp"), 0o700); err != nil {
		t.Fatal(err)
	}
	return fleet, dir, socket, address
}

// Two upgrades under a steady stream of clients: every job is served, and begun
// once; who is out by hand stays out in the next process and comes back by a word
// to either.
func TestUpgradeUnderLoad(t *testing.T) {
	fleet, dir, socket, address := upgradeWorld(t)
	begun := func() int { return len(fleet.Workers[0].Begun()) }
	a := startInherited(t, dir, "a", socket)
	a.ready()
	result := make(chan *load.Result, 1)
	run := func(prefix string, span time.Duration) {
		result <- load.Run(t.Context(), load.Config{URL: "http://" + address, Rate: 150, For: span, Seed: 5, Prefix: prefix,
			Classes: []load.Class{{Name: "modell-pruefen", Share: 0.5, Target: time.Second, Within: 3 * time.Second},
				{Name: "auftrag-buchen", Share: 0.5, Target: time.Second, Within: 3 * time.Second}}})
	}
	served := func() {
		if r := <-result; r.Sent < 100 || r.Served != r.Sent {
			t.Errorf("%d sent, %d served, %d refused, %d failed, %d broken", r.Sent, r.Served, r.Refused, r.Failed, r.Broken)
		}
	}
	go run("u", 5*time.Second)
	if err := standin.Until(t.Context(), 10*time.Second, func() bool { return begun() > 5 }); err != nil {
		t.Fatal("no load: ", err)
	}
	if s, text := a.call("PUT", "/-/prep-workers/w-1/disable"); s != 200 {
		t.Fatalf("disable: %d %s", s, text)
	}
	time.Sleep(150 * time.Millisecond) // what was on its way has arrived
	was := begun()

	b := startInherited(t, dir, "b", socket)
	b.ready()
	if s, _ := b.call("PUT", "/-/prep-workers/w-2/disable"); s != 200 {
		t.Errorf("disable: %d", s)
	}
	if err := standin.Until(t.Context(), 10*time.Second, func() bool {
		_, text := a.call("GET", "/-/metrics")
		return strings.Contains(text, "prep_workers_excluded:2|g")
	}); err != nil {
		_, text := a.call("GET", "/-/metrics")
		t.Errorf("the old process has not heard of a word to the new one: %s", text)
	}
	a.leave()
	c := startInherited(t, dir, "c", socket)
	c.ready()
	b.leave()
	if _, text := c.call("GET", "/-/metrics"); !strings.Contains(text, "prep_workers_excluded:2|g") {
		t.Errorf("who is out after two upgrades: %s", text)
	}
	if now := begun(); now != was {
		t.Errorf("%d jobs went to a prep worker that is out", now-was)
	}
	served()
	go run("v", 2*time.Second)
	if s, _ := c.call("PUT", "/-/prep-workers/w-1/enable"); s != 200 {
		t.Errorf("enable: %d", s)
	}
	if err := standin.Until(t.Context(), 5*time.Second, func() bool { return begun() > was }); err != nil {
		t.Error("called back, and nothing goes there")
	}
	served()
	for id, n := range fleet.Begun() {
		if n != 1 {
			t.Errorf("%s was begun %d times", id, n)
		}
	}
	c.leave()
}

// A number that names no listening socket is a start error that says so; a folder
// that cannot be used is not.
func TestInheritedStart(t *testing.T) {
	_, dir, socket, _ := upgradeWorld(t)
	cfg := exampleConfig(t)
	for _, fd := range []string{"x", "-1", "0", "99", "4096"} {
		cfg.Inherited = fd
		if _, err := start(cfg); err == nil || !strings.Contains(err.Error(), "BALANCER_INHERITED_FD") {
			t.Errorf("descriptor %s: %v", fd, err)
		}
	}
	if err := os.Remove(filepath.Join(dir, "tmp")); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(dir, "tmp"), nil, 0o600); err != nil {
		t.Fatal(err)
	}
	p := startInherited(t, dir, "p", socket)
	p.ready()
	if s, _ := p.call("PUT", "/-/prep-workers/w-1/disable"); s != 200 {
		t.Errorf("disable without a folder: %d", s)
	}
	p.leave()
	if s, _ := p.call("GET", "/-/ready"); s != 0 {
		t.Error("it answers after it has left")
	}
}
