// Package localfleet runs a whole router fleet on loopback addresses of one machine: each process is a
// child of this one with a settings file and a data directory of its own. Demonstrations, whole-program
// tests and scale runs rest on it.
package localfleet

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"ospreybend/internal/settings"
)

// Ports that all machines of a local fleet use on their own loopback addresses.
const (
	portFront     = 21144
	portReadiness = 21140
	portControl   = 21146
	portInner     = 21160 // first of the range that the fleet's processes use among themselves
	portsInner    = 16
	PortWorker    = 21080 // of stand-in workers
)

// Networks (third byte of the address) by class of machine.
const (
	networkKeepers = 1
	networkEdges   = 2
	networkWorkers = 3
)

const (
	zonesMost   = 3
	stopTimeout = 12 * time.Second // after SIGTERM, before SIGKILL
	hostsMost   = 250
)

// Layout says how large a fleet is and how it is run.
type Layout struct {
	Binary    string // the fleet's program
	Directory string // settings files and data go below it
	Keepers   int
	Edges     int // machines with a proxy and an agent each
	Network   int // second byte of all addresses, so that several fleets can run side by side
	LogLevel  string
}

// Process is one running child.
type Process struct {
	Role    string
	Node    string
	Address string // of the machine
	command *exec.Cmd
	done    chan struct{}
	err     error
}

// Fleet is a running fleet.
type Fleet struct {
	layout Layout
	mutex  sync.Mutex
	all    map[string]*Process // by role and node
}

// New prepares a fleet; nothing runs yet.
func New(layout Layout) (*Fleet, error) {
	if layout.Keepers < 1 || layout.Keepers > hostsMost || layout.Edges > hostsMost {
		return nil, eris.Errorf("a local fleet has 1 to %d keepers and at most %d edges", hostsMost, hostsMost)
	}
	if layout.Network == 0 {
		layout.Network = 77
	}
	return &Fleet{layout: layout, all: map[string]*Process{}}, nil
}

// Zone names the zone of the i-th machine of a class.
func Zone(i int) string { return fmt.Sprintf("zone-%d", i%zonesMost+1) }

func (f *Fleet) address(network, host int) string {
	return fmt.Sprintf("127.%d.%d.%d", f.layout.Network, network, host+1)
}

// Control returns the control addresses of all keepers.
func (f *Fleet) Control() []string {
	addresses := make([]string, f.layout.Keepers)
	for i := range addresses {
		addresses[i] = fmt.Sprintf("%s:%d", f.address(networkKeepers, i), portControl)
	}
	return addresses
}

// Front returns the address that the i-th edge's proxy takes clients at.
func (f *Fleet) Front(i int) string {
	return fmt.Sprintf("%s:%d", f.address(networkEdges, i), portFront)
}

// Readiness returns the address that the i-th edge's proxy tells its readiness at.
func (f *Fleet) Readiness(i int) string {
	return fmt.Sprintf("%s:%d", f.address(networkEdges, i), portReadiness)
}

// Worker returns the address for the i-th stand-in worker.
func (f *Fleet) Worker(i int) string {
	return fmt.Sprintf("%s:%d", f.address(networkWorkers, i), PortWorker)
}

// StartKeeper starts the i-th keeper. bootstrap is true at the fleet's first start only.
func (f *Fleet) StartKeeper(i int, bootstrap bool) (*Process, error) {
	s := f.base(networkKeepers, i, "keeper", bootstrap)
	s.Listen.Control = fmt.Sprintf("%s:%d", s.IP, portControl)
	s.MachineClass, s.CountsForQuorum = "core", true
	s.DataDir = filepath.Join(f.layout.Directory, s.NodeName, "data")
	return f.start(s)
}

// StartAgent starts the agent of the i-th edge.
func (f *Fleet) StartAgent(i int) (*Process, error) {
	return f.start(f.base(networkEdges, i, "agent", false))
}

// StartProxy starts the proxy of the i-th edge.
func (f *Fleet) StartProxy(i int) (*Process, error) {
	s := f.base(networkEdges, i, "proxy", false)
	s.Listen.Front, s.Listen.Readiness = f.Front(i), f.Readiness(i)
	return f.start(s)
}

