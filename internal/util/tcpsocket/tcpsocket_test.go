package tcpsocket

import (
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

const timeout = 1500 * time.Millisecond

// userTimeout returns the TCP_USER_TIMEOUT of a connection, in milliseconds.
func userTimeout(t *testing.T, connection net.Conn) int {
	t.Helper()
	rawConn, err := connection.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	value, optionErr := 0, error(nil)
	err = rawConn.Control(func(fd uintptr) {
		value, optionErr = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	})
	if err != nil || optionErr != nil {
		t.Fatalf("read TCP_USER_TIMEOUT: control error %v, option error %v", err, optionErr)
	}
	return value
}

// TestUserTimeout_dialedAndAccepted checks that a dialed connection has the timeout of its dialer and an accepted one that of
// its listener.
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
		t.Errorf("timeout of the dialed connection: got %d ms, want 3000 ms", got)
	}
	if got := userTimeout(t, accepted); got != 1500 {
		t.Errorf("timeout of the accepted connection: got %d ms, want 1500 ms", got)
	}
}
