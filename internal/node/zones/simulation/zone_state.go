package simulation

import (
	"time"

	"ospreybend/internal/node/zones/health"
)

const (
	workPerStep      = 0.25 // slot-seconds
	windowTenths     = 30   // tenths of a second for which work is remembered
	tenthsPerSecond  = 10
	overloadMultiple = 4 // work in a window past this multiple of the present capacity overloads a zone that warms up

	stepTimeout  = time.Second          // after which a step without a start counts as timed out
	failureDelay = 5 * time.Millisecond // after which a failed step shows
)

// zoneState is the state of a zone's workers.
type zoneState struct {
	simulation      *simulation
	slots           float64
	crashed         bool
	erroring        bool
	isSlow          bool
	failingFraction float64
	warmingSince    time.Duration // since when its workers warm up; 0: they are warm
	// Work taken in the last three seconds, by tenth of a second.
	recentWork [windowTenths]float64
	lastTenth  int64
	overloaded bool
}

// warmCapacity returns the fraction of their capacity that the zone's workers have.
func (z *zoneState) warmCapacity() float64 {
	scenario := z.simulation.scenario
	if age := z.simulation.now - z.warmingSince; z.warmingSince > 0 && age < scenario.WarmupTime {
		return scenario.InitialCapacity + (1-scenario.InitialCapacity)*float64(age)/float64(scenario.WarmupTime)
	}
	return 1
}

// addStep adds a step and returns the load of the last second as a fraction of capacity.
func (z *zoneState) addStep() float64 {
	now := int64(z.simulation.now / tenth)
	for ; z.lastTenth < now; z.lastTenth++ {
		z.recentWork[(z.lastTenth+1)%windowTenths] = 0
	}
	z.recentWork[now%windowTenths] += workPerStep
	second, all := 0.0, 0.0
	for i := range int64(windowTenths) {
		all += z.recentWork[i]
		if i < tenthsPerSecond {
			second += z.recentWork[((now-i)%windowTenths+windowTenths)%windowTenths]
		}
	}
	const windowSeconds = windowTenths / tenthsPerSecond
	if warm := z.warmCapacity(); warm < 1 && all > overloadMultiple*warm*z.slots*windowSeconds && !z.overloaded {
		z.overloaded = true
		z.simulation.result.Overloads++
	}
	return second / (z.slots * z.warmCapacity())
}

// stepOutcome returns the outcome of a step to a zone, and after what time it shows.
func (s *simulation) stepOutcome(node *nodeProcess, zone string) (health.StepCounts, time.Duration) {
	state := s.zoneStates[zone]
	quick := time.Duration(50+s.rng.IntN(200)) * time.Millisecond
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
		// Past its capacity some steps time out, others are late.
		if s.rng.IntN(2) == 0 {
			return timedOut, stepTimeout
		}
		return health.StepCounts{Succeeded: 1, Late: 1}, stepTimeout
	case state.isSlow && s.rng.IntN(2) == 0:
		return health.StepCounts{Succeeded: 1, Late: 1}, 4 * quick
	}
	return health.StepCounts{Succeeded: 1}, quick
}
