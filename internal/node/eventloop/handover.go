package eventloop

import (
	"errors"
	"net"
	"os"
)

// errConnBroken is the error of an adopted socket whose peer is gone.
var errConnBroken = errors.New("connection has broken")

// HandOver gives up a connection without closing it: the caller gets its socket and the bytes
// that were received and not used, for another process. The handler is not called any more. ok
// is false, and nothing has changed, if the connection is not open or the operating system has
// not taken all that was sent.
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

// pendingHandler is the handler of an adopted connection before SetHandler: input is buffered.
type pendingHandler struct{ closed bool }

func (*pendingHandler) Data(*Conn, []byte) int { return 0 }
func (p *pendingHandler) Closed(*Conn)         { p.closed = true }

// SetHandler sets the handler of an adopted connection, which gets the input received until
// now, or a call of Closed if it has ended.
func (c *Conn) SetHandler(handler Handler) {
	pending, ok := c.handler.(*pendingHandler)
	c.handler = handler
	if ok && pending.closed {
		handler.Closed(c)
		return
	}
	c.Pump()
}

// Adopt takes over sockets that another process has handed over, each with its unread input. It
// must be called outside the loop. The connections have no handler before SetHandler. A socket
// that has broken meanwhile is returned as a closed connection.
func (l *Loop) Adopt(sockets []*os.File, unread [][]byte) []*Conn {
	conns := make([]*Conn, len(sockets))
	for i, f := range sockets {
		c := &Conn{loop: l, handler: &pendingHandler{}, buffer: unread[i]}
		c.onOpen = func() {}
		if err := l.register(f, c); err != nil {
			c.closed = true
			c.handler = &pendingHandler{closed: true}
		}
		conns[i] = c
	}
	return conns
}

// register passes an adopted socket to the loop.
func (l *Loop) register(f *os.File, c *Conn) error {
	defer f.Close()
	raw, err := net.FileConn(f)
	if err != nil {
		return err
	}
	if raw.RemoteAddr() == nil || raw.LocalAddr() == nil {
		return errors.Join(errConnBroken, raw.Close())
	}
	_, err = l.client.EnrollContext(raw, c)
	return err
}

// Count counts an adopted connection as one of the listener's, until leave is called. It takes
// no slot, as the node had the connection before.
func (in *Listener) Count() (leave func()) {
	in.open.Add(1)
	return func() { in.open.Add(-1) }
}

// OnClose sets a callback for the end of the connection. It is called at once if that has ended.
func (c *Conn) OnClose(f func()) {
	if c.closed {
		f()
		return
	}
	c.onClose = f
}
