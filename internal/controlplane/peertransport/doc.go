// Package peertransport carries messages and calls between control plane servers.
//
// A Transport dials a connection to each peer that it has something to send to, so that there is one connection for each
// ordered pair of servers: messages and calls go from the dialer (outbound) to the acceptor (inbound), and the replies to
// calls come back on the same connection. The package knows neither the consensus protocol nor the kinds of calls: a Handler
// receives them.
//
// Frames have the layout of package feedtransport, with kinds from feedtransport.FirstPeerKind on, so that one listener
// accepts both peers and readers of the feed and distinguishes them by their first frame.
//
// # Delivery
//
// Consensus messages may be lost: the queue for a peer is bounded and drops the oldest ones, and all of it is dropped while
// the peer is unreachable. The queued messages of all groups are written together. A call ends with its reply, with
// ErrNotSent or with ErrOutcomeUnknown, at the latest when its context ends. A call is never retried here.
package peertransport
