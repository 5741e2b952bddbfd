package selection

import (
	"time"

	"ospreybend/internal/util/stats"
)

const (
	calmTaken    = 0.5  // part of the slots under which nothing is refused
	calmWaiting  = 1.   // requests waiting at each worker under which nothing is refused
	urgentLeeway = 0.75 // part of its slack that the most urgent request may wait
	leastLeeway  = 0.5  // the same for the least urgent
	refuseAll    = 1.4  // times the bound at which all are refused; fewer below, down to none at the bound
	mostRefused  = 0.95 // part that is refused at most: with no answers, nothing would be learned
	deadlinePart = 0.9  // part of the time to its deadline that a request's first event must be predicted in
	lateSlackOf  = 0.1  // part of its objective that a request may wait once it is late anyway
	leastRetry   = 100 * time.Millisecond
	longestRetry = 1500 * time.Millisecond
	rankLife     = 30 * time.Second // for which a priority counts after its last request
	priorities   = 16
	soloMemory   = 64. // requests over which a route's mean is taken
)

// crowd is how busy a service is.
type crowd struct{ taken, slots, waiting, workers float64 }

func (c *crowd) add(of class, l load, slots float64) {
	c.taken += l.taken()
	c.slots += slots
	c.workers++
	if of == classPlain {
		c.waiting += max(0, l.taken()-slots)
		return
	}
	c.waiting += l.waiting
}

// calm tells whether a refusal could help nobody.
func (c *crowd) calm() bool {
	return c.taken < calmTaken*c.slots && c.waiting < calmWaiting*c.workers
}

// admission is what refusing depends on besides the load.
type admission struct {
	solo map[string]*stats.Mean    // by route: first event of its requests if none waits, in seconds
	seen [priorities]time.Duration // last request of a priority, plus 1; 0: none
}

// note takes in a request and returns what its route's first events take if none waits.
func (a *admission) note(now time.Duration, r *Request, alone float64) float64 {
	if a.solo == nil {
		a.solo = map[string]*stats.Mean{}
	}
	a.seen[rankOf(r.Priority)] = now + 1
	mean := stats.Of(a.solo, r.Route)
	usual := mean.Or(alone, 0) // without its own size, which must not decide
	mean.Add(min(alone, usual*oddRatio), soloMemory)
	return usual
}

func rankOf(priority int) int { return min(max(priority, 0), priorities-1) }

// leeway is the part of its slack that a request may wait: less urgent ones are refused first.
func (a *admission) leeway(now time.Duration, priority int) float64 {
	above, all := 0., -1.
	for rank, seen := range a.seen {
		if seen == 0 || now-seen > rankLife {
			continue
		}
		all++
		if rank < rankOf(priority) {
			above++
		}
	}
	if all < 1 {
		return urgentLeeway
	}
	return urgentLeeway - (urgentLeeway-leastLeeway)*above/all
}

// admit decides whether a request is sent. What counts is its wait, and not its size: the largest
// requests of a route are refused no sooner than the others.
func (s *service) admit(now time.Duration, j *job, best option, crowd crowd) Verdict {
	r := j.request
	usual := s.admitted.note(now, r, best.first-best.waits)
	if crowd.calm() {
		return Verdict{Send: true}
	}
	bound := s.longestWait(now, r, usual) * s.admitted.leeway(now, r.Priority)
	if r.Deadline > 0 {
		bound = min(bound, deadlinePart*(r.Deadline-now).Seconds()-usual)
	}
	excess := (best.waits - bound) / max(bound*(refuseAll-1), leastSeconds)
	if s.selector.random.Float64() >= min(excess, mostRefused) {
		return Verdict{Send: true}
	}
	return Verdict{RetryAfter: retryAfter(best.waits - bound)}
}

// longestWait is the wait with which a usual request of the route still meets its objective, in seconds;
// once that cannot be met, a little.
func (s *service) longestWait(now time.Duration, r *Request, usual float64) float64 {
	until := r.Objective
	if until == 0 {
		until = r.Deadline
	}
	if until == 0 {
		return longestRetry.Seconds()
	}
	return max((until-now).Seconds()-usual, lateSlackOf*(until-r.Arrived).Seconds())
}

// retryAfter is when a wait will have gone down by so many seconds, if nothing is added.
func retryAfter(excess float64) time.Duration {
	return min(max(seconds(excess), leastRetry), longestRetry)
}
