package protocol

import (
	"slices"

	"ospreybend/internal/node/eventloop"
	"ospreybend/internal/node/slottable"
)

// SetLimits changes the limits of connections and of unprocessed input, in bytes. The limit of
// connections cannot exceed that given to NewServer. Connections over the limit are shed as far
// as the rules of shedOne allow.
func (s *Server) SetLimits(maxSockets, maxBufferedBytes int) {
	s.maxSockets, s.maxBufferedBytes = min(maxSockets, s.socketLimit), maxBufferedBytes
	s.shedExcess()
}

// shedExcess sheds connections until spareSockets are free or none may be shed.
func (s *Server) shedExcess() {
	for s.listener != nil && s.listener.Open() > s.maxSockets-spareSockets && s.shedOne() {
	}
}

// shedOne closes one connection and reports whether there was one to close. The candidates are, in order:
//
//  1. a silent one, on which nothing was received for longer than an ordinary client needs;
//  2. one with a stalled request, or with any unfinished request while these fill more than
//     1/unfinishedDivisor of the connections;
//  3. one that lingers after its last answer;
//  4. an idle one;
//  5. one with an unfinished request.
//
// Unfinished requests are usually shed after idle connections because a slow client would lose
// its request, while an idle one just reconnects. The age of a request received in fragments is
// that of its last fragment, and it is shed after those received in one piece. A connection with
// a call in progress is never closed, nor is a new one, whose request may be on its way. The age
// limits are short because such connections arrive by the hundred.
func (s *Server) shedOne() bool {
	now := s.loop.Now()
	var silent, unfinished, idle *clientConn
	unfinishedCount := 0
	s.sockets.All(func(_ slottable.Handle, client *clientConn) {
		switch {
		case client.call != nil || !client.conn.Open():
		case client.hasRequested && client.bufferedBytes == 0:
			if idle == nil || client.lastReplyAt < idle.lastReplyAt {
				idle = client
			}
		case client.bufferedBytes == 0:
			if now-client.requestStartedAt >= freshConnAge && (silent == nil || client.requestStartedAt < silent.requestStartedAt) {
				silent = client
			}
		default:
			unfinishedCount++
			if now-client.lastReadAt >= slowRequestAge && (unfinished == nil || client.lessLikelyToComplete(unfinished)) {
				unfinished = client
			}
		}
	})
	// Connections that the client has closed in the meantime need not be shed.
	s.lingering = slices.DeleteFunc(s.lingering, func(c *eventloop.Conn) bool { return !c.Lingering() })
	switch {
	case silent.nothingUnread():
		silent.close()
	case unfinished.nothingUnread() && (now-unfinished.lastReadAt >= stalledRequestAge || unfinishedCount > s.maxSockets/unfinishedDivisor):
		unfinished.close()
	case len(s.lingering) > 0:
		s.lingering[0].Close()
	case idle.nothingUnread() && now-idle.lastReplyAt >= shortIdleAge:
		idle.close()
	case unfinished.nothingUnread():
		unfinished.close()
	case idle.nothingUnread():
		idle.close()
	default:
		return false
	}
	s.counts.Shed++
	return true
}

// nothingUnread reports whether the connection is not nil and all received bytes have been read.
// With unread bytes its request might be complete.
func (client *clientConn) nothingUnread() bool { return client != nil && client.conn.NothingUnread() }

// lessLikelyToComplete reports whether this unfinished request is less likely to be completed than the other.
// One received in fragments will probably continue; one of which a single piece was received and
// nothing since will probably not.
func (client *clientConn) lessLikelyToComplete(other *clientConn) bool {
	if client.fragmented != other.fragmented {
		return !client.fragmented
	}
	return client.lastReadAt < other.lastReadAt
}

// setBuffered records how much unprocessed input the connection has. While the server's
// limit is exceeded, the unfinished request with the most input is answered 503.
func (client *clientConn) setBuffered(bytes int) {
	s := client.server
	s.bufferedBytes += bytes - client.bufferedBytes
	client.bufferedBytes = bytes
	for s.bufferedBytes > s.maxBufferedBytes {
		var largest *clientConn
		s.sockets.All(func(_ slottable.Handle, other *clientConn) {
			if other.call == nil && other.bufferedBytes > 0 && (largest == nil || other.bufferedBytes > largest.bufferedBytes) {
				largest = other
			}
		})
		if largest == nil {
			return
		}
		s.counts.Shed++
		largest.replyError(503, atCapacityText, nil)
	}
}
