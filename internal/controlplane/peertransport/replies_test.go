package peertransport

import (
	"bytes"
	"context"
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap/zaptest"

	"ospreybend/internal/controlplane/feedtransport"
)

// peerAddress is the address of the peer that a test simulates.
const peerAddress = "127.0.0.1:2"

// callFixture is a transport under test for which the test acts as the peer, over in-memory connections and in simulated time.
type callFixture struct {
	t         *testing.T
	transport *Transport
	peerEnds  chan net.Conn // the peer's end of each connection that the transport dials
}

func newCallFixture(t *testing.T) *callFixture {
	t.Helper()
	f := &callFixture{t: t, peerEnds: make(chan net.Conn, 4)}
	dial := func(context.Context, string) (net.Conn, error) {
		transportEnd, peerEnd := net.Pipe()
		f.peerEnds <- peerEnd
		return transportEnd, nil
	}
	transport, err := New(Options{Self: Hello{Address: "127.0.0.1:1", Member: 1}, Handler: newRecordingHandler(), Dial: dial, Logger: zaptest.NewLogger(t)})
	if err != nil {
		t.Fatal(err)
	}
	f.transport = transport
	return f
}

// callOutcome is what Transport.Call returned.
type callOutcome struct {
	body string
	err  error
}

// startCall starts a call in a goroutine of its own. The channel receives its outcome.
func (f *callFixture) startCall(ctx context.Context, body string) <-chan callOutcome {
	outcome := make(chan callOutcome, 1)
	go func() {
		reply, err := f.transport.Call(ctx, peerAddress, 1, []byte(body))
		outcome <- callOutcome{string(reply), err}
	}()
	return outcome
}

// acceptConnection returns the peer's end of the next connection, after reading its hello.
func (f *callFixture) acceptConnection() net.Conn {
	f.t.Helper()
	connection := <-f.peerEnds
	if kind, _, err := feedtransport.ReadFrame(connection); kind != kindHello || err != nil {
		f.t.Fatalf("read first frame: kind %d, error %v, want a hello (kind %d)", kind, err, kindHello)
	}
	return connection
}

// readCall reads the next frame of a connection, which must be a call.
func (f *callFixture) readCall(connection net.Conn) wireCall {
	f.t.Helper()
	kind, body, err := feedtransport.ReadFrame(connection)
	if kind != kindCall || err != nil {
		f.t.Fatalf("read frame: kind %d, error %v, want a call (kind %d)", kind, err, kindCall)
	}
	var call wireCall
	if err := decode(kindCall, callSchema, body, &call); err != nil {
		f.t.Fatal(err)
	}
	return call
}

// encodedReply returns the frame of a successful reply.
func encodedReply(t *testing.T, id int64, body string) []byte {
	t.Helper()
	encoded, err := encodeReply(id, []byte(body), nil)
	if err != nil {
		t.Fatal(err)
	}
	return feedtransport.AppendFrame(nil, encoded.kind, encoded.body)
}

// writeBytes writes data to a connection.
func writeBytes(t *testing.T, connection net.Conn, data []byte) {
	t.Helper()
	if _, err := connection.Write(data); err != nil {
		t.Fatal(err)
	}
}

// TestTransport_Call_replies has the peer answer one call with valid or invalid bytes, and then reply to a second call, which
// must get its own reply in every case.
func TestTransport_Call_replies(t *testing.T) {
	complete := func(id int64) []byte { return encodedReply(t, id, "first") }
	cases := []struct {
		name    string
		sent    func(id int64) []byte
		ends    bool  // whether the connection ends, closed by either side
		outcome error // expected error of the first call; nil: it returns "first"
	}{
		{"one reply", complete, false, nil},
		{"one reply, then the connection ends", complete, true, nil},
		{"two replies to the same call", func(id int64) []byte { return append(complete(id), encodedReply(t, id, "other")...) }, false, nil},
		{"a reply to an unknown call before it", func(id int64) []byte { return append(encodedReply(t, id+7, "other"), complete(id)...) }, false, nil},
		{"a reply to the next call before it", func(id int64) []byte { return append(encodedReply(t, id+1, "other"), complete(id)...) }, false, nil},
		{"only a reply to an unknown call", func(id int64) []byte { return encodedReply(t, id+7, "other") }, true, ErrOutcomeUnknown},
		{"nothing", func(int64) []byte { return nil }, true, ErrOutcomeUnknown},
		{"a reply truncated in the header", func(id int64) []byte { return complete(id)[:3] }, true, ErrOutcomeUnknown},
		{"a reply truncated in the body", func(id int64) []byte { return complete(id)[:len(complete(id))-1] }, true, ErrOutcomeUnknown},
		{"a reply with an undecodable body", func(int64) []byte { return feedtransport.AppendFrame(nil, kindReply, []byte("?")) }, true, ErrOutcomeUnknown},
		{"a frame of another kind", func(id int64) []byte { return feedtransport.AppendFrame(nil, kindBatch, complete(id)[5:]) }, true, ErrOutcomeUnknown},
		{"a header with an excessive length", func(int64) []byte { return []byte{0xff, 0xff, 0xff, 0xff, byte(kindReply)} }, true, ErrOutcomeUnknown},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newCallFixture(t)
				defer f.transport.Close()
				first := f.startCall(t.Context(), "1")
				connection := f.acceptConnection()
				writeBytes(t, connection, tc.sent(f.readCall(connection).ID))
				if tc.ends {
					synctest.Wait()
					_ = connection.Close()
					synctest.Wait()
				}
				outcome := <-first
				if !errors.Is(outcome.err, tc.outcome) || outcome.err == nil && outcome.body != "first" {
					t.Fatalf("first call returned %q, error %v, want error %v, or body %q if that is nil", outcome.body, outcome.err, tc.outcome, "first")
				}
				second := f.startCall(t.Context(), "2")
				if tc.ends {
					connection = f.acceptConnection()
				}
				writeBytes(t, connection, encodedReply(t, f.readCall(connection).ID, "second"))
				if outcome := <-second; outcome.err != nil || outcome.body != "second" {
					t.Fatalf("second call returned %q, error %v, want %q", outcome.body, outcome.err, "second")
				}
			})
		})
	}
}

