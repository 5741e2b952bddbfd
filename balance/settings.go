package balance

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// Effect tells what happens if a request runs more than once.
type Effect uint8

// The effects.
const (
	Idempotent    Effect = iota // may run any number of times
	Deduplicated                // the workers of a DedupGroup drop repeats within the DedupWindow
	NonIdempotent               // must not run twice
)

// DedupGroup is the set of workers that drop each other's repeats of a Deduplicated request.
type DedupGroup uint8

// The deduplication groups.
const (
	GroupAll  DedupGroup = iota // all workers
	GroupZone                   // the workers of a zone
	GroupCell                   // the workers of a cell
)

// QueueOrder is the order in which workers serve their queues.
type QueueOrder uint8

// The queue orders.
const (
	FIFO     QueueOrder = iota
	Backfill            // a job may overtake another that needs more slots than are free
	Priority            // by Class.Priority
)

// ReportField identifies a value of a load report.
type ReportField uint8

// The values of a load report. FieldOther stands for a value that the balancer does not use.
const (
	FieldOther       ReportField = iota
	FieldOutstanding             // jobs running or queued
	FieldBacklog                 // jobs queued
	FieldUtilization
	FieldServiceMS
	FieldThroughput
	FieldErrors
	FieldFreeSlots
	FieldFreeMemory
)

// Class configures one class of requests.
type Class struct {
	LatencyTarget time.Duration // a response within it earns the full value
	TargetStretch float64       // multiple of the job's run time that is added to LatencyTarget
	Timeout       time.Duration
	Value         float64
	LateValue     float64 // fraction of the value that a late response earns
	Effect        Effect
	DedupGroup    DedupGroup    // for Deduplicated
	DedupWindow   time.Duration // for Deduplicated, from the first attempt that may have run
	Stream        bool
	Kind          int // kind of worker that it needs; -1: any
	Priority      int
}

// Tenant configures one tenant.
type Tenant struct {
	QuotaPerSecond float64
	Share          float64
}

// Limits are the features and amounts that the deployment permits.
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

// Rules are the parameters of the rules that each balancer enforces on its own.
type Rules struct {
	AnswerSlack      time.Duration
	SubscribeWithin  time.Duration // bound on the delay of the first subscription to the worker list
	DrainGrace       time.Duration
	InitialCapacity  float64       // least fraction of its capacity that a worker has when it starts
	WarmupTime       time.Duration // from a worker's start to its full capacity
	OverloadMultiple float64       // a worker fails under more than this multiple of its present capacity
	OverloadTime     time.Duration // for this long
}

// Costs are the deployment's prices, relative to the value of a request.
type Costs struct {
	CrossZone float64
	LateFail  float64
	Waste     float64
	Probe     float64
	Message   float64
	Handshake float64
}

// Settings configure a balancer.
type Settings struct {
	Balancers  int           // number of balancers, including this one
	Ordinal    int           // number of this balancer, from 0
	Zone       int           // of this balancer
	Resolution time.Duration // least time between events
	Classes    []Class
	Tenants    []Tenant

	SubscribeDiscovery bool // the worker list is received by subscription
	ValueByWork        bool // a request's value is multiplied by its work
	ReportsStart       bool // workers report when they start a job
	QueueOrder         QueueOrder
	ReportFields       []ReportField
	ReportProbes       bool // workers report their load in responses to probes only

	OverShareValue float64
	Limits         Limits
	Rules          Rules
	Costs          Costs
}

var (
	errNoClasses    = errors.New("settings: no class of requests")
	errNegativeTime = errors.New("settings: Resolution, WarmupTime or OverloadTime is negative")
)

// validate returns an error for the first invalid setting.
func (s *Settings) validate() error {
	switch {
	case s.Balancers < 1 || s.Ordinal < 0 || s.Ordinal >= s.Balancers:
		return fmt.Errorf("settings: Ordinal is %d, want 0 to Balancers-1, where Balancers is %d and at least 1",
			s.Ordinal, s.Balancers)
	case len(s.Classes) == 0:
		return errNoClasses
	case s.Limits.MaxAttempts < 1:
		return fmt.Errorf("settings: MaxAttempts is %d, want at least 1", s.Limits.MaxAttempts)
	case s.Rules.InitialCapacity < 0 || s.Rules.InitialCapacity > 1 || s.Rules.OverloadMultiple < 0:
		return fmt.Errorf("settings: InitialCapacity is %v, want 0 to 1; OverloadMultiple is %v, want at least 0",
			s.Rules.InitialCapacity, s.Rules.OverloadMultiple)
	case s.Resolution < 0 || s.Rules.WarmupTime < 0 || s.Rules.OverloadTime < 0:
		return errNegativeTime
	}
	for i, c := range s.Classes {
		if c.LatencyTarget < 0 || c.Timeout <= 0 || c.Value < 0 || c.TargetStretch < 0 {
			return fmt.Errorf("settings: class %d: LatencyTarget %v, Value %v or TargetStretch %v is negative, "+
				"or Timeout %v is not positive", i, c.LatencyTarget, c.Value, c.TargetStretch, c.Timeout)
		}
	}
	return nil
}

// parseReport returns the values of a load report by field. Missing values and NaN are left out.
func (s *Settings) parseReport(report []float32) map[ReportField]float64 {
	seen := map[ReportField]float64{}
	for i, field := range s.ReportFields {
		if i < len(report) && !math.IsNaN(float64(report[i])) {
			seen[field] = float64(report[i])
		}
	}
	return seen
}
