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

// pipeListener accepts connections that a test sends to a channel.
type pipeListener struct {
	connections chan net.Conn
	closed      chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case connection := <-l.connections:
		return connection, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	close(l.closed)
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// inboundFixture is a transport under test that accepts in-memory connections from the test.
type inboundFixture struct {
	t         *testing.T
	transport *Transport
	listener  *pipeListener
	handler   *recordingHandler
	executed  chan string // bodies of executed calls
}

func newInboundFixture(t *testing.T) *inboundFixture {
	t.Helper()
	f := &inboundFixture{t: t, handler: newRecordingHandler(), executed: make(chan string, 16)}
	f.listener = &pipeListener{connections: make(chan net.Conn), closed: make(chan struct{})}
	f.handler.call = func(_ context.Context, _ CallKind, body []byte) ([]byte, error) {
		f.executed <- string(body)
		return body, nil
	}
	transport, err := New(Options{Self: Hello{Address: "127.0.0.1:1", Member: 1}, Handler: f.handler, Logger: zaptest.NewLogger(t)})
	if err != nil {
		t.Fatal(err)
	}
	f.transport = transport
	go func() { _ = transport.Serve(f.listener) }()
	return f
}

// dial opens a connection as the given peer and waits until the transport has accepted its hello.
func (f *inboundFixture) dial(peer Hello) net.Conn {
	f.t.Helper()
	testEnd, transportEnd := net.Pipe()
	f.listener.connections <- transportEnd
	hello, err := encodeHello(peer)
	if err != nil {
		f.t.Fatal(err)
	}
	writeBytes(f.t, testEnd, feedtransport.AppendFrame(nil, hello.kind, hello.body))
	<-f.handler.connected
	return testEnd
}

// encodedCall returns the frame of a call.
func encodedCall(t *testing.T, id uint64, timeout time.Duration, body string) []byte {
	t.Helper()
	encoded, err := encodeCall(id, 1, timeout, []byte(body))
	if err != nil {
		t.Fatal(err)
	}
	return feedtransport.AppendFrame(nil, encoded.kind, encoded.body)
}

// readReply reads the next frame of a connection, which must be a reply.
func readReply(t *testing.T, connection net.Conn) wireReply {
	t.Helper()
	kind, body, err := feedtransport.ReadFrame(connection)
	if err != nil || kind != kindReply {
		t.Fatalf("read frame: kind %d, error %v, want a reply (kind %d)", kind, err, kindReply)
	}
	var reply wireReply
	if err := decode(kindReply, replySchema, body, &reply); err != nil {
		t.Fatal(err)
	}
	return reply
}

var testPeer = Hello{Address: peerAddress, Member: 2}

// readError reads from a connection to which the transport writes nothing, and returns the error: a timeout if the connection is
// still open.
func readError(connection net.Conn) error {
	_ = connection.SetReadDeadline(time.Now().Add(time.Second)) // fails if the connection has ended
	_, err := connection.Read(make([]byte, 1))
	return err
}

// isTimeout reports whether an error is a timeout.
func isTimeout(err error) bool {
	var netError net.Error
	return errors.As(err, &netError) && netError.Timeout()
}

// TestInboundConnection_handleFrame sends valid and invalid bytes and checks how many calls are executed and whether the
// connection stays open. Another connection of the same peer must stay usable in every case.
func TestInboundConnection_handleFrame(t *testing.T) {
	complete := encodedCall(t, 1, time.Second, "x")
	cases := []struct {
		name     string
		sent     []byte
		executed int  // number of executed calls
		replies  int  // number of replies
		ends     bool // whether the transport closes the connection
	}{
		{"one call", complete, 1, 1, false},
		{"the same call twice", append(complete[:len(complete):len(complete)], complete...), 2, 2, false},
		{"a call with a timeout of zero", encodedCall(t, 1, 0, "x"), 0, 1, false},
		{"a call with a negative timeout", encodedCall(t, 1, -time.Second, "x"), 0, 1, false},
		{"a call truncated in the header", complete[:3], 0, 0, false},
		{"a call truncated in the body", complete[:len(complete)-1], 0, 0, false},
		{"a call with an undecodable body", feedtransport.AppendFrame(nil, kindCall, []byte("?")), 0, 0, true},
		{"a reply", encodedReply(t, 1, "x"), 0, 0, true},
		{"a second hello", feedtransport.AppendFrame(nil, kindHello, []byte("x")), 0, 0, true},
		{"a frame of the feed", feedtransport.AppendFrame(nil, feedtransport.KindStatus, nil), 0, 0, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newInboundFixture(t)
				defer f.transport.Close()
				other := f.dial(testPeer)
				connection := f.dial(testPeer)
				writeBytes(t, connection, tc.sent)
				for range tc.replies {
					if reply := readReply(t, connection); reply.ID != 1 || reply.Failed == (tc.executed > 0) {
						t.Fatalf("got reply %+v, want one to call 1 that failed if no call is executed (%d are)", reply, tc.executed)
					}
				}
				if err := readError(connection); tc.ends == isTimeout(err) {
					t.Fatalf("read after the replies: error %v; want the connection closed: %t", err, tc.ends)
				}
				_ = connection.Close()
				synctest.Wait()
				if len(f.executed) != tc.executed {
					t.Fatalf("%d calls were executed, want %d", len(f.executed), tc.executed)
				}
				writeBytes(t, other, encodedCall(t, 7, time.Second, "next"))
				if reply := readReply(t, other); reply.ID != 7 || string(reply.Body) != "next" {
					t.Fatalf("reply on the other connection is %+v, want ID 7 and body %q", reply, "next")
				}
			})
		})
	}
}

