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

const peerAddress = "127.0.0.1:2"

// callFixture is a transport under test whose peer is the test, over pipes in simulated time.
type callFixture struct {
	t         *testing.T
	transport *Transport
	dialed    chan net.Conn // the peer's end of each connection
}

func newCallFixture(t *testing.T) *callFixture {
	t.Helper()
	b := &callFixture{t: t, dialed: make(chan net.Conn, 4)}
	dial := func(context.Context, string) (net.Conn, error) {
		near, far := net.Pipe()
		b.dialed <- far
		return near, nil
	}
	transport, err := New(Options{Self: Hello{Address: "127.0.0.1:1", Member: 1}, Handler: newRecorder(), Dial: dial, Logger: zaptest.NewLogger(t)})
	if err != nil {
		t.Fatal(err)
	}
	b.transport = transport
	return b
}

// callOutcome is the result of a call.
type callOutcome struct {
	body string
	err  error
}

// call starts a call with a body.
func (b *callFixture) call(ctx context.Context, body string) <-chan callOutcome {
	outcome := make(chan callOutcome, 1)
	go func() {
		reply, err := b.transport.Call(ctx, peerAddress, 1, []byte(body))
		outcome <- callOutcome{string(reply), err}
	}()
	return outcome
}

// accept returns the peer's end of the next connection, after its hello.
func (b *callFixture) accept() net.Conn {
	b.t.Helper()
	connection := <-b.dialed
	if kind, _, err := feedtransport.ReadFrame(connection); kind != kindHello || err != nil {
		b.t.Fatal(kind, err)
	}
	return connection
}

// nextCall reads the next call on a connection.
func (b *callFixture) nextCall(connection net.Conn) wireCall {
	b.t.Helper()
	kind, body, err := feedtransport.ReadFrame(connection)
	if kind != kindCall || err != nil {
		b.t.Fatal(kind, err)
	}
	var call wireCall
	if err := decode(kindCall, callSchema, body, &call); err != nil {
		b.t.Fatal(err)
	}
	return call
}

// replyBytes returns an encoded reply.
func replyBytes(t *testing.T, id int64, body string) []byte {
	t.Helper()
	encoded, err := encodeReply(id, []byte(body), nil)
	if err != nil {
		t.Fatal(err)
	}
	return feedtransport.AppendFrame(nil, encoded.kind, encoded.body)
}

func write(t *testing.T, connection net.Conn, data []byte) {
	t.Helper()
	if _, err := connection.Write(data); err != nil {
		t.Fatal(err)
	}
}

// TestTransport_Call_replies has the peer send valid and invalid bytes for one call, and then reply to a second call.
func TestTransport_Call_replies(t *testing.T) {
	complete := func(id int64) []byte { return replyBytes(t, id, "first") }
	cases := []struct {
		name    string
		sent    func(id int64) []byte
		ends    bool  // the connection ends, by either side
		outcome error // nil: "first"
	}{
		{"a complete reply", complete, false, nil},
		{"a complete reply, then the end", complete, true, nil},
		{"repeated", func(id int64) []byte { return append(complete(id), replyBytes(t, id, "other")...) }, false, nil},
		{"a surplus reply before it", func(id int64) []byte { return append(replyBytes(t, id+7, "other"), complete(id)...) }, false, nil},
		{"a reply to a call to come before it", func(id int64) []byte { return append(replyBytes(t, id+1, "other"), complete(id)...) }, false, nil},
		{"a foreign reply alone", func(id int64) []byte { return replyBytes(t, id+7, "other") }, true, ErrOutcomeUnknown},
		{"nothing", func(int64) []byte { return nil }, true, ErrOutcomeUnknown},
		{"cut in its head", func(id int64) []byte { return complete(id)[:3] }, true, ErrOutcomeUnknown},
		{"cut in its body", func(id int64) []byte { return complete(id)[:len(complete(id))-1] }, true, ErrOutcomeUnknown},
		{"no reply at all", func(int64) []byte { return feedtransport.AppendFrame(nil, kindReply, []byte("?")) }, true, ErrOutcomeUnknown},
		{"a frame of another kind", func(id int64) []byte { return feedtransport.AppendFrame(nil, kindBatch, complete(id)[5:]) }, true, ErrOutcomeUnknown},
		{"a false length", func(int64) []byte { return []byte{0xff, 0xff, 0xff, 0xff, byte(kindReply)} }, true, ErrOutcomeUnknown},
	}
	for _, one := range cases {
		t.Run(one.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newCallFixture(t)
				defer b.transport.Close()
				first := b.call(t.Context(), "1")
				connection := b.accept()
				write(t, connection, one.sent(b.nextCall(connection).ID))
				if one.ends {
					synctest.Wait()
					_ = connection.Close()
					synctest.Wait()
				}
				outcome := <-first
				if !errors.Is(outcome.err, one.outcome) || outcome.err == nil && outcome.body != "first" {
					t.Fatalf("outcome %q, %v", outcome.body, outcome.err)
				}
				second := b.call(t.Context(), "2")
				if one.ends {
					connection = b.accept()
				}
				write(t, connection, replyBytes(t, b.nextCall(connection).ID, "second"))
				if outcome := <-second; outcome.err != nil || outcome.body != "second" {
					t.Fatalf("the next call: %q, %v", outcome.body, outcome.err)
				}
			})
		})
	}
}

