package balance

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"ospreybend/internal/util/stats"
)

const (
	sampleLifetime        = 15 * time.Second // of delay samples: about as long as faults last
	jitterFraction        = 0.25             // so that expiries and messages do not coincide
	healthDecay           = 10 * time.Second // time constant of the decay of past failures
	healthPrior           = 3.0              // weight, in outcomes, of the fleet's failure rate at a worker
	minFailureRate        = 0.002            // failure rate assumed anywhere
	reportSamples         = 64.0             // memory of the mean free slots, in reports
	warmupBudgetFraction  = 0.4              // of the overload multiple, for all dispatchers together
	maxJobBudgetFraction  = 0.2              // of a window's budget, for one job
	subscribeSpread       = 4                // first subscriptions spread over SubscribeWithin over this
	fullSpreadDispatchers = 50               // dispatchers that need the full spread
	resubscribeDelay      = time.Second      // mean delay after a failed subscription
	staleAfter            = 3 * time.Second  // without the list, which may be 2.6 s old by then; 6 s are allowed
	halfSlot              = 0.5              // error of a report, in slots or jobs
)

// worker is one listed worker as this dispatcher knows it.
type worker struct {
	id               WorkerID
	zone, kind, cell int
	state            State
	refusing         bool // it rejected a probe
	startedAt        time.Duration
	profile          profile

	// The last report, without this dispatcher's own jobs.
	reported     bool
	reportedAt   time.Duration
	reportedFree float64
	maxFree      float64 // most free slots ever reported

	inFlightSlots  float64             // slots of own jobs in flight
	health         []stats.FailureRate // over all classes, then by class
	lastSeenAt     time.Duration       // when it last started or answered an own job; 0: never
	peerSlots      float64             // slots of peers' jobs here, by their messages
	warmupTokens   float64             // warm-up budget left, slot-seconds; may be overdrawn
	warmupTokensAt time.Duration
}

// fleet is the worker list and the state of each worker.
type fleet struct {
	settings   *Settings
	rng        *rand.Rand
	workers    []*worker
	byID       map[WorkerID]*worker
	kindFree   map[int]float64     // by kind: most free slots ever reported
	meanFree   map[int]*stats.Mean // by kind: reported free slots less those that queues want
	jobSlots   stats.Mean          // slots of a job
	peers      map[int]*peerLoad
	freshPeers int // peers with a recent message
	byTag      map[uint16]*worker
	health     []stats.FailureRate // over the fleet: as in worker
	shares     []float64           // by zone number; a zone without one has all

	subscribed, subscribing bool
	subscribeAttempts       int
	listedAt                time.Duration // when the list was last confirmed
}

func newFleet(s *Settings, rng *rand.Rand) fleet {
	return fleet{settings: s, rng: rng, byID: map[WorkerID]*worker{}, kindFree: map[int]float64{},
		meanFree: map[int]*stats.Mean{}, health: make([]stats.FailureRate, 1+len(s.Classes)),
		peers: map[int]*peerLoad{}}
}

// applyUpdate applies a list update.
func (f *fleet) applyUpdate(now time.Duration, up ListUpdate) {
	if f.subscribed || up.Kind != ListFailed {
		f.listedAt = now
	}
	if up.Kind == ListFailed {
		f.subscribed, f.subscribing, f.subscribeAttempts = false, false, max(f.subscribeAttempts, 1)
		return
	}
	if up.Kind != ListCached {
		f.subscribed, f.subscribing, f.subscribeAttempts = f.subscribed || f.subscribing, false, 1
	}
	if up.Kind != ListChanges {
		for _, w := range f.workers {
			w.state = Gone // unless it is listed below
		}
	}
	for _, l := range up.Workers {
		f.applyListing(now, l)
	}
	maps.DeleteFunc(f.byID, func(_ WorkerID, w *worker) bool { return w.state == Gone })
	f.workers = slices.DeleteFunc(f.workers, func(w *worker) bool { return w.state == Gone })
	f.byTag = make(map[uint16]*worker, len(f.workers))
	for _, w := range f.workers {
		f.byTag[workerTag(w.id)] = w
	}
}

