package eventloop

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Listener accepts connections until it is closed.
type Listener struct {
	net.Listener
	slots   chan struct{}
	handOff func(net.Conn) // passes an accepted connection, which has its slot, to the loop
	open    atomic.Int32
	pending atomic.Int32 // accepted, and not registered with the loop yet
}

// Open returns the number of open connections, pending ones included.
func (in *Listener) Open() int { return int(in.open.Load()) }

// Pending returns the number of connections that are accepted and not registered with the loop
// yet. It may be called outside the loop.
func (in *Listener) Pending() int { return int(in.pending.Load()) }

// InheritListener returns the listener of a socket that this process was started with, by its
// descriptor's number. Other processes have the same socket: it may be closed here, but never
// shut down.
func InheritListener(descriptor string) (net.Listener, error) {
	fd, err := strconv.Atoi(descriptor)
	if err != nil || fd < 3 {
		return nil, fmt.Errorf("%q is no descriptor's number", descriptor)
	}
	if on, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN); err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", fd, err)
	} else if on == 0 {
		return nil, fmt.Errorf("descriptor %d: a socket that does not listen", fd)
	}
	f := os.NewFile(uintptr(fd), "inherited")
	if f == nil {
		return nil, fmt.Errorf("descriptor %d: none", fd)
	}
	defer f.Close() // the listener has a duplicate, which no child inherits
	ln, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", fd, err)
	}
	if _, ok := ln.(*net.TCPListener); !ok {
		return nil, errors.Join(fmt.Errorf("descriptor %d: no TCP socket", fd), ln.Close())
	}
	return shared{ln}, nil
}

// shared is a listening socket that other processes accept on too.
type shared struct{ net.Listener }

// Accept accepts connections on a listening socket, with at most maxOpen open at once; further
// ones wait in the listen backlog. accept is called on the loop with each, and ended once the
// listener has been closed and the last connection been registered.
func (l *Loop) Accept(ln net.Listener, maxOpen int, accept func(*Conn) Handler, ended func()) *Listener {
	listener := &Listener{Listener: ln, slots: make(chan struct{}, maxOpen)}
	listener.handOff = func(raw net.Conn) { listener.register(l, raw, accept) }
	go func() {
		listener.serve()
		for listener.Pending() > 0 {
			time.Sleep(time.Millisecond)
		}
		l.Post(ended)
	}()
	return listener
}

// serve accepts connections until the listener is closed.
func (in *Listener) serve() {
	for {
		in.slots <- struct{}{}
		raw, err := in.Accept()
		if err != nil {
			<-in.slots
			if isClosed(err) {
				return
			}
			time.Sleep(acceptBackoff) // perhaps out of descriptors, for the moment
			continue
		}
		in.handOff(raw)
	}
}

// register passes an accepted connection, which has its slot, to the loop.
func (in *Listener) register(loop *Loop, raw net.Conn, accept func(*Conn) Handler) {
	in.open.Add(1)
	in.pending.Add(1)
	leave := func() {
		in.open.Add(-1)
		<-in.slots
	}
	c := &Conn{loop: loop, onClose: leave}
	c.onOpen = func() {
		c.handler = accept(c)
		in.pending.Add(-1)
	}
	if _, err := loop.client.EnrollContext(raw, c); err != nil {
		in.pending.Add(-1)
		leave()
	}
}

// CloseAfterBacklog closes the listener once the connections in the listen backlog have been accepted: a
// close would reset those, with the requests on them. The backlog of a shared socket is left to the
// other processes. It does not block the loop.
func (in *Listener) CloseAfterBacklog() {
	go func() {
		for in.acceptWaiting() {
		}
		_ = in.Close()
	}()
}

// acceptWaiting accepts one connection of the backlog. It reports whether there may be more: it
// returns false if the backlog is empty or no slot is free.
func (in *Listener) acceptWaiting() bool {
	ln, ok := in.Listener.(*net.TCPListener)
	if !ok {
		return false
	}
	system, err := ln.SyscallConn()
	if err != nil {
		return false
	}
	select {
	case in.slots <- struct{}{}:
	default:
		return false
	}
	fd := -1
	// Not the listener's Accept, which would wait: another goroutine does so on the same socket.
	if err := system.Control(func(listening uintptr) {
		fd, _, err = unix.Accept4(int(listening), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
	}); err != nil || fd < 0 {
		<-in.slots
		return false
	}
	f := os.NewFile(uintptr(fd), "accepted")
	raw, err := net.FileConn(f)
	_ = f.Close()
	if err != nil {
		<-in.slots
		return true
	}
	in.handOff(raw)
	return true
}
