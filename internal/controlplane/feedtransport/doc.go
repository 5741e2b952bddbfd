// Package feedtransport carries the feed of the control plane between processes: from a control plane server to agents, and
// from an agent to the proxy of its machine.
//
// A reader connects by Client and sends in its Hello the offset up to which it has each shard. The server's Session answers
// with a snapshot or the changes since, then with changes as they are committed, and with a Status at short intervals. Reports
// on topics of other packages travel in both directions, best effort. ServerSelector decides which server a client uses and
// when it leaves one that is silent or not current.
//
// The package does not interpret the items of the feed, and keeps none: Source (the server's or the agent's store) has them
// on the sending side, and Handler takes them on the receiving side.
//
// # Frames
//
// All connections between the fleet's processes use one layout, so that protocols which share a listener are distinguished
// by the first frame:
//
//	u32 length of the body (big-endian) | u8 kind | body
//
// The length does not include the kind. Kinds 1 to 31 belong to this package; other protocols use FirstPeerKind and above.
//
// A reader that sets Compressed in its Hello gets snapshots and changes in frames of KindCompressed. An Encoder makes them
// once for all sessions of a server that are at the same offset: the bytes that a server sends grow with nodes times workers,
// but the work of compressing them does not.
//
// # Offsets
//
// A shard's offset is the index of an entry in the shard's log. Neither side ever returns to a lower one: a session sends
// only what is above the offset that it has sent, and a client drops what is not above the offset that it has.
package feedtransport
