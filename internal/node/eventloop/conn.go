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
	maxRetainedBuffer  = 16 << 10              // a buffer grown past this is given back once empty
	lingerTimeout      = time.Second           // for the other side to end a connection, or to take some more of what is owed
	maxLinger          = 10 * lingerTimeout    // for one that takes what is owed ever more slowly
	lingerPollInterval = 10 * time.Millisecond // how often what is owed is looked at
	readDelayBound     = 2 * time.Millisecond  // what has come is read by the loop within it
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
	handle    slottable.Handle
	handler   Handler
	onOpen    func()
	onClose   func()
	onEnded   func() // told when a lingering connection is closed
	buffer    []byte
	consumed  int // where the unused bytes start
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

// Pump offers the bytes in the buffer to the handler once more, as when it has
// become ready for the next of pipelined messages.
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

// Flushed tells whether the system has taken all that was given to Send.
func (c *Conn) Flushed() bool {
	if c.closed {
		return !c.unsent
	}
	return c.raw.OutboundBuffered() == 0
}

// UnsentBytes returns the bytes given to Send that the system has not taken.
func (c *Conn) UnsentBytes() int {
	if c.closed {
		return 0
	}
	return c.raw.OutboundBuffered()
}

// Open tells whether the connection is usable.
func (c *Conn) Open() bool { return !c.closed && !c.lingering }

// Lingering tells whether the node has sent its last here and waits for the
// other side to end the connection.
func (c *Conn) Lingering() bool { return c.lingering && !c.closed }

// PeerClosed looks whether the other side or the network has ended the connection, though
// the loop may not have read as far as that: what has come before it is read first, and
// a busy loop reads late.
func (c *Conn) PeerClosed() bool {
	return c.closed || c.pollEvents()&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// NothingUnread looks whether nothing has come in that the loop has not read, the other side's
// end included.
func (c *Conn) NothingUnread() bool { return !c.closed && c.pollEvents() == 0 }

// pollEvents asks the system for what it holds ready on the connection.
func (c *Conn) pollEvents() int16 {
	ready := []unix.PollFd{{Fd: int32(c.raw.Fd()), Events: unix.POLLIN | unix.POLLRDHUP}}
	for {
		if _, err := unix.Poll(ready, 0); err != unix.EINTR {
			return ready[0].Revents // of a call that failed: nothing is known
		}
	}
}

// Close ends the connection.
func (c *Conn) Close() {
	if c.closed {
		return
	}
	c.closed = true
	if c.raw != nil && c.loop.current != c {
		_ = c.loop.engineLoop.Close(c.raw)
	}
}

// Linger ends the sending once the system has taken all that was sent, and the
// connection once the other side has ended its own: a close over unread bytes would
// reset the connection, and the other side would lose the last answer. What comes in
// from now on is read and dropped. ended is called when the connection is closed.
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

// flush waits for the rest of what was sent for as long as the other side takes some of it.
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

// closeBetweenReads closes what lingers, between two reads: not over what has just come.
func (c *Conn) closeBetweenReads(latest time.Duration) {
	if !c.closed && c.loop.now < latest && !c.NothingUnread() {
		c.loop.Timers.Add(c.loop.now+readDelayBound, func() { c.closeBetweenReads(latest) })
		return
	}
	c.Close()
}

func isClosed(err error) bool { return errors.Is(err, net.ErrClosed) }
