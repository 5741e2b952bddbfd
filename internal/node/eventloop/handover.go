package eventloop

import (
	"errors"
	"net"
	"os"
)

// HandOver gives up a connection without ending it: its socket and what has come in
// and is not used yet go to the caller, for another process. The handler hears
// nothing more. Not ok: the connection is not open, or the system has not taken all
// that was sent; nothing has changed then.
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

// CanHandOver tells whether HandOver may succeed.
func (c *Conn) CanHandOver() bool { return c.Open() && c.Flushed() }

// pendingHandler stands for a handler that is not known yet: what comes in is kept.
type pendingHandler struct{ closed bool }

func (*pendingHandler) Data(*Conn, []byte) int { return 0 }
func (p *pendingHandler) Closed(*Conn)         { p.closed = true }

// SetHandler gives an adopted connection its handler, which then gets what has come in
// until now, or hears of its end.
func (c *Conn) SetHandler(handler Handler) {
	pending, ok := c.handler.(*pendingHandler)
	c.handler = handler
	if ok && pending.closed {
		handler.Closed(c)
		return
	}
	c.Pump()
}

// Adopt takes over sockets that another process has handed over, each with what had
// come in on it, for a goroutine outside. Nothing is read into a handler before
// Settle. A socket that has broken meanwhile comes as a closed connection.
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

func (loop *Loop) register(f *os.File, c *Conn) error {
	defer f.Close()
	raw, err := net.FileConn(f)
	if err != nil {
		return err
	}
	if raw.RemoteAddr() == nil || raw.LocalAddr() == nil {
		return errors.Join(errors.New("the connection has broken"), raw.Close())
	}
	_, err = loop.client.EnrollContext(raw, c)
	return err
}

// Count counts an adopted connection as one of the listener's, until leave. It does
// not wait for room, as the node had the connection before.
func (in *Listener) Count() (leave func()) {
	in.open.Add(1)
	return func() { in.open.Add(-1) }
}

// OnClose sets what is called once when the connection has ended.
func (c *Conn) OnClose(f func()) {
	if c.closed {
		f()
		return
	}
	c.onClose = f
}
