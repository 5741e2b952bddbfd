// Package balance makes the decisions of a dispatcher that pushes jobs to
// workers: where each request goes, when it is tried again, refused or failed.
//
// This file is the interface alone: settings, events, actions. The decisions
// are in balance.go (a request's life), place.go (which worker), attempts.go (sends and
// what becomes of them), scout.go (probes), homes.go (keys), zones.go (the fleet's orders), estimate.go
// (predictions), fleet.go and peers.go (workers).
package balance

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// WorkerID names a worker. It is opaque, and stays the same over a restart.
type WorkerID uint64

// RequestID names a request. It is opaque and never comes twice.
type RequestID uint64

// Effect says what a repeat of a request does.
type Effect uint8

// The effects a class can have.
const (
	Idempotent    Effect = iota // may be repeated freely
	Deduplicated                // repeats are dropped by the workers of a group, for a while
	NonIdempotent               // must never run twice
)

// Group is the set of workers that drop each other's repeats of a keyed request.
type Group uint8

// The groups of a keyed class.
const (
	GroupAll Group = iota
	GroupZone
	GroupCell
)

// QueueOrder is the way a worker serves its queue.
type QueueOrder uint8

// The queue orders.
const (
	FIFO QueueOrder = iota
	Backfill
	Priority
)

// ReportField is one value of a load report.
type ReportField uint8

// The values a load report can hold. FieldOther stands for one not known.
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

// Class is what the settings say of one class of requests.
type Class struct {
	LatencyTarget time.Duration // an answer inside it earns full worth
	TargetStretch float64       // extra time on the aim, as a multiple of the job's work
	Timeout       time.Duration
	Value         float64
	LateValue     float64 // share of the worth after the aim
	Effect        Effect
	Group         Group         // for Keyed
	Window        time.Duration // for Keyed, from the first attempt that may have run
	Stream        bool
	Kind          int // the worker kind it needs, or -1
	Priority      int
}

// Tenant is what the settings say of one tenant.
type Tenant struct {
	QuotaPerSecond float64
	Share          float64
}

// Limits is what the deployment permits.
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

// Rules holds the figures of the rules each dispatcher keeps alone.
type Rules struct {
	AnswerSlack      time.Duration
	SubscribeWithin  time.Duration
	DrainGrace       time.Duration
	InitialCapacity  float64 // a worker starts at this part of its capacity or more
	WarmupTime       time.Duration
	OverloadMultiple float64 // work past this multiple of present capacity, for OverloadFor, fells it
	OverloadTime     time.Duration
}

// Costs are the prices the deployment puts on what a dispatcher does.
type Costs struct {
	CrossZone float64
	LateFail  float64
	Waste     float64
	Probe     float64
	Message   float64
	Handshake float64
}

// Settings is all a dispatcher is told at its start.
type Settings struct {
	Balancers  int // dispatchers at work, this one included
	Ordinal    int // this dispatcher's number among them
	Zone       int
	Resolution time.Duration // events come at most this often
	Classes    []Class
	Tenants    []Tenant

	SubscribeDiscovery bool // the worker list must be subscribed to
	ValueByWork        bool // worth counts for each unit of work
	ReportsStart       bool // workers say when a job starts
	QueueOrder         QueueOrder
	Report             []ReportField
	ReportProbes       bool // reports come only with probe results

	OverShareValue float64
	Limits         Limits
	Rules          Rules
	Costs          Costs
}

// validate names the first setting that no deployment can have.
func (s *Settings) validate() error {
	switch {
	case s.Balancers < 1 || s.Ordinal < 0 || s.Ordinal >= s.Balancers:
		return fmt.Errorf("settings: dispatcher %d of %d", s.Ordinal, s.Balancers)
	case len(s.Classes) == 0:
		return errors.New("settings: no class of requests")
	case s.Limits.MaxAttempts < 1:
		return fmt.Errorf("settings: at most %d attempts", s.Limits.MaxAttempts)
	case s.Rules.InitialCapacity < 0 || s.Rules.InitialCapacity > 1 || s.Rules.OverloadMultiple < 0:
		return fmt.Errorf("settings: cold share %v, fall multiple %v", s.Rules.InitialCapacity, s.Rules.OverloadMultiple)
	case s.Resolution < 0 || s.Rules.WarmupTime < 0 || s.Rules.OverloadTime < 0:
		return errors.New("settings: a negative time")
	}
	for i, c := range s.Classes {
		if c.LatencyTarget < 0 || c.Timeout <= 0 || c.Value < 0 || c.TargetStretch < 0 {
			return fmt.Errorf("settings: class %d: aim %v, give-up %v, worth %v, stretch %v",
				i, c.LatencyTarget, c.Timeout, c.Value, c.TargetStretch)
		}
	}
	return nil
}

