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
	maxDatagram   = 256 // a longer one is not to be sent
	askPeersEvery = 20 * time.Millisecond
)

// PeersConfig is what the nodes' side is told.
type PeersConfig struct {
	Listen  string
	Peers   []string // by number, this node's own included
	All     string   // reaches every node; may be empty
	Ordinal int
}

// Peers sends datagrams to the other nodes of the tier.
type Peers struct {
	config PeersConfig
	out    *eventloop.Packets
	to     []*net.UDPAddr
	all    *net.UDPAddr
	from   map[netip.AddrPort]int
	closed bool
	hushed bool
}

// NewPeers makes the adapter. Without an address to listen at it sends nothing.
func NewPeers(config PeersConfig, loop *eventloop.Loop, core *routing.Core) (*Peers, error) {
	p := &Peers{config: config, from: map[netip.AddrPort]int{}}
	if config.Listen == "" {
		return p, nil
	}
	for i, a := range config.Peers {
		at, err := net.ResolveUDPAddr("udp", a)
		if err != nil {
			return nil, err
		}
		p.to = append(p.to, at)
		p.from[plain(at.AddrPort())] = i
	}
	if config.All != "" {
		at, err := net.ResolveUDPAddr("udp", config.All)
		if err != nil {
			return nil, err
		}
		p.all = at
	}
	err := p.open(loop, core)
	if errors.Is(err, syscall.EADDRINUSE) {
		// The process that this one is to follow still has the address.
		slog.Info("peer_listen is in use, and asked for again", "address", config.Listen)
		p.later(loop, core)
		err = nil
	}
	return p, err
}

func (p *Peers) open(loop *eventloop.Loop, core *routing.Core) error {
	out, err := loop.ListenPackets(p.config.Listen, func(from netip.AddrPort, data []byte) {
		if i, ok := p.from[plain(from)]; ok && i != p.config.Ordinal {
			core.Heard(i, data)
		}
	})
	if err == nil {
		p.out = out
	}
	return err
}

// later asks for the address until it is free. Until then peers are neither told
// nor heard.
func (p *Peers) later(loop *eventloop.Loop, core *routing.Core) {
	loop.Timers.Add(loop.Now()+askPeersEvery, func() {
		if p.closed || p.open(loop, core) == nil {
			return
		}
		p.later(loop, core)
	})
}

// Hush ends the telling: a node that leaves is not to count as one that serves.
func (p *Peers) Hush() { p.hushed = true }

// Close lets go of the address, for the process that follows.
func (p *Peers) Close() {
	p.closed = true
	if p.out != nil {
		p.out.Close()
		p.out = nil
	}
}

// plain writes an IPv4 address in its one short form.
func plain(a netip.AddrPort) netip.AddrPort { return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()) }

// Tell sends a message to one node, or to all with to < 0.
func (p *Peers) Tell(to int, payload []byte) {
	switch {
	case p.out == nil || p.hushed:
	case len(payload) > maxDatagram:
		slog.Error("message to peers too long", "bytes", len(payload))
	case to >= 0 && to < len(p.to):
		p.out.Send(p.to[to], payload)
	case to < 0 && p.all != nil:
		p.out.Send(p.all, payload)
	case to < 0:
		for i, at := range p.to {
			if i != p.config.Ordinal {
				p.out.Send(at, payload)
			}
		}
	}
}
