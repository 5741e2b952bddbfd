package membership

import (
	"net/netip"
	"testing"
	"time"
)

// network delivers packets between probers on a simulated clock. Each packet takes latency.
type network struct {
	now         time.Time
	probers     map[netip.AddrPort]*Prober
	down        map[netip.AddrPort]bool
	partitioned map[[2]netip.AddrPort]bool // by sender and receiver
	inFlight    []delayedPacket
	findings    map[string][]Finding // by the node that reported them
	packetsSent int
}

// delayedPacket is a packet in flight, delivered at a time.
type delayedPacket struct {
	at       time.Time
	from, to netip.AddrPort
	packet   Packet
}

const (
	latency = 2 * time.Millisecond
	step    = time.Millisecond // of the simulated clock
)

// newNetwork returns a network of count nodes that all know each other.
func newNetwork(count int) *network {
	n := &network{
		now:         time.Unix(1000, 0),
		probers:     make(map[netip.AddrPort]*Prober),
		down:        make(map[netip.AddrPort]bool),
		partitioned: make(map[[2]netip.AddrPort]bool),
		findings:    make(map[string][]Finding),
	}
	var nodes []Node
	for i, name := range nodeNames(count) {
		nodes = append(nodes, Node{Name: name, Address: address(i)})
	}
	for i, node := range nodes {
		seed := uint64(i + 1)
		random := func() uint64 { seed = seed*6364136223846793005 + 1442695040888963407; return fmix64(seed) }
		prober := NewProber(node.Name, Options{}, random)
		prober.SetNodes(nodes)
		n.probers[node.Address] = prober
	}
	return n
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7662)
}

// run advances the clock in steps, delivers the packets that are due and calls Tick when a prober requires it.
func (n *network) run(span time.Duration) {
	for end := n.now.Add(span); n.now.Before(end); n.now = n.now.Add(step) {
		n.deliver()
		for from, prober := range n.probers {
			if at, ok := prober.NextTick(); ok && !n.down[from] && !n.now.Before(at) {
				n.apply(from, prober, prober.Tick(n.now))
			}
		}
	}
}

// deliver delivers the packets that are due. Packets from or to a node that is down, or between partitioned
// nodes, are lost.
func (n *network) deliver() {
	due := n.inFlight
	n.inFlight = nil
	for _, packet := range due {
		switch {
		case n.now.Before(packet.at):
			n.inFlight = append(n.inFlight, packet)
		case n.down[packet.to] || n.down[packet.from] || n.partitioned[[2]netip.AddrPort{packet.from, packet.to}]:
		default:
			n.apply(packet.to, n.probers[packet.to], n.probers[packet.to].Receive(n.now, packet.from, packet.packet))
		}
	}
}

// apply puts a prober's packets in flight and records its findings.
func (n *network) apply(from netip.AddrPort, prober *Prober, actions Actions) {
	for _, out := range actions.Packets {
		n.packetsSent++
		n.inFlight = append(n.inFlight, delayedPacket{at: n.now.Add(latency), from: from, to: out.To, packet: out.Packet})
	}
	n.findings[prober.self] = append(n.findings[prober.self], actions.Findings...)
}

// suspicions returns how many times a node was reported as suspected.
func (n *network) suspicions(node string) int {
	count := 0
	for _, findings := range n.findings {
		for _, finding := range findings {
			if finding.Suspected && finding.Node.Name == node {
				count++
			}
		}
	}
	return count
}

func TestProber_Tick_healthyNodesAreNotSuspected(t *testing.T) {
	n := newNetwork(10)
	n.run(20 * time.Second)
	for name, findings := range n.findings {
		if len(findings) > 0 {
			t.Errorf("%s: got findings %v, want none", name, findings)
		}
	}
	if perSecond := float64(n.packetsSent) / 10 / 20; perSecond > 2.2 {
		t.Errorf("got %.1f packets per node and second, want at most 2.2", perSecond)
	}
}

func TestProber_Tick_deadNodeIsSuspectedThenRecovers(t *testing.T) {
	n := newNetwork(10)
	n.run(5 * time.Second)
	n.down[address(4)] = true
	n.run(6 * time.Second)
	if n.suspicions("edge-004") == 0 {
		t.Error("edge-004 is down: got no suspicion of it, want at least one")
	}
	for _, name := range nodeNames(10) {
		if name != "edge-004" && n.suspicions(name) > 0 {
			t.Errorf("%s is running: got %d suspicions of it, want none", name, n.suspicions(name))
		}
	}
	n.down[address(4)] = false
	n.run(8 * time.Second)
	for _, prober := range n.probers {
		if prober.suspected["edge-004"] {
			t.Errorf("edge-004 is running again: %s still suspects it", prober.self)
		}
	}
}

func TestProber_Tick_partitionOfTwoNodesSuspectsNobody(t *testing.T) {
	n := newNetwork(10)
	target := Targets("edge-000", nodeNames(10), DefaultRings)[0]
	for i, name := range nodeNames(10) {
		if name == target {
			n.partitioned[[2]netip.AddrPort{address(0), address(i)}] = true
			n.partitioned[[2]netip.AddrPort{address(i), address(0)}] = true
		}
	}
	n.run(20 * time.Second)
	for _, name := range nodeNames(10) {
		if n.suspicions(name) > 0 {
			t.Errorf("only one pair is partitioned: got %d suspicions of %s, want none", n.suspicions(name), name)
		}
	}
}

func TestProber_Tick_isolatedNodeSuspectsNobody(t *testing.T) {
	n := newNetwork(10)
	for i := 1; i < 10; i++ {
		n.partitioned[[2]netip.AddrPort{address(0), address(i)}] = true
		n.partitioned[[2]netip.AddrPort{address(i), address(0)}] = true
	}
	n.run(20 * time.Second)
	if len(n.findings["edge-000"]) > 0 {
		t.Errorf("isolated edge-000: got findings %v, want none", n.findings["edge-000"])
	}
	if n.suspicions("edge-000") == 0 {
		t.Error("isolated edge-000: the others do not suspect it")
	}
}

func TestProber_Tick_stallDropsOutstandingProbes(t *testing.T) {
	n := newNetwork(3)
	prober := n.probers[address(0)]
	actions := prober.Tick(n.now)
	if len(actions.Packets) != 1 || actions.Packets[0].Packet.Kind != Ping {
		t.Fatalf("first tick: got %+v, want one Ping", actions)
	}
	actions = prober.Tick(n.now.Add(10 * time.Second))
	if len(actions.Packets) != 1 || actions.Packets[0].Packet.Kind != Ping {
		t.Errorf("tick after a stall of 10s: got %+v, want only the Ping of the next probe", actions)
	}
}

func TestProber_SetNodes_removedNodesAreNotProbed(t *testing.T) {
	n := newNetwork(3)
	prober := n.probers[address(0)]
	prober.Tick(n.now)
	prober.SetNodes(nil)
	if at, ok := prober.NextTick(); ok {
		t.Errorf("without nodes: the next tick is at %v, want none", at)
	}
}
