package protocol

import (
	"log/slog"
	"net"
	"strconv"
	"time"

	"ospreybend/internal/due"
	"ospreybend/internal/httpwire"
	"ospreybend/internal/slot"
	"ospreybend/internal/transport"
)

const (
	socketSpare   = 8                       // front sockets kept free: past that, some are shed
	socketLast    = 2                       // the last of these turn who comes away at once
	requestWithin = 2800 * time.Millisecond // from the connection's start, or a later request's first byte, to its last
	freshFor      = 25 * time.Millisecond   // a connection younger than this may yet bring a usual client's request
	slowFor       = 250 * time.Millisecond  // and one that has brought a part of it, the next
	stalledFor    = 2 * time.Second         // one that has brought no more for so long will not
	restedFor     = 500 * time.Millisecond  // an idle connection that a usual client hardly misses
	readSoon      = 2 * time.Millisecond    // what has come is read by the loop within it
	slowShare     = 2                       // unfinished requests may fill one front socket in so many before they go first
	mostAhead     = maxHead                 // most bytes kept of what a client sends while its call is in work
	mostUnread    = maxBody + maxHead       // and of answers that it does not read while it asks on
	tellEvery     = 10 * time.Second
	noRoom        = "there is no room for the request just now"
	continueLine  = "HTTP/1.1 100 Continue\r\n\r\n"
)

// Server is the side towards clients of a front: HTTP/1.1 requests in, one
// answer to each out, in order. It bounds what a client can take up without
// bringing a request: time, sockets and memory.
type Server struct {
	loop   *transport.Loop
	listen string
	most   int // front sockets, at this time
	all    int // and at most
	memory int // bytes of input held at most
	serve  func(*Call)

	// Complain writes what a client is told of a request that cannot be read, or
	// for which there is no room. nil: the text as it is.
	Complain func(status int, text string) (extra string, body []byte)

	listener  *transport.Listener
	sockets   slot.Table[*frontSocket]
	lingering []*transport.Conn // answered for the last time, oldest first
	parting   int               // of these, not closed yet
	held      int               // bytes of input held
	stopping  bool
	ended     bool // nothing more is accepted
	drained   func()
	counts    ServerCounts
	tellAt    time.Duration // when to log of rejected requests again
}

// ServerCounts are a server's totals since its start.
type ServerCounts struct {
	Rejected uint64 // requests that could not be read, made no sense or did not come whole
	Silent   uint64 // connections closed as nothing came on them
	Shed     uint64 // connections closed to make room for others
	Full     uint64 // connections answered 503, as there was no room
}

// Call is one request and the way to answer it.
type Call struct {
	Message // valid until serve returns
	socket  *frontSocket
	last    bool
	gone    func()
	id      string // what the front knows it by
	size    int    // of the body
	parts   bool   // the answer goes out in parts
}

// frontSocket is the client's side of a connection.
type frontSocket struct {
	server  *Server
	conn    *transport.Conn
	ref     slot.Ref
	call    *Call         // whose answer is owed; nil: none
	reader  requestReader // of the request that is coming
	began   time.Duration // when it began to come, or the connection
	limit   *due.Deadline // by which it must be whole
	heard   time.Duration // when the last of it came
	pieces  bool          // it has come in more than one
	held    int           // bytes of input held for it
	asked   bool          // has brought a whole request
	since   time.Duration // the last answer
	told100 bool
}

// NewServer makes a server; Start opens it. It keeps at most most front sockets
// and holds at most memory bytes of what has come in on them. serve must see to
// it that each call is answered once, then or later.
func NewServer(loop *transport.Loop, listen string, most, memory int, serve func(*Call)) *Server {
	return &Server{loop: loop, listen: listen, most: most, all: most, memory: memory, serve: serve}
}

// Start listens.
func (s *Server) Start() error {
	ln, err := net.Listen("tcp", s.listen)
	if err != nil {
		return err
	}
	s.StartOn(ln)
	return nil
}

// StartOn accepts clients on a socket that listens already.
func (s *Server) StartOn(ln net.Listener) {
	s.listener = s.loop.Accept(ln, s.all, s.accept, func() {
		s.ended = true
		s.check()
	})
}

