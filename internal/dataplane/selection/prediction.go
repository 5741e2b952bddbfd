package selection

import (
	"time"

	"ospreybend/internal/util/estimate"
	"ospreybend/internal/util/stats"
)

// Properties of the engines, as priors until responses show others. All are in seconds, or seconds per
// token.
const (
	prefillPerToken       = 1. / 40000     // of a prefill worker
	decodePrefillPerToken = 2. * 2 / 40000 // prefill on a decode worker: half the pace, between the tokens of its streams
	attentionPerTokenPair = 0.5e-9         // added for each pair of a computed token and one before it
	prefillBase           = 0.006          // a prefill call without uncached tokens
	firstEventTime        = 0.015          // of a decode worker, without prefill
	plainRequestTime      = 0.05           // a request of a service without stages
	decodePerToken        = 0.007
	defaultSameZoneRTT    = 0.002
	defaultCrossZoneRTT   = 0.004
	sendPerToken          = 2e-8 // sending the prompt
	defaultPromptTokens   = 1500 // tokens of a request that names none
)

const (
	slowdownPriorSamples = 2.0  // samples of a worker's own that the pooled slowdown counts as
	poolSamples          = 256. // samples after which pooled values forget
	poolPriorSamples     = 8.   // pooled samples that a constant counts as
	waitPriorSamples     = 200. // the same for the queue wait
	maxOutlierRatio      = 4.   // a call that is this many times slower or faster than typical counts as just that
	minSeconds           = 1e-4
	bucketBase           = 4. // factor between prompt size buckets; coarse, so that few of them lack samples
	bucketTokens         = 64.
	transferWaitShare    = 0.3 // queue wait of a run after a KV cache transfer, against one with its own prefill
	interTokenBucket     = -1  // bucket of the time between tokens
	transferBucket       = 0   // bucket of first events after a KV cache transfer
)

// pool is what the workers of one class have shown together. It is the prior for each of them.
type pool struct {
	slowdown         stats.Mean   // processing time for each second on an unloaded worker of nominal speed
	transferSlowdown stats.Mean   // the same for first events after a KV cache transfer
	wait             stats.Pooled // queue wait against the negated load, as the fit allows falling lines alone
	sameZoneRTT      stats.Mean   // network time of calls within the node's zone, without the prompt's size
	crossZoneRTT     stats.Mean
	unloadedTime     stats.Mean // of the calls
	requestTokens    stats.Mean // KV cache that a running request reserves

	running, waiting   stats.Mean    // foreign load of a worker
	lastReport         time.Duration // when a response last reported load
	excludesOwnRequest bool          // reports do not count the request whose response they are in
}

// typicalUnloadedTime returns the seconds that a typical call takes on an unloaded worker.
func (p *pool) typicalUnloadedTime(class workerClass) float64 {
	prior := plainRequestTime
	if class != classPlain {
		prior = prefillBase + defaultPromptTokens*prefillPerToken
	}
	return max(minSeconds, p.unloadedTime.Or(prior, poolPriorSamples))
}

// task is what is predicted for a call, independent of the worker's load.
type task struct {
	bucket       int     // of the processing times that are fitted together
	unloaded     float64 // seconds of processing on an unloaded worker of nominal speed
	size         float64 // tokens sent, or tokens to be transferred weighed by distance
	transfersKV  bool    // the network time includes a KV cache transfer
	transferTime float64 // predicted seconds of the KV cache transfer
}

// forecast is the prediction for one call in seconds up to the beginning of its response: the terms of
// Eq. 3, whose sum is total.
type forecast struct {
	task
	load    workerLoad
	network float64 // round trip, sending the prompt, KV cache transfer
	run     float64 // processing
	wait    float64 // in the worker's queue
}

// total returns the seconds up to the beginning of the response.
func (f forecast) total() float64 { return f.network + f.run + f.wait }

// bucketOf returns the bucket of prompts with that many uncached tokens.
func bucketOf(uncached float64) int {
	return 1 + stats.Bucket(max(0, uncached)/bucketTokens, bucketBase)
}

// unloadedTime returns the seconds that an unloaded worker of nominal speed takes to compute uncached
// tokens that follow cached ones.
func unloadedTime(class workerClass, uncached, cached float64) float64 {
	switch class {
	case classPrefill:
		return prefillBase + uncached*(prefillPerToken+attentionPerTokenPair*(cached+uncached/2))
	case classDecode:
		return firstEventTime + uncached*(decodePrefillPerToken+attentionPerTokenPair*(cached+uncached/2))
	}
	return plainRequestTime
}

