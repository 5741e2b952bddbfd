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

// Handover is what one process of a node hands to the next in one piece: a client's
// connection, with the request in work on it, if any, and the connections to the
// prep workers that are at it. The sockets go beside it: the client's first, then
// one for each step that is out.
type Handover struct {
	Learned []uint64 // by the module; with it goes no connection

	Rest  []byte // what the client has sent and nobody has read
	Asked bool
	Began time.Duration
	Since time.Duration
	Call  *CallState // nil: none in work
	Size  int        // of the body, in work

	unread [][]byte // of all sockets, in order
}

// CallState is a request in work.
type CallState struct {
	Last    bool
	Old     bool
	Carried routing.OperationState
	Steps   []StepState // those that are out
}

// StepState is a destination's connection at work on a step.
type StepState struct {
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
func (h *Handover) Encode() ([]byte, error) {
	var b bytes.Buffer
	err := gob.NewEncoder(&b).Encode(h)
	return b.Bytes(), err
}

// DecodeHandover reads a parcel and checks that it has the sockets that it names.
func DecodeHandover(encoded []byte, sockets int) (*Handover, error) {
	handover := &Handover{}
	if err := gob.NewDecoder(bytes.NewReader(encoded)).Decode(handover); err != nil {
		return nil, fmt.Errorf("a parcel of another process: %w", err)
	}
	if len(handover.Learned) > 0 {
		if sockets > 0 || handover.Call != nil {
			return nil, fmt.Errorf("a parcel of another process: what was learned, with %d sockets", sockets)
		}
		return handover, nil
	}
	handover.unread = [][]byte{handover.Rest}
	if call := handover.Call; call != nil {
		if len(call.Carried.Until) != len(call.Carried.Tries) {
			return nil, fmt.Errorf("a parcel of another process: %d tries with %d ends", len(call.Carried.Tries), len(call.Carried.Until))
		}
		for _, s := range call.Steps {
			if s.Try < 0 || s.Try >= len(call.Carried.Tries) || !call.Carried.Tries[s.Try].Out {
				return nil, fmt.Errorf("a parcel of another process: step %d is not out", s.Try)
			}
			handover.unread = append(handover.unread, s.Rest)
		}
	}
	if len(handover.unread) != sockets {
		return nil, fmt.Errorf("a parcel of another process: %d sockets for %d connections", sockets, len(handover.unread))
	}
	return handover, nil
}

// Unread returns, by socket, what had come in on it and nobody has read.
func (h *Handover) Unread() [][]byte { return h.unread }

// HandOver calls give with each client's connection that another process can take
// over, and forgets it. What cannot be moved now, as its last bytes wait for the
// system, stays.
func (f *Front) HandOver(destinations *Destinations, give func(handover *Handover, sockets []*os.File)) {
	byCall := make(map[*Call]slottable.Handle, len(f.calls))
	for ref, c := range f.calls {
		byCall[c] = ref
	}
	f.sockets.All(func(_ slottable.Handle, conn *clientConn) {
		if !conn.conn.CanHandOver() {
			return
		}
		handover := &Handover{Asked: conn.hasRequested, Began: conn.requestBegan, Since: conn.lastReplyAt}
		var operation slottable.Handle
		if conn.call != nil {
			ref, ok := byCall[conn.call]
			if !ok || !destinations.movable(f.core.StepsInFlight(ref)) {
				return
			}
			handover.Size = conn.call.bodySize
			operation = ref
		}
		socket, unread, ok := conn.conn.HandOver()
		if !ok {
			return // no descriptor for it just now: nothing has changed
		}
		handover.Rest = unread
		sockets := []*os.File{socket}
		if conn.call != nil {
			handover.Call, sockets = f.releaseCall(destinations, operation, conn.call, sockets)
		}
		conn.remove()
		give(handover, sockets)
	})
}

// releaseCall takes a request in work out of the core and the destinations.
func (f *Front) releaseCall(destinations *Destinations, ref slottable.Handle, call *Call, sockets []*os.File) (*CallState, []*os.File) {
	state := &CallState{Last: call.closeAfter, Old: call.HTTP10}
	state.Carried = f.core.Release(ref, func(try int, step slottable.Handle) (moved, begun bool) {
		s, socket, begun := destinations.release(step)
		if socket != nil {
			s.Try = try
			state.Steps = append(state.Steps, s)
			sockets = append(sockets, socket)
		}
		return socket != nil, begun
	})
	delete(f.calls, ref)
	delete(f.openIDs, call.id)
	call.clientGone = nil
	return state, sockets
}

// Adopt takes over a client's connection, on the loop. conns are its own and those
// of the steps, as the parcel names them.
func (f *Front) Adopt(destinations *Destinations, handover *Handover, conns []*eventloop.Conn) {
	conn := &clientConn{server: f.Server, conn: conns[0], hasRequested: handover.Asked, requestBegan: handover.Began, lastReplyAt: handover.Since}
	conn.handle = f.sockets.Add(conn)
	if f.listener != nil {
		conn.conn.OnClose(f.listener.Count())
	}
	switch {
	case handover.Call != nil:
		f.resume(destinations, conn, handover, conns[1:])
	case !handover.Asked:
		conn.requestTimer = f.loop.Timers.Add(handover.Began+requestTimeout, conn.requestTimedOut) // it may stand idle only once it has asked
	}
	conn.conn.SetHandler(conn)
	f.shedExcess()
}

func (f *Front) resume(destinations *Destinations, conn *clientConn, handover *Handover, conns []*eventloop.Conn) {
	state := handover.Call
	call := &Call{conn: conn, closeAfter: state.Last || f.stopping, id: state.Carried.Operation.Work.ID, bodySize: handover.Size}
	call.HTTP10 = state.Old
	conn.call = call
	f.bufferedBytes += call.bodySize
	ref, steps := f.core.Adopt(state.Carried, f)
	f.register(ref, call)
	destinationConns := make([]*destinationConn, len(state.Steps))
	for i, at := range state.Steps {
		destinationConns[i] = destinations.adopt(steps[at.Try], state.Carried.Tries[at.Try].Worker, at, &state.Carried.Operation.Work, conns[i])
	}
	f.core.Resume(ref)
	for i, call := range destinationConns {
		conns[i].SetHandler(call) // last, as an answer may be among what has come in
	}
}

// movable tells whether all connections at work on some steps can be handed over.
func (d *Destinations) movable(steps []slottable.Handle) bool {
	for _, step := range steps {
		if ex := d.exchanges[step]; ex != nil && ex.conn != nil && !ex.conn.conn.CanHandOver() {
			return false
		}
	}
	return true
}

// release gives up the connection at work on a step, and tells whether a byte of
// the step may have gone out. No socket: it cannot be moved.
func (d *Destinations) release(step slottable.Handle) (state StepState, socket *os.File, begun bool) {
	ex := d.exchanges[step]
	if ex == nil || ex.conn == nil {
		return state, nil, false
	}
	call := ex.conn
	d.countIfFlushed(ex, call)
	socket, rest, ok := call.conn.HandOver()
	if !ok {
		return state, nil, true
	}
	call.forget()
	delete(d.exchanges, step)
	return StepState{Name: ex.destination.name, Address: ex.destination.address, Rest: rest, Head: call.headRead, Status: call.status, Declined: call.declined,
		Load: call.loadHeader, Line: call.partialLine, Last: call.closeAfter, Kept: call.reused, Left: call.body.Remaining, Chunked: call.body.Chunked, ToEnd: call.body.UntilClose,
		Over: call.body.Done}, socket, true
}

// adopt takes over a connection at work on a step.
func (d *Destinations) adopt(step slottable.Handle, id balance.WorkerID, state StepState, work *routing.Work,
	conn *eventloop.Conn) *destinationConn {
	target := d.byID[id]
	if target == nil {
		// It has left the list meanwhile. What it has in work ends as it ends.
		target = &destination{id: id, name: state.Name, address: state.Address}
	}
	c := &destinationConn{owner: d, destination: target, conn: conn, generation: target.generation, headRead: state.Head, status: state.Status, declined: state.Declined,
		loadHeader: state.Load, partialLine: state.Line, closeAfter: state.Last, reused: state.Kept,
		body: http1.BodyReader{Rules: &parseRules, BodyState: http1.BodyState{Remaining: state.Left, Chunked: state.Chunked, UntilClose: state.ToEnd, Done: state.Over}}}
	t := &exchange{step: step, id: work.ID, nonIdempotent: work.Once, destination: target, conn: c, sentAt: d.loop.Now()}
	c.exchange = t
	d.exchanges[step] = t
	d.openConns++
	return c
}
