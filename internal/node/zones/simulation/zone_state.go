package simulation

import (
	"time"

	"ospreybend/internal/node/zones/health"
)

const workEach = 0.25 // slot-seconds of a step

// zoneState is how a zone fares.
type zoneState struct {
	w       *world
	slots   float64
	dead    bool
	broken  bool
	slow    bool
	partBad float64
	cold    time.Duration // since when its prep workers come up; 0: warm
	// Steps taken lately, by tenth of a second.
	taken [30]float64
	at    int64
	fell  bool
}

// warm is the part of their capacity that its prep workers have.
func (z *zoneState) warm() float64 {
	d := z.w.day
	if age := z.w.now - z.cold; z.cold > 0 && age < d.Cold {
		return d.ColdFrom + (1-d.ColdFrom)*float64(age)/float64(d.Cold)
	}
	return 1
}

// take books a step and tells the load of the last second as a part of capacity.
func (z *zoneState) take() float64 {
	n := int64(z.w.now / (100 * time.Millisecond))
	for ; z.at < n; z.at++ {
		z.taken[(z.at+1)%30] = 0
	}
	z.taken[n%30] += workEach
	second, all := 0.0, 0.0
	for i := range int64(30) {
		all += z.taken[i]
		if i < 10 {
			second += z.taken[((n-i)%30+30)%30]
		}
	}
	// The rule on cold prep workers, with the figures of the workshop's site: work of three
	// seconds over four times what they can do fells them.
	if warm := z.warm(); warm < 1 && all > 4*warm*z.slots*3 && !z.fell {
		z.fell = true
		z.w.result.Felled++
	}
	return second / (z.slots * z.warm())
}

// outcome is what becomes of a step to a zone, and when that shows.
func (w *world) outcome(n *nodeProcess, zone string) (health.Count, time.Duration) {
	z := w.state[zone]
	quick := time.Duration(50+w.rng.IntN(200)) * time.Millisecond
	silent := health.Count{Silent: 1}
	there := &process{zone: zone, name: "prep"}
	switch {
	case w.net.broken(n.p, there) || w.net.broken(there, n.p):
		return silent, time.Second
	case z.dead:
		return silent, time.Second
	case z.broken:
		if w.rng.IntN(2) == 0 {
			return health.Count{Broken: 1}, 5 * time.Millisecond
		}
		return silent, time.Second
	case w.rng.Float64() < z.partBad:
		return health.Count{Broken: 1}, 5 * time.Millisecond
	}
	load := z.take()
	switch {
	case load > 1 && w.rng.Float64() > 1/load:
		// Past its capacity a part waits in vain, another is late.
		if w.rng.IntN(2) == 0 {
			return silent, time.Second
		}
		return health.Count{Good: 1, Late: 1}, time.Second
	case z.slow && w.rng.IntN(2) == 0:
		return health.Count{Good: 1, Late: 1}, 4 * quick
	}
	return health.Count{Good: 1}, quick
}
