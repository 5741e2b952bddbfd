package balance

import (
	"errors"
	"math"
	"slices"
	"time"

	"ospreybend/internal/util/stats"
)

// What a dispatcher has learned and has in work goes to another process of the same
// dispatcher as a row of numbers and as requests with their attempts. It decides
// nothing: the other one goes on as this one would have.

// adopt goes on with a request where another process of this dispatcher stopped.
func (b *Balancer) adopt(now time.Duration, in Adopted) {
	r := b.accept(now, in.Request)
	if r == nil {
		return
	}
	r.arrived = in.Arrived
	for _, t := range in.Attempts {
		w := b.fleet.byID[t.Worker]
		if w == nil {
			w = b.fleet.newWorker(now, t.Worker) // not listed any more: what is out there ends as it ends
		}
		a := attempt{worker: w, workerStarted: w.startedAt, sentAt: t.SentAt, inFlight: t.Out, mayHaveRun: t.MayHave}
		a.freeSlots = b.fleet.freeSlots(now, w, b.estimator.run.Or(0, 0))
		if a.startedAt = t.Started; t.Started > 0 {
			w.lastSeenAt = now
		}
		if t.Out {
			r.inFlight++
			b.inFlight++
			w.inFlightSlots += r.Slots
		}
		r.attempts = append(r.attempts, a)
	}
	b.place(now, r)
}

const stateVersion = 2 // of the row; another form is not read

// stateCodec carries numbers out of a dispatcher or into one. Both ways pass the same
// places in the same order, so that what is written is what is read.
type stateCodec struct {
	reading bool
	values  []uint64
	invalid bool
}

func (t *stateCodec) word(v *uint64) {
	switch {
	case !t.reading:
		t.values = append(t.values, *v)
	case len(t.values) == 0:
		t.invalid = true
	default:
		*v, t.values = t.values[0], t.values[1:]
	}
}

func (t *stateCodec) number(v *float64) {
	w := math.Float64bits(*v)
	t.word(&w)
	*v = math.Float64frombits(w)
	t.invalid = t.invalid || t.reading && (math.IsNaN(*v) || math.IsInf(*v, 0))
}

func (t *stateCodec) numbers(vs ...*float64) {
	for _, v := range vs {
		t.number(v)
	}
}

func (t *stateCodec) integer(v *int) {
	w := uint64(*v)
	t.word(&w)
	*v = int(w)
}

func (t *stateCodec) span(v *time.Duration) {
	w := uint64(*v)
	t.word(&w)
	*v = time.Duration(w)
}

func (t *stateCodec) flag(v *bool) {
	w := uint64(0)
	if *v {
		w = 1
	}
	t.word(&w)
	*v = w != 0
}

// length passes the number of what follows, each at least one number.
func (t *stateCodec) length(n int) int {
	t.integer(&n)
	if t.invalid || t.reading && (n < 0 || n > len(t.values)) {
		t.invalid = true
		return 0
	}
	return n
}

// list passes a list whose length is its owner's own.
func list[T any](t *stateCodec, of []T, each func(*T)) {
	if t.length(len(of)) != len(of) {
		t.invalid = true
		return
	}
	for i := range of {
		each(&of[i])
	}
}

// table passes a map, which is replaced by what is read.
func table[K comparable, V any](t *stateCodec, m map[K]V, key func(*K), value func(*V)) {
	if !t.reading {
		t.length(len(m))
		for k, v := range m {
			key(&k)
			value(&v)
		}
		return
	}
	clear(m)
	for range t.length(0) {
		var k K
		var v V
		key(&k)
		value(&v)
		m[k] = v
	}
}

func (t *stateCodec) mean(m *stats.Mean) { t.numbers(&m.N, &m.Sum) }

func (t *stateCodec) meanAt(m **stats.Mean) {
	if *m == nil {
		*m = &stats.Mean{}
	}
	t.mean(*m)
}

func (t *stateCodec) line(p *stats.Pooled) { t.numbers(&p.N, &p.SX, &p.SY, &p.SXX, &p.SXY) }

func (t *stateCodec) lineAt(p **stats.Pooled) {
	if *p == nil {
		*p = &stats.Pooled{}
	}
	t.line(*p)
}

func (t *stateCodec) health(h *stats.FailureRate) {
	t.numbers(&h.Failures, &h.Outcomes)
	t.span(&h.At)
}

