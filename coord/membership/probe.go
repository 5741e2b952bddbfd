package membership

import (
	"net/netip"
	"time"
)

// startProbe pings the next target.
func (p *Prober) startProbe(now time.Time, actions *Actions) {
	p.probeCount++
	target := p.targets[p.probeCount%len(p.targets)]
	p.probe = &probe{target: target, sequence: p.nextSequence(), deadline: now.Add(p.options.AckTimeout)}
	actions.sendPacket(target.Address, Packet{Kind: Ping, Sequence: p.probe.sequence})
}

// handleProbeTimeout asks peers to ping a target that did not answer a ping in time. If they have been asked
// already and some did not answer in time, it ends the probe without a result.
func (p *Prober) handleProbeTimeout(now time.Time, actions *Actions) {
	if p.probe.indirectRequests > 0 {
		p.probe = nil
		return
	}
	peers := p.randomPeers(p.probe.target)
	if len(peers) == 0 {
		p.probe = nil
		return
	}
	p.probe.indirectRequests = len(peers)
	p.probe.deadline = now.Add(p.options.IndirectTimeout)
	for _, peer := range peers {
		actions.sendPacket(peer.Address, Packet{
			Kind: PingRequest, Sequence: p.probe.sequence, Target: p.probe.target.Address,
		})
	}
}

// randomPeers draws the peers that are asked to ping a target. Suspected nodes are excluded.
func (p *Prober) randomPeers(target Node) []Node {
	others := make([]Node, 0, len(p.nodes))
	for _, node := range p.nodes {
		if node.Name != p.self && node.Name != target.Name && !p.suspected[node.Name] {
			others = append(others, node)
		}
	}
	count := min(indirectProbes, len(others))
	for i := range count { // the first steps of a Fisher-Yates shuffle
		other := i + int(p.random()%uint64(len(others)-i))
		others[i], others[other] = others[other], others[i]
	}
	return others[:count]
}

// handleAck ends the probe or relay with a sequence. A relay forwards the Ack; a probe clears the suspicion
// of its target.
func (p *Prober) handleAck(sequence uint64, actions *Actions) {
	if relay, ok := p.relays[sequence]; ok {
		delete(p.relays, sequence)
		actions.sendPacket(relay.requester, Packet{Kind: Ack, Sequence: relay.sequence})
		return
	}
	if p.probe == nil || p.probe.sequence != sequence {
		return
	}
	target := p.probe.target
	p.probe = nil
	if p.suspected[target.Name] {
		delete(p.suspected, target.Name)
		actions.Findings = append(actions.Findings, Finding{Node: target})
	}
}

// handleNoAck counts a peer that got no Ack from the probe's target. The target is suspected once all peers
// that were asked have reported that.
func (p *Prober) handleNoAck(sequence uint64, actions *Actions) {
	if p.probe == nil || p.probe.sequence != sequence || p.probe.indirectRequests == 0 {
		return
	}
	p.probe.noAcks++
	if p.probe.noAcks < p.probe.indirectRequests {
		return
	}
	target := p.probe.target
	p.probe = nil
	p.suspected[target.Name] = true
	actions.Findings = append(actions.Findings, Finding{Node: target, Suspected: true})
}

// startRelay pings a node on behalf of another, unless too many such pings are outstanding.
func (p *Prober) startRelay(now time.Time, from netip.AddrPort, request Packet, actions *Actions) {
	if len(p.relays) >= maxRelays {
		return
	}
	sequence := p.nextSequence()
	p.relays[sequence] = relay{
		requester: from, sequence: request.Sequence, deadline: now.Add(p.options.AckTimeout),
	}
	actions.sendPacket(request.Target, Packet{Kind: Ping, Sequence: sequence})
}

// expireRelays answers NoAck for relayed pings that have timed out.
func (p *Prober) expireRelays(now time.Time, actions *Actions) {
	for sequence, relay := range p.relays {
		if now.Before(relay.deadline) {
			continue
		}
		delete(p.relays, sequence)
		actions.sendPacket(relay.requester, Packet{Kind: NoAck, Sequence: relay.sequence})
	}
}
