package httpserver

import (
	"context"
	"net"
	"syscall"
)

const listenBacklog = 4096 // new connections that may wait to be accepted

// Listen opens a listener ("ip:port") with a long queue of new connections. Accepted connections send small pieces at once and
// have no probes: deadlines end those whose client has gone.
func Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAlive: -1}
	config.SetMultipathTCP(false)
	listener, err := config.Listen(context.Background(), "tcp4", address)
	if err != nil {
		return nil, err
	}
	extendBacklog(listener)
	return listener, nil
}

// extendBacklog asks for a longer queue than the system's default. Where that is refused the default stays.
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
