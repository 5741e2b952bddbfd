package eventloop

import (
	"net"
	"os"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

type silentHandler struct{}

func (silentHandler) Data(_ *Conn, in []byte) int { return len(in) }
func (silentHandler) Closed(*Conn)                {}

// Written bytes are sent at once (TCP_NODELAY), on accepted, dialled and adopted connections alike: small writes that
// the operating system delays would be lost if the connection is reset.
func TestConn_noDelay(t *testing.T) {
	l, err := NewLoop(nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := l.Stop(); err != nil {
			t.Error("stop the loop: ", err)
		}
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	accepted, dialled := make(chan *Conn, 1), make(chan *Conn, 1)
	in := l.Accept(ln, 4, func(c *Conn) Handler { accepted <- c; return silentHandler{} }, func() {})
	defer in.Close()
	l.Call(func() {
		l.Dial(ln.Addr().String(), 5*time.Second, silentHandler{}, func(c *Conn, err error) {
			if err != nil {
				t.Error(err)
			}
			dialled <- c
		}, func() {})
	})
	conns := map[string]*Conn{"accepted": <-accepted, "dialled": <-dialled}
	pair, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer pair.Close()
	far, err := net.Dial("tcp", pair.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer far.Close()
	near, err := pair.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if err := near.(*net.TCPConn).SetNoDelay(false); err != nil { // as another program might leave it
		t.Fatal(err)
	}
	f, err := near.(*net.TCPConn).File()
	if err != nil {
		t.Fatal(err)
	}
	near.Close()
	conns["adopted"] = l.Adopt([]*os.File{f}, [][]byte{nil})[0]
	for how, c := range conns {
		l.Call(func() {
			if on, err := unix.GetsockoptInt(c.raw.Fd(), unix.IPPROTO_TCP, unix.TCP_NODELAY); err != nil || on == 0 {
				t.Errorf("%s: small writes are held back, %v", how, err)
			}
		})
	}
}
