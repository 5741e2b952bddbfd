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
	sampleLifetime         = 15 * time.Second // of delay samples: about as long as faults last
	jitterFraction         = 0.25             // keeps expiries and messages from coinciding
	failureDecayTime       = 10 * time.Second // time constant of the decay of past failures
	failurePriorOutcomes   = 3.0              // weight, in outcomes, of the fleet's failure rate for a worker
	minFailureRate         = 0.002            // failure rate assumed for any worker
	reportSamples          = 64.0             // bound on the weight of the mean free slots, in reports
	warmupBudgetFraction   = 0.4              // of the overload multiple, for all balancers together
	maxJobBudgetFraction   = 0.2              // of the budget for OverloadTime, for a single job
	subscribeSpreadDivisor = 4                // first subscriptions spread over SubscribeWithin divided by this
	fullSpreadBalancers    = 50               // from this number of balancers on, subscriptions spread fully
	resubscribeDelay       = time.Second      // mean delay after a failed subscription
	listStaleAfter         = 3 * time.Second  // the list may be 2.6 s old when its updates stop; 6 s are allowed
	reportTolerance        = 0.5              // error of a load report, in slots or jobs
)

// worker is what this balancer knows of a worker.
type worker struct {
	id               WorkerID
	zone, kind, cell int
	state            State
	rejectsProbes    bool // it rejected a probe within probeRejectionBackoff
	startedAt        time.Duration
	delays           delaySamples

	hasReport    bool
	reportedAt   time.Duration // of the last load report
	reportedFree float64       // by load reports; the slots of this balancer's jobs in flight count as free
	maxFree      float64       // most free slots ever reported

	inFlightSlots  float64             // slots of this balancer's jobs in flight
	failureRates   []stats.FailureRate // of all classes, then of each class
	lastSeenAt     time.Duration       // when it last started or answered such a job, or a probe; 0: never
	peerSlots      float64             // slots of the peers' jobs in flight, by their messages
	warmupTokens   float64             // warm-up budget left, in slot-seconds; negative if overdrawn
	warmupTokensAt time.Duration
}

// fleet is the list of workers with the state of each, and the load of the peers.
type fleet struct {
	settings     *Settings
	rng          *rand.Rand
	workers      []*worker
	byID         map[WorkerID]*worker
	kindFree     map[int]float64     // by kind: most free slots ever reported
	meanFree     map[int]*stats.Mean // by kind: reported free slots minus those that queued jobs need
	jobSlots     stats.Mean          // slots of a job
	peers        map[int]*peerLoad
	freshPeers   int                 // peers with a recent message
	workerByTag  map[uint16]*worker  // see workerTag
	failureRates []stats.FailureRate // as in worker, over the whole fleet
	zoneShares   []float64           // by zone number; a zone beyond the end has share 1

	subscribed, subscribing bool
	subscribeAttempts       int
	listConfirmedAt         time.Duration // when the list was last confirmed
}

func newFleet(s *Settings, rng *rand.Rand) fleet {
	return fleet{rng: rng, byID: map[WorkerID]*worker{}, peers: map[int]*peerLoad{}, kindFree: map[int]float64{},
		settings: s, meanFree: map[int]*stats.Mean{}, failureRates: make([]stats.FailureRate, 1+len(s.Classes))}
}

// applyUpdate applies a list update.
func (f *fleet) applyUpdate(now time.Duration, update ListUpdate) {
	if f.subscribed || update.Kind != ListFailed {
		f.listConfirmedAt = now
	}
	if update.Kind == ListFailed {
		f.subscribed, f.subscribing, f.subscribeAttempts = false, false, max(f.subscribeAttempts, 1)
		return
	}
	if update.Kind != ListCached {
		f.subscribed, f.subscribing, f.subscribeAttempts = f.subscribed || f.subscribing, false, 1
	}
	if update.Kind != ListChanges {
		for _, w := range f.workers {
			w.state = Gone // until its listing is applied below
		}
	}
	for _, l := range update.Workers {
		f.applyListing(now, l)
	}
	maps.DeleteFunc(f.byID, func(_ WorkerID, w *worker) bool { return w.state == Gone })
	f.workers = slices.DeleteFunc(f.workers, func(w *worker) bool { return w.state == Gone })
	f.workerByTag = make(map[uint16]*worker, len(f.workers))
	for _, w := range f.workers {
		f.workerByTag[workerTag(w.id)] = w
	}
}

