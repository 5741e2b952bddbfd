package balance

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// Effect is what repeating a request does.
type Effect uint8

// The effects.
const (
	Idempotent    Effect = iota // may run any number of times
	Deduplicated                // the workers of a group drop repeats within a window
	NonIdempotent               // must not run twice
)

// DedupGroup is the set of workers that drop each other's repeats of a Deduplicated request.
type DedupGroup uint8

// The groups.
const (
	GroupAll DedupGroup = iota
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
	DedupGroup    DedupGroup    // for Deduplicated
	DedupWindow   time.Duration // for Deduplicated, from the first attempt that may have run
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
	ReportFields       []ReportField
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
	for i, field := range s.ReportFields {
		if i < len(report) && !math.IsNaN(float64(report[i])) {
			seen[field] = float64(report[i])
		}
	}
	return seen
}