// parseReport names a load report's values; those that it lacks are left out.
func (s *Settings) parseReport(report []float32) map[ReportField]float64 {
	seen := map[ReportField]float64{}
	for i, field := range s.Report {
		if i < len(report) && !math.IsNaN(float64(report[i])) {
			seen[field] = float64(report[i])
		}
	}
	return seen
}

// Event is something a dispatcher is told.
type Event interface{ event() }

// ListKind says how a list update is to be read.
type ListKind uint8

// The kinds of list update.
const (
	ListChanges ListKind = iota // only changed entries
	ListFull                    // all; who is absent is gone
	ListCached                  // all as once known, maybe old
	ListFailed                  // a call failed; the old list stands
)

// State is a worker's state as listed.
type State uint8

// The states of a listed worker.
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

// ListUpdate is news of the workers.
type ListUpdate struct {
	Kind    ListKind
	Version uint64
	Workers []WorkerListing
}

// Request is a client's request to be answered.
type Request struct {
	ID       RequestID
	Class    int
	Tenant   int
	Key      uint64 // 0: none
	Cost     time.Duration
	HasCost  bool
	Repeat   bool // marked by the client as its repeat
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

// NeverRan tells whether the outcome proves that the attempt did not run.
func (o Outcome) NeverRan() bool { return o == Full || o == ConnectFailed || o == NotSent }

// AttemptDone is the end of an attempt.
type AttemptDone struct {
	Request RequestID
	Attempt int
	Worker  WorkerID
	Outcome Outcome
	Elapsed time.Duration
	Over    bool // the request has its answer
	Note    uint32
	Report  []float32 // ordered as Settings.Report; nil: none
}

// AttemptProgress is news of a running attempt.
type AttemptProgress struct {
	Request  RequestID
	Attempt  int
	Worker   WorkerID
	Started  bool // else progress
	Progress float64
}

// StreamStarted says that a streamed answer has begun.
type StreamStarted struct {
	Request RequestID
	Attempt int
	Worker  WorkerID
	Elapsed time.Duration
}

// RequestEnded says that a request is over without this dispatcher's doing.
type RequestEnded struct{ Request RequestID }

// DeadlineShortened says that a request is to be answered earlier than it was to be.
type DeadlineShortened struct {
	Request  RequestID
	Deadline time.Duration // clock time
}

// PriorAttempt is an attempt as another process of this dispatcher made it.
type PriorAttempt struct {
	Worker  WorkerID
	SentAt  time.Duration
	Started time.Duration // when its start was told; 0: not yet
	Out     bool
	MayHave bool // it may have run
}

// Adopted is a request taken over from another process of this dispatcher, with
// its attempts so far, in order.
type Adopted struct {
	Request
	Arrived  time.Duration
	Attempts []PriorAttempt
}

// TimerFired is a timer come due.
type TimerFired struct{ Token uint32 }

// ProbeDone answers a probe.
type ProbeDone struct {
	Worker  WorkerID
	Outcome Outcome
	Elapsed time.Duration
	Report  []float32
}

// ZoneShares is what the fleet has decided on the zones: what part of the requests each
// may take, from 0 to 1, by its number. A zone past the end takes all. In those of Failed
// nothing gets done: what is out there is tried elsewhere where it may be repeated.
type ZoneShares struct {
	Shares []float64
	Failed []int
}

// PeerMessage is a message of another dispatcher.
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

// Action is something a dispatcher is to do.
type Action interface{ action() }

// Send starts the request's next attempt; attempts are numbered from 0.
type Send struct {
	Request RequestID
	Worker  WorkerID
	Until   time.Duration // clock time to give the attempt up; 0: the request's deadline
}

// Reject is a final answer that tells the client a retry is harmless.
type Reject struct {
	Request    RequestID
	RetryAfter time.Duration // 0: no advice
}

// Fail is a final answer that promises nothing.
type Fail struct{ Request RequestID }

// Cancel calls an attempt off.
type Cancel struct {
	Request RequestID
	Attempt int
}

// SetTimer asks for a TimerFired.
type SetTimer struct {
	After time.Duration
	Token uint32
}

// Probe asks a worker for a report.
type Probe struct{ Worker WorkerID }

// SendToPeers sends a message to a peer, or to all with To < 0.
type SendToPeers struct {
	To      int
	Payload []byte
}

// CloseIdle closes the idle connections to a worker.
type CloseIdle struct{ Worker WorkerID }

// Log writes a line for the operators.
type Log struct{ Text string }

// Subscribe opens the standing subscription to the worker list, or closes it.
type Subscribe struct{ On bool }

// FetchList asks for the whole worker list once.
type FetchList struct{}

// InternalError declares the decisions broken.
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
