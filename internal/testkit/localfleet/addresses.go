package localfleet

import (
	"fmt"
	"net"

	"github.com/rotisserie/eris"
)

// All edges of a local fleet share 127.0.0.1, on which each agent serves its proxy. Each edge therefore
// has ports of its own there, and a fleet a block of ports of its own.
const (
	maxBlocks    = 40 // fleets at the same time on one machine
	firstNetwork = 77 // second byte of the addresses of the first block
	firstPort    = 21160
	edgePorts    = 4                          // of one edge
	blockPorts   = (maxEdges + 1) * edgePorts // of one fleet; the last one is its reservation
)

// addressBlock is the part of the loopback network that one fleet uses alone.
type addressBlock struct {
	index       int
	reservation net.Listener
}

// errNoFreeBlock is returned when too many local fleets run on this machine.
var errNoFreeBlock = eris.New("all address blocks for local fleets are in use")

// reserve reserves the first block that no other fleet of this machine uses.
func reserve() (*addressBlock, error) {
	for index := range maxBlocks {
		p := &addressBlock{index: index}
		last := p.ports(maxEdges)[1]
		claim, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", last))
		if err == nil {
			p.reservation = claim
			return p, nil
		}
	}
	return nil, eris.Wrapf(errNoFreeBlock, "%d blocks", maxBlocks)
}

func (p *addressBlock) release() { _ = p.reservation.Close() }

// network returns the second byte of the fleet's addresses.
func (p *addressBlock) network() int { return firstNetwork + p.index }

// ports returns the port range of the i-th edge. Servers use that of the first.
func (p *addressBlock) ports(i int) [2]int {
	first := firstPort + p.index*blockPorts + i*edgePorts
	return [2]int{first, first + edgePorts - 1}
}
