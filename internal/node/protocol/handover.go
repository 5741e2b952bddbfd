package protocol

import (
	"bytes"
	"encoding/gob"
	"errors"
	"fmt"
	"os"
	"time"

	"ospreybend/balance"
	"ospreybend/internal/node/eventloop"
	"ospreybend/internal/node/routing"
	"ospreybend/internal/node/slottable"
	"ospreybend/internal/util/http1"
)

// Handover is the state of one client's connection that a process of a node passes to the
// next one: its request in progress, if any, and the connections to the prep workers that run
// it. The sockets are passed beside it: the client's first, then one for each step in CallState.
//
// It is encoded with gob: processes of earlier versions read it, so that its fields keep
// their names. A Handover with Learned has no connection.
type Handover struct {
	Learned []uint64 // the balancer's state

	Rest  []byte        // received from the client and unread
	Asked bool          // the client has sent a complete request before
	Began time.Duration // when the request being received began
	Since time.Duration // when the last answer was sent
	Call  *CallState    // nil: none in progress
	Size  int           // of the request's body in progress, in bytes

	unread [][]byte // of all sockets, in order
}

// CallState is a request in progress. Encoded with gob; see Handover.
type CallState struct {
	Last    bool // the connection closes after the answer
	Old     bool // HTTP/1.0
	Carried routing.OperationState
	Steps   []StepState // those at destinations
}

// StepState is a destination's connection with a route step in progress, and how far its
// response has been read. Encoded with gob; see Handover.
type StepState struct {
	Try      int    // index of the attempt in OperationState.Tries
	Name     string // of the destination
	Address  string // of the destination
	Rest     []byte // received and unread
	Head     bool   // the response's head has been read
	Status   int
	Declined bool
	Load     []byte // the response's Srv-Load header
	Line     []byte // the incomplete line received so far
	Last     bool   // the connection is not reusable
	Kept     bool   // the connection has completed an exchange before
	Left     int    // http1.BodyState.Remaining
	Chunked  bool   // http1.BodyState.Chunked
	ToEnd    bool   // http1.BodyState.UntilClose
	Over     bool   // http1.BodyState.Done
}

// errHandover is wrapped by all errors of DecodeHandover.
var errHandover = errors.New("hand-over of another process")

// Encode returns the hand-over in gob.
func (h *Handover) Encode() ([]byte, error) {
	var b bytes.Buffer
	err := gob.NewEncoder(&b).Encode(h)
	return b.Bytes(), err
}

// DecodeHandover decodes a hand-over and checks that it came with as many sockets as it has
// connections, and that its attempts are consistent.
func DecodeHandover(encoded []byte, sockets int) (*Handover, error) {
	handover := &Handover{}
	if err := gob.NewDecoder(bytes.NewReader(encoded)).Decode(handover); err != nil {
		return nil, fmt.Errorf("%w: %w", errHandover, err)
	}
	if len(handover.Learned) > 0 {
		if sockets > 0 || handover.Call != nil {
			return nil, fmt.Errorf("%w: the balancer's state, with %d sockets", errHandover, sockets)
		}
		return handover, nil
	}
	handover.unread = [][]byte{handover.Rest}
	if call := handover.Call; call != nil {
		if len(call.Carried.Until) != len(call.Carried.Tries) {
			return nil, fmt.Errorf("%w: %d attempts with %d deadlines", errHandover, len(call.Carried.Tries), len(call.Carried.Until))
		}
		for _, s := range call.Steps {
			if s.Try < 0 || s.Try >= len(call.Carried.Tries) || !call.Carried.Tries[s.Try].Out {
				return nil, fmt.Errorf("%w: attempt %d is not in flight", errHandover, s.Try)
			}
			handover.unread = append(handover.unread, s.Rest)
		}
	}
	if len(handover.unread) != sockets {
		return nil, fmt.Errorf("%w: %d sockets for %d connections", errHandover, sockets, len(handover.unread))
	}
	return handover, nil
}

// Unread returns, by socket, the bytes that were received and not read.
func (h *Handover) Unread() [][]byte { return h.unread }

// HandOver calls give with each client's connection that another process can take over, and
// removes it here. A connection whose last bytes the operating system has not taken stays.
func (f *Front) HandOver(destinations *Destinations, give func(handover *Handover, sockets []*os.File)) {
	byCall := make(map[*Call]slottable.Handle, len(f.calls))
	for handle, c := range f.calls {
		byCall[c] = handle
	}
	f.sockets.All(func(_ slottable.Handle, client *clientConn) {
		if !client.conn.CanHandOver() {
			return
		}
		handover := &Handover{Asked: client.hasRequested, Began: client.requestBegan, Since: client.lastReplyAt}
		var operation slottable.Handle
		if client.call != nil {
			handle, ok := byCall[client.call]
			if !ok || !destinations.movable(f.core.StepsInFlight(handle)) {
				return
			}
			handover.Size = client.call.bodySize
			operation = handle
		}
		socket, unread, ok := client.conn.HandOver()
		if !ok {
			return // no descriptor for it just now: nothing has changed
		}
		handover.Rest = unread
		sockets := []*os.File{socket}
		if client.call != nil {
			handover.Call, sockets = f.releaseCall(destinations, operation, client.call, sockets)
		}
		client.remove()
		give(handover, sockets)
	})
}

