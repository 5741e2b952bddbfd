package protocol

import (
	"slices"

	"ospreybend/internal/node/eventloop"
	"ospreybend/internal/node/slottable"
)

// Limit changes how many front sockets are kept and how many bytes of input held,
// up to what the server was made with. What is over makes room where it may.
func (s *Server) Limit(most, memory int) {
	s.most, s.memory = min(most, s.all), memory
	s.makeRoom()
}

func (s *Server) makeRoom() {
	for s.listener != nil && s.listener.Open() > s.most-socketSpare && s.shed() {
	}
}

// shed closes one connection to make room for those to come: first one that has
// brought nothing in a time that a usual client does not need, then one whose
// request has stood still for long, then one that has had its last answer, then one
// that has stood idle. A request that comes piece by piece is judged by its last
// piece, and goes after those that came in one: as long as only few are unfinished
// they go after the idle ones, since a slow job would be lost and an idle connection
// is only opened anew. A connection with a request in work is never chosen, nor is a
// fresh one, which may have a request on its way. The times are short, as such
// connections come by hundreds.
func (s *Server) shed() bool {
	now := s.loop.Now()
	var silent, unfinished, idle *frontSocket
	slow := 0
	s.sockets.All(func(_ slottable.Handle, f *frontSocket) {
		switch {
		case f.call != nil || !f.conn.Open():
		case f.asked && f.held == 0:
			if idle == nil || f.since < idle.since {
				idle = f
			}
		case f.held == 0:
			if now-f.began >= freshFor && (silent == nil || f.began < silent.began) {
				silent = f
			}
		default:
			slow++
			if now-f.heard >= slowFor && (unfinished == nil || f.stiller(unfinished)) {
				unfinished = f
			}
		}
	})
	// What the other side has closed since is out of the way already.
	s.lingering = slices.DeleteFunc(s.lingering, func(c *eventloop.Conn) bool { return !c.Lingering() })
	switch {
	case silent.quiet():
		silent.close()
	case unfinished.quiet() && (now-unfinished.heard >= stalledFor || slow > s.most/slowShare):
		unfinished.close()
	case len(s.lingering) > 0:
		s.lingering[0].Close()
	case idle.quiet() && now-idle.since >= restedFor:
		idle.close()
	case unfinished.quiet():
		unfinished.close()
	case idle.quiet():
		idle.close()
	default:
		return false
	}
	s.counts.Shed++
	return true
}

// quiet tells whether the socket, if there is one, has brought nothing that is not read
// yet: its request may have come whole by now.
func (f *frontSocket) quiet() bool { return f != nil && f.conn.Quiet() }

// stiller tells whether of two unfinished requests this one is less likely to come
// whole: one that has come in pieces will go on, one that has brought all it ever
// brought at once hardly will.
func (f *frontSocket) stiller(than *frontSocket) bool {
	if f.pieces != than.pieces {
		return !f.pieces
	}
	return f.heard < than.heard
}

// hold notes how much input the socket holds. Past the server's budget the
// unfinished request that holds most is given up.
func (f *frontSocket) hold(bytes int) {
	s := f.server
	s.held += bytes - f.held
	f.held = bytes
	for s.held > s.memory {
		var largest *frontSocket
		s.sockets.All(func(_ slottable.Handle, g *frontSocket) {
			if g.call == nil && g.held > 0 && (largest == nil || g.held > largest.held) {
				largest = g
			}
		})
		if largest == nil {
			return
		}
		s.counts.Shed++
		largest.complain(503, noRoom, nil)
	}
}
