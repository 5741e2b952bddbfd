package selection

import (
	"time"

	"ospreybend/internal/dataplane/fleetview"
)

// PromptSegment is one segment of a prompt. Requests whose prompts have the same ID at the same index
// share that segment.
type PromptSegment struct {
	ID     uint64
	Tokens int
}

// Request is what the choice depends on. Instants are on the caller's monotonic clock.
type Request struct {
	Service      string
	Route        string
	Model        string          // as the client names it; the choice does not depend on it
	Priority     int             // 0 is the highest
	Prompt       []PromptSegment // in order; the last one is the request's or its session's own
	PromptTokens int             // 0: unknown
	OutputTokens int             // upper bound
	Arrived      time.Duration
	Objective    time.Duration // instant by which the first event, or the complete response, meets the route's latency target
	Deadline     time.Duration // instant after which the client no longer waits

	info *requestInfo // computed by the first Choose; Prompt must not change after it
}

// Choice is where a request is sent.
type Choice struct {
	Prefill          *fleetview.Worker // nil: Run computes the prompt itself, or the service has no stages
	Run              *fleetview.Worker // the decode worker, or the one that gives the complete response
	TimeToFirstEvent time.Duration     // predicted from now to the first event, or to the complete response
	Urgency          int               // of the prefill call, 0 (first) to 9; a run after the prefill has 0
}

// Verdict is the result of admission control.
type Verdict struct {
	Admit      bool
	RetryAfter time.Duration // of a rejected request: when the client should come back
}

// CallKind is the purpose of a call to a worker.
type CallKind uint8

// The kinds of calls.
const (
	CallPrefill CallKind = iota // computes the prompt's KV cache and returns a handle to it
	CallRun                     // decodes, from a handle or from the prompt
)

// Load is the load that a worker reported in its response, in requests.
type Load struct{ Running, Waiting, Slots int }

// Failure is the reason why a call had no usable response.
type Failure uint8

// The reasons of failed calls.
const (
	FailureConnect   Failure = iota // no connection: nothing was sent
	FailureBroken                   // reset, truncated or malformed after the request was sent
	FailureTimeout                  // no response in time
	FailureStatus                   // an error status of a worker that executed the request
	FailureTransfer                 // the handle was gone or its KV cache could not be transferred
	FailureMisrouted                // 421: another worker has the address, or the stage was wrong
)
