package protocol

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"os"
	"time"

	"ospreybend/balance"
	"ospreybend/internal/node/eventloop"
	"ospreybend/internal/node/routing"
	"ospreybend/internal/node/slottable"
	"ospreybend/internal/util/http1"
)

// Parcel is what one process of a node hands to the next in one piece: a client's
// connection, with the request in work on it, if any, and the connections to the
// prep workers that are at it. The sockets go beside it: the client's first, then
// one for each step that is out.
type Parcel struct {
	Learned []uint64 // by the module; with it goes no connection

	Rest  []byte // what the client has sent and nobody has read
	Asked bool
	Began time.Duration
	Since time.Duration
	Call  *CallPart // nil: none in work
	Size  int       // of the body, in work

	rests [][]byte // of all sockets, in order
}

// CallPart is a request in work.
type CallPart struct {
	Last    bool
	Old     bool
	Carried routing.Carried
	Steps   []StepPart // those that are out
}

// StepPart is a destination's connection at work on a step.
type StepPart struct {
	Try      int
	Name     string // of the destination
	Address  string
	Rest     []byte
	Head     bool
	Status   int
	Declined bool
	Load     []byte
	Line     []byte
	Last     bool
	Kept     bool
	Left     int
	Chunked  bool
	ToEnd    bool
	Over     bool
}

// Encode writes the parcel.
func (p *Parcel) Encode() ([]byte, error) {
	var b bytes.Buffer
	err := gob.NewEncoder(&b).Encode(p)
	return b.Bytes(), err
}

// DecodeParcel reads a parcel and checks that it has the sockets that it names.
func DecodeParcel(text []byte, sockets int) (*Parcel, error) {
	p := &Parcel{}
	if err := gob.NewDecoder(bytes.NewReader(text)).Decode(p); err != nil {
		return nil, fmt.Errorf("a parcel of another process: %w", err)
	}
	if len(p.Learned) > 0 {
		if sockets > 0 || p.Call != nil {
			return nil, fmt.Errorf("a parcel of another process: what was learned, with %d sockets", sockets)
		}
		return p, nil
	}
	p.rests = [][]byte{p.Rest}
	if c := p.Call; c != nil {
		if len(c.Carried.Until) != len(c.Carried.Tries) {
			return nil, fmt.Errorf("a parcel of another process: %d tries with %d ends", len(c.Carried.Tries), len(c.Carried.Until))
		}
		for _, s := range c.Steps {
			if s.Try < 0 || s.Try >= len(c.Carried.Tries) || !c.Carried.Tries[s.Try].Out {
				return nil, fmt.Errorf("a parcel of another process: step %d is not out", s.Try)
			}
			p.rests = append(p.rests, s.Rest)
		}
	}
	if len(p.rests) != sockets {
		return nil, fmt.Errorf("a parcel of another process: %d sockets for %d connections", sockets, len(p.rests))
	}
	return p, nil
}

// Rests returns, by socket, what had come in on it and nobody has read.
func (p *Parcel) Rests() [][]byte { return p.rests }

// HandOver calls give with each client's connection that another process can take
// over, and forgets it. What cannot be moved now, as its last bytes wait for the
// system, stays.
func (f *Front) HandOver(to *Destinations, give func(p *Parcel, sockets []*os.File)) {
	byCall := make(map[*Call]slottable.Handle, len(f.calls))
	for ref, c := range f.calls {
		byCall[c] = ref
	}
	f.sockets.All(func(_ slottable.Handle, s *frontSocket) {
		if !s.conn.CanHandOver() {
			return
		}
		p := &Parcel{Asked: s.asked, Began: s.began, Since: s.since}
		var work slottable.Handle
		if s.call != nil {
			ref, ok := byCall[s.call]
			if !ok || !to.movable(f.core.Out(ref)) {
				return
			}
			p.Size = s.call.size
			work = ref
		}
		socket, rest, ok := s.conn.HandOver()
		if !ok {
			return // no descriptor for it just now: nothing has changed
		}
		p.Rest = rest
		sockets := []*os.File{socket}
		if s.call != nil {
			p.Call, sockets = f.release(to, work, s.call, sockets)
		}
		s.forget()
		give(p, sockets)
	})
}

