package peertransport

import (
	"bytes"
	"context"
	"errors"
	"net"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap/zaptest"

	"ospreybend/coord/consensus"
	"ospreybend/coord/shards"
	"ospreybend/internal/controlplane/feedtransport"
)

// testTimeout limits each wait of a test in real time.
const testTimeout = 10 * time.Second

// recordingHandler is a Handler that sends what it receives to channels, and executes calls with the function call.
type recordingHandler struct {
	connected       chan Hello
	messages        chan GroupMessage
	feedConnections chan feedtransport.Kind // kinds of the first frames
	call            func(ctx context.Context, kind CallKind, body []byte) ([]byte, error)
}

func newRecordingHandler() *recordingHandler {
	return &recordingHandler{
		connected: make(chan Hello, 16), messages: make(chan GroupMessage, 4096), feedConnections: make(chan feedtransport.Kind, 16),
		call: func(_ context.Context, _ CallKind, body []byte) ([]byte, error) { return body, nil },
	}
}

func (r *recordingHandler) Connected(peer Hello) { r.connected <- peer }

func (r *recordingHandler) Messages(_ Hello, batch []GroupMessage) {
	for _, message := range batch {
		r.messages <- message
	}
}

func (r *recordingHandler) Call(ctx context.Context, _ Hello, kind CallKind, body []byte) ([]byte, error) {
	return r.call(ctx, kind, body)
}

func (r *recordingHandler) FeedConnection(_ context.Context, connection net.Conn, kind feedtransport.Kind, _ []byte) {
	_ = connection.Close()
	r.feedConnections <- kind
}

