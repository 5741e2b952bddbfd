package feedtransport

import (
	"context"
	"net"
	"net/netip"
	"strconv"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// DialTimeout bounds how long a connection may take to open.
	DialTimeout = 400 * time.Millisecond
	// WriteTimeout bounds how long a write may make no progress. Sent bytes that the other machine
	// does not acknowledge for as long break the connection (TCP_USER_TIMEOUT).
	WriteTimeout = 1500 * time.Millisecond

	// writeChunkBytes is what has to go out within one WriteLimit.
	writeChunkBytes = 16 << 10
	// keepAliveDisabled turns off keep-alive probes: statuses take their place.
	keepAliveDisabled = -1
)

// Dial opens a connection to address, "ip:port", with the feed's limits.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: DialTimeout, KeepAlive: keepAliveDisabled, Control: setUserTimeout}
	dialer.SetMultipathTCP(false)
	return dialer.DialContext(ctx, "tcp4", address)
}

// Listen opens a listener on address, "ip:port", whose connections have the feed's limits.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAlive: keepAliveDisabled, Control: setUserTimeout}
	config.SetMultipathTCP(false)
	return config.Listen(ctx, "tcp4", address)
}

// setUserTimeout sets TCP_USER_TIMEOUT before the connection opens; accepted connections take it over
// from their listener. Both ends have TCP_NODELAY, which package net sets by itself.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failure error
	set := func(descriptor uintptr) {
		milliseconds := int(WriteTimeout / time.Millisecond)
		failure = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, milliseconds)
	}
	if err := raw.Control(set); err != nil {
		return err
	}
	return failure
}

// FeedAddress returns where the machine of an address, "ip:port", serves the feed. It is false
// if the address is none.
func FeedAddress(address string, feedPort int) (string, bool) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return "", false
	}
	return net.JoinHostPort(parsed.Addr().String(), strconv.Itoa(feedPort)), true
}

// writeAll writes data in steps. It fails once a step has not gone out within limit.
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
