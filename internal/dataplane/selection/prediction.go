package selection

import (
	"time"

	"ospreybend/internal/util/stats"
)

// Facts of the engines that the interface describes, as priors; all are in seconds, or seconds a token.
const (
	prefillToken = 1. / 40000     // a prefill worker's time to read a token
	aloneToken   = 2. * 2 / 40000 // a decode worker's: half the pace, between the tokens of others
	pairTime     = 0.5e-9         // reading a token, for each token before it
	prefillBase  = 0.006          // answering a call that reads nothing
	decodeBase   = 0.015          // a first event
	plainRun     = 0.05           // answering a request of a service without stages
	tokenTime    = 0.007          // making one token
	roundTrip    = 0.002          // within a zone
	farTrip      = 0.004          // between zones
	sendToken    = 2e-8           // sending a token of the prompt
	usualPrompt  = 1500           // tokens, where a request tells none
)

const (
	speedSamples = 2.0  // the pooled ratio counts as this many samples of a worker's own
	poolMemory   = 256. // samples after which what is pooled forgets
	poolPrior    = 8.   // samples that a constant counts as against what is pooled
	waitPrior    = 200. // the same for the wait
	oddRatio     = 4.   // a call this many times slower or faster than usual counts as just that
	leastSeconds = 1e-4
	bucketBase   = 4. // size buckets grow by this factor, so that few of them starve
	bucketTokens = 64.
	handWait     = 0.3 // part of the wait of one that reads
	restBucket   = -1  // the window of the time between tokens
	handBucket   = 0   // the window of first events of what another worker has read
)

// pool is what the workers of one class have shown together.
type pool struct {
	ratio            stats.Mean   // running time for each second that it should take
	handRatio        stats.Mean   // the same for first events of what another worker has read
	wait             stats.Pooled // queue wait against the load, with its sign turned
	nearTrip         stats.Mean   // transfer of calls to the own zone, beyond what moving takes
	farTrip          stats.Mean
	solo             stats.Mean    // time that a call should take by itself
	running, waiting stats.Mean    // load at a worker by others
	memory           stats.Mean    // tokens that a running request holds
	heard            time.Duration // when an answer last told of load
	leavesOut        bool          // an answer does not count its own request
}

// usualSolo is the time that a usual call takes by itself.
func (p *pool) usualSolo(c class) float64 {
	prior := plainRun
	if c != classPlain {
		prior = prefillBase + usualPrompt*prefillToken
	}
	return max(leastSeconds, p.solo.Or(prior, poolPrior))
}

// task is one call as a prediction sees it.
type task struct {
	bucket int
	solo   float64 // seconds that it should take by itself
	size   float64 // tokens sent, or tokens to be moved weighed by distance
	moving bool    // its transfer includes a hand-over
	move   float64 // seconds that this is predicted to take
}

// forecast is a prediction for one call, in seconds up to its answer's beginning.
type forecast struct {
	task
	load                load
	transfer, run, wait float64
}

func (f forecast) total() float64 { return f.transfer + f.run + f.wait }

// bucketOf gives the size bucket of so many tokens to be read.
func bucketOf(read float64) int { return 1 + stats.Bucket(max(0, read)/bucketTokens, bucketBase) }

// soloOf is the time that reading takes by itself, where so many tokens before are kept.
func soloOf(c class, read, kept float64) float64 {
	switch c {
	case classPrefill:
		return prefillBase + read*(prefillToken+pairTime*(kept+read/2))
	case classDecode:
		return decodeBase + read*(aloneToken+pairTime*(kept+read/2))
	}
	return plainRun
}

// tripOf predicts the transfer of a call that moves nothing.
func (p *pool) tripOf(w *worker) float64 {
	if w.near {
		return p.nearTrip.Or(roundTrip, poolPrior)
	}
	return p.farTrip.Or(farTrip, poolPrior)
}

// speedOf is a worker's running time for each second that a call should take.
func (p *pool) speedOf(now time.Duration, w *worker) float64 {
	prior := p.ratio.Or(1, poolPrior)
	own := w.speed[w.class].Fit(now, sampleLife, 0)
	weight := speedSamples * p.usualSolo(w.class)
	return (own.SumY + prior*weight) / (own.SumX + weight)
}

