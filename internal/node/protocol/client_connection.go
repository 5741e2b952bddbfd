package protocol

import (
	"time"

	"ospreybend/internal/node/eventloop"
	"ospreybend/internal/node/slottable"
	"ospreybend/internal/node/timerqueue"
)

// clientConn is the client's side of a connection.
type clientConn struct {
	server        *Server
	conn          *eventloop.Conn
	handle        slottable.Handle
	call          *Call             // whose answer is owed; nil: none
	reader        requestReader     // of the request that is coming
	requestBegan  time.Duration     // when it began to come, or the connection
	requestTimer  *timerqueue.Timer // by which it must be whole
	lastReadAt    time.Duration     // when the last of it came
	fragmented    bool              // it has come in more than one
	bufferedBytes int               // bytes of input held for it
	hasRequested  bool              // has brought a whole request
	lastReplyAt   time.Duration     // the last answer
	sentContinue  bool
}

// startRequestTimer sets the time limit for the request that is to come or is coming.
func (f *clientConn) startRequestTimer() {
	if f.requestTimer == nil {
		f.requestBegan = f.server.loop.Now()
		f.requestTimer = f.server.loop.Timers.Add(f.requestBegan+requestTimeout, f.requestTimedOut)
	}
}

// requestTimedOut ends a connection whose request has not come whole in time.
func (f *clientConn) requestTimedOut() {
	f.requestTimer = nil
	if !f.conn.NothingUnread() {
		f.requestTimer = f.server.loop.Timers.Add(f.server.loop.Now()+readDelayBound, f.requestTimedOut) // it is to be read first
		return
	}
	if f.bufferedBytes == 0 {
		f.server.counts.Silent++
		f.close()
		return
	}
	f.rejectUnreadable(&Fault{Status: 408, Reason: "the request did not come in time"})
}

func (f *clientConn) close() {
	f.conn.Close()
	f.remove()
}

// remove drops the socket and tells whoever works on its call.
func (f *clientConn) remove() {
	if !f.server.sockets.Remove(f.handle) {
		return
	}
	f.releaseInput()
	if c := f.call; c != nil {
		f.call = nil
		f.server.bufferedBytes -= c.bodySize
		if c.clientGone != nil {
			c.clientGone()
		}
	}
	f.server.checkDrained()
}

// releaseInput gives back what the request that was coming took up.
func (f *clientConn) releaseInput() {
	f.server.loop.Timers.Cancel(f.requestTimer)
	f.requestTimer = nil
	f.server.bufferedBytes -= f.bufferedBytes
	f.bufferedBytes = 0
}

// Closed is the client's going away.
func (f *clientConn) Closed(*eventloop.Conn) { f.remove() }

// Data takes in what a client sends: one request at a time.
func (f *clientConn) Data(conn *eventloop.Conn, in []byte) int {
	f.lastReadAt, f.fragmented = f.server.loop.Now(), f.bufferedBytes > 0
	used := 0
	for f.call == nil && conn.Open() && used < len(in) {
		if conn.UnsentBytes() > maxUnreadReplyBytes {
			f.server.counts.Shed++
			f.closeAfterLastReply() // it has what it reads of the answers until then
			break
		}
		m, n, err := f.reader.read(in[used:])
		if err != nil {
			f.rejectUnreadable(err)
			break
		}
		if n == 0 {
			if f.reader.expectsContinue && !f.sentContinue {
				f.sentContinue = true
				conn.Send([]byte(continueLine))
			}
			break
		}
		used += n
		f.serve(m)
	}
	switch {
	case !conn.Open():
		return len(in)
	case f.call != nil && (f.call.closeAfter || len(in)-used > maxPipelinedBytes):
		// Nobody sends so far ahead in good faith. What is in work is answered,
		// and the connection ends with that.
		f.call.closeAfter = true
		used = len(in)
	case f.call == nil && used < len(in):
		f.startRequestTimer()
	}
	f.setBuffered(len(in) - used)
	return used
}

// serve has a whole request served.
func (f *clientConn) serve(m Message) {
	s := f.server
	f.releaseInput()
	f.reader, f.sentContinue, f.hasRequested = requestReader{}, false, true
	if s.bufferedBytes+len(m.Body) > s.maxBufferedBytes {
		s.counts.Shed++
		f.replyError(503, atCapacityText, nil)
		return
	}
	f.call = &Call{Message: m, conn: f, closeAfter: m.Close || s.stopping, bodySize: len(m.Body)}
	s.bufferedBytes += f.call.bodySize
	s.serve(f.call)
}

// rejectUnreadable answers what cannot be read, and ends the connection.
func (f *clientConn) rejectUnreadable(why *Fault) {
	f.server.countRejected(why.Reason)
	f.replyError(why.Status, why.Reason, []byte(why.Reason+"\n"))
}

// replyError answers what never becomes a call, and ends the connection.
func (f *clientConn) replyError(status int, text string, plain []byte) {
	extra := ""
	if f.server.FormatError != nil {
		extra, plain = f.server.FormatError(status, text)
	}
	if status == 503 {
		extra += RetryAfter(time.Second)
	}
	f.reply(status, extra, plain, true)
}

// reply answers on the connection.
func (f *clientConn) reply(status int, extra string, body []byte, last bool) {
	f.lastReplyAt = f.server.loop.Now()
	if !f.conn.Send(AppendResponse(nil, status, extra, body, last)) {
		f.remove()
		return
	}
	if last {
		f.closeAfterLastReply()
	}
}

// closeAfterLastReply ends a connection that has had its last answer.
func (f *clientConn) closeAfterLastReply() {
	f.releaseInput()
	f.server.sockets.Remove(f.handle)
	f.server.linger(f.conn)
	f.server.checkDrained()
}
