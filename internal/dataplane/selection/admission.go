package selection

import (
	"time"

	"ospreybend/internal/util/stats"
)

const (
	lowLoadSlotShare    = 0.5  // share of the slots in use below which every request is admitted
	lowLoadQueueLength  = 1.   // requests waiting at each worker below which every request is admitted
	maxSlackShare       = 0.75 // share of its slack that a request of the highest priority may wait
	minSlackShare       = 0.5  // the same for the lowest priority
	rejectAllRatio      = 1.4  // multiple of the longest wait at which all are rejected; rising from none at 1
	maxRejectShare      = 0.95 // share that is rejected at most: without any responses nothing would be learned
	deadlineShare       = 0.9  // share of the time to the deadline within which the first event must be predicted
	lateWaitShare       = 0.1  // share of its latency target that a request may wait once it misses it anyway
	minRetryAfter       = 100 * time.Millisecond
	maxRetryAfter       = 1500 * time.Millisecond
	priorityTTL         = 30 * time.Second // for which a priority counts as in use after its last request
	priorityLevels      = 16
	unloadedTimeSamples = 64. // requests of a route after which its mean forgets
)

// serviceLoad is the load of a service, summed over the workers that a request may be sent to.
type serviceLoad struct{ inUse, slots, waiting, workers float64 }

// add adds the load of a worker of that class.
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

// low reports whether rejecting a request could not help any other.
func (l *serviceLoad) low() bool {
	return l.inUse < lowLoadSlotShare*l.slots && l.waiting < lowLoadQueueLength*l.workers
}

// admission is what load shedding depends on besides the load.
type admission struct {
	unloadedByRoute map[string]*stats.Mean        // seconds to the first event of a route's requests without a queue
	lastSeen        [priorityLevels]time.Duration // instant of the last request of a priority, plus 1; 0: none
}

// observe records a request and returns the seconds to the first event that are typical of its route
// without a queue.
func (a *admission) observe(now time.Duration, request *Request, unloaded float64) float64 {
	if a.unloadedByRoute == nil {
		a.unloadedByRoute = map[string]*stats.Mean{}
	}
	a.lastSeen[priorityLevel(request.Priority)] = now + 1
	mean := stats.Of(a.unloadedByRoute, request.Route)
	typical := mean.Or(unloaded, 0) // before its own size is added, which must not decide
	mean.Add(min(unloaded, typical*maxOutlierRatio), unloadedTimeSamples)
	return typical
}

// priorityLevel returns the level that a priority counts at.
func priorityLevel(priority int) int { return min(max(priority, 0), priorityLevels-1) }

// slackShare returns the share of its slack that a request may wait. It falls with the priority's rank
// among those in use, so that lower priorities are rejected first.
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

// admit decides whether a request is sent. It compares the predicted queue wait with the longest one
// that is acceptable; the request's own size does not count, so that the largest requests of a route are
// rejected no sooner than the others.
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

// maxWait returns the seconds of queue wait with which a typical request of the route still meets its
// latency target; once that is impossible, a small share of the target.
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

// retryAfter returns when a queue wait will have fallen by that many seconds, if nothing is added.
func retryAfter(excess float64) time.Duration {
	return min(max(seconds(excess), minRetryAfter), maxRetryAfter)
}
