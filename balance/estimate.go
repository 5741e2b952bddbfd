package balance

import (
	"math"
	"time"

	"ospreybend/internal/util/estimate"
	"ospreybend/internal/util/stats"
)

const (
	windowLen            = estimate.WindowLength
	slowdownPriorSamples = 2.0  // samples of a worker that weigh as much as the slowdown of its kind
	pooledSamples        = 256. // bound on the weight of a pooled estimate, which thus forgets old samples
	outlierRatio         = 4.   // samples that differ from the usual value by more than this factor are limited
	minRunTime           = 1e-4 // seconds; shorter run times are below the resolution of the clock
	hintPriorSamples     = 10.  // weight, in samples, of the assumption that cost hints are exact
	defaultRunTime       = 0.1  // seconds, assumed before any job has run
	waitPriorSamples     = 16.  // weight, in samples, of the assumed queue wait
	idleSampleWeight     = 0.2  // weight of the sample, added with each job, that an idle worker has no queue
	bucketGrowth         = 4.0  // ratio of the bounds of size buckets; large, so that most get samples
)

// bucketOf returns the size bucket of a cost hint, or 0 without one.
func bucketOf(cost time.Duration, hasCost bool) int {
	if !hasCost || cost <= 0 {
		return 0
	}
	return 1 + stats.Bucket(float64(cost/time.Microsecond), bucketGrowth)
}

// classBucket is a class of requests and a size bucket.
type classBucket struct{ class, bucket int }

// delaySamples holds the samples of one worker's delays.
type delaySamples struct {
	transfer       stats.Window                  // round trip by size
	processing     map[classBucket]*stats.Window // queue wait and run time, per second of size, by free slots
	slowdown       stats.Window                  // run time by size
	sampleLifetime time.Duration
}

// reset drops all samples.
func (d *delaySamples) reset() {
	d.transfer, d.slowdown = stats.Window{}, stats.Window{}
	d.processing = map[classBucket]*stats.Window{}
}

// estimator predicts delays from a worker's own samples and from samples pooled over many workers.
type estimator struct {
	classSize      []stats.Mean                // by class: size of a job
	kindSlowdown   map[int]*stats.Mean         // by worker kind: run time per second of size
	hintCorrection map[classBucket]*stats.Mean // run time at slowdown 1 per second of the cost hint
	allSlowdown    stats.Mean                  // run time per second of size, over all workers
	fullRate       stats.Regression            // fraction of attempts rejected, by free slots beyond the job's
	queueWait      map[int]*stats.Regression   // by queue priority: queue wait, by free slots beyond the job's
	meanRun        stats.Mean                  // run time of all jobs
	zoneTransfer   map[int]*stats.Mean         // by worker zone: round trips of rejections
	minStartDelay  map[int]float64             // by worker zone: least time from a send to the start report
}

func newEstimator(classes int) estimator {
	return estimator{classSize: make([]stats.Mean, classes), queueWait: map[int]*stats.Regression{},
		hintCorrection: map[classBucket]*stats.Mean{}, kindSlowdown: map[int]*stats.Mean{},
		zoneTransfer: map[int]*stats.Mean{}, minStartDelay: map[int]float64{}}
}

// job is what the estimator needs to know of a request.
type job struct {
	class, bucket int
	size          float64 // the cost hint in seconds; 0: none
	priority      int     // 0 unless workers serve their queues by priority
	slots         float64
	cachedSize    float64 // result of sizeOf, kept while a worker is chosen; 0: none
}

// sizeOf estimates a job's size, its run time in seconds at slowdown 1: the corrected hint or the class mean.
func (e *estimator) sizeOf(j job) float64 {
	if j.cachedSize > 0 {
		return j.cachedSize
	}
	if j.size > 0 {
		return j.size * stats.Ensure(e.hintCorrection, classBucket{j.class, j.bucket}).Blend(1, hintPriorSamples)
	}
	if m := e.classSize[j.class]; m.N > 0 {
		return m.Sum / m.N
	}
	return e.meanRun.Blend(defaultRunTime, 1)
}

// slowdownOf estimates a worker's slowdown, its run time per second of size.
func (e *estimator) slowdownOf(now time.Duration, delays *delaySamples, kind int) float64 {
	prior := stats.Ensure(e.kindSlowdown, kind).Blend(e.allSlowdown.Blend(1, 1), slowdownPriorSamples)
	// This is a ratio of sums, as the ratio of a single small job, with an inexact hint or time, means little.
	own := delays.slowdown.Fit(now, delays.sampleLifetime, 0)
	priorSeconds := slowdownPriorSamples * e.meanRun.Blend(defaultRunTime, 1)
	return (own.SumY + prior*priorSeconds) / (own.SumX + priorSeconds)
}

