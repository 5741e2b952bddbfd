package selection

import (
	"time"

	"ospreybend/internal/util/stats"
)

// Facts of the engines that the interface describes, as priors; all are in seconds, or seconds a token.
const (
	prefillPerToken       = 1. / 40000     // a prefill worker's time to read a token
	decodePrefillPerToken = 2. * 2 / 40000 // a decode worker's: half the pace, between the tokens of others
	attentionPerTokenPair = 0.5e-9         // reading a token, for each token before it
	prefillBase           = 0.006          // answering a call that reads nothing
	firstEventTime        = 0.015          // a first event
	plainRequestTime      = 0.05           // answering a request of a service without stages
	decodePerToken        = 0.007          // making one token
	sameZoneRoundTrip     = 0.002          // within a zone
	crossZoneRoundTrip    = 0.004          // between zones
	sendPerToken          = 2e-8           // sending a token of the prompt
	defaultPromptTokens   = 1500           // tokens, where a request tells none
)

const (
	slowdownPriorSamples = 2.0  // the pooled ratio counts as this many samples of a worker's own
	poolSamples          = 256. // samples after which what is pooled forgets
	poolPriorSamples     = 8.   // samples that a constant counts as against what is pooled
	waitPriorSamples     = 200. // the same for the wait
	maxOutlierRatio      = 4.   // a call this many times slower or faster than usual counts as just that
	minSeconds           = 1e-4
	bucketBase           = 4. // size buckets grow by this factor, so that few of them starve
	bucketTokens         = 64.
	transferWaitShare    = 0.3 // part of the wait of one that reads
	interTokenBucket     = -1  // the window of the time between tokens
	transferBucket       = 0   // the window of first events of what another worker has read
)

// pool is what the workers of one class have shown together.
type pool struct {
	slowdown           stats.Mean   // running time for each second that it should take
	transferSlowdown   stats.Mean   // the same for first events of what another worker has read
	wait               stats.Pooled // queue wait against the load, with its sign turned
	sameZoneTrip       stats.Mean   // transfer of calls to the own zone, beyond what moving takes
	crossZoneTrip      stats.Mean
	unloadedTime       stats.Mean    // time that a call should take by itself
	running, waiting   stats.Mean    // load at a worker by others
	requestTokens      stats.Mean    // tokens that a running request holds
	lastReport         time.Duration // when an answer last told of load
	excludesOwnRequest bool          // an answer does not count its own request
}

// typicalUnloadedTime is the time that a usual call takes by itself.
func (p *pool) typicalUnloadedTime(c workerClass) float64 {
	prior := plainRequestTime
	if c != classPlain {
		prior = prefillBase + defaultPromptTokens*prefillPerToken
	}
	return max(minSeconds, p.unloadedTime.Or(prior, poolPriorSamples))
}

// task is one call as a prediction sees it.
type task struct {
	bucket       int
	unloaded     float64 // seconds that it should take by itself
	size         float64 // tokens sent, or tokens to be moved weighed by distance
	transfersKV  bool    // its transfer includes a hand-over
	transferTime float64 // seconds that this is predicted to take
}

// forecast is a prediction for one call, in seconds up to its answer's beginning.
type forecast struct {
	task
	load               workerLoad
	network, run, wait float64
}

func (f forecast) total() float64 { return f.network + f.run + f.wait }

// bucketOf gives the size bucket of so many tokens to be read.
func bucketOf(uncached float64) int {
	return 1 + stats.Bucket(max(0, uncached)/bucketTokens, bucketBase)
}

// unloadedTime is the time that reading takes by itself, where so many tokens before are kept.
func unloadedTime(class workerClass, uncached, cached float64) float64 {
	switch class {
	case classPrefill:
		return prefillBase + uncached*(prefillPerToken+attentionPerTokenPair*(cached+uncached/2))
	case classDecode:
		return firstEventTime + uncached*(decodePrefillPerToken+attentionPerTokenPair*(cached+uncached/2))
	}
	return plainRequestTime
}

// roundTrip predicts the transfer of a call that moves nothing.
func (p *pool) roundTrip(worker *worker) float64 {
	if worker.sameZone {
		return p.sameZoneTrip.Or(sameZoneRoundTrip, poolPriorSamples)
	}
	return p.crossZoneTrip.Or(crossZoneRoundTrip, poolPriorSamples)
}

// slowdownOf is a worker's running time for each second that a call should take.
func (p *pool) slowdownOf(now time.Duration, w *worker) float64 {
	prior := p.slowdown.Or(1, poolPriorSamples)
	own := w.slowdown[w.class].Fit(now, sampleTTL, 0)
	weight := slowdownPriorSamples * p.typicalUnloadedTime(w.class)
	return (own.SumY + prior*weight) / (own.SumX + weight)
}

