package upstream

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"ospreybend/internal/util/http1"
)

const maxUnansweredProbes = 2 // after which a connection counts as gone

// conn is one connection to a worker.
type conn struct {
	pool       *Pool
	endpoint   *endpointPool
	socket     net.Conn
	input      http1.ReadBuffer
	reused     bool
	generation int // of the address, when it was made

	// under Pool.mu
	idleUntil time.Time
	released  bool
}

// dialTCP opens a connection that gives up bytes nobody acknowledges.
func (p *Pool) dialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{KeepAlive: -1, Control: p.setSocketOptions}
	if p.options.KeepAliveInterval > 0 {
		dialer.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: p.options.KeepAliveInterval, Interval: p.options.KeepAliveInterval, Count: maxUnansweredProbes}
	}
	return dialer.DialContext(ctx, "tcp4", address)
}

// setSocketOptions sets what must be set before the connection is made. Where it is refused the system's times hold.
func (p *Pool) setSocketOptions(_, _ string, raw syscall.RawConn) error {
	timeout := int(p.options.UserTimeout / time.Millisecond)
	return raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, timeout)
	})
}

// isReusable tells whether a kept connection is open and nothing has come on it. Anything that has belongs to no request.
func (c *conn) isReusable() bool {
	quiet, unsolicited := readWithoutWaiting(c.socket)
	if quiet {
		return true
	}
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if unsolicited {
		c.pool.counts.Unsolicited++
	} else {
		c.pool.counts.Stale++
	}
	return false
}

// readWithoutWaiting reads without waiting. Of connections that are no sockets nothing is known.
func readWithoutWaiting(socket net.Conn) (quiet, unsolicited bool) {
	system, ok := socket.(syscall.Conn)
	if !ok {
		return true, false
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return false, false
	}
	var one [1]byte
	var n int
	var cause error
	err = raw.Read(func(fd uintptr) bool {
		for {
			n, cause = syscall.Read(int(fd), one[:])
			if cause != syscall.EINTR {
				return true
			}
		}
	})
	return err == nil && cause == syscall.EAGAIN, n > 0
}

// close closes the connection. It may be called more than once, and from any goroutine.
func (c *conn) close() {
	_ = c.socket.Close()
	c.pool.mu.Lock()
	c.pool.releaseSlot(c)
	c.pool.mu.Unlock()
}

// readMore takes in what comes next.
func (c *conn) readMore() error {
	n, err := c.socket.Read(c.input.Free())
	c.input.Extend(n)
	if n > 0 {
		return nil
	}
	return err
}
