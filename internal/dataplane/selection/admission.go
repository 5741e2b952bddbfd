package selection

import (
	"time"

	"ospreybend/internal/util/stats"
)

const (
	lowLoadSlotShare    = 0.5  // the load is low, and every request admitted, only with a smaller share of the slots in use than this
	lowLoadQueueLength  = 1.   // and only with fewer waiting requests per worker than this
	maxSlackShare       = 0.75 // share of its slack that a request of the highest priority may wait
	minSlackShare       = 0.5  // the same for the lowest priority
	rejectAllRatio      = 1.4  // multiple of the acceptable wait at which all requests are rejected; the share rises linearly from 0 at a ratio of 1
	maxRejectShare      = 0.95 // upper bound on the share of rejected requests: predictions need some responses to learn from
	deadlineShare       = 0.9  // share of the time to the deadline within which the first event must be predicted
	lateWaitShare       = 0.1  // share of its latency target that a request may wait if it cannot meet the target any more
	minRetryAfter       = 100 * time.Millisecond
	maxRetryAfter       = 1500 * time.Millisecond
	priorityTTL         = 30 * time.Second // a priority counts as in use for this long after its last request
	priorityLevels      = 16
	unloadedTimeSamples = 64. // requests over which the mean of a route is averaged
)

// serviceLoad is the load of a service, summed over the workers that are eligible for a request.
type serviceLoad struct{ inUse, slots, waiting, workers float64 }

// add adds the load of a worker of the given class. On a plain worker, requests beyond its slots count as
// waiting.
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

// low reports whether the load is so low that rejecting a request would not speed up any other.
func (l *serviceLoad) low() bool {
	return l.inUse < lowLoadSlotShare*l.slots && l.waiting < lowLoadQueueLength*l.workers
}

// admission is the state of load shedding, except for the load itself.
type admission struct {
	unloadedByRoute map[string]*stats.Mean        // predicted seconds to the first event without queue wait, by route
	lastSeen        [priorityLevels]time.Duration // instant of the last request of each priority, plus 1 ns; 0: none
}

// recordRequest records a request, whose first event is predicted after unloaded seconds without queue wait. It
// returns the mean of these seconds over the earlier requests of the route.
func (a *admission) recordRequest(now time.Duration, request *Request, unloaded float64) float64 {
	if a.unloadedByRoute == nil {
		a.unloadedByRoute = map[string]*stats.Mean{}
	}
	a.lastSeen[priorityLevel(request.Priority)] = now + 1
	mean := stats.Ensure(a.unloadedByRoute, request.Route)
	typicalUnloaded := typicalUnloadedTime(mean, unloaded) // without this request, whose own size must not matter
	mean.Add(min(unloaded, typicalUnloaded*maxOutlierRatio), unloadedTimeSamples)
	return typicalUnloaded
}

// typicalUnloaded returns the mean that recordRequest would return, and records nothing.
func (a *admission) typicalUnloaded(request *Request, unloaded float64) float64 {
	mean := a.unloadedByRoute[request.Route]
	if mean == nil {
		return unloaded
	}
	return typicalUnloadedTime(mean, unloaded)
}

// typicalUnloadedTime returns the mean of a route, or that of the request itself if it is the first one.
func typicalUnloadedTime(mean *stats.Mean, unloaded float64) float64 { return mean.Blend(unloaded, 0) }

// priorityLevel clamps a priority to the range that is tracked.
func priorityLevel(priority int) int { return min(max(priority, 0), priorityLevels-1) }

// slackShare returns the share of its slack that a request may wait. It decreases with the rank of its
// priority among those in use, so that requests of lower priorities are rejected first.
func (a *admission) slackShare(now time.Duration, priority int) float64 {
	higherPriorities, otherPriorities := 0., -1.
	for level, seen := range a.lastSeen {
		if seen == 0 || now-seen > priorityTTL {
			continue
		}
		otherPriorities++
		if level < priorityLevel(priority) {
			higherPriorities++
		}
	}
	if otherPriorities < 1 {
		return maxSlackShare
	}
	return maxSlackShare - (maxSlackShare-minSlackShare)*higherPriorities/otherPriorities
}

// admit decides whether a request is sent. The probability of a rejection depends on how far the predicted
// queue wait exceeds the longest acceptable one. The request's own size has no influence, so that large
// requests of a route are not rejected more often than small ones.
func (s *service) admit(now time.Duration, info *requestInfo, best placement, load serviceLoad) AdmissionDecision {
	typicalUnloaded := s.admission.recordRequest(now, info.request, best.firstEvent-best.queueWait)
	return s.drawAdmission(now, info.request, best, load, typicalUnloaded)
}

// drawAdmission makes the decision of admit. typicalUnloaded is the time of a typical request of the route until its first event, in
// seconds without queue wait.
func (s *service) drawAdmission(now time.Duration, request *Request, best placement, load serviceLoad, typicalUnloaded float64) AdmissionDecision {
	if load.low() {
		return AdmissionDecision{Admit: true}
	}
	maxWait := s.maxWait(now, request, typicalUnloaded) * s.admission.slackShare(now, request.Priority)
	if request.Deadline > 0 {
		maxWait = min(maxWait, deadlineShare*(request.Deadline-now).Seconds()-typicalUnloaded)
	}
	excess := (best.queueWait - maxWait) / max(maxWait*(rejectAllRatio-1), minSeconds)
	if s.selector.random.Float64() >= min(excess, maxRejectShare) {
		return AdmissionDecision{Admit: true}
	}
	return AdmissionDecision{RetryAfter: retryAfter(best.queueWait - maxWait)}
}

// maxWait returns the seconds of queue wait with which a typical request of the route still meets its
// latency target, or a small share of the target if that is larger. TypicalUnloaded is the route's time to
// the first event without queue wait.
func (s *service) maxWait(now time.Duration, request *Request, typicalUnloaded float64) float64 {
	target := request.Objective
	if target == 0 {
		target = request.Deadline
	}
	if target == 0 {
		return maxRetryAfter.Seconds()
	}
	return max((target-now).Seconds()-typicalUnloaded, lateWaitShare*(target-request.Arrived).Seconds())
}

// retryAfter returns the time in which a queue wait falls by excess seconds if no work is added, within
// bounds.
func retryAfter(excess float64) time.Duration {
	return min(max(seconds(excess), minRetryAfter), maxRetryAfter)
}
