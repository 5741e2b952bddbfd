package balance

import (
	"math"
	"time"

	"ospreybend/internal/util/estimate"
	"ospreybend/internal/util/stats"
)

const (
	windowLen            = estimate.WindowLength
	slowdownPriorSamples = 2.0  // weight of the kind's slowdown against a worker's own samples
	pooledSamples        = 256. // memory of a pooled mean, in samples
	outlierRatio         = 4.   // slower or faster jobs than this count as this much
	minRunTime           = 1e-4 // seconds; a shorter run time is a rounding of the clock
	hintPriorSamples     = 10.  // weight, in samples, of taking cost hints as exact
	defaultRunTime       = 0.1  // seconds assumed before any job has run
	waitPriorSamples     = 16.  // weight, in samples, of the queue wait assumed before any
	idleWeight           = 0.2  // weight, per sample, of an idle worker having no queue
	bucketBase           = 4.0  // growth of the size buckets: few, so that most get samples
)

// bucketOf returns the size bucket of a cost hint; 0 without one.
func bucketOf(cost time.Duration, has bool) int {
	if !has || cost <= 0 {
		return 0
	}
	return 1 + stats.Bucket(float64(cost/time.Microsecond), bucketBase)
}

// windowKey identifies a processing window of a worker.
type windowKey struct{ class, bucket int }

// profile holds the samples of one worker's delays.
type profile struct {
	transfer       stats.Window // round trip by size
	process        map[windowKey]*stats.Window
	slowdown       stats.Window // run time for each second of size
	sampleLifetime time.Duration
}

// reset drops all samples, as when the worker restarts.
func (p *profile) reset() {
	p.transfer, p.slowdown = stats.Window{}, stats.Window{}
	p.process = map[windowKey]*stats.Window{}
}

// estimator predicts delays from a worker's own samples and pooled ones.
type estimator struct {
	size          []stats.Mean              // by class: run time of a job without a hint
	kindSlowdown  map[int]*stats.Mean       // by worker kind: run time per second of size
	hintRatio     map[windowKey]*stats.Mean // run time at slowdown 1 per second of hint
	allSlowdown   stats.Mean                // over all workers
	full          stats.Pooled              // fraction of attempts rejected, by slots free beyond need
	queueWait     map[int]*stats.Pooled     // by queue priority: queue wait, by the same
	run           stats.Mean                // run time of all jobs
	transfer      map[int]*stats.Mean       // by worker zone: round trips of rejections
	minStartDelay map[int]float64           // by worker zone: least time from a send to its start report
}

func newEstimator(classes int) estimator {
	return estimator{size: make([]stats.Mean, classes), queueWait: map[int]*stats.Pooled{},
		hintRatio:    map[windowKey]*stats.Mean{},
		kindSlowdown: map[int]*stats.Mean{}, transfer: map[int]*stats.Mean{}, minStartDelay: map[int]float64{}}
}

// job is what the estimator needs of a request.
type job struct {
	class      int
	bucket     int
	size       float64 // seconds of work by the hint; 0: no hint
	priority   int     // where workers serve their queues by priority
	slots      float64
	cachedSize float64 // its estimate during one choice; 0: none
}

// sizeOf estimates the job's size in seconds: the corrected hint, or its class's mean.
func (e *estimator) sizeOf(j job) float64 {
	if j.cachedSize > 0 {
		return j.cachedSize
	}
	if j.size > 0 {
		return j.size * stats.Of(e.hintRatio, windowKey{j.class, j.bucket}).Or(1, hintPriorSamples)
	}
	if m := e.size[j.class]; m.N > 0 {
		return m.Sum / m.N
	}
	return e.run.Or(defaultRunTime, 1)
}

// slowdownOf estimates a worker's run time per second of size.
func (e *estimator) slowdownOf(now time.Duration, p *profile, kind int) float64 {
	prior := stats.Of(e.kindSlowdown, kind).Or(e.allSlowdown.Or(1, 1), slowdownPriorSamples)
	// A ratio of sums: that of one small job, with a rough hint or clock, says little.
	own := p.slowdown.Fit(now, p.sampleLifetime, 0)
	k := slowdownPriorSamples * e.run.Or(defaultRunTime, 1)
	return (own.SumY + prior*k) / (own.SumX + k)
}