// listenLoopback opens a listener on the loopback address.
func listenLoopback(t *testing.T) net.Listener {
	t.Helper()
	listener, err := Listen(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

// startTransport starts a transport that serves the listener until the test ends.
func startTransport(t *testing.T, listener net.Listener, member consensus.MemberID, handler Handler) *Transport {
	t.Helper()
	transport, err := New(Options{Self: Hello{Address: listener.Addr().String(), Member: member, Zone: "z"}, Handler: handler, Logger: zaptest.NewLogger(t)})
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = transport.Serve(listener) }()
	t.Cleanup(transport.Close)
	return transport
}

// receive returns the next value of a channel. It fails the test if none arrives within testTimeout.
func receive[T any](t *testing.T, from <-chan T) T {
	t.Helper()
	select {
	case value := <-from:
		return value
	case <-time.After(testTimeout):
		t.Fatalf("nothing received from the %T within %v", from, testTimeout)
		panic("not reached")
	}
}

// testContext returns a context that ends after testTimeout, or when the test ends.
func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

func TestTransport_Send_roundTrip(t *testing.T) {
	peerHandler := newRecordingHandler()
	listener := listenLoopback(t)
	startTransport(t, listener, 2, peerHandler)
	transport := startTransport(t, listenLoopback(t), 1, newRecordingHandler())

	sent := consensus.Message{
		Kind: consensus.MessageInstallSnapshot, From: 1, To: 2, Term: 1 << 63, LogIndex: 4, LogTerm: 5, Commit: 6,
		Entries: []consensus.Entry{{Term: 1, Index: 2, Kind: consensus.EntryMembership, Data: []byte("d"),
			Members: []consensus.Member{{ID: 1<<64 - 1, Address: "a", Voter: true}}}},
		Snapshot: &consensus.Snapshot{Index: 9, Term: 8, Data: bytes.Repeat([]byte("s"), 8<<20),
			Members: []consensus.Member{{ID: 3, Address: "b"}, {ID: 4, Retired: true}}},
		Reject: true, HintIndex: 10, HintTerm: 11, HeartbeatRound: 12, LeadershipTransfer: true,
	}
	transport.Send(consensus.Member{ID: 2, Address: listener.Addr().String()}, 3, sent)
	got := receive(t, peerHandler.messages)
	if got.Shard != 3 || got.Message.Term != sent.Term || got.Message.From != 1 || got.Message.To != 2 {
		t.Fatalf("received shard %d, term %d, from %d, to %d, want shard 3, term %d, from 1, to 2",
			got.Shard, got.Message.Term, got.Message.From, got.Message.To, sent.Term)
	}
	if got.Message.Entries[0].Members[0] != sent.Entries[0].Members[0] || string(got.Message.Entries[0].Data) != "d" {
		t.Fatalf("received entries %+v, want %+v", got.Message.Entries, sent.Entries)
	}
	if !bytes.Equal(got.Message.Snapshot.Data, sent.Snapshot.Data) || !slices.Equal(got.Message.Snapshot.Members, sent.Snapshot.Members) {
		t.Fatalf("received a snapshot with %d bytes and members %+v, want the %d bytes and members %+v that were sent",
			len(got.Message.Snapshot.Data), got.Message.Snapshot.Members, len(sent.Snapshot.Data), sent.Snapshot.Members)
	}
	if !got.Message.Reject || !got.Message.LeadershipTransfer || got.Message.HeartbeatRound != 12 || got.Message.HintIndex != 10 {
		t.Fatalf("received reject %t, leadership transfer %t, heartbeat round %d, hint index %d, want true, true, 12, 10",
			got.Message.Reject, got.Message.LeadershipTransfer, got.Message.HeartbeatRound, got.Message.HintIndex)
	}
}

// A message for a member without an address goes to the peer that connected with the member's ID, and is dropped before that.
func TestTransport_Send_addressByMember(t *testing.T) {
	firstHandler, secondHandler := newRecordingHandler(), newRecordingHandler()
	firstListener, tfirstListener := listenLoopback(t), listenLoopback(t)
	firstTransport := startTransport(t, firstListener, 1, firstHandler)
	tfirstTransport := startTransport(t, tfirstListener, 2, secondHandler)

	firstTransport.Send(consensus.Member{ID: 2}, 0, consensus.Message{Term: 1}) // no member with this ID is known: dropped
	tfirstTransport.Send(consensus.Member{ID: 1, Address: firstListener.Addr().String()}, 0, consensus.Message{Term: 2})
	receive(t, firstHandler.messages)
	firstTransport.Send(consensus.Member{ID: 2}, 0, consensus.Message{Term: 3})
	if got := receive(t, secondHandler.messages); got.Message.Term != 3 {
		t.Fatalf("received the message of term %d first, want the one of term 3, sent after the peer had connected", got.Message.Term)
	}
}

// A call gets its reply while an earlier call on the same connection is still executed. An error of the peer's handler reaches
// the caller as a RemoteError.
func TestTransport_Call_outOfOrderReplies(t *testing.T) {
	peerHandler := newRecordingHandler()
	release := make(chan struct{})
	peerHandler.call = func(_ context.Context, kind CallKind, body []byte) ([]byte, error) {
		if kind == 1 {
			<-release
		}
		if kind == 3 {
			return nil, errors.New("no")
		}
		return append([]byte("re:"), body...), nil
	}
	listener := listenLoopback(t)
	startTransport(t, listener, 2, peerHandler)
	transport := startTransport(t, listenLoopback(t), 1, newRecordingHandler())
	address := listener.Addr().String()
	ctx := testContext(t)

	slow := make(chan string, 1)
	go func() {
		body, err := transport.Call(ctx, address, 1, []byte("slow"))
		slow <- string(body) + errorText(err)
	}()
	body, err := transport.Call(ctx, address, 2, []byte("quick"))
	if err != nil || string(body) != "re:quick" {
		t.Fatalf("quick call returned %q, %v, want %q while the slow call is executed", body, err, "re:quick")
	}
	close(release)
	if got := receive(t, slow); got != "re:slow" {
		t.Fatalf("slow call returned %q, want %q", got, "re:slow")
	}
	var remote RemoteError
	if _, err := transport.Call(ctx, address, 3, nil); !errors.As(err, &remote) || remote.Text != "no" {
		t.Fatalf("call that the handler failed returned error %v, want a RemoteError with text %q", err, "no")
	}
}

// errorText returns the text of an error, or an empty string for nil.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func TestTransport_Call_unreachablePeer(t *testing.T) {
	listener := listenLoopback(t)
	address := listener.Addr().String()
	_ = listener.Close()
	transport := startTransport(t, listenLoopback(t), 1, newRecordingHandler())
	if _, err := transport.Call(testContext(t), address, 1, nil); !errors.Is(err, ErrNotSent) {
		t.Fatalf("call to a closed port returned error %v, want %v", err, ErrNotSent)
	}
}

// acceptPeerConnection accepts one connection and checks its hello. The test acts as the peer on it.
func acceptPeerConnection(t *testing.T, listener net.Listener) net.Conn {
	t.Helper()
	connection, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = connection.Close() })
	kind, body, err := feedtransport.ReadFirstFrame(connection, testTimeout)
	if err != nil || kind != kindHello {
		t.Fatalf("read first frame: kind %d, error %v, want a hello (kind %d)", kind, err, kindHello)
	}
	if hello, err := decodeHello(body); err != nil || hello.Member != 1 || hello.Zone != "z" {
		t.Fatalf("decoded hello %+v, error %v, want member 1 in zone z", hello, err)
	}
	return connection
}

