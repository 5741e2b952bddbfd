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

// restartLoadDeadline is how long the clients of the load during a hot restart wait for a response.
const restartLoadDeadline = 3 * time.Second

// restartTestbed is what the processes of one node share across hot restarts: a fleet of fake workers, the clients'
// socket, which the platform keeps open, and the node's files.
type restartTestbed struct {
	fleet       *fakeplatform.Fleet
	listener    net.Listener
	socket      *os.File // file of the listener, passed to the processes
	dir         string
	address     string // of the clients' socket
	peerAddress string
}

// newRestartTestbed creates a testbed without a process. sockets is the node's descriptor limit.
func newRestartTestbed(workers, slots, sockets int, script fakeplatform.Script) (s *restartTestbed, err error) {
	s = &restartTestbed{}
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

func (s *restartTestbed) close() {
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

// serverProcess is one process of the node. It inherits the clients' socket.
type serverProcess struct {
	child
	admin     string        // address of the administration server
	readyTime time.Duration // from the start of the process until it was ready
}

// start starts another process and waits until it reports that it is ready.
func (s *restartTestbed) start(ctx context.Context) (*serverProcess, error) {
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
		return nil, errors.Join(fmt.Errorf("process did not become ready: %w; log: %s", err, log), p.kill())
	}
	return p, nil
}

// call sends a request to the administration server. If there is no response, it returns status 0 and the error's text.
func (p *serverProcess) call(method, path string) (status int, text string) {
	request, err := http.NewRequest(method, "http://"+p.admin+path, nil)
	if err != nil {
		return 0, err.Error()
	}
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(body)
}

// hasMetric reports whether the metrics of the process contain the given line, without the prefix of its name.
func (p *serverProcess) hasMetric(metric string) bool {
	_, text := p.call("GET", "/-/metrics")
	return strings.Contains(text, "balancer."+metric+"\n")
}

// loadConfig returns the configuration of a load on the clients' address.
func (s *restartTestbed) loadConfig(prefix string, rate float64, duration time.Duration) loadgen.Config {
	class := func(name string) loadgen.Class {
		return loadgen.Class{Name: name, Share: 0.5, Target: time.Second, Deadline: restartLoadDeadline}
	}
	return loadgen.Config{URL: "http://" + s.address, Rate: rate, Duration: duration, Seed: 5, Prefix: prefix,
		Classes: []loadgen.Class{class("modell-pruefen"), class("auftrag-buchen")}}
}

// begunTwice returns how many jobs workers have begun more than once.
func (s *restartTestbed) begunTwice() (n int) {
	for _, times := range s.fleet.StartCounts() {
		if times > 1 {
			n++
		}
	}
	return n
}
