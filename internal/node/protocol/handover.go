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
// next one, with the request in progress, if any, and the connections to the prep workers that
// run it. The sockets are passed separately: the client's first, then one for each step in
// CallState.
//
// It is encoded with gob and read by processes of other versions, so its fields must keep their
// names. A Handover with Learned has no connection.
type Handover struct {
	Learned []uint64 // the learned state of the balancer

	Rest  []byte        // received from the client, but not read
	Asked bool          // a complete request of the client has been received before
	Began time.Duration // when the first byte of the request being received arrived
	Since time.Duration // when the last answer was sent
	Call  *CallState    // the request in progress; nil: none
	Size  int           // length of the body of the request in progress, in bytes

	unread [][]byte // by socket
}

// CallState is a request in progress. Encoded with gob; see Handover.
type CallState struct {
	Last    bool // the connection is closed after the answer
	Old     bool // HTTP/1.0
	Carried routing.OperationState
	Steps   []StepState // the steps in flight
}

// StepState is the connection to a destination for a route step in progress, and how far the
// response has been read. Encoded with gob; see Handover.
type StepState struct {
	Try      int    // index of the attempt in OperationState.Tries
	Name     string // of the destination
	Address  string // of the destination
	Rest     []byte // received, but not read
	Head     bool   // the response's head has been read
	Status   int
	Declined bool
	Load     []byte // the response's Srv-Load header
	Line     []byte // the incomplete line received so far
	Last     bool   // the connection is not reusable after the response
	Kept     bool   // the connection has completed an exchange before
	Left     int    // http1.BodyState.Remaining
	Chunked  bool   // http1.BodyState.Chunked
	ToEnd    bool   // http1.BodyState.UntilClose
	Over     bool   // http1.BodyState.Done
}

// errHandover is wrapped by all errors of DecodeHandover.
var errHandover = errors.New("invalid hand-over from another process")

// Encode returns the gob encoding of the hand-over.
func (h *Handover) Encode() ([]byte, error) {
	var b bytes.Buffer
	err := gob.NewEncoder(&b).Encode(h)
	return b.Bytes(), err
}

// DecodeHandover decodes a hand-over and checks that it has as many connections as sockets came
// with it, and that its attempts are consistent.
func DecodeHandover(encoded []byte, sockets int) (*Handover, error) {
	handover := &Handover{}
	if err := gob.NewDecoder(bytes.NewReader(encoded)).Decode(handover); err != nil {
		return nil, fmt.Errorf("%w: %w", errHandover, err)
	}
	if len(handover.Learned) > 0 {
		if sockets > 0 || handover.Call != nil {
			return nil, fmt.Errorf("%w: the balancer's state came with %d sockets (request: %t), want neither", errHandover, sockets, handover.Call != nil)
		}
		return handover, nil
	}
	handover.unread = [][]byte{handover.Rest}
	if call := handover.Call; call != nil {
		if len(call.Carried.Until) != len(call.Carried.Tries) {
			return nil, fmt.Errorf("%w: %d attempts have %d deadlines", errHandover, len(call.Carried.Tries), len(call.Carried.Until))
		}
		for _, s := range call.Steps {
			if s.Try < 0 || s.Try >= len(call.Carried.Tries) || !call.Carried.Tries[s.Try].Out {
				return nil, fmt.Errorf("%w: step of attempt %d, which is not in flight", errHandover, s.Try)
			}
			handover.unread = append(handover.unread, s.Rest)
		}
	}
	if len(handover.unread) != sockets {
		return nil, fmt.Errorf("%w: %d sockets received for %d connections", errHandover, sockets, len(handover.unread))
	}
	return handover, nil
}

// Unread returns, by socket, the bytes that were received but not read.
func (h *Handover) Unread() [][]byte { return h.unread }