// releaseCall takes a request in progress out of the core and the destinations.
func (f *Front) releaseCall(destinations *Destinations, handle slottable.Handle, call *Call, sockets []*os.File) (*CallState, []*os.File) {
	state := &CallState{Last: call.closeAfter, Old: call.HTTP10}
	state.Carried = f.core.Release(handle, func(try int, step slottable.Handle) (moved, begun bool) {
		s, socket, begun := destinations.release(step)
		if socket != nil {
			s.Try = try
			state.Steps = append(state.Steps, s)
			sockets = append(sockets, socket)
		}
		return socket != nil, begun
	})
	delete(f.calls, handle)
	delete(f.openIDs, call.id)
	call.clientGone = nil
	return state, sockets
}

// Adopt takes over a client's connection. conns are its own and those of its steps, in the
// order of the hand-over.
func (f *Front) Adopt(destinations *Destinations, handover *Handover, conns []*eventloop.Conn) {
	client := &clientConn{server: f.Server, conn: conns[0], hasRequested: handover.Asked, requestBegan: handover.Began, lastReplyAt: handover.Since}
	client.handle = f.sockets.Add(client)
	if f.listener != nil {
		client.conn.OnClose(f.listener.CountAdopted())
	}
	switch {
	case handover.Call != nil:
		f.resume(destinations, client, handover, conns[1:])
	case !handover.Asked:
		client.requestTimer = f.loop.Timers.Add(handover.Began+requestTimeout, client.requestTimedOut) // it may be idle only once it has sent a request
	}
	client.conn.SetHandler(client)
	f.shedExcess()
}

// resume continues the request in progress on an adopted connection.
func (f *Front) resume(destinations *Destinations, client *clientConn, handover *Handover, conns []*eventloop.Conn) {
	state := handover.Call
	call := &Call{client: client, closeAfter: state.Last || f.stopping, id: state.Carried.Operation.Work.ID, bodySize: handover.Size}
	call.HTTP10 = state.Old
	client.call = call
	f.bufferedBytes += call.bodySize
	handle, steps := f.core.Adopt(state.Carried, f)
	f.register(handle, call)
	destinationConns := make([]*destinationConn, len(state.Steps))
	for i, at := range state.Steps {
		destinationConns[i] = destinations.adopt(steps[at.Try], state.Carried.Tries[at.Try].Worker, at, &state.Carried.Operation.Work, conns[i])
	}
	f.core.Resume(handle)
	for i, conn := range destinationConns {
		conns[i].SetHandler(conn) // last: a response may have been received
	}
}

// movable reports whether the connections of all the steps can be handed over.
func (d *Destinations) movable(steps []slottable.Handle) bool {
	for _, step := range steps {
		if ex := d.exchanges[step]; ex != nil && ex.conn != nil && !ex.conn.conn.CanHandOver() {
			return false
		}
	}
	return true
}

// release gives up the connection of a step. begun reports whether a byte of the request may
// have been written. Without a socket the step cannot be moved.
func (d *Destinations) release(step slottable.Handle) (state StepState, socket *os.File, begun bool) {
	ex := d.exchanges[step]
	if ex == nil || ex.conn == nil {
		return state, nil, false
	}
	conn := ex.conn
	d.countIfFlushed(ex, conn)
	socket, rest, ok := conn.conn.HandOver()
	if !ok {
		return state, nil, true
	}
	conn.forget()
	delete(d.exchanges, step)
	return StepState{Name: ex.destination.name, Address: ex.destination.address, Rest: rest, Head: conn.headRead, Status: conn.status, Declined: conn.declined,
		Load: conn.loadHeader, Line: conn.partialLine, Last: conn.closeAfter, Kept: conn.reused, Left: conn.body.Remaining, Chunked: conn.body.Chunked, ToEnd: conn.body.UntilClose,
		Over: conn.body.Done}, socket, true
}

// adopt takes over the connection of a step.
func (d *Destinations) adopt(step slottable.Handle, id balance.WorkerID, state StepState, work *routing.Work,
	conn *eventloop.Conn) *destinationConn {
	target := d.byID[id]
	if target == nil {
		// It has left the list meanwhile. Its exchange in progress continues.
		target = &destination{id: id, name: state.Name, address: state.Address}
	}
	c := &destinationConn{owner: d, destination: target, conn: conn, generation: target.generation, headRead: state.Head, status: state.Status, declined: state.Declined,
		loadHeader: state.Load, partialLine: state.Line, closeAfter: state.Last, reused: state.Kept,
		body: http1.BodyReader{Rules: &parseRules, BodyState: http1.BodyState{Remaining: state.Left, Chunked: state.Chunked, UntilClose: state.ToEnd, Done: state.Over}}}
	ex := &exchange{step: step, id: work.ID, nonIdempotent: work.Once, destination: target, conn: c, sentAt: d.loop.Now()}
	c.exchange = ex
	d.exchanges[step] = ex
	d.openConns++
	return c
}
