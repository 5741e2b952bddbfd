package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"ospreybend/drmaa/client"
	"ospreybend/internal/testkit/fakeplatform"
)

// childEnv is the environment variable that makes a test binary run as the program itself.
const childEnv = "OSPREYBEND_CHILD"

// serveCheckTimeout limits one check whether a process serves: another process may listen at its address and never answer.
const serveCheckTimeout = time.Second

// logTailBytes is how much of a process's log an error contains.
const logTailBytes = 4 << 10

// clockTicksPerSecond is the unit of CPU times in /proc on every Linux architecture that Go supports.
const clockTicksPerSecond = 100

// child is a node that runs in a separate process, so that it can be measured and killed.
type child struct {
	cmd           *exec.Cmd // nil: not running
	dir           string
	platform      string // URL
	batch         string // URL
	admin         *client.Admin
	batchDisabled bool
}

// newChild writes a node's configuration files into dir. extra is appended to the batch API's file.
func newChild(dir, discovery, extra string) (*child, error) {
	addresses, err := newDemoAddresses()
	if err != nil {
		return nil, err
	}
	text, err := demoConfig(addresses.platform, discovery)
	if err != nil {
		return nil, err
	}
	c := &child{dir: dir, platform: "http://" + addresses.platform, batch: "http://" + addresses.batch}
	if c.admin, err = client.NewAdmin("http://"+addresses.admin, demoAdminToken, client.WithMaxAttempts(1)); err != nil {
		return nil, err
	}
	return c, errors.Join(os.WriteFile(filepath.Join(dir, "node.json"), text, 0o600),
		os.WriteFile(filepath.Join(dir, "batch.toml"), []byte(demoBatchConfig(addresses, dir)+extra), 0o600))
}

// start starts the process and waits until all of its servers answer.
func (c *child) start(ctx context.Context) error { return c.startWithEnv(ctx) }

// startWithEnv is start with additional environment variables.
func (c *child) startWithEnv(ctx context.Context, env ...string) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	c.cmd = exec.Command(self, "serve")
	c.cmd.Env = append(os.Environ(), childEnv+"=1", "BALANCER_CONFIG="+filepath.Join(c.dir, "node.json"),
		"OSPREYBEND_BATCH="+filepath.Join(c.dir, "batch.toml"))
	c.cmd.Env = append(c.cmd.Env, env...)
	log, err := os.OpenFile(filepath.Join(c.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	c.cmd.Stderr = log
	if err := c.cmd.Start(); err != nil {
		return err
	}
	if err := fakeplatform.WaitUntil(ctx, demoReadyTimeout, func() bool { return c.serves(ctx) }); err != nil {
		return fmt.Errorf("start a node: %w; end of its log:\n%s", err, c.logTail())
	}
	return nil
}

// logTail returns the end of the process's log.
func (c *child) logTail() []byte {
	text, err := os.ReadFile(filepath.Join(c.dir, "log"))
	if err != nil {
		return []byte(err.Error())
	}
	return text[max(0, len(text)-logTailBytes):]
}

// serves reports whether all servers of the process answer. The batch API's administration server opens last, so it is
// the last one checked.
func (c *child) serves(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, serveCheckTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.platform+"/healthz", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return false
	}
	if c.batchDisabled {
		return true
	}
	_, err = c.admin.Queue(ctx)
	return err == nil
}

// kill sends SIGKILL to the process if it is running, and waits for it to exit.
func (c *child) kill() error {
	if c.cmd == nil {
		return nil
	}
	err := c.cmd.Process.Kill()
	_ = c.cmd.Wait()
	c.cmd = nil
	return err
}

// waitExit waits until the process has exited on its own.
func (c *child) waitExit() {
	if c.cmd != nil {
		_ = c.cmd.Wait()
		c.cmd = nil
	}
}

// shutdown sends SIGTERM to the process and waits for it to exit.
func (c *child) shutdown() error {
	if c.cmd == nil {
		return nil
	}
	if err := c.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	err := c.cmd.Wait()
	c.cmd = nil
	return err
}

// cpuTime returns the CPU time that the process has used, or 0 if it cannot be read.
func (c *child) cpuTime() time.Duration {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(c.cmd.Process.Pid) + "/stat")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	return time.Duration(user+system) * time.Second / clockTicksPerSecond
}

// memory returns the current and the peak resident memory of the process in KiB, or 0 if it cannot be read.
func (c *child) memory() (current, peak int) {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(c.cmd.Process.Pid) + "/status")
	if err != nil {
		return 0, 0
	}
	for line := range strings.Lines(string(text)) {
		f := strings.Fields(line)
		switch f[0] {
		case "VmHWM:":
			peak, _ = strconv.Atoi(f[1])
		case "VmRSS:":
			current, _ = strconv.Atoi(f[1])
		}
	}
	return current, peak
}

// createTenantSession creates a tenant and opens a session for it.
func (c *child) createTenantSession(ctx context.Context, name string, quota int) (*client.Session, error) {
	return newTenantSession(ctx, c.admin, c.batch, name, quota)
}
