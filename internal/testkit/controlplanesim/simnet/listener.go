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

// maxRetryDelay bounds the delay before a SYN is sent again after a partition heals.
const maxRetryDelay = 400 * time.Millisecond

var errRefused = os.NewSyscallError("connect", syscall.ECONNREFUSED)

// listener is a listening port of a process. It is guarded by the mutex of the network.
type listener struct {
	network *Network
	process *Process
	key     string
	local   address
	backlog []*conn
	changed chan struct{}
	closed  bool
}

// Listen opens the given port, as "ip:port", on the machine of the process.
func (p *Process) Listen(_ context.Context, at string) (net.Listener, error) {
	n := p.network
	n.mutex.Lock()
	defer n.mutex.Unlock()
	key := p.key(at)
	if n.listeners[key] != nil {
		return nil, fmt.Errorf("simnet: %s: %w", at, syscall.EADDRINUSE)
	}
	opened := &listener{network: n, process: p, key: key, local: address(at), changed: make(chan struct{}, 1)}
	n.listeners[key] = opened
	p.listeners[opened] = struct{}{}
	return opened, nil
}

// key returns the key of an address in Network.listeners. Loopback addresses include the host, since each machine has its own.
func (p *Process) key(at string) string {
	if strings.HasPrefix(at, loopback+":") {
		return p.host + "/" + at
	}
	return at
}

// Addr returns the address that the listener was opened with.
func (l *listener) Addr() net.Addr { return l.local }

// Accept blocks until a connection arrives, and while the process is frozen.
func (l *listener) Accept() (net.Conn, error) {
	for {
		if !l.process.AwaitRunning() {
			return nil, net.ErrClosed
		}
		accepted, closed := l.popBacklog()
		switch {
		case closed:
			return nil, net.ErrClosed
		case accepted != nil:
			return accepted, nil
		}
		<-l.changed
	}
}

// popBacklog removes and returns the first connection of the backlog. It returns nil if there is none, and whether the listener is
// closed.
func (l *listener) popBacklog() (accepted *conn, closed bool) {
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

// Close closes the port and resets connections that were not accepted.
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
	case l.changed <- struct{}{}:
	default:
	}
}

// Dial opens a connection to a port, as "ip:port". During a partition it blocks until the partition heals or ctx ends.
func (p *Process) Dial(ctx context.Context, to string) (net.Conn, error) {
	opened, err := p.dial(ctx, to)
	if err != nil {
		return nil, err
	}
	return opened, nil
}

// DialWorker is like Dial, for a connection whose sent bytes may be unacknowledged for timeout; 0 means without limit. The other end has no
// time-outs. Bytes that a partition holds back arrive with the next retransmission, up to maxRetransmissionPause after its end.
func (p *Process) DialWorker(ctx context.Context, to string, timeout time.Duration) (net.Conn, error) {
	opened, err := p.dial(ctx, to)
	if err != nil {
		return nil, err
	}
	p.network.mutex.Lock()
	defer p.network.mutex.Unlock()
	opened.worker, opened.peer.worker = true, true
	opened.userTimeout, opened.peer.userTimeout = timeout, 0
	return opened, nil
}

func (p *Process) dial(ctx context.Context, to string) (*conn, error) {
	host, _, err := net.SplitHostPort(to)
	if err != nil {
		return nil, err
	}
	if host == loopback {
		host = p.host
	}
	path := Path{From: p.host, To: host}
	if err := p.waitReachable(ctx, path); err != nil {
		return nil, err
	}
	opened, err := p.connect(path, to)
	if err != nil {
		return nil, err
	}
	if !Sleep(ctx, p.network.Delay(path.reverse())) {
		_ = opened.Close()
		return nil, context.Cause(ctx)
	}
	if !p.AwaitRunning() {
		return nil, net.ErrClosed
	}
	return opened, nil
}

// waitReachable blocks until a SYN has reached the other machine and its answer can return.
func (p *Process) waitReachable(ctx context.Context, path Path) error {
	for {
		if !p.AwaitRunning() {
			return net.ErrClosed
		}
		changed := p.network.PathsChanged()
		if !Sleep(ctx, p.network.Delay(path)) {
			return context.Cause(ctx)
		}
		if p.network.Reachable(path) && p.network.Reachable(path.reverse()) {
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

// connect creates a connection and adds it to the backlog of the port.
func (p *Process) connect(path Path, to string) (*conn, error) {
	n := p.network
	n.mutex.Lock()
	defer n.mutex.Unlock()
	port := n.listeners[p.key(to)]
	if port == nil || p.Dead() {
		return nil, errRefused
	}
	n.lastStream++
	here := &conn{network: n, process: p, path: path, local: address(path.From), remote: address(to), stream: 2 * n.lastStream, changed: make(chan struct{}, 1), userTimeout: userTimeout}
	there := &conn{
		network: n, process: port.process, path: path.reverse(), local: address(to), remote: address(path.From),
		stream: 2*n.lastStream + 1, changed: make(chan struct{}, 1), userTimeout: userTimeout,
	}
	here.peer, there.peer = there, here
	for _, end := range []*conn{here, there} {
		n.conns[end] = struct{}{}
		end.process.conns[end] = struct{}{}
	}
	port.backlog = append(port.backlog, there)
	select {
	case port.changed <- struct{}{}:
	default:
	}
	return here, nil
}

// Sleep waits for the given duration and returns true, or returns false as soon as ctx ends.
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
