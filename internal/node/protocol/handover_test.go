package protocol

import (
	"os"
	"testing"

	"pgregory.net/rapid"

	"ospreybend/internal/node/slottable"
	"ospreybend/internal/testkit/scriptedpeer"
)

// handOver hands all connections of a fixture over to another one, through the encoding.
func (w *fixture) handOver(t *testing.T, to *fixture) (texts [][]byte) {
	t.Helper()
	var sockets [][]*os.File
	w.Loop.Call(func() {
		w.front.HandOver(w.destinations, func(p *Handover, with []*os.File) {
			text, err := p.Encode()
			if err != nil {
				t.Error(err)
			}
			texts, sockets = append(texts, text), append(sockets, with)
		})
	})
	for i, text := range texts {
		p, err := DecodeHandover(text, len(sockets[i]))
		if err != nil {
			t.Fatal(err)
		}
		conns := to.Loop.Adopt(sockets[i], p.Unread())
		to.Loop.Call(func() { to.front.Adopt(to.destinations, p, conns) })
	}
	w.checkTotals(t)
	return texts
}

// A request in progress moves with half a line of its response read, and continues there; a
// connection that has sent a request before may be idle after the move too. A hand-over that
// is corrupt, or came with other sockets, is rejected.
func TestFront_HandOver(t *testing.T) {
	old, next := newFixture(t, nil), newFixture(t, nil)
	started := scriptedpeer.Chunk(`{"id":"a1","state":"started"}`)
	old.Play(`
		idle dial front
		idle send GET /healthz HTTP/1.1\r\n\r\n
		idle expect HTTP/1.1 200
		c dial front
		c send {ask}
		s accept workers
		s expect hi
		s send {stream}` + started[:20])
	old.WaitUntil(func() bool {
		for _, at := range old.destinations.exchanges {
			return at.conn != nil && at.conn.headRead
		}
		return false
	})
	texts := old.handOver(t, next)
	next.Advance(requestTimeout * 2 / 3)
	old.Play("s send " + started[20:] + "{done}\nc expect HTTP/1.1 200\nc expect fine\nc send {ask}")
	next.WaitUntil(func() bool { return next.core.Counts().Served == 1 && next.core.OpenOperations() == 1 })
	next.Advance(requestTimeout)
	old.Play("idle send GET /healthz HTTP/1.1\\r\\n\\r\\n\nidle expect HTTP/1.1 200")
	next.checkTotals(t)
	if n := old.front.sockets.Len(); n != 0 {
		t.Errorf("%d front sockets are left behind", n)
	}
	rapid.Check(t, func(t *rapid.T) {
		spoilt := append([]byte(nil), rapid.SampledFrom(texts).Draw(t, "parcel")...)
		spoilt[rapid.IntRange(0, len(spoilt)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
		n := rapid.IntRange(0, 3).Draw(t, "sockets")
		if p, err := DecodeHandover(spoilt, n); err == nil && len(p.Unread()) != n && len(p.Learned) == 0 {
			t.Fatal("sockets for another number of connections")
		}
	})
}

// A booking that was written and whose connection cannot be moved may have run: it fails in
// the next process and is not retried.
func TestFront_HandOver_unflushedStays(t *testing.T) {
	old, next := newFixture(t, nil), newFixture(t, nil)
	old.Play("c dial front\nc send {book}\ns accept workers\ns expect b1")
	next.Loop.Call(func() {}) // both are up
	var handle slottable.Handle
	old.Loop.Call(func() {
		for at := range old.front.calls {
			handle = at
		}
		carried := old.core.Release(handle, func(int, slottable.Handle) (bool, bool) { return false, true })
		next.Loop.Post(func() {
			at, _ := next.core.Adopt(carried, next.front)
			next.core.Resume(at)
		})
	})
	next.WaitUntil(func() bool { return next.core.OpenOperations() == 0 && next.core.Counts().Operations == 1 })
	if c := next.core.Counts(); c.Failed != 1 || c.Steps != 0 {
		t.Errorf("failed %d, sent %d", c.Failed, c.Steps)
	}
}
