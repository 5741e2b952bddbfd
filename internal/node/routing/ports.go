// Package routing is the node's core. It routes operations (requests) by route steps (attempts at
// destinations) and gives each exactly one final answer.
//
// Package balance decides where a step goes, whether an operation is retried and when it is
// rejected; the core passes events to it and performs its actions, one at a time (core.go). The
// core enforces the rules that hold whatever the balancer decides (steps.go): no step to a
// destination that is not ready, after the deadline, beyond the maximum number of attempts or for a
// client that has disconnected.
//
// The core does not depend on HTTP, JSON or sockets. Fronts (protocol.Front, jobs.Manager),
// destinations and discovery are adapters behind the interfaces of this file. All of it runs on
// the event loop, so that it needs no locks. handover.go passes operations between processes.
package routing

import (
	"time"

	"ospreybend/balance"
	"ospreybend/internal/node/slottable"
)

// Work is a request as it is sent to a destination. The core does not read it. It is encoded with
// gob; see OperationState.
type Work struct {
	ID         string // unique; set by the client
	Target     string // path and query
	Idempotent string // the client's idempotency key, which is forwarded; empty: none
	Body       []byte
	Once       bool // non-idempotent; set by the core
}

// Operation is a request as a front submits it. It is encoded with gob; see OperationState.
type Operation struct {
	Work     Work
	Class    int
	Tenant   int
	Key      uint64        // for session affinity; 0: none
	Cost     time.Duration // the client's estimate; valid if HasCost is set
	HasCost  bool
	Repeat   bool // the client has sent this request before
	Slots    float64
	Memory   float64       // in the unit of the settings
	Deadline time.Duration // on the event loop's clock
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

// Answer is the final answer to an operation.
type Answer struct {
	Verdict    Verdict
	Result     []byte        // of a served operation
	RetryAfter time.Duration // of a refused operation; 0: none
	MayHaveRun bool          // some route step may have had an effect
}

// Owner is the front that submitted an operation.
type Owner interface {
	// Answered is called exactly once for each operation, unless it is withdrawn or released before.
	Answered(operation slottable.Handle, answer Answer)
	// Started is called when a destination has begun to run the operation.
	Started(operation slottable.Handle, destination balance.WorkerID)
	// StepSent is called before the first byte of a route step is written.
	StepSent(operation slottable.Handle, destination balance.WorkerID)
	// StepEnded is called when a route step has ended and the operation has no final answer yet.
	StepEnded(operation slottable.Handle, destination balance.WorkerID, outcome balance.Outcome)
}

// LoadObserver observes the operations of all fronts to estimate the destinations' load.
type LoadObserver interface {
	// StartDelay is called when a destination has begun to run a route step, with the time since the
	// step was sent.
	StartDelay(owner Owner, delay time.Duration)
	// OperationConcluded is called with an operation's final answer.
	OperationConcluded(owner Owner, verdict Verdict)
	// LoadReported is called with a destination's load report, in the order of Settings.Report.
	LoadReported(destination balance.WorkerID, report []float32)
}

// StepObserver observes all route steps to measure the zones' health.
type StepObserver interface {
	StepSent(step slottable.Handle, destination balance.WorkerID, class int, slots float64)
	StepStarted(step slottable.Handle)
	// StepEnded is called for each step, including steps that were never sent.
	StepEnded(step slottable.Handle, outcome balance.Outcome)
}

// Admission decides whether an operation is admitted. Others are answered at once with Refused,
// and with retryAfter as the Retry-After.
type Admission interface {
	Admit(class int) (retryAfter time.Duration, ok bool)
}

// Gate is an Owner that must finish something, such as a write to a database, before the first
// byte of a route step is sent. BeforeSend must not block; it calls open once, on the event loop,
// before or after it returns. open(false) ends the step unsent. After open(true) the core checks
// the deadline, the destination's state and whether the operation is concluded again, and then
// sends the step. Until then the step has certainly not run, whatever its outcome.
type Gate interface {
	BeforeSend(operation slottable.Handle, open func(ok bool))
}

// DisconnectChecker is an Owner that can check whether an operation's client is still connected before the
// event loop reports a disconnect. The core calls ClientConnected before the first byte of each
// attempt. If the client has disconnected, ClientConnected withdraws the operation and returns false.
type DisconnectChecker interface {
	ClientConnected(operation slottable.Handle) bool
}

// StepEnd is the result of a route step.
type StepEnd struct {
	Outcome  balance.Outcome
	Rejected bool      // the destination found the request invalid
	Result   []byte    // of a served step
	Report   []float32 // the destination's load report; nil: none
}

// Destinations sends route steps to destinations. For each Send it calls Core.StepEnded once,
// unless Abort is called first.
type Destinations interface {
	Send(step slottable.Handle, destination balance.WorkerID, work *Work, deadline time.Duration)
	Abort(step slottable.Handle) // closes the step's connection
	Probe(destination balance.WorkerID)
	CloseIdle(destination balance.WorkerID) // closes idle connections
}

// Pool fetches the list of destinations from the pool config and passes changes to
// Core.PoolChanged.
type Pool interface {
	Watch(on bool)
	Fetch()
}

// Peers sends messages to the other nodes of the tier.
type Peers interface {
	SendMessage(to int, payload []byte)
}