func (f *fleet) applyListing(now time.Duration, l WorkerListing) {
	w := f.byID[l.Worker]
	if w == nil {
		w = f.newWorker(now, l.Worker)
		f.byID[l.Worker] = w
		f.workers = append(f.workers, w)
	} else if w.startedAt != l.Started {
		w.profile.reset() // it restarted: its samples are void
		w.reported, w.warmupTokens, w.lastSeenAt, w.refusing = false, 0, 0, false
		clear(w.health)
	}
	w.zone, w.kind, w.cell, w.state, w.startedAt = l.Zone, l.Kind, l.Cell, l.State, l.Started
	if w.warmupTokens == 0 {
		// All dispatchers learn of a start together: a random overdraft spreads their first jobs.
		w.warmupTokens, w.warmupTokensAt = -f.rng.Float64(), now
	}
}

func (f *fleet) newWorker(now time.Duration, id WorkerID) *worker {
	w := &worker{id: id, warmupTokensAt: now, health: make([]stats.FailureRate, len(f.health))}
	w.profile.sampleLifetime = f.jitter(sampleLifetime)
	w.profile.reset()
	return w
}

// jitter varies a duration at random, so that dispatchers do not act in step.
func (f *fleet) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + jitterFraction*(2*f.rng.Float64()-1)))
}

// subscribeDelay returns the time until the next subscription.
func (f *fleet) subscribeDelay() time.Duration {
	// A change must be known 6 s after the service is reachable again, however often calls failed: a lost call
	// takes 2.4 s, the next follows within 1.5 s, and its answer may take 2 s.
	spread := min(1, float64(f.settings.Balancers)/fullSpreadDispatchers)
	switch f.subscribeAttempts {
	case 0:
		most := min(f.settings.Rules.SubscribeWithin/subscribeSpread, 3*resubscribeDelay)
		return time.Duration(f.rng.Float64() * spread * float64(most))
	case 1: // the first that failed
		return time.Duration(f.rng.Float64() * spread * float64(resubscribeDelay*3/2))
	}
	return time.Duration((halfSlot + f.rng.Float64()) * float64(resubscribeDelay))
}

// isReady enforces rule 3: only workers listed as ready get requests.
func (f *fleet) isReady(w *worker) bool { return w.state == Ready && !w.refusing }

// listStale reports whether the list is unconfirmed, so that a probe's answer is newer.
func (f *fleet) listStale(now time.Duration) bool {
	return f.settings.SubscribeDiscovery && !f.subscribed && now-f.listedAt > staleAfter
}

// warmCapacity returns the fraction of its capacity that a worker has at least.
func (f *fleet) warmCapacity(now time.Duration, w *worker) float64 {
	rules := f.settings.Rules
	age := now - w.startedAt
	if w.startedAt == 0 || age >= rules.WarmupTime || rules.WarmupTime == 0 {
		return 1
	}
	return rules.InitialCapacity + (1-rules.InitialCapacity)*max(0, float64(age))/float64(rules.WarmupTime)
}

// withinWarmupBudget enforces rule 4: a warming-up worker gets no more than this dispatcher's budget.
func (f *fleet) withinWarmupBudget(now time.Duration, w *worker, cost float64) bool {
	rules, part := f.settings.Rules, f.warmCapacity(now, w)
	if part >= 1 {
		return true
	}
	f.refill(now, w, part)
	budget := rules.OverloadMultiple * part * f.slotsOf(w) * rules.OverloadTime.Seconds()
	return w.warmupTokens > 0 && cost <= maxJobBudgetFraction*budget
}

// refill adds a warming-up worker's budget for the time since the last call.
func (f *fleet) refill(now time.Duration, w *worker, part float64) {
	rules := f.settings.Rules
	rate := warmupBudgetFraction * rules.OverloadMultiple * part * f.slotsOf(w) / float64(f.settings.Balancers)
	w.warmupTokens = min(w.warmupTokens+rate*(now-w.warmupTokensAt).Seconds(), rate*rules.OverloadTime.Seconds())
	w.warmupTokensAt = now
}

