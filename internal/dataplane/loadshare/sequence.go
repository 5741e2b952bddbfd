package loadshare

// SequenceFilter drops messages that are older than what their sender told last.
type SequenceFilter struct{ newestByNode map[uint64]uint64 }

const maxNodes = 4096

// Accept tells whether a message is newer than all before from its sender.
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
