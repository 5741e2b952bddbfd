package membership

import (
	"encoding/binary"
	"errors"
	"net/netip"
	"strconv"
)

// PacketKind is the kind of a packet. Its numeric values are part of the wire format.
type PacketKind uint8

// The kinds of packets.
const (
	Ping        PacketKind = 1 // asks for an Ack
	Ack         PacketKind = 2 // answers a Ping, or a PingRequest whose Target was reached
	PingRequest PacketKind = 3 // asks a peer to ping Target
	NoAck       PacketKind = 4 // answers a PingRequest whose Target sent no Ack in time
)

// String returns the name of the kind.
func (k PacketKind) String() string {
	switch k {
	case Ping:
		return "Ping"
	case Ack:
		return "Ack"
	case PingRequest:
		return "PingRequest"
	case NoAck:
		return "NoAck"
	default:
		return "packet kind " + strconv.Itoa(int(k))
	}
}

// Packet is one datagram between two nodes.
type Packet struct {
	Kind     PacketKind
	Sequence uint64         // an answer has the sequence of its request
	Target   netip.AddrPort // only in PingRequest; IPv4
}

// PacketBytes is the length of an encoded packet.
const PacketBytes = 15

// ErrBadPacket is returned for data that is not a valid packet.
var ErrBadPacket = errors.New("membership: packet has a wrong length or an unknown kind")

// Encode appends the encoded packet to buffer: kind, sequence, and the target's IPv4 address and port, in
// big-endian byte order.
func (p Packet) Encode(buffer []byte) []byte {
	buffer = append(buffer, byte(p.Kind))
	buffer = binary.BigEndian.AppendUint64(buffer, p.Sequence)
	var address [4]byte
	if p.Target.Addr().Is4() {
		address = p.Target.Addr().As4()
	}
	buffer = append(buffer, address[:]...)
	return binary.BigEndian.AppendUint16(buffer, p.Target.Port())
}

// DecodePacket decodes a packet. It returns ErrBadPacket for a wrong length or an unknown kind.
func DecodePacket(data []byte) (Packet, error) {
	if len(data) != PacketBytes {
		return Packet{}, ErrBadPacket
	}
	packet := Packet{Kind: PacketKind(data[0]), Sequence: binary.BigEndian.Uint64(data[1:9])}
	switch packet.Kind {
	case Ping, Ack, NoAck:
	case PingRequest:
		address := netip.AddrFrom4([4]byte(data[9:13]))
		packet.Target = netip.AddrPortFrom(address, binary.BigEndian.Uint16(data[13:15]))
	default:
		return Packet{}, ErrBadPacket
	}
	return packet, nil
}
