package balance

import (
	"math/rand/v2"
	"time"

	"ospreybend/internal/util/stats"
)

const (
	answerMarginTicks = 3    // event rounds between the final answer and the deadline
	minValue          = 1e-9 // of the class of the highest value, if all are 0
)

// attempt is one send of a request to a worker.
type attempt struct {
	worker              *worker
	workerStarted       time.Duration // start of the worker's process, as of the send
	sentAt              time.Duration
	startedAt           time.Duration // when its start was reported; 0: not yet
	freeSlots           float64       // free slots estimated at the send
	inFlight, cancelled bool
	mayHaveRun          bool
}

// request is a client's request and its attempts.
type request struct {
	Request
	class        *Class
	job          job
	arrived      time.Duration
	attempts     []attempt
	inFlight     int
	over, queued bool
	queueRounds  int           // times it was queued
	retryAt      time.Duration // when to place it again
	probedAt     time.Duration // when probes were first sent for it
	probed       []*worker     // workers probed for it
	candidates   []*worker     // the only ones to choose from; nil: all
	unanswered   int           // probes without an answer
	probingDone  bool          // no further probes for this attempt
	homeRange    float64       // how far down its key's order the homes go
}

// Balancer makes one dispatcher's decisions. It is not safe for concurrent use, and shares nothing.
type Balancer struct {
	settings  Settings
	rng       *rand.Rand
	fleet     fleet
	estimator estimator
	actions   []Action // of the event being handled
	timers    map[uint32]func(now time.Duration)
	lastToken uint32

	requests         map[RequestID]*request
	inFlight         int        // attempts of all requests
	queue, probing   []*request // waiting for a worker or for probes, oldest first
	wakeScheduled    bool       // the queue's timer is set
	maxValue         float64    // of all classes
	keyShares        stats.Shares
	evacuationBudget float64 // hedges out of failed zones allowed now

	// The last choice of a worker.
	ties            []forecast
	randomCandidate *worker
	sparseReports   bool // too few fresh reports

	// Messages to peers.
	broadcasting bool // their timer is set
	broadcastAt  time.Duration
	newRequests  float64    // requests since the last message
	requestRate  stats.Mean // per second
}

// New returns a dispatcher, or the settings' error. The same seed and events give the same actions.
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

// Handle handles one event and returns the actions, in order; they are valid until the next call.
func (b *Balancer) Handle(now time.Duration, ev Event) []Action {
	b.actions = b.actions[:0]
	switch ev := ev.(type) {
	case ListUpdate:
		b.listUpdate(now, ev)
	case Request:
		b.place(now, b.accept(now, ev))
	case Adopted:
		b.adopt(now, ev)
	case DeadlineShortened:
		if r := b.requests[ev.Request]; r != nil && ev.Deadline < r.Deadline {
			r.Deadline = ev.Deadline
			b.scheduleDeadline(now, r)
		}
	case AttemptDone:
		b.attemptDone(now, ev)
	case AttemptProgress:
		b.attemptProgress(now, ev)
	case StreamStarted:
		if r := b.requests[ev.Request]; r != nil {
			r.over = true // the answer goes to the client now
		}
	case RequestEnded:
		if r := b.requests[ev.Request]; r != nil {
			b.finish(r)
		}
	case TimerFired:
		if due := b.timers[ev.Token]; due != nil {
			delete(b.timers, ev.Token)
			due(now)
		}
	case ZoneShares:
		b.zoneShares(now, ev)
	case PeerMessage:
		b.fleet.applyPeerLoad(now, ev.From, ev.Payload)
	case ProbeDone:
		b.probeDone(now, ev)
	}
	return b.actions
}

func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }

func (b *Balancer) schedule(span time.Duration, due func(now time.Duration)) {
	b.lastToken++
	b.timers[b.lastToken] = due
	b.emit(SetTimer{After: max(span, 0), Token: b.lastToken})
}

// broadcastLoad sends the own load to all peers, as often as the message price allows.
func (b *Balancer) broadcastLoad(now time.Duration) {
	b.fleet.dropSilentPeers(now)
	if span := now - b.broadcastAt; span > 0 {
		b.requestRate.Add(b.newRequests/span.Seconds(), maxMessageRate)
	}
	b.newRequests, b.broadcastAt = 0, now
	message := b.fleet.encodeLoad()
	every, worthwhile := b.fleet.messageInterval(len(message), b.requestRate.Or(0, 0))
	b.schedule(b.fleet.jitter(every), b.broadcastLoad)
	if worthwhile {
		b.emit(SendToPeers{To: -1, Payload: message})
	}
}

func (b *Balancer) listUpdate(now time.Duration, up ListUpdate) {
	b.fleet.applyUpdate(now, up)
	if b.settings.Limits.Messages && b.settings.Balancers > 1 && !b.broadcasting {
		b.broadcasting, b.broadcastAt = true, now
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

func (b *Balancer) accept(now time.Duration, incoming Request) *request {
	if incoming.Class < 0 || incoming.Class >= len(b.settings.Classes) {
		b.emit(Fail{Request: incoming.ID})
		return nil
	}
	r := &request{Request: incoming, class: &b.settings.Classes[incoming.Class], arrived: now}
	r.Slots = max(r.Slots, 1)
	b.newRequests++
	b.evacuationBudget = min(b.evacuationBudget+evacuationPerRequest, maxEvacuationBudget)
	r.job = job{class: incoming.Class, bucket: bucketOf(incoming.Cost, incoming.HasCost), slots: r.Slots}
	if b.settings.QueueOrder == Priority {
		r.job.priority = r.class.Priority
	}
	if incoming.HasCost && incoming.Cost > 0 {
		r.job.size = incoming.Cost.Seconds()
	}
	b.requests[incoming.ID] = r
	b.assignHomes(r)
	b.fleet.jobSlots.Add(r.Slots, reportSamples)
	b.scheduleDeadline(now, r)
	return r
}

// scheduleDeadline schedules the final answer shortly before the request's deadline.
func (b *Balancer) scheduleDeadline(now time.Duration, r *request) {
	last := r.Deadline - answerMarginTicks*b.settings.Resolution
	b.schedule(last-now, func(now time.Duration) { b.rejectOrFail(now, r, 0) })
}

// rejectOrFail enforces rule 1: one final answer, a rejection with retry advice (seconds) or a failure.
func (b *Balancer) rejectOrFail(now time.Duration, r *request, wait float64) {
	if r.over {
		return
	}
	if _, mayRefuse := b.permit(now, r); mayRefuse {
		b.emit(Reject{Request: r.ID, RetryAfter: max(0, time.Duration(wait*float64(time.Second)))})
	} else {
		b.emit(Fail{Request: r.ID})
	}
	b.finish(r)
}

// finish marks a request over and cancels its attempts.
func (b *Balancer) finish(r *request) {
	r.over = true
	b.cancelAttempts(r, true)
	b.release(r)
}

// cancelAttempts cancels the attempts in flight, all or those that have not started.
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

// release drops a request that is over and has nothing in flight.
func (b *Balancer) release(r *request) {
	if r.over && r.inFlight == 0 {
		delete(b.requests, r.ID)
	}
}
