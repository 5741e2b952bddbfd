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
	sampleLifetime        = 15 * time.Second // samples expire after it; troubles seen last about as long
	jitterFraction        = 0.25             // part by which lifetimes differ, so that resets do not crowd
	healthDecay           = 10 * time.Second // time constant with which past failures are forgiven
	healthPrior           = 3.0              // outcomes that the fleet's failure rate counts for at a worker
	minFailureRate        = 0.002            // failure rate taken for granted anywhere
	reportSamples         = 64.0             // reports after which the mean free slots forget
	warmupBudgetFraction  = 0.4              // part of the fall multiple that all dispatchers together aim at
	maxJobBudgetFraction  = 0.2              // largest part of a window's budget that one job may take
	subscribeSpread       = 4                // first subscriptions spread over AskWithin divided by this
	fullSpreadDispatchers = 50               // dispatchers that need the whole of that spread
	resubscribeDelay      = time.Second      // mean wait after a failed subscription
	staleAfter            = 3 * time.Second  // without the list; it had been silent for up to 2.6 s before, of 6 s
	halfSlot              = 0.5              // slots or jobs by which a report, which is noisy, may be off
)

// worker is one listed worker as this dispatcher knows it.
type worker struct {
	id               WorkerID
	zone, kind, cell int
	state            State
	refusing         bool // it wants nothing new, by its own word
	startedAt        time.Duration
	profile          profile

	// The last report, with this dispatcher's own jobs taken out.
	reported     bool
	reportedAt   time.Duration
	reportedFree float64
	maxFree      float64 // most free slots ever reported

	inFlightSlots  float64             // slots of own jobs out
	health         []stats.FailureRate // over all classes, then of each
	lastSeenAt     time.Duration       // when it last started or answered an own job; 0: not since its start
	peerSlots      float64             // slots that peers say their jobs hold here
	warmupTokens   float64             // cold budget left, slot-seconds; negative: overdrawn
	warmupTokensAt time.Duration
}

// fleet is the worker list and what is known of each worker.
type fleet struct {
	settings   *Settings
	rng        *rand.Rand
	workers    []*worker
	byID       map[WorkerID]*worker
	kindFree   map[int]float64     // by kind: most free slots ever reported
	meanFree   map[int]*stats.Mean // by kind: free slots in reports, less those that the queue waits for
	jobSlots   stats.Mean          // slots a job takes
	peers      map[int]*peerLoad
	freshPeers int // peers heard of lately
	byTag      map[uint16]*worker
	health     []stats.FailureRate // the same over the fleet
	shares     []float64           // what each zone takes, by its number; none: all

	subscribed, subscribing bool
	subscribeAttempts       int
	listedAt                time.Duration // when the list was last known to be the service's
}

func newFleet(s *Settings, rng *rand.Rand) fleet {
	return fleet{settings: s, rng: rng, byID: map[WorkerID]*worker{}, kindFree: map[int]float64{},
		meanFree: map[int]*stats.Mean{}, health: make([]stats.FailureRate, 1+len(s.Classes)),
		peers: map[int]*peerLoad{}}
}

// applyUpdate takes in news of the list.
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
			w.state = Gone // unless the list names it
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
		w.profile.reset() // a restart under the same name is cold, and its old fits are void
		w.reported, w.warmupTokens, w.lastSeenAt, w.refusing = false, 0, 0, false
		clear(w.health)
	}
	w.zone, w.kind, w.cell, w.state, w.startedAt = l.Zone, l.Kind, l.Cell, l.State, l.Started
	if w.warmupTokens == 0 {
		// All learn of a start together: a random overdraft keeps their first jobs apart.
		w.warmupTokens, w.warmupTokensAt = -f.rng.Float64(), now
	}
}

func (f *fleet) newWorker(now time.Duration, id WorkerID) *worker {
	w := &worker{id: id, warmupTokensAt: now, health: make([]stats.FailureRate, len(f.health))}
	w.profile.sampleLifetime = f.jitter(sampleLifetime)
	w.profile.reset()
	return w
}

// jitter varies a span at random, so that instances do not act in step.
func (f *fleet) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + jitterFraction*(2*f.rng.Float64()-1)))
}

// subscribeDelay tells when to subscribe next, from now.
func (f *fleet) subscribeDelay() time.Duration {
	// A change counts as told 6 s after the service can be reached, however often calls have failed: one that
	// is lost takes 2.4 s, the next follows within 1.5 s, and the service may take 2 s to answer that.
	crowd := min(1, float64(f.settings.Balancers)/fullSpreadDispatchers)
	switch f.subscribeAttempts {
	case 0:
		most := min(f.settings.Rules.SubscribeWithin/subscribeSpread, 3*resubscribeDelay)
		return time.Duration(f.rng.Float64() * crowd * float64(most))
	case 1: // the first that failed
		return time.Duration(f.rng.Float64() * crowd * float64(resubscribeDelay*3/2))
	}
	return time.Duration((halfSlot + f.rng.Float64()) * float64(resubscribeDelay))
}

