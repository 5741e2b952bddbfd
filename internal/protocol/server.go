package protocol

import (
	"log/slog"
	"time"

	"ospreybend/internal/slot"
	"ospreybend/internal/transport"
)

const (
	socketSpare  = 16                  // front sockets kept free: past that, idle ones are closed
	socketInput  = maxHead + maxBody*2 // most bytes kept of what a client sends ahead
	tellEvery    = 10 * time.Second
	continueLine = "HTTP/1.1 100 Continue\r\n\r\n"
)

// Server is the side towards clients of a front: HTTP/1.1 requests in, one
// answer to each out, in order.
type Server struct {
	loop     *transport.Loop
	listen   string
	most     int // front sockets
	serve    func(*Call)
	listener *transport.Listener
	sockets  slot.Table[*frontSocket]
	stopping bool
	drained  func()
	counts   ServerCounts
	tellAt   time.Duration // when to log of rejected requests again
}

// Call is one request and the way to answer it.
type Call struct {
	Message // valid until serve returns
	socket  *frontSocket
	last    bool
	gone    func()
	id      string // what the front knows it by
}

// frontSocket is the client's side of a connection.
type frontSocket struct {
	server  *Server
	conn    *transport.Conn
	ref     slot.Ref
	call    *Call // whose answer is owed; nil: none
	idleAt  time.Duration
	told100 bool
}

// NewServer makes a server; Start opens it. serve must see to it that each call
// is answered once, then or later.
func NewServer(loop *transport.Loop, listen string, most int, serve func(*Call)) *Server {
	return &Server{loop: loop, listen: listen, most: most, serve: serve}
}

// Start listens.
func (s *Server) Start() error {
	ln, err := s.loop.Listen(s.listen, s.most, s.accept)
	s.listener = ln
	return err
}

// Stop stops listening, and closes each front socket once it owes nothing.
// drained is called when none is left.
func (s *Server) Stop(drained func()) {
	if s.stopping {
		return
	}
	s.stopping, s.drained = true, drained
	if s.listener != nil {
		_ = s.listener.Close()
	}
	s.sockets.All(func(_ slot.Ref, f *frontSocket) {
		if f.call != nil {
			f.call.last = true
		} else {
			f.close()
		}
	})
	s.check()
}

func (s *Server) check() {
	if s.stopping && s.drained != nil && s.sockets.Len() == 0 {
		drained := s.drained
		s.drained = nil
		drained()
	}
}

func (s *Server) accept(c *transport.Conn) transport.Handler {
	f := &frontSocket{server: s, conn: c, idleAt: s.loop.Now()}
	f.ref = s.sockets.Add(f)
	if s.sockets.Len() > s.most-socketSpare {
		s.closeIdlest()
	}
	return f
}

// closeIdlest makes room for connections to come, at the cost of the one that
// has stood idle longest. A new one, which may carry a request already, is the
// last to be chosen.
func (s *Server) closeIdlest() {
	var idlest *frontSocket
	s.sockets.All(func(_ slot.Ref, f *frontSocket) {
		if f.call == nil && f.conn.Open() && (idlest == nil || f.idleAt < idlest.idleAt) {
			idlest = f
		}
	})
	if idlest != nil {
		idlest.close()
	}
}

func (f *frontSocket) close() {
	f.conn.Close()
	f.forget()
}

// forget drops the socket and tells whoever works on its call.
func (f *frontSocket) forget() {
	if !f.server.sockets.Drop(f.ref) {
		return
	}
	if c := f.call; c != nil {
		f.call = nil
		if c.gone != nil {
			c.gone()
		}
	}
	f.server.check()
}

// Closed is the client's going away.
func (f *frontSocket) Closed(*transport.Conn) { f.forget() }

// Data takes in what a client sends: one request at a time.
func (f *frontSocket) Data(conn *transport.Conn, in []byte) int {
	used := 0
	for f.call == nil && conn.Open() && used < len(in) {
		m, n, err := ParseRequest(in[used:])
		if err != nil {
			f.server.rejected(err.Text)
			f.reply(err.Status, "", []byte(err.Text+"\n"), true)
			return len(in)
		}
		if n == 0 {
			if m.Expects() && !f.told100 {
				f.told100 = true
				conn.Send([]byte(continueLine))
			}
			break
		}
		used += n
		f.told100 = false
		f.call = &Call{Message: m, socket: f, last: m.Close || f.server.stopping}
		f.server.serve(f.call)
	}
	if !conn.Open() {
		return len(in)
	}
	if len(in)-used > socketInput && f.call != nil {
		// Nobody sends so far ahead in good faith. What is in work is answered,
		// and the connection ends with that.
		f.call.last = true
		return len(in)
	}
	return used
}

// Reject answers a call that the client had no business to make, and closes the
// connection: who errs again has to come again.
func (c *Call) Reject(status int, text string) {
	if c.socket.call == c {
		c.socket.server.rejected(text)
		c.last = true
	}
	c.Reply(status, "", []byte(text+"\n"))
}

// rejected counts a request turned away. One line in a while tells of all since
// the last: bad clients come by thousands.
func (s *Server) rejected(reason string) {
	s.counts.Rejected++
	now := s.loop.Now()
	if s.counts.Rejected > 1 && now < s.tellAt {
		return
	}
	slog.Info("requests rejected", "listen", s.listen, "in_all", s.counts.Rejected, "last", reason)
	s.tellAt = now + tellEvery
}

// ServerCounts are a server's totals since its start.
type ServerCounts struct {
	Rejected uint64 // requests that could not be read or made no sense
}

// Counts returns the totals.
func (s *Server) Counts() ServerCounts { return s.counts }

// reply answers on the connection.
func (f *frontSocket) reply(status int, extra string, body []byte, last bool) {
	f.idleAt = f.server.loop.Now()
	if !f.conn.Send(AppendResponse(nil, status, extra, body, last)) {
		f.forget()
		return
	}
	if last {
		f.server.sockets.Drop(f.ref)
		f.conn.Linger()
		f.server.check()
	}
}

// Gone sets what is called if the client goes away before the answer.
func (c *Call) Gone(f func()) { c.gone = f }

// Reply answers the call. Only the first answer counts. extra holds further
// header lines, each with its end.
func (c *Call) Reply(status int, extra string, body []byte) {
	f := c.socket
	if f.call != c {
		return
	}
	f.call = nil
	f.reply(status, extra, body, c.last || f.server.stopping)
	f.conn.Pump()
}
