package peertransport

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Time-outs of the connections.
const (
	dialTimeout       = 500 * time.Millisecond
	userTimeout       = 1500 * time.Millisecond // TCP_USER_TIMEOUT: data unacknowledged for so long breaks the connection
	writeTimeout      = 3 * time.Second         // for each chunk of writeChunkBytes; at least half of it, see renewDeadline
	firstFrameTimeout = 2 * time.Second
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
)

// keepAlive detects a peer that is gone on a connection without data.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}

// Dial opens a connection to a peer, with the socket options that detect a peer that is gone.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive, Control: setUserTimeout}
	return dialer.DialContext(ctx, "tcp4", address)
}

// Listen opens the listener for peers and readers of the feed, with the same socket options.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAlive, Control: setUserTimeout}
	return config.Listen(ctx, "tcp4", address)
}

// setUserTimeout sets TCP_USER_TIMEOUT to userTimeout; accepted connections inherit it from the listener.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(descriptor uintptr) {
		failure = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout/time.Millisecond))
	})
	if err != nil {
		return err
	}
	return failure
}