// release takes a request in work out of the core and the destinations.
func (f *Front) release(to *Destinations, ref slottable.Handle, c *Call, sockets []*os.File) (*CallPart, []*os.File) {
	part := &CallPart{Last: c.last, Old: c.HTTP10}
	part.Carried = f.core.Release(ref, func(try int, step slottable.Handle) (moved, begun bool) {
		s, socket, begun := to.release(step)
		if socket != nil {
			s.Try = try
			part.Steps = append(part.Steps, s)
			sockets = append(sockets, socket)
		}
		return socket != nil, begun
	})
	delete(f.calls, ref)
	delete(f.open, c.id)
	c.gone = nil
	return part, sockets
}

// Adopt takes over a client's connection, on the loop. conns are its own and those
// of the steps, as the parcel names them.
func (f *Front) Adopt(to *Destinations, p *Parcel, conns []*eventloop.Conn) {
	s := &frontSocket{server: f.Server, conn: conns[0], asked: p.Asked, began: p.Began, since: p.Since}
	s.ref = f.sockets.Add(s)
	if f.listener != nil {
		s.conn.OnClose(f.listener.Admit())
	}
	switch {
	case p.Call != nil:
		f.resume(to, s, p, conns[1:])
	case !p.Asked:
		s.limit = f.loop.Timers.Add(p.Began+requestWithin, s.late) // it may stand idle only once it has asked
	}
	s.conn.SetHandler(s)
	f.makeRoom()
}

func (f *Front) resume(to *Destinations, s *frontSocket, p *Parcel, conns []*eventloop.Conn) {
	part := p.Call
	c := &Call{socket: s, last: part.Last || f.stopping, id: part.Carried.Operation.Work.ID, size: p.Size}
	c.HTTP10 = part.Old
	s.call = c
	f.held += c.size
	ref, steps := f.core.Adopt(part.Carried, f)
	f.register(ref, c)
	handlers := make([]*destinationConn, len(part.Steps))
	for i, at := range part.Steps {
		handlers[i] = to.adopt(steps[at.Try], part.Carried.Tries[at.Try].Worker, at, &part.Carried.Operation.Work, conns[i])
	}
	f.core.Resume(ref)
	for i, c := range handlers {
		conns[i].SetHandler(c) // last, as an answer may be among what has come in
	}
}

// movable tells whether all connections at work on some steps can be handed over.
func (d *Destinations) movable(steps []slottable.Handle) bool {
	for _, at := range steps {
		if t := d.trips[at]; t != nil && t.conn != nil && !t.conn.conn.CanHandOver() {
			return false
		}
	}
	return true
}

// release gives up the connection at work on a step, and tells whether a byte of
// the step may have gone out. No socket: it cannot be moved.
func (d *Destinations) release(step slottable.Handle) (part StepPart, socket *os.File, begun bool) {
	t := d.trips[step]
	if t == nil || t.conn == nil {
		return part, nil, false
	}
	c := t.conn
	d.settle(t, c)
	socket, rest, ok := c.conn.HandOver()
	if !ok {
		return part, nil, true
	}
	c.lost()
	delete(d.trips, step)
	return StepPart{Name: t.to.name, Address: t.to.address, Rest: rest, Head: c.head, Status: c.status, Declined: c.declined,
		Load: c.load, Line: c.line, Last: c.last, Kept: c.kept, Left: c.body.Remaining, Chunked: c.body.Chunked, ToEnd: c.body.UntilClose,
		Over: c.body.Done}, socket, true
}

// adopt takes over a connection at work on a step.
func (d *Destinations) adopt(step slottable.Handle, id balance.WorkerID, p StepPart, w *routing.Work,
	conn *eventloop.Conn) *destinationConn {
	to := d.byID[id]
	if to == nil {
		// It has left the list meanwhile. What it has in work ends as it ends.
		to = &destination{id: id, name: p.Name, address: p.Address}
	}
	c := &destinationConn{owner: d, to: to, conn: conn, process: to.process, head: p.Head, status: p.Status, declined: p.Declined,
		load: p.Load, line: p.Line, last: p.Last, kept: p.Kept,
		body: http1.BodyReader{Rules: &rules, BodyState: http1.BodyState{Remaining: p.Left, Chunked: p.Chunked, UntilClose: p.ToEnd, Done: p.Over}}}
	t := &trip{step: step, id: w.ID, once: w.Once, to: to, conn: c, sentAt: d.loop.Now()}
	c.trip = t
	d.trips[step] = t
	d.open++
	return c
}
