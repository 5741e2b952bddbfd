package protocol

import (
	"slices"

	"ospreybend/internal/node/eventloop"
	"ospreybend/internal/node/slottable"
)

// SetLimits changes how many front sockets are kept and how many bytes of input held,
// up to what the server was made with. What is over makes room where it may.
func (s *Server) SetLimits(most, memory int) {
	s.maxSockets, s.maxBufferedBytes = min(most, s.socketLimit), memory
	s.shedExcess()
}

func (s *Server) shedExcess() {
	for s.listener != nil && s.listener.Open() > s.maxSockets-spareSockets && s.shedOne() {
	}
}

// shedOne closes one connection to make room for those to come: first one that has
// brought nothing in a time that a usual client does not need, then one whose
// request has stood still for long, then one that has had its last answer, then one
// that has stood idle. A request that comes piece by piece is judged by its last
// piece, and goes after those that came in one: as long as only few are unfinished
// they go after the idle ones, since a slow job would be lost and an idle connection
// is only opened anew. A connection with a request in work is never chosen, nor is a
// fresh one, which may have a request on its way. The times are short, as such
// connections come by hundreds.
func (s *Server) shedOne() bool {
	now := s.loop.Now()
	var silent, unfinished, idle *clientConn
	slow := 0
	s.sockets.All(func(_ slottable.Handle, f *clientConn) {
		switch {
		case f.call != nil || !f.conn.Open():
		case f.hasRequested && f.bufferedBytes == 0:
			if idle == nil || f.lastReplyAt < idle.lastReplyAt {
				idle = f
			}
		case f.bufferedBytes == 0:
			if now-f.requestBegan >= freshConnAge && (silent == nil || f.requestBegan < silent.requestBegan) {
				silent = f
			}
		default:
			slow++
			if now-f.lastReadAt >= slowRequestAge && (unfinished == nil || f.lessLikelyToComplete(unfinished)) {
				unfinished = f
			}
		}
	})
	// What the other side has closed since is out of the way already.
	s.lingering = slices.DeleteFunc(s.lingering, func(c *eventloop.Conn) bool { return !c.Lingering() })
	switch {
	case silent.nothingUnread():
		silent.close()
	case unfinished.nothingUnread() && (now-unfinished.lastReadAt >= stalledRequestAge || slow > s.maxSockets/unfinishedShare):
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

// nothingUnread tells whether the socket, if there is one, has brought nothing that is not read
// yet: its request may have come whole by now.
func (f *clientConn) nothingUnread() bool { return f != nil && f.conn.NothingUnread() }

// lessLikelyToComplete tells whether of two unfinished requests this one is less likely to come
// whole: one that has come in pieces will go on, one that has brought all it ever
// brought at once hardly will.
func (f *clientConn) lessLikelyToComplete(than *clientConn) bool {
	if f.fragmented != than.fragmented {
		return !f.fragmented
	}
	return f.lastReadAt < than.lastReadAt
}

// setBuffered notes how much input the socket holds. Past the server's budget the
// unfinished request that holds most is given up.
func (f *clientConn) setBuffered(bytes int) {
	s := f.server
	s.bufferedBytes += bytes - f.bufferedBytes
	f.bufferedBytes = bytes
	for s.bufferedBytes > s.maxBufferedBytes {
		var largest *clientConn
		s.sockets.All(func(_ slottable.Handle, g *clientConn) {
			if g.call == nil && g.bufferedBytes > 0 && (largest == nil || g.bufferedBytes > largest.bufferedBytes) {
				largest = g
			}
		})
		if largest == nil {
			return
		}
		s.counts.Shed++
		largest.replyError(503, atCapacityText, nil)
	}
}
