package balance

import (
	"encoding/binary"
	"math"

	"ospreybend/internal/util/stats"
)

// The load message to peers is a list of three-byte entries: the tag of a worker (two bytes, little-endian)
// and the slots of the sender's jobs in flight there (one byte, at most 255). A receiver ignores unknown tags
// and an incomplete entry at the end.

// workerTag returns a hash of a worker's ID, which identifies it in load messages.
func workerTag(id WorkerID) uint16 { return uint16(stats.SplitMix64(uint64(id))) }

// encodeLoad encodes the slots of this balancer's jobs in flight, by worker. Workers that do not fit into
// messageBytes are left out.
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
