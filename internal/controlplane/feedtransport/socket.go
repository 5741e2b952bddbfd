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
	// DialLimit bounds how long a connection may take to open.
	DialLimit = 400 * time.Millisecond
	// WriteLimit bounds how long a write may make no progress. Sent bytes that the other machine
	// does not acknowledge for as long break the connection (TCP_USER_TIMEOUT).
	WriteLimit = 1500 * time.Millisecond

	// writeStepBytes is what has to go out within one WriteLimit.
	writeStepBytes = 16 << 10
	// keepAliveOff turns off keep-alive probes: statuses take their place.
	keepAliveOff = -1
)

// Dial opens a connection to address, "ip:port", with the feed's limits.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: DialLimit, KeepAlive: keepAliveOff, Control: limitSocket}
	dialer.SetMultipathTCP(false)
	return dialer.DialContext(ctx, "tcp4", address)
}

// Listen opens a listener on address, "ip:port", whose connections have the feed's limits.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAlive: keepAliveOff, Control: limitSocket}
	config.SetMultipathTCP(false)
	return config.Listen(ctx, "tcp4", address)
}

// limitSocket sets TCP_USER_TIMEOUT before the connection opens; accepted connections take it over
// from their listener. Both ends have TCP_NODELAY, which package net sets by itself.
func limitSocket(_, _ string, raw syscall.RawConn) error {
	var failure error
	set := func(descriptor uintptr) {
		milliseconds := int(WriteLimit / time.Millisecond)
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
func writeAll(connection net.Conn, data []byte, limit time.Duration) error {
	for len(data) > 0 {
		step := min(len(data), writeStepBytes)
		if err := connection.SetWriteDeadline(time.Now().Add(limit)); err != nil {
			return err
		}
		if _, err := connection.Write(data[:step]); err != nil {
			return err
		}
		data = data[step:]
	}
	return nil
}
