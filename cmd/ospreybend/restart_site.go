package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"ospreybend/internal/testkit/fakeplatform"
	"ospreybend/internal/testkit/loadgen"
)

// restartLoadDeadline is how long the clients of a restart's load wait.
const restartLoadDeadline = 3 * time.Second

// restartSite is what the processes of one node share over hot restarts: a fleet of fake workers, the clients' socket,
// which the platform keeps open, and the node's files.
type restartSite struct {
	fleet       *fakeplatform.Fleet
	listener    net.Listener
	socket      *os.File // the listener's, passed to the processes
	dir         string
	address     string // of the clients' socket
	peerAddress string
}

// newRestartSite creates a site without a process. sockets is the node's limit on descriptors.
func newRestartSite(workers, slots, sockets int, script fakeplatform.Script) (s *restartSite, err error) {
	s = &restartSite{}
	defer func() {
		if err != nil {
			s.close()
		}
	}()
	if s.fleet, err = fakeplatform.NewFleet(demoZone, demoKind, workers, slots, script); err != nil {
		return s, err
	}
	if s.dir, err = os.MkdirTemp("", "ospreybend-upgrade-"); err != nil {
		return s, err
	}
	if s.address, err = fakeplatform.FreeAddress(); err != nil {
		return s, err
	}
	if s.peerAddress, err = fakeplatform.FreeAddress(); err != nil {
		return s, err
	}
	if s.listener, err = net.Listen("tcp", s.address); err != nil {
		return s, err
	}
	if s.socket, err = s.listener.(*net.TCPListener).File(); err != nil {
		return s, err
	}
	text, err := demoConfig(s.address, s.fleet.Discovery.Address())
	if err != nil {
		return s, err
	}
	text = []byte(strings.NewReplacer(`"sockets":1024`, fmt.Sprintf(`"sockets":%d`, sockets),
		`"name":"demo"`, fmt.Sprintf(`"name":"demo","peer_listen":%q`, s.peerAddress)).Replace(string(text)))
	return s, os.WriteFile(filepath.Join(s.dir, "node.json"), text, 0o600)
}

func (s *restartSite) close() {
	if s.fleet != nil {
		s.fleet.Stop()
	}
	if s.socket != nil {
		s.socket.Close()
	}
	if s.listener != nil {
		s.listener.Close()
	}
	_ = os.RemoveAll(s.dir)
}

// serverProcess is one process of the node, started on the clients' socket.
type serverProcess struct {
	child
	admin     string
	readyTime time.Duration // from its start until it reported that it was ready
}

// start starts one more process and waits until it reports that it is ready.
func (s *restartSite) start(ctx context.Context) (*serverProcess, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	p := &serverProcess{}
	if p.admin, err = fakeplatform.FreeAddress(); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(s.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	p.cmd = exec.Command(self, "serve")
	p.cmd.ExtraFiles, p.cmd.Stderr = []*os.File{s.socket}, log
	p.cmd.Env = append(os.Environ(), childEnv+"=1", "BALANCER_CONFIG="+filepath.Join(s.dir, "node.json"), "OSPREYBEND_BATCH=",
		"BALANCER_ADMIN="+p.admin, "BALANCER_INHERITED_FD=3", "TMPDIR="+filepath.Join(s.dir, "tmp"))
	began := time.Now()
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	err = fakeplatform.WaitUntil(ctx, demoReadyTimeout, func() bool { status, _ := p.call("GET", "/-/ready"); return status == 200 })
	p.readyTime = time.Since(began)
	if err != nil {
		log, _ := os.ReadFile(filepath.Join(s.dir, "log"))
		return nil, errors.Join(fmt.Errorf("process never ready: %w; its log: %s", err, log), p.kill())
	}
	return p, nil
}

// call calls the administration server. Status 0 stands for no answer, with the error as its text.
func (p *serverProcess) call(method, path string) (status int, text string) {
	in, err := http.NewRequest(method, "http://"+p.admin+path, nil)
	if err != nil {
		return 0, err.Error()
	}
	in.Close = true
	answer, err := http.DefaultClient.Do(in)
	if err != nil {
		return 0, err.Error()
	}
	defer answer.Body.Close()
	body, _ := io.ReadAll(answer.Body)
	return answer.StatusCode, string(body)
}

// hasMetric reports whether the process shows a metric with this value.
func (p *serverProcess) hasMetric(metric string) bool {
	_, text := p.call("GET", "/-/metrics")
	return strings.Contains(text, "balancer."+metric+"\n")
}

// load returns the configuration of a load on the clients' address.
func (s *restartSite) load(prefix string, rate float64, span time.Duration) loadgen.Config {
	class := func(name string) loadgen.Class {
		return loadgen.Class{Name: name, Share: 0.5, Target: time.Second, Deadline: restartLoadDeadline}
	}
	return loadgen.Config{URL: "http://" + s.address, Rate: rate, Duration: span, Seed: 5, Prefix: prefix,
		Classes: []loadgen.Class{class("modell-pruefen"), class("auftrag-buchen")}}
}

// begunTwice returns how many jobs were begun more than once.
func (s *restartSite) begunTwice() (n int) {
	for _, times := range s.fleet.StartCounts() {
		if times > 1 {
			n++
		}
	}
	return n
}
