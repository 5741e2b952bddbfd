package localfleet

import (
	"context"
	"net"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"ospreybend/internal/util/bootconfig"
)

// stopTimeout is the time between SIGTERM and SIGKILL.
const stopTimeout = 12 * time.Second

// errStopTimeout is returned by Stop for a process that had to be killed.
var errStopTimeout = eris.New("process did not end after SIGTERM")

// Process is one running child.
type Process struct {
	Role    string
	Node    string
	Address string // of the machine
	command *exec.Cmd
	done    chan struct{}
	err     error
}

// watch records a process and waits for its end.
func (f *Fleet) watch(s bootconfig.Settings, command *exec.Cmd) *Process {
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

// Server returns the process of the i-th server that was started last, or nil.
func (f *Fleet) Server(i int) *Process { return f.process(roleControlPlane, networkServers, i) }

// Agent returns the agent of the i-th edge that was started last, or nil.
func (f *Fleet) Agent(i int) *Process { return f.process("agent", networkEdges, i) }

// Proxy returns the proxy of the i-th edge that was started last, or nil.
func (f *Fleet) Proxy(i int) *Process { return f.process("proxy", networkEdges, i) }

func (f *Fleet) process(role string, network, i int) *Process {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.all[role+" "+nodeName(network, i)]
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
		return eris.Wrapf(errStopTimeout, "%s within %s", p.Role, stopTimeout)
	}
	return p.err
}

// Ended reports whether the process has ended.
func (p *Process) Ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// Terminate asks the process to end and does not wait for it.
func (p *Process) Terminate() { _ = p.command.Process.Signal(syscall.SIGTERM) }

// Done is closed once the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// StopAll ends all processes at once and releases the fleet's addresses.
func (f *Fleet) StopAll() {
	f.endAll(func(process *Process) { _ = process.Stop() })
}

// KillAll is StopAll by SIGKILL.
func (f *Fleet) KillAll() { f.endAll((*Process).Kill) }

func (f *Fleet) endAll(end func(*Process)) {
	var group sync.WaitGroup
	for _, process := range f.Processes() {
		group.Go(func() { end(process) })
	}
	group.Wait()
	f.closeRelays()
	f.addresses.release()
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

// Listens reports whether something accepts connections at an address.
func Listens(address string) bool {
	connection, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return false
	}
	_ = connection.Close()
	return true
}
