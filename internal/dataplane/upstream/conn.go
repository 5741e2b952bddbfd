package upstream

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"ospreybend/internal/util/http1"
)

// conn is one connection to a worker. At any time it is in the pool, idle, or owned by one round trip.
type conn struct {
	pool       *Pool
	endpoint   *endpointPool
	socket     net.Conn
	input      http1.ReadBuffer
	reused     bool
	generation int // of the endpoint, when the connection was opened

	// guarded by Pool.mu
	idleUntil time.Time
	released  bool
}

// keepAliveDisabled turns keep-alive probes off: userTimeout and the deadlines of requests end what is broken.
const keepAliveDisabled = -1

// dialTCP opens a connection that fails if bytes sent are not acknowledged within userTimeout.
func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{KeepAlive: keepAliveDisabled, Control: setSocketOptions}
	return dialer.DialContext(ctx, "tcp4", address)
}

// setSocketOptions sets the options that must be set before the connection is opened. If the system rejects one its own time-out
// applies.
func setSocketOptions(_, _ string, raw syscall.RawConn) error {
	timeout := int(userTimeout / time.Millisecond)
	return raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, timeout)
	})
}

// isReusable reports whether an idle connection is open and has received nothing. Bytes received on it would belong to no request.
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

// readWithoutWaiting tries to read one byte without waiting. quiet reports that there is none and the connection is open,
// unsolicited that there was one. Connections that are not sockets count as quiet.
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

// close closes the connection and releases its slot. It may be called more than once, and from any goroutine.
func (c *conn) close() {
	_ = c.socket.Close()
	c.pool.mu.Lock()
	c.pool.releaseSlot(c)
	c.pool.mu.Unlock()
}

// readMore reads once into the input buffer.
func (c *conn) readMore() error {
	n, err := c.socket.Read(c.input.Free())
	c.input.Extend(n)
	if n > 0 {
		return nil
	}
	return err
}
