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

// stopTimeout is how long Stop waits after SIGTERM before it sends SIGKILL.
const stopTimeout = 12 * time.Second

// errStopTimeout is returned by Stop for a process that had to be killed.
var errStopTimeout = eris.New("process did not end after SIGTERM")

// Process is a child process of a fleet, running or ended.
type Process struct {
	Role    string
	Node    string
	Address string // IP of its machine
	command *exec.Cmd
	done    chan struct{}
	err     error
}

// watch registers a started process and waits for its exit in the background.
func (f *Fleet) watch(s bootconfig.Settings, command *exec.Cmd) *Process {
	process := &Process{Role: s.Role, Node: s.NodeName, Address: s.IP, command: command, done: make(chan struct{})}
	f.mutex.Lock()
	f.processes[s.Role+" "+s.NodeName] = process
	f.mutex.Unlock()
	go func() {
		process.err = command.Wait()
		close(process.done)
	}()
	return process
}

// Processes returns the latest process of each role and node, including ended ones.
func (f *Fleet) Processes() []*Process {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	all := make([]*Process, 0, len(f.processes))
	for _, process := range f.processes {
		all = append(all, process)
	}
	return all
}

// Server returns the latest process of the i-th server, or nil.
func (f *Fleet) Server(i int) *Process { return f.process(roleControlPlane, networkServers, i) }

// Agent returns the latest agent process of the i-th edge, or nil.
func (f *Fleet) Agent(i int) *Process { return f.process("agent", networkEdges, i) }

// Proxy returns the latest proxy process of the i-th edge, or nil.
func (f *Fleet) Proxy(i int) *Process { return f.process("proxy", networkEdges, i) }

func (f *Fleet) process(role string, network, i int) *Process {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.processes[role+" "+nodeName(network, i)]
}

// PID returns the process ID.
func (p *Process) PID() int { return p.command.Process.Pid }

// Kill sends SIGKILL and waits until the process has ended.
func (p *Process) Kill() {
	_ = p.command.Process.Kill()
	<-p.done
}

// Stop sends SIGTERM, and SIGKILL after stopTimeout. It returns the exit error of the process, or an error if it had
// to be killed.
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

// Terminate sends SIGTERM without waiting.
func (p *Process) Terminate() { _ = p.command.Process.Signal(syscall.SIGTERM) }

// Done returns a channel that is closed once the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// StopAll stops all processes concurrently, closes the relays and releases the fleet's addresses.
func (f *Fleet) StopAll() {
	f.endAll(func(process *Process) { _ = process.Stop() })
}

// KillAll is like StopAll, but sends SIGKILL.
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

// Await polls check, with the given pause between calls, until it returns true or the context ends.
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

// Listens reports whether an address accepts TCP connections.
func Listens(address string) bool {
	connection, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return false
	}
	_ = connection.Close()
	return true
}
