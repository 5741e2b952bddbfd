package balance

import (
	"math/rand/v2"
	"time"

	"ospreybend/internal/util/stats"
)

const (
	responseMarginTicks = 3    // the final response is due this many times Resolution before the deadline
	minValue            = 1e-9 // least maxValue, which is divided by: the values of all classes may be 0
)

// attempt is one send of a request to a worker, and what became of it.
type attempt struct {
	worker                          *worker
	workerStarted                   time.Duration // the worker's startedAt as of the send, to detect a restart
	sentAt                          time.Duration
	startedAt                       time.Duration // when the worker reported its start; 0: not yet
	freeSlots                       float64       // the worker's estimated free slots as of the send
	inFlight, cancelled, mayHaveRun bool
}

// request is the state of a client's request.
type request struct {
	Request
	class            *Class
	job              job
	arrived          time.Duration
	attempts         []attempt
	inFlight         int
	finished, queued bool // finished: it has its final response, or the client is gone
	timesQueued      int
	retryAt          time.Duration // when a queued request is placed again
	probingStartedAt time.Duration // when the first probes for the next attempt were sent
	probed           []*worker     // workers probed for the next attempt
	candidates       []*worker     // the only workers to choose from; nil: all
	pendingProbes    int           // probes without a response
	probingDone      bool          // the next attempt needs no further probes
	maxHomeRank      float64       // workers up to this keyRank are homes of its key
}

// Balancer makes one node's decisions. It is not safe for concurrent use, and shares no state with others.
type Balancer struct {
	settings       Settings
	rng            *rand.Rand
	fleet          fleet
	estimator      estimator
	actions        []Action // returned for the event being handled
	timers         map[uint32]func(now time.Duration)
	lastTimerToken uint32

	requests               map[RequestID]*request
	inFlight               int        // attempts in flight, of all requests
	queue, probingRequests []*request // those waiting for a worker and for probes, oldest first
	queueTimerSet          bool
	maxValue               float64      // highest value of a class
	keyShares              stats.Shares // share of the requests by key
	evacuationBudget       float64      // hedges out of failed zones that are allowed now

	// Results of the last call of choose.
	ties            []forecast // the workers that cost about the least
	randomCandidate *worker
	sparseReports   bool // few workers are known to have free slots

	// Load messages to peers.
	broadcastTimerSet      bool
	lastBroadcastAt        time.Duration
	requestsSinceBroadcast float64
	requestRate            stats.Mean // requests per second
}

// New returns a balancer, or its settings' error. The same settings, seed and events give the same actions.
func New(s Settings, seed uint64) (*Balancer, error) {
	if err := s.validate(); err != nil {
		return nil, err
	}
	b := &Balancer{settings: s, rng: rand.New(rand.NewPCG(seed, uint64(s.Ordinal))),
		requests: map[RequestID]*request{}, timers: map[uint32]func(time.Duration){},
		estimator: newEstimator(len(s.Classes)), maxValue: minValue}
	b.fleet = newFleet(&b.settings, b.rng)
	for _, c := range s.Classes {
		b.maxValue = max(b.maxValue, c.Value)
	}
	return b, nil
}

// Handle handles an event and returns the actions to carry out, in order; they are valid until the next call.
func (b *Balancer) Handle(now time.Duration, ev Event) []Action {
	b.actions = b.actions[:0]
	switch ev := ev.(type) {
	case ListUpdate:
		b.handleListUpdate(now, ev)
	case Request:
		b.place(now, b.accept(now, ev))
	case Adopted:
		b.handleAdopted(now, ev)
	case DeadlineShortened:
		if r := b.requests[ev.Request]; r != nil && ev.Deadline < r.Deadline {
			r.Deadline = ev.Deadline
			b.scheduleDeadline(now, r)
		}
	case AttemptDone:
		b.handleAttemptDone(now, ev)
	case AttemptProgress:
		b.handleAttemptProgress(now, ev)
	case StreamStarted:
		if r := b.requests[ev.Request]; r != nil {
			r.finished = true // the client is receiving the response
		}
	case RequestEnded:
		if r := b.requests[ev.Request]; r != nil {
			b.finish(r)
		}
	case TimerFired:
		if callback := b.timers[ev.Token]; callback != nil {
			delete(b.timers, ev.Token)
			callback(now)
		}
	case ZoneShares:
		b.handleZoneShares(now, ev)
	case PeerMessage:
		b.fleet.applyPeerLoad(now, ev.From, ev.Payload)
	case ProbeDone:
		b.handleProbeDone(now, ev)
	}
	return b.actions
}

func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }

