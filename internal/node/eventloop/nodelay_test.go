package eventloop

import (
	"net"
	"os"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// silentHandler consumes all input and sends nothing.
type silentHandler struct{}

func (silentHandler) Data(_ *Conn, in []byte) int { return len(in) }
func (silentHandler) Closed(*Conn)                {}

// Accepted, dialled and adopted connections all have TCP_NODELAY set: without it the operating system may delay small
// writes, and these would be lost if the connection is reset.
func TestConn_noDelay(t *testing.T) {
	l, err := NewLoop(nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := l.Stop(); err != nil {
			t.Errorf("stop the loop: %v", err)
		}
	})
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	accepted, dialled := make(chan *Conn, 1), make(chan *Conn, 1)
	listener := l.Accept(socket, 4, func(c *Conn) Handler { accepted <- c; return silentHandler{} }, func() {})
	defer listener.Close()
	l.Call(func() {
		l.Dial(socket.Addr().String(), 5*time.Second, silentHandler{}, func(c *Conn, err error) {
			if err != nil {
				t.Errorf("dial: %v", err)
			}
			dialled <- c
		}, func() {})
	})
	conns := map[string]*Conn{"accepted": <-accepted, "dialled": <-dialled}
	adoptedListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer adoptedListener.Close()
	client, err := net.Dial("tcp", adoptedListener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	server, err := adoptedListener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if err := server.(*net.TCPConn).SetNoDelay(false); err != nil { // another process may have handed it over so
		t.Fatal(err)
	}
	f, err := server.(*net.TCPConn).File()
	if err != nil {
		t.Fatal(err)
	}
	server.Close()
	conns["adopted"] = l.Adopt([]*os.File{f}, [][]byte{nil})[0]
	for kind, c := range conns {
		l.Call(func() {
			if on, err := unix.GetsockoptInt(c.raw.Fd(), unix.IPPROTO_TCP, unix.TCP_NODELAY); err != nil || on == 0 {
				t.Errorf("%s connection: got TCP_NODELAY %d, error %v, want it set", kind, on, err)
			}
		})
	}
}
