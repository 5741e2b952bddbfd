package peertransport

import (
	"context"
	"net"
	"time"

	"ospreybend/internal/util/tcpsocket"
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
	dialer := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive, Control: tcpsocket.UserTimeout(userTimeout)}
	return dialer.DialContext(ctx, "tcp4", address)
}

// Listen opens the listener for peers and readers of the feed, with the same socket options.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAlive, Control: tcpsocket.UserTimeout(userTimeout)}
	return config.Listen(ctx, "tcp4", address)
}
