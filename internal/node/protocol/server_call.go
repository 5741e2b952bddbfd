package protocol

import (
	"strconv"

	"ospreybend/internal/util/http1"
)

// Call is one request and the way to answer it.
type Call struct {
	Message    // valid until serve returns
	conn       *clientConn
	closeAfter bool
	clientGone func()
	id         string // what the front knows it by
	bodySize   int    // of the body
	streaming  bool   // the answer goes out in parts
}

// OnClientGone sets what is called if the client goes away before the answer.
func (c *Call) OnClientGone(f func()) { c.clientGone = f }

// Reply answers the call. Only the first answer counts. extra holds further
// header lines, each with its end.
func (c *Call) Reply(status int, extra string, body []byte) {
	f := c.conn
	if f.call != c {
		return
	}
	f.call = nil
	f.server.bufferedBytes -= c.bodySize
	f.reply(status, extra, body, c.closeAfter || f.server.stopping)
	f.conn.Pump()
}

// BeginStream starts an answer that goes out in parts, as they come to be, until End.
// It tells whether the client can read one: a client of HTTP/1.0 cannot.
func (c *Call) BeginStream(status int, extra string) bool {
	f := c.conn
	if f.call != c || c.streaming || c.HTTP10 {
		return false
	}
	c.streaming = true
	head := http1.AppendStatusLine(nil, status)
	head = append(head, "Transfer-Encoding: chunked\r\n"+extra...)
	if c.closeAfter {
		head = append(head, "Connection: close\r\n"...)
	}
	c.send(append(head, "\r\n"...))
	return true
}

// Write sends one part. Who looks at Flushed first keeps a slow client from
// taking up memory.
func (c *Call) Write(part []byte) {
	if len(part) > 0 {
		line := append(strconv.AppendInt(nil, int64(len(part)), 16), "\r\n"...)
		c.send(append(append(line, part...), "\r\n"...))
	}
}

func (c *Call) send(data []byte) {
	if f := c.conn; f.call == c && !f.conn.Send(data) {
		f.remove()
	}
}

// Flushed tells whether the system has taken all that was written.
func (c *Call) Flushed() bool { return c.conn.call == c && c.conn.conn.Flushed() }

// EndStream ends an answer in parts.
func (c *Call) EndStream() {
	f := c.conn
	if f.call != c || !c.streaming {
		return
	}
	f.call = nil
	f.server.bufferedBytes -= c.bodySize
	f.lastReplyAt = f.server.loop.Now()
	if !f.conn.Send([]byte("0\r\n\r\n")) {
		f.remove()
		return
	}
	if c.closeAfter || f.server.stopping {
		f.closeAfterLastReply()
		return
	}
	f.conn.Pump()
}

// Reject answers a call that the client had no business to make, and closes the
// connection: who errs again has to come again.
func (c *Call) Reject(status int, text string) {
	if c.conn.call == c {
		c.conn.server.countRejected(text)
		c.closeAfter = true
	}
	c.Reply(status, "", []byte(text+"\n"))
}
