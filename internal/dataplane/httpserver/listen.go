package httpserver

import (
	"context"
	"net"
	"syscall"
)

const (
	listenBacklog     = 4096 // maximum number of connections waiting to be accepted
	keepAliveDisabled = -1
)

// Listen opens a TCP listener on an IPv4 address ("ip:port") with a backlog of listenBacklog connections. TCP keep-alive probes are
// disabled on accepted connections, since deadlines already close those whose client has disappeared.
func Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAlive: keepAliveDisabled}
	config.SetMultipathTCP(false)
	listener, err := config.Listen(context.Background(), "tcp4", address)
	if err != nil {
		return nil, err
	}
	extendBacklog(listener)
	return listener, nil
}

// extendBacklog sets a longer backlog than the system's default. If that fails, the default stays in effect.
func extendBacklog(listener net.Listener) {
	tcp, ok := listener.(*net.TCPListener)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), listenBacklog) })
}
