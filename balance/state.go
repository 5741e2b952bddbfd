package balance

import (
	"errors"
	"math"
	"slices"
	"time"

	"ospreybend/internal/util/stats"
)

// A hot restart hands a balancer's state to the next process of its node: the estimates and the workers'
// state as a sequence of 64-bit values (ExportState, ImportState), its open requests as Adopted events.

// handleAdopted continues a request of the previous process.
func (b *Balancer) handleAdopted(now time.Duration, adopted Adopted) {
	r := b.accept(now, adopted.Request)
	if r == nil {
		return
	}
	r.arrived = adopted.Arrived
	for _, prior := range adopted.Attempts {
		w := b.fleet.byID[prior.Worker]
		if w == nil {
			w = b.fleet.newWorker(now, prior.Worker) // no longer listed; the attempt still ends with AttemptDone
		}
		a := attempt{worker: w, workerStarted: w.startedAt, sentAt: prior.SentAt, inFlight: prior.Out,
			mayHaveRun: prior.MayHave}
		a.freeSlots = b.fleet.freeSlots(now, w, b.estimator.meanRun.Blend(0, 0))
		if a.startedAt = prior.Started; prior.Started > 0 {
			w.lastSeenAt = now
		}
		if prior.Out {
			r.inFlight++
			b.inFlight++
			w.inFlightSlots += r.Slots
		}
		r.attempts = append(r.attempts, a)
	}
	b.place(now, r)
}

const stateVersion = 2 // first value of an exported state; ImportState rejects other versions

// Errors of ImportState.
var (
	errStateVersion = errors.New("state of the previous process: unsupported version")
	errStateInvalid = errors.New("state of the previous process: malformed, or of other settings")
)

// stateCodec encodes a state to values or, if reading, decodes it from them. Both directions run the same
// functions in the same order, so that the format is defined once.
type stateCodec struct {
	reading bool
	values  []uint64 // written so far, or left to read
	invalid bool     // a value that was read is missing or invalid
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
	bits := math.Float64bits(*v)
	c.unsigned(&bits)
	*v = math.Float64frombits(bits)
	c.invalid = c.invalid || c.reading && (math.IsNaN(*v) || math.IsInf(*v, 0))
}

func (c *stateCodec) floats(vs ...*float64) {
	for _, v := range vs {
		c.float(v)
	}
}

func (c *stateCodec) integer(v *int) {
	word := uint64(*v)
	c.unsigned(&word)
	*v = int(word)
}

func (c *stateCodec) duration(v *time.Duration) {
	word := uint64(*v)
	c.unsigned(&word)
	*v = time.Duration(word)
}

func (c *stateCodec) boolean(v *bool) {
	word := uint64(0)
	if *v {
		word = 1
	}
	c.unsigned(&word)
	*v = word != 0
}

// length encodes or decodes the number of elements that follow, each of which has at least one value.
func (c *stateCodec) length(length int) int {
	c.integer(&length)
	if c.invalid || c.reading && (length < 0 || length > len(c.values)) {
		c.invalid = true
		return 0
	}
	return length
}

// codeSlice encodes or decodes a slice whose length is known to the reader.
func codeSlice[T any](c *stateCodec, elements []T, code func(*T)) {
	if c.length(len(elements)) != len(elements) {
		c.invalid = true
		return
	}
	for i := range elements {
		code(&elements[i])
	}
}

// codeMap encodes a map, or replaces its content by the decoded one.
func codeMap[K comparable, V any](c *stateCodec, entries map[K]V, key func(*K), value func(*V)) {
	if !c.reading {
		c.length(len(entries))
		for mapKey, mapValue := range entries {
			key(&mapKey)
			value(&mapValue)
		}
		return
	}
	clear(entries)
	for range c.length(0) {
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

func (c *stateCodec) pooled(p *stats.Regression) { c.floats(&p.N, &p.SX, &p.SY, &p.SXX, &p.SXY) }

func (c *stateCodec) pooledPointer(p **stats.Regression) {
	if *p == nil {
		*p = &stats.Regression{}
	}
	c.pooled(*p)
}

func (c *stateCodec) failureRate(h *stats.FailureRate) {
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

func (c *stateCodec) classBucket(k *classBucket) {
	c.integer(&k.class)
	c.integer(&k.bucket)
}

func (c *stateCodec) estimator(e *estimator) {
	codeSlice(c, e.classSize, c.mean)
	codeMap(c, e.kindSlowdown, c.integer, c.meanPointer)
	codeMap(c, e.hintCorrection, c.classBucket, c.meanPointer)
	codeMap(c, e.queueWait, c.integer, c.pooledPointer)
	codeMap(c, e.zoneTransfer, c.integer, c.meanPointer)
	codeMap(c, e.minStartDelay, c.integer, c.float)
	c.pooled(&e.fullRate)
	for _, m := range []*stats.Mean{&e.allSlowdown, &e.meanRun} {
		c.mean(m)
	}
}

func (c *stateCodec) worker(w *worker) {
	c.duration(&w.startedAt)
	c.window(&w.delays.transfer)
	c.window(&w.delays.slowdown)
	codeMap(c, w.delays.processing, c.classBucket, c.windowPointer)
	c.boolean(&w.hasReport)
	c.duration(&w.reportedAt)
	c.floats(&w.reportedFree, &w.maxFree, &w.warmupTokens)
	c.duration(&w.warmupTokensAt)
	codeSlice(c, w.failureRates, c.failureRate)
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
	codeSlice(c, f.failureRates, c.failureRate)
	c.length(len(f.workers))
	for _, w := range f.workers {
		id := uint64(w.id)
		c.unsigned(&id)
		c.worker(w)
	}
	return c.values
}

// ImportState applies a state that the previous process exported. Workers that have restarted since are left
// unchanged. An error, for another version or a malformed state, leaves the balancer unchanged.
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
	codeSlice(c, f.failureRates, c.failureRate)
	imported := make([]*worker, 0, len(b.fleet.workers))
	for range c.length(0) {
		var id uint64
		c.unsigned(&id)
		w := f.newWorker(now, WorkerID(id))
		c.worker(w)
		imported = append(imported, w)
	}
	if c.invalid || len(c.values) > 0 {
		return errStateInvalid
	}
	b.estimator = est
	b.fleet.kindFree, b.fleet.meanFree = f.kindFree, f.meanFree
	b.fleet.jobSlots, b.fleet.failureRates = f.jobSlots, f.failureRates
	for _, previous := range imported {
		w := b.fleet.byID[previous.id]
		if w == nil || w.startedAt != previous.startedAt {
			continue
		}
		w.delays.transfer, w.delays.slowdown = previous.delays.transfer, previous.delays.slowdown
		w.delays.processing = previous.delays.processing
		w.hasReport, w.reportedAt = previous.hasReport, previous.reportedAt
		w.reportedFree, w.maxFree = previous.reportedFree, previous.maxFree
		w.warmupTokens, w.warmupTokensAt = previous.warmupTokens, previous.warmupTokensAt
		w.failureRates, w.lastSeenAt = previous.failureRates, max(previous.lastSeenAt, w.lastSeenAt)
	}
	return nil
}
