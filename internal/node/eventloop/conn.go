package eventloop

import (
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"

	"ospreybend/internal/node/slottable"
)

const (
	maxRetainedBuffer  = 16 << 10              // bytes; a larger buffer is released once empty
	lingerTimeout      = time.Second           // for the peer to close a connection, or to read some more of what was sent
	maxLinger          = 10 * lingerTimeout    // for a peer that reads ever more slowly
	lingerPollInterval = 10 * time.Millisecond // between two looks at what the peer has not read
	readDelayBound     = 2 * time.Millisecond  // the loop reads what was received within it
)

// Handler is a protocol's side of a connection.
type Handler interface {
	// Data gets all bytes that were received and not used yet, and returns how many of
	// them it has used now. The slice is valid during the call.
	Data(c *Conn, in []byte) (used int)
	// Closed is called when the peer or the network has ended the connection. It is not
	// called for a connection that the node closed.
	Closed(c *Conn)
}

// Conn is a connection on the loop. Its buffer has the bytes that were received and not used
// yet; it grows as needed and is compacted in place.
type Conn struct {
	loop      *Loop
	raw       gnet.Conn
	handle    slottable.Handle
	handler   Handler
	onOpen    func()
	onClose   func()
	onEnded   func() // called when a lingering connection is closed
	buffer    []byte
	consumed  int // bytes of buffer that were used
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

// receive adds received bytes to the buffer and offers it to the handler.
func (c *Conn) receive(data []byte) {
	if c.closed || c.lingering {
		return
	}
	if c.consumed > 0 && len(c.buffer)+len(data) > cap(c.buffer) {
		c.buffer = c.buffer[:copy(c.buffer, c.buffer[c.consumed:])]
		c.consumed = 0
	}
	c.buffer = append(c.buffer, data...)
	c.Pump()
}

// Pump offers the bytes in the buffer to the handler again, as when it has become ready for
// the next pipelined message.
func (c *Conn) Pump() {
	if c.pumping || c.closed || c.lingering || c.consumed == len(c.buffer) {
		return
	}
	c.pumping = true
	c.consumed += c.handler.Data(c, c.buffer[c.consumed:])
	c.pumping = false
	if c.consumed == len(c.buffer) {
		c.buffer, c.consumed = c.buffer[:0], 0
		if cap(c.buffer) > maxRetainedBuffer {
			c.buffer = nil
		}
	}
}

// Send writes data, or queues what the socket buffer does not take. It returns false if the
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

// Flushed reports whether the operating system has taken all bytes given to Send.
func (c *Conn) Flushed() bool {
	if c.closed {
		return !c.unsent
	}
	return c.raw.OutboundBuffered() == 0
}

// UnsentBytes returns the number of bytes given to Send that the operating system has not taken.
func (c *Conn) UnsentBytes() int {
	if c.closed {
		return 0
	}
	return c.raw.OutboundBuffered()
}

// Open reports whether the connection is usable.
func (c *Conn) Open() bool { return !c.closed && !c.lingering }

// Lingering reports whether the node has sent its last bytes and waits for the peer to close
// the connection.
func (c *Conn) Lingering() bool { return c.lingering && !c.closed }

// PeerClosed asks the operating system whether the peer or the network has ended the
// connection. The loop may not have read as far as that: a busy loop reads late, and all input
// before the end first.
func (c *Conn) PeerClosed() bool {
	return c.closed || c.pollEvents()&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// NothingUnread asks the operating system whether there is nothing that the loop has not read,
// neither input nor the peer's close.
func (c *Conn) NothingUnread() bool { return !c.closed && c.pollEvents() == 0 }

// pollEvents returns the poll(2) events that are ready on the connection.
func (c *Conn) pollEvents() int16 {
	ready := []unix.PollFd{{Fd: int32(c.raw.Fd()), Events: unix.POLLIN | unix.POLLRDHUP}}
	for {
		if _, err := unix.Poll(ready, 0); err != unix.EINTR {
			return ready[0].Revents // none if the call failed
		}
	}
}

// Close closes the connection at once; Closed is not called.
func (c *Conn) Close() {
	if c.closed {
		return
	}
	c.closed = true
	if c.raw != nil && c.loop.current != c {
		_ = c.loop.engineLoop.Close(c.raw)
	}
}

// Linger closes the sending side once the operating system has taken all bytes, and the
// connection once the peer has closed its side: a close with unread input would reset the
// connection, and the peer could lose the last answer. Input from now on is dropped. ended is
// called when the connection is closed.
func (c *Conn) Linger(ended func()) {
	if !c.Open() {
		ended()
		return
	}
	c.lingering, c.onEnded = true, ended
	c.buffer, c.consumed = nil, 0
	now := c.loop.now
	c.flush(c.raw.OutboundBuffered(), now+lingerTimeout, now+maxLinger)
}

// flush waits until the operating system has taken all bytes, as long as the peer reads some of them.
func (c *Conn) flush(remaining int, until, latest time.Duration) {
	if c.closed {
		return
	}
	now, pending := c.loop.now, c.raw.OutboundBuffered()
	if pending < remaining {
		remaining, until = pending, now+lingerTimeout
	}
	switch {
	case pending == 0:
		_ = syscall.Shutdown(c.raw.Fd(), syscall.SHUT_WR)
		c.loop.Timers.Add(now+lingerTimeout, func() { c.closeBetweenReads(latest) })
	case now >= min(until, latest):
		c.Close()
	default:
		c.loop.Timers.Add(now+lingerPollInterval, func() { c.flush(remaining, until, latest) })
	}
}

// closeBetweenReads closes a lingering connection when it has no unread input.
func (c *Conn) closeBetweenReads(latest time.Duration) {
	if !c.closed && c.loop.now < latest && !c.NothingUnread() {
		c.loop.Timers.Add(c.loop.now+readDelayBound, func() { c.closeBetweenReads(latest) })
		return
	}
	c.Close()
}

// isClosed reports whether an error is that of a closed socket.
func isClosed(err error) bool { return errors.Is(err, net.ErrClosed) }