// applyListing adds or updates a worker.
func (f *fleet) applyListing(now time.Duration, listing WorkerListing) {
	w := f.byID[listing.Worker]
	if w == nil {
		w = f.newWorker(now, listing.Worker)
		f.byID[listing.Worker], f.workers = w, append(f.workers, w)
	} else if w.startedAt != listing.Started {
		w.delays.reset() // it restarted: its samples are no longer valid
		w.hasReport, w.warmupTokens, w.lastSeenAt, w.rejectsProbes = false, 0, 0, false
		clear(w.failureRates)
	}
	w.zone, w.kind, w.cell = listing.Zone, listing.Kind, listing.Cell
	w.state, w.startedAt = listing.State, listing.Started
	if w.warmupTokens == 0 {
		// All balancers learn of a start at the same time. A random overdraft spreads their first jobs.
		w.warmupTokens, w.warmupTokensAt = -f.rng.Float64(), now
	}
}

func (f *fleet) newWorker(now time.Duration, id WorkerID) *worker {
	w := &worker{id: id, warmupTokensAt: now, failureRates: make([]stats.FailureRate, len(f.failureRates))}
	w.delays.sampleLifetime = f.jitter(sampleLifetime)
	w.delays.reset()
	return w
}

// jitter varies a duration at random, so that balancers do not act at the same time.
func (f *fleet) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + jitterFraction*(2*f.rng.Float64()-1)))
}

// subscribeDelay returns the delay until the next call that subscribes to the worker list.
func (f *fleet) subscribeDelay() time.Duration {
	// A change must be known 6 s after the discovery service is reachable again, however many calls failed: a
	// lost call takes 2.4 s, the next call follows within 1.5 s, and its response may take 2 s.
	spread := min(1, float64(f.settings.Balancers)/fullSpreadBalancers)
	switch f.subscribeAttempts {
	case 0:
		maxDelay := min(f.settings.Rules.SubscribeWithin/subscribeSpreadDivisor, 3*resubscribeDelay)
		return time.Duration(f.rng.Float64() * spread * float64(maxDelay))
	case 1: // the first retry, or a subscription that ended
		return time.Duration(f.rng.Float64() * spread * float64(resubscribeDelay*3/2))
	}
	return time.Duration((0.5 + f.rng.Float64()) * float64(resubscribeDelay))
}

// isReady enforces rule 3: only workers listed as ready get requests.
func (f *fleet) isReady(w *worker) bool { return w.state == Ready && !w.rejectsProbes }

// listStale reports whether the list has not been confirmed for so long that probes are more up to date.
func (f *fleet) listStale(now time.Duration) bool {
	return f.settings.SubscribeDiscovery && !f.subscribed && now-f.listConfirmedAt > listStaleAfter
}

// capacityFraction returns the least fraction of its full capacity that a worker has by now.
func (f *fleet) capacityFraction(now time.Duration, w *worker) float64 {
	rules, age := f.settings.Rules, now-w.startedAt
	if w.startedAt == 0 || age >= rules.WarmupTime || rules.WarmupTime == 0 {
		return 1
	}
	return rules.InitialCapacity + (1-rules.InitialCapacity)*max(0, float64(age))/float64(rules.WarmupTime)
}

// withinWarmupBudget enforces rule 4: a warming-up worker gets no more slot-seconds than its budget allows.
func (f *fleet) withinWarmupBudget(now time.Duration, w *worker, work float64) bool {
	rules, capacity := f.settings.Rules, f.capacityFraction(now, w)
	if capacity >= 1 {
		return true
	}
	f.refillWarmupBudget(now, w, capacity)
	budget := rules.OverloadMultiple * capacity * f.slotsOf(w) * rules.OverloadTime.Seconds()
	return w.warmupTokens > 0 && work <= maxJobBudgetFraction*budget
}

// refillWarmupBudget adds this balancer's share of the worker's budget for the time since the last call.
func (f *fleet) refillWarmupBudget(now time.Duration, w *worker, capacity float64) {
	rules, slots := f.settings.Rules, f.slotsOf(w)
	rate := warmupBudgetFraction * rules.OverloadMultiple * capacity * slots / float64(f.settings.Balancers)
	w.warmupTokens = min(w.warmupTokens+rate*(now-w.warmupTokensAt).Seconds(), rate*rules.OverloadTime.Seconds())
	w.warmupTokensAt = now
}

