// Package endtoend tests the built program as a fleet of processes on loopback, with injected faults: a proxy on each link
// withholds, delays or resets traffic in one direction or both, and processes are killed, frozen and restarted. It records
// the outcome of every request.
package endtoend

import (
	"net"
	"sync"
	"time"
)

// maxPendingFragments is how many fragments of a connection are buffered while its link withholds them.
const maxPendingFragments = 1024

// Link describes how a proxy treats the bytes of one direction.
type Link struct {
	Withheld bool          // bytes are delivered only once this is false again, as in a partition that heals
	Delay    time.Duration // of each fragment
	Cut      bool          // connections are reset, and new ones are closed at once
}

// Proxy relays the connections from one process to another. The process that connects is configured with the proxy's
// address.
type Proxy struct {
	From, To string // names of the process that connects and of the one that accepts
	target   string
	listener net.Listener

	mu        sync.Mutex
	changed   chan struct{} // closed and replaced when a link changes or the proxy closes
	out, in   Link          // from From to To, and back
	conns     map[net.Conn]bool
	sendTimes []time.Time     // when fragments were sent from From to To, if recording is set
	requests  map[string]bool // IDs of the requests that were sent from From to To, if recording is set
	recording bool
	ended     bool
}

// NewProxy starts a proxy at a free loopback port, which relays to the target.
func NewProxy(from, to, target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{From: from, To: to, target: target, listener: l, changed: make(chan struct{}), conns: map[net.Conn]bool{},
		requests: map[string]bool{}}
	go p.accept()
	return p, nil
}

// Address returns the address at which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetLinks replaces the treatment of the bytes from From to To and of those back.
func (p *Proxy) SetLinks(out, in Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.out, p.in = out, in
	close(p.changed)
	p.changed = make(chan struct{})
	if out.Cut || in.Cut {
		p.reset()
	}
}

// reset resets all connections. The caller holds the mutex.
func (p *Proxy) reset() {
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = true
	close(p.changed)
	p.changed = make(chan struct{})
	p.reset()
}

// StartRecording begins to record the fragments and requests that From sends.
func (p *Proxy) StartRecording() { p.mu.Lock(); p.recording = true; p.mu.Unlock() }

// HasRequest reports whether From has sent a request with the ID since StartRecording.
func (p *Proxy) HasRequest(id string) bool { p.mu.Lock(); defer p.mu.Unlock(); return p.requests[id] }

// SendTimes returns the times at which From has sent fragments since StartRecording.
func (p *Proxy) SendTimes() []time.Time { p.mu.Lock(); defer p.mu.Unlock(); return p.sendTimes }

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.relay(c)
	}
}

// add registers a connection, so that it can be reset later. It returns false if the connection is to be closed at once.
func (p *Proxy) add(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended || p.out.Cut || p.in.Cut {
		return false
	}
	p.conns[c] = true
	return true
}

// relay relays one connection until either end closes it.
func (p *Proxy) relay(client net.Conn) {
	defer p.remove(client)
	if !p.add(client) {
		return
	}
	// The client sends first. Its bytes are read and recorded while the link withholds them, and are sent on once the link
	// delivers again.
	first := p.read(client)
	head, ok := <-first
	if !ok || !p.await(func() Link { return p.out }) {
		return
	}
	select {
	case more, ok := <-first:
		if !ok {
			return // the client closed while the link withheld its bytes: none of them is delivered
		}
		head = append(head, more...)
	default:
	}
	server, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		return
	}
	defer p.remove(server)
	if !p.add(server) {
		return
	}
	done := make(chan struct{}, 2)
	go func() { p.forward(server, head, first, true); done <- struct{}{} }()
	go func() { p.forward(client, nil, p.read(server), false); done <- struct{}{} }()
	<-done
	_ = client.Close()
	_ = server.Close()
	<-done
}

// read sends the fragments that arrive on a connection to the returned channel, and closes that at the connection's end.
func (p *Proxy) read(from net.Conn) <-chan []byte {
	fragments := make(chan []byte, maxPendingFragments)
	outgoing := from.LocalAddr().String() == p.listener.Addr().String()
	go func() {
		defer close(fragments)
		var ids requestIDs
		for {
			buffer := make([]byte, 4<<10)
			n, err := from.Read(buffer)
			if n > 0 {
				if outgoing {
					p.recordOutgoing(ids.scan(buffer[:n]))
				}
				fragments <- buffer[:n]
			}
			if err != nil {
				return
			}
		}
	}()
	return fragments
}

// recordOutgoing records that From sent a fragment, and the request IDs in the header fields that the fragment completes.
func (p *Proxy) recordOutgoing(ids []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.recording {
		return
	}
	p.sendTimes = append(p.sendTimes, time.Now())
	for _, id := range ids {
		p.requests[id] = true
	}
}

func (p *Proxy) remove(c net.Conn) {
	p.mu.Lock()
	delete(p.conns, c)
	if tcp, ok := c.(*net.TCPConn); ok && (p.out.Cut || p.in.Cut) {
		_ = tcp.SetLinger(0)
	}
	p.mu.Unlock()
	_ = c.Close()
}

// await waits while the link withholds bytes. It returns false once the proxy is closed.
func (p *Proxy) await(link func() Link) bool {
	for {
		p.mu.Lock()
		l, changed, ended := link(), p.changed, p.ended
		p.mu.Unlock()
		if ended {
			return false
		}
		if !l.Withheld {
			return true
		}
		<-changed
	}
}

// forward delivers the head and then the fragments to one end, as the link of that direction allows, and closes its
// sending side after them.
func (p *Proxy) forward(to net.Conn, head []byte, fragments <-chan []byte, out bool) {
	link := func() Link {
		if out {
			return p.out
		}
		return p.in
	}
	deliver := func(fragment []byte) bool {
		p.mu.Lock()
		delay := link().Delay
		p.mu.Unlock()
		if delay > 0 {
			time.Sleep(delay)
		}
		if !p.await(link) {
			return false
		}
		_, err := to.Write(fragment)
		return err == nil
	}
	if len(head) > 0 && !deliver(head) {
		return
	}
	for fragment := range fragments {
		if !deliver(fragment) {
			return
		}
	}
	if half, ok := to.(*net.TCPConn); ok {
		_ = half.CloseWrite()
	}
}