// Accepting tells whether clients are let in.
func (s *Server) Accepting() bool { return s.listener != nil && !s.stopping }

// Stop accepts nothing more. Each answer from now on is the last on its
// connection, and after a while those that owe nothing are closed: until then
// clients may use the ones that they have, and what they have sent is read. drained
// is called when none is left, and each client has ended its side too or has had the
// time for it: the end of a process closes over unread bytes, and answers go with that.
func (s *Server) Stop(after time.Duration, drained func()) {
	if s.stopping {
		return
	}
	s.stopping, s.drained = true, drained
	if s.listener != nil {
		s.listener.Finish()
	} else {
		s.ended = true
	}
	s.sockets.All(func(_ slot.Ref, f *frontSocket) {
		if f.call != nil {
			f.call.last = true
		}
	})
	if after > 0 {
		s.loop.Due.Add(s.loop.Now()+after, s.closeIdle)
	} else {
		s.closeIdle()
	}
	s.check()
}

// closeIdle ends the front sockets that have brought nothing that is unanswered. A
// request that has come and is not read yet is served first; one that is read after the
// end of the sending could not be answered, and goes no further.
func (s *Server) closeIdle() {
	again := false
	s.sockets.All(func(_ slot.Ref, f *frontSocket) {
		switch {
		case f.call != nil || f.held > 0:
		case f.conn.Quiet():
			f.finish()
		default:
			again = true
		}
	})
	if again {
		s.loop.Due.Add(s.loop.Now()+readSoon, s.closeIdle)
	}
}

func (s *Server) check() {
	if s.stopping && s.ended && s.drained != nil && s.sockets.Len() == 0 && s.parting == 0 {
		drained := s.drained
		s.drained = nil
		drained()
	}
}

// Counts returns the totals.
func (s *Server) Counts() ServerCounts { return s.counts }

func (s *Server) accept(c *transport.Conn) transport.Handler {
	f := &frontSocket{server: s, conn: c}
	f.ref = s.sockets.Add(f)
	f.await()
	if s.stopping { // it waited in the backlog; a usual client's request is there, or comes at once
		s.loop.Due.Add(s.loop.Now()+freshFor, s.closeIdle)
	}
	s.makeRoom()
	if s.listener.Open() > s.most-socketLast {
		// All have a request in work. Who waits in the system's queue would wait
		// without a word; this way each is told.
		s.counts.Full++
		f.complain(503, noRoom, nil)
	}
	return f
}

// await sets the time limit for the request that is to come or is coming.
func (f *frontSocket) await() {
	if f.limit == nil {
		f.began = f.server.loop.Now()
		f.limit = f.server.loop.Due.Add(f.began+requestWithin, f.late)
	}
}

// late ends a connection whose request has not come whole in time.
func (f *frontSocket) late() {
	f.limit = nil
	if !f.conn.Quiet() {
		f.limit = f.server.loop.Due.Add(f.server.loop.Now()+readSoon, f.late) // it is to be read first
		return
	}
	if f.held == 0 {
		f.server.counts.Silent++
		f.close()
		return
	}
	f.refuse(&Fault{Status: 408, Text: "the request did not come in time"})
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
	f.release()
	if c := f.call; c != nil {
		f.call = nil
		f.server.held -= c.size
		if c.gone != nil {
			c.gone()
		}
	}
	f.server.check()
}

// release gives back what the request that was coming took up.
func (f *frontSocket) release() {
	f.server.loop.Due.Drop(f.limit)
	f.limit = nil
	f.server.held -= f.held
	f.held = 0
}

// Closed is the client's going away.
func (f *frontSocket) Closed(*transport.Conn) { f.forget() }

// Data takes in what a client sends: one request at a time.
func (f *frontSocket) Data(conn *transport.Conn, in []byte) int {
	f.heard, f.pieces = f.server.loop.Now(), f.held > 0
	used := 0
	for f.call == nil && conn.Open() && used < len(in) {
		if conn.Unsent() > mostUnread {
			f.server.counts.Shed++
			f.finish() // it has what it reads of the answers until then
			break
		}
		m, n, err := f.reader.read(in[used:])
		if err != nil {
			f.refuse(err)
			break
		}
		if n == 0 {
			if f.reader.expects && !f.told100 {
				f.told100 = true
				conn.Send([]byte(continueLine))
			}
			break
		}
		used += n
		f.take(m)
	}
	switch {
	case !conn.Open():
		return len(in)
	case f.call != nil && (f.call.last || len(in)-used > mostAhead):
		// Nobody sends so far ahead in good faith. What is in work is answered,
		// and the connection ends with that.
		f.call.last = true
		used = len(in)
	case f.call == nil && used < len(in):
		f.await()
	}
	f.hold(len(in) - used)
	return used
}