// predictQueueWait predicts the queue wait at a worker with that many slots, of which some are free. The
// prior is the time until the missing slots become free, smoothed as reports are off by about one slot.
func (e *estimator) predictQueueWait(j job, free, slots float64) float64 {
	pooled := stats.Ensure(e.queueWait, j.priority)
	prior := math.Log1p(math.Exp(j.slots-free)) * e.meanRun.Blend(defaultRunTime, 1) / slots
	return (pooled.At(free-j.slots)*pooled.N + prior*waitPriorSamples) / (pooled.N + waitPriorSamples)
}

// predictTransfer uses the worker's samples, else the mean of its zone, else the zone's least start delay.
func (e *estimator) predictTransfer(now time.Duration, delays *delaySamples, zone int, j job) float64 {
	if fit := delays.transfer.Fit(now, delays.sampleLifetime, 1); fit.N > 0 {
		return fit.At(e.sizeOf(j))
	}
	if m := e.zoneTransfer[zone]; m != nil {
		return m.Blend(0, 0)
	}
	return e.minStartDelay[zone]
}

// predictProcessing predicts queue wait plus run time at a worker with that many slots, some of them free.
// The worker's fit is weighted by sample count against the pooled prediction: in a large fleet most have few.
func (e *estimator) predictProcessing(now time.Duration, delays *delaySamples, kind int, j job,
	free, slots float64) float64 {
	size := e.sizeOf(j)
	pooled := e.slowdownOf(now, delays, kind)*size + e.predictQueueWait(j, free, slots)
	own := stats.Ensure(delays.processing, classBucket{j.class, j.bucket}).Fit(now, delays.sampleLifetime, -1)
	return estimate.Blend(own.At(free)*size, own.N, pooled, estimate.PriorSamples)
}

// recordProcessing records a completed job: its queue wait and run time in seconds, and the worker's free
// slots as of the send and when it is idle.
func (e *estimator) recordProcessing(now time.Duration, delays *delaySamples, kind int, j job,
	free, idle, wait, run float64) {
	run = max(run, minRunTime) // 0 would give a size of 0 and turn every later prediction into NaN
	if j.size == 0 {
		// Only the product of size and slowdown is known. Unless the mean slowdown is taken as 1, both drift.
		slowdown := e.slowdownOf(now, delays, kind) / e.allSlowdown.Blend(1, 1)
		// The sample is limited, as a few very large jobs would distort all latency targets and predictions.
		m := &e.classSize[j.class]
		m.Add(min(run/slowdown, outlierRatio*m.Blend(run/slowdown, 0)), pooledSamples)
	}
	if j.size > 0 {
		// Inexact hints tend to be too low for small jobs and too high for large ones.
		hintRatio := min(max(run/e.slowdownOf(now, delays, kind)/j.size, 1/outlierRatio), outlierRatio)
		stats.Ensure(e.hintCorrection, classBucket{j.class, j.bucket}).Add(hintRatio, pooledSamples)
		e.classSize[j.class].Add(e.sizeOf(j), pooledSamples)
	}
	size, meanSlowdown := e.sizeOf(j), e.allSlowdown.Blend(1, 1)
	// A single outlier, above all the first job, must not determine the slowdown of all workers.
	slowdown := min(max(run/size, meanSlowdown/outlierRatio), meanSlowdown*outlierRatio)
	delays.slowdown.Add(now, size, slowdown*size, windowLen)
	weight := size / e.meanRun.Blend(size, 1)
	stats.Ensure(e.kindSlowdown, kind).AddWeighted(slowdown, weight, pooledSamples)
	e.allSlowdown.AddWeighted(slowdown, weight, pooledSamples)
	e.meanRun.Add(run, pooledSamples)
	stats.Ensure(e.queueWait, j.priority).AddWeighted(free-j.slots, wait, 1, pooledSamples)
	e.fullRate.AddWeighted(free-j.slots, 0, 1, pooledSamples)
	// Otherwise, while all workers are busy, the fit would predict the same wait for an idle worker.
	stats.Ensure(e.queueWait, j.priority).AddWeighted(idle-j.slots, 0, idleSampleWeight, pooledSamples)
	stats.Ensure(delays.processing, classBucket{j.class, j.bucket}).Add(now, free, (wait+run)/size, windowLen)
}
