package balance

import "time"

// WorkerID identifies a worker. It is opaque and survives the worker's restart.
type WorkerID uint64

// RequestID identifies a request. It is opaque and never reused.
type RequestID uint64

// Event is an input of a dispatcher.
type Event interface{ event() }

// ListKind is the kind of a list update.
type ListKind uint8

// The kinds of list update.
const (
	ListChanges ListKind = iota // only changed entries
	ListFull                    // all workers; absent ones are gone
	ListCached                  // all workers as once known, possibly outdated
	ListFailed                  // a call failed; the list is unchanged
)

// State is a worker's listed state.
type State uint8

// The states.
const (
	Ready State = iota
	Draining
	Gone
)

// WorkerListing is one worker in a list update.
type WorkerListing struct {
	Worker  WorkerID
	Zone    int
	Kind    int
	Cell    int
	State   State
	Scale   float64
	Started time.Duration // clock time of its last start; 0: long ago
}

// ListUpdate is an update of the worker list.
type ListUpdate struct {
	Kind    ListKind
	Version uint64
	Workers []WorkerListing
}

// Request is a client's request.
type Request struct {
	ID          RequestID
	Class       int
	Tenant      int
	Key         uint64 // 0: none
	Cost        time.Duration
	HasCost     bool
	ClientRetry bool // marked by the client as a retry
	Slots       float64
	Memory      float64
	Deadline    time.Duration // clock time
}

// Outcome is how an attempt ended.
type Outcome uint8

// The outcomes of an attempt.
const (
	Served Outcome = iota
	Errored
	Full
	TimedOut
	ConnectFailed
	Reset
	Cancelled
	NotSent
)

// NeverRan reports whether the outcome proves that the attempt did not run.
func (o Outcome) NeverRan() bool { return o == Full || o == ConnectFailed || o == NotSent }

// AttemptDone is the end of an attempt.
type AttemptDone struct {
	Request RequestID
	Attempt int
	Worker  WorkerID
	Outcome Outcome
	Elapsed time.Duration
	Over    bool // the request has its final answer
	Note    uint32
	Report  []float32 // ordered as Settings.Report; nil: none
}

// AttemptProgress is a report of a running attempt.
type AttemptProgress struct {
	Request  RequestID
	Attempt  int
	Worker   WorkerID
	Started  bool // else progress
	Progress float64
}

// StreamStarted is the begin of a streamed answer.
type StreamStarted struct {
	Request RequestID
	Attempt int
	Worker  WorkerID
	Elapsed time.Duration
}

// RequestEnded is the end of a request by another cause, as when its client disconnects.
type RequestEnded struct{ Request RequestID }

// DeadlineShortened moves a request's deadline forward.
type DeadlineShortened struct {
	Request  RequestID
	Deadline time.Duration // clock time
}

// PriorAttempt is an attempt made by a previous process of this dispatcher. It is handed over by field name.
type PriorAttempt struct {
	Worker  WorkerID
	SentAt  time.Duration
	Started time.Duration // when its start was reported; 0: not yet
	Out     bool          // in flight
	MayHave bool          // it may have run
}

// Adopted is a request taken over from a previous process of this dispatcher, with its attempts in order.
type Adopted struct {
	Request
	Arrived  time.Duration
	Attempts []PriorAttempt
}

// TimerFired is the expiry of a timer.
type TimerFired struct{ Token uint32 }

// ProbeDone is the end of a probe.
type ProbeDone struct {
	Worker  WorkerID
	Outcome Outcome
	Elapsed time.Duration
	Report  []float32
}

// ZoneShares sets the fraction of requests, 0 to 1, that each zone may take, by zone number. A zone past the
// end takes all. Requests in flight in a Failed zone are hedged elsewhere where they may be repeated.
type ZoneShares struct {
	Shares []float64
	Failed []int
}

// PeerMessage is a message from another dispatcher.
type PeerMessage struct {
	From    int
	Payload []byte
}

func (ListUpdate) event()        {}
func (Request) event()           {}
func (AttemptDone) event()       {}
func (AttemptProgress) event()   {}
func (StreamStarted) event()     {}
func (RequestEnded) event()      {}
func (Adopted) event()           {}
func (DeadlineShortened) event() {}
func (TimerFired) event()        {}
func (ProbeDone) event()         {}
func (ZoneShares) event()        {}
func (PeerMessage) event()       {}

// Action is an output of a dispatcher.
type Action interface{ action() }

// Send starts the request's next attempt; attempts are numbered from 0.
type Send struct {
	Request RequestID
	Worker  WorkerID
	Until   time.Duration // clock time at which the attempt times out; 0: the request's deadline
}

// Reject is the final answer that the request did not run and may be retried.
type Reject struct {
	Request    RequestID
	RetryAfter time.Duration // 0: no advice
}

// Fail is the final answer that the request may have run.
type Fail struct{ Request RequestID }

// Cancel cancels an attempt.
type Cancel struct {
	Request RequestID
	Attempt int
}

// SetTimer starts a timer, which ends with a TimerFired.
type SetTimer struct {
	After time.Duration
	Token uint32
}

// Probe requests a load report from a worker.
type Probe struct{ Worker WorkerID }

// SendToPeers sends a message to a peer, or to all if To < 0.
type SendToPeers struct {
	To      int
	Payload []byte
}

// CloseIdle closes the idle connections to a worker.
type CloseIdle struct{ Worker WorkerID }

// Log writes a log line.
type Log struct{ Text string }

// Subscribe opens the standing subscription to the worker list, or closes it.
type Subscribe struct{ On bool }

// FetchList requests the full worker list once.
type FetchList struct{}

// InternalError reports a defect of the dispatcher.
type InternalError struct{ Text string }

func (Send) action()          {}
func (Reject) action()        {}
func (Fail) action()          {}
func (Cancel) action()        {}
func (SetTimer) action()      {}
func (Probe) action()         {}
func (SendToPeers) action()   {}
func (CloseIdle) action()     {}
func (Log) action()           {}
func (Subscribe) action()     {}
func (FetchList) action()     {}
func (InternalError) action() {}
