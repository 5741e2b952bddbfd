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
	sampleLife   = 15 * time.Second // samples expire after it; troubles seen last about as long
	lifeSpread   = 0.25             // part by which lifetimes differ, so that resets do not crowd
	healthLife   = 10 * time.Second // time constant with which past failures are forgiven
	healthPrior  = 3.0              // outcomes that the fleet's failure rate counts for at a worker
	leastFailure = 0.002            // failure rate taken for granted anywhere
	reportMemory = 64.0             // reports after which the mean free slots forget
	coldUse      = 0.4              // part of the fall multiple that all dispatchers together aim at
	coldOne      = 0.2              // largest part of a window's budget that one job may take
	askSpread    = 4                // first subscriptions spread over AskWithin divided by this
	askCrowd     = 50               // dispatchers that need the whole of that spread
	askAgain     = time.Second      // mean wait after a failed subscription
	staleAfter   = 3 * time.Second  // without the list; it had been silent for up to 2.6 s before, of 6 s
	half         = 0.5              // slots or jobs by which a report, which is noisy, may be off
)

// worker is one listed worker as this dispatcher knows it.
type worker struct {
	id               WorkerID
	zone, kind, cell int
	state            State
	shut             bool // it wants nothing new, by its own word
	started          time.Duration
	profile          profile

	// The last report, with this dispatcher's own jobs taken out.
	reported   bool
	reportedAt time.Duration
	free       float64
	topFree    float64 // most free slots ever reported

	unfinished float64             // slots of own jobs out
	health     []stats.FailureRate // over all classes, then of each
	heardAt    time.Duration       // when it last started or answered an own job; 0: not since its start
	others     float64             // slots that peers say their jobs hold here
	tokens     float64             // cold budget left, slot-seconds; negative: overdrawn
	tokensAt   time.Duration
}

// fleet is the worker list and what is known of each worker.
type fleet struct {
	settings *Settings
	rng      *rand.Rand
	list     []*worker
	byID     map[WorkerID]*worker
	kindFree map[int]float64     // by kind: most free slots ever reported
	meanFree map[int]*stats.Mean // by kind: free slots in reports, less those that the queue waits for
	jobSlots stats.Mean          // slots a job takes
	peers    map[int]*peerView
	fresh    int // peers heard of lately
	byTag    map[uint16]*worker
	health   []stats.FailureRate // the same over the fleet
	shares   []float64           // what each zone takes, by its number; none: all

	subscribed, asking bool
	askTries           int
	listAt             time.Duration // when the list was last known to be the service's
}

func newFleet(s *Settings, rng *rand.Rand) fleet {
	return fleet{settings: s, rng: rng, byID: map[WorkerID]*worker{}, kindFree: map[int]float64{},
		meanFree: map[int]*stats.Mean{}, health: make([]stats.FailureRate, 1+len(s.Classes)),
		peers: map[int]*peerView{}}
}

// apply takes in news of the list.
func (f *fleet) apply(now time.Duration, up ListUpdate) {
	if f.subscribed || up.Kind != ListFailed {
		f.listAt = now
	}
	if up.Kind == ListFailed {
		f.subscribed, f.asking, f.askTries = false, false, max(f.askTries, 1)
		return
	}
	if up.Kind != ListCached {
		f.subscribed, f.asking, f.askTries = f.subscribed || f.asking, false, 1
	}
	if up.Kind != ListChanges {
		for _, w := range f.list {
			w.state = Gone // unless the list names it
		}
	}
	for _, l := range up.Workers {
		f.note(now, l)
	}
	maps.DeleteFunc(f.byID, func(_ WorkerID, w *worker) bool { return w.state == Gone })
	f.list = slices.DeleteFunc(f.list, func(w *worker) bool { return w.state == Gone })
	f.byTag = make(map[uint16]*worker, len(f.list))
	for _, w := range f.list {
		f.byTag[tagOf(w.id)] = w
	}
}

func (f *fleet) note(now time.Duration, l Listing) {
	w := f.byID[l.Worker]
	if w == nil {
		w = f.newWorker(now, l.Worker)
		f.byID[l.Worker] = w
		f.list = append(f.list, w)
	} else if w.started != l.Started {
		w.profile.forget() // a restart under the same name is cold, and its old fits are void
		w.reported, w.tokens, w.heardAt, w.shut = false, 0, 0, false
		clear(w.health)
	}
	w.zone, w.kind, w.cell, w.state, w.started = l.Zone, l.Kind, l.Cell, l.State, l.Started
	if w.tokens == 0 {
		// All learn of a start together: a random overdraft keeps their first jobs apart.
		w.tokens, w.tokensAt = -f.rng.Float64(), now
	}
}

func (f *fleet) newWorker(now time.Duration, id WorkerID) *worker {
	w := &worker{id: id, tokensAt: now, health: make([]stats.FailureRate, len(f.health))}
	w.profile.life = f.spread(sampleLife)
	w.profile.forget()
	return w
}

// spread varies a span at random, so that instances do not act in step.
func (f *fleet) spread(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + lifeSpread*(2*f.rng.Float64()-1)))
}

// nextAsk tells when to subscribe next, from now.
func (f *fleet) nextAsk() time.Duration {
	// A change counts as told 6 s after the service can be reached, however often calls have failed: one that
	// is lost takes 2.4 s, the next follows within 1.5 s, and the service may take 2 s to answer that.
	crowd := min(1, float64(f.settings.Balancers)/askCrowd)
	switch f.askTries {
	case 0:
		most := min(f.settings.Rules.AskWithin/askSpread, 3*askAgain)
		return time.Duration(f.rng.Float64() * crowd * float64(most))
	case 1: // the first that failed
		return time.Duration(f.rng.Float64() * crowd * float64(askAgain*3/2))
	}
	return time.Duration((half + f.rng.Float64()) * float64(askAgain))
}

