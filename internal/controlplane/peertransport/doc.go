// Package peertransport carries messages and calls between control plane servers.
//
// A Transport dials a connection to each peer that it has something to send to, so that there is one connection for each
// ordered pair of servers. Messages and calls go from the dialer (outboundPeer) to the acceptor (inboundConnection), and the
// replies to calls are sent back on the same connection. The package interprets neither consensus messages nor calls; it
// passes them to a Handler.
//
// Frames have the layout that package feedtransport describes, with kinds from feedtransport.FirstPeerKind on. One listener
// therefore accepts both peers and readers of the feed, and distinguishes them by their first frame.
//
// # Delivery
//
// Consensus messages may be lost: the queue for a peer is bounded and drops its oldest messages when it is full, and it is
// cleared when the peer cannot be reached. The queued messages of all consensus groups are written as one batch.
//
// A call ends with its reply, with ErrNotSent or with ErrOutcomeUnknown, at the latest when its context ends. The transport
// never retries a call.
package peertransport
