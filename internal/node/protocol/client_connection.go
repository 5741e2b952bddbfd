package protocol

import (
	"time"

	"ospreybend/internal/node/eventloop"
	"ospreybend/internal/node/slottable"
	"ospreybend/internal/node/timerqueue"
)

// clientConn is one client's connection to a Server. It has at most one request being
// received and one call in progress.
type clientConn struct {
	server           *Server
	conn             *eventloop.Conn
	handle           slottable.Handle
	call             *Call             // the call in progress; nil: none
	reader           requestReader     // parses the request being received
	requestStartedAt time.Duration     // when the first byte of the request was received, or the connection was opened
	requestTimer     *timerqueue.Timer // fires if the request is not complete in time; nil: none is being received
	lastReadAt       time.Duration     // when a byte was last received
	fragmented       bool              // the request was received in more than one read
	bufferedBytes    int               // unprocessed input
	hasRequested     bool              // a complete request has been received before
	lastReplyAt      time.Duration
	sentContinue     bool // 100 Continue has been sent for the request
}

// startRequestTimer starts the time limit of the next request, unless it is running already.
func (client *clientConn) startRequestTimer() {
	if client.requestTimer == nil {
		client.requestStartedAt = client.server.loop.Now()
		client.requestTimer = client.server.loop.Timers.Add(client.requestStartedAt+requestTimeout, client.requestTimedOut)
	}
}

// requestTimedOut closes a connection whose request is not complete in time, after a 408 response if part of it was received.
// Bytes that are still unread are read first.
func (client *clientConn) requestTimedOut() {
	client.requestTimer = nil
	if !client.conn.NothingUnread() {
		client.requestTimer = client.server.loop.Timers.Add(client.server.loop.Now()+readDelayBound, client.requestTimedOut) // read the received bytes first
		return
	}
	if client.bufferedBytes == 0 {
		client.server.counts.Silent++
		client.close()
		return
	}
	client.rejectUnreadable(&Fault{Status: 408, Reason: "the request did not come in time"})
}

// close closes the connection at once.
func (client *clientConn) close() {
	client.conn.Close()
	client.remove()
}

// remove removes the connection from the server and calls the OnClientGone callback of its call in progress.
func (client *clientConn) remove() {
	if !client.server.sockets.Remove(client.handle) {
		return
	}
	client.releaseInput()
	if c := client.call; c != nil {
		client.call = nil
		client.server.bufferedBytes -= c.bodySize
		if c.clientGone != nil {
			c.clientGone()
		}
	}
	client.server.checkDrained()
}

// releaseInput stops the timer of the request being received and releases its bytes.
func (client *clientConn) releaseInput() {
	client.server.loop.Timers.Cancel(client.requestTimer)
	client.requestTimer = nil
	client.server.bufferedBytes -= client.bufferedBytes
	client.bufferedBytes = 0
}

// Closed implements eventloop.Handler: the client has disconnected.
func (client *clientConn) Closed(*eventloop.Conn) { client.remove() }

// Data implements eventloop.Handler: it parses and serves one request at a time. It returns
// the number of bytes processed.
func (client *clientConn) Data(conn *eventloop.Conn, in []byte) int {
	client.lastReadAt, client.fragmented = client.server.loop.Now(), client.bufferedBytes > 0
	used := 0
	for client.call == nil && conn.Open() && used < len(in) {
		if conn.UnsentBytes() > maxUnreadReplyBytes {
			client.server.counts.Shed++
			client.closeAfterLastReply() // the client still gets the answers that it reads before the close
			break
		}
		m, n, err := client.reader.read(in[used:])
		if err != nil {
			client.rejectUnreadable(err)
			break
		}
		if n == 0 {
			if client.reader.expectsContinue && !client.sentContinue {
				client.sentContinue = true
				conn.Send([]byte(continueLine))
			}
			break
		}
		used += n
		client.serve(m)
	}
	switch {
	case !conn.Open():
		return len(in)
	case client.call != nil && (client.call.closeAfter || len(in)-used > maxPipelinedBytes):
		// A well-behaved client does not send so far ahead. The call in progress is answered,
		// and then the connection is closed.
		client.call.closeAfter = true
		used = len(in)
	case client.call == nil && used < len(in):
		client.startRequestTimer()
	}
	client.setBuffered(len(in) - used)
	return used
}

// serve starts the call of a complete request.
func (client *clientConn) serve(m Message) {
	s := client.server
	client.releaseInput()
	client.reader, client.sentContinue, client.hasRequested = requestReader{}, false, true
	if s.bufferedBytes+len(m.Body) > s.maxBufferedBytes {
		s.counts.Shed++
		client.replyError(503, atCapacityText, nil)
		return
	}
	client.call = &Call{Message: m, client: client, closeAfter: m.Close || s.stopping, bodySize: len(m.Body)}
	s.bufferedBytes += client.call.bodySize
	s.serve(client.call)
}

// rejectUnreadable counts and answers a malformed request, and closes the connection.
func (client *clientConn) rejectUnreadable(fault *Fault) {
	client.server.countRejected(fault.Reason)
	client.replyError(fault.Status, fault.Reason, []byte(fault.Reason+"\n"))
}

// replyError answers a request that does not become a call, and closes the connection.
// plainBody is the body if the server has no FormatError.
func (client *clientConn) replyError(status int, text string, plainBody []byte) {
	extra := ""
	if client.server.FormatError != nil {
		extra, plainBody = client.server.FormatError(status, text)
	}
	if status == 503 {
		extra += RetryAfter(time.Second)
	}
	client.reply(status, extra, plainBody, true)
}

// reply sends an answer. If last is set, the connection is closed after it.
func (client *clientConn) reply(status int, extra string, body []byte, last bool) {
	client.lastReplyAt = client.server.loop.Now()
	if !client.conn.Send(AppendResponse(nil, status, extra, body, last)) {
		client.remove()
		return
	}
	if last {
		client.closeAfterLastReply()
	}
}

// closeAfterLastReply stops serving the connection and closes it once the client has read
// the last answer.
func (client *clientConn) closeAfterLastReply() {
	client.releaseInput()
	client.server.sockets.Remove(client.handle)
	client.server.linger(client.conn)
	client.server.checkDrained()
}
