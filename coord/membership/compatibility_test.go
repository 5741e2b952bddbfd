package membership_test

import (
	"bytes"
	"net/netip"
	"os"
	"path/filepath"
	"testing"

	"ospreybend/coord/membership"
)

// compatibilityFolder contains packets as encoded by commit 8782861.
const compatibilityFolder = "testdata/v8782861"

// compatibilityPackets returns one packet of each kind, by the name of its fixture.
func compatibilityPackets() map[string]membership.Packet {
	return map[string]membership.Packet{
		"ping":         {Kind: membership.Ping, Sequence: 1<<64 - 2},
		"ack":          {Kind: membership.Ack, Sequence: 7},
		"ping-request": {Kind: membership.PingRequest, Sequence: 8, Target: netip.MustParseAddrPort("192.0.2.7:7300")},
		"no-ack":       {Kind: membership.NoAck, Sequence: 9},
	}
}

func TestPacket_asVersion8782861(t *testing.T) {
	for name, packet := range compatibilityPackets() {
		fixture, err := os.ReadFile(filepath.Join(compatibilityFolder, name))
		if err != nil {
			t.Fatal(err)
		}
		if decoded, err := membership.DecodePacket(fixture); err != nil || decoded != packet {
			t.Errorf("%s: decoding the fixture: got %+v, error %v; want %+v", name, decoded, err, packet)
		}
		if encoded := packet.Encode(nil); !bytes.Equal(encoded, fixture) {
			t.Errorf("%s: encoding %+v: got %x, want the fixture %x", name, packet, encoded, fixture)
		}
	}
}
