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

// restartSite is a fleet, the clients' socket, held as the platform does, and a node's
// files: where processes of one node follow each other.
type restartSite struct {
	fleet                     *fakeplatform.Fleet
	listener                  net.Listener
	socket                    *os.File // the same, for the processes
	dir, address, peerAddress string
}

// newRestartSite sets one up. sockets is the node's limit on descriptors.
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

// serverProcess is the program, started on the clients' socket.
type serverProcess struct {
	child
	admin     string
	readyTime time.Duration // how long it took to say that it is
}

// start starts one more process, and waits until it says that it is ready.
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
	err = fakeplatform.Until(ctx, demoReadyTimeout, func() bool { status, _ := p.call("GET", "/-/ready"); return status == 200 })
	p.readyTime = time.Since(began)
	if err != nil {
		said, _ := os.ReadFile(filepath.Join(s.dir, "log"))
		return nil, errors.Join(fmt.Errorf("never ready: %w; it says %s", err, said), p.kill())
	}
	return p, nil
}

// call makes an operators' call; status 0: no answer.
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

// hasMetric tells whether a figure is among those of the process.
func (p *serverProcess) hasMetric(figure string) bool {
	_, text := p.call("GET", "/-/metrics")
	return strings.Contains(text, "balancer."+figure+"\n")
}

// load is a load on the site's clients' address.
func (s *restartSite) load(prefix string, rate float64, span time.Duration) loadgen.Config {
	class := func(name string) loadgen.Class {
		return loadgen.Class{Name: name, Share: 0.5, Target: time.Second, Within: 3 * time.Second}
	}
	return loadgen.Config{URL: "http://" + s.address, Rate: rate, For: span, Seed: 5, Prefix: prefix,
		Classes: []loadgen.Class{class("modell-pruefen"), class("auftrag-buchen")}}
}

// begunTwice counts the jobs that were begun more than once.
func (s *restartSite) begunTwice() (n int) {
	for _, times := range s.fleet.Begun() {
		if times > 1 {
			n++
		}
	}
	return n
}
