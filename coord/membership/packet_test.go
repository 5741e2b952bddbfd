package membership

import (
	"errors"
	"net/netip"
	"testing"
)

func TestDecodePacket_decodesEncodedPackets(t *testing.T) {
	packets := []Packet{
		{Kind: Ping, Sequence: 1},
		{Kind: Ack, Sequence: 1<<64 - 1},
		{Kind: NoAck, Sequence: 7},
		{Kind: PingRequest, Sequence: 9, Target: netip.MustParseAddrPort("10.1.0.35:7662")},
	}
	for _, packet := range packets {
		encoded := packet.Encode(nil)
		if len(encoded) != PacketBytes {
			t.Errorf("encoding %+v: got %d bytes, want %d", packet, len(encoded), PacketBytes)
		}
		decoded, err := DecodePacket(encoded)
		if err != nil || decoded != packet {
			t.Errorf("decoding %x: got %+v, error %v; want %+v", encoded, decoded, err, packet)
		}
	}
	for _, bad := range [][]byte{nil, {1}, make([]byte, PacketBytes), make([]byte, PacketBytes+1)} {
		if _, err := DecodePacket(bad); !errors.Is(err, ErrBadPacket) {
			t.Errorf("decoding %x: got error %v, want %v", bad, err, ErrBadPacket)
		}
	}
}

func TestPacketKind_String(t *testing.T) {
	for kind, want := range map[PacketKind]string{
		Ping: "Ping", Ack: "Ack", PingRequest: "PingRequest", NoAck: "NoAck", 9: "packet kind 9",
	} {
		if got := kind.String(); got != want {
			t.Errorf("String of kind %d: got %q, want %q", kind, got, want)
		}
	}
}
