package protocol

import (
	"strconv"

	"ospreybend/internal/util/http1"
)

// Call is one request and the means to answer it, by Reply, Reject or a stream.
type Call struct {
	Message    // valid until serve returns
	client     *clientConn
	closeAfter bool
	clientGone func()
	id         string // set by the front: the request's Req-Id
	bodySize   int    // bytes
	streaming  bool   // between BeginStream and EndStream
}

// OnClientGone sets a callback for when the client disconnects before the answer.
func (c *Call) OnClientGone(f func()) { c.clientGone = f }

// Reply answers the call; further answers are ignored. extra holds further header lines,
// each with its CRLF.
func (c *Call) Reply(status int, extra string, body []byte) {
	client := c.client
	if client.call != c {
		return
	}
	client.call = nil
	client.server.bufferedBytes -= c.bodySize
	client.reply(status, extra, body, c.closeAfter || client.server.stopping)
	client.conn.ProcessBuffered()
}

// BeginStream starts an answer in chunks, which Write sends until EndStream. It returns false
// if the client cannot read one, as with HTTP/1.0.
func (c *Call) BeginStream(status int, extra string) bool {
	client := c.client
	if client.call != c || c.streaming || c.HTTP10 {
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

// Write sends one chunk. Callers should wait for Flushed first, so that a slow client does
// not use up memory.
func (c *Call) Write(part []byte) {
	if len(part) > 0 {
		line := append(strconv.AppendInt(nil, int64(len(part)), 16), "\r\n"...)
		c.send(append(append(line, part...), "\r\n"...))
	}
}

// send writes a part of a streamed answer.
func (c *Call) send(data []byte) {
	if client := c.client; client.call == c && !client.conn.Send(data) {
		client.remove()
	}
}

// Flushed reports whether the operating system has taken all bytes written.
func (c *Call) Flushed() bool { return c.client.call == c && c.client.conn.Flushed() }

// EndStream ends a streamed answer.
func (c *Call) EndStream() {
	client := c.client
	if client.call != c || !c.streaming {
		return
	}
	client.call = nil
	client.server.bufferedBytes -= c.bodySize
	client.lastReplyAt = client.server.loop.Now()
	if !client.conn.Send([]byte("0\r\n\r\n")) {
		client.remove()
		return
	}
	if c.closeAfter || client.server.stopping {
		client.closeAfterLastReply()
		return
	}
	client.conn.ProcessBuffered()
}

// Reject answers an invalid call, counts it and closes the connection.
func (c *Call) Reject(status int, text string) {
	if c.client.call == c {
		c.client.server.countRejected(text)
		c.closeAfter = true
	}
	c.Reply(status, "", []byte(text+"\n"))
}
