package tcpsocket

import (
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

const timeout = 1500 * time.Millisecond

// userTimeout returns the option of a connection, in milliseconds.
func userTimeout(t *testing.T, connection net.Conn) int {
	t.Helper()
	raw, err := connection.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	value, failure := 0, error(nil)
	err = raw.Control(func(descriptor uintptr) {
		value, failure = unix.GetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	})
	if err != nil || failure != nil {
		t.Fatal(err, failure)
	}
	return value
}

// Both ends of a connection have the option: the dialer's, and that of the accepted one by its listener.
func TestUserTimeout_dialedAndAccepted(t *testing.T) {
	config := net.ListenConfig{Control: UserTimeout(timeout)}
	listener, err := config.Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	dialer := net.Dialer{Control: UserTimeout(2 * timeout)}
	dialed, err := dialer.DialContext(t.Context(), "tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = dialed.Close() })
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = accepted.Close() })
	if got := userTimeout(t, dialed); got != 3000 {
		t.Errorf("dialed: %d ms", got)
	}
	if got := userTimeout(t, accepted); got != 1500 {
		t.Errorf("accepted: %d ms", got)
	}
}