// isReady is the one gate of rule 3: only workers that the list holds ready.
func (f *fleet) isReady(w *worker) bool { return w.state == Ready && !w.refusing }

// listStale tells whether the list cannot be vouched for: what a worker says of itself is newer.
func (f *fleet) listStale(now time.Duration) bool {
	return f.settings.SubscribeDiscovery && !f.subscribed && now-f.listedAt > staleAfter
}

// warmCapacity gives the part of its capacity that the worker has at least.
func (f *fleet) warmCapacity(now time.Duration, w *worker) float64 {
	rules := f.settings.Rules
	age := now - w.startedAt
	if w.startedAt == 0 || age >= rules.WarmupTime || rules.WarmupTime == 0 {
		return 1
	}
	return rules.InitialCapacity + (1-rules.InitialCapacity)*max(0, float64(age))/float64(rules.WarmupTime)
}

// withinWarmupBudget is the one gate of rule 4: what goes to a cold worker is within this dispatcher's share.
func (f *fleet) withinWarmupBudget(now time.Duration, w *worker, cost float64) bool {
	rules, part := f.settings.Rules, f.warmCapacity(now, w)
	if part >= 1 {
		return true
	}
	f.refill(now, w, part)
	budget := rules.OverloadMultiple * part * f.slotsOf(w) * rules.OverloadTime.Seconds()
	return w.warmupTokens > 0 && cost <= maxJobBudgetFraction*budget
}

// refill earns a cold worker's budget for the time since the last look.
func (f *fleet) refill(now time.Duration, w *worker, part float64) {
	rules := f.settings.Rules
	rate := warmupBudgetFraction * rules.OverloadMultiple * part * f.slotsOf(w) / float64(f.settings.Balancers)
	w.warmupTokens = min(w.warmupTokens+rate*(now-w.warmupTokensAt).Seconds(), rate*rules.OverloadTime.Seconds())
	w.warmupTokensAt = now
}

// spendWarmupBudget books a send; refusals by the worker count too, so nothing is given back.
func (f *fleet) spendWarmupBudget(now time.Duration, w *worker, cost float64) {
	if part := f.warmCapacity(now, w); part < 1 {
		f.refill(now, w, part)
		w.warmupTokens -= cost
	}
}

// slotsOf gives the slots a worker has, as far as reports have shown.
func (f *fleet) slotsOf(w *worker) float64 {
	return max(1, w.maxFree, f.kindFree[w.kind])
}

// recordReport takes in a worker's load report.
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

// queuedSlots gives the slots that a worker's waiting jobs want, as reported free slots end at none.
func (f *fleet) queuedSlots(w *worker, free float64, seen map[ReportField]float64) float64 {
	each := f.jobSlots.Or(1, 1)
	if waiting, ok := seen[FieldBacklog]; ok {
		if waiting > halfSlot && f.settings.QueueOrder == FIFO {
			return max(0, free) + waiting*each // none is free to who comes now: the head waits for more
		}
		return waiting * each
	}
	return max(0, seen[FieldOutstanding]*each-(f.slotsOf(w)-free)) // none where that is not told
}

// freeSlots estimates the slots free now: the report ages towards the mean of its kind in the
// time a job runs. Where peers tell what they have out, that is fresher than any report.
func (f *fleet) freeSlots(now time.Duration, w *worker, turnover float64) float64 {
	if peers := f.settings.Balancers - 1; f.freshPeers*2 > peers && peers > 0 {
		return f.slotsOf(w) - w.inFlightSlots - w.peerSlots*float64(peers)/float64(f.freshPeers)
	}
	mean := stats.Of(f.meanFree, w.kind).Or(f.slotsOf(w), 1)
	if !w.reported {
		return mean - w.inFlightSlots
	}
	weight := math.Exp(-(now - w.reportedAt).Seconds() / max(turnover, 0.001))
	return mean + (w.reportedFree-mean)*weight - w.inFlightSlots
}

// recordFull takes in that a worker turned a job away: whatever it last reported, no slot is free.
func (f *fleet) recordFull(now time.Duration, w *worker, turnover float64) {
	free := min(0, f.freeSlots(now, w, turnover))
	w.reported, w.reportedAt, w.reportedFree = true, now, free+w.inFlightSlots
}

// recordHealth books an outcome on a worker's health, over all and for the class: some hit one alone.
func (f *fleet) recordHealth(now time.Duration, w *worker, class int, failed bool) {
	for _, of := range [][]stats.FailureRate{w.health, f.health} {
		of[0].Add(now, healthDecay, failed)
		of[1+class].Add(now, healthDecay, failed)
	}
}

// failureProbability estimates the chance of a failure at a worker. A trouble of the whole fleet shuns nobody.
func (f *fleet) failureProbability(now time.Duration, w *worker, class int) (chance float64) {
	for _, at := range [2]int{0, 1 + class} {
		prior := max(minFailureRate, f.health[at].Probability(f.health[at].At, healthDecay, 0, healthPrior))
		chance = max(chance, w.health[at].Probability(now, healthDecay, prior, healthPrior))
	}
	return chance
}
