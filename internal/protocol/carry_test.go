package protocol

import (
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ospreybend/balance"
	"ospreybend/internal/routing"
	"ospreybend/internal/scenario"
	"ospreybend/internal/transport"
)

// A parcel that is spoilt, or does not name the sockets that came with it, is
// refused and breaks nothing.
func TestSpoiltParcels(t *testing.T) {
	whole := &Parcel{Rest: []byte("POST"), Call: &CallPart{Carried: routing.Carried{Tries: []balance.Try{{Worker: 1, Out: true}},
		Until: []time.Duration{5}}, Steps: []StepPart{{Try: 0, Name: "s-1", Rest: []byte("HTTP")}}}}
	text, err := whole.Encode()
	if err != nil {
		t.Fatal(err)
	}
	p, err := DecodeParcel(text, 2)
	if err != nil || len(p.Rests()) != 2 || string(p.Rests()[1]) != "HTTP" {
		t.Fatalf("%+v, %v", p, err)
	}
	for _, n := range []int{0, 1, 3} {
		if _, err := DecodeParcel(text, n); err == nil {
			t.Errorf("%d sockets for two connections", n)
		}
	}
	whole.Call.Steps[0].Try = 1
	if text, err = whole.Encode(); err != nil {
		t.Fatal(err)
	}
	if _, err := DecodeParcel(text, 2); err == nil {
		t.Error("a step of no try")
	}
	rapid.Check(t, func(t *rapid.T) {
		spoilt := append([]byte(nil), text...)
		spoilt[rapid.IntRange(0, len(text)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
		spoilt = spoilt[:rapid.IntRange(0, len(text)).Draw(t, "cut")]
		if p, err := DecodeParcel(spoilt, 2); err == nil && len(p.Rests()) != 2 {
			t.Fatal("two sockets for another number of connections")
		}
	})
}

// A connection goes from one node to another, with a job at work whose answer has
// come in part, cut in the middle of a line: the answer goes on where it was.
func TestMovedInTheMiddleOfAnAnswer(t *testing.T) {
	old, next := newWorld(t, nil), newWorld(t, nil)
	started := scenario.Chunk(`{"id":"a1","state":"started"}`)
	old.Play(`
		c dial front
		c send {ask}
		s accept workers
		s expect hi
		s send {stream}` + started[:20])
	old.Until(func() bool {
		for _, at := range old.to.trips {
			return at.conn != nil && len(at.conn.line) == 0 && at.conn.head
		}
		return false
	})
	type piece struct {
		p       *Parcel
		sockets []*os.File
	}
	var got []piece
	old.Loop.Call(func() {
		old.front.HandOver(old.to, func(p *Parcel, sockets []*os.File) { got = append(got, piece{p, sockets}) })
	})
	if len(got) != 1 || len(got[0].sockets) != 2 {
		t.Fatalf("%d parcels", len(got))
	}
	old.balanced(t)
	text, err := got[0].p.Encode()
	if err != nil {
		t.Fatal(err)
	}
	p, err := DecodeParcel(text, 2)
	if err != nil {
		t.Fatal(err)
	}
	var conns []*transport.Conn = next.Loop.Adopt(got[0].sockets, p.Rests())
	next.Loop.Call(func() { next.front.Adopt(next.to, p, conns) })
	old.Play("s send " + started[20:] + `{done}
		c expect HTTP/1.1 200
		c expect fine
		c send {ask}`)
	next.Until(func() bool { return next.core.Counts().Served == 1 && next.core.Open() == 1 })
	next.balanced(t)
	if n := old.front.sockets.Len(); n != 0 {
		t.Errorf("%d front sockets are left behind", n)
	}
}
