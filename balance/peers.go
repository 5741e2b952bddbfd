package balance

import (
	"encoding/binary"
	"math"
	"time"

	"ospreybend/internal/util/stats"
)

const (
	messageBytes = 256             // most that a message holds, and the unit of its price
	messageOver  = 16              // bytes charged for a message besides what it holds
	tellShare    = 0.003           // part of the result that messages may cost
	tellMost     = 20.0            // messages a second that are worth sending at most
	peerLife     = 2 * time.Second // a peer not heard for longer is left out
)

// peerView is what one peer last said that it has out.
type peerView struct {
	at    time.Duration
	slots map[*worker]float64
}

// tagOf names a worker in messages, short enough for a message to name many.
func tagOf(id WorkerID) uint16 { return uint16(stats.Mix(uint64(id))) }

// tell writes what this dispatcher has out, by worker.
func (f *fleet) tell() []byte {
	var m []byte
	for _, w := range f.list {
		if slots := math.Round(w.unfinished); slots >= 1 && len(m)+3 <= messageBytes {
			m = binary.LittleEndian.AppendUint16(m, tagOf(w.id))
			m = append(m, byte(min(slots, 255)))
		}
	}
	return m
}

// tellEvery is the span between messages at a fair price, and whether they then come often enough to count.
func (f *fleet) tellEvery(bytes int, perSecond float64) (time.Duration, bool) {
	all, least := float64((bytes+messageOver)*(f.settings.Balancers-1)), 2/peerLife.Seconds()
	rate := min(tellMost, tellShare*max(perSecond, 1)/max(f.settings.Costs.Message*all/messageBytes, 1e-9))
	return time.Duration(float64(time.Second) / max(rate, least)), rate >= least
}

// hear takes in a peer's message in place of its last, less tags not listed here and a half entry.
func (f *fleet) hear(now time.Duration, from int, m []byte) {
	p := f.peers[from]
	if p == nil {
		p = &peerView{slots: map[*worker]float64{}}
		f.peers[from] = p
		f.fresh++
	} else {
		p.drop()
	}
	p.at = now
	for ; len(m) >= 3; m = m[3:] {
		if w := f.byTag[binary.LittleEndian.Uint16(m)]; w != nil {
			p.slots[w] += float64(m[2])
			w.others += float64(m[2])
		}
	}
}

// drop takes back what the peer said.
func (p *peerView) drop() {
	for w, slots := range p.slots {
		w.others -= slots
	}
	clear(p.slots)
}

// dropSilent leaves out peers not heard for long, as when they died.
func (f *fleet) dropSilent(now time.Duration) {
	for from, p := range f.peers {
		if now-p.at > peerLife {
			p.drop()
			delete(f.peers, from)
			f.fresh--
		}
	}
}