// mayTake is the one gate of rule 3: only workers that the list holds ready.
func (f *fleet) mayTake(w *worker) bool { return w.state == Ready && !w.shut }

// stale tells whether the list cannot be vouched for: what a worker says of itself is newer.
func (f *fleet) stale(now time.Duration) bool {
	return f.settings.AskDiscovery && !f.subscribed && now-f.listAt > staleAfter
}

// coldPart gives the part of its capacity that the worker has at least.
func (f *fleet) coldPart(now time.Duration, w *worker) float64 {
	r := f.settings.Rules
	age := now - w.started
	if w.started == 0 || age >= r.ColdTime || r.ColdTime == 0 {
		return 1
	}
	return r.ColdFrom + (1-r.ColdFrom)*max(0, float64(age))/float64(r.ColdTime)
}

// mayWarm is the one gate of rule 4: what goes to a cold worker is within this dispatcher's share.
func (f *fleet) mayWarm(now time.Duration, w *worker, cost float64) bool {
	r, part := f.settings.Rules, f.coldPart(now, w)
	if part >= 1 {
		return true
	}
	f.refill(now, w, part)
	budget := r.FallMultiple * part * f.slotsOf(w) * r.OverloadFor.Seconds()
	return w.tokens > 0 && cost <= coldOne*budget
}

// refill earns a cold worker's budget for the time since the last look.
func (f *fleet) refill(now time.Duration, w *worker, part float64) {
	r := f.settings.Rules
	rate := coldUse * r.FallMultiple * part * f.slotsOf(w) / float64(f.settings.Balancers)
	w.tokens = min(w.tokens+rate*(now-w.tokensAt).Seconds(), rate*r.OverloadFor.Seconds())
	w.tokensAt = now
}

// spend books a send; refusals by the worker count too, so nothing is given back.
func (f *fleet) spend(now time.Duration, w *worker, cost float64) {
	if part := f.coldPart(now, w); part < 1 {
		f.refill(now, w, part)
		w.tokens -= cost
	}
}

// slotsOf gives the slots a worker has, as far as reports have shown.
func (f *fleet) slotsOf(w *worker) float64 {
	return max(1, w.topFree, f.kindFree[w.kind])
}

// report takes in a worker's load report.
func (f *fleet) report(now time.Duration, w *worker, values []float32) {
	seen := f.settings.read(values)
	free, ok := seen[FieldFreeSlots]
	if !ok {
		return
	}
	w.topFree = max(w.topFree, math.Round(free))
	f.kindFree[w.kind] = max(f.kindFree[w.kind], w.topFree)
	free -= f.queued(w, free, seen)
	stats.Of(f.meanFree, w.kind).Add(free, reportMemory)
	free += w.unfinished
	if w.reported {
		free = (free + w.free) / 2
	}
	w.reported, w.reportedAt, w.free = true, now, free
}

// queued gives the slots that a worker's waiting jobs want, as reported free slots end at none.
func (f *fleet) queued(w *worker, free float64, seen map[Field]float64) float64 {
	each := f.jobSlots.Or(1, 1)
	if waiting, ok := seen[FieldBacklog]; ok {
		if waiting > half && f.settings.QueueOrder == FIFO {
			return max(0, free) + waiting*each // none is free to who comes now: the head waits for more
		}
		return waiting * each
	}
	return max(0, seen[FieldOutstanding]*each-(f.slotsOf(w)-free)) // none where that is not told
}

// freeSlots estimates the slots free now: the report ages towards the mean of its kind in the
// time a job runs. Where peers tell what they have out, that is fresher than any report.
func (f *fleet) freeSlots(now time.Duration, w *worker, turnover float64) float64 {
	if peers := f.settings.Balancers - 1; f.fresh*2 > peers && peers > 0 {
		return f.slotsOf(w) - w.unfinished - w.others*float64(peers)/float64(f.fresh)
	}
	mean := stats.Of(f.meanFree, w.kind).Or(f.slotsOf(w), 1)
	if !w.reported {
		return mean - w.unfinished
	}
	weight := math.Exp(-(now - w.reportedAt).Seconds() / max(turnover, 0.001))
	return mean + (w.free-mean)*weight - w.unfinished
}

// sawFull takes in that a worker turned a job away: whatever it last reported, no slot is free.
func (f *fleet) sawFull(now time.Duration, w *worker, turnover float64) {
	free := min(0, f.freeSlots(now, w, turnover))
	w.reported, w.reportedAt, w.free = true, now, free+w.unfinished
}

// judge books an outcome on a worker's health, over all and for the class: some hit one alone.
func (f *fleet) judge(now time.Duration, w *worker, class int, failed bool) {
	for _, of := range [][]stats.FailureRate{w.health, f.health} {
		of[0].Add(now, healthLife, failed)
		of[1+class].Add(now, healthLife, failed)
	}
}

// failChance estimates the chance of a failure at a worker. A trouble of the whole fleet shuns nobody.
func (f *fleet) failChance(now time.Duration, w *worker, class int) (chance float64) {
	for _, at := range [2]int{0, 1 + class} {
		prior := max(leastFailure, f.health[at].Probability(f.health[at].At, healthLife, 0, healthPrior))
		chance = max(chance, w.health[at].Probability(now, healthLife, prior, healthPrior))
	}
	return chance
}
