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

const testLimit = 10 * time.Second

// recorder is a Handler that passes its arguments to channels.
type recorder struct {
	connected chan Hello
	messages  chan GroupMessage
	readers   chan feedtransport.Kind
	call      func(ctx context.Context, kind CallKind, body []byte) ([]byte, error)
}

func newRecorder() *recorder {
	return &recorder{
		connected: make(chan Hello, 16), messages: make(chan GroupMessage, 4096), readers: make(chan feedtransport.Kind, 16),
		call: func(_ context.Context, _ CallKind, body []byte) ([]byte, error) { return body, nil },
	}
}

func (r *recorder) Connected(peer Hello) { r.connected <- peer }

func (r *recorder) Messages(_ Hello, batch []GroupMessage) {
	for _, message := range batch {
		r.messages <- message
	}
}

func (r *recorder) Call(ctx context.Context, _ Hello, kind CallKind, body []byte) ([]byte, error) {
	return r.call(ctx, kind, body)
}

func (r *recorder) FeedConnection(_ context.Context, connection net.Conn, kind feedtransport.Kind, _ []byte) {
	_ = connection.Close()
	r.readers <- kind
}

// listen opens a listener on loopback.
func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := Listen(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

// start opens a transport that serves the listener until the test ends.
func start(t *testing.T, listener net.Listener, member consensus.MemberID, handler Handler) *Transport {
	t.Helper()
	transport, err := New(Options{Self: Hello{Address: listener.Addr().String(), Member: member, Zone: "z"}, Handler: handler, Logger: zaptest.NewLogger(t)})
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = transport.Serve(listener) }()
	t.Cleanup(transport.Close)
	return transport
}

func receive[T any](t *testing.T, from <-chan T) T {
	t.Helper()
	select {
	case value := <-from:
		return value
	case <-time.After(testLimit):
		t.Fatal("nothing came")
		panic("not reached")
	}
}

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), testLimit)
	t.Cleanup(cancel)
	return ctx
}

func TestTransport_Send_roundTrip(t *testing.T) {
	there := newRecorder()
	listener := listen(t)
	start(t, listener, 2, there)
	here := start(t, listen(t), 1, newRecorder())

	sent := consensus.Message{
		Kind: consensus.MessageInstallSnapshot, From: 1, To: 2, Term: 1 << 63, LogIndex: 4, LogTerm: 5, Commit: 6,
		Entries: []consensus.Entry{{Term: 1, Index: 2, Kind: consensus.EntryMembership, Data: []byte("d"),
			Members: []consensus.Member{{ID: 1<<64 - 1, Address: "a", Voter: true}}}},
		Snapshot: &consensus.Snapshot{Index: 9, Term: 8, Data: bytes.Repeat([]byte("s"), 8<<20),
			Members: []consensus.Member{{ID: 3, Address: "b"}, {ID: 4, Retired: true}}},
		Reject: true, HintIndex: 10, HintTerm: 11, HeartbeatRound: 12, LeadershipTransfer: true,
	}
	here.Send(consensus.Member{ID: 2, Address: listener.Addr().String()}, 3, sent)
	got := receive(t, there.messages)
	if got.Shard != 3 || got.Message.Term != sent.Term || got.Message.From != 1 || got.Message.To != 2 {
		t.Fatalf("got shard %d, term %d, from %d, to %d", got.Shard, got.Message.Term, got.Message.From, got.Message.To)
	}
	if got.Message.Entries[0].Members[0] != sent.Entries[0].Members[0] || string(got.Message.Entries[0].Data) != "d" {
		t.Fatalf("entries %+v", got.Message.Entries)
	}
	if !bytes.Equal(got.Message.Snapshot.Data, sent.Snapshot.Data) || !slices.Equal(got.Message.Snapshot.Members, sent.Snapshot.Members) {
		t.Fatal("the snapshot differs")
	}
	if !got.Message.Reject || !got.Message.LeadershipTransfer || got.Message.HeartbeatRound != 12 || got.Message.HintIndex != 10 {
		t.Fatalf("fields %+v", got.Message)
	}
}

func TestTransport_Send_addressByMember(t *testing.T) {
	here, there := newRecorder(), newRecorder()
	hereListener, thereListener := listen(t), listen(t)
	hereTransport := start(t, hereListener, 1, here)
	thereTransport := start(t, thereListener, 2, there)

	hereTransport.Send(consensus.Member{ID: 2}, 0, consensus.Message{Term: 1}) // no member with this ID is known: dropped
	thereTransport.Send(consensus.Member{ID: 1, Address: hereListener.Addr().String()}, 0, consensus.Message{Term: 2})
	receive(t, here.messages)
	hereTransport.Send(consensus.Member{ID: 2}, 0, consensus.Message{Term: 3})
	if got := receive(t, there.messages); got.Message.Term != 3 {
		t.Fatalf("term %d", got.Message.Term)
	}
}