// waitOf predicts the queue wait at a load.
func (s *service) waitOf(w *worker, l load) float64 {
	pool, at := &s.pools[w.class], l.at(w.class)
	guess := at * pool.usualSolo(w.class)
	if w.class == classPlain {
		slots := s.slotsOf(w)
		guess = max(0, at+1-slots) * pool.usualSolo(w.class) / slots
	}
	line := &pool.wait
	return (line.At(-at)*line.N + guess*waitPrior) / (line.N + waitPrior)
}

// predict forecasts a call to a worker at its load.
func (s *service) predict(now time.Duration, w *worker, t task, l load) forecast {
	f := forecast{task: t, load: l}
	pool := &s.pools[w.class]
	run, wait := pool.speedOf(now, w)*t.solo, s.waitOf(w, l)
	if t.moving { // its first token goes with a step that may read for others too
		run, wait = pool.handRatio.Or(1, poolPrior)*t.solo, wait*handWait
	}
	process := w.delays[w.class].Process(now, t.bucket, l.at(w.class), (run+wait)/t.solo) * t.solo
	scale := process / max(run+wait, leastSeconds)
	f.run, f.wait = run*scale, wait*scale+max(0, l.stall)
	f.transfer = s.transferOf(now, w, t)
	return f
}

// transferOf predicts the transfer of a task to a worker.
func (s *service) transferOf(now time.Duration, w *worker, t task) float64 {
	pooled := s.pools[w.class].tripOf(w)
	if t.moving {
		return pooled + t.move
	}
	return w.delays[w.class].Transfer(now, t.size, pooled+t.size*sendToken)
}

// learn takes in the time that a call took up to its answer's beginning. Only the sum is seen: it is
// shared out as the parts were predicted, and the lines in size and in load tell them apart.
func (s *service) learn(now time.Duration, call *Call, seconds float64) {
	w, f := call.worker, call.forecast
	if w.class != call.class || seconds <= 0 {
		return // the worker's stage has changed since
	}
	scale := seconds / max(f.total(), leastSeconds)
	transfer, run, wait := f.transfer*scale, f.run*scale, f.wait*scale
	pool := &s.pools[w.class]
	s.learnTransfer(now, call, transfer)
	w.delays[w.class].AddProcess(now, f.bucket, f.load.at(w.class), (run+wait)/f.solo)
	if f.moving {
		pool.handRatio.Add(near(run/f.solo, pool.handRatio.Or(1, poolPrior)), poolMemory)
		return
	}
	ratio := near(run/f.solo, pool.ratio.Or(1, poolPrior))
	w.speed[w.class].Add(now, f.solo, ratio*f.solo, windowLength)
	pool.ratio.Weigh(ratio, min(1, f.solo/pool.usualSolo(w.class)), poolMemory)
	pool.solo.Add(f.solo, poolMemory)
	pool.wait.Weigh(-f.load.at(w.class), wait, 1, poolMemory)
}

// near bounds an odd ratio by the usual one.
func near(ratio, usual float64) float64 {
	return min(max(ratio, usual/oddRatio), usual*oddRatio)
}

// learnTransfer takes in a transfer delay.
func (s *service) learnTransfer(now time.Duration, call *Call, seconds float64) {
	w, f := call.worker, call.forecast
	pool := &s.pools[w.class]
	trip := pool.tripOf(w)
	if f.moving {
		s.learnMove(now, call, seconds*(1-trip/max(f.transfer, trip)))
		return
	}
	w.delays[w.class].AddTransfer(now, f.size, seconds)
	trip = min(max(0, seconds-f.size*sendToken), trip*oddRatio)
	if w.near {
		pool.nearTrip.Add(trip, poolMemory)
	} else {
		pool.farTrip.Add(trip, poolMemory)
	}
}

// tokenPace predicts the seconds for each token that a decode worker makes.
func (w *worker) tokenPace(now time.Duration, l load) float64 {
	return w.delays[classDecode].Process(now, restBucket, l.running, 1) * tokenTime
}
