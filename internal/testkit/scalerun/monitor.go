package scalerun

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
	"time"

	"ospreybend/coord/membership"
)

const (
	packetBufferSize = 64 // bytes; larger than any packet
	idleWait         = time.Second
)

// monitoring counts the datagrams of all hollow nodes in both directions.
type monitoring struct {
	datagrams, bytes atomic.Int64
}

// monitor runs the peer health checks of one hollow node.
type monitor struct {
	socket     *net.UDPConn
	prober     *membership.Prober
	counts     *monitoring
	sendBuffer []byte
}

// startMonitor sends and answers health checks in the background until ctx ends.
func startMonitor(ctx context.Context, self netip.Addr, port int, nodes []membership.Node, counts *monitoring) error {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(self, uint16(port))))
	if err != nil {
		return err
	}
	m := &monitor{socket: socket, counts: counts,
		prober: membership.NewProber(self.String(), membership.Options{}, rand.Uint64)}
	m.prober.SetNodes(nodes)
	context.AfterFunc(ctx, func() { _ = socket.Close() })
	go m.run()
	return nil
}

func (m *monitor) run() {
	var buffer [packetBufferSize]byte
	for {
		at, ok := m.prober.NextTick()
		if !ok {
			at = time.Now().Add(idleWait)
		}
		_ = m.socket.SetReadDeadline(at)
		count, from, err := m.socket.ReadFromUDPAddrPort(buffer[:])
		now := time.Now()
		switch {
		case err == nil:
			m.receive(now, from, buffer[:count])
		case errors.Is(err, net.ErrClosed):
			return
		case !errors.Is(err, os.ErrDeadlineExceeded):
			continue // ICMP error caused by an earlier datagram; the next read blocks again
		}
		m.send(m.prober.Tick(now))
	}
}

func (m *monitor) receive(now time.Time, from netip.AddrPort, data []byte) {
	m.counts.datagrams.Add(1)
	m.counts.bytes.Add(int64(len(data)))
	packet, err := membership.DecodePacket(data)
	if err != nil {
		return
	}
	m.send(m.prober.Receive(now, netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), packet))
}

func (m *monitor) send(actions membership.Actions) {
	for _, out := range actions.Packets {
		m.sendBuffer = out.Packet.Encode(m.sendBuffer[:0])
		m.counts.datagrams.Add(1)
		m.counts.bytes.Add(int64(len(m.sendBuffer)))
		_, _ = m.socket.WriteToUDPAddrPort(m.sendBuffer, out.To) // a lost health check is retried
	}
}
