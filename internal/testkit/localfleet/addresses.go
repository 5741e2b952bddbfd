package localfleet

import (
	"fmt"
	"net"

	"github.com/rotisserie/eris"
)

// Every agent serves its proxy on 127.0.0.1, so all edges on the machine share that address. Each fleet
// therefore has its own block of ports there, and each edge its own ports within the block.
const (
	maxBlocks     = 40 // maximum number of concurrent fleets on one machine
	firstNetwork  = 77 // second byte of the IP addresses of the first block
	firstPort     = 21160
	portsPerEdge  = 4                             // ports of one edge
	portsPerBlock = (maxEdges + 1) * portsPerEdge // ports of one fleet; the last edge's range holds the reservation
)

// addressBlock is the range of loopback addresses and ports reserved for one fleet.
type addressBlock struct {
	index       int
	reservation net.Listener
}

// errNoFreeBlock is returned when maxBlocks local fleets already run on this machine.
var errNoFreeBlock = eris.New("all address blocks for local fleets are in use")

// reserveBlock reserves the first free block. It holds a listener on a port of the block, so that fleets of other
// processes skip it.
func reserveBlock() (*addressBlock, error) {
	for index := range maxBlocks {
		block := &addressBlock{index: index}
		last := block.ports(maxEdges)[1]
		listener, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", last))
		if err == nil {
			block.reservation = listener
			return block, nil
		}
	}
	return nil, eris.Wrapf(errNoFreeBlock, "%d blocks", maxBlocks)
}

func (b *addressBlock) release() { _ = b.reservation.Close() }

// network returns the second byte of the fleet's IP addresses.
func (b *addressBlock) network() int { return firstNetwork + b.index }

// ports returns the first and last port of the i-th edge. Servers use the range of edge 0.
func (b *addressBlock) ports(i int) [2]int {
	first := firstPort + b.index*portsPerBlock + i*portsPerEdge
	return [2]int{first, first + portsPerEdge - 1}
}
