package agent

import (
	"bytes"
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"time"

	"ospreybend/coord/membership"
	"ospreybend/coord/shards"
	"ospreybend/internal/controlplane/feedtransport"
	"ospreybend/internal/controlplane/registry"
)

const (
	// nodesRefreshInterval is the minimum time between two updates of the list of nodes.
	nodesRefreshInterval = 5 * time.Second
	// readRetryAfter is the delay after a read of the socket failed for another reason than its deadline.
	readRetryAfter = 100 * time.Millisecond
	// maxPacketBytes is the size of the read buffer, which is longer than any valid packet.
	maxPacketBytes = 64
)

// probing connects a membership.Prober to a UDP socket. Only the goroutine of run uses it.
type probing struct {
	socket *net.UDPConn
	prober *membership.Prober
	store  *store
	report func(topic string, body []byte)
	port   int

	nodesIndex           uint64    // index of the shard when the nodes were last updated
	nodesCheckedAt       time.Time // when the shard was last checked
	suspicionsRepeatedAt time.Time // when ongoing suspicions were last reported again
	sendBuffer           []byte
}

// startProbing starts a goroutine that answers the probes of other machines, probes some of them and passes suspicions to
// report, until ctx ends or stop is called. stop waits for the goroutine to end.
func startProbing(
	ctx context.Context, ip string, port int, options membership.Options, store *store,
	report func(topic string, body []byte),
) (stop func(), err error) {
	address, err := netip.ParseAddr(ip)
	if err != nil {
		return nil, err
	}
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(address, uint16(port))))
	if err != nil {
		return nil, err
	}
	p := &probing{
		socket: socket,
		prober: membership.NewProber(address.String(), options, rand.Uint64),
		store:  store,
		report: report,
		port:   port,
	}
	done := make(chan struct{})
	closeSocket := context.AfterFunc(ctx, func() { _ = socket.Close() })
	go func() {
		defer close(done)
		p.run(ctx)
	}()
	return func() {
		closeSocket()
		_ = socket.Close()
		<-done
	}, nil
}

// run receives packets and runs the prober's timers until ctx ends.
func (p *probing) run(ctx context.Context) {
	var buffer [maxPacketBytes]byte
	for ctx.Err() == nil {
		_ = p.socket.SetReadDeadline(p.nextDeadline())
		count, from, err := p.socket.ReadFromUDPAddrPort(buffer[:])
		now := time.Now()
		switch {
		case err == nil:
			p.receive(now, from, buffer[:count])
		case errors.Is(err, net.ErrClosed):
			return
		case !errors.Is(err, os.ErrDeadlineExceeded):
			time.Sleep(readRetryAfter)
		}
		p.refreshNodes(now)
		p.repeatSuspicions(now)
		if at, ok := p.prober.NextTick(); ok && !now.Before(at) {
			p.execute(p.prober.Tick(now))
		}
	}
}

// nextDeadline returns when the prober's next tick or the next refresh of the nodes is due.
func (p *probing) nextDeadline() time.Time {
	refreshAt := time.Now().Add(nodesRefreshInterval)
	if at, ok := p.prober.NextTick(); ok && at.Before(refreshAt) {
		return at
	}
	return refreshAt
}

// receive passes one packet to the prober. Invalid packets are ignored.
func (p *probing) receive(now time.Time, from netip.AddrPort, data []byte) {
	packet, err := membership.DecodePacket(data)
	if err != nil {
		return
	}
	from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
	p.execute(p.prober.Receive(now, from, packet))
}

// execute sends the packets that the prober requested and reports its findings.
func (p *probing) execute(actions membership.Actions) {
	for _, out := range actions.Packets {
		p.sendBuffer = out.Packet.Encode(p.sendBuffer[:0])
		_, _ = p.socket.WriteToUDPAddrPort(p.sendBuffer, out.To) // a failed write counts as a lost packet, which the prober handles
	}
	for _, finding := range actions.Findings {
		p.reportSuspicion(finding.Node.Name, finding.Suspected)
	}
}

// reportSuspicion reports that a machine is suspected to have failed, or is no longer suspected.
func (p *probing) reportSuspicion(ip string, suspected bool) {
	body, err := feedtransport.EncodeSuspicion(feedtransport.Suspicion{IP: ip, Suspected: suspected})
	if err == nil {
		p.report(feedtransport.TopicSuspicion, body)
	}
}

// repeatSuspicions reports ongoing suspicions again, every feedtransport.SuspicionRepeatInterval.
func (p *probing) repeatSuspicions(now time.Time) {
	if now.Sub(p.suspicionsRepeatedAt) < feedtransport.SuspicionRepeatInterval {
		return
	}
	p.suspicionsRepeatedAt = now
	for _, ip := range p.prober.Suspected() {
		p.reportSuspicion(ip, true)
	}
}

// refreshNodes updates the prober's list of nodes if its shard has changed.
func (p *probing) refreshNodes(now time.Time) {
	if !p.nodesCheckedAt.IsZero() && now.Sub(p.nodesCheckedAt) < nodesRefreshInterval {
		return
	}
	p.nodesCheckedAt = now
	values, index := p.store.valuesSince(nodesShard(), p.nodesIndex)
	if index == p.nodesIndex {
		return
	}
	p.nodesIndex = index
	p.prober.SetNodes(fleetNodes(values, p.port))
}

// nodesShard returns the shard in which the fleet's nodes are registered.
func nodesShard() shards.ID { return shards.ForService(registry.NodesService) }

// fleetNodes returns the fleet's nodes among the values of a shard's items, one for each IP. A node's name is its IP.
func fleetNodes(values [][]byte, port int) []membership.Node {
	var nodes []membership.Node
	seen := make(map[netip.Addr]bool)
	for _, value := range values {
		ip, ok := nodeIP(value)
		if !ok || seen[ip] {
			continue
		}
		seen[ip] = true
		nodes = append(nodes, membership.Node{
			Name:    ip.String(),
			Address: netip.AddrPortFrom(ip, uint16(port)),
		})
	}
	return nodes
}

// nodeIP returns the IP of an item that is a node of the fleet. ok is false for other items and for draining nodes.
func nodeIP(value []byte) (ip netip.Addr, ok bool) {
	if !bytes.Contains(value, []byte(registry.NodesService)) {
		return netip.Addr{}, false // avoids decoding most items
	}
	instance, err := registry.DecodeItem(value)
	if err != nil || instance.Service != registry.NodesService || instance.State == registry.Draining {
		return netip.Addr{}, false
	}
	address, err := netip.ParseAddrPort(instance.Address)
	return address.Addr(), err == nil
}
