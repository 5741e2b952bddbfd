package httpserver

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// rawConnOf returns access to the file descriptor of a connection, or nil if the connection has none.
func rawConnOf(netConn net.Conn) syscall.RawConn {
	withDescriptor, ok := netConn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := withDescriptor.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// clientHasClosed reports whether the client has closed its sending side or the whole connection. It does not read, so bytes sent
// before may still be unread. A client that has closed only its sending side counts as disconnected: until a response is written to
// it, it cannot be distinguished from one that has closed the connection.
func (c *conn) clientHasClosed() bool {
	if c.rawConn == nil {
		return false
	}
	closed := false
	err := c.rawConn.Control(func(descriptor uintptr) {
		descriptors := []unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLRDHUP}}
		count, err := unix.Poll(descriptors, 0)
		closed = err == nil && count > 0
	})
	return err != nil || closed
}
