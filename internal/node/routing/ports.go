// Package routing is the node's core: it carries operations through their route
// steps to one final answer, as package balance decides. It knows no HTTP, no
// JSON and no sockets; fronts, destinations and the pool config are adapters
// that import this package.
package routing

import (
	"time"

	"ospreybend/balance"
	"ospreybend/internal/node/slottable"
)

// Work is what a destination is asked to do. The core passes it on unread.
type Work struct {
	ID         string // unique, as the client gave it
	Target     string // path and query
	Idempotent string // the client's own key, by which repeats are dropped; passed on; empty: none
	Body       []byte
	Once       bool // must not run twice; set by the core
}

// Operation is a request as a front hands it in.
type Operation struct {
	Work     Work
	Class    int
	Tenant   int
	Key      uint64 // 0: none
	Cost     time.Duration
	HasCost  bool
	Repeat   bool
	Slots    float64
	Memory   float64
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
	Rejected // a destination could make nothing of it: the client's fault
)

// Answer is an operation's one final answer.
type Answer struct {
	Verdict    Verdict
	Result     []byte        // of a served operation
	RetryAfter time.Duration // advice with a refusal; 0: none
	MayHaveRun bool          // some route step may have had effect
}

// Owner is the front that handed an operation in.
type Owner interface {
	// Answered is called exactly once for each operation, unless it was
	// withdrawn before.
	Answered(op slottable.Handle, a Answer)
	// Started tells that a destination has begun to run the operation.
	Started(op slottable.Handle, at balance.WorkerID)
	// StepSent tells that a route step goes out, before its first byte does.
	StepSent(op slottable.Handle, to balance.WorkerID)
	// StepEnded tells how a route step ended, while the operation has no final
	// answer yet.
	StepEnded(op slottable.Handle, at balance.WorkerID, how balance.Outcome)
}

// LoadObserver hears of the operations of all fronts, to learn how busy the
// destinations are.
type LoadObserver interface {
	// StartDelay tells of a route step's start, and how long after its sending it came.
	StartDelay(owner Owner, wait time.Duration)
	// OperationConcluded tells of an operation's final answer.
	OperationConcluded(owner Owner, v Verdict)
	// LoadReported tells of a destination's load report, ordered as Settings.Report.
	LoadReported(from balance.WorkerID, report []float32)
}

// StepObserver hears of all route steps that go out, to learn how the zones fare.
type StepObserver interface {
	StepSent(step slottable.Handle, to balance.WorkerID, class int, slots float64)
	StepStarted(step slottable.Handle)
	// StepEnded tells how a step ended, also one that was never sent.
	StepEnded(step slottable.Handle, how balance.Outcome)
}

// Admission decides whether an operation is let in at all. One that is not is refused at
// once, with a time to come back.
type Admission interface {
	Admit(class int) (after time.Duration, ok bool)
}

// Gate is an owner that must do something, as write to a record, between the
// module's decision for a route step and the step's first byte. The loop does not
// wait meanwhile: Gate returns at once, and open is called on the loop, within Gate
// or later, once; with false nothing goes out. After it the core looks again at the
// deadline, the destination's state and the final answer. Until then the step has
// never run, however it ends.
type Gate interface {
	BeforeSend(op slottable.Handle, open func(ok bool))
}

// Waiter is an owner that can look whether anybody still waits for an operation, though
// it may not have been told otherwise yet. The core asks before each attempt's first
// byte. An owner that finds nobody withdraws the operation before it says no.
type Waiter interface {
	ClientWaits(op slottable.Handle) bool
}

// StepEnd is how a route step ended.
type StepEnd struct {
	Outcome  balance.Outcome
	Rejected bool // the destination could make nothing of the operation
	Result   []byte
	Report   []float32
}

// Destinations carries route steps to destinations. For each Send it calls
// Core.StepEnded once, unless Abort came before.
type Destinations interface {
	Send(step slottable.Handle, to balance.WorkerID, w *Work, until time.Duration)
	Abort(step slottable.Handle) // closes the step's connection
	Probe(to balance.WorkerID)
	CloseIdle(to balance.WorkerID)
}

// Pool asks the pool config for the list of destinations.
type Pool interface {
	Watch(on bool)
	Fetch()
}

// Peers sends messages to the other nodes.
type Peers interface {
	SendMessage(to int, payload []byte)
}
