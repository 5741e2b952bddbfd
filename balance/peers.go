package balance

import (
	"encoding/binary"
	"time"
)

const (
	messageBytes        = 256             // size limit of a message, and the unit of its price
	messageOverhead     = 16              // bytes charged per message
	messageCostFraction = 0.003           // fraction of the result that messages may cost
	maxMessageRate      = 20.0            // messages per second
	peerTimeout         = 2 * time.Second // a peer silent for longer is dropped
)

// peerLoad is what one peer last reported as in flight.
type peerLoad struct {
	receivedAt time.Duration
	slots      map[*worker]float64
}

// messageInterval returns the interval between messages at a fair price, and whether they are then worth it.
func (f *fleet) messageInterval(bytes int, perSecond float64) (time.Duration, bool) {
	bytesToAll, minRate := float64((bytes+messageOverhead)*(f.settings.Balancers-1)), 2/peerTimeout.Seconds()
	price := max(f.settings.Costs.Message*bytesToAll/messageBytes, 1e-9)
	rate := min(maxMessageRate, messageCostFraction*max(perSecond, 1)/price)
	return time.Duration(float64(time.Second) / max(rate, minRate)), rate >= minRate
}

// applyPeerLoad replaces a peer's load by its new message; unknown tags and a partial entry are ignored.
func (f *fleet) applyPeerLoad(now time.Duration, from int, message []byte) {
	peer := f.peers[from]
	if peer == nil {
		peer = &peerLoad{slots: map[*worker]float64{}}
		f.peers[from] = peer
		f.freshPeers++
	} else {
		peer.withdraw()
	}
	peer.receivedAt = now
	for ; len(message) >= 3; message = message[3:] {
		if w := f.byTag[binary.LittleEndian.Uint16(message)]; w != nil {
			peer.slots[w] += float64(message[2])
			w.peerSlots += float64(message[2])
		}
	}
}

// withdraw removes the peer's load from the workers.
func (p *peerLoad) withdraw() {
	for w, slots := range p.slots {
		w.peerSlots -= slots
	}
	clear(p.slots)
}

// dropSilentPeers drops peers without a message for peerTimeout.
func (f *fleet) dropSilentPeers(now time.Duration) {
	for from, p := range f.peers {
		if now-p.receivedAt > peerTimeout {
			p.withdraw()
			delete(f.peers, from)
			f.freshPeers--
		}
	}
}
