// Package tcpsocket sets options of TCP sockets for which package net has no API. The transports of the control plane pass
// them to their dialers and listeners.
package tcpsocket

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UserTimeout returns a Control function for net.Dialer and net.ListenConfig that sets TCP_USER_TIMEOUT (RFC 5482, in
// milliseconds): a connection breaks once sent data was unacknowledged for so long. Accepted connections inherit the option
// from their listener.
func UserTimeout(timeout time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var failure error
		err := raw.Control(func(descriptor uintptr) {
			failure = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout/time.Millisecond))
		})
		if err != nil {
			return err
		}
		return failure
	}
}