func (t *stateCodec) window(w *stats.Window) {
	n := t.length(len(w.Samples))
	if t.reading {
		*w = stats.Window{Samples: make([]stats.Sample, min(n, windowLen))}
		t.invalid = t.invalid || n > windowLen
	}
	for i := range w.Samples {
		s := &w.Samples[i]
		t.span(&s.At)
		t.numbers(&s.X, &s.Y)
	}
}

func (t *stateCodec) windowAt(w **stats.Window) {
	if *w == nil {
		*w = &stats.Window{}
	}
	t.window(*w)
}

func (t *stateCodec) key(k *windowKey) {
	t.integer(&k.class)
	t.integer(&k.bucket)
}

func (t *stateCodec) estimator(e *estimator) {
	list(t, e.size, t.mean)
	table(t, e.kindSlowdown, t.integer, t.meanAt)
	table(t, e.hintRatio, t.key, t.meanAt)
	table(t, e.queueWait, t.integer, t.lineAt)
	table(t, e.transfer, t.integer, t.meanAt)
	table(t, e.minStartDelay, t.integer, t.number)
	t.line(&e.full)
	for _, m := range []*stats.Mean{&e.allSlowdown, &e.run} {
		t.mean(m)
	}
}

func (t *stateCodec) worker(w *worker) {
	t.span(&w.startedAt)
	t.window(&w.profile.transfer)
	t.window(&w.profile.slowdown)
	table(t, w.profile.process, t.key, t.windowAt)
	t.flag(&w.reported)
	t.span(&w.reportedAt)
	t.numbers(&w.reportedFree, &w.maxFree, &w.warmupTokens)
	t.span(&w.warmupTokensAt)
	list(t, w.health, t.health)
	t.span(&w.lastSeenAt)
}

// ExportState returns what the dispatcher has learned of jobs and workers.
func (b *Balancer) ExportState() []uint64 {
	t := &stateCodec{values: []uint64{stateVersion}}
	t.estimator(&b.estimator)
	f := &b.fleet
	table(t, f.kindFree, t.integer, t.number)
	table(t, f.meanFree, t.integer, t.meanAt)
	t.mean(&f.jobSlots)
	list(t, f.health, t.health)
	t.length(len(f.workers))
	for _, w := range f.workers {
		id := uint64(w.id)
		t.word(&id)
		t.worker(w)
	}
	return t.values
}

// ImportState takes up what another process of this dispatcher has learned. A worker
// that has started anew since is left as it is. A row that does not fit changes
// nothing.
func (b *Balancer) ImportState(now time.Duration, state []uint64) error {
	version := uint64(0)
	t := &stateCodec{reading: true, values: slices.Clone(state)}
	t.word(&version)
	if version != stateVersion {
		return errors.New("what another process has learned has another form")
	}
	est := newEstimator(len(b.settings.Classes))
	t.estimator(&est)
	f := newFleet(&b.settings, b.rng)
	table(t, f.kindFree, t.integer, t.number)
	table(t, f.meanFree, t.integer, t.meanAt)
	t.mean(&f.jobSlots)
	list(t, f.health, t.health)
	known := make([]*worker, 0, len(b.fleet.workers))
	for range t.length(0) {
		var id uint64
		t.word(&id)
		w := f.newWorker(now, WorkerID(id))
		t.worker(w)
		known = append(known, w)
	}
	if t.invalid || len(t.values) > 0 {
		return errors.New("what another process has learned cannot be read")
	}
	b.estimator, b.fleet.kindFree, b.fleet.meanFree, b.fleet.jobSlots, b.fleet.health = est, f.kindFree, f.meanFree, f.jobSlots, f.health
	for _, old := range known {
		w := b.fleet.byID[old.id]
		if w == nil || w.startedAt != old.startedAt {
			continue
		}
		w.profile.transfer, w.profile.slowdown, w.profile.process = old.profile.transfer, old.profile.slowdown, old.profile.process
		w.reported, w.reportedAt, w.reportedFree, w.maxFree = old.reported, old.reportedAt, old.reportedFree, old.maxFree
		w.warmupTokens, w.warmupTokensAt = old.warmupTokens, old.warmupTokensAt
		w.health, w.lastSeenAt = old.health, max(old.lastSeenAt, w.lastSeenAt)
	}
	return nil
}
