package transport

import (
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/panjf2000/gnet/v2"

	"ospreybend/internal/slot"
)

const (
	keptBuffer = 16 << 10 // a buffer grown past this is given back once empty
	lingerFor  = time.Second
)

// Handler is what a protocol does with a connection.
type Handler interface {
	// Data gets all bytes that are in and not used yet, and returns how many of
	// them it has used now. The slice is valid during the call.
	Data(c *Conn, in []byte) (used int)
	// Closed tells that the other side or the network has ended the connection.
	// It is not called for a connection that the node closed.
	Closed(c *Conn)
}

// Conn is a connection. Its one buffer holds what came in and is not used yet;
// it grows as needed and is compacted in place.
type Conn struct {
	loop      *Loop
	raw       gnet.Conn
	ref       slot.Ref
	handler   Handler
	opened    func()
	leave     func()
	in        []byte
	from      int // where the unused bytes start
	pumping   bool
	closed    bool
	unsent    bool
	lingering bool
}

// run runs a callback of the connection; a Close in it takes effect after it.
func (c *Conn) run(f func()) gnet.Action {
	outer := c.loop.current
	c.loop.current = c
	f()
	c.loop.current = outer
	if c.closed {
		return gnet.Close
	}
	return gnet.None
}

func (c *Conn) take(data []byte) {
	if c.closed || c.lingering {
		return
	}
	if c.from > 0 && len(c.in)+len(data) > cap(c.in) {
		c.in = c.in[:copy(c.in, c.in[c.from:])]
		c.from = 0
	}
	c.in = append(c.in, data...)
	c.Pump()
}

// Pump offers the bytes in the buffer to the handler once more, as when it has
// become ready for the next of pipelined messages.
func (c *Conn) Pump() {
	if c.pumping || c.closed || c.lingering || c.from == len(c.in) {
		return
	}
	c.pumping = true
	c.from += c.handler.Data(c, c.in[c.from:])
	c.pumping = false
	if c.from == len(c.in) {
		c.in, c.from = c.in[:0], 0
		if cap(c.in) > keptBuffer {
			c.in = nil
		}
	}
}

// Send writes data, or queues what does not fit now. It returns false where the
// connection has broken before all was written; Closed is not called then.
func (c *Conn) Send(data []byte) bool {
	if c.closed {
		return false
	}
	// gnet closes a connection whose write fails, inside the call. The caller
	// learns of it here, once.
	handler := c.handler
	c.handler = nil
	_, err := c.raw.Write(data)
	c.handler = handler
	return err == nil && !c.closed
}

// Sent tells whether the system has taken all that was given to Send.
func (c *Conn) Sent() bool {
	if c.closed {
		return !c.unsent
	}
	return c.raw.OutboundBuffered() == 0
}

// Open tells whether the connection is usable.
func (c *Conn) Open() bool { return !c.closed && !c.lingering }

// Lingering tells whether the node has sent its last here and waits for the
// other side to end the connection.
func (c *Conn) Lingering() bool { return c.lingering && !c.closed }

// Close ends the connection.
func (c *Conn) Close() {
	if c.closed {
		return
	}
	c.closed = true
	if c.raw != nil && c.loop.current != c {
		_ = c.loop.self.Close(c.raw)
	}
}

// Linger ends the sending, and the connection once the other side has ended its
// own: closing at once with bytes unread would reset the connection, and the
// other side would lose the last answer.
func (c *Conn) Linger() {
	if !c.Open() {
		return
	}
	c.lingering = true
	c.in, c.from = nil, 0
	c.loop.Due.Add(c.loop.now+lingerFor, c.Close)
	if c.Sent() {
		_ = syscall.Shutdown(c.raw.Fd(), syscall.SHUT_WR)
	}
}

func isClosed(err error) bool { return errors.Is(err, net.ErrClosed) }
