// Package peertransport carries messages and calls between keepers. Each keeper dials each other keeper
// that it has something to say to, so there is one connection for each ordered pair: messages and
// calls go from the dialer, replies to its calls come back on the same connection.
//
// Frames have the layout of package feedlink, with kinds from feedlink.FirstPeerKind on, so that
// one listener takes keepers and readers of the feed and tells them apart by the first frame.
//
// Delivery. Agreement messages may be lost: what waits for a peer is bounded and the oldest goes
// first. All messages of all groups that wait for a peer are written together. A call ends with
// the reply, with ErrNotSent or with ErrOutcomeUnknown, at the latest when its context ends.
package peertransport
