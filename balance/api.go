package balance

import "time"

// WorkerID identifies a worker. It is opaque and stays the same when the worker restarts.
type WorkerID uint64

// RequestID identifies a request. It is opaque and never reused.
type RequestID uint64

// Event is an input of a balancer.
type Event interface{ event() }

// ListKind is the kind of a list update.
type ListKind uint8

// The kinds of list updates.
const (
	ListChanges ListKind = iota // only changed entries
	ListFull                    // all workers; those not listed are gone
	ListCached                  // all workers of an earlier, possibly outdated list
	ListFailed                  // a call to the discovery service failed; the list is unchanged
)

// State is the state of a worker in the list.
type State uint8

// The states of a worker.
const (
	Ready    State = iota // gets requests
	Draining              // completes its requests and gets no new ones
	Gone                  // removed from the list
)

// WorkerListing is one worker's entry in a list update.
type WorkerListing struct {
	Worker  WorkerID
	Zone    int
	Kind    int
	Cell    int
	State   State
	Scale   float64
	Started time.Duration // clock time of its last start; 0: so long ago that it is warm
}

// ListUpdate is an update of the worker list.
type ListUpdate struct {
	Kind    ListKind
	Version uint64
	Workers []WorkerListing
}

// Request reports a new request of a client.
type Request struct {
	ID          RequestID
	Class       int
	Tenant      int
	Key         uint64        // affinity key; 0: none
	Cost        time.Duration // estimated run time, if HasCost
	HasCost     bool
	ClientRetry bool // marked by the client as a retry
	Slots       float64
	Memory      float64
	Deadline    time.Duration // clock time
}

// Outcome is the way in which an attempt or a probe ended.
type Outcome uint8

// The outcomes.
const (
	Served        Outcome = iota
	Errored               // the worker returned an error
	Full                  // the worker rejected it for lack of a free slot
	TimedOut              // no response in time
	ConnectFailed         // no connection to the worker
	Reset                 // the connection broke after the send
	Cancelled
	NotSent
)

// NeverRan reports whether the outcome proves that the worker did not run the request.
func (o Outcome) NeverRan() bool { return o == Full || o == ConnectFailed || o == NotSent }

// AttemptDone reports that an attempt ended.
type AttemptDone struct {
	Request RequestID
	Attempt int
	Worker  WorkerID
	Outcome Outcome
	Elapsed time.Duration
	Over    bool // the request has its final response
	Note    uint32
	Report  []float32 // the worker's load, in the order of Settings.ReportFields; nil: none
}

// AttemptProgress reports that a worker started to run an attempt, or how far it is.
type AttemptProgress struct {
	Request  RequestID
	Attempt  int
	Worker   WorkerID
	Started  bool    // it started; otherwise Progress is set
	Progress float64 // completed fraction of the job, 0 to 1
}

// StreamStarted reports that a streamed response began. From then on the request has its final response.
type StreamStarted struct {
	Request RequestID
	Attempt int
	Worker  WorkerID
	Elapsed time.Duration
}

// RequestEnded reports that a request ended without a response, for example because its client disconnected.
type RequestEnded struct{ Request RequestID }

// DeadlineShortened moves a request's deadline to an earlier time.
type DeadlineShortened struct {
	Request  RequestID
	Deadline time.Duration // clock time
}

// PriorAttempt is an attempt made by the previous process of this balancer. The handover encodes it with its
// field names, so they stay as they are.
type PriorAttempt struct {
	Worker  WorkerID
	SentAt  time.Duration
	Started time.Duration // when the worker reported its start; 0: not yet
	Out     bool          // in flight
	MayHave bool          // it may have run
}

// Adopted hands over a request from the previous process of this balancer, with its attempts in order.
type Adopted struct {
	Request
	Arrived  time.Duration
	Attempts []PriorAttempt
}

// TimerFired reports that a timer expired.
type TimerFired struct{ Token uint32 }

// ProbeDone reports that a probe ended.
type ProbeDone struct {
	Worker  WorkerID
	Outcome Outcome
	Elapsed time.Duration
	Report  []float32
}

// ZoneShares sets the fraction of requests, 0 to 1, that each zone may get, by zone number. A zone beyond the
// end of Shares may get all. Requests in flight in a failed zone are hedged in other zones if they may be
// repeated.
type ZoneShares struct {
	Shares []float64
	Failed []int // numbers of the zones that failed
}

// PeerMessage delivers a message from another balancer.
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

// Action is an output of a balancer, for the caller to carry out.
type Action interface{ action() }

// Send starts the request's next attempt; attempts are numbered from 0.
type Send struct {
	Request RequestID
	Worker  WorkerID
	Until   time.Duration // clock time at which the attempt times out; 0: the request's deadline
}

// Reject is the final response to a request that did not run or may run again: the client may retry it.
type Reject struct {
	Request    RequestID
	RetryAfter time.Duration // the least delay before the retry; 0: not given
}

// Fail is the final response to a request that failed and may have run.
type Fail struct{ Request RequestID }

// Cancel cancels an attempt.
type Cancel struct {
	Request RequestID
	Attempt int
}

// SetTimer starts a timer. When it expires, the caller passes in a TimerFired with the same token.
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

// Subscribe opens or closes the subscription to updates of the worker list.
type Subscribe struct{ On bool }

// FetchList requests the full worker list once.
type FetchList struct{}

// InternalError reports a bug in the balancer.
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