// StartAll starts all processes of a new fleet.
func (f *Fleet) StartAll() error {
	for i := range f.layout.Keepers {
		if _, err := f.StartKeeper(i, true); err != nil {
			return err
		}
	}
	for i := range f.layout.Edges {
		if _, err := f.StartAgent(i); err != nil {
			return err
		}
		if _, err := f.StartProxy(i); err != nil {
			return err
		}
	}
	return nil
}

// base returns the settings that all roles have.
func (f *Fleet) base(network, i int, role string, bootstrap bool) settings.Settings {
	s := settings.Defaults()
	s.Role, s.IP, s.Zone, s.Region = role, f.address(network, i), Zone(i), "local"
	s.NodeName = fmt.Sprintf("machine-%d-%d", network, i+1)
	s.MachineClass = "edge"
	s.Zones = map[string]string{}
	for zone := range zonesMost {
		s.Zones[Zone(zone)] = "local"
	}
	s.PortRange = [2]int{portInner, portInner + portsInner - 1}
	s.Seeds = f.Control()[:min(3, f.layout.Keepers)]
	s.Bootstrap = bootstrap
	s.FaultTolerance.Machines = (f.layout.Keepers - 1) / 2
	return s
}

// start writes a process's settings and starts it.
func (f *Fleet) start(s settings.Settings) (*Process, error) {
	directory := filepath.Join(f.layout.Directory, s.NodeName)
	if err := os.MkdirAll(filepath.Join(directory, "data"), 0o755); err != nil {
		return nil, eris.Wrap(err, "directory")
	}
	content, err := json.Marshal(s)
	if err != nil {
		return nil, eris.Wrap(err, "settings")
	}
	path := filepath.Join(directory, s.Role+".json")
	if err := os.WriteFile(path, content, 0o644); err != nil {
		return nil, eris.Wrap(err, "settings")
	}
	log, err := os.OpenFile(filepath.Join(directory, s.Role+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, eris.Wrap(err, "log")
	}
	defer log.Close()
	command := exec.Command(f.layout.Binary, s.Role, "--settings", path)
	if f.layout.LogLevel != "" {
		command.Args = append(command.Args, "--log-level", f.layout.LogLevel)
	}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return nil, eris.Wrapf(err, "start of %s", s.Role)
	}
	return f.watch(s, command), nil
}

// watch remembers a process and waits for its end.
func (f *Fleet) watch(s settings.Settings, command *exec.Cmd) *Process {
	process := &Process{Role: s.Role, Node: s.NodeName, Address: s.IP, command: command, done: make(chan struct{})}
	f.mutex.Lock()
	f.all[s.Role+" "+s.NodeName] = process
	f.mutex.Unlock()
	go func() {
		process.err = command.Wait()
		close(process.done)
	}()
	return process
}

// Processes returns all processes started last under their role and node, ended ones included.
func (f *Fleet) Processes() []*Process {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	all := make([]*Process, 0, len(f.all))
	for _, process := range f.all {
		all = append(all, process)
	}
	return all
}

// PID is the process's number.
func (p *Process) PID() int { return p.command.Process.Pid }

// Kill ends the process by SIGKILL and waits for its end.
func (p *Process) Kill() {
	_ = p.command.Process.Kill()
	<-p.done
}

// Stop ends the process by SIGTERM, after a while by SIGKILL, and returns how it ended.
func (p *Process) Stop() error {
	_ = p.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(stopTimeout):
		p.Kill()
		return eris.Errorf("%s did not end within %s of SIGTERM", p.Role, stopTimeout)
	}
	return p.err
}

// Ended tells whether the process has ended.
func (p *Process) Ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// StopAll ends all processes at once.
func (f *Fleet) StopAll() {
	var group sync.WaitGroup
	for _, process := range f.Processes() {
		group.Go(func() { _ = process.Stop() })
	}
	group.Wait()
}

// Await calls check until it is true or the context ends, with a pause between calls.
func Await(ctx context.Context, pause time.Duration, check func() bool) error {
	ticker := time.NewTicker(pause)
	defer ticker.Stop()
	for !check() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// Listens tells whether something accepts connections at an address.
func Listens(address string) bool {
	connection, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return false
	}
	_ = connection.Close()
	return true
}
