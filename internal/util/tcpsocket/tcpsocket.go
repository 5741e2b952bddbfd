// Package tcpsocket sets TCP socket options for which package net has no API. The transports of the control plane use it
// for their dialers and listeners.
package tcpsocket

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UserTimeout returns a Control function for net.Dialer and net.ListenConfig that sets TCP_USER_TIMEOUT (RFC 5482, in
// milliseconds): the kernel closes a connection if sent data stays unacknowledged for that time. Accepted connections inherit
// the option from their listener.
func UserTimeout(timeout time.Duration) func(network, address string, conn syscall.RawConn) error {
	return func(_, _ string, conn syscall.RawConn) error {
		var optionErr error
		err := conn.Control(func(fd uintptr) {
			optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout/time.Millisecond))
		})
		if err != nil {
			return err
		}
		return optionErr
	}
}
