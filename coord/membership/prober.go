package membership

import (
	"net/netip"
	"time"
)

// Options are a prober's intervals; zero values stand for the defaults.
type Options struct {
	ProbeInterval   time.Duration // between two pings; each goes to the next target
	AckTimeout      time.Duration // for the answer to a ping
	IndirectTimeout time.Duration // for the answers of the peers that are asked then
	Rings           int
}

const (
	defaultProbeInterval   = time.Second
	defaultAckTimeout      = 400 * time.Millisecond
	defaultIndirectTimeout = 900 * time.Millisecond

	// indirectProbes is how many peers must have had no answer either before a node is suspected.
	indirectProbes = 2
	// maxRelays bounds the pings that are out for others.
	maxRelays = 64
	// maxTickDelay is how late a call may come before the process counts as having stood still.
	maxTickDelay = 250 * time.Millisecond
)

// Node is one node of the fleet.
type Node struct {
	Name    string
	Address netip.AddrPort // where it answers pings
}

// Outgoing is a packet to be sent.
type Outgoing struct {
	To     netip.AddrPort
	Packet Packet
}

// Finding is what a round of probing found out about a node.
type Finding struct {
	Node      Node
	Suspected bool // false: a node that was suspected answers again
}

// Actions are what the caller has to carry out.
type Actions struct {
	Send     []Outgoing
	Findings []Finding
}

// probe is the question that is out to a target.
type probe struct {
	target            Node
	sequence          uint64
	deadline          time.Time
	indirectRequested int // 0: the target itself was asked
	noAcks            int
}

// relay is a ping that is out for another node.
type relay struct {
	requester netip.AddrPort
	sequence  uint64 // of the requester
	deadline  time.Time
}

// Prober pings this node's targets one after the other, and asks peers about one that does not
// answer. A node is suspected once peers have confirmed that it does not answer them either; a
// node that is cut off itself suspects nobody. It is used by one goroutine.
type Prober struct {
	self    string
	options Options
	random  func() uint64

	nodes     []Node
	targets   []Node
	turn      int
	sequence  uint64
	nextPing  time.Time
	probe     *probe
	relays    map[uint64]relay
	suspected map[string]bool
}

// NewProber prepares the prober of the node named self. Random returns uniform numbers.
func NewProber(self string, options Options, random func() uint64) *Prober {
	return &Prober{
		self:      self,
		options:   options.withDefaults(),
		random:    random,
		sequence:  random(),
		relays:    make(map[uint64]relay),
		suspected: make(map[string]bool),
	}
}

func (o Options) withDefaults() Options {
	if o.ProbeInterval == 0 {
		o.ProbeInterval = defaultProbeInterval
	}
	if o.AckTimeout == 0 {
		o.AckTimeout = defaultAckTimeout
	}
	if o.IndirectTimeout == 0 {
		o.IndirectTimeout = defaultIndirectTimeout
	}
	if o.Rings == 0 {
		o.Rings = Rings
	}
	return o
}

// SetNodes replaces the fleet's nodes. A probe of a node that is gone is given up.
func (p *Prober) SetNodes(nodes []Node) {
	byName := make(map[string]Node, len(nodes))
	names := make([]string, 0, len(nodes))
	for _, node := range nodes {
		byName[node.Name] = node
		names = append(names, node.Name)
	}
	p.nodes = nodes
	p.targets = p.targets[:0]
	for _, name := range Targets(p.self, names, p.options.Rings) {
		p.targets = append(p.targets, byName[name])
	}
	for name := range p.suspected {
		if _, ok := byName[name]; !ok {
			delete(p.suspected, name)
		}
	}
	if p.probe != nil && byName[p.probe.target.Name] != p.probe.target {
		p.probe = nil
	}
}

// NextAt says when Tick has to be called. It is false if nothing is to be waited for.
func (p *Prober) NextAt() (at time.Time, ok bool) {
	if len(p.targets) > 0 {
		at, ok = p.nextPing, true
	}
	if p.probe != nil && (!ok || p.probe.deadline.Before(at)) {
		at, ok = p.probe.deadline, true
	}
	for _, relay := range p.relays {
		if !ok || relay.deadline.Before(at) {
			at, ok = relay.deadline, true
		}
	}
	return at, ok
}

// Tick does what is due at a time.
func (p *Prober) Tick(now time.Time) Actions {
	var actions Actions
	if at, ok := p.NextAt(); ok && !at.IsZero() && now.Sub(at) > maxTickDelay {
		p.probe = nil
		clear(p.relays)
	}
	p.expireRelays(now, &actions)
	if p.probe != nil && !now.Before(p.probe.deadline) {
		p.handleProbeTimeout(now, &actions)
	}
	if len(p.targets) > 0 && !now.Before(p.nextPing) {
		p.nextPing = now.Add(p.options.ProbeInterval)
		if p.probe == nil {
			p.startProbe(now, &actions)
		}
	}
	return actions
}

// Receive takes a packet.
func (p *Prober) Receive(now time.Time, from netip.AddrPort, packet Packet) Actions {
	var actions Actions
	switch packet.Kind {
	case Ping:
		actions.send(from, Packet{Kind: Ack, Sequence: packet.Sequence})
	case Ack:
		p.handleAck(packet.Sequence, &actions)
	case NoAck:
		p.handleNoAck(packet.Sequence, &actions)
	case PingRequest:
		p.startRelay(now, from, packet, &actions)
	}
	return actions
}

func (a *Actions) send(to netip.AddrPort, packet Packet) {
	a.Send = append(a.Send, Outgoing{To: to, Packet: packet})
}

func (p *Prober) nextSequence() uint64 {
	p.sequence++
	return p.sequence
}
