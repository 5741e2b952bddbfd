package localfleet

import (
	"fmt"
	"net"
	"sync"

	"github.com/rotisserie/eris"
)

// relay is a TCP relay from one address to another. Agents connect to servers at the first port of their own range,
// which in a local fleet differs from edge to edge.
//
// UDP is not relayed: every edge of a local fleet except the first gets no answers to its probes (which alone never
// remove a node), and its proxy receives no load reports from other proxies.
type relay struct {
	listener net.Listener
	target   string
	link     Link

	mutex       sync.Mutex
	closed      bool
	connections map[net.Conn]struct{}
}

// openRelays opens relays to the servers on the port at which the given edge's agent connects to them.
func (f *Fleet) openRelays(edge int) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	port := f.addresses.ports(edge)[0]
	if port == f.addresses.ports(0)[0] || f.hasRelays(port) {
		return nil
	}
	for server, target := range f.PeerAddresses() {
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

// RelayPeers opens relays to the servers over the given link and returns a map from each server's address to its
// relay's address.
func (f *Fleet) RelayPeers(link Link) (map[string]string, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	addresses := map[string]string{}
	for server, target := range f.PeerAddresses() {
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
		return nil, eris.Wrap(err, "listen for a relay to a server")
	}
	r := &relay{listener: listener, target: target, link: link, connections: map[net.Conn]struct{}{}}
	go r.accept()
	return r, nil
}

func (r *relay) accept() {
	for {
		connection, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.forward(connection)
	}
}

// forward connects to the target and copies bytes both ways until either connection ends.
func (r *relay) forward(connection net.Conn) {
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

// add registers a connection and reports whether the relay is still open.
func (r *relay) add(connection net.Conn) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.connections[connection] = struct{}{}
	return !r.closed
}

func (r *relay) remove(connection net.Conn) {
	_ = connection.Close()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.connections, connection)
}

func (r *relay) close() {
	_ = r.listener.Close()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.closed = true
	for connection := range r.connections {
		_ = connection.Close()
	}
}
