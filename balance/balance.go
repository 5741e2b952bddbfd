// The decisions on a request. The interface is in api.go.

package balance

import (
	"math/rand/v2"
	"time"

	"ospreybend/internal/util/stats"
)

const (
	answerTicks = 3    // event rounds kept between the final answer and the deadline
	leastWorth  = 1e-9 // of the class worth most, where none is worth anything
)

// attempt is one send of a request.
type attempt struct {
	worker         *worker
	started        time.Duration // start time of the worker's process at the send
	sentAt         time.Duration
	runningAt      time.Duration // when its start was noted; 0: not yet
	free           float64       // free slots estimated at the send
	out, cancelled bool
	mayHave        bool // it may have run
}

// request is a client's request and its attempts.
type request struct {
	Request
	class         *Class
	job           job
	arrived       time.Duration
	attempts      []attempt
	out           int
	over, holding bool
	looks         int           // times it was held
	lookAt        time.Duration // when to look for a worker again
	scoutAt       time.Duration // when probes were first sent for it
	asked         []*worker     // by those
	among         []*worker     // the only ones to choose from; nil: all
	silent        int           // of those asked: not answered yet
	scouted       bool          // that is over
	homes         float64       // how far down its key's order the homes go
}

// Balancer makes one dispatcher's decisions. It is not safe for concurrent use, and shares nothing.
type Balancer struct {
	settings        Settings
	rng             *rand.Rand
	fleet           fleet
	est             estimator
	requests        map[RequestID]*request
	timers          map[uint32]func(now time.Duration)
	token           uint32
	actions         []Action
	ties            []forecast
	out             int        // attempts out, of all requests
	held, scouting  []*request // waiting for a worker or for probes' answers, oldest first
	waking, telling bool       // the timers for held requests and for messages to peers are set
	asked           float64    // requests since the last message
	toldAt          time.Duration
	rate            stats.Mean // requests a second
	stray           *worker    // a worker at random of those that the last choice was from
	topWorth        float64    // of a class
	thin            bool       // too few workers are known to choose by; since the last choice
	keys            stats.Shares
	moves           float64 // copies that the budget for moving out of failed zones allows now
}

// New starts a dispatcher. The same seed and events give the same actions.
func New(s Settings, seed uint64) (*Balancer, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	b := &Balancer{settings: s, rng: rand.New(rand.NewPCG(seed, uint64(s.Ordinal))),
		requests: map[RequestID]*request{}, timers: map[uint32]func(time.Duration){},
		est: newEstimator(len(s.Classes)), topWorth: leastWorth}
	b.fleet = newFleet(&b.settings, b.rng)
	for _, c := range s.Classes {
		b.topWorth = max(b.topWorth, c.Worth)
	}
	return b, nil
}

// Handle takes in one event and returns what is to be done, in order; valid until the next call.
func (b *Balancer) Handle(now time.Duration, ev Event) []Action {
	b.actions = b.actions[:0]
	switch ev := ev.(type) {
	case ListUpdate:
		b.listUpdate(now, ev)
	case Request:
		b.place(now, b.admit(now, ev))
	case Adopted:
		b.adopt(now, ev)
	case Shortened:
		if r := b.requests[ev.Request]; r != nil && ev.Deadline < r.Deadline {
			r.Deadline = ev.Deadline
			b.limit(now, r)
		}
	case AttemptDone:
		b.attemptDone(now, ev)
	case AttemptNews:
		b.attemptNews(now, ev)
	case StreamStarted:
		if r := b.requests[ev.Request]; r != nil {
			r.over = true // the attempt belongs to the client now
		}
	case RequestGone:
		if r := b.requests[ev.Request]; r != nil {
			b.end(r)
		}
	case TimerFired:
		if due := b.timers[ev.Token]; due != nil {
			delete(b.timers, ev.Token)
			due(now)
		}
	case ZoneShares:
		b.zoneShares(now, ev)
	case PeerMessage:
		b.fleet.hear(now, ev.From, ev.Payload)
	case ProbeDone:
		b.probed(now, ev)
	}
	return b.actions
}