// HandOver calls send with each client's connection that another process can take over, and
// removes it here. A connection whose last bytes the operating system has not accepted stays.
func (f *Front) HandOver(destinations *Destinations, send func(handover *Handover, sockets []*os.File)) {
	byCall := make(map[*Call]slottable.Handle, len(f.calls))
	for handle, c := range f.calls {
		byCall[c] = handle
	}
	f.sockets.All(func(_ slottable.Handle, client *clientConn) {
		if !client.conn.CanHandOver() {
			return
		}
		handover := &Handover{Asked: client.hasRequested, Began: client.requestStartedAt, Since: client.lastReplyAt}
		var operation slottable.Handle
		if client.call != nil {
			handle, ok := byCall[client.call]
			if !ok || !destinations.canHandOver(f.core.StepsInFlight(handle)) {
				return
			}
			handover.Size = client.call.bodySize
			operation = handle
		}
		socket, unread, ok := client.conn.HandOver()
		if !ok {
			return // no descriptor is available at present; the connection stays
		}
		handover.Rest = unread
		sockets := []*os.File{socket}
		if client.call != nil {
			handover.Call, sockets = f.releaseCall(destinations, operation, client.call, sockets)
		}
		client.remove()
		send(handover, sockets)
	})
}

// releaseCall removes a request in progress from the core and the destinations, and returns its state.
func (f *Front) releaseCall(destinations *Destinations, handle slottable.Handle, call *Call, sockets []*os.File) (*CallState, []*os.File) {
	state := &CallState{Last: call.closeAfter, Old: call.HTTP10}
	state.Carried = f.core.Release(handle, func(attempt int, step slottable.Handle) (moved, mayHaveRun bool) {
		stepState, socket, mayHaveRun := destinations.release(step)
		if socket != nil {
			stepState.Try = attempt
			state.Steps = append(state.Steps, stepState)
			sockets = append(sockets, socket)
		}
		return socket != nil, mayHaveRun
	})
	delete(f.calls, handle)
	delete(f.openIDs, call.id)
	call.clientGone = nil
	return state, sockets
}

// Adopt takes over a client's connection. conns has the client's connection and those of the
// steps, in the order of the hand-over.
func (f *Front) Adopt(destinations *Destinations, handover *Handover, conns []*eventloop.Conn) {
	client := &clientConn{server: f.Server, conn: conns[0], hasRequested: handover.Asked, requestStartedAt: handover.Began, lastReplyAt: handover.Since}
	client.handle = f.sockets.Add(client)
	if f.listener != nil {
		client.conn.OnClose(f.listener.CountAdopted())
	}
	switch {
	case handover.Call != nil:
		f.resume(destinations, client, handover, conns[1:])
	case !handover.Asked:
		client.requestTimer = f.loop.Timers.Add(handover.Began+requestTimeout, client.requestTimedOut) // a connection may be idle only after its first request
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
	for i, step := range state.Steps {
		destinationConns[i] = destinations.adopt(steps[step.Try], state.Carried.Tries[step.Try].Worker, step, &state.Carried.Operation.Work, conns[i])
	}
	f.core.Resume(handle)
	for i, conn := range destinationConns {
		conns[i].SetHandler(conn) // last, since it may read a response that has been received
	}
}

// canHandOver reports whether the connections of all the steps can be handed over.
func (d *Destinations) canHandOver(steps []slottable.Handle) bool {
	for _, step := range steps {
		if ex := d.exchanges[step]; ex != nil && ex.conn != nil && !ex.conn.conn.CanHandOver() {
			return false
		}
	}
	return true
}

// release removes a step and returns the state and the socket of its connection. mayHaveRun
// reports whether a byte of the request may have been written. If socket is nil the step cannot
// be moved, and stays.
func (d *Destinations) release(step slottable.Handle) (state StepState, socket *os.File, mayHaveRun bool) {
	ex := d.exchanges[step]
	if ex == nil || ex.conn == nil {
		return state, nil, false
	}
	conn := ex.conn
	d.countIfFlushed(ex, conn)
	socket, unread, ok := conn.conn.HandOver()
	if !ok {
		return state, nil, true
	}
	conn.removeFromPool()
	delete(d.exchanges, step)
	return StepState{Name: ex.destination.name, Address: ex.destination.address, Rest: unread, Head: conn.headRead, Status: conn.status, Declined: conn.declined,
		Load: conn.loadHeader, Line: conn.partialLine, Last: conn.closeAfter, Kept: conn.reused, Left: conn.body.Remaining, Chunked: conn.body.Chunked, ToEnd: conn.body.UntilClose,
		Over: conn.body.Done}, socket, true
}

// adopt takes over the connection of a step.
func (d *Destinations) adopt(step slottable.Handle, id balance.WorkerID, state StepState, work *routing.Work,
	conn *eventloop.Conn) *destinationConn {
	target := d.byID[id]
	if target == nil {
		// It has been removed from the list in the meantime. The exchange in progress continues.
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
