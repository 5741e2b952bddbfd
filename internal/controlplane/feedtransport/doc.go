// Package feedtransport carries the feed between processes: from a keeper to agents, and from an agent
// to the proxy of its machine. A reader says in its Hello how far it has each shard, and gets a
// snapshot or the changes since, then changes as they commit, and a status at short intervals.
//
// Frames. All connections of the fleet use one layout, so that a listener which several protocols
// share tells them apart by the first frame:
//
//	u32 length of the body (big-endian) | u8 kind | body
//
// The length does not count the kind. Kinds 1 to 31 belong to this package; other protocols use
// FirstPeerKind and above.
//
// A reader whose Hello says so gets snapshots and changes within frames of KindCompressed. An Encoder makes them once
// for all sessions of a server that have got as far: what a keeper sends grows with the nodes times the workers, and
// what it works out does not.
//
// Offsets. A shard's offset is the index of an entry in the shard's log. Neither side ever goes to
// a lower one: the server sends only what is above what it has sent, and the client drops
// what is not above what it holds.
package feedtransport
