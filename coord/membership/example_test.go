package membership_test

import (
	"fmt"
	"net/netip"
	"time"

	"ospreybend/coord/membership"
)

// Example drives the prober of one node in a fleet of two: it pings the other node, which answers.
func Example() {
	random := uint64(0)
	prober := membership.NewProber("node-1", membership.Options{}, func() uint64 { random++; return random })
	other := netip.MustParseAddrPort("10.0.0.2:7662")
	prober.SetNodes([]membership.Node{
		{Name: "node-1", Address: netip.MustParseAddrPort("10.0.0.1:7662")},
		{Name: "node-2", Address: other},
	})

	now := time.Unix(0, 0)
	actions := prober.Tick(now)
	ping := actions.Packets[0]
	fmt.Println("ping", ping.To)

	now = now.Add(3 * time.Millisecond)
	actions = prober.Receive(now, other, membership.Packet{Kind: membership.Ack, Sequence: ping.Packet.Sequence})
	fmt.Println("suspected:", len(actions.Findings) > 0)

	next, _ := prober.NextTick()
	fmt.Println("next probe after", next.Sub(time.Unix(0, 0)))
	// Output:
	// ping 10.0.0.2:7662
	// suspected: false
	// next probe after 1s
}
