package loadshare

// maxNodes bounds the nodes whose sequences a SequenceFilter remembers; beyond it all are forgotten.
const maxNodes = 4096

// SequenceFilter drops messages that are older than the newest one of their node. The zero value accepts
// the first message of each node. It is not safe for concurrent use.
type SequenceFilter struct{ newestByNode map[uint64]uint64 }

// Accept reports whether a message is newer than all earlier ones of its node, and remembers it.
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