// waitAt predicts the queue wait at the given free slots of all. The prior is the time until the missing
// slots come free, smoothed as reports are about one slot off.
func (e *estimator) waitAt(j job, free, slots float64) float64 {
	pooled := stats.Of(e.queueWait, j.priority)
	prior := math.Log1p(math.Exp(j.slots-free)) * e.run.Or(defaultRunTime, 1) / slots
	return (pooled.At(free-j.slots)*pooled.N + prior*waitPriorSamples) / (pooled.N + waitPriorSamples)
}

// transferTo predicts the transfer delay: by own samples, else the zone's mean, else its least start delay.
func (e *estimator) transferTo(now time.Duration, p *profile, zone int, j job) float64 {
	if l := p.transfer.Fit(now, p.sampleLifetime, 1); l.N > 0 {
		return l.At(e.sizeOf(j))
	}
	if m := e.transfer[zone]; m != nil {
		return m.Or(0, 0)
	}
	return e.minStartDelay[zone]
}

// processAt predicts the processing time, queue wait included, at the given free slots. The worker's own fit
// is weighted by its samples against the pooled prediction: in a large fleet most have few.
func (e *estimator) processAt(now time.Duration, p *profile, kind int, j job, free, slots float64) float64 {
	size := e.sizeOf(j)
	pooled := e.slowdownOf(now, p, kind)*size + e.waitAt(j, free, slots)
	own := stats.Of(p.process, windowKey{j.class, j.bucket}).Fit(now, p.sampleLifetime, -1)
	return estimate.Blend(own.At(free)*size, own.N, pooled, estimate.PriorSamples)
}

// learnProcess records a finished job: wait and run in seconds, free slots at the send and when idle.
func (e *estimator) learnProcess(now time.Duration, profile *profile, kind int, j job,
	free, idle, wait, run float64) {
	// A run time of 0 would make a size of 0, and every later prediction NaN.
	run = max(run, minRunTime)
	if j.size == 0 {
		// Only the product of size and slowdown is known: the mean slowdown counts as 1, or both would drift.
		slowdown := e.slowdownOf(now, profile, kind) / e.allSlowdown.Or(1, 1)
		// Limited: a few very large jobs would distort every target and delay.
		m := &e.size[j.class]
		m.Add(min(run/slowdown, outlierRatio*m.Or(run/slowdown, 0)), pooledSamples)
	}
	if j.size > 0 {
		// Rough hints are too low for small jobs and too high for large ones.
		hintRatio := run / e.slowdownOf(now, profile, kind) / j.size
		hintRatio = min(max(hintRatio, 1/outlierRatio), outlierRatio)
		stats.Of(e.hintRatio, windowKey{j.class, j.bucket}).Add(hintRatio, pooledSamples)
		e.size[j.class].Add(e.sizeOf(j), pooledSamples)
	}
	size := e.sizeOf(j)
	// One outlier, above all a first job, must not set the slowdown of all workers.
	usual := e.allSlowdown.Or(1, 1)
	ratio := min(max(run/size, usual/outlierRatio), usual*outlierRatio)
	profile.slowdown.Add(now, size, ratio*size, windowLen)
	weight := size / e.run.Or(size, 1)
	stats.Of(e.kindSlowdown, kind).AddWeighted(ratio, weight, pooledSamples)
	e.allSlowdown.AddWeighted(ratio, weight, pooledSamples)
	e.run.Add(run, pooledSamples)
	line := stats.Of(e.queueWait, j.priority)
	line.AddWeighted(free-j.slots, wait, 1, pooledSamples)
	e.full.AddWeighted(free-j.slots, 0, 1, pooledSamples)
	// While all workers are busy the fit would otherwise be flat up to idle.
	line.AddWeighted(idle-j.slots, 0, idleWeight, pooledSamples)
	stats.Of(profile.process, windowKey{j.class, j.bucket}).Add(now, free, (wait+run)/size, windowLen)
}
