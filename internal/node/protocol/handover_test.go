package protocol

import (
	"os"
	"testing"

	"pgregory.net/rapid"

	"ospreybend/internal/node/slottable"
	"ospreybend/internal/testkit/scriptedpeer"
)

// handOver hands all connections of a fixture over to another one, and returns the encoded hand-overs.
func (fx *fixture) handOver(t *testing.T, next *fixture) (encoded [][]byte) {
	t.Helper()
	var sockets [][]*os.File
	fx.Loop.Call(func() {
		fx.front.HandOver(fx.destinations, func(handover *Handover, connSockets []*os.File) {
			message, err := handover.Encode()
			if err != nil {
				t.Errorf("encode a hand-over: %v", err)
			}
			encoded, sockets = append(encoded, message), append(sockets, connSockets)
		})
	})
	for i, message := range encoded {
		handover, err := DecodeHandover(message, len(sockets[i]))
		if err != nil {
			t.Fatalf("decode hand-over %d: %v", i, err)
		}
		conns := next.Loop.Adopt(sockets[i], handover.Unread())
		next.Loop.Call(func() { next.front.Adopt(next.destinations, handover, conns) })
	}
	fx.checkTotals(t)
	return encoded
}

// A request in progress is handed over with half a line of its response read, and continues in
// the other process. A connection that has sent a request before may stay idle there too. A
// hand-over that is corrupt or comes with another number of sockets is rejected.
func TestFront_HandOver(t *testing.T) {
	old, next := newFixture(t, nil), newFixture(t, nil)
	startedChunk := scriptedpeer.Chunk(`{"id":"a1","state":"started"}`)
	old.Play(`
		idle dial front
		idle send GET /healthz HTTP/1.1\r\n\r\n
		idle expect HTTP/1.1 200
		c dial front
		c send {ask}
		s accept workers
		s expect hi
		s send {stream}` + startedChunk[:20])
	old.WaitUntil(func() bool {
		for _, ex := range old.destinations.exchanges {
			return ex.conn != nil && ex.conn.headRead
		}
		return false
	})
	encoded := old.handOver(t, next)
	next.Advance(requestTimeout * 2 / 3)
	old.Play("s send " + startedChunk[20:] + "{done}\nc expect HTTP/1.1 200\nc expect fine\nc send {ask}")
	next.WaitUntil(func() bool { return next.core.Counts().Served == 1 && next.core.OpenOperations() == 1 })
	next.Advance(requestTimeout)
	old.Play("idle send GET /healthz HTTP/1.1\\r\\n\\r\\n\nidle expect HTTP/1.1 200")
	next.checkTotals(t)
	if n := old.front.sockets.Len(); n != 0 {
		t.Errorf("after the hand-over the old process has %d client connections, want 0", n)
	}
	rapid.Check(t, func(t *rapid.T) {
		corrupt := append([]byte(nil), rapid.SampledFrom(encoded).Draw(t, "hand-over")...)
		corrupt[rapid.IntRange(0, len(corrupt)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
		n := rapid.IntRange(0, 3).Draw(t, "sockets")
		if handover, err := DecodeHandover(corrupt, n); err == nil && len(handover.Unread()) != n && len(handover.Learned) == 0 {
			t.Fatalf("DecodeHandover accepted %d sockets for %d connections", n, len(handover.Unread()))
		}
	})
}

// A booking that was written but whose connection cannot be handed over may have run: it fails in
// the next process and is not retried.
func TestFront_HandOver_unflushedStays(t *testing.T) {
	old, next := newFixture(t, nil), newFixture(t, nil)
	old.Play("c dial front\nc send {book}\ns accept workers\ns expect b1")
	next.Loop.Call(func() {}) // both loops are running
	var handle slottable.Handle
	old.Loop.Call(func() {
		for open := range old.front.calls {
			handle = open
		}
		carried := old.core.Release(handle, func(int, slottable.Handle) (bool, bool) { return false, true })
		next.Loop.Post(func() {
			adopted, _ := next.core.Adopt(carried, next.front)
			next.core.Resume(adopted)
		})
	})
	next.WaitUntil(func() bool { return next.core.OpenOperations() == 0 && next.core.Counts().Operations == 1 })
	if c := next.core.Counts(); c.Failed != 1 || c.Steps != 0 {
		t.Errorf("booking that may have run, in the next process: got %d failed, %d steps sent, want 1 and 0", c.Failed, c.Steps)
	}
}