// A connection of a peer's earlier process may be accepted after one of its restarted process, for example because the accepting
// process was stalled. Both connections must stay usable, and the peer must count as accepted until the last one ends.
func TestTransport_Serve_lateConnectionKeepsNewerOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newInboundFixture(t)
		defer f.transport.Close()
		earlierProcess := Hello{Address: peerAddress, Member: 9}
		newer := f.dial(testPeer)
		late := f.dial(earlierProcess)
		for _, connection := range []net.Conn{newer, late, newer} {
			writeBytes(t, connection, encodedCall(t, 1, time.Second, "x"))
			if reply := readReply(t, connection); string(reply.Body) != "x" {
				t.Fatalf("got reply %+v, want body %q", reply, "x")
			}
		}
		_ = late.Close()
		synctest.Wait()
		f.transport.Send(consensus.Member{ID: 2, Address: peerAddress}, 0, consensus.Message{})
		if peers := f.transport.Peers(); len(peers) != 1 || !peers[0].Accepted {
			t.Fatalf("after one of two connections ended, status of the peers is %+v, want one peer with an accepted connection", peers)
		}
	})
}

// The reply to a call is not sent on another connection of the peer if the connection of the call has ended.
func TestInboundConnection_reply_sameConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newInboundFixture(t)
		defer f.transport.Close()
		release := make(chan struct{})
		f.handler.call = func(_ context.Context, _ CallKind, body []byte) ([]byte, error) {
			if string(body) == "slow" {
				<-release
			}
			return body, nil
		}
		first := f.dial(testPeer)
		writeBytes(t, first, encodedCall(t, 1, time.Second, "slow"))
		synctest.Wait()
		_ = first.Close()
		second := f.dial(testPeer)
		close(release)
		synctest.Wait()
		writeBytes(t, second, encodedCall(t, 1, time.Second, "own"))
		if reply := readReply(t, second); string(reply.Body) != "own" {
			t.Fatalf("reply on the second connection has body %q, want %q", reply.Body, "own")
		}
	})
}

// If a reply is too long for a frame, the caller gets an error at once instead of waiting until its deadline.
func TestInboundConnection_reply_tooLongForFrame(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newInboundFixture(t)
		defer f.transport.Close()
		f.handler.call = func(context.Context, CallKind, []byte) ([]byte, error) {
			return make([]byte, feedtransport.MaxFrameBytes), nil
		}
		connection := f.dial(testPeer)
		writeBytes(t, connection, encodedCall(t, 1, time.Second, "x"))
		if reply := readReply(t, connection); !reply.Failed || !strings.Contains(reply.Text, feedtransport.ErrFrameTooLong.Error()) {
			t.Fatalf("got reply %+v, want a failure with text %q", reply, feedtransport.ErrFrameTooLong)
		}
	})
}