func (b *Balancer) do(a Action) { b.actions = append(b.actions, a) }

func (b *Balancer) after(span time.Duration, due func(now time.Duration)) {
	b.token++
	b.timers[b.token] = due
	b.do(SetTimer{After: max(span, 0), Token: b.token})
}

// tellPeers says what is out to all peers, as often as its price allows.
func (b *Balancer) tellPeers(now time.Duration) {
	b.fleet.dropSilent(now)
	if span := now - b.toldAt; span > 0 {
		b.rate.Add(b.asked/span.Seconds(), tellMost)
	}
	b.asked, b.toldAt = 0, now
	message := b.fleet.tell()
	every, worth := b.fleet.tellEvery(len(message), b.rate.Or(0, 0))
	b.after(b.fleet.spread(every), b.tellPeers)
	if worth {
		b.do(Tell{To: -1, Payload: message})
	}
}

func (b *Balancer) listUpdate(now time.Duration, up ListUpdate) {
	b.fleet.apply(now, up)
	if b.settings.Limits.Messages && b.settings.Balancers > 1 && !b.telling {
		b.telling, b.toldAt = true, now
		b.after(b.fleet.spread(time.Duration(float64(time.Second)/tellMost)), b.tellPeers)
	}
	if b.settings.AskDiscovery && !b.fleet.subscribed && !b.fleet.asking {
		b.fleet.asking = true
		b.after(b.fleet.nextAsk(), func(time.Duration) {
			b.fleet.askTries++
			b.do(Subscribe{On: true})
		})
	}
}

func (b *Balancer) admit(now time.Duration, in Request) *request {
	if in.Class < 0 || in.Class >= len(b.settings.Classes) {
		b.do(Fail{Request: in.ID})
		return nil
	}
	r := &request{Request: in, class: &b.settings.Classes[in.Class], arrived: now}
	r.Slots = max(r.Slots, 1)
	b.asked++
	b.moves = min(b.moves+movePart, moveMost)
	r.job = job{class: in.Class, bucket: bucketOf(in.Cost, in.HasCost), slots: r.Slots}
	if b.settings.QueueOrder == Priority {
		r.job.level = r.class.Priority
	}
	if in.HasCost && in.Cost > 0 {
		r.job.size = in.Cost.Seconds()
	}
	b.requests[in.ID] = r
	b.settle(r)
	b.fleet.jobSlots.Add(r.Slots, reportMemory)
	b.limit(now, r)
	return r
}

// limit has the request given up shortly before its deadline.
func (b *Balancer) limit(now time.Duration, r *request) {
	last := r.Deadline - answerTicks*b.settings.Resolution
	b.after(last-now, func(now time.Duration) { b.giveUp(now, r, 0) })
}

// giveUp is the one gate of rule 1: the final answer, once, with the seconds after which to return.
func (b *Balancer) giveUp(now time.Duration, r *request, wait float64) {
	if r.over {
		return
	}
	if _, mayRefuse := b.permit(now, r); mayRefuse {
		b.do(Refuse{Request: r.ID, RetryAfter: max(0, time.Duration(wait*float64(time.Second)))})
	} else {
		b.do(Fail{Request: r.ID})
	}
	b.end(r)
}

// end marks a request over and calls off what is still out.
func (b *Balancer) end(r *request) {
	r.over = true
	b.callOff(r, true)
	b.forget(r)
}

// callOff calls off what is out, all of it or what has not started.
func (b *Balancer) callOff(r *request, started bool) {
	b.endScout(r)
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.out && !a.cancelled && b.settings.Limits.Cancel && (started || a.runningAt == 0) {
			a.cancelled = true
			b.do(Cancel{Request: r.ID, Attempt: i})
		}
	}
}

// forget drops a request that is over with nothing out.
func (b *Balancer) forget(r *request) {
	if r.over && r.out == 0 {
		delete(b.requests, r.ID)
	}
}
