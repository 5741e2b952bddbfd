package selection

import (
	"time"

	"ospreybend/internal/dataplane/fleetview"
)

// PromptSegment is one piece of a prompt, shared among requests that carry the same ID in the same place.
type PromptSegment struct {
	ID     uint64
	Tokens int
}

// Request is what the choice depends on. Instants are on the caller's monotonic clock.
type Request struct {
	Service      string
	Route        string
	Model        string
	Priority     int             // 0 is highest
	Prompt       []PromptSegment // in order; the last belongs to the request or its session
	PromptTokens int             // 0: not told
	OutputTokens int             // most out
	Streaming    bool
	Arrived      time.Duration
	Objective    time.Duration // instant by which the first event (or the whole answer) earns its full worth
	Deadline     time.Duration // instant after which the client waits no more

	info *requestInfo // what the first Choose worked out; Prompt must not change after it
}

// Choice is where a request goes.
type Choice struct {
	Prefill          *fleetview.Worker // reads the prompt; nil: Run does it alone, or the service has no stages
	Run              *fleetview.Worker // makes the tokens, or the whole answer
	TimeToFirstEvent time.Duration     // predicted time from now to the first event, or to the whole answer
	Urgency          int               // of the call that reads the prompt, 0 (first) to 9; once it is read, 0 holds
}

// Verdict is what becomes of a request.
type Verdict struct {
	Admit      bool
	RetryAfter time.Duration // of a refusal: when to come back
}

// CallKind tells what a call to a worker is for.
type CallKind uint8

const (
	CallPrefill CallKind = iota // the prompt is read, a handle comes back
	CallRun                     // tokens are made, from a handle or from the prompt
)

// Load is what a worker told in its answer.
type Load struct{ Running, Waiting, Slots int }

// Failure tells why a call yielded nothing.
type Failure uint8

const (
	FailureConnect   Failure = iota // no connection: nothing was sent
	FailureBroken                   // reset, cut short or garbage after the request was sent
	FailureTimeout                  // no answer in time
	FailureStatus                   // an error status of a worker that ran the request
	FailureTransfer                 // the handle was gone or its memory could not be fetched
	FailureMisrouted                // 421: another worker has the address, or the stage was wrong
)