func TestTransport_Call_outOfOrderReplies(t *testing.T) {
	there := newRecorder()
	release := make(chan struct{})
	there.call = func(_ context.Context, kind CallKind, body []byte) ([]byte, error) {
		if kind == 1 {
			<-release
		}
		if kind == 3 {
			return nil, errors.New("no")
		}
		return append([]byte("re:"), body...), nil
	}
	listener := listen(t)
	start(t, listener, 2, there)
	here := start(t, listen(t), 1, newRecorder())
	address := listener.Addr().String()
	ctx := testContext(t)

	slow := make(chan string, 1)
	go func() {
		body, err := here.Call(ctx, address, 1, []byte("slow"))
		slow <- string(body) + errorText(err)
	}()
	body, err := here.Call(ctx, address, 2, []byte("quick"))
	if err != nil || string(body) != "re:quick" {
		t.Fatal(string(body), err)
	}
	close(release)
	if got := receive(t, slow); got != "re:slow" {
		t.Fatal(got)
	}
	var remote RemoteError
	if _, err := here.Call(ctx, address, 3, nil); !errors.As(err, &remote) || remote.Text != "no" {
		t.Fatal(err)
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func TestTransport_Call_unreachablePeer(t *testing.T) {
	listener := listen(t)
	address := listener.Addr().String()
	_ = listener.Close()
	here := start(t, listen(t), 1, newRecorder())
	if _, err := here.Call(testContext(t), address, 1, nil); !errors.Is(err, ErrNotSent) {
		t.Fatal(err)
	}
}

// scriptedPeer accepts one connection and reads its hello.
func scriptedPeer(t *testing.T, listener net.Listener) net.Conn {
	t.Helper()
	connection, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = connection.Close() })
	kind, body, err := feedtransport.ReadFirstFrame(connection, testLimit)
	if err != nil || kind != kindHello {
		t.Fatal(kind, err)
	}
	if hello, err := decodeHello(body); err != nil || hello.Member != 1 || hello.Zone != "z" {
		t.Fatal(hello, err)
	}
	return connection
}

func TestTransport_Call_connectionBreaks(t *testing.T) {
	listener := listen(t)
	defer func() { _ = listener.Close() }()
	here := start(t, listen(t), 1, newRecorder())
	result := make(chan error, 1)
	go func() {
		_, err := here.Call(testContext(t), listener.Addr().String(), 1, nil)
		result <- err
	}()
	connection := scriptedPeer(t, listener)
	if kind, _, err := feedtransport.ReadFrame(connection); err != nil || kind != kindCall {
		t.Fatal(kind, err)
	}
	_ = connection.Close()
	if err := receive(t, result); !errors.Is(err, ErrOutcomeUnknown) {
		t.Fatal(err)
	}
	// The next message opens a new connection.
	here.Send(consensus.Member{ID: 2, Address: listener.Addr().String()}, 1, consensus.Message{Term: 7})
	connection = scriptedPeer(t, listener)
	kind, body, err := feedtransport.ReadFrame(connection)
	if err != nil || kind != kindBatch {
		t.Fatal(kind, err)
	}
	if batch, err := decodeBatch(body); err != nil || len(batch) != 1 || batch[0].Message.Term != 7 {
		t.Fatal(batch, err)
	}
}

func TestTransport_Call_contextEnds(t *testing.T) {
	listener := listen(t)
	defer func() { _ = listener.Close() }()
	here := start(t, listen(t), 1, newRecorder())
	ctx, cancel := context.WithCancel(t.Context())
	result := make(chan error, 1)
	go func() {
		_, err := here.Call(ctx, listener.Addr().String(), 1, nil)
		result <- err
	}()
	connection := scriptedPeer(t, listener)
	if _, _, err := feedtransport.ReadFrame(connection); err != nil {
		t.Fatal(err)
	}
	cancel()
	if err := receive(t, result); !errors.Is(err, ErrOutcomeUnknown) || !errors.Is(err, context.Canceled) {
		t.Fatal(err)
	}
}

func TestTransport_Serve_handsOverFeedConnections(t *testing.T) {
	there := newRecorder()
	listener := listen(t)
	start(t, listener, 2, there)
	connection, err := net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = connection.Close() }()
	if _, err := connection.Write(feedtransport.AppendFrame(nil, feedtransport.KindHello, []byte("x"))); err != nil {
		t.Fatal(err)
	}
	if kind := receive(t, there.readers); kind != feedtransport.KindHello {
		t.Fatal(kind)
	}
}

func TestWithKnownShards(t *testing.T) {
	batch := withKnownShards([]GroupMessage{{Shard: shards.ShardCount}, {Shard: 1}, {Shard: 1 << 30}})
	if len(batch) != 1 || batch[0].Shard != 1 {
		t.Fatal(batch)
	}
}

// The acceptor limits its wait for the first frame; the hello must not wait for the encoding of the next one.
func TestOutbound_write_helloFirst(t *testing.T) {
	near, far := net.Pipe()
	defer func() { _ = far.Close() }()
	self := Hello{Address: "127.0.0.1:1", Member: 1}
	dial := func(context.Context, string) (net.Conn, error) { return near, nil }
	transport, err := New(Options{Self: self, Handler: newRecorder(), Dial: dial, Logger: zaptest.NewLogger(t)})
	if err != nil {
		t.Fatal(err)
	}
	defer transport.Close()
	transport.Send(consensus.Member{ID: 2, Address: "127.0.0.1:2"}, 0, consensus.Message{Term: 1})
	buffer := make([]byte, 4096)
	count, err := far.Read(buffer) // a read from a pipe returns the bytes of one Write
	if err != nil {
		t.Fatal(err)
	}
	reader := bytes.NewReader(buffer[:count])
	kind, body, err := feedtransport.ReadFrame(reader)
	if err != nil || kind != kindHello || reader.Len() != 0 {
		t.Fatalf("kind %d, %d bytes more, %v", kind, reader.Len(), err)
	}
	if hello, err := decodeHello(body); err != nil || hello != self {
		t.Fatal(hello, err)
	}
}
