package localfleet

import (
	"fmt"
	"net"
	"sync"

	"github.com/rotisserie/eris"
)

// relay accepts connections at one address and forwards their bytes to another. Agents look for servers at
// the first port of their own range, which in a local fleet differs from edge to edge.
//
// Datagrams are not relayed: edges but the first one of a local fleet get no answers to their probes (such findings
// remove nobody), and their proxies do not receive each other's load.
type relay struct {
	listener net.Listener
	target   string
	link     Link

	mutex  sync.Mutex
	closed bool
	open   map[net.Conn]struct{}
}

// openRelays makes the servers reachable at the port where the i-th edge looks for them.
func (f *Fleet) openRelays(edge int) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	port := f.addresses.ports(edge)[0]
	if port == f.addresses.ports(0)[0] || f.hasRelays(port) {
		return nil
	}
	for server, target := range f.Peers() {
		opened, err := newRelay(fmt.Sprintf("%s:%d", f.address(networkServers, server), port), target, Link{})
		if err != nil {
			return err
		}
		f.relays = append(f.relays, opened)
	}
	return nil
}

func (f *Fleet) hasRelays(port int) bool {
	for _, one := range f.relays {
		if one.listener.Addr().(*net.TCPAddr).Port == port {
			return true
		}
	}
	return false
}

// SlowPeers makes the servers reachable over a slow link and returns the address of each by its own.
func (f *Fleet) SlowPeers(link Link) (map[string]string, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	addresses := map[string]string{}
	for server, target := range f.Peers() {
		opened, err := newRelay(f.address(networkServers, server)+":0", target, link)
		if err != nil {
			return nil, err
		}
		f.relays = append(f.relays, opened)
		addresses[target] = opened.listener.Addr().String()
	}
	return addresses, nil
}

func (f *Fleet) closeRelays() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, one := range f.relays {
		one.close()
	}
	f.relays = nil
}

func newRelay(address, target string, link Link) (*relay, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, eris.Wrap(err, "relay to a server")
	}
	r := &relay{listener: listener, target: target, link: link, open: map[net.Conn]struct{}{}}
	go r.accept()
	return r, nil
}

func (r *relay) accept() {
	for {
		connection, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.relay(connection)
	}
}

// relay joins a connection with one to the target until either ends.
func (r *relay) relay(connection net.Conn) {
	defer r.remove(connection)
	if !r.add(connection) {
		return
	}
	onward, err := net.Dial("tcp4", r.target)
	if err != nil {
		return
	}
	defer r.remove(onward)
	if !r.add(onward) {
		return
	}
	ended := make(chan struct{}, 2)
	join := func(to, from net.Conn) {
		r.link.copyBytes(to, from)
		ended <- struct{}{}
	}
	go join(onward, connection)
	go join(connection, onward)
	<-ended
}

// add records a connection and reports whether the relay is still open.
func (r *relay) add(connection net.Conn) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.open[connection] = struct{}{}
	return !r.closed
}

func (r *relay) remove(connection net.Conn) {
	_ = connection.Close()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.open, connection)
}

func (r *relay) close() {
	_ = r.listener.Close()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.closed = true
	for connection := range r.open {
		_ = connection.Close()
	}
}
