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

// Responder writes the response to a request; *httpserver.ResponseWriter implements it. A write error means
// that the client can no longer be reached.
type Responder interface {
	// SetWriteTimeout limits writes to a client that does not read: a write that is not complete by then, or shortly
	// after, fails.
	SetWriteTimeout(after time.Duration)
	// WriteResponse writes a complete response.
	WriteResponse(status int, fields http1.Header, body []byte) error
	// WriteHeader starts a chunked response. Its head is written with the first chunk.
	WriteHeader(status int, fields http1.Header) error
	// WriteChunk writes one chunk without buffering it.
	WriteChunk(chunk []byte) error
	// Finish completes the response with a last chunk, which may be empty.
	Finish(last []byte) error
	// Abort closes the connection so that the client can detect that the response is incomplete.
	Abort()
}

// WorkerClient makes calls to workers.
type WorkerClient interface {
	// Do makes a call and returns its response. It never sends a call twice. The end of the context cancels
	// the call, even while Events are being read.
	Do(ctx context.Context, call *upstream.Request) (*Response, *upstream.Failure)
}

// Response is a worker's response.
type Response struct {
	*upstream.Response
	Events Events // the body of an event stream; nil if the body is complete
}

// Events is the body of an event stream.
type Events interface {
	// Next waits for the next events. It returns io.EOF after a batch with Last.
	Next() (*upstream.Batch, error)
	// Close cancels the stream unless it has been read to its end.
	Close()
}

// Chooser chooses the workers of requests and is told how the calls to them end; *selection.Selector
// implements it. The dispatcher does not call it concurrently.
type Chooser interface {
	// SetView applies a new view of the fleet.
	SetView(now time.Duration, view *fleetview.View)
	// SetRecomputeWindow changes the time after its last use in which recomputing a cached prefix has a cost; 0: the default.
	SetRecomputeWindow(window time.Duration)
	// Choose returns the workers of a request, none of them excluded by ID, and whether the request is admitted.
	Choose(now time.Duration, request *selection.Request, excluded []string) (selection.Choice, selection.AdmissionDecision)
	// Admits reports whether Choose would now find workers for a request and admit it; for a last attempt, workers with room. It records
	// nothing about the request.
	Admits(now time.Duration, request *selection.Request, excluded []string, lastAttempt bool) bool
	// Sent records a call that is being sent. The first of Done, Rejected, Failed and Abandoned ends it.
	Sent(now time.Duration, request *selection.Request, kind selection.CallKind, choice selection.Choice) *selection.Call
	FirstEvent(now time.Duration, call *selection.Call)
	Done(now time.Duration, call *selection.Call, load *selection.Load)
	Rejected(now time.Duration, call *selection.Call, load *selection.Load)
	Failed(now time.Duration, call *selection.Call, cause selection.Failure)
	Abandoned(now time.Duration, call *selection.Call)
	// Outstanding returns this node's calls in flight, by worker.
	Outstanding(now time.Duration) []selection.Outstanding
	// SetPeerLoad replaces the known calls in flight of another node.
	SetPeerLoad(now time.Duration, node uint64, list []selection.Outstanding)
	// Demands returns the demand since the start, by service.
	Demands(now time.Duration) map[string]roleplanner.Demand
}

// poolClient is a WorkerClient that uses the connections of a pool.
type poolClient struct{ pool *upstream.Pool }

// NewPoolClient returns a WorkerClient that uses the connections of a pool.
func NewPoolClient(pool *upstream.Pool) WorkerClient { return poolClient{pool} }

// Do implements WorkerClient.
func (w poolClient) Do(ctx context.Context, call *upstream.Request) (*Response, *upstream.Failure) {
	received, failure := w.pool.RoundTrip(ctx, call)
	if failure != nil {
		return nil, failure
	}
	response := &Response{Response: received}
	if received.Stream != nil {
		response.Events = received.Stream
	}
	return response, nil
}