// spendWarmupBudget charges a send, also one rejected later, to the budget of a warming-up worker.
func (f *fleet) spendWarmupBudget(now time.Duration, w *worker, work float64) {
	if capacity := f.capacityFraction(now, w); capacity < 1 {
		f.refillWarmupBudget(now, w, capacity)
		w.warmupTokens -= work
	}
}

// slotsOf estimates the slots of a worker by the most free slots that were ever reported of it or its kind.
func (f *fleet) slotsOf(w *worker) float64 { return max(1, w.maxFree, f.kindFree[w.kind]) }

// recordReport records a worker's load report.
func (f *fleet) recordReport(now time.Duration, w *worker, values []float32) {
	fields := f.settings.parseReport(values)
	free, ok := fields[FieldFreeSlots]
	if !ok {
		return
	}
	w.maxFree = max(w.maxFree, math.Round(free))
	f.kindFree[w.kind] = max(f.kindFree[w.kind], w.maxFree)
	free -= f.queuedSlots(w, free, fields)
	stats.Ensure(f.meanFree, w.kind).Add(free, reportSamples)
	if free += w.inFlightSlots; w.hasReport {
		free = (free + w.reportedFree) / 2
	}
	w.hasReport, w.reportedAt, w.reportedFree = true, now, free
}

// queuedSlots returns the slots that queued jobs need, to subtract: reported free slots are never negative.
func (f *fleet) queuedSlots(w *worker, free float64, fields map[ReportField]float64) float64 {
	slotsPerJob := f.jobSlots.Blend(1, 1)
	if backlog, ok := fields[FieldBacklog]; ok {
		if backlog > reportTolerance && f.settings.QueueOrder == FIFO {
			return max(0, free) + backlog*slotsPerJob // the first job in the queue needs more than the free slots
		}
		return backlog * slotsPerJob
	}
	return max(0, fields[FieldOutstanding]*slotsPerJob-(f.slotsOf(w)-free)) // 0 if the field is missing
}

// freeSlots estimates the slots free now. The last report decays towards the mean of the worker's kind, with
// the mean run time as time constant. Messages from most peers replace any report, as they are more recent.
func (f *fleet) freeSlots(now time.Duration, w *worker, meanRun float64) float64 {
	if peers := f.settings.Balancers - 1; f.freshPeers*2 > peers && peers > 0 {
		return f.slotsOf(w) - w.inFlightSlots - w.peerSlots*float64(peers)/float64(f.freshPeers)
	}
	mean := stats.Ensure(f.meanFree, w.kind).Blend(f.slotsOf(w), 1)
	if !w.hasReport {
		return mean - w.inFlightSlots
	}
	weight := math.Exp(-(now - w.reportedAt).Seconds() / max(meanRun, 0.001))
	return mean + (w.reportedFree-mean)*weight - w.inFlightSlots
}

// recordFull records that a worker rejected a job as full: whatever it last reported, no slot is free.
func (f *fleet) recordFull(now time.Duration, w *worker, meanRun float64) {
	free := min(0, f.freeSlots(now, w, meanRun))
	w.hasReport, w.reportedAt, w.reportedFree = true, now, free+w.inFlightSlots
}

// recordResult records a result for all classes and for the request's class, as some faults affect only one.
func (f *fleet) recordResult(now time.Duration, w *worker, class int, failed bool) {
	for _, rates := range [][]stats.FailureRate{w.failureRates, f.failureRates} {
		rates[0].Add(now, failureDecayTime, failed)
		rates[1+class].Add(now, failureDecayTime, failed)
	}
}

// failureProbability estimates the probability that a request of a class fails at a worker. The failure rate
// of the fleet is the prior, so that a failure of all workers does not make one look worse than another.
func (f *fleet) failureProbability(now time.Duration, w *worker, class int) (probability float64) {
	for _, i := range [2]int{0, 1 + class} {
		ofFleet, ofWorker := &f.failureRates[i], &w.failureRates[i]
		prior := max(minFailureRate, ofFleet.Probability(ofFleet.At, failureDecayTime, 0, failurePriorOutcomes))
		probability = max(probability, ofWorker.Probability(now, failureDecayTime, prior, failurePriorOutcomes))
	}
	return probability
}