// schedule starts a timer that calls back after a delay.
func (b *Balancer) schedule(delay time.Duration, callback func(now time.Duration)) {
	b.lastTimerToken++
	b.timers[b.lastTimerToken] = callback
	b.emit(SetTimer{After: max(delay, 0), Token: b.lastTimerToken})
}

// broadcastLoad sends this balancer's load to all peers if affordable, and schedules the next broadcast.
func (b *Balancer) broadcastLoad(now time.Duration) {
	b.fleet.dropSilentPeers(now)
	if elapsed := now - b.lastBroadcastAt; elapsed > 0 {
		b.requestRate.Add(b.requestsSinceBroadcast/elapsed.Seconds(), maxMessageRate)
	}
	b.requestsSinceBroadcast, b.lastBroadcastAt = 0, now
	message := b.fleet.encodeLoad()
	interval, affordable := b.fleet.messageInterval(len(message), b.requestRate.Blend(0, 0))
	b.schedule(b.fleet.jitter(interval), b.broadcastLoad)
	if affordable {
		b.emit(SendToPeers{To: -1, Payload: message})
	}
}

// handleListUpdate applies a list update, starts the broadcasts, and schedules a subscription if none exists.
func (b *Balancer) handleListUpdate(now time.Duration, update ListUpdate) {
	b.fleet.applyUpdate(now, update)
	if b.settings.Limits.Messages && b.settings.Balancers > 1 && !b.broadcastTimerSet {
		b.broadcastTimerSet, b.lastBroadcastAt = true, now
		b.schedule(b.fleet.jitter(time.Duration(float64(time.Second)/maxMessageRate)), b.broadcastLoad)
	}
	if b.settings.SubscribeDiscovery && !b.fleet.subscribed && !b.fleet.subscribing {
		b.fleet.subscribing = true
		b.schedule(b.fleet.subscribeDelay(), func(time.Duration) {
			b.fleet.subscribeAttempts++
			b.emit(Subscribe{On: true})
		})
	}
}

// accept registers a new request. One of an unknown class fails, and nil is returned.
func (b *Balancer) accept(now time.Duration, incoming Request) *request {
	if incoming.Class < 0 || incoming.Class >= len(b.settings.Classes) {
		b.emit(Fail{Request: incoming.ID})
		return nil
	}
	r := &request{Request: incoming, class: &b.settings.Classes[incoming.Class], arrived: now}
	r.Slots = max(r.Slots, 1)
	b.requestsSinceBroadcast++
	b.evacuationBudget = min(b.evacuationBudget+evacuationPerRequest, maxEvacuationBudget)
	r.job = job{class: incoming.Class, bucket: bucketOf(incoming.Cost, incoming.HasCost), slots: r.Slots}
	if b.settings.QueueOrder == Priority {
		r.job.priority = r.class.Priority
	}
	if incoming.HasCost && incoming.Cost > 0 {
		r.job.size = incoming.Cost.Seconds()
	}
	b.requests[incoming.ID] = r
	b.setMaxHomeRank(r)
	b.fleet.jobSlots.Add(r.Slots, reportSamples)
	b.scheduleDeadline(now, r)
	return r
}

// scheduleDeadline schedules a final response shortly before the request's deadline.
func (b *Balancer) scheduleDeadline(now time.Duration, r *request) {
	respondBy := r.Deadline - responseMarginTicks*b.settings.Resolution
	b.schedule(respondBy-now, func(now time.Duration) { b.rejectOrFail(now, r, 0) })
}

// rejectOrFail enforces rule 1, one final response: a rejection, with retryAfter in seconds, or a failure.
func (b *Balancer) rejectOrFail(now time.Duration, r *request, retryAfter float64) {
	if r.finished {
		return
	}
	if _, mayReject := b.permit(now, r); mayReject {
		b.emit(Reject{Request: r.ID, RetryAfter: max(0, time.Duration(retryAfter*float64(time.Second)))})
	} else {
		b.emit(Fail{Request: r.ID})
	}
	b.finish(r)
}

// finish marks a request as finished and cancels its attempts.
func (b *Balancer) finish(r *request) {
	r.finished = true
	b.cancelAttempts(r, true)
	b.release(r)
}

// cancelAttempts cancels a request's attempts in flight: those that have not started, or all.
func (b *Balancer) cancelAttempts(r *request, includeStarted bool) {
	b.endProbing(r)
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.inFlight && !a.cancelled && b.settings.Limits.Cancel && (includeStarted || a.startedAt == 0) {
			a.cancelled = true
			b.emit(Cancel{Request: r.ID, Attempt: i})
		}
	}
}

// release removes a finished request once none of its attempts is in flight.
func (b *Balancer) release(r *request) {
	if r.finished && r.inFlight == 0 {
		delete(b.requests, r.ID)
	}
}
