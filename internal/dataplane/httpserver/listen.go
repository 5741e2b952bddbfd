package httpserver

import (
	"context"
	"net"
	"syscall"
)

const (
	listenBacklog     = 4096 // connections that may wait to be accepted
	keepAliveDisabled = -1
)

// Listen opens a listener on an address ("ip:port") with a long backlog of connections to be accepted. Accepted connections have no
// keep-alive probes: deadlines end those whose client has gone.
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

// extendBacklog asks for a longer backlog than the system's default. If the system rejects it the default stays.
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
