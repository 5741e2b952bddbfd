package simulation

import (
	"time"

	"ospreybend/internal/node/zones/health"
)

const workPerStep = 0.25 // slot-seconds

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
	recentWork [30]float64
	lastTenth  int64
	overloaded bool
}

// warmCapacity returns the fraction of their capacity that the zone's workers have.
func (z *zoneState) warmCapacity() float64 {
	d := z.simulation.scenario
	if age := z.simulation.now - z.warmingSince; z.warmingSince > 0 && age < d.WarmupTime {
		return d.InitialCapacity + (1-d.InitialCapacity)*float64(age)/float64(d.WarmupTime)
	}
	return 1
}

// addStep adds a step and returns the load of the last second as a fraction of capacity.
func (z *zoneState) addStep() float64 {
	n := int64(z.simulation.now / tenth)
	for ; z.lastTenth < n; z.lastTenth++ {
		z.recentWork[(z.lastTenth+1)%30] = 0
	}
	z.recentWork[n%30] += workPerStep
	second, all := 0.0, 0.0
	for i := range int64(30) {
		all += z.recentWork[i]
		if i < 10 {
			second += z.recentWork[((n-i)%30+30)%30]
		}
	}
	// Workers that warm up fail under work of three seconds over four times their capacity.
	if warm := z.warmCapacity(); warm < 1 && all > 4*warm*z.slots*3 && !z.overloaded {
		z.overloaded = true
		z.simulation.result.Overloads++
	}
	return second / (z.slots * z.warmCapacity())
}

// stepOutcome returns the outcome of a step to a zone, and after what time it shows.
func (s *simulation) stepOutcome(node *nodeProcess, zone string) (health.StepCounts, time.Duration) {
	z := s.zoneStates[zone]
	quick := time.Duration(50+s.rng.IntN(200)) * time.Millisecond
	silent := health.StepCounts{TimedOut: 1}
	workers := &process{zone: zone, name: "prep"}
	switch {
	case s.network.isBlocked(node.process, workers) || s.network.isBlocked(workers, node.process):
		return silent, time.Second
	case z.crashed:
		return silent, time.Second
	case z.erroring:
		if s.rng.IntN(2) == 0 {
			return health.StepCounts{Failed: 1}, 5 * time.Millisecond
		}
		return silent, time.Second
	case s.rng.Float64() < z.failingFraction:
		return health.StepCounts{Failed: 1}, 5 * time.Millisecond
	}
	load := z.addStep()
	switch {
	case load > 1 && s.rng.Float64() > 1/load:
		// Past its capacity some steps time out, others are late.
		if s.rng.IntN(2) == 0 {
			return silent, time.Second
		}
		return health.StepCounts{Succeeded: 1, Late: 1}, time.Second
	case z.isSlow && s.rng.IntN(2) == 0:
		return health.StepCounts{Succeeded: 1, Late: 1}, 4 * quick
	}
	return health.StepCounts{Succeeded: 1}, quick
}
