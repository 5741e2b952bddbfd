package protocol

import (
	"log/slog"
	"net"
	"time"

	"ospreybend/internal/node/eventloop"
	"ospreybend/internal/node/slottable"
)

const (
	spareSockets        = 8                           // connections kept free by shedding others
	overflowSockets     = 2                           // the last of spareSockets: connections that use them are answered 503 at once
	requestTimeout      = 2800 * time.Millisecond     // from the opening of the connection, or the first byte of a later request, to the last byte of the request
	freshConnAge        = 25 * time.Millisecond       // the first request of an ordinary client is received within it
	slowRequestAge      = 250 * time.Millisecond      // a request that received nothing for longer is slow
	stalledRequestAge   = 2 * time.Second             // a request that received nothing for longer is stalled
	shortIdleAge        = 500 * time.Millisecond      // an idle connection older than this is shed before slow requests
	readDelayBound      = 2 * time.Millisecond        // the loop reads received bytes within it
	unfinishedDivisor   = 2                           // once more than 1/unfinishedDivisor of the connections have unfinished requests, those are shed first
	maxPipelinedBytes   = maxHeadBytes                // limit of pipelined input while a call is in progress
	maxUnreadReplyBytes = maxBodyBytes + maxHeadBytes // limit of unread answers of a client that sends further requests
	logInterval         = 10 * time.Second
	atCapacityText      = "there is no room for the request just now"
	continueLine        = "HTTP/1.1 100 Continue\r\n\r\n"
)

// Server is an HTTP/1.1 server on the event loop. It answers each request once, in the order
// of receipt. It limits the time, the connections and the memory that clients can use without
// completing a request, by the rules in server_shedding.go. Its state is confined to the loop.
type Server struct {
	loop   *eventloop.Loop
	listen string
	serve  func(*Call)

	// FormatError returns header lines and the body of the answer to a request that cannot be
	// parsed or is rejected at capacity. If it is nil the answer is plain text.
	FormatError func(status int, text string) (extra string, body []byte)

	// The limits.
	maxSockets       int // the present limit of connections
	socketLimit      int // the maximum of maxSockets
	maxBufferedBytes int // limit of unprocessed input, over all connections

	// The connections.
	listener      *eventloop.Listener
	sockets       slottable.Table[*clientConn]
	bufferedBytes int               // of unprocessed input, over all connections
	lingering     []*eventloop.Conn // connections whose last answer was sent, oldest first
	openLingering int               // number of lingering connections that are not closed

	// Shutdown; see Stop.
	stopping      bool
	listenerEnded bool // no further connection is accepted
	drained       func()

	counts    ServerCounts
	nextLogAt time.Duration // when rejected requests may be logged again
}

// ServerCounts are a server's totals since its start.
type ServerCounts struct {
	Rejected   uint64 // requests that were malformed, invalid or incomplete at their time-out
	Silent     uint64 // connections closed because nothing was received on them
	Shed       uint64 // connections closed to keep within the limits
	AtCapacity uint64 // connections answered 503 at capacity
}

// NewServer returns a server for an address; Start opens it. It has at most maxSockets
// connections and buffers at most maxBufferedBytes of unprocessed input. serve is called on
// the loop, and each call must be answered once, by serve or later.
func NewServer(loop *eventloop.Loop, listen string, maxSockets, maxBufferedBytes int, serve func(*Call)) *Server {
	return &Server{loop: loop, listen: listen, maxSockets: maxSockets, socketLimit: maxSockets, maxBufferedBytes: maxBufferedBytes, serve: serve}
}

// Start listens on the address. It returns the error of net.Listen.
func (s *Server) Start() error {
	ln, err := net.Listen("tcp", s.listen)
	if err != nil {
		return err
	}
	s.StartOn(ln)
	return nil
}

// StartOn accepts clients on a listening socket.
func (s *Server) StartOn(ln net.Listener) {
	s.listener = s.loop.Accept(ln, s.socketLimit, s.accept, func() {
		s.listenerEnded = true
		s.checkDrained()
	})
}

// Accepting reports whether new connections are accepted.
func (s *Server) Accepting() bool { return s.listener != nil && !s.stopping }

// Stop shuts the server down gracefully: it accepts no further connection, and each answer from
// now on is the last on its connection. Clients may send further requests on idle connections
// until these are closed, after the given time. drained is called once, when no connection is
// left and each client has closed its side or has had time to do so: a process that exits with
// unread input would reset the connection, and the last answer would be lost.
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
	s.sockets.All(func(_ slottable.Handle, client *clientConn) {
		if client.call != nil {
			client.call.closeAfter = true
		}
	})
	if after > 0 {
		s.loop.Timers.Add(s.loop.Now()+after, s.closeIdle)
	} else {
		s.closeIdle()
	}
	s.checkDrained()
}

// closeIdle closes the connections that have no request in progress. A request that has been
// received but not read yet is served first, since it could not be answered after the close.
func (s *Server) closeIdle() {
	again := false
	s.sockets.All(func(_ slottable.Handle, client *clientConn) {
		switch {
		case client.call != nil || client.bufferedBytes > 0:
		case client.conn.NothingUnread():
			client.closeAfterLastReply()
		default:
			again = true
		}
	})
	if again {
		s.loop.Timers.Add(s.loop.Now()+readDelayBound, s.closeIdle)
	}
}

// checkDrained calls drained once the last connection has been closed after Stop.
func (s *Server) checkDrained() {
	if s.stopping && s.listenerEnded && s.drained != nil && s.sockets.Len() == 0 && s.openLingering == 0 {
		drained := s.drained
		s.drained = nil
		drained()
	}
}

// Counts returns the totals since the start.
func (s *Server) Counts() ServerCounts { return s.counts }

// accept sets up a new connection. At capacity it answers 503.
func (s *Server) accept(conn *eventloop.Conn) eventloop.Handler {
	client := &clientConn{server: s, conn: conn}
	client.handle = s.sockets.Add(client)
	client.startRequestTimer()
	if s.stopping { // accepted from the listen backlog: an ordinary client's request has been received or arrives soon
		s.loop.Timers.Add(s.loop.Now()+freshConnAge, s.closeIdle)
	}
	s.shedExcess()
	if s.listener.Open() > s.maxSockets-overflowSockets {
		// No other connection could be shed. Without an answer the client would wait in the
		// listen backlog.
		s.counts.AtCapacity++
		client.replyError(503, atCapacityText, nil)
	}
	return client
}

// countRejected counts a rejected request. It logs at most one line per logInterval, with the
// total, since a faulty client may send thousands of them.
func (s *Server) countRejected(reason string) {
	s.counts.Rejected++
	now := s.loop.Now()
	if s.counts.Rejected > 1 && now < s.nextLogAt {
		return
	}
	slog.Info("requests rejected", "listen", s.listen, "in_all", s.counts.Rejected, "last", reason)
	s.nextLogAt = now + logInterval
}

// linger closes a connection once the client has read its last answer, and tracks it until
// then.
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
