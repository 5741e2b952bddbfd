package simulation

import (
	"time"

	"ospreybend/internal/node/zones/health"
)

const (
	workPerStep        = 0.25 // slot-seconds
	windowIntervals    = 30   // load intervals in the window for which accepted work is recorded
	intervalsPerSecond = 10   // load intervals per second
	overloadMultiple   = 4    // work in a window above this multiple of the current capacity overloads a zone that warms up

	stepTimeout  = time.Second          // after which a step that has not started counts as timed out
	failureDelay = 5 * time.Millisecond // after which the node learns that a step failed
)

// zoneState models a zone's workers.
type zoneState struct {
	simulation      *simulation
	slots           float64
	crashed         bool
	erroring        bool
	isSlow          bool
	failingFraction float64
	warmingSince    time.Duration // when the workers began to warm up; 0: they are warm
	// Work accepted in the last windowIntervals load intervals, as a ring buffer.
	recentWork   [windowIntervals]float64
	lastInterval int64
	overloaded   bool
}

// warmCapacity returns the fraction of full capacity that the zone's workers have while they warm up; 1 when warm.
func (z *zoneState) warmCapacity() float64 {
	scenario := z.simulation.scenario
	if age := z.simulation.now - z.warmingSince; z.warmingSince > 0 && age < scenario.WarmupTime {
		return scenario.InitialCapacity + (1-scenario.InitialCapacity)*float64(age)/float64(scenario.WarmupTime)
	}
	return 1
}

// addStep records a step and returns the load of the last second as a fraction of the current capacity.
func (z *zoneState) addStep() float64 {
	now := int64(z.simulation.now / loadInterval)
	for ; z.lastInterval < now; z.lastInterval++ {
		z.recentWork[(z.lastInterval+1)%windowIntervals] = 0
	}
	z.recentWork[now%windowIntervals] += workPerStep
	second, all := 0.0, 0.0
	for i := range int64(windowIntervals) {
		all += z.recentWork[i]
		if i < intervalsPerSecond {
			second += z.recentWork[((now-i)%windowIntervals+windowIntervals)%windowIntervals]
		}
	}
	const windowSeconds = windowIntervals / intervalsPerSecond
	if warm := z.warmCapacity(); warm < 1 && all > overloadMultiple*warm*z.slots*windowSeconds && !z.overloaded {
		z.overloaded = true
		z.simulation.result.Overloads++
	}
	return second / (z.slots * z.warmCapacity())
}

// stepOutcome returns the outcome of a step sent to a zone and the delay until the node learns of it.
func (s *simulation) stepOutcome(node *nodeProcess, zone string) (health.StepCounts, time.Duration) {
	state := s.zoneStates[zone]
	latency := time.Duration(50+s.rng.IntN(200)) * time.Millisecond
	timedOut := health.StepCounts{TimedOut: 1}
	workers := &process{zone: zone, name: "prep"}
	switch {
	case s.network.isBlocked(node.process, workers) || s.network.isBlocked(workers, node.process):
		return timedOut, stepTimeout
	case state.crashed:
		return timedOut, stepTimeout
	case state.erroring:
		if s.rng.IntN(2) == 0 {
			return health.StepCounts{Failed: 1}, failureDelay
		}
		return timedOut, stepTimeout
	case s.rng.Float64() < state.failingFraction:
		return health.StepCounts{Failed: 1}, failureDelay
	}
	load := state.addStep()
	switch {
	case load > 1 && s.rng.Float64() > 1/load:
		// Above capacity, some steps time out and others are late.
		if s.rng.IntN(2) == 0 {
			return timedOut, stepTimeout
		}
		return health.StepCounts{Succeeded: 1, Late: 1}, stepTimeout
	case state.isSlow && s.rng.IntN(2) == 0:
		return health.StepCounts{Succeeded: 1, Late: 1}, 4 * latency
	}
	return health.StepCounts{Succeeded: 1}, latency
}
