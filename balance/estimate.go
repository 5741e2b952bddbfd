package balance

import (
	"math"
	"time"

	"ospreybend/internal/util/estimate"
	"ospreybend/internal/util/stats"
)

const (
	windowLen    = estimate.WindowLength
	paceSamples  = 2.0  // the kind's pace counts as this many samples of a worker's own
	poolSamples  = 256. // samples after which a pooled mean forgets
	oddRatio     = 4.   // a job this many times slower or faster than usual counts as just that
	leastRun     = 1e-4 // seconds; below it a running time is a rounding of the clock
	worthSamples = 10.  // samples that taking hints at their word counts for
	usualRun     = 0.1  // seconds that a job is held to run for until one has
	waitSamples  = 16.  // samples that the queue wait to be expected without any counts for
	idleWeight   = 0.2  // weight, in each sample, of knowing that an idle worker has no queue
	bucketBase   = 4.0  // size buckets grow by this factor, so that few of them starve
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
	transfer stats.Window // round trip against size
	process  map[windowKey]*stats.Window
	pace     stats.Window // running time for each second of size
	life     time.Duration
}

// forget restores the worker afresh, as when it restarts.
func (p *profile) forget() {
	p.transfer, p.pace = stats.Window{}, stats.Window{}
	p.process = map[windowKey]*stats.Window{}
}

// estimator predicts delays from the profiles of workers and what they pool.
type estimator struct {
	size     []stats.Mean              // by class: running time of a job without a hint
	kindPace map[int]*stats.Mean       // by worker kind: running time for each second of size
	worth    map[windowKey]*stats.Mean // running time at pace 1 for each second of hint
	allPace  stats.Mean                // over all workers
	full     stats.Pooled              // share of attempts turned away, against the same
	wait     map[int]*stats.Pooled     // by queue priority: queue wait against free slots beyond the job's need
	run      stats.Mean                // running time over all jobs
	transfer map[int]*stats.Mean       // by worker zone: round trips of full answers
	floor    map[int]float64           // by worker zone: least time seen from a send to its start note
}

func newEstimator(classes int) estimator {
	return estimator{size: make([]stats.Mean, classes), wait: map[int]*stats.Pooled{},
		worth:    map[windowKey]*stats.Mean{},
		kindPace: map[int]*stats.Mean{}, transfer: map[int]*stats.Mean{}, floor: map[int]float64{}}
}

// job is what the estimator needs to know of a request.
type job struct {
	class  int
	bucket int
	size   float64 // seconds of work by the hint; 0 without one
	level  int     // its queue priority, where workers serve by priority
	slots  float64
	sized  float64 // its size as estimated once for all workers; 0: not yet
}

// sizeOf gives the job's size in seconds: the hint by what such hints were worth, or its class's mean.
func (e *estimator) sizeOf(j job) float64 {
	if j.sized > 0 {
		return j.sized
	}
	if j.size > 0 {
		return j.size * stats.Of(e.worth, windowKey{j.class, j.bucket}).Or(1, worthSamples)
	}
	if m := e.size[j.class]; m.N > 0 {
		return m.Sum / m.N
	}
	return e.run.Or(usualRun, 1)
}

func (e *estimator) paceOf(now time.Duration, p *profile, kind int) float64 {
	prior := stats.Of(e.kindPace, kind).Or(e.allPace.Or(1, 1), paceSamples)
	// Each summed: the ratio of one small job, whose hint or clock is rough, says little.
	own := p.pace.Fit(now, p.life, 0)
	k := paceSamples * e.run.Or(usualRun, 1)
	return (own.SumY + prior*k) / (own.SumX + k)
}

// waitAt predicts the queue wait at so many free slots of all. Until jobs have shown it, that is the
// time in which the slots come free that lack, softened as reports are about one slot off.
func (e *estimator) waitAt(j job, free, slots float64) float64 {
	line, guess := stats.Of(e.wait, j.level), math.Log1p(math.Exp(j.slots-free))*e.run.Or(usualRun, 1)/slots
	return (line.At(free-j.slots)*line.N + guess*waitSamples) / (line.N + waitSamples)
}

// transferTo predicts the transfer delay, until sampled by the zone's mean, else its quickest start.
func (e *estimator) transferTo(now time.Duration, p *profile, zone int, j job) float64 {
	if l := p.transfer.Fit(now, p.life, 1); l.N > 0 {
		return l.At(e.sizeOf(j))
	}
	if m := e.transfer[zone]; m != nil {
		return m.Or(0, 0)
	}
	return e.floor[zone]
}

// processAt predicts the processing time, queue wait included, at so many free slots. The worker's own
// line counts by its samples against the pooled prediction: on a large fleet most are nearly empty.
func (e *estimator) processAt(now time.Duration, p *profile, kind int, j job, free, slots float64) float64 {
	size := e.sizeOf(j)
	pooled := e.paceOf(now, p, kind)*size + e.waitAt(j, free, slots)
	own := stats.Of(p.process, windowKey{j.class, j.bucket}).Fit(now, p.life, -1)
	return estimate.Blend(own.At(free)*size, own.N, pooled, estimate.PriorSamples)
}

// learnProcess takes in a finished job: wait and run in seconds.
func (e *estimator) learnProcess(now time.Duration, p *profile, kind int, j job,
	free, idle, wait, run float64) {
	// A job of no time would make a size of 0, and every prediction after it NaN.
	run = max(run, leastRun)
	if j.size == 0 {
		// Only their product is known here: the mean pace is held at 1, or both would drift.
		pace := e.paceOf(now, p, kind) / e.allPace.Or(1, 1)
		// The few heaviest jobs would draw every aim and delay far from the usual job's.
		m := &e.size[j.class]
		m.Add(min(run/pace, oddRatio*m.Or(run/pace, 0)), poolSamples)
	}
	if j.size > 0 {
		// Rough hints are too low among the small and too high among the large.
		worth := run / e.paceOf(now, p, kind) / j.size
		stats.Of(e.worth, windowKey{j.class, j.bucket}).Add(min(max(worth, 1/oddRatio), oddRatio), poolSamples)
		e.size[j.class].Add(e.sizeOf(j), poolSamples)
	}
	size := e.sizeOf(j)
	// One odd job, above all a first one, must not set the pace of all workers.
	usual := e.allPace.Or(1, 1)
	ratio := min(max(run/size, usual/oddRatio), usual*oddRatio)
	p.pace.Add(now, size, ratio*size, windowLen)
	weight := size / e.run.Or(size, 1)
	stats.Of(e.kindPace, kind).AddWeighted(ratio, weight, poolSamples)
	e.allPace.AddWeighted(ratio, weight, poolSamples)
	e.run.Add(run, poolSamples)
	line := stats.Of(e.wait, j.level)
	line.AddWeighted(free-j.slots, wait, 1, poolSamples)
	e.full.AddWeighted(free-j.slots, 0, 1, poolSamples)
	// When all are busy the line would otherwise be read flat up to idle.
	line.AddWeighted(idle-j.slots, 0, idleWeight, poolSamples)
	stats.Of(p.process, windowKey{j.class, j.bucket}).Add(now, free, (wait+run)/size, windowLen)
}
