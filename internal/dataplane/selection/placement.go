package selection

import (
	"math"
	"slices"
	"time"
)

const (
	shortlist     = 6     // workers of each side that are combined, besides the best of each zone
	unfinished    = 0.3   // part of its processing time that each unfinished request at a reader counts as
	restWeight    = 0.05  // a second of making tokens against one before the first event
	disturbance   = 0.3   // what reading counts as for each stream that it holds up
	usualGap      = 0.15  // seconds between events from which a decode worker is avoided
	gapCost       = 2.    // seconds for each second beyond it
	rereadHold    = 3e-5  // seconds that reading a shared token again counts as, for what it holds up
	rereadPrice   = 6e-5  // the same for its price, if it was used within the span that is priced
	tieSeconds    = 0.001 // totals as near as this are ties
	tieShare      = 0.02  // and as near as this part of the least
	noWorkerRetry = 500 * time.Millisecond
)

// side is a worker as one half of a pair, or alone.
type side struct {
	worker  *worker
	f       forecast // reading, for a decode worker alone
	score   float64  // its estimate with what is added to it, in seconds
	hand    forecast // of a decode worker: the first event of what another has read, without the move
	handed  float64  // score of the same
	missing float64  // tokens of the prompt that it does not keep
}

// option is a way to serve a request.
type option struct {
	from, run           *side // from is nil if run reads by itself
	score, first, waits float64
}

// scratch is reused from choice to choice.
type scratch struct {
	list     []*worker
	from, to []side
	near     []*side
	far      []*side
	options  []option
}

