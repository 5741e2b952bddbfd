package simulation

import (
	"encoding/binary"

	"ospreybend/coord/consensus"
)

// restore replaces the state machine's state by a snapshot.
func (h *host) restore(snapshot consensus.Snapshot) {
	h.applied = snapshot.Index
	h.stateHash = binary.LittleEndian.Uint64(snapshot.Data)
	h.appliedSinceCompaction = 0
	h.cluster.checks.restored(h, snapshot)
}

// apply applies a committed entry to the state machine, and acknowledges it if the process proposed it.
func (h *host) apply(entry consensus.Entry) {
	h.cluster.checks.applied(h, entry)
	h.applied = entry.Index
	h.stateHash = nextStateHash(h.stateHash, entry)
	h.appliedSinceCompaction++
	term, own := h.proposedTerms[entry.Index]
	if !own {
		return
	}
	delete(h.proposedTerms, entry.Index)
	if term == entry.Term {
		h.cluster.acknowledged(entry)
	}
}

// compactLog takes a snapshot and compacts the log, once enough entries have been applied since the last
// time.
func (h *host) compactLog() {
	if h.appliedSinceCompaction < h.cluster.profile.compactionInterval {
		return
	}
	snapshot, known := h.node.SnapshotAt(h.applied, encodeStateHash(h.stateHash))
	if !known {
		return
	}
	h.appliedSinceCompaction = 0
	h.cluster.counters.Compactions++
	h.write(writeOperation{
		records: []record{{compactionSnapshot: &snapshot}},
		done:    func() { h.node.Compact(snapshot.Index, snapshot.Members, snapshot.Data) },
	})
}

// encodeStateHash encodes a state as the data of a snapshot.
func encodeStateHash(hash uint64) []byte {
	return binary.LittleEndian.AppendUint64(nil, hash)
}

// initialStateHash is the state hash of the bootstrap snapshot.
const initialStateHash = 1

// nextStateHash returns the state hash after an entry. It mixes in the entry's index, term, data bytes and
// member IDs one after the other, as FNV-1a does with bytes.
func nextStateHash(hash uint64, entry consensus.Entry) uint64 {
	const prime = 1099511628211
	hash = (hash ^ entry.Index) * prime
	hash = (hash ^ entry.Term) * prime
	for _, part := range entry.Data {
		hash = (hash ^ uint64(part)) * prime
	}
	for _, member := range entry.Members {
		hash = (hash ^ uint64(member.ID)) * prime
	}
	return hash
}
