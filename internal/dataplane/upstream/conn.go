package upstream

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"ospreybend/internal/util/http1"
)

// conn is a connection to a worker. At any time it is either idle in the pool or owned by a single round trip.
type conn struct {
	pool       *Pool
	endpoint   *endpointPool
	socket     net.Conn
	input      http1.ReadBuffer
	reused     bool
	generation int // generation of the endpoint when the connection was opened

	// guarded by Pool.mu
	idleUntil time.Time
	released  bool // whether the slot has been released
}

// keepAliveDisabled turns TCP keep-alive probes off; userTimeout and the requests' deadlines end broken connections.
const keepAliveDisabled = -1

// dialTCP opens a TCP connection that fails if sent bytes are not acknowledged within userTimeout.
func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{KeepAlive: keepAliveDisabled, Control: setSocketOptions}
	return dialer.DialContext(ctx, "tcp4", address)
}

// setSocketOptions sets TCP_USER_TIMEOUT before the connection is opened. If the operating system rejects the option, its default
// timeout applies.
func setSocketOptions(_, _ string, raw syscall.RawConn) error {
	timeout := int(userTimeout / time.Millisecond)
	return raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, timeout)
	})
}

// isReusable reports whether an idle connection is still open and has received no bytes; such bytes would belong to no request.
func (c *conn) isReusable() bool {
	noInput, unsolicited := readNonblocking(c.socket)
	if noInput {
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

// readNonblocking tries to read one byte without blocking. noInput reports that the connection is open and has no byte to read,
// unsolicited that a byte was read. Both are false if the connection has ended. A connection that is not a socket counts as open
// without input.
func readNonblocking(socket net.Conn) (noInput, unsolicited bool) {
	syscallConn, ok := socket.(syscall.Conn)
	if !ok {
		return true, false
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return false, false
	}
	var buffer [1]byte
	var n int
	var readErr error
	err = raw.Read(func(fd uintptr) bool {
		for {
			n, readErr = syscall.Read(int(fd), buffer[:])
			if readErr != syscall.EINTR {
				return true
			}
		}
	})
	return err == nil && readErr == syscall.EAGAIN, n > 0
}

// close closes the connection and releases its slot. It may be called several times and from any goroutine.
func (c *conn) close() {
	_ = c.socket.Close()
	c.pool.mu.Lock()
	c.pool.releaseSlot(c)
	c.pool.mu.Unlock()
}

// readMore performs a single read into the input buffer. It returns an error only if no bytes were read.
func (c *conn) readMore() error {
	n, err := c.socket.Read(c.input.Free())
	c.input.Extend(n)
	if n > 0 {
		return nil
	}
	return err
}
