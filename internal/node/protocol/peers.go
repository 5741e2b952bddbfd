package protocol

import (
	"errors"
	"log/slog"
	"net"
	"net/netip"
	"syscall"
	"time"

	"ospreybend/internal/node/eventloop"
	"ospreybend/internal/node/routing"
)

const (
	maxDatagramBytes = 256 // a longer message is not sent
	peerListenRetry  = 20 * time.Millisecond
)

// PeersConfig configures the datagrams between the nodes of the tier.
type PeersConfig struct {
	Listen    string
	Peers     []string // by number, this node's own included
	Broadcast string   // reaches every node; may be empty
	Ordinal   int
}

// Peers sends the balancer's messages to the other nodes of the tier as datagrams, and
// passes those received to the core. Datagrams of unknown senders are dropped.
type Peers struct {
	config    PeersConfig
	packets   *eventloop.DatagramSocket
	addresses []*net.UDPAddr
	broadcast *net.UDPAddr
	ordinals  map[netip.AddrPort]int
	closed    bool
	muted     bool
}

// NewPeers returns the adapter, listening. Without an address to listen on it sends and
// receives nothing. If the previous process of this node still has the address, NewPeers
// retries until it is free.
func NewPeers(config PeersConfig, loop *eventloop.Loop, core *routing.Core) (*Peers, error) {
	p := &Peers{config: config, ordinals: map[netip.AddrPort]int{}}
	if config.Listen == "" {
		return p, nil
	}
	for i, a := range config.Peers {
		at, err := net.ResolveUDPAddr("udp", a)
		if err != nil {
			return nil, err
		}
		p.addresses = append(p.addresses, at)
		p.ordinals[unmapped(at.AddrPort())] = i
	}
	if config.Broadcast != "" {
		at, err := net.ResolveUDPAddr("udp", config.Broadcast)
		if err != nil {
			return nil, err
		}
		p.broadcast = at
	}
	err := p.open(loop, core)
	if errors.Is(err, syscall.EADDRINUSE) {
		// The previous process of this node still has the address.
		slog.Info("peer_listen is in use, retrying", "address", config.Listen)
		p.retryOpen(loop, core)
		err = nil
	}
	return p, err
}

// open listens on the address.
func (p *Peers) open(loop *eventloop.Loop, core *routing.Core) error {
	out, err := loop.ListenDatagrams(p.config.Listen, func(from netip.AddrPort, data []byte) {
		if i, ok := p.ordinals[unmapped(from)]; ok && i != p.config.Ordinal {
			core.PeerMessage(i, data)
		}
	})
	if err == nil {
		p.packets = out
	}
	return err
}

// retryOpen tries to listen until the address is free. Until then nothing is sent or received.
func (p *Peers) retryOpen(loop *eventloop.Loop, core *routing.Core) {
	loop.Timers.Add(loop.Now()+peerListenRetry, func() {
		if p.closed || p.open(loop, core) == nil {
			return
		}
		p.retryOpen(loop, core)
	})
}

// Mute stops sending, so that the peers do not count a node that shuts down as serving.
func (p *Peers) Mute() { p.muted = true }

// Close releases the address for the next process of this node.
func (p *Peers) Close() {
	p.closed = true
	if p.packets != nil {
		p.packets.Close()
		p.packets = nil
	}
}

// unmapped returns an address with IPv4 in IPv6 unmapped, as keys of a map need it.
func unmapped(a netip.AddrPort) netip.AddrPort { return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()) }

// SendMessage implements routing.Peers: it sends a message to one node, by its ordinal, or to all others if to < 0.
func (p *Peers) SendMessage(to int, payload []byte) {
	switch {
	case p.packets == nil || p.muted:
	case len(payload) > maxDatagramBytes:
		slog.Error("message to peers too long", "bytes", len(payload))
	case to >= 0 && to < len(p.addresses):
		p.packets.Send(p.addresses[to], payload)
	case to < 0 && p.broadcast != nil:
		p.packets.Send(p.broadcast, payload)
	case to < 0:
		for i, at := range p.addresses {
			if i != p.config.Ordinal {
				p.packets.Send(at, payload)
			}
		}
	}
}
