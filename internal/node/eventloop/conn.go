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
	maxRetainedBuffer  = 16 << 10              // bytes; a larger buffer is released once it is empty
	lingerTimeout      = time.Second           // for the peer to close the connection, or to read more of what was sent
	maxLinger          = 10 * lingerTimeout    // in all, for a peer that keeps reading slowly
	lingerPollInterval = 10 * time.Millisecond // between two checks of how much the peer has read
	readDelayBound     = 2 * time.Millisecond  // the loop reads received bytes within this time
)

// Handler is a protocol's side of a connection.
type Handler interface {
	// Data gets all received bytes that it has not consumed yet, and returns how many of them
	// it consumes now. The slice is valid only during the call.
	Data(c *Conn, in []byte) (consumed int)
	// Closed is called when the peer or the network has ended the connection. It is not
	// called for a connection that the node has closed.
	Closed(c *Conn)
}

// Conn is a connection on the loop. Its buffer has the received bytes that the handler has not
// consumed yet; it grows as needed and is compacted in place.
type Conn struct {
	loop       *Loop
	raw        gnet.Conn
	handle     slottable.Handle
	handler    Handler
	onOpen     func()
	onClose    func()
	onEnded    func() // called when a lingering connection is closed
	buffer     []byte
	consumed   int  // bytes of buffer that the handler has consumed
	processing bool // a call of the handler's Data is in progress
	closed     bool
	unsent     bool // closed before the operating system had taken all bytes
	lingering  bool
}

// run runs a callback of the connection. If the callback calls Close, gnet closes the connection
// after it.
func (c *Conn) run(callback func()) gnet.Action {
	previous := c.loop.current
	c.loop.current = c
	callback()
	c.loop.current = previous
	if c.closed {
		return gnet.Close
	}
	return gnet.None
}

// receive appends received bytes to the buffer and passes the buffer to the handler.
func (c *Conn) receive(data []byte) {
	if c.closed || c.lingering {
		return
	}
	if c.consumed > 0 && len(c.buffer)+len(data) > cap(c.buffer) {
		c.buffer = c.buffer[:copy(c.buffer, c.buffer[c.consumed:])]
		c.consumed = 0
	}
	c.buffer = append(c.buffer, data...)
	c.ProcessBuffered()
}

// ProcessBuffered passes the bytes in the buffer to the handler again, for example when it has become ready
// for the next pipelined message.
func (c *Conn) ProcessBuffered() {
	if c.processing || c.closed || c.lingering || c.consumed == len(c.buffer) {
		return
	}
	c.processing = true
	c.consumed += c.handler.Data(c, c.buffer[c.consumed:])
	c.processing = false
	if c.consumed == len(c.buffer) {
		c.buffer, c.consumed = c.buffer[:0], 0
		if cap(c.buffer) > maxRetainedBuffer {
			c.buffer = nil
		}
	}
}

// Send writes data, and queues what the socket buffer does not take. It returns false if the
// connection breaks before all is written; Closed is not called then.
func (c *Conn) Send(data []byte) bool {
	if c.closed {
		return false
	}
	// If the write fails, gnet closes the connection within the call. Without a handler Closed is
	// not called, so that the caller learns of it once, by the result.
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

// Open reports whether the connection is neither closed nor lingering.
func (c *Conn) Open() bool { return !c.closed && !c.lingering }

// Lingering reports whether the node has sent its last bytes and waits for the peer to close
// the connection.
func (c *Conn) Lingering() bool { return c.lingering && !c.closed }

// PeerClosed asks the operating system whether the peer or the network has ended the
// connection. The loop may not know yet: it reads late when it is busy, and it reads all input
// before the end.
func (c *Conn) PeerClosed() bool {
	return c.closed || c.pollEvents()&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// NothingUnread asks the operating system whether the loop has read everything, input as well as
// the peer's close.
func (c *Conn) NothingUnread() bool { return !c.closed && c.pollEvents() == 0 }

// pollEvents returns the poll(2) events that are ready on the connection.
func (c *Conn) pollEvents() int16 {
	fds := []unix.PollFd{{Fd: int32(c.raw.Fd()), Events: unix.POLLIN | unix.POLLRDHUP}}
	for {
		if _, err := unix.Poll(fds, 0); err != unix.EINTR {
			return fds[0].Revents // 0 if the call failed
		}
	}
}

// Close closes the connection at once, or after the callback of it that is running. The handler's
// Closed is not called.
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
// connection once the peer has closed its side, or after a timeout: a close with unread input
// would reset the connection, and the peer could lose the last response. Further input is dropped.
// ended is called when the connection is closed.
func (c *Conn) Linger(ended func()) {
	if !c.Open() {
		ended()
		return
	}
	c.lingering, c.onEnded = true, ended
	c.buffer, c.consumed = nil, 0
	now := c.loop.now
	c.awaitFlush(c.raw.OutboundBuffered(), now+lingerTimeout, now+maxLinger)
}

// awaitFlush waits until the operating system has taken all bytes, then closes the sending side.
// It closes the connection if the peer has read nothing until a time, or not everything until
// latest.
func (c *Conn) awaitFlush(remaining int, until, latest time.Duration) {
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
		c.loop.Timers.Add(now+lingerTimeout, func() { c.closeOnceRead(latest) })
	case now >= min(until, latest):
		c.Close()
	default:
		c.loop.Timers.Add(now+lingerPollInterval, func() { c.awaitFlush(remaining, until, latest) })
	}
}

// closeOnceRead closes a lingering connection once it has no unread input, or at latest.
func (c *Conn) closeOnceRead(latest time.Duration) {
	if !c.closed && c.loop.now < latest && !c.NothingUnread() {
		c.loop.Timers.Add(c.loop.now+readDelayBound, func() { c.closeOnceRead(latest) })
		return
	}
	c.Close()
}

// isClosed reports whether an error comes from the use of a closed socket.
func isClosed(err error) bool { return errors.Is(err, net.ErrClosed) }
