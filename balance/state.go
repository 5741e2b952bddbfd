package balance

import (
	"errors"
	"math"
	"slices"
	"time"

	"ospreybend/internal/util/stats"
)

// A hot restart hands a dispatcher's state to its successor process: the estimates and the workers' state as a
// sequence of 64-bit values (ExportState, ImportState), the requests in progress as Adopted events.

// adopt continues a request of the previous process.
func (b *Balancer) adopt(now time.Duration, in Adopted) {
	r := b.accept(now, in.Request)
	if r == nil {
		return
	}
	r.arrived = in.Arrived
	for _, t := range in.Attempts {
		w := b.fleet.byID[t.Worker]
		if w == nil {
			w = b.fleet.newWorker(now, t.Worker) // not listed any more: its attempts end by their own events
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

const stateVersion = 2 // the first value; a state of another version is rejected

// Errors of ImportState.
var (
	errStateVersion = errors.New("the state of the previous process has another version")
	errStateInvalid = errors.New("the state of the previous process cannot be read")
)

// stateCodec writes values or, if reading, reads them. Both directions run the same functions in the same order,
// so that what is written is what is read.
type stateCodec struct {
	reading bool
	values  []uint64
	invalid bool
}

func (c *stateCodec) unsigned(v *uint64) {
	switch {
	case !c.reading:
		c.values = append(c.values, *v)
	case len(c.values) == 0:
		c.invalid = true
	default:
		*v, c.values = c.values[0], c.values[1:]
	}
}

func (c *stateCodec) float(v *float64) {
	w := math.Float64bits(*v)
	c.unsigned(&w)
	*v = math.Float64frombits(w)
	c.invalid = c.invalid || c.reading && (math.IsNaN(*v) || math.IsInf(*v, 0))
}

func (c *stateCodec) floats(vs ...*float64) {
	for _, v := range vs {
		c.float(v)
	}
}

func (c *stateCodec) integer(v *int) {
	w := uint64(*v)
	c.unsigned(&w)
	*v = int(w)
}

func (c *stateCodec) duration(v *time.Duration) {
	w := uint64(*v)
	c.unsigned(&w)
	*v = time.Duration(w)
}

func (c *stateCodec) boolean(v *bool) {
	w := uint64(0)
	if *v {
		w = 1
	}
	c.unsigned(&w)
	*v = w != 0
}

// length codes the number of elements that follow, each of at least one value.
func (c *stateCodec) length(n int) int {
	c.integer(&n)
	if c.invalid || c.reading && (n < 0 || n > len(c.values)) {
		c.invalid = true
		return 0
	}
	return n
}

// codeSlice codes a slice whose length both sides know.
func codeSlice[T any](c *stateCodec, of []T, each func(*T)) {
	if c.length(len(of)) != len(of) {
		c.invalid = true
		return
	}
	for i := range of {
		each(&of[i])
	}
}

// codeMap codes a map; reading replaces its content.
func codeMap[K comparable, V any](codec *stateCodec, entries map[K]V, key func(*K), value func(*V)) {
	if !codec.reading {
		codec.length(len(entries))
		for mapKey, mapValue := range entries {
			key(&mapKey)
			value(&mapValue)
		}
		return
	}
	clear(entries)
	for range codec.length(0) {
		var mapKey K
		var mapValue V
		key(&mapKey)
		value(&mapValue)
		entries[mapKey] = mapValue
	}
}

func (c *stateCodec) mean(m *stats.Mean) { c.floats(&m.N, &m.Sum) }

func (c *stateCodec) meanPointer(m **stats.Mean) {
	if *m == nil {
		*m = &stats.Mean{}
	}
	c.mean(*m)
}

func (c *stateCodec) pooled(p *stats.Pooled) { c.floats(&p.N, &p.SX, &p.SY, &p.SXX, &p.SXY) }

func (c *stateCodec) pooledPointer(p **stats.Pooled) {
	if *p == nil {
		*p = &stats.Pooled{}
	}
	c.pooled(*p)
}

func (c *stateCodec) odds(h *stats.FailureRate) {
	c.floats(&h.Failures, &h.Outcomes)
	c.duration(&h.At)
}

func (c *stateCodec) window(w *stats.Window) {
	n := c.length(len(w.Samples))
	if c.reading {
		*w = stats.Window{Samples: make([]stats.Sample, min(n, windowLen))}
		c.invalid = c.invalid || n > windowLen
	}
	for i := range w.Samples {
		s := &w.Samples[i]
		c.duration(&s.At)
		c.floats(&s.X, &s.Y)
	}
}

func (c *stateCodec) windowPointer(w **stats.Window) {
	if *w == nil {
		*w = &stats.Window{}
	}
	c.window(*w)
}

func (c *stateCodec) windowKey(k *windowKey) {
	c.integer(&k.class)
	c.integer(&k.bucket)
}

func (c *stateCodec) estimator(e *estimator) {
	codeSlice(c, e.size, c.mean)
	codeMap(c, e.kindSlowdown, c.integer, c.meanPointer)
	codeMap(c, e.hintRatio, c.windowKey, c.meanPointer)
	codeMap(c, e.queueWait, c.integer, c.pooledPointer)
	codeMap(c, e.transfer, c.integer, c.meanPointer)
	codeMap(c, e.minStartDelay, c.integer, c.float)
	c.pooled(&e.full)
	for _, m := range []*stats.Mean{&e.allSlowdown, &e.run} {
		c.mean(m)
	}
}

func (c *stateCodec) worker(w *worker) {
	c.duration(&w.startedAt)
	c.window(&w.profile.transfer)
	c.window(&w.profile.slowdown)
	codeMap(c, w.profile.process, c.windowKey, c.windowPointer)
	c.boolean(&w.reported)
	c.duration(&w.reportedAt)
	c.floats(&w.reportedFree, &w.maxFree, &w.warmupTokens)
	c.duration(&w.warmupTokensAt)
	codeSlice(c, w.health, c.odds)
	c.duration(&w.lastSeenAt)
}

// ExportState returns the estimates and the workers' state.
func (b *Balancer) ExportState() []uint64 {
	c := &stateCodec{values: []uint64{stateVersion}}
	c.estimator(&b.estimator)
	f := &b.fleet
	codeMap(c, f.kindFree, c.integer, c.float)
	codeMap(c, f.meanFree, c.integer, c.meanPointer)
	c.mean(&f.jobSlots)
	codeSlice(c, f.health, c.odds)
	c.length(len(f.workers))
	for _, w := range f.workers {
		id := uint64(w.id)
		c.unsigned(&id)
		c.worker(w)
	}
	return c.values
}

// ImportState applies the state of the previous process. A worker that restarted since is left as it is. After
// an error, by another version or a state that does not fit, nothing has changed.
func (b *Balancer) ImportState(now time.Duration, state []uint64) error {
	version := uint64(0)
	c := &stateCodec{reading: true, values: slices.Clone(state)}
	c.unsigned(&version)
	if version != stateVersion {
		return errStateVersion
	}
	est := newEstimator(len(b.settings.Classes))
	c.estimator(&est)
	f := newFleet(&b.settings, b.rng)
	codeMap(c, f.kindFree, c.integer, c.float)
	codeMap(c, f.meanFree, c.integer, c.meanPointer)
	c.mean(&f.jobSlots)
	codeSlice(c, f.health, c.odds)
	known := make([]*worker, 0, len(b.fleet.workers))
	for range c.length(0) {
		var id uint64
		c.unsigned(&id)
		w := f.newWorker(now, WorkerID(id))
		c.worker(w)
		known = append(known, w)
	}
	if c.invalid || len(c.values) > 0 {
		return errStateInvalid
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