// If the reply to an abandoned call arrives late on the same connection, it is discarded, and the next call gets its own reply.
func TestTransport_Call_lateReplyDiscarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCallFixture(t)
		defer f.transport.Close()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		first := f.startCall(ctx, "1")
		connection := f.acceptConnection()
		late := f.readCall(connection)
		if outcome := <-first; !errors.Is(outcome.err, ErrOutcomeUnknown) {
			t.Fatalf("call without a reply returned error %v, want %v", outcome.err, ErrOutcomeUnknown)
		}
		second := f.startCall(t.Context(), "2")
		next := f.readCall(connection)
		writeBytes(t, connection, encodedReply(t, late.ID, "late"))
		writeBytes(t, connection, encodedReply(t, next.ID, "second"))
		if outcome := <-second; outcome.err != nil || outcome.body != "second" || next.ID == late.ID {
			t.Fatalf("second call, with ID %d, returned %q, error %v, want %q and an ID other than %d",
				next.ID, outcome.body, outcome.err, "second", late.ID)
		}
	})
}

// If the reply to a call of an earlier connection arrives on the next connection, it is discarded. Call IDs are not reused after
// a reconnect, so that such a reply cannot complete a later call.
func TestTransport_Call_replyToEarlierConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCallFixture(t)
		defer f.transport.Close()
		first := f.startCall(t.Context(), "1")
		connection := f.acceptConnection()
		early := f.readCall(connection)
		_ = connection.Close()
		if outcome := <-first; !errors.Is(outcome.err, ErrOutcomeUnknown) {
			t.Fatalf("call on a closed connection returned error %v, want %v", outcome.err, ErrOutcomeUnknown)
		}
		synctest.Wait()
		second := f.startCall(t.Context(), "2")
		connection = f.acceptConnection()
		next := f.readCall(connection)
		if next.ID == early.ID {
			t.Fatalf("second call has ID %d, which the call on the earlier connection had", next.ID)
		}
		writeBytes(t, connection, encodedReply(t, early.ID, "early"))
		writeBytes(t, connection, encodedReply(t, next.ID, "second"))
		if outcome := <-second; outcome.err != nil || outcome.body != "second" {
			t.Fatalf("second call returned %q, error %v, want %q", outcome.body, outcome.err, "second")
		}
	})
}

// A call that is still queued is not completed by a reply with its ID, which the peer cannot know yet, and is not failed when an
// earlier connection ends.
func TestTransport_Call_replyToUnsentCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		transport, err := New(Options{Handler: newRecordingHandler()})
		if err != nil {
			t.Fatal(err)
		}
		defer transport.Close()
		peer := newOutboundPeer(transport, peerAddress)
		id, pending, err := peer.enqueue(t.Context(), 1, []byte("1"))
		if err != nil {
			t.Fatal(err)
		}
		peer.complete(id, callResult{body: []byte("foreign")})
		peer.failSent()
		if _, calls := peer.takeQueued(); len(calls) != 1 || len(pending.result) != 0 {
			t.Fatalf("%d calls are queued and %d results delivered, want 1 queued call and no result", len(calls), len(pending.result))
		}
		peer.complete(id, callResult{body: []byte("own")})
		if result := <-pending.result; string(result.body) != "own" {
			t.Fatalf("call returned %q after it was sent, want %q", result.body, "own")
		}
	})
}

// A queued call does not share memory with the body that the caller passed, since the caller may reuse it once the call has
// ended, even if the call was not sent yet.
func TestTransport_Call_copiesBody(t *testing.T) {
	transport, err := New(Options{Handler: newRecordingHandler()})
	if err != nil {
		t.Fatal(err)
	}
	defer transport.Close()
	peer := newOutboundPeer(transport, peerAddress)
	body := []byte("the body of a call")
	sent := bytes.Clone(body)
	if _, _, err := peer.enqueue(t.Context(), 1, body); err != nil {
		t.Fatal(err)
	}
	clear(body)
	_, calls := peer.takeQueued()
	var call wireCall
	if err := decode(kindCall, callSchema, calls[0].body, &call); err != nil || !bytes.Equal(call.Body, sent) {
		t.Fatalf("decoded call has body %q, error %v, want %q", call.Body, err, sent)
	}
}

// A decoded message does not share memory with the body of the frame.
func TestDecode_copiesBytes(t *testing.T) {
	encoded, err := encodeCall(1, 1, time.Second, []byte("the body of a call"))
	if err != nil {
		t.Fatal(err)
	}
	var call wireCall
	if err := decode(kindCall, callSchema, encoded.body, &call); err != nil {
		t.Fatal(err)
	}
	clear(encoded.body)
	if string(call.Body) != "the body of a call" {
		t.Fatalf("decoded call has body %q after the frame was cleared, want %q", call.Body, "the body of a call")
	}
}
