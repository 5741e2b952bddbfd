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
	slots   chan struct{}  // one element for each open connection or running accept call
	handOff func(net.Conn) // registers an accepted connection, which has its slot, with the loop
	open    atomic.Int32
	pending atomic.Int32 // accepted and not registered with the loop yet
}

// Open returns the number of open connections, pending ones included.
func (ln *Listener) Open() int { return int(ln.open.Load()) }

// Pending returns the number of connections that are accepted and not registered with the loop
// yet. It may be called outside the loop.
func (ln *Listener) Pending() int { return int(ln.pending.Load()) }

// InheritListener returns the listener of a socket that this process has inherited, by its file
// descriptor. Other processes share the socket, so that it may be closed here but never shut
// down.
func InheritListener(descriptor string) (net.Listener, error) {
	fd, err := strconv.Atoi(descriptor)
	if err != nil || fd < 3 {
		return nil, fmt.Errorf("%q is not the number of an inherited descriptor", descriptor)
	}
	if listening, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN); err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", fd, err)
	} else if listening == 0 {
		return nil, fmt.Errorf("descriptor %d: the socket is not listening", fd)
	}
	f := os.NewFile(uintptr(fd), "inherited")
	if f == nil {
		return nil, fmt.Errorf("descriptor %d: invalid", fd)
	}
	defer f.Close() // the listener has a duplicate, which child processes do not inherit
	listener, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", fd, err)
	}
	if _, ok := listener.(*net.TCPListener); !ok {
		return nil, errors.Join(fmt.Errorf("descriptor %d: not a TCP socket", fd), listener.Close())
	}
	return sharedListener{listener}, nil
}

// sharedListener is a listening socket on which other processes accept too.
type sharedListener struct{ net.Listener }

// Accept accepts connections on a listening socket, with at most maxOpen open at once; further
// ones wait in the listen backlog. accept is called on the loop with each connection and returns
// its handler. ended is called once the listener is closed and the last connection is registered.
func (l *Loop) Accept(socket net.Listener, maxOpen int, accept func(*Conn) Handler, ended func()) *Listener {
	listener := &Listener{Listener: socket, slots: make(chan struct{}, maxOpen)}
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
func (ln *Listener) serve() {
	for {
		ln.slots <- struct{}{}
		raw, err := ln.Accept()
		if err != nil {
			<-ln.slots
			if isClosed(err) {
				return
			}
			time.Sleep(acceptBackoff) // the process may have run out of descriptors
			continue
		}
		ln.handOff(raw)
	}
}

// register registers an accepted connection, which has its slot, with the loop.
func (ln *Listener) register(loop *Loop, raw net.Conn, accept func(*Conn) Handler) {
	ln.open.Add(1)
	ln.pending.Add(1)
	release := func() {
		ln.open.Add(-1)
		<-ln.slots
	}
	c := &Conn{loop: loop, onClose: release}
	c.onOpen = func() {
		c.handler = accept(c)
		ln.pending.Add(-1)
	}
	if _, err := loop.client.EnrollContext(raw, c); err != nil {
		ln.pending.Add(-1)
		release()
	}
}

// CloseAfterBacklog closes the listener once the connections in the listen backlog are accepted: an
// earlier close would reset them, with the requests on them. The backlog of a shared socket is left
// to the other processes. It does not block the loop.
func (ln *Listener) CloseAfterBacklog() {
	go func() {
		for ln.acceptWaiting() {
		}
		_ = ln.Close()
	}()
}

// acceptWaiting accepts one connection of the backlog without blocking. It reports whether there
// may be more: it returns false if the backlog is empty, no slot is free or the socket is shared.
func (ln *Listener) acceptWaiting() bool {
	listener, ok := ln.Listener.(*net.TCPListener)
	if !ok {
		return false
	}
	rawConn, err := listener.SyscallConn()
	if err != nil {
		return false
	}
	select {
	case ln.slots <- struct{}{}:
	default:
		return false
	}
	fd := -1
	// The listener's Accept would block; serve does that in another goroutine.
	if err := rawConn.Control(func(listening uintptr) {
		fd, _, err = unix.Accept4(int(listening), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
	}); err != nil || fd < 0 {
		<-ln.slots
		return false
	}
	f := os.NewFile(uintptr(fd), "accepted")
	raw, err := net.FileConn(f)
	_ = f.Close()
	if err != nil {
		<-ln.slots
		return true
	}
	ln.handOff(raw)
	return true
}
