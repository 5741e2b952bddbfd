package simnet

import (
	"context"
	"fmt"
	"net"
	"os"
	"strings"
	"syscall"
	"time"
)

// maxRetryDelay is the longest pause before an opening packet is sent again after a cut.
const maxRetryDelay = 400 * time.Millisecond

var errRefused = os.NewSyscallError("connect", syscall.ECONNREFUSED)

// listener is an open port of a process. The network's mutex guards it.
type listener struct {
	network *Network
	process *Process
	key     string
	local   address
	backlog []*conn
	wake    chan struct{}
	closed  bool
}

// Listen opens a port, "ip:port", of the process's machine.
func (p *Process) Listen(_ context.Context, at string) (net.Listener, error) {
	n := p.network
	n.mutex.Lock()
	defer n.mutex.Unlock()
	key := p.key(at)
	if n.listeners[key] != nil {
		return nil, fmt.Errorf("simnet: %s: %w", at, syscall.EADDRINUSE)
	}
	made := &listener{network: n, process: p, key: key, local: address(at), wake: make(chan struct{}, 1)}
	n.listeners[key] = made
	p.listeners[made] = struct{}{}
	return made, nil
}

// key distinguishes ports on loopback of different machines.
func (p *Process) key(at string) string {
	if strings.HasPrefix(at, loopback+":") {
		return p.host + "/" + at
	}
	return at
}

// Addr returns the address that was opened.
func (l *listener) Addr() net.Addr { return l.local }

// Accept waits for a connection, and while the process is frozen.
func (l *listener) Accept() (net.Conn, error) {
	for {
		if !l.process.Await() {
			return nil, net.ErrClosed
		}
		accepted, closed := l.acceptNext()
		switch {
		case closed:
			return nil, net.ErrClosed
		case accepted != nil:
			return accepted, nil
		}
		<-l.wake
	}
}

func (l *listener) acceptNext() (accepted *conn, closed bool) {
	l.network.mutex.Lock()
	defer l.network.mutex.Unlock()
	if l.closed {
		return nil, true
	}
	if len(l.backlog) == 0 {
		return nil, false
	}
	accepted = l.backlog[0]
	l.backlog = l.backlog[1:]
	return accepted, false
}

// Close closes the port; connections that nobody has accepted are reset.
func (l *listener) Close() error {
	l.network.mutex.Lock()
	defer l.network.mutex.Unlock()
	l.close()
	return nil
}

func (l *listener) close() {
	if l.closed {
		return
	}
	l.closed = true
	delete(l.network.listeners, l.key)
	delete(l.process.listeners, l)
	for _, waiting := range l.backlog {
		if waiting.closed == nil {
			waiting.fail(errReset)
		}
	}
	l.backlog = nil
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Dial opens a connection to a port, "ip:port". Behind a cut it waits until that ends or ctx does.
func (p *Process) Dial(ctx context.Context, to string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(to)
	if err != nil {
		return nil, err
	}
	if host == loopback {
		host = p.host
	}
	path := Path{From: p.host, To: host}
	if err := p.reach(ctx, path); err != nil {
		return nil, err
	}
	made, err := p.connect(path, to)
	if err != nil {
		return nil, err
	}
	if !Sleep(ctx, p.network.Delay(path.reverse())) {
		_ = made.Close()
		return nil, context.Cause(ctx)
	}
	if !p.Await() {
		return nil, net.ErrClosed
	}
	return made, nil
}

// reach waits until an opening packet has arrived at the other machine and the answer can arrive.
func (p *Process) reach(ctx context.Context, path Path) error {
	for {
		if !p.Await() {
			return net.ErrClosed
		}
		changed := p.network.Changed()
		if !Sleep(ctx, p.network.Delay(path)) {
			return context.Cause(ctx)
		}
		if p.network.Open(path) && p.network.Open(path.reverse()) {
			return nil
		}
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-p.ended:
			return net.ErrClosed
		case <-changed:
		}
		if !Sleep(ctx, time.Duration(mix(uint64(p.network.Delay(path)))%uint64(maxRetryDelay))) {
			return context.Cause(ctx)
		}
	}
}

// connect joins a new connection to the port's backlog.
func (p *Process) connect(path Path, to string) (*conn, error) {
	n := p.network
	n.mutex.Lock()
	defer n.mutex.Unlock()
	port := n.listeners[p.key(to)]
	if port == nil || p.Dead() {
		return nil, errRefused
	}
	n.opened++
	here := &conn{network: n, process: p, path: path, local: address(path.From), remote: address(to), stream: 2 * n.opened, wake: make(chan struct{}, 1)}
	there := &conn{
		network: n, process: port.process, path: path.reverse(), local: address(to), remote: address(path.From),
		stream: 2*n.opened + 1, wake: make(chan struct{}, 1),
	}
	here.peer, there.peer = there, here
	for _, one := range []*conn{here, there} {
		n.conns[one] = struct{}{}
		one.process.conns[one] = struct{}{}
	}
	port.backlog = append(port.backlog, there)
	select {
	case port.wake <- struct{}{}:
	default:
	}
	return here, nil
}

// Sleep waits for a time and returns true, or returns false once ctx has ended.
func Sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