// A call whose connection breaks after it was sent ends with ErrOutcomeUnknown.
func TestTransport_Call_connectionBreaks(t *testing.T) {
	listener := listenLoopback(t)
	defer func() { _ = listener.Close() }()
	transport := startTransport(t, listenLoopback(t), 1, newRecordingHandler())
	result := make(chan error, 1)
	go func() {
		_, err := transport.Call(testContext(t), listener.Addr().String(), 1, nil)
		result <- err
	}()
	connection := acceptPeerConnection(t, listener)
	if kind, _, err := feedtransport.ReadFrame(connection); err != nil || kind != kindCall {
		t.Fatalf("read frame: kind %d, error %v, want a call (kind %d)", kind, err, kindCall)
	}
	_ = connection.Close()
	if err := receive(t, result); !errors.Is(err, ErrOutcomeUnknown) {
		t.Fatalf("call on a closed connection returned error %v, want %v", err, ErrOutcomeUnknown)
	}
	// The next message opens a new connection.
	transport.Send(consensus.Member{ID: 2, Address: listener.Addr().String()}, 1, consensus.Message{Term: 7})
	connection = acceptPeerConnection(t, listener)
	kind, body, err := feedtransport.ReadFrame(connection)
	if err != nil || kind != kindBatch {
		t.Fatalf("read frame of the new connection: kind %d, error %v, want a batch (kind %d)", kind, err, kindBatch)
	}
	if batch, err := decodeBatch(body); err != nil || len(batch) != 1 || batch[0].Message.Term != 7 {
		t.Fatalf("decoded batch %+v, error %v, want one message of term 7", batch, err)
	}
}

func TestTransport_Call_contextEnds(t *testing.T) {
	listener := listenLoopback(t)
	defer func() { _ = listener.Close() }()
	transport := startTransport(t, listenLoopback(t), 1, newRecordingHandler())
	ctx, cancel := context.WithCancel(t.Context())
	result := make(chan error, 1)
	go func() {
		_, err := transport.Call(ctx, listener.Addr().String(), 1, nil)
		result <- err
	}()
	connection := acceptPeerConnection(t, listener)
	if _, _, err := feedtransport.ReadFrame(connection); err != nil {
		t.Fatal(err)
	}
	cancel()
	if err := receive(t, result); !errors.Is(err, ErrOutcomeUnknown) || !errors.Is(err, context.Canceled) {
		t.Fatalf("canceled call returned error %v, want %v and %v", err, ErrOutcomeUnknown, context.Canceled)
	}
}

func TestTransport_Serve_handsOverFeedConnections(t *testing.T) {
	peerHandler := newRecordingHandler()
	listener := listenLoopback(t)
	startTransport(t, listener, 2, peerHandler)
	connection, err := net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = connection.Close() }()
	if _, err := connection.Write(feedtransport.AppendFrame(nil, feedtransport.KindHello, []byte("x"))); err != nil {
		t.Fatal(err)
	}
	if kind := receive(t, peerHandler.feedConnections); kind != feedtransport.KindHello {
		t.Fatalf("handler received a feed connection with first frame of kind %d, want %d", kind, feedtransport.KindHello)
	}
}

func TestDropUnknownShards(t *testing.T) {
	batch := dropUnknownShards([]GroupMessage{{Shard: shards.ShardCount}, {Shard: 1}, {Shard: 1 << 30}})
	if len(batch) != 1 || batch[0].Shard != 1 {
		t.Fatalf("remaining messages %+v, want only the one of shard 1", batch)
	}
}

// The hello is written by itself, without waiting until the next frame is encoded, because the acceptor limits its wait for
// the first frame.
func TestOutboundPeer_writeLoop_helloFirst(t *testing.T) {
	transportEnd, peerEnd := net.Pipe()
	defer func() { _ = peerEnd.Close() }()
	self := Hello{Address: "127.0.0.1:1", Member: 1}
	dial := func(context.Context, string) (net.Conn, error) { return transportEnd, nil }
	transport, err := New(Options{Self: self, Handler: newRecordingHandler(), Dial: dial, Logger: zaptest.NewLogger(t)})
	if err != nil {
		t.Fatal(err)
	}
	defer transport.Close()
	transport.Send(consensus.Member{ID: 2, Address: "127.0.0.1:2"}, 0, consensus.Message{Term: 1})
	buffer := make([]byte, 4096)
	count, err := peerEnd.Read(buffer) // a read from a pipe returns the bytes of one Write
	if err != nil {
		t.Fatal(err)
	}
	reader := bytes.NewReader(buffer[:count])
	kind, body, err := feedtransport.ReadFrame(reader)
	if err != nil || kind != kindHello || reader.Len() != 0 {
		t.Fatalf("first write has a frame of kind %d and %d more bytes, error %v, want only a hello (kind %d)", kind, reader.Len(), err, kindHello)
	}
	if hello, err := decodeHello(body); err != nil || hello != self {
		t.Fatalf("decoded hello %+v, error %v, want %+v", hello, err, self)
	}
}
