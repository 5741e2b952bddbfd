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

// Listener takes in connections until it is closed.
type Listener struct {
	net.Listener
	slots   chan struct{}
	handOff func(net.Conn) // an accepted connection, which has its place in room
	open    atomic.Int32
	pending atomic.Int32 // accepted, and not shown to the loop yet
}

// Open returns the number of connections open, those just being taken over by
// the loop included.
func (in *Listener) Open() int { return int(in.open.Load()) }

// Pending returns the number of connections that are accepted and not yet shown
// to the loop.
func (in *Listener) Pending() int { return int(in.pending.Load()) }

// InheritListener takes over a listening socket that this process was started with. Other
// processes hold the same socket: it may be closed here, but never shut down.
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
	defer f.Close() // the listener has a copy of its own, which no child inherits
	ln, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", fd, err)
	}
	if _, ok := ln.(*net.TCPListener); !ok {
		return nil, errors.Join(fmt.Errorf("descriptor %d: no TCP socket", fd), ln.Close())
	}
	return shared{ln}, nil
}

// shared is a listening socket that other processes hold too: what waits there is theirs as well.
type shared struct{ net.Listener }

// Accept accepts connections on a listening socket, at most most of them open at
// once; further ones wait in the system's queue. accept is called on the loop with
// each, and ended once the listener has been closed and the last one been shown.
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

func (in *Listener) serve() {
	for {
		in.slots <- struct{}{}
		raw, err := in.Accept()
		if err != nil {
			<-in.slots
			if isClosed(err) {
				return
			}
			time.Sleep(acceptBackoff) // out of descriptors, perhaps: they come back
			continue
		}
		in.handOff(raw)
	}
}

// register hands an accepted connection to the loop. It has its place in room.
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

// CloseAfterBacklog closes the listener once what the system has accepted by now is taken in: a close
// resets what still waits there, with the requests on it. What waits on a shared socket is
// left to the others. It does not hold up the loop.
func (in *Listener) CloseAfterBacklog() {
	go func() {
		for in.acceptWaiting() {
		}
		_ = in.Close()
	}()
}

// acceptWaiting takes in one connection that waits, and tells whether there was one and room for it.
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
	// Accept may be waiting on the same socket in another goroutine: this does not wait.
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
