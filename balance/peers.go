package balance

import (
	"encoding/binary"
	"math"
	"time"

	"ospreybend/internal/util/stats"
)

const (
	messageBytes        = 256             // most that a message holds, and the unit of its price
	messageOverhead     = 16              // bytes charged for a message besides what it holds
	messageCostFraction = 0.003           // part of the result that messages may cost
	maxMessageRate      = 20.0            // messages a second that are worth sending at most
	peerTimeout         = 2 * time.Second // a peer not heard for longer is left out
)

// peerLoad is what one peer last said that it has out.
type peerLoad struct {
	receivedAt time.Duration
	slots      map[*worker]float64
}

// workerTag names a worker in messages, short enough for a message to name many.
func workerTag(id WorkerID) uint16 { return uint16(stats.Mix(uint64(id))) }

// encodeLoad writes what this dispatcher has out, by worker.
func (f *fleet) encodeLoad() []byte {
	var message []byte
	for _, w := range f.workers {
		if slots := math.Round(w.inFlightSlots); slots >= 1 && len(message)+3 <= messageBytes {
			message = binary.LittleEndian.AppendUint16(message, workerTag(w.id))
			message = append(message, byte(min(slots, 255)))
		}
	}
	return message
}

// messageInterval is the span between messages at a fair price, and whether they then come often enough to count.
func (f *fleet) messageInterval(bytes int, perSecond float64) (time.Duration, bool) {
	bytesToAll, minRate := float64((bytes+messageOverhead)*(f.settings.Balancers-1)), 2/peerTimeout.Seconds()
	rate := min(maxMessageRate, messageCostFraction*max(perSecond, 1)/max(f.settings.Costs.Message*bytesToAll/messageBytes, 1e-9))
	return time.Duration(float64(time.Second) / max(rate, minRate)), rate >= minRate
}

// applyPeerLoad takes in a peer's message in place of its last, less tags not listed here and a half entry.
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

// withdraw takes back what the peer said.
func (p *peerLoad) withdraw() {
	for w, slots := range p.slots {
		w.peerSlots -= slots
	}
	clear(p.slots)
}

// dropSilentPeers leaves out peers not heard for long, as when they died.
func (f *fleet) dropSilentPeers(now time.Duration) {
	for from, p := range f.peers {
		if now-p.receivedAt > peerTimeout {
			p.withdraw()
			delete(f.peers, from)
			f.freshPeers--
		}
	}
}
