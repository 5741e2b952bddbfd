package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
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

// child is a node in a process of its own, for measurements and kills.
type child struct {
	cmd           *exec.Cmd
	dir           string
	platform      string
	batch         string
	admin         *client.Admin
	batchDisabled bool // its batch front is off
}

// files writes a node's files into dir. extra is further lines of the batch
// front's.
func newChild(dir, discovery, extra string) (*child, error) {
	var at [3]string
	for i := range at {
		var err error
		if at[i], err = fakeplatform.FreeAddress(); err != nil {
			return nil, err
		}
	}
	text, err := demoConfig(at[0], discovery)
	if err != nil {
		return nil, err
	}
	sum := sha256.Sum256([]byte(demoAdminToken))
	batch := fmt.Sprintf("enabled = true\nlisten = %q\nstore = \"sqlite\"\nsource = %q\nadmin_listen = %q\nadmin_token_sha256 = %q\n%s",
		at[1], filepath.Join(dir, "batch.db"), at[2], hex.EncodeToString(sum[:]), extra)
	c := &child{dir: dir, platform: "http://" + at[0], batch: "http://" + at[1]}
	if c.admin, err = client.NewAdmin("http://"+at[2], demoAdminToken, client.WithMaxAttempts(1)); err != nil {
		return nil, err
	}
	return c, errors.Join(os.WriteFile(filepath.Join(dir, "node.json"), text, 0o600),
		os.WriteFile(filepath.Join(dir, "batch.toml"), []byte(batch), 0o600))
}

// start starts the process and waits until it serves.
func (c *child) start(ctx context.Context) error { return c.startWithEnv(ctx) }

// startWithEnv starts it with further variables in its environment.
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
	// The batch front's administration opens last.
	return fakeplatform.Until(ctx, demoReadyTimeout, func() bool {
		answer, err := http.Get(c.platform + "/healthz")
		if err != nil {
			return false
		}
		answer.Body.Close()
		if answer.StatusCode != http.StatusOK {
			return false
		}
		if c.batchDisabled {
			return true
		}
		_, err = c.admin.Queue(ctx)
		return err == nil
	})
}

// childEnv tells a test binary that it is to be the program.
const childEnv = "OSPREYBEND_CHILD"

// kill ends the process without a word.
func (c *child) kill() error {
	if c.cmd == nil {
		return nil
	}
	err := c.cmd.Process.Kill()
	_ = c.cmd.Wait()
	c.cmd = nil
	return err
}

// waitExit waits until the process has ended by itself.
func (c *child) waitExit() {
	if c.cmd != nil {
		_ = c.cmd.Wait()
		c.cmd = nil
	}
}

// shutdown ends the process in good order.
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

const clockTicksPerSecond = 100 // of /proc's clock in a second, on all of Linux's architectures that Go has

// cpuTime is the processor time that the process has used.
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

// memory is the most memory that the process has had, in KiB, since its start.
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

// tenant makes a tenant with a session.
func (c *child) tenant(ctx context.Context, name string, quota int) (*client.Session, error) {
	t, err := c.admin.Create(ctx, name, quota)
	if err != nil {
		return nil, err
	}
	cl, err := client.New(c.batch, t.Token)
	if err != nil {
		return nil, err
	}
	return cl.CreateSession(ctx, "default")
}
