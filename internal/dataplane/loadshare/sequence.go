package loadshare

// maxNodes limits the memory of a SequenceFilter: with more nodes than this it forgets all of them and
// starts again.
const maxNodes = 4096

// SequenceFilter rejects messages that are not newer than the newest one seen of the same node. The zero
// value accepts the first message of each node. A SequenceFilter is not safe for concurrent use.
type SequenceFilter struct{ newestByNode map[uint64]uint64 }

// Accept reports whether a message is newer than all earlier ones of its node, and if so records its
// sequence number.
func (f *SequenceFilter) Accept(message Message) bool {
	if f.newestByNode == nil || len(f.newestByNode) > maxNodes {
		f.newestByNode = map[uint64]uint64{}
	}
	if message.Sequence <= f.newestByNode[message.Node] {
		return false
	}
	f.newestByNode[message.Node] = message.Sequence
	return true
}
