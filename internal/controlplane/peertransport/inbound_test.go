package peertransport

import (
	"context"
	"errors"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap/zaptest"

	"ospreybend/coord/consensus"
	"ospreybend/internal/controlplane/feedtransport"
)

// pipeListener accepts the far ends of pipes.
type pipeListener struct {
	connections chan net.Conn
	closed      chan struct{}
}

func (o *pipeListener) Accept() (net.Conn, error) {
	select {
	case connection := <-o.connections:
		return connection, nil
	case <-o.closed:
		return nil, net.ErrClosed
	}
}

func (o *pipeListener) Close() error {
	close(o.closed)
	return nil
}

func (o *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// inboundFixture is a transport under test that a test dials.
type inboundFixture struct {
	t         *testing.T
	transport *Transport
	listener  *pipeListener
	handler   *recorder
	executed  chan string // bodies of calls that are executed
}

func newInboundFixture(t *testing.T) *inboundFixture {
	t.Helper()
	h := &inboundFixture{t: t, handler: newRecorder(), executed: make(chan string, 16)}
	h.listener = &pipeListener{connections: make(chan net.Conn), closed: make(chan struct{})}
	h.handler.call = func(_ context.Context, _ CallKind, body []byte) ([]byte, error) {
		h.executed <- string(body)
		return body, nil
	}
	transport, err := New(Options{Self: Hello{Address: "127.0.0.1:1", Member: 1}, Handler: h.handler, Logger: zaptest.NewLogger(t)})
	if err != nil {
		t.Fatal(err)
	}
	h.transport = transport
	go func() { _ = transport.Serve(h.listener) }()
	return h
}

// dial opens a connection as the given peer.
func (h *inboundFixture) dial(peer Hello) net.Conn {
	h.t.Helper()
	near, far := net.Pipe()
	h.listener.connections <- far
	hello, err := encodeHello(peer)
	if err != nil {
		h.t.Fatal(err)
	}
	write(h.t, near, feedtransport.AppendFrame(nil, hello.kind, hello.body))
	<-h.handler.connected
	return near
}

func callBytes(t *testing.T, id uint64, budget time.Duration, body string) []byte {
	t.Helper()
	encoded, err := encodeCall(id, 1, budget, []byte(body))
	if err != nil {
		t.Fatal(err)
	}
	return feedtransport.AppendFrame(nil, encoded.kind, encoded.body)
}

func nextReply(t *testing.T, connection net.Conn) wireReply {
	t.Helper()
	kind, body, err := feedtransport.ReadFrame(connection)
	if err != nil || kind != kindReply {
		t.Fatal(kind, err)
	}
	var reply wireReply
	if err := decode(kindReply, replySchema, body, &reply); err != nil {
		t.Fatal(err)
	}
	return reply
}

var somePeer = Hello{Address: peerAddress, Member: 2}

// readError reads from a connection on which nothing is sent, and returns the error: a time-out if the connection is open.
func readError(connection net.Conn) error {
	_ = connection.SetReadDeadline(time.Now().Add(time.Second)) // fails on a connection that has ended
	_, err := connection.Read(make([]byte, 1))
	return err
}

// isTimeout reports whether an error is a time-out.
func isTimeout(err error) bool {
	var netError net.Error
	return errors.As(err, &netError) && netError.Timeout()
}

// TestInbound_handleFrame sends valid and invalid bytes and checks which calls are executed and whether the connection stays
// open; another connection of the same peer stays open in any case.
func TestInbound_handleFrame(t *testing.T) {
	complete := callBytes(t, 1, time.Second, "x")
	cases := []struct {
		name     string
		sent     []byte
		executed int  // calls
		replies  int  // that are received
		ends     bool // the connection
	}{
		{"a complete call", complete, 1, 1, false},
		{"repeated", append(complete[:len(complete):len(complete)], complete...), 2, 2, false},
		{"without time left", callBytes(t, 1, 0, "x"), 0, 1, false},
		{"after its deadline", callBytes(t, 1, -time.Second, "x"), 0, 1, false},
		{"truncated in its header", complete[:3], 0, 0, false},
		{"truncated in its body", complete[:len(complete)-1], 0, 0, false},
		{"no call at all", feedtransport.AppendFrame(nil, kindCall, []byte("?")), 0, 0, true},
		{"a reply", replyBytes(t, 1, "x"), 0, 0, true},
		{"a second hello", feedtransport.AppendFrame(nil, kindHello, []byte("x")), 0, 0, true},
		{"a frame of the feed", feedtransport.AppendFrame(nil, feedtransport.KindStatus, nil), 0, 0, true},
	}
	for _, one := range cases {
		t.Run(one.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newInboundFixture(t)
				defer h.transport.Close()
				other := h.dial(somePeer)
				connection := h.dial(somePeer)
				write(t, connection, one.sent)
				for range one.replies {
					if reply := nextReply(t, connection); reply.ID != 1 || reply.Failed == (one.executed > 0) {
						t.Fatalf("%+v", reply)
					}
				}
				if err := readError(connection); one.ends == isTimeout(err) {
					t.Fatalf("the connection: %v", err)
				}
				_ = connection.Close()
				synctest.Wait()
				if len(h.executed) != one.executed {
					t.Fatalf("%d calls were executed", len(h.executed))
				}
				write(t, other, callBytes(t, 7, time.Second, "next"))
				if reply := nextReply(t, other); reply.ID != 7 || string(reply.Body) != "next" {
					t.Fatalf("%+v", reply)
				}
			})
		})
	}
}

