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
	r := b.admit(now, in.Request)
	if r == nil {
		return
	}
	r.arrived = in.Arrived
	for _, t := range in.Tries {
		w := b.fleet.byID[t.Worker]
		if w == nil {
			w = b.fleet.newWorker(now, t.Worker) // not listed any more: what is out there ends as it ends
		}
		a := attempt{worker: w, started: w.started, sentAt: t.SentAt, out: t.Out, mayHave: t.MayHave}
		a.free = b.fleet.freeSlots(now, w, b.est.run.Or(0, 0))
		if a.runningAt = t.Started; t.Started > 0 {
			w.heardAt = now
		}
		if t.Out {
			r.out++
			b.out++
			w.unfinished += r.Slots
		}
		r.attempts = append(r.attempts, a)
	}
	b.place(now, r)
}

const memoryForm = 2 // of the row; another form is not read

// tape carries numbers out of a dispatcher or into one. Both ways pass the same
// places in the same order, so that what is written is what is read.
type tape struct {
	reading bool
	row     []uint64
	bad     bool
}

func (t *tape) word(v *uint64) {
	switch {
	case !t.reading:
		t.row = append(t.row, *v)
	case len(t.row) == 0:
		t.bad = true
	default:
		*v, t.row = t.row[0], t.row[1:]
	}
}

func (t *tape) number(v *float64) {
	w := math.Float64bits(*v)
	t.word(&w)
	*v = math.Float64frombits(w)
	t.bad = t.bad || t.reading && (math.IsNaN(*v) || math.IsInf(*v, 0))
}

func (t *tape) numbers(vs ...*float64) {
	for _, v := range vs {
		t.number(v)
	}
}

func (t *tape) integer(v *int) {
	w := uint64(*v)
	t.word(&w)
	*v = int(w)
}

func (t *tape) span(v *time.Duration) {
	w := uint64(*v)
	t.word(&w)
	*v = time.Duration(w)
}

func (t *tape) flag(v *bool) {
	w := uint64(0)
	if *v {
		w = 1
	}
	t.word(&w)
	*v = w != 0
}

// length passes the number of what follows, each at least one number.
func (t *tape) length(n int) int {
	t.integer(&n)
	if t.bad || t.reading && (n < 0 || n > len(t.row)) {
		t.bad = true
		return 0
	}
	return n
}

// list passes a list whose length is its owner's own.
func list[T any](t *tape, of []T, each func(*T)) {
	if t.length(len(of)) != len(of) {
		t.bad = true
		return
	}
	for i := range of {
		each(&of[i])
	}
}

// table passes a map, which is replaced by what is read.
func table[K comparable, V any](t *tape, m map[K]V, key func(*K), value func(*V)) {
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

func (t *tape) mean(m *stats.Mean) { t.numbers(&m.N, &m.Sum) }

func (t *tape) meanAt(m **stats.Mean) {
	if *m == nil {
		*m = &stats.Mean{}
	}
	t.mean(*m)
}

func (t *tape) line(p *stats.Pooled) { t.numbers(&p.N, &p.SX, &p.SY, &p.SXX, &p.SXY) }

func (t *tape) lineAt(p **stats.Pooled) {
	if *p == nil {
		*p = &stats.Pooled{}
	}
	t.line(*p)
}

func (t *tape) health(h *stats.FailureRate) {
	t.numbers(&h.Failures, &h.Outcomes)
	t.span(&h.At)
}

func (t *tape) window(w *stats.Window) {
	n := t.length(len(w.Samples))
	if t.reading {
		*w = stats.Window{Samples: make([]stats.Sample, min(n, windowLen))}
		t.bad = t.bad || n > windowLen
	}
	for i := range w.Samples {
		s := &w.Samples[i]
		t.span(&s.At)
		t.numbers(&s.X, &s.Y)
	}
}

func (t *tape) windowAt(w **stats.Window) {
	if *w == nil {
		*w = &stats.Window{}
	}
	t.window(*w)
}

func (t *tape) key(k *windowKey) {
	t.integer(&k.class)
	t.integer(&k.bucket)
}

func (t *tape) estimator(e *estimator) {
	list(t, e.size, t.mean)
	table(t, e.kindPace, t.integer, t.meanAt)
	table(t, e.worth, t.key, t.meanAt)
	table(t, e.wait, t.integer, t.lineAt)
	table(t, e.transfer, t.integer, t.meanAt)
	table(t, e.floor, t.integer, t.number)
	t.line(&e.full)
	for _, m := range []*stats.Mean{&e.allPace, &e.run} {
		t.mean(m)
	}
}

func (t *tape) worker(w *worker) {
	t.span(&w.started)
	t.window(&w.profile.transfer)
	t.window(&w.profile.pace)
	table(t, w.profile.process, t.key, t.windowAt)
	t.flag(&w.reported)
	t.span(&w.reportedAt)
	t.numbers(&w.free, &w.topFree, &w.tokens)
	t.span(&w.tokensAt)
	list(t, w.health, t.health)
	t.span(&w.heardAt)
}

// Learned returns what the dispatcher has learned of jobs and workers.
func (b *Balancer) Learned() []uint64 {
	t := &tape{row: []uint64{memoryForm}}
	t.estimator(&b.est)
	f := &b.fleet
	table(t, f.kindFree, t.integer, t.number)
	table(t, f.meanFree, t.integer, t.meanAt)
	t.mean(&f.jobSlots)
	list(t, f.health, t.health)
	t.length(len(f.list))
	for _, w := range f.list {
		id := uint64(w.id)
		t.word(&id)
		t.worker(w)
	}
	return t.row
}

// Recall takes up what another process of this dispatcher has learned. A worker
// that has started anew since is left as it is. A row that does not fit changes
// nothing.
func (b *Balancer) Recall(now time.Duration, row []uint64) error {
	form := uint64(0)
	t := &tape{reading: true, row: slices.Clone(row)}
	t.word(&form)
	if form != memoryForm {
		return errors.New("what another process has learned has another form")
	}
	est := newEstimator(len(b.settings.Classes))
	t.estimator(&est)
	f := newFleet(&b.settings, b.rng)
	table(t, f.kindFree, t.integer, t.number)
	table(t, f.meanFree, t.integer, t.meanAt)
	t.mean(&f.jobSlots)
	list(t, f.health, t.health)
	known := make([]*worker, 0, len(b.fleet.list))
	for range t.length(0) {
		var id uint64
		t.word(&id)
		w := f.newWorker(now, WorkerID(id))
		t.worker(w)
		known = append(known, w)
	}
	if t.bad || len(t.row) > 0 {
		return errors.New("what another process has learned cannot be read")
	}
	b.est, b.fleet.kindFree, b.fleet.meanFree, b.fleet.jobSlots, b.fleet.health = est, f.kindFree, f.meanFree, f.jobSlots, f.health
	for _, old := range known {
		w := b.fleet.byID[old.id]
		if w == nil || w.started != old.started {
			continue
		}
		w.profile.transfer, w.profile.pace, w.profile.process = old.profile.transfer, old.profile.pace, old.profile.process
		w.reported, w.reportedAt, w.free, w.topFree = old.reported, old.reportedAt, old.free, old.topFree
		w.tokens, w.tokensAt = old.tokens, old.tokensAt
		w.health, w.heardAt = old.health, max(old.heardAt, w.heardAt)
	}
	return nil
}
