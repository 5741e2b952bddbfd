package selection

import (
	"time"

	"ospreybend/internal/util/stats"
)

const (
	lowLoadSlotShare    = 0.5  // part of the slots under which nothing is refused
	lowLoadQueueLength  = 1.   // requests waiting at each worker under which nothing is refused
	maxSlackShare       = 0.75 // part of its slack that the most urgent request may wait
	minSlackShare       = 0.5  // the same for the least urgent
	rejectAllRatio      = 1.4  // times the bound at which all are refused; fewer below, down to none at the bound
	maxRejectShare      = 0.95 // part that is refused at most: with no answers, nothing would be learned
	deadlineShare       = 0.9  // part of the time to its deadline that a request's first event must be predicted in
	lateWaitShare       = 0.1  // part of its objective that a request may wait once it is late anyway
	minRetryAfter       = 100 * time.Millisecond
	maxRetryAfter       = 1500 * time.Millisecond
	priorityTTL         = 30 * time.Second // for which a priority counts after its last request
	priorityLevels      = 16
	unloadedTimeSamples = 64. // requests over which a route's mean is taken
)

// serviceLoad is how busy a service is.
type serviceLoad struct{ inUse, slots, waiting, workers float64 }

func (l *serviceLoad) add(of workerClass, load workerLoad, slots float64) {
	l.inUse += load.total()
	l.slots += slots
	l.workers++
	if of == classPlain {
		l.waiting += max(0, load.total()-slots)
		return
	}
	l.waiting += load.waiting
}

// low tells whether a refusal could help nobody.
func (l *serviceLoad) low() bool {
	return l.inUse < lowLoadSlotShare*l.slots && l.waiting < lowLoadQueueLength*l.workers
}

// admission is what refusing depends on besides the load.
type admission struct {
	unloadedByRoute map[string]*stats.Mean        // by route: first event of its requests if none waits, in seconds
	lastSeen        [priorityLevels]time.Duration // last request of a priority, plus 1; 0: none
}

// observe takes in a request and returns what its route's first events take if none waits.
func (a *admission) observe(now time.Duration, request *Request, unloaded float64) float64 {
	if a.unloadedByRoute == nil {
		a.unloadedByRoute = map[string]*stats.Mean{}
	}
	a.lastSeen[priorityLevel(request.Priority)] = now + 1
	mean := stats.Of(a.unloadedByRoute, request.Route)
	typical := mean.Or(unloaded, 0) // without its own size, which must not decide
	mean.Add(min(unloaded, typical*maxOutlierRatio), unloadedTimeSamples)
	return typical
}

func priorityLevel(priority int) int { return min(max(priority, 0), priorityLevels-1) }

// slackShare is the part of its slack that a request may wait: less urgent ones are refused first.
func (a *admission) slackShare(now time.Duration, priority int) float64 {
	moreUrgent, others := 0., -1.
	for level, seen := range a.lastSeen {
		if seen == 0 || now-seen > priorityTTL {
			continue
		}
		others++
		if level < priorityLevel(priority) {
			moreUrgent++
		}
	}
	if others < 1 {
		return maxSlackShare
	}
	return maxSlackShare - (maxSlackShare-minSlackShare)*moreUrgent/others
}

// admit decides whether a request is sent. What counts is its wait, and not its size: the largest
// requests of a route are refused no sooner than the others.
func (s *service) admit(now time.Duration, info *requestInfo, best placement, load serviceLoad) Verdict {
	request := info.request
	typical := s.admission.observe(now, request, best.firstEvent-best.queueWait)
	if load.low() {
		return Verdict{Admit: true}
	}
	maxWait := s.maxWait(now, request, typical) * s.admission.slackShare(now, request.Priority)
	if request.Deadline > 0 {
		maxWait = min(maxWait, deadlineShare*(request.Deadline-now).Seconds()-typical)
	}
	excess := (best.queueWait - maxWait) / max(maxWait*(rejectAllRatio-1), minSeconds)
	if s.selector.random.Float64() >= min(excess, maxRejectShare) {
		return Verdict{Admit: true}
	}
	return Verdict{RetryAfter: retryAfter(best.queueWait - maxWait)}
}

// maxWait is the wait with which a usual request of the route still meets its objective, in seconds;
// once that cannot be met, a little.
func (s *service) maxWait(now time.Duration, request *Request, typical float64) float64 {
	target := request.Objective
	if target == 0 {
		target = request.Deadline
	}
	if target == 0 {
		return maxRetryAfter.Seconds()
	}
	return max((target-now).Seconds()-typical, lateWaitShare*(target-request.Arrived).Seconds())
}

// retryAfter is when a wait will have gone down by so many seconds, if nothing is added.
func retryAfter(excess float64) time.Duration {
	return min(max(seconds(excess), minRetryAfter), maxRetryAfter)
}
