package balance

import (
	"math"
	"time"

	"ospreybend/internal/util/estimate"
	"ospreybend/internal/util/stats"
)

const (
	windowLen            = estimate.WindowLength
	slowdownPriorSamples = 2.0  // the kind's pace counts as this many samples of a worker's own
	pooledSamples        = 256. // samples after which a pooled mean forgets
	outlierRatio         = 4.   // a job this many times slower or faster than usual counts as just that
	minRunTime           = 1e-4 // seconds; below it a running time is a rounding of the clock
	hintPriorSamples     = 10.  // samples that taking hints at their word counts for
	defaultRunTime       = 0.1  // seconds that a job is held to run for until one has
	waitPriorSamples     = 16.  // samples that the queue wait to be expected without any counts for
	idleWeight           = 0.2  // weight, in each sample, of knowing that an idle worker has no queue
	bucketBase           = 4.0  // size buckets grow by this factor, so that few of them starve
)

// bucketOf gives the size bucket of a cost hint; one bucket where there is none.
func bucketOf(cost time.Duration, has bool) int {
	if !has || cost <= 0 {
		return 0
	}
	return 1 + stats.Bucket(float64(cost/time.Microsecond), bucketBase)
}

// windowKey names a processing window of a worker.
type windowKey struct{ class, bucket int }

// profile is what is known of one worker's delays.
type profile struct {
	transfer       stats.Window // round trip against size
	process        map[windowKey]*stats.Window
	slowdown       stats.Window // running time for each second of size
	sampleLifetime time.Duration
}

// reset restores the worker afresh, as when it restarts.
func (p *profile) reset() {
	p.transfer, p.slowdown = stats.Window{}, stats.Window{}
	p.process = map[windowKey]*stats.Window{}
}

// estimator predicts delays from the profiles of workers and what they pool.
type estimator struct {
	size          []stats.Mean              // by class: running time of a job without a hint
	kindSlowdown  map[int]*stats.Mean       // by worker kind: running time for each second of size
	hintRatio     map[windowKey]*stats.Mean // running time at pace 1 for each second of hint
	allSlowdown   stats.Mean                // over all workers
	full          stats.Pooled              // share of attempts turned away, against the same
	queueWait     map[int]*stats.Pooled     // by queue priority: queue wait against free slots beyond the job's need
	run           stats.Mean                // running time over all jobs
	transfer      map[int]*stats.Mean       // by worker zone: round trips of full answers
	minStartDelay map[int]float64           // by worker zone: least time seen from a send to its start note
}

func newEstimator(classes int) estimator {
	return estimator{size: make([]stats.Mean, classes), queueWait: map[int]*stats.Pooled{},
		hintRatio:    map[windowKey]*stats.Mean{},
		kindSlowdown: map[int]*stats.Mean{}, transfer: map[int]*stats.Mean{}, minStartDelay: map[int]float64{}}
}

// job is what the estimator needs to know of a request.
type job struct {
	class      int
	bucket     int
	size       float64 // seconds of work by the hint; 0 without one
	priority   int     // its queue priority, where workers serve by priority
	slots      float64
	cachedSize float64 // its size as estimated once for all workers; 0: not yet
}

// sizeOf gives the job's size in seconds: the hint by what such hints were worth, or its class's mean.
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

func (e *estimator) slowdownOf(now time.Duration, p *profile, kind int) float64 {
	prior := stats.Of(e.kindSlowdown, kind).Or(e.allSlowdown.Or(1, 1), slowdownPriorSamples)
	// Each summed: the ratio of one small job, whose hint or clock is rough, says little.
	own := p.slowdown.Fit(now, p.sampleLifetime, 0)
	k := slowdownPriorSamples * e.run.Or(defaultRunTime, 1)
	return (own.SumY + prior*k) / (own.SumX + k)
}

// waitAt predicts the queue wait at so many free slots of all. Until jobs have shown it, that is the
// time in which the slots come free that lack, softened as reports are about one slot off.
func (e *estimator) waitAt(j job, free, slots float64) float64 {
	pooled, prior := stats.Of(e.queueWait, j.priority), math.Log1p(math.Exp(j.slots-free))*e.run.Or(defaultRunTime, 1)/slots
	return (pooled.At(free-j.slots)*pooled.N + prior*waitPriorSamples) / (pooled.N + waitPriorSamples)
}

// transferTo predicts the transfer delay, until sampled by the zone's mean, else its quickest start.
func (e *estimator) transferTo(now time.Duration, p *profile, zone int, j job) float64 {
	if l := p.transfer.Fit(now, p.sampleLifetime, 1); l.N > 0 {
		return l.At(e.sizeOf(j))
	}
	if m := e.transfer[zone]; m != nil {
		return m.Or(0, 0)
	}
	return e.minStartDelay[zone]
}

// processAt predicts the processing time, queue wait included, at so many free slots. The worker's own
// line counts by its samples against the pooled prediction: on a large fleet most are nearly empty.
func (e *estimator) processAt(now time.Duration, p *profile, kind int, j job, free, slots float64) float64 {
	size := e.sizeOf(j)
	pooled := e.slowdownOf(now, p, kind)*size + e.waitAt(j, free, slots)
	own := stats.Of(p.process, windowKey{j.class, j.bucket}).Fit(now, p.sampleLifetime, -1)
	return estimate.Blend(own.At(free)*size, own.N, pooled, estimate.PriorSamples)
}

// learnProcess takes in a finished job: wait and run in seconds.
func (e *estimator) learnProcess(now time.Duration, profile *profile, kind int, j job,
	free, idle, wait, run float64) {
	// A job of no time would make a size of 0, and every prediction after it NaN.
	run = max(run, minRunTime)
	if j.size == 0 {
		// Only their product is known here: the mean pace is held at 1, or both would drift.
		slowdown := e.slowdownOf(now, profile, kind) / e.allSlowdown.Or(1, 1)
		// The few heaviest jobs would draw every aim and delay far from the usual job's.
		m := &e.size[j.class]
		m.Add(min(run/slowdown, outlierRatio*m.Or(run/slowdown, 0)), pooledSamples)
	}
	if j.size > 0 {
		// Rough hints are too low among the small and too high among the large.
		hintRatio := run / e.slowdownOf(now, profile, kind) / j.size
		stats.Of(e.hintRatio, windowKey{j.class, j.bucket}).Add(min(max(hintRatio, 1/outlierRatio), outlierRatio), pooledSamples)
		e.size[j.class].Add(e.sizeOf(j), pooledSamples)
	}
	size := e.sizeOf(j)
	// One odd job, above all a first one, must not set the pace of all workers.
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
	// When all are busy the line would otherwise be read flat up to idle.
	line.AddWeighted(idle-j.slots, 0, idleWeight, pooledSamples)
	stats.Of(profile.process, windowKey{j.class, j.bucket}).Add(now, free, (wait+run)/size, windowLen)
}
