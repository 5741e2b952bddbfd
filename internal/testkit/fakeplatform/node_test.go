package fakeplatform

import (
	"fmt"
	"net/netip"
	"os"
	"testing"
)

// TestFreeAddress_portNotAssignedByKernel guards against a port that another process is given while a killed node does not listen at it.
func TestFreeAddress_portNotAssignedByKernel(t *testing.T) {
	text, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	if err != nil {
		t.Skip("the range of ports that the kernel assigns is not known: ", err)
	}
	var lowest, highest uint16
	if _, err := fmt.Sscan(string(text), &lowest, &highest); err != nil {
		t.Fatal(err)
	}
	for range 50 {
		address, err := FreeAddress()
		if err != nil {
			t.Fatal(err)
		}
		if port := netip.MustParseAddrPort(address).Port(); port >= lowest && port <= highest {
			t.Fatalf("got port %d, want one outside of %d to %d", port, lowest, highest)
		}
	}
}
