package dispatch

import (
	"context"
	"time"

	"ospreybend/internal/controlplane/roleplanner"
	"ospreybend/internal/dataplane/fleetview"
	"ospreybend/internal/dataplane/selection"
	"ospreybend/internal/dataplane/upstream"
	"ospreybend/internal/util/http1"
)

// Responder takes the one answer to a request; *front.ResponseWriter is one.
type Responder interface {
	// SetWriteTimeout bounds writing to a client that does not read: a write fails that is not done by then, or a moment later.
	SetWriteTimeout(after time.Duration)
	// WriteResponse sends a whole answer.
	WriteResponse(status int, fields http1.Header, body []byte) error
	// WriteHeader starts an answer that comes in pieces; its head is written with the first of them.
	WriteHeader(status int, fields http1.Header) error
	// WriteChunk writes one piece at once.
	WriteChunk(piece []byte) error
	// Finish ends the answer as complete, with a last piece that may be empty.
	Finish(last []byte) error
	// Abort closes the connection so that the client sees that the answer is not complete.
	Abort()
}

// Workers makes calls to workers.
type Workers interface {
	// Do makes a call and returns its answer. It sends nothing a second time. The end of the context ends
	// the call, also while Events are read.
	Do(ctx context.Context, call *upstream.Request) (*Answer, *upstream.Failure)
}

// Answer is a worker's answer.
type Answer struct {
	*upstream.Response
	Events Events // the body of an event stream; nil: the body is whole
}

// Events is the body of an event stream.
type Events interface {
	// Next waits for the next events. It returns io.EOF after a batch with Last.
	Next() (*upstream.Batch, error)
	// Close gives the stream up.
	Close()
}

// Chooser decides where requests go; *selection.Selector is one. The dispatcher calls it from one
// goroutine at a time.
type Chooser interface {
	SetView(now time.Duration, view *fleetview.View)
	Choose(now time.Duration, request *selection.Request, excluded []string) (selection.Choice, selection.Verdict)
	Sent(now time.Duration, request *selection.Request, kind selection.CallKind, choice selection.Choice) *selection.Call
	FirstEvent(now time.Duration, call *selection.Call)
	Done(now time.Duration, call *selection.Call, load *selection.Load)
	Rejected(now time.Duration, call *selection.Call, load *selection.Load)
	Failed(now time.Duration, call *selection.Call, cause selection.Failure)
	Abandoned(now time.Duration, call *selection.Call)
	Outstanding(now time.Duration) []selection.Outstanding
	SetPeerLoad(now time.Duration, node uint64, list []selection.Outstanding)
	Demands(now time.Duration) map[string]roleplanner.Demand
}

// pooledWorkers makes calls over a pool of connections.
type pooledWorkers struct{ pool *upstream.Pool }

// OverPool returns the workers that a pool reaches.
func OverPool(pool *upstream.Pool) Workers { return pooledWorkers{pool} }

func (w pooledWorkers) Do(ctx context.Context, call *upstream.Request) (*Answer, *upstream.Failure) {
	response, failure := w.pool.RoundTrip(ctx, call)
	if failure != nil {
		return nil, failure
	}
	answer := &Answer{Response: response}
	if response.Stream != nil {
		answer.Events = response.Stream
	}
	return answer, nil
}
