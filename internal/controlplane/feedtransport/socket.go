package feedtransport

import (
	"context"
	"net"
	"net/netip"
	"strconv"
	"time"

	"ospreybend/internal/util/tcpsocket"
)

// Limits of the feed's connections.
const (
	// DialTimeout is the maximum time for opening a connection.
	DialTimeout = 400 * time.Millisecond
	// WriteTimeout is how long a write may make no progress. The connection also breaks if the other machine does not
	// acknowledge sent bytes for that time (TCP_USER_TIMEOUT).
	WriteTimeout = 1500 * time.Millisecond

	// writeChunkBytes is the number of bytes that must be written within one WriteTimeout.
	writeChunkBytes = 16 << 10
	// keepAliveDisabled disables TCP keep-alive; the periodic statuses replace it.
	keepAliveDisabled = -1
)

// Dial opens a connection to address, "ip:port", with DialTimeout and the feed's socket options. Package net sets TCP_NODELAY
// on both ends by default.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: DialTimeout, KeepAlive: keepAliveDisabled, Control: tcpsocket.UserTimeout(WriteTimeout)}
	dialer.SetMultipathTCP(false)
	return dialer.DialContext(ctx, "tcp4", address)
}

// Listen opens a listener on address, "ip:port", whose connections have the feed's socket options.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAlive: keepAliveDisabled, Control: tcpsocket.UserTimeout(WriteTimeout)}
	config.SetMultipathTCP(false)
	return config.Listen(ctx, "tcp4", address)
}

// FeedAddress returns the address at which the machine with the IP of address, "ip:port", serves the feed. It returns false if
// address is invalid.
func FeedAddress(address string, feedPort int) (string, bool) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return "", false
	}
	return net.JoinHostPort(parsed.Addr().String(), strconv.Itoa(feedPort)), true
}

// writeAll writes data in chunks. It fails if a chunk cannot be written within timeout.
func writeAll(connection net.Conn, data []byte, timeout time.Duration) error {
	for len(data) > 0 {
		chunk := min(len(data), writeChunkBytes)
		if err := connection.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
			return err
		}
		if _, err := connection.Write(data[:chunk]); err != nil {
			return err
		}
		data = data[chunk:]
	}
	return nil
}
