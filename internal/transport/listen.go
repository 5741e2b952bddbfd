package transport

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"
)

// Listener takes in connections until it is closed.
type Listener struct {
	net.Listener
	room   chan struct{}
	open   atomic.Int32
	coming atomic.Int32 // accepted, and not shown to the loop yet
}

// Open returns the number of connections open, those just being taken over by
// the loop included.
func (in *Listener) Open() int { return int(in.open.Load()) }

// Coming returns the number of connections that are accepted and not yet shown
// to the loop.
func (in *Listener) Coming() int { return int(in.coming.Load()) }

// Inherit takes over a listening socket that this process was started with. Other
// processes hold the same socket: it may be closed here, but never shut down.
func Inherit(descriptor string) (net.Listener, error) {
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
	return ln, nil
}

// Accept accepts connections on a listening socket, at most most of them open at
// once; further ones wait in the system's queue. accept is called on the loop with
// each, and ended once the listener has been closed and the last one been shown.
func (l *Loop) Accept(ln net.Listener, most int, accept func(*Conn) Handler, ended func()) *Listener {
	in := &Listener{Listener: ln, room: make(chan struct{}, most)}
	go func() {
		in.serve(l, accept)
		for in.Coming() > 0 {
			time.Sleep(time.Millisecond)
		}
		l.Post(ended)
	}()
	return in
}

func (in *Listener) serve(l *Loop, accept func(*Conn) Handler) {
	for {
		in.room <- struct{}{}
		raw, err := in.Listener.Accept()
		if err != nil {
			<-in.room
			if isClosed(err) {
				return
			}
			time.Sleep(acceptPause) // out of descriptors, perhaps: they come back
			continue
		}
		in.open.Add(1)
		in.coming.Add(1)
		leave := func() {
			in.open.Add(-1)
			<-in.room
		}
		c := &Conn{loop: l, leave: leave}
		c.opened = func() {
			c.handler = accept(c)
			in.coming.Add(-1)
		}
		if _, err := l.client.EnrollContext(raw, c); err != nil {
			in.coming.Add(-1)
			leave()
		}
	}
}
