package balance

import (
	"encoding/binary"
	"time"
)

const (
	messageBytes        = 256             // size limit of a message, and the unit of Costs.Message
	messageOverhead     = 16              // bytes charged for each message in addition to its payload
	messageCostFraction = 0.003           // fraction of the requests' value that messages may cost
	maxMessageRate      = 20.0            // messages per second
	peerTimeout         = 2 * time.Second // the load of a peer without a message for longer is dropped
)

// peerLoad is the load of one peer, by its last message.
type peerLoad struct {
	receivedAt time.Duration
	slots      map[*worker]float64 // of its jobs in flight
}

// messageInterval returns the interval between messages that keeps their cost within messageCostFraction, and
// whether it is short enough: otherwise peers would drop the load before the next message.
func (f *fleet) messageInterval(bytes int, requestsPerSecond float64) (time.Duration, bool) {
	bytesToAll, minRate := float64((bytes+messageOverhead)*(f.settings.Balancers-1)), 2/peerTimeout.Seconds()
	cost := max(f.settings.Costs.Message*bytesToAll/messageBytes, 1e-9)
	rate := min(maxMessageRate, messageCostFraction*max(requestsPerSecond, 1)/cost)
	return time.Duration(float64(time.Second) / max(rate, minRate)), rate >= minRate
}

// applyPeerLoad replaces the load of a peer by that in its new message.
func (f *fleet) applyPeerLoad(now time.Duration, from int, message []byte) {
	peer := f.peers[from]
	if peer == nil {
		peer = &peerLoad{slots: map[*worker]float64{}}
		f.peers[from] = peer
		f.freshPeers++
	} else {
		peer.removeFromWorkers()
	}
	peer.receivedAt = now
	for ; len(message) >= 3; message = message[3:] {
		if w := f.workerByTag[binary.LittleEndian.Uint16(message)]; w != nil {
			peer.slots[w] += float64(message[2])
			w.peerSlots += float64(message[2])
		}
	}
}

// removeFromWorkers subtracts the peer's load from the workers' peerSlots and clears it.
func (p *peerLoad) removeFromWorkers() {
	for w, slots := range p.slots {
		w.peerSlots -= slots
	}
	clear(p.slots)
}

// dropSilentPeers drops the peers whose last message is older than peerTimeout.
func (f *fleet) dropSilentPeers(now time.Duration) {
	for from, p := range f.peers {
		if now-p.receivedAt > peerTimeout {
			p.removeFromWorkers()
			delete(f.peers, from)
			f.freshPeers--
		}
	}
}
