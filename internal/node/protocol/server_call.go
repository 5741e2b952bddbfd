package protocol

import (
	"strconv"

	"ospreybend/internal/util/http1"
)

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
	if f.call != c || c.parts || c.HTTP10 {
		return false
	}
	c.parts = true
	head := http1.AppendStatusLine(nil, status)
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
