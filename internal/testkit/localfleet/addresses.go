package localfleet

import (
	"fmt"
	"net"

	"github.com/rotisserie/eris"
)

// All edges of a local fleet share 127.0.0.1, on which each agent serves its proxy. Each edge therefore
// has ports of its own there, and a fleet a block of ports of its own.
const (
	maxAddresses = 40 // fleets side by side on one machine
	firstNetwork = 77 // second byte of the addresses of the first place
	firstPort    = 21160
	edgePorts    = 4                           // of one edge
	placePorts   = (edgesMost + 1) * edgePorts // of one fleet; the last one is its reservation
)

// place is the part of the loopback network that one fleet has for itself.
type place struct {
	index int
	claim net.Listener
}

// reserve takes the first place that no other fleet of this machine has.
func reserve() (*place, error) {
	for index := range maxAddresses {
		p := &place{index: index}
		last := p.ports(edgesMost)[1]
		claim, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", last))
		if err == nil {
			p.claim = claim
			return p, nil
		}
	}
	return nil, eris.Errorf("all %d places for local fleets are taken", maxAddresses)
}

func (p *place) release() { _ = p.claim.Close() }

// network is the second byte of the fleet's addresses.
func (p *place) network() int { return firstNetwork + p.index }

// ports is the port range of the i-th edge. Keepers have that of the first.
func (p *place) ports(i int) [2]int {
	first := firstPort + p.index*placePorts + i*edgePorts
	return [2]int{first, first + edgePorts - 1}
}
