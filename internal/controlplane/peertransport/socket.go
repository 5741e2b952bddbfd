package peertransport

import (
	"context"
	"net"
	"time"

	"ospreybend/internal/util/tcpsocket"
)

// Timeouts of the connections.
const (
	dialTimeout       = 500 * time.Millisecond
	tcpUserTimeout    = 1500 * time.Millisecond // TCP_USER_TIMEOUT: limits how long sent data may be unacknowledged
	writeTimeout      = 3 * time.Second         // for a chunk of writeChunkBytes, which may get only half; see renewDeadline
	firstFrameTimeout = 2 * time.Second         // for reading the first frame of an accepted connection
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
)

// keepAliveConfig makes TCP detect an unreachable peer on an idle connection.
var keepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}

// Dial opens a connection to a peer, with the socket options that detect an unreachable peer.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAliveConfig, Control: tcpsocket.UserTimeout(tcpUserTimeout)}
	return dialer.DialContext(ctx, "tcp4", address)
}

// Listen opens a listener for peers and readers of the feed. Its connections have the same socket options as those of Dial.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAliveConfig, Control: tcpsocket.UserTimeout(tcpUserTimeout)}
	return config.Listen(ctx, "tcp4", address)
}
