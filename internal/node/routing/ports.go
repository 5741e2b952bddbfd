// Package routing is the node's core: it takes operations (requests) through their route
// steps (attempts at destinations) to exactly one final answer each.
//
// Package balance decides where a step goes, whether it is retried and when an operation is
// rejected; the core passes it events and carries out its actions, one at a time (core.go). It
// enforces the rules that no decision may break (steps.go): no step to a destination that is not
// ready, none after the deadline, none beyond the most attempts, none for a client that is gone.
//
// It knows no HTTP, no JSON and no sockets. Fronts (protocol.Front, jobs.Manager),
// destinations and discovery are adapters behind the interfaces of this file. All of it runs on
// the event loop, so that nothing is locked. handover.go moves operations between processes.
package routing

import (
	"time"

	"ospreybend/balance"
	"ospreybend/internal/node/slottable"
)

// Work is a request as it is sent to a destination. The core passes it on unread. Encoded with
// gob; see OperationState.
type Work struct {
	ID         string // unique, as the client gave it
	Target     string // path and query
	Idempotent string // the client's idempotency key, forwarded; empty: none
	Body       []byte
	Once       bool // non-idempotent; set by the core
}

// Operation is a request as a front submits it. Encoded with gob; see OperationState.
type Operation struct {
	Work     Work
	Class    int
	Tenant   int
	Key      uint64        // of session affinity; 0: none
	Cost     time.Duration // the client's estimate, with HasCost
	HasCost  bool
	Repeat   bool // the client has sent the request before
	Slots    float64
	Memory   float64       // in the settings' unit
	Deadline time.Duration // on the loop's clock
	Owner    Owner
}

// Verdict is the kind of a final answer.
type Verdict uint8

// The final answers.
const (
	Served Verdict = iota
	Refused
	Failed
	Rejected // a destination found the request invalid
)

// Answer is an operation's one final answer.
type Answer struct {
	Verdict    Verdict
	Result     []byte        // of a served operation
	RetryAfter time.Duration // advice with a refusal; 0: none
	MayHaveRun bool          // some route step may have had effect
}

// Owner is the front that submitted an operation.
type Owner interface {
	// Answered is called exactly once for each operation that is not withdrawn before.
	Answered(operation slottable.Handle, a Answer)
	// Started is called when a destination has begun to run the operation.
	Started(operation slottable.Handle, at balance.WorkerID)
	// StepSent is called before the first byte of a route step is written.
	StepSent(operation slottable.Handle, to balance.WorkerID)
	// StepEnded is called when a route step has ended and the operation has no final answer yet.
	StepEnded(operation slottable.Handle, at balance.WorkerID, how balance.Outcome)
}

// LoadObserver is told of the operations of all fronts, to estimate the destinations' load.
type LoadObserver interface {
	// StartDelay is called when a route step has started, with the time since it was sent.
	StartDelay(owner Owner, wait time.Duration)
	// OperationConcluded is called with an operation's final answer.
	OperationConcluded(owner Owner, v Verdict)
	// LoadReported is called with a destination's load report, ordered as Settings.Report.
	LoadReported(from balance.WorkerID, report []float32)
}

// StepObserver is told of all route steps, to measure the zones' health.
type StepObserver interface {
	StepSent(step slottable.Handle, to balance.WorkerID, class int, slots float64)
	StepStarted(step slottable.Handle)
	// StepEnded is called for each step, also one that was never sent.
	StepEnded(step slottable.Handle, how balance.Outcome)
}

// Admission decides whether an operation is admitted. One that is not is answered Refused at
// once, with after as its Retry-After.
type Admission interface {
	Admit(class int) (after time.Duration, ok bool)
}

// Gate is an Owner that must do something, such as a write to a database, between the decision
// for a route step and its first byte. BeforeSend returns at once; open is called on the
// loop, within BeforeSend or later, once. open(false) ends the step unsent. Before it sends
// the core checks the deadline, the destination's state and the final answer again. Until
// then the step has certainly not run, however it ends.
type Gate interface {
	BeforeSend(operation slottable.Handle, open func(ok bool))
}

// Waiter is an Owner that can check whether the client still waits for an operation, ahead of
// the disconnect event. The core asks before each attempt's first byte. If the client is
// gone, ClientWaits withdraws the operation and returns false.
type Waiter interface {
	ClientWaits(operation slottable.Handle) bool
}

// StepEnd is how a route step ended.
type StepEnd struct {
	Outcome  balance.Outcome
	Rejected bool // the destination found the request invalid
	Result   []byte
	Report   []float32
}

// Destinations sends route steps to destinations. For each Send it calls Core.StepEnded once,
// unless Abort is called before.
type Destinations interface {
	Send(step slottable.Handle, to balance.WorkerID, w *Work, until time.Duration)
	Abort(step slottable.Handle) // closes the step's connection
	Probe(to balance.WorkerID)
	CloseIdle(to balance.WorkerID)
}

// Pool fetches the list of destinations from the pool config, and publishes it by
// Core.PoolChanged.
type Pool interface {
	Watch(on bool)
	Fetch()
}

// Peers sends messages to the other nodes of the tier.
type Peers interface {
	SendMessage(to int, payload []byte)
}
