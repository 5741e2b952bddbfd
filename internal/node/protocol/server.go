package protocol

import (
	"log/slog"
	"net"
	"time"

	"ospreybend/internal/node/eventloop"
	"ospreybend/internal/node/slottable"
)

const (
	spareSockets        = 8                           // front sockets kept free: past that, some are shed
	lastSockets         = 2                           // the last of these turn who comes away at once
	requestTimeout      = 2800 * time.Millisecond     // from the connection's start, or a later request's first byte, to its last
	freshConnAge        = 25 * time.Millisecond       // a connection younger than this may yet bring a usual client's request
	slowRequestAge      = 250 * time.Millisecond      // and one that has brought a part of it, the next
	stalledRequestAge   = 2 * time.Second             // one that has brought no more for so long will not
	shortIdleAge        = 500 * time.Millisecond      // an idle connection that a usual client hardly misses
	readDelayBound      = 2 * time.Millisecond        // what has come is read by the loop within it
	unfinishedShare     = 2                           // unfinished requests may fill one front socket in so many before they go first
	maxPipelinedBytes   = maxHeadBytes                // most bytes kept of what a client sends while its call is in work
	maxUnreadReplyBytes = maxBodyBytes + maxHeadBytes // and of answers that it does not read while it asks on
	logInterval         = 10 * time.Second
	atCapacityText      = "there is no room for the request just now"
	continueLine        = "HTTP/1.1 100 Continue\r\n\r\n"
)

// Server is the side towards clients of a front: HTTP/1.1 requests in, one
// answer to each out, in order. It bounds what a client can take up without
// bringing a request: time, sockets and memory.
type Server struct {
	loop             *eventloop.Loop
	listen           string
	maxSockets       int // front sockets, at this time
	socketLimit      int // and at most
	maxBufferedBytes int // bytes of input held at most
	serve            func(*Call)

	// FormatError writes what a client is told of a request that cannot be read, or
	// for which there is no room. nil: the text as it is.
	FormatError func(status int, text string) (extra string, body []byte)

	listener      *eventloop.Listener
	sockets       slottable.Table[*clientConn]
	lingering     []*eventloop.Conn // answered for the last time, oldest first
	openLingering int               // of these, not closed yet
	bufferedBytes int               // bytes of input held
	stopping      bool
	listenerEnded bool // nothing more is accepted
	drained       func()
	counts        ServerCounts
	nextLogAt     time.Duration // when to log of rejected requests again
}

// ServerCounts are a server's totals since its start.
type ServerCounts struct {
	Rejected uint64 // requests that could not be read, made no sense or did not come whole
	Silent   uint64 // connections closed as nothing came on them
	Shed     uint64 // connections closed to make room for others
	Full     uint64 // connections answered 503, as there was no room
}

// NewServer makes a server; Start opens it. It keeps at most most front sockets
// and holds at most memory bytes of what has come in on them. serve must see to
// it that each call is answered once, then or later.
func NewServer(loop *eventloop.Loop, listen string, most, memory int, serve func(*Call)) *Server {
	return &Server{loop: loop, listen: listen, maxSockets: most, socketLimit: most, maxBufferedBytes: memory, serve: serve}
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
	s.listener = s.loop.Accept(ln, s.socketLimit, s.accept, func() {
		s.listenerEnded = true
		s.checkDrained()
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
		s.listener.CloseAfterBacklog()
	} else {
		s.listenerEnded = true
	}
	s.sockets.All(func(_ slottable.Handle, f *clientConn) {
		if f.call != nil {
			f.call.closeAfter = true
		}
	})
	if after > 0 {
		s.loop.Timers.Add(s.loop.Now()+after, s.closeIdle)
	} else {
		s.closeIdle()
	}
	s.checkDrained()
}

// closeIdle ends the front sockets that have brought nothing that is unanswered. A
// request that has come and is not read yet is served first; one that is read after the
// end of the sending could not be answered, and goes no further.
func (s *Server) closeIdle() {
	again := false
	s.sockets.All(func(_ slottable.Handle, f *clientConn) {
		switch {
		case f.call != nil || f.bufferedBytes > 0:
		case f.conn.NothingUnread():
			f.closeAfterLastReply()
		default:
			again = true
		}
	})
	if again {
		s.loop.Timers.Add(s.loop.Now()+readDelayBound, s.closeIdle)
	}
}

func (s *Server) checkDrained() {
	if s.stopping && s.listenerEnded && s.drained != nil && s.sockets.Len() == 0 && s.openLingering == 0 {
		drained := s.drained
		s.drained = nil
		drained()
	}
}

// Counts returns the totals.
func (s *Server) Counts() ServerCounts { return s.counts }

func (s *Server) accept(conn *eventloop.Conn) eventloop.Handler {
	client := &clientConn{server: s, conn: conn}
	client.handle = s.sockets.Add(client)
	client.startRequestTimer()
	if s.stopping { // it waited in the backlog; a usual client's request is there, or comes at once
		s.loop.Timers.Add(s.loop.Now()+freshConnAge, s.closeIdle)
	}
	s.shedExcess()
	if s.listener.Open() > s.maxSockets-lastSockets {
		// All have a request in work. Who waits in the system's queue would wait
		// without a word; this way each is told.
		s.counts.Full++
		client.replyError(503, atCapacityText, nil)
	}
	return client
}

// countRejected counts a request turned away. One line in a while tells of all since
// the last: bad clients come by thousands.
func (s *Server) countRejected(reason string) {
	s.counts.Rejected++
	now := s.loop.Now()
	if s.counts.Rejected > 1 && now < s.nextLogAt {
		return
	}
	slog.Info("requests rejected", "listen", s.listen, "in_all", s.counts.Rejected, "last", reason)
	s.nextLogAt = now + logInterval
}

// linger ends a connection after its last answer, and remembers it for as long
// as it stays open.
func (s *Server) linger(conn *eventloop.Conn) {
	for len(s.lingering) > 0 && !s.lingering[0].Lingering() {
		s.lingering = s.lingering[1:]
	}
	s.lingering = append(s.lingering, conn)
	s.openLingering++
	conn.Linger(func() {
		s.openLingering--
		s.checkDrained()
	})
}
