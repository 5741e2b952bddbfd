package balance

import (
	"encoding/binary"
	"math"

	"ospreybend/internal/util/stats"
)

// The load message to peers is a list of entries of three bytes: a worker's tag, little-endian, and the slots in
// flight there, at most 255. A receiver ignores unknown tags and a partial entry at the end.

// workerTag identifies a worker in messages, in two bytes.
func workerTag(id WorkerID) uint16 { return uint16(stats.Mix(uint64(id))) }

// encodeLoad encodes the slots that this dispatcher has in flight, by worker.
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