// take has a whole request served.
func (f *frontSocket) take(m Message) {
	s := f.server
	f.release()
	f.reader, f.told100, f.asked = requestReader{}, false, true
	if s.held+len(m.Body) > s.memory {
		s.counts.Shed++
		f.complain(503, noRoom, nil)
		return
	}
	f.call = &Call{Message: m, socket: f, last: m.Close || s.stopping, size: len(m.Body)}
	s.held += f.call.size
	s.serve(f.call)
}

// refuse answers what cannot be read, and ends the connection.
func (f *frontSocket) refuse(why *Fault) {
	f.server.rejected(why.Text)
	f.complain(why.Status, why.Text, []byte(why.Text+"\n"))
}

// complain answers what never becomes a call, and ends the connection.
func (f *frontSocket) complain(status int, text string, plain []byte) {
	extra := ""
	if f.server.Complain != nil {
		extra, plain = f.server.Complain(status, text)
	}
	if status == 503 {
		extra += RetryAfter(time.Second)
	}
	f.reply(status, extra, plain, true)
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

// reply answers on the connection.
func (f *frontSocket) reply(status int, extra string, body []byte, last bool) {
	f.since = f.server.loop.Now()
	if !f.conn.Send(AppendResponse(nil, status, extra, body, last)) {
		f.forget()
		return
	}
	if last {
		f.finish()
	}
}

// finish ends a connection that has had its last answer.
func (f *frontSocket) finish() {
	f.release()
	f.server.sockets.Drop(f.ref)
	f.server.linger(f.conn)
	f.server.check()
}

// linger ends a connection after its last answer, and remembers it for as long
// as it stays open.
func (s *Server) linger(c *transport.Conn) {
	for len(s.lingering) > 0 && !s.lingering[0].Lingering() {
		s.lingering = s.lingering[1:]
	}
	s.lingering = append(s.lingering, c)
	s.parting++
	c.Linger(func() {
		s.parting--
		s.check()
	})
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
	f.server.held -= c.size
	f.reply(status, extra, body, c.last || f.server.stopping)
	f.conn.Pump()
}

// Begin starts an answer that goes out in parts, as they come to be, until End.
// It tells whether the client can read one: a client of HTTP/1.0 cannot.
func (c *Call) Begin(status int, extra string) bool {
	f := c.socket
	if f.call != c || c.parts || c.Old {
		return false
	}
	c.parts = true
	head := httpwire.AppendStatusLine(nil, status)
	head = append(head, "Transfer-Encoding: chunked\r\n"+extra...)
	if c.last {
		head = append(head, "Connection: close\r\n"...)
	}
	c.put(append(head, "\r\n"...))
	return true
}

// Write sends one part. Who looks at Flushed first keeps a slow client from
// taking up memory.
func (c *Call) Write(part []byte) {
	if len(part) > 0 {
		line := append(strconv.AppendInt(nil, int64(len(part)), 16), "\r\n"...)
		c.put(append(append(line, part...), "\r\n"...))
	}
}

func (c *Call) put(data []byte) {
	if f := c.socket; f.call == c && !f.conn.Send(data) {
		f.forget()
	}
}

// Flushed tells whether the system has taken all that was written.
func (c *Call) Flushed() bool { return c.socket.call == c && c.socket.conn.Sent() }

// End ends an answer in parts.
func (c *Call) End() {
	f := c.socket
	if f.call != c || !c.parts {
		return
	}
	f.call = nil
	f.server.held -= c.size
	f.since = f.server.loop.Now()
	if !f.conn.Send([]byte("0\r\n\r\n")) {
		f.forget()
		return
	}
	if c.last || f.server.stopping {
		f.finish()
		return
	}
	f.conn.Pump()
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