// spendWarmupBudget charges a send. Rejected sends count, too.
func (f *fleet) spendWarmupBudget(now time.Duration, w *worker, cost float64) {
	if part := f.warmCapacity(now, w); part < 1 {
		f.refill(now, w, part)
		w.warmupTokens -= cost
	}
}

// slotsOf returns a worker's slots, as far as reports have shown.
func (f *fleet) slotsOf(w *worker) float64 {
	return max(1, w.maxFree, f.kindFree[w.kind])
}

// recordReport records a worker's load report.
func (f *fleet) recordReport(now time.Duration, w *worker, values []float32) {
	seen := f.settings.parseReport(values)
	free, ok := seen[FieldFreeSlots]
	if !ok {
		return
	}
	w.maxFree = max(w.maxFree, math.Round(free))
	f.kindFree[w.kind] = max(f.kindFree[w.kind], w.maxFree)
	free -= f.queuedSlots(w, free, seen)
	stats.Of(f.meanFree, w.kind).Add(free, reportSamples)
	free += w.inFlightSlots
	if w.reported {
		free = (free + w.reportedFree) / 2
	}
	w.reported, w.reportedAt, w.reportedFree = true, now, free
}

// queuedSlots returns the slots that a worker's queued jobs want: reported free slots are never negative.
func (f *fleet) queuedSlots(w *worker, free float64, seen map[ReportField]float64) float64 {
	each := f.jobSlots.Or(1, 1)
	if waiting, ok := seen[FieldBacklog]; ok {
		if waiting > halfSlot && f.settings.QueueOrder == FIFO {
			return max(0, free) + waiting*each // the queue's head waits for more than what is free
		}
		return waiting * each
	}
	return max(0, seen[FieldOutstanding]*each-(f.slotsOf(w)-free)) // 0 without that field
}

// freeSlots estimates the slots free now: a report decays towards the mean of the worker's kind within the
// mean run time. Messages of most peers are fresher than any report.
func (f *fleet) freeSlots(now time.Duration, w *worker, meanRun float64) float64 {
	if peers := f.settings.Balancers - 1; f.freshPeers*2 > peers && peers > 0 {
		return f.slotsOf(w) - w.inFlightSlots - w.peerSlots*float64(peers)/float64(f.freshPeers)
	}
	mean := stats.Of(f.meanFree, w.kind).Or(f.slotsOf(w), 1)
	if !w.reported {
		return mean - w.inFlightSlots
	}
	weight := math.Exp(-(now - w.reportedAt).Seconds() / max(meanRun, 0.001))
	return mean + (w.reportedFree-mean)*weight - w.inFlightSlots
}

// recordFull records a rejection: whatever the worker last reported, no slot is free.
func (f *fleet) recordFull(now time.Duration, w *worker, meanRun float64) {
	free := min(0, f.freeSlots(now, w, meanRun))
	w.reported, w.reportedAt, w.reportedFree = true, now, free+w.inFlightSlots
}

// recordHealth records an outcome, over all classes and for its own: some faults hit one class alone.
func (f *fleet) recordHealth(now time.Duration, w *worker, class int, failed bool) {
	for _, of := range [][]stats.FailureRate{w.health, f.health} {
		of[0].Add(now, healthDecay, failed)
		of[1+class].Add(now, healthDecay, failed)
	}
}

// failureProbability estimates the probability of a failure at a worker, relative to the fleet's.
func (f *fleet) failureProbability(now time.Duration, w *worker, class int) (chance float64) {
	for _, at := range [2]int{0, 1 + class} {
		prior := max(minFailureRate, f.health[at].Probability(f.health[at].At, healthDecay, 0, healthPrior))
		chance = max(chance, w.health[at].Probability(now, healthDecay, prior, healthPrior))
	}
	return chance
}
