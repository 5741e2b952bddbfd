package endtoend

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// readyTimeout is how long a process may take to report that it is ready.
const readyTimeout = 15 * time.Second

// Process is one process of the program under test.
type Process struct {
	Name, Zone string
	dir        string
	program    string
	args       []string
	env        []string
	cmd        *exec.Cmd
	ended      chan struct{} // closed once the last started process has ended
	state      *os.ProcessState
	starts     int
	wanted     bool // the process should be running
}

// Start starts the process and waits until it reports that it accepts connections on all its addresses.
func (p *Process) Start() error {
	ready, readyWriter, err := os.Pipe()
	if err != nil {
		return err
	}
	defer readyWriter.Close()
	log, err := os.OpenFile(p.log(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		ready.Close()
		return err
	}
	defer log.Close()
	p.cmd = exec.Command(p.program, p.args...)
	p.cmd.Env = append(append(os.Environ(), p.env...), "OSPREYBEND_READY_FD=3")
	p.cmd.ExtraFiles, p.cmd.Stderr, p.cmd.Stdout = []*os.File{readyWriter}, log, log
	p.starts++
	if err := p.cmd.Start(); err != nil {
		ready.Close()
		return err
	}
	p.wanted = true
	ended := make(chan struct{})
	p.ended = ended
	go func(cmd *exec.Cmd) {
		_ = cmd.Wait()
		p.state = cmd.ProcessState
		close(ended)
	}(p.cmd)
	defer ready.Close()
	_ = ready.SetReadDeadline(time.Now().Add(readyTimeout))
	if line, err := bufio.NewReader(ready).ReadString('\n'); err != nil || line != "ready\n" {
		_ = p.Kill()
		return fmt.Errorf("%s did not report that it is ready within %v; its log ends with %q: %w", p.Name, readyTimeout, p.logTail(), err)
	}
	return nil
}

func (p *Process) log() string { return filepath.Join(p.dir, p.Name+".log") }

// logTail returns the last 1500 bytes of the process's log.
func (p *Process) logTail() string {
	text, _ := os.ReadFile(p.log())
	return strings.TrimSpace(string(text[max(0, len(text)-1500):]))
}

// State reports whether the process is running and whether it should be.
func (p *Process) State() (runs, should bool) {
	if p.ended == nil {
		return false, p.wanted
	}
	select {
	case <-p.ended:
		return false, p.wanted
	default:
		return true, p.wanted
	}
}

// Kill kills the process with SIGKILL and waits for its end.
func (p *Process) Kill() error {
	p.wanted = false
	if runs, _ := p.State(); !runs {
		return nil
	}
	if err := p.cmd.Process.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	<-p.ended
	return nil
}

// Freeze stops the process with SIGSTOP until Thaw.
func (p *Process) Freeze() error { return p.cmd.Process.Signal(syscall.SIGSTOP) }

// Thaw continues a frozen process with SIGCONT.
func (p *Process) Thaw() error { return p.cmd.Process.Signal(syscall.SIGCONT) }