// queueWait predicts the queue wait at a load.
func (s *service) queueWait(w *worker, load workerLoad) float64 {
	pool, queued := &s.pools[w.class], load.forClass(w.class)
	prior := queued * pool.typicalUnloadedTime(w.class)
	if w.class == classPlain {
		slots := s.slotsOf(w)
		prior = max(0, queued+1-slots) * pool.typicalUnloadedTime(w.class) / slots
	}
	line := &pool.wait
	return (line.At(-queued)*line.N + prior*waitPriorSamples) / (line.N + waitPriorSamples)
}

// predict forecasts a call to a worker at its load.
func (s *service) predict(now time.Duration, w *worker, task task, load workerLoad) forecast {
	f := forecast{task: task, load: load}
	pool := &s.pools[w.class]
	run, wait := pool.slowdownOf(now, w)*task.unloaded, s.queueWait(w, load)
	if task.transfersKV { // its first token goes with a step that may read for others too
		run, wait = pool.transferSlowdown.Or(1, poolPriorSamples)*task.unloaded, wait*transferWaitShare
	}
	process := w.delays[w.class].Process(now, task.bucket, load.forClass(w.class), (run+wait)/task.unloaded) * task.unloaded
	scale := process / max(run+wait, minSeconds)
	f.run, f.wait = run*scale, wait*scale+max(0, load.stall)
	f.network = s.networkTime(now, w, task)
	return f
}

// networkTime predicts the transfer of a task to a worker.
func (s *service) networkTime(now time.Duration, w *worker, task task) float64 {
	pooled := s.pools[w.class].roundTrip(w)
	if task.transfersKV {
		return pooled + task.transferTime
	}
	return w.delays[w.class].Transfer(now, task.size, pooled+task.size*sendPerToken)
}

// learn takes in the time that a call took up to its answer's beginning. Only the sum is seen: it is
// shared out as the parts were predicted, and the lines in size and in load tell them apart.
func (s *service) learn(now time.Duration, call *Call, seconds float64) {
	w, f := call.worker, call.forecast
	if w.class != call.workerClass || seconds <= 0 {
		return // the worker's stage has changed since
	}
	scale := seconds / max(f.total(), minSeconds)
	network, run, wait := f.network*scale, f.run*scale, f.wait*scale
	pool := &s.pools[w.class]
	s.learnNetworkTime(now, call, network)
	w.delays[w.class].AddProcess(now, f.bucket, f.load.forClass(w.class), (run+wait)/f.unloaded)
	if f.transfersKV {
		pool.transferSlowdown.Add(clampRatio(run/f.unloaded, pool.transferSlowdown.Or(1, poolPriorSamples)), poolSamples)
		return
	}
	ratio := clampRatio(run/f.unloaded, pool.slowdown.Or(1, poolPriorSamples))
	w.slowdown[w.class].Add(now, f.unloaded, ratio*f.unloaded, windowLength)
	pool.slowdown.AddWeighted(ratio, min(1, f.unloaded/pool.typicalUnloadedTime(w.class)), poolSamples)
	pool.unloadedTime.Add(f.unloaded, poolSamples)
	pool.wait.AddWeighted(-f.load.forClass(w.class), wait, 1, poolSamples)
}

// clampRatio bounds an odd ratio by the usual one.
func clampRatio(ratio, usual float64) float64 {
	return min(max(ratio, usual/maxOutlierRatio), usual*maxOutlierRatio)
}

// learnNetworkTime takes in a transfer delay.
func (s *service) learnNetworkTime(now time.Duration, call *Call, seconds float64) {
	w, f := call.worker, call.forecast
	pool := &s.pools[w.class]
	roundTrip := pool.roundTrip(w)
	if f.transfersKV {
		s.learnTransferTime(now, call, seconds*(1-roundTrip/max(f.network, roundTrip)))
		return
	}
	w.delays[w.class].AddTransfer(now, f.size, seconds)
	roundTrip = min(max(0, seconds-f.size*sendPerToken), roundTrip*maxOutlierRatio)
	if w.sameZone {
		pool.sameZoneTrip.Add(roundTrip, poolSamples)
	} else {
		pool.crossZoneTrip.Add(roundTrip, poolSamples)
	}
}

// secondsPerToken predicts the seconds for each token that a decode worker makes.
func (w *worker) secondsPerToken(now time.Duration, load workerLoad) float64 {
	return w.delays[classDecode].Process(now, interTokenBucket, load.running, 1) * decodePerToken
}
