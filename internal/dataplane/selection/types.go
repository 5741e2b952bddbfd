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

// Request has the properties of a request that the choice depends on. Instants are on the caller's
// monotonic clock.
type Request struct {
	Service      string
	Route        string
	Model        string          // as named by the client; not used by the choice
	Priority     int             // 0 is the highest
	Prompt       []PromptSegment // in order; the last one is specific to the request or its session
	PromptTokens int             // 0: unknown
	OutputTokens int             // upper bound
	Arrived      time.Duration
	Objective    time.Duration // instant by which the first event, or the complete response, must arrive to meet the route's latency target
	Deadline     time.Duration // instant after which the client no longer waits

	info *requestInfo // computed by the first Choose; Prompt must not change after it
}

// Choice names the workers that a request is sent to.
type Choice struct {
	Prefill          *fleetview.Worker // nil: Run prefills the prompt itself, or the service has no stages
	Run              *fleetview.Worker // the decode worker, or the one that returns the complete response
	TimeToFirstEvent time.Duration     // predicted from now to the first event, or to the complete response
	Urgency          int               // of the call that prefills the prompt, 0 (admitted first) to 9; a run after a prefill has 0
}

// AdmissionDecision is the result of admission control for one request.
type AdmissionDecision struct {
	Admit      bool
	RetryAfter time.Duration // of a rejected request: the delay after which the client should retry
}

// CallKind is the purpose of a call to a worker.
type CallKind uint8

// The kinds of calls.
const (
	CallPrefill CallKind = iota // computes the prompt's KV cache and returns a handle to it
	CallRun                     // generates the response, from a handle or from the prompt
)

// Load is the load that a worker reported in its response, in requests.
type Load struct{ Running, Waiting, Slots int }

// Failure is the reason why a call had no usable response.
type Failure uint8

// The reasons why calls fail.
const (
	FailureConnect   Failure = iota // no connection: nothing was sent
	FailureBroken                   // reset, truncated or malformed after the request was sent
	FailureTimeout                  // no response in time
	FailureStatus                   // the worker executed the request and returned an error status
	FailureTransfer                 // the handle was gone or its KV cache could not be transferred
	FailureMisrouted                // 421: the address belongs to another worker, or the worker has another stage
)
