package eventloop

import (
	"errors"
	"net"
	"os"
)

// errConnBroken is the error for an adopted socket whose peer has disconnected.
var errConnBroken = errors.New("connection has broken")

// HandOver removes a connection from the loop without ending it: the caller gets a duplicate of
// its socket and the received bytes that were not consumed, for another process. The handler is
// not called any more. If the connection is not open or the operating system has not taken all
// bytes given to Send, ok is false and nothing changes.
func (c *Conn) HandOver() (socket *os.File, unread []byte, ok bool) {
	if !c.CanHandOver() {
		return nil, nil, false
	}
	fd, err := c.raw.Dup()
	if err != nil {
		return nil, nil, false
	}
	unread = append([]byte(nil), c.buffer[c.consumed:]...)
	c.handler = nil
	c.Close()
	return os.NewFile(uintptr(fd), "handed over"), unread, true
}

// CanHandOver reports whether HandOver may succeed.
func (c *Conn) CanHandOver() bool { return c.Open() && c.Flushed() }

// pendingHandler is the handler of an adopted connection before SetHandler. It consumes nothing, so
// that input stays in the buffer.
type pendingHandler struct{ closed bool }

func (*pendingHandler) Data(*Conn, []byte) int { return 0 }
func (p *pendingHandler) Closed(*Conn)         { p.closed = true }

// SetHandler sets the handler of an adopted connection and passes it the input received so far. If
// the connection has ended, it calls the handler's Closed instead.
func (c *Conn) SetHandler(handler Handler) {
	pending, ok := c.handler.(*pendingHandler)
	c.handler = handler
	if ok && pending.closed {
		handler.Closed(c)
		return
	}
	c.ProcessBuffered()
}

// Adopt registers sockets that another process has handed over, each with its unconsumed input. It
// must be called outside the loop. SetHandler must be called for each returned connection. A
// socket whose peer has disconnected meanwhile is returned as a closed connection.
func (l *Loop) Adopt(sockets []*os.File, unread [][]byte) []*Conn {
	conns := make([]*Conn, len(sockets))
	for i, socket := range sockets {
		c := &Conn{loop: l, handler: &pendingHandler{}, buffer: unread[i]}
		c.onOpen = func() {}
		if err := l.register(socket, c); err != nil {
			c.closed = true
			c.handler = &pendingHandler{closed: true}
		}
		conns[i] = c
	}
	return conns
}

// register registers an adopted socket with the loop and closes the file.
func (l *Loop) register(socket *os.File, c *Conn) error {
	defer socket.Close()
	raw, err := net.FileConn(socket)
	if err != nil {
		return err
	}
	if raw.RemoteAddr() == nil || raw.LocalAddr() == nil {
		return errors.Join(errConnBroken, raw.Close())
	}
	_, err = l.client.EnrollContext(raw, c)
	return err
}

// CountAdopted adds an adopted connection to the number of the listener's open connections until release
// is called. It needs no slot: the connection does not count towards the listener's maximum, as
// the node already had it.
func (ln *Listener) CountAdopted() (release func()) {
	ln.open.Add(1)
	return func() { ln.open.Add(-1) }
}

// OnClose sets a callback for the end of the connection, and calls it at once if the connection has
// ended.
func (c *Conn) OnClose(callback func()) {
	if c.closed {
		callback()
		return
	}
	c.onClose = callback
}