// rtt predicts the network time of a call without its prompt and without a KV cache transfer.
func (p *pool) rtt(worker *worker) float64 {
	if worker.sameZone {
		return p.sameZoneRTT.Or(defaultSameZoneRTT, poolPriorSamples)
	}
	return p.crossZoneRTT.Or(defaultCrossZoneRTT, poolPriorSamples)
}

// slowdownOf returns a worker's processing time for each second on an unloaded worker of nominal speed.
func (p *pool) slowdownOf(now time.Duration, w *worker) float64 {
	prior := p.slowdown.Or(1, poolPriorSamples)
	own := w.slowdown[w.class].Fit(now, sampleTTL, 0)
	weight := slowdownPriorSamples * p.typicalUnloadedTime(w.class)
	return (own.SumY + prior*weight) / (own.SumX + weight)
}

// queueWait predicts the queue wait at a load. The prior is the time that the queued requests take.
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

// predict returns the forecast of a task on a worker at its load (Eq. 3). Processing and queue wait are
// first predicted apart, from pooled values; their sum is then scaled to what the worker's own fit for
// the task's bucket says.
func (s *service) predict(now time.Duration, w *worker, task task, load workerLoad) forecast {
	f := forecast{task: task, load: load}
	pool := &s.pools[w.class]
	run, wait := pool.slowdownOf(now, w)*task.unloaded, s.queueWait(w, load)
	if task.transfersKV { // its first token joins the next step of the batch
		run, wait = pool.transferSlowdown.Or(1, poolPriorSamples)*task.unloaded, wait*transferWaitShare
	}
	process := w.delays[w.class].Process(now, task.bucket, load.forClass(w.class), (run+wait)/task.unloaded) * task.unloaded
	scale := process / max(run+wait, minSeconds)
	f.run, f.wait = run*scale, wait*scale+max(0, load.stall)
	f.network = s.networkTime(now, w, task)
	return f
}

// networkTime predicts the network time of a task on a worker.
func (s *service) networkTime(now time.Duration, w *worker, task task) float64 {
	pooled := s.pools[w.class].rtt(w)
	if task.transfersKV {
		return pooled + task.transferTime
	}
	return w.delays[w.class].Transfer(now, task.size, pooled+task.size*sendPerToken)
}

// learn records the seconds that a call took up to the beginning of its response. Only their sum is
// observed: it is divided as its terms were predicted, and the fits against size and load separate them
// in the course of time.
func (s *service) learn(now time.Duration, call *Call, seconds float64) {
	w, f := call.worker, call.forecast
	if w.class != call.workerClass || seconds <= 0 {
		return // the worker has changed its role since
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
	w.slowdown[w.class].Add(now, f.unloaded, ratio*f.unloaded, estimate.WindowLength)
	pool.slowdown.AddWeighted(ratio, min(1, f.unloaded/pool.typicalUnloadedTime(w.class)), poolSamples)
	pool.unloadedTime.Add(f.unloaded, poolSamples)
	pool.wait.AddWeighted(-f.load.forClass(w.class), wait, 1, poolSamples)
}

// clampRatio bounds a ratio to within maxOutlierRatio of the typical one.
func clampRatio(ratio, typical float64) float64 {
	return min(max(ratio, typical/maxOutlierRatio), typical*maxOutlierRatio)
}

// learnNetworkTime records the network time of a call.
func (s *service) learnNetworkTime(now time.Duration, call *Call, seconds float64) {
	w, f := call.worker, call.forecast
	pool := &s.pools[w.class]
	rtt := pool.rtt(w)
	if f.transfersKV {
		s.learnTransferTime(now, call, seconds*(1-rtt/max(f.network, rtt)))
		return
	}
	w.delays[w.class].AddTransfer(now, f.size, seconds)
	rtt = min(max(0, seconds-f.size*sendPerToken), rtt*maxOutlierRatio)
	if w.sameZone {
		pool.sameZoneRTT.Add(rtt, poolSamples)
	} else {
		pool.crossZoneRTT.Add(rtt, poolSamples)
	}
}

// secondsPerToken predicts the time between the tokens of a stream on a decode worker.
func (w *worker) secondsPerToken(now time.Duration, load workerLoad) float64 {
	return w.delays[classDecode].Process(now, interTokenBucket, load.running, 1) * decodePerToken
}
