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
	maxDatagramBytes = 256 // a longer one is not to be sent
	peerListenRetry  = 20 * time.Millisecond
)

// PeersConfig is what the nodes' side is told.
type PeersConfig struct {
	Listen    string
	Peers     []string // by number, this node's own included
	Broadcast string   // reaches every node; may be empty
	Ordinal   int
}

// Peers sends datagrams to the other nodes of the tier.
type Peers struct {
	config    PeersConfig
	packets   *eventloop.Packets
	addresses []*net.UDPAddr
	broadcast *net.UDPAddr
	ordinals  map[netip.AddrPort]int
	closed    bool
	muted     bool
}

// NewPeers makes the adapter. Without an address to listen at it sends nothing.
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
		// The process that this one is to follow still has the address.
		slog.Info("peer_listen is in use, and asked for again", "address", config.Listen)
		p.retryOpen(loop, core)
		err = nil
	}
	return p, err
}

func (p *Peers) open(loop *eventloop.Loop, core *routing.Core) error {
	out, err := loop.ListenPackets(p.config.Listen, func(from netip.AddrPort, data []byte) {
		if i, ok := p.ordinals[unmapped(from)]; ok && i != p.config.Ordinal {
			core.PeerMessage(i, data)
		}
	})
	if err == nil {
		p.packets = out
	}
	return err
}

// retryOpen asks for the address until it is free. Until then peers are neither told
// nor heard.
func (p *Peers) retryOpen(loop *eventloop.Loop, core *routing.Core) {
	loop.Timers.Add(loop.Now()+peerListenRetry, func() {
		if p.closed || p.open(loop, core) == nil {
			return
		}
		p.retryOpen(loop, core)
	})
}

// Mute ends the telling: a node that leaves is not to count as one that serves.
func (p *Peers) Mute() { p.muted = true }

// Close lets go of the address, for the process that follows.
func (p *Peers) Close() {
	p.closed = true
	if p.packets != nil {
		p.packets.Close()
		p.packets = nil
	}
}

// unmapped writes an IPv4 address in its one short form.
func unmapped(a netip.AddrPort) netip.AddrPort { return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()) }

// SendMessage sends a message to one node, or to all with to < 0.
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
