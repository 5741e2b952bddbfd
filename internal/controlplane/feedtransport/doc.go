// Package feedtransport carries the feed of the control plane between processes: from a control plane server to agents, and
// from an agent to the proxy of its machine.
//
// A reader connects with a Client and sends a Hello with the offset up to which it has each shard. The server's Session
// replies with a snapshot or with the changes since that offset, then sends changes as they are committed and a Status at short
// intervals. Reports on topics of other packages are sent in both directions, with best-effort delivery. ServerSelector decides
// which server a client uses, and when it leaves a server that is silent or not current.
//
// The package neither interprets nor stores the items of the feed: a Source (the store of the server or of the agent) provides
// them on the sending side, and a Handler receives them on the other side.
//
// # Frames
//
// All connections between the fleet's processes use the same frame layout, so that protocols which share a listener can be
// told apart by the first frame:
//
//	u32 length of the body (big-endian) | u8 kind | body
//
// The length does not include the kind. Kinds 1 to 31 belong to this package; other protocols use FirstPeerKind and above.
//
// A reader that sets Compressed in its Hello gets snapshots and changes in frames of KindCompressed. An Encoder compresses them
// once for all sessions of a server that are at the same offset: the number of bytes that a server sends grows with the product
// of nodes and workers, but the cost of compressing them does not.
//
// # Offsets
//
// A shard's offset is the index of an entry in the shard's log. Offsets never decrease on either side: a session sends only
// what is above the offset that it has already sent, and a client drops what is not above the offset that it has.
package feedtransport
