// Package balance decides for a dispatcher that pushes requests to workers: which worker gets a request, when
// it is queued, retried, hedged, rejected or failed.
//
// A Balancer is a deterministic state machine: its caller passes events with the time and carries out the
// returned actions. It has no clock, no goroutines and no I/O. Package internal/node/routing drives it in the
// node, internal/node/simwire in the simulator.
//
// Four rules hold always: a request gets one final answer (rejectOrFail); nothing runs twice that must not
// (permit); only workers listed as ready get requests (isReady); a warming-up worker gets no more than its
// budget (withinWarmupBudget).
//
// This file is the interface: settings, events and actions. The decisions are in balance.go (requests),
// placement.go (which worker), attempts.go (sends and their outcomes), probing.go, homes.go (key affinity),
// zones.go (zone shares), estimate.go (predictions), fleet.go (workers) and peers.go (other dispatchers).
// load_message.go and state.go encode what goes to peers and to a successor process. In all of them r is a
// request, w a worker and f a forecast.
package balance

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// WorkerID identifies a worker. It is opaque and survives the worker's restart.
type WorkerID uint64

// RequestID identifies a request. It is opaque and never reused.
type RequestID uint64

// Effect is what repeating a request does.
type Effect uint8

// The effects.
const (
	Idempotent    Effect = iota // may run any number of times
	Deduplicated                // the workers of a group drop repeats within a window
	NonIdempotent               // must not run twice
)

// Group is the set of workers that drop each other's repeats of a Deduplicated request.
type Group uint8

// The groups.
const (
	GroupAll Group = iota
	GroupZone
	GroupCell
)

// QueueOrder is the order in which workers serve their queues.
type QueueOrder uint8

// The queue orders.
const (
	FIFO QueueOrder = iota
	Backfill
	Priority
)

// ReportField identifies a value of a load report.
type ReportField uint8

// The values of a load report. FieldOther stands for an unknown one.
const (
	FieldOther ReportField = iota
	FieldOutstanding
	FieldBacklog
	FieldUtilization
	FieldServiceMS
	FieldThroughput
	FieldErrors
	FieldFreeSlots
	FieldFreeMemory
)

// Class configures one class of requests.
type Class struct {
	LatencyTarget time.Duration // an answer within it earns full value
	TargetStretch float64       // added to the target, as a multiple of the job's work
	Timeout       time.Duration
	Value         float64
	LateValue     float64 // fraction of the value that a late answer earns
	Effect        Effect
	Group         Group         // for Deduplicated
	Window        time.Duration // for Deduplicated, from the first attempt that may have run
	Stream        bool
	Kind          int // the worker kind it needs, or -1
	Priority      int
}

// Tenant configures one tenant.
type Tenant struct {
	QuotaPerSecond float64
	Share          float64
}

// Limits are what the deployment permits.
type Limits struct {
	Cancel         bool
	HedgedRequests bool
	Probes         bool
	Messages       bool
	RetryAfter     bool
	MaxRetryAfter  time.Duration
	MaxAttempts    int
	ConnectTimeout time.Duration
	ConnIdle       time.Duration
	StreamsPerConn int
}

// Rules are the parameters of the rules that each dispatcher keeps alone.
type Rules struct {
	AnswerSlack      time.Duration
	SubscribeWithin  time.Duration
	DrainGrace       time.Duration
	InitialCapacity  float64 // least fraction of its capacity with which a worker starts
	WarmupTime       time.Duration
	OverloadMultiple float64 // work past this multiple of its present capacity for OverloadTime fails a worker
	OverloadTime     time.Duration
}

// Costs are the deployment's prices.
type Costs struct {
	CrossZone float64
	LateFail  float64
	Waste     float64
	Probe     float64
	Message   float64
	Handshake float64
}

// Settings configure a dispatcher.
type Settings struct {
	Balancers  int // number of dispatchers, this one included
	Ordinal    int // this dispatcher's number, from 0
	Zone       int
	Resolution time.Duration // least time between events
	Classes    []Class
	Tenants    []Tenant

	SubscribeDiscovery bool // the worker list comes by subscription
	ValueByWork        bool // the value counts per unit of work
	ReportsStart       bool // workers report the start of a job
	QueueOrder         QueueOrder
	Report             []ReportField
	ReportProbes       bool // reports come with probe results only

	OverShareValue float64
	Limits         Limits
	Rules          Rules
	Costs          Costs
}

var (
	errNoClass      = errors.New("settings: no class of requests")
	errNegativeTime = errors.New("settings: a negative time")
)

// validate returns an error that names the first invalid setting.
func (s *Settings) validate() error {
	switch {
	case s.Balancers < 1 || s.Ordinal < 0 || s.Ordinal >= s.Balancers:
		return fmt.Errorf("settings: dispatcher %d of %d", s.Ordinal, s.Balancers)
	case len(s.Classes) == 0:
		return errNoClass
	case s.Limits.MaxAttempts < 1:
		return fmt.Errorf("settings: at most %d attempts", s.Limits.MaxAttempts)
	case s.Rules.InitialCapacity < 0 || s.Rules.InitialCapacity > 1 || s.Rules.OverloadMultiple < 0:
		return fmt.Errorf("settings: initial capacity %v, overload multiple %v", s.Rules.InitialCapacity,
			s.Rules.OverloadMultiple)
	case s.Resolution < 0 || s.Rules.WarmupTime < 0 || s.Rules.OverloadTime < 0:
		return errNegativeTime
	}
	for i, c := range s.Classes {
		if c.LatencyTarget < 0 || c.Timeout <= 0 || c.Value < 0 || c.TargetStretch < 0 {
			return fmt.Errorf("settings: class %d: target %v, time-out %v, value %v, stretch %v",
				i, c.LatencyTarget, c.Timeout, c.Value, c.TargetStretch)
		}
	}
	return nil
}

// parseReport returns the values of a load report by field; missing ones are absent.
func (s *Settings) parseReport(report []float32) map[ReportField]float64 {
	seen := map[ReportField]float64{}
	for i, field := range s.Report {
		if i < len(report) && !math.IsNaN(float64(report[i])) {
			seen[field] = float64(report[i])
		}
	}
	return seen
}

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
	ID       RequestID
	Class    int
	Tenant   int
	Key      uint64 // 0: none
	Cost     time.Duration
	HasCost  bool
	Repeat   bool // marked by the client as a retry
	Slots    float64
	Memory   float64
	Deadline time.Duration // clock time
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