// The late reply to an abandoned call arrives on a connection that stays open: the next call gets its own reply.
func TestTransport_Call_lateReplyDiscarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newCallFixture(t)
		defer b.transport.Close()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		first := b.call(ctx, "1")
		connection := b.accept()
		late := b.nextCall(connection)
		if outcome := <-first; !errors.Is(outcome.err, ErrOutcomeUnknown) {
			t.Fatal(outcome.err)
		}
		second := b.call(t.Context(), "2")
		next := b.nextCall(connection)
		write(t, connection, replyBytes(t, late.ID, "late"))
		write(t, connection, replyBytes(t, next.ID, "second"))
		if outcome := <-second; outcome.err != nil || outcome.body != "second" || next.ID == late.ID {
			t.Fatalf("outcome %q, %v", outcome.body, outcome.err)
		}
	})
}

// The reply to a call of a broken connection arrives on the next one, as from a peer with call IDs of its own.
func TestTransport_Call_replyToEarlierConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newCallFixture(t)
		defer b.transport.Close()
		first := b.call(t.Context(), "1")
		connection := b.accept()
		early := b.nextCall(connection)
		_ = connection.Close()
		if outcome := <-first; !errors.Is(outcome.err, ErrOutcomeUnknown) {
			t.Fatal(outcome.err)
		}
		synctest.Wait()
		second := b.call(t.Context(), "2")
		connection = b.accept()
		next := b.nextCall(connection)
		if next.ID == early.ID {
			t.Fatal("an ID is used again")
		}
		write(t, connection, replyBytes(t, early.ID, "early"))
		write(t, connection, replyBytes(t, next.ID, "second"))
		if outcome := <-second; outcome.err != nil || outcome.body != "second" {
			t.Fatalf("outcome %q, %v", outcome.body, outcome.err)
		}
	})
}

// A call that waits for its connection is not completed by a reply that cannot be its own, and is not lost with the
// earlier connection.
func TestTransport_Call_replyToUnsentCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		transport, err := New(Options{Handler: newRecorder()})
		if err != nil {
			t.Fatal(err)
		}
		defer transport.Close()
		waiting := newOutbound(transport, peerAddress)
		id, pending, err := waiting.enqueue(t.Context(), 1, []byte("1"))
		if err != nil {
			t.Fatal(err)
		}
		waiting.complete(id, callResult{body: []byte("foreign")})
		waiting.failSent()
		if _, calls := waiting.takeQueued(); len(calls) != 1 || len(pending.done) != 0 {
			t.Fatalf("%d calls are sent, %d results", len(calls), len(pending.done))
		}
		waiting.complete(id, callResult{body: []byte("own")})
		if result := <-pending.done; string(result.body) != "own" {
			t.Fatal(string(result.body))
		}
	})
}

// A caller may reuse the body as soon as the call has ended, also if the call was never sent.
func TestTransport_Call_copiesBody(t *testing.T) {
	transport, err := New(Options{Handler: newRecorder()})
	if err != nil {
		t.Fatal(err)
	}
	defer transport.Close()
	waiting := newOutbound(transport, peerAddress)
	body := []byte("the body of a call")
	sent := bytes.Clone(body)
	if _, _, err := waiting.enqueue(t.Context(), 1, body); err != nil {
		t.Fatal(err)
	}
	clear(body)
	_, calls := waiting.takeQueued()
	var call wireCall
	if err := decode(kindCall, callSchema, calls[0].body, &call); err != nil || !bytes.Equal(call.Body, sent) {
		t.Fatalf("%q, %v", call.Body, err)
	}
}

// Decoded messages must not share memory with the frame.
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
		t.Fatalf("%q", call.Body)
	}
}
