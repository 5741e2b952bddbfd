package peertransport

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Times of the connections.
const (
	dialTimeout       = 500 * time.Millisecond
	userTimeout       = 1500 * time.Millisecond // unacknowledged data ends the connection
	writeTimeout      = 3 * time.Second         // for each piece of writePieceBytes; at times down to half
	firstFrameTimeout = 2 * time.Second
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
)

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}

// Dial opens a connection to a peer, with the options that let a silent peer be found out.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive, Control: setUserTimeout}
	return dialer.DialContext(ctx, "tcp4", address)
}

// Listen opens the listener for peers and readers of the feed.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAlive, Control: setUserTimeout}
	return config.Listen(ctx, "tcp4", address)
}

// setUserTimeout bounds the time that sent data may stay unacknowledged; accepted connections
// inherit it from the listener.
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
