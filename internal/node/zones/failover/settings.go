package failover

import "time"

const (
	failedRatio         = 0.5  // failure ratio from which probes and slow start steps count as failed
	maxBackoffDoublings = 16   // keeps the shift of the backoff in range; MaxBackoff ends it earlier
	shareTolerance      = 1e-9 // rounding error of shares
)

// Settings are the thresholds and times of the decisions.
type Settings struct {
	Majority             float64       // fraction of a zone's processes that must see another zone fail
	MinObserverZones     int           // zones that must see it
	FailureConfirmTime   time.Duration // how long a zone must look failed before it is evacuated
	PartitionConfirmTime time.Duration // how long it must be unreachable from some zones alone
	MaxFailedCapacity    float64       // fraction of all slots that may be evacuated; beyond it no further zone is
	OverloadSuccessRatio float64       // fraction of steps that succeed in a zone that is only overloaded
	SlowMargin           float64       // late ratio above the median from which a zone counts as slow
	SlowConfirmTime      time.Duration // how long it must be slow: a burst makes steps late, too
	MaxUtilization       float64       // fraction of the available capacity that admission fills
	OverloadGraceTime    time.Duration // how long demand must exceed capacity before requests are rejected
	InitialBackoff       time.Duration // before the first probe; doubles with each failure
	MaxBackoff           time.Duration
	ProbeProcesses       float64       // processes that probe an evacuated zone
	InitialShare         float64       // share of the first slow start step; doubles with each
	ProbeTimeout         time.Duration // after which more processes probe, if too few steps were seen
	PropagationTime      time.Duration // until a change has reached all connected processes and shows in the observations
	MinStepTime          time.Duration // shortest duration of a slow start step
	MinFailureSteps      float64       // completed steps for a zone to see another fail: processes send little to a zone that they doubt
	MinSteps             float64       // completed steps to judge a probe or a slow start step by
	MaxFailureRatio      float64       // failure ratio up to which a step counts as successful
	StableTime           time.Duration // active without a failure, after which the failure count is reset
	MinAdmissionChange   float64       // smallest change of an admitted fraction that is committed
}

// DefaultSettings returns the settings that the program uses.
func DefaultSettings() Settings {
	return Settings{
		Majority:             0.5,
		MinObserverZones:     2,
		FailureConfirmTime:   200 * time.Millisecond,
		PartitionConfirmTime: 600 * time.Millisecond,
		MaxFailedCapacity:    0.5,
		OverloadSuccessRatio: 0.25,
		SlowMargin:           0.3,
		SlowConfirmTime:      3 * time.Second,
		MaxUtilization:       0.95,
		OverloadGraceTime:    4 * time.Second,
		InitialBackoff:       2 * time.Second,
		MaxBackoff:           time.Minute,
		ProbeProcesses:       3,
		InitialShare:         1. / 16,
		ProbeTimeout:         2 * time.Second,
		PropagationTime:      time.Second,
		MinStepTime:          1500 * time.Millisecond,
		MinFailureSteps:      3,
		MinSteps:             4,
		MaxFailureRatio:      0.2,
		StableTime:           30 * time.Second,
		MinAdmissionChange:   0.1,
	}
}

// Class describes a class of requests.
type Class struct {
	Name          string
	Value         float64 // per slot-second
	NonIdempotent bool    // must not run twice, as a booking
}
