package httpserver

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// rawConnOf returns the socket below a connection, or nil if there is none.
func rawConnOf(connection net.Conn) syscall.RawConn {
	system, ok := connection.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// hasHungUp reports whether the client has closed its side or the whole connection. It does not read: bytes sent before may still be
// unread. A client that has closed its side alone counts as gone: on the wire it cannot be told from one that has closed the
// connection, until a response is written to it.
func (c *conn) hasHungUp() bool {
	if c.rawConn == nil {
		return false
	}
	ended := false
	err := c.rawConn.Control(func(descriptor uintptr) {
		poll := []unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLRDHUP}}
		count, err := unix.Poll(poll, 0)
		ended = err == nil && count > 0
	})
	return err != nil || ended
}
