package membership

import (
	"maps"
	"net/netip"
	"slices"
	"time"
)

// Options configures a Prober. Zero values stand for the defaults.
type Options struct {
	ProbeInterval   time.Duration // between two probes; each probe goes to the next target
	AckTimeout      time.Duration // for the Ack of a Ping
	IndirectTimeout time.Duration // for the answers of the peers that are asked to ping the target
	Rings           int           // number of hash rings, each of which gives a node one target; see Targets
}

const (
	defaultProbeInterval   = time.Second
	defaultAckTimeout      = 400 * time.Millisecond
	defaultIndirectTimeout = 900 * time.Millisecond

	// indirectProbes is the number of peers that are asked to ping a target. All of them must get no Ack before the
	// target is suspected.
	indirectProbes = 2
	// maxRelays bounds the outstanding pings on behalf of other nodes.
	maxRelays = 64
	// maxTickDelay is how late Tick may be called before the process counts as stalled. Answers that it then lacks
	// say nothing about other nodes.
	maxTickDelay = 250 * time.Millisecond
)

// Node is one node of the fleet.
type Node struct {
	Name    string
	Address netip.AddrPort // where it answers pings
}

// OutgoingPacket is a packet to send.
type OutgoingPacket struct {
	To     netip.AddrPort
	Packet Packet
}

// Finding is what a probe found out about a node.
type Finding struct {
	Node      Node
	Suspected bool // false: a suspected node answers again
}

// Actions tells the caller which packets to send and which findings to report.
type Actions struct {
	Packets  []OutgoingPacket
	Findings []Finding
}

// probe is the outstanding probe of a target.
type probe struct {
	target           Node
	sequence         uint64
	deadline         time.Time
	indirectRequests int // peers asked to ping the target; 0: only this node has pinged it
	noAcks           int // number of those peers that reported no Ack
}

// relay is an outstanding ping on behalf of another node.
type relay struct {
	requester netip.AddrPort
	sequence  uint64 // of the requester's packet
	deadline  time.Time
}

// Prober pings this node's targets in turn, and asks peers to ping a target that does not answer. A target is
// suspected once all peers that were asked report that it does not answer them either. A node that is itself
// isolated receives no such reports, and therefore suspects no other. A Prober is not safe for concurrent use.
type Prober struct {
	self    string
	options Options
	random  func() uint64

	nodes        []Node
	targets      []Node
	probeCount   int // probes started; selects the next target
	lastSequence uint64
	nextProbe    time.Time
	probe        *probe
	relays       map[uint64]relay
	suspected    map[string]bool
}

// NewProber returns the prober of the node named self. The function random must return uniformly distributed
// numbers.
func NewProber(self string, options Options, random func() uint64) *Prober {
	return &Prober{
		self:         self,
		options:      options.withDefaults(),
		random:       random,
		lastSequence: random(),
		relays:       make(map[uint64]relay),
		suspected:    make(map[string]bool),
	}
}

// withDefaults returns the options with defaults for zero values.
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
		o.Rings = DefaultRings
	}
	return o
}

// Suspected returns the names of the nodes that are currently suspected, sorted.
func (p *Prober) Suspected() []string { return slices.Sorted(maps.Keys(p.suspected)) }

// SetNodes replaces the list of nodes. It drops suspicions of nodes that are no longer in the list, and a
// probe of a node that is no longer in it or has another address.
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

// NextTick returns when Tick must be called next. It returns false if no call is needed.
func (p *Prober) NextTick() (at time.Time, ok bool) {
	if len(p.targets) > 0 {
		at, ok = p.nextProbe, true
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

// Tick handles the timeouts that have passed and starts the next probe if it is due. If the call is later than
// maxTickDelay, outstanding probes and relays are dropped instead.
func (p *Prober) Tick(now time.Time) Actions {
	var actions Actions
	if at, ok := p.NextTick(); ok && !at.IsZero() && now.Sub(at) > maxTickDelay {
		p.probe = nil
		clear(p.relays)
	}
	p.expireRelays(now, &actions)
	if p.probe != nil && !now.Before(p.probe.deadline) {
		p.handleProbeTimeout(now, &actions)
	}
	if len(p.targets) > 0 && !now.Before(p.nextProbe) {
		p.nextProbe = now.Add(p.options.ProbeInterval)
		if p.probe == nil {
			p.startProbe(now, &actions)
		}
	}
	return actions
}

// Receive handles a packet received from another node.
func (p *Prober) Receive(now time.Time, from netip.AddrPort, packet Packet) Actions {
	var actions Actions
	switch packet.Kind {
	case Ping:
		actions.sendPacket(from, Packet{Kind: Ack, Sequence: packet.Sequence})
	case Ack:
		p.handleAck(packet.Sequence, &actions)
	case NoAck:
		p.handleNoAck(packet.Sequence, &actions)
	case PingRequest:
		p.startRelay(now, from, packet, &actions)
	}
	return actions
}

// sendPacket adds a packet to send.
func (a *Actions) sendPacket(to netip.AddrPort, packet Packet) {
	a.Packets = append(a.Packets, OutgoingPacket{To: to, Packet: packet})
}

// nextSequence returns a sequence that no outstanding ping of this node has.
func (p *Prober) nextSequence() uint64 {
	p.lastSequence++
	return p.lastSequence
}