// A connection of a peer's earlier process may be accepted after those of its new one, as when this process stalled.
func TestTransport_Serve_lateConnectionKeepsNewerOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newInboundFixture(t)
		defer h.transport.Close()
		former := Hello{Address: peerAddress, Member: 9}
		newer := h.dial(somePeer)
		late := h.dial(former)
		for _, connection := range []net.Conn{newer, late, newer} {
			write(t, connection, callBytes(t, 1, time.Second, "x"))
			if reply := nextReply(t, connection); string(reply.Body) != "x" {
				t.Fatalf("%+v", reply)
			}
		}
		_ = late.Close()
		synctest.Wait()
		h.transport.Send(consensus.Member{ID: 2, Address: peerAddress}, 0, consensus.Message{})
		if peers := h.transport.Peers(); len(peers) != 1 || !peers[0].Accepted {
			t.Fatalf("%+v", peers)
		}
	})
}

// The reply to a call of a connection that has ended is not sent on the peer's other connections.
func TestInbound_reply_sameConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newInboundFixture(t)
		defer h.transport.Close()
		release := make(chan struct{})
		h.handler.call = func(_ context.Context, _ CallKind, body []byte) ([]byte, error) {
			if string(body) == "slow" {
				<-release
			}
			return body, nil
		}
		first := h.dial(somePeer)
		write(t, first, callBytes(t, 1, time.Second, "slow"))
		synctest.Wait()
		_ = first.Close()
		second := h.dial(somePeer)
		close(release)
		synctest.Wait()
		write(t, second, callBytes(t, 1, time.Second, "own"))
		if reply := nextReply(t, second); string(reply.Body) != "own" {
			t.Fatalf("%q", reply.Body)
		}
	})
}

// A reply that is too long for a frame ends the call at once with an error.
func TestInbound_reply_tooLongForFrame(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newInboundFixture(t)
		defer h.transport.Close()
		h.handler.call = func(context.Context, CallKind, []byte) ([]byte, error) {
			return make([]byte, feedtransport.MaxFrameBytes), nil
		}
		connection := h.dial(somePeer)
		write(t, connection, callBytes(t, 1, time.Second, "x"))
		if reply := nextReply(t, connection); !reply.Failed || !strings.Contains(reply.Text, feedtransport.ErrFrameTooLong.Error()) {
			t.Fatalf("%+v", reply)
		}
	})
}
