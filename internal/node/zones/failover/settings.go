package failover

import "time"

const (
	failedStepRatio     = 0.5  // failure ratio from which a probe or a slow start step counts as failed
	maxBackoffDoublings = 16   // keeps the shift in probeBackoff in range; MaxBackoff is reached earlier
	shareTolerance      = 1e-9 // tolerated rounding error of shares
)

// Settings are the thresholds and durations by which a Decider decides.
type Settings struct {
	Majority             float64       // a zone sees another fail if more than this fraction of its observing processes do
	MinObserverZones     int           // zones that must see a zone fail, or be slow
	FailureConfirmTime   time.Duration // how long a zone must look failed before it is evacuated
	PartitionConfirmTime time.Duration // how long a zone must be unreachable from only some zones before these stop sending there
	MaxFailedCapacity    float64       // fraction of all slots that may be out of service; a failure that would exceed it is Inconclusive
	OverloadSuccessRatio float64       // fraction of completed steps that must succeed for a zone to count as overloaded instead of failed
	SlowMargin           float64       // least difference of the late ratio to the median from which a zone counts as slow
	SlowConfirmTime      time.Duration // how long a zone must be slow before its share is reduced: a burst makes steps late as well
	MaxUtilization       float64       // fraction of the available capacity up to which requests are admitted
	OverloadGraceTime    time.Duration // how long demand must exceed the available capacity before requests are rejected
	InitialBackoff       time.Duration // time from an evacuation to the first probe; doubles with each consecutive failure
	MaxBackoff           time.Duration // upper limit of the doubled backoff
	ProbeProcesses       float64       // number of processes that probe an evacuated zone
	InitialShare         float64       // share of the first slow start step; doubles with each further step
	ProbeTimeout         time.Duration // after which more processes probe, if too few probes have completed
	PropagationTime      time.Duration // until a change has reached all connected processes and shows in their observations
	MinStepTime          time.Duration // shortest duration of a slow start step
	MinFailureSteps      float64       // recent steps by which a zone sees another fail; few, as processes send little to a zone that fails
	MinSteps             float64       // completed steps needed to judge a probe or a slow start step, or that a zone is slow
	MaxFailureRatio      float64       // failure ratio up to which a probe or a slow start step counts as successful
	StableTime           time.Duration // time in the active phase after which the failure count is reset
	MinAdmissionChange   float64       // smallest change of an admitted fraction that is committed
}

// DefaultSettings returns the settings that the program runs with.
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
	Value         float64 // value of a slot-second of work; lower ones are rejected first
	NonIdempotent bool    // must not run twice, for instance a booking
}