// Choose returns where to send a request, or its refusal. Workers whose IDs are excluded are not chosen.
func (s *Selector) Choose(now time.Duration, r *Request, excluded []string) (Choice, Verdict) {
	svc := s.services[r.Service]
	if svc == nil {
		return Choice{}, Verdict{RetryAfter: noWorkerRetry}
	}
	first := r.job == nil
	j := svc.jobFor(now, r)
	best, crowd, found := svc.best(now, j, excluded)
	if !found {
		return Choice{}, Verdict{RetryAfter: noWorkerRetry}
	}
	if first && best.run.worker.class != classPlain {
		svc.noteOffered(j, best)
	}
	choice := Choice{Run: best.run.worker.entry, First: seconds(best.first), Urgency: urgencyOf(best.run.f.run)}
	if best.from != nil {
		choice.Prefill = best.from.worker.entry
		choice.Urgency = urgencyOf(best.from.f.run)
	}
	return choice, svc.admit(now, j, best, crowd)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// best weighs all ways to serve a request.
func (s *service) best(now time.Duration, j *job, excluded []string) (option, crowd, bool) {
	var crowd crowd
	run := classPlain
	if len(s.byClass[classDecode]) > 0 || len(s.byClass[classPrefill]) > 0 {
		run = classDecode
	}
	scratch := &s.scratch
	scratch.to = s.sides(now, j, run, excluded, scratch.to[:0], &crowd)
	scratch.from = scratch.from[:0]
	if run == classDecode {
		scratch.from = s.sides(now, j, classPrefill, excluded, scratch.from, &crowd)
	}
	scratch.options = scratch.options[:0]
	for i := range scratch.to {
		to := &scratch.to[i]
		scratch.options = append(scratch.options, option{nil, to, to.score, to.f.total(), to.f.wait})
	}
	s.combine(now, j)
	best, found := s.selector.least(scratch.options)
	return best, crowd, found
}

// candidates are the workers of a class that may be sent to: those in good health, or the least bad one
// of a class that cannot be done without.
func (s *service) candidates(now time.Duration, c class, excluded []string) []*worker {
	list := s.scratch.list[:0]
	var least *worker
	for _, w := range s.byClass[c] {
		if slices.Contains(excluded, w.entry.ID) {
			continue
		}
		if w.health.available(now, len(w.calls)) {
			list = append(list, w)
		} else if c == classPrefill {
			continue // a decode worker can do without
		} else if least == nil || w.health.until < least.health.until {
			least = w
		}
	}
	if len(list) == 0 && least != nil {
		list = append(list, least)
	}
	s.scratch.list = list
	return list
}

// sides works out the estimates of a class's workers.
func (s *service) sides(now time.Duration, j *job, c class, excluded []string, into []side, crowd *crowd) []side {
	list := s.candidates(now, c, excluded)
	reach := 0.
	if c != classPlain {
		reach = homes(j, list)
	}
	for _, w := range list {
		l := s.loadOf(now, w)
		crowd.add(c, l, s.slotsOf(w))
		into = append(into, s.sideOf(now, j, w, l, reach, len(list)))
	}
	return into
}

// sideOf works out one worker's estimate.
func (s *service) sideOf(now time.Duration, j *job, w *worker, l load, reach float64, workers int) side {
	kept := 0.
	if w.class != classPlain {
		kept = s.keptAt(j, w, reach, workers)
	}
	at := side{worker: w, missing: j.tokens - kept}
	at.f = s.predict(now, w, readTask(w.class, j.tokens, kept), l)
	at.score = at.f.total() + s.extra(w, at.f) + sendPrice(w, j.tokens) + s.rereading(j, kept)
	if w.class == classDecode {
		after := s.afterFirst(now, j, w, l)
		at.hand = s.predict(now, w, task{bucket: handBucket, solo: decodeBase, moving: true}, l)
		at.handed = at.hand.total() + s.extra(w, at.hand) + sendPrice(w, j.tokens) + after
		at.score += after + disturbance*l.running*at.f.run
	}
	return at
}

// readTask is the task to read a prompt, or of a plain worker to answer.
func readTask(c class, tokens, kept float64) task {
	read := max(1, tokens-kept)
	if c == classPlain {
		return task{solo: plainRun, size: tokens}
	}
	return task{bucket: bucketOf(read), solo: soloOf(c, read, kept), size: tokens}
}

// extra is the work of this node's unfinished requests at a worker.
func (s *service) extra(w *worker, f forecast) float64 {
	own := w.own()
	if w.class == classPrefill {
		return own.waiting * unfinished * f.run
	}
	return (own.waiting + own.running) * f.run / s.slotsOf(w)
}

// rereading is what shared parts count as that are read though others keep them.
func (s *service) rereading(j *job, kept float64) float64 {
	shared := 0
	for _, part := range j.shared {
		shared += part.Tokens
	}
	uses := unseenHits + j.share*s.shared.rate()*float64(s.selector.nodes)*s.selector.options.Again.Seconds()
	return max(0, float64(shared)-kept) * (rereadHold + rereadPrice*uses/(1+uses))
}

// afterFirst is what making tokens adds to a decode worker's estimate.
func (s *service) afterFirst(now time.Duration, j *job, w *worker, l load) float64 {
	pace, output := w.tokenPace(now, l), float64(j.request.OutputTokens)
	cost := restWeight*pace*output + s.memoryPenalty(w, l, j.tokens+output)
	if s.engine != nil {
		cost += gapCost * max(0, pace*float64(s.engine.MaxTokensPerEvent)-usualGap)
	}
	return cost
}

// combine adds the pairs of the best workers of each side to the options.
func (s *service) combine(now time.Duration, j *job) {
	scratch := &s.scratch
	if len(scratch.from) == 0 || len(scratch.to) == 0 {
		return
	}
	scratch.near = s.foremost(scratch.from, scratch.near[:0], func(at *side) float64 { return at.score })
	scratch.far = s.foremost(scratch.to, scratch.far[:0], func(at *side) float64 { return at.handed })
	chance := s.handoverChance(now)
	for _, from := range scratch.near {
		for _, to := range scratch.far {
			scratch.options = append(scratch.options, s.pair(now, from, to, chance))
		}
	}
}

// foremost picks the best few of a side, and the best of each zone.
func (s *service) foremost(all []side, into []*side, score func(*side) float64) []*side {
	for i := range all {
		at := len(into)
		for at > 0 && score(into[at-1]) > score(&all[i]) {
			at--
		}
		if at < shortlist {
			into = slices.Insert(into, at, &all[i])
			into = into[:min(len(into), shortlist)]
		}
	}
	var zone [64]*side
	for i := range all {
		z := all[i].worker.zone % len(zone)
		if zone[z] == nil || score(&all[i]) < score(zone[z]) {
			zone[z] = &all[i]
		}
	}
	for _, best := range zone {
		if best != nil && !slices.Contains(into, best) {
			into = append(into, best)
		}
	}
	return into
}

// pair weighs a hand-over between two workers.
func (s *service) pair(now time.Duration, from, to *side, chance float64) option {
	size := moveSize(from.worker, to.worker, to.missing)
	move := s.moveBetween(now, from.worker, to.worker, size)
	first := from.f.total() + to.hand.total() + move
	score := from.score + to.handed + move
	score += s.movePrice(from.worker, to.worker, to.missing) + s.linkCost(now, from.worker, to.worker)
	score += first * chance / (1 - chance) // a hand-over that fails is done again
	return option{from, to, score, first, from.f.wait + to.hand.wait}
}

// least picks the option with the least sum, and among ties one at random.
func (s *Selector) least(options []option) (option, bool) {
	if len(options) == 0 {
		return option{}, false
	}
	least := math.Inf(1)
	for i := range options {
		least = min(least, options[i].score)
	}
	bound, ties, chosen := least+max(tieSeconds, tieShare*least), 0, 0
	for i := range options {
		if options[i].score > bound {
			continue
		}
		if ties++; s.random.IntN(ties) == 0 {
			chosen = i
		}
	}
	return options[chosen], true
}
