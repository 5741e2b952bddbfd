package selection

import (
	"time"

	"ospreybend/internal/util/estimate"
	"ospreybend/internal/util/stats"
)

// Assumed properties of the engines. They are the priors of the predictions until there are enough
// samples. All but defaultPromptTokens are in seconds, or in seconds per token.
const (
	prefillPerToken       = 1. / 40000     // prefill on a prefill worker
	decodePrefillPerToken = 2. * 2 / 40000 // prefill on a decode worker: at half the speed, interleaved with the decoding of its streams
	attentionPerTokenPair = 0.5e-9         // attention, for each pair of a computed token and a token before it
	prefillBase           = 0.006          // a prefill call without uncached tokens
	firstEventTime        = 0.015          // first event of a decode worker, without prefill
	plainRequestTime      = 0.05           // a request of a service without stages
	decodePerToken        = 0.007
	defaultSameZoneRTT    = 0.002
	defaultCrossZoneRTT   = 0.004
	sendPerToken          = 2e-8 // sending the prompt
	defaultPromptTokens   = 1500 // tokens of a prompt whose length the request does not state
)

const (
	slowdownPriorSamples = 2.0  // weight of the pooled slowdown, in a worker's own samples
	pooledSamples        = 256. // samples over which pooled values are averaged
	constantPriorSamples = 8.   // weight of a constant prior, in pooled samples
	waitPriorSamples     = 200. // weight of the prior queue wait, in pooled samples
	maxOutlierRatio      = 4.   // samples are clamped to within this factor of the typical value
	minSeconds           = 1e-4 // lower bound on predicted times that are divided by
	bucketBase           = 4.   // factor between the bounds of prompt size buckets; coarse, so that few buckets lack samples
	bucketTokens         = 64.  // unit of the bounds
	transferWaitShare    = 0.3  // queue wait of a run after a KV cache transfer, relative to one that prefills its prompt
	interTokenBucket     = -1   // bucket of the time between tokens
	transferBucket       = 0    // bucket of first events after a KV cache transfer
)

// classEstimates has the estimates that are pooled over all workers of a class. They are the priors for each
// worker.
type classEstimates struct {
	slowdown         stats.Mean       // processing time relative to that on an unloaded worker of nominal speed
	transferSlowdown stats.Mean       // the same for first events after a KV cache transfer
	queueWait        stats.Regression // queue wait against the negated load, as the fit never rises with x
	sameZoneRTT      stats.Mean       // network time of calls within the node's zone, without sending the prompt
	crossZoneRTT     stats.Mean       // the same for calls to other zones
	unloadedTime     stats.Mean       // predicted processing time of the calls on an unloaded worker
	requestTokens    stats.Mean       // tokens of KV cache that a running request reserves

	foreignRunning, foreignWaiting stats.Mean    // foreign load per worker
	lastReport                     time.Duration // when a response last reported load
	excludesOwnRequest             bool          // load reports do not include the request that they respond to
}

// typicalUnloadedTime returns the mean processing seconds of a call on an unloaded worker.
func (e *classEstimates) typicalUnloadedTime(class workerClass) float64 {
	prior := plainRequestTime
	if class != classPlain {
		prior = prefillBase + defaultPromptTokens*prefillPerToken
	}
	return max(minSeconds, e.unloadedTime.Blend(prior, constantPriorSamples))
}

// task is the work of a call, independent of the worker's load.
type task struct {
	bucket       int     // calls of the same bucket share a fit of their processing times
	unloaded     float64 // seconds of processing on an unloaded worker of nominal speed
	size         float64 // tokens sent or, with transfersKV, transferSize
	transfersKV  bool    // the network time includes a KV cache transfer
	transferTime float64 // predicted seconds of the KV cache transfer
}

// forecast predicts the seconds from sending a call to the beginning of its response, by the terms of
// Eq. 3.
type forecast struct {
	task
	load       workerLoad // of the worker when the call is sent
	network    float64    // round trip, sending the prompt, KV cache transfer
	processing float64    // on the worker, without queue wait
	queueWait  float64    // in the worker's queue, and the delay by an overdue call
}

// total returns the sum of the terms.
func (f forecast) total() float64 { return f.network + f.processing + f.queueWait }

// bucketOf returns the bucket of prompts with the given number of uncached tokens.
func bucketOf(uncached float64) int {
	return 1 + stats.Bucket(max(0, uncached)/bucketTokens, bucketBase)
}

// unloadedTime returns the processing seconds of a prompt, with that many uncached tokens after the cached
// ones, on an unloaded worker of nominal speed.
func unloadedTime(class workerClass, uncached, cached float64) float64 {
	switch class {
	case classPrefill:
		return prefillBase + uncached*(prefillPerToken+attentionPerTokenPair*(cached+uncached/2))
	case classDecode:
		return firstEventTime + uncached*(decodePrefillPerToken+attentionPerTokenPair*(cached+uncached/2))
	}
	return plainRequestTime
}

// rtt predicts the network time of a call, without sending the prompt and without a KV cache transfer.
func (e *classEstimates) rtt(worker *worker) float64 {
	if worker.sameZone {
		return e.sameZoneRTT.Blend(defaultSameZoneRTT, constantPriorSamples)
	}
	return e.crossZoneRTT.Blend(defaultCrossZoneRTT, constantPriorSamples)
}

// slowdownOf returns a worker's processing time relative to that on an unloaded worker of nominal speed.
func (e *classEstimates) slowdownOf(now time.Duration, w *worker) float64 {
	prior := e.slowdown.Blend(1, constantPriorSamples)
	own := w.slowdown[w.class].Fit(now, sampleTTL, 0)
	weight := slowdownPriorSamples * e.typicalUnloadedTime(w.class)
	return (own.SumY + prior*weight) / (own.SumX + weight)
}

// queueWait predicts the queue wait on a worker at a load. The prior is the processing time of the
// requests in the queue.
func (s *service) queueWait(w *worker, load workerLoad) float64 {
	pooled, queued := &s.estimates[w.class], load.fittedLoad(w.class)
	prior := queued * pooled.typicalUnloadedTime(w.class)
	if w.class == classPlain {
		slots := s.slotsOf(w)
		prior = max(0, queued+1-slots) * pooled.typicalUnloadedTime(w.class) / slots
	}
	line := &pooled.queueWait
	return (line.At(-queued)*line.N + prior*waitPriorSamples) / (line.N + waitPriorSamples)
}

// predict returns the forecast of a task on a worker at its load (Eq. 3). Processing and queue wait are
// first predicted separately from pooled values. Both are then scaled so that their sum matches the
// worker's own fit for the task's bucket.
func (s *service) predict(now time.Duration, w *worker, task task, load workerLoad) forecast {
	f := forecast{task: task, load: load}
	pooled := &s.estimates[w.class]
	processing, queueWait := pooled.slowdownOf(now, w)*task.unloaded, s.queueWait(w, load)
	if task.transfersKV { // the first token is decoded in the next step of the batch
		processing, queueWait = pooled.transferSlowdown.Blend(1, constantPriorSamples)*task.unloaded, queueWait*transferWaitShare
	}
	fitted := w.delays[w.class].Process(now, task.bucket, load.fittedLoad(w.class), (processing+queueWait)/task.unloaded) * task.unloaded
	scale := fitted / max(processing+queueWait, minSeconds)
	f.processing, f.queueWait = processing*scale, queueWait*scale+max(0, load.overdue)
	f.network = s.networkTime(now, w, task)
	return f
}

// networkTime predicts the network time of a task on a worker.
func (s *service) networkTime(now time.Duration, w *worker, task task) float64 {
	pooled := s.estimates[w.class].rtt(w)
	if task.transfersKV {
		return pooled + task.transferTime
	}
	return w.delays[w.class].Transfer(now, task.size, pooled+task.size*sendPerToken)
}

// learnResponseTime records the seconds from sending a call to the beginning of its response. Only the sum
// of the terms can be observed. It is divided in proportion to the forecast; over many samples, the fits
// against size and load separate the terms.
func (s *service) learnResponseTime(now time.Duration, call *Call, seconds float64) {
	w, f := call.worker, call.forecast
	if w.class != call.workerClass || seconds <= 0 {
		return // the worker's role has changed since the call was sent
	}
	scale := seconds / max(f.total(), minSeconds)
	network, processing, queueWait := f.network*scale, f.processing*scale, f.queueWait*scale
	pooled := &s.estimates[w.class]
	s.learnNetworkTime(now, call, network)
	w.delays[w.class].AddProcess(now, f.bucket, f.load.fittedLoad(w.class), (processing+queueWait)/f.unloaded)
	if f.transfersKV {
		pooled.transferSlowdown.Add(clampRatio(processing/f.unloaded, pooled.transferSlowdown.Blend(1, constantPriorSamples)), pooledSamples)
		return
	}
	ratio := clampRatio(processing/f.unloaded, pooled.slowdown.Blend(1, constantPriorSamples))
	w.slowdown[w.class].Add(now, f.unloaded, ratio*f.unloaded, estimate.WindowLength)
	pooled.slowdown.AddWeighted(ratio, min(1, f.unloaded/pooled.typicalUnloadedTime(w.class)), pooledSamples)
	pooled.unloadedTime.Add(f.unloaded, pooledSamples)
	pooled.queueWait.AddWeighted(-f.load.fittedLoad(w.class), queueWait, 1, pooledSamples)
}

// clampRatio clamps a ratio to within a factor of maxOutlierRatio of the typical one.
func clampRatio(ratio, typical float64) float64 {
	return min(max(ratio, typical/maxOutlierRatio), typical*maxOutlierRatio)
}

// learnNetworkTime records the network time of a call, as the time of its KV cache transfer or as a round
// trip.
func (s *service) learnNetworkTime(now time.Duration, call *Call, seconds float64) {
	w, f := call.worker, call.forecast
	pooled := &s.estimates[w.class]
	rtt := pooled.rtt(w)
	if f.transfersKV {
		s.learnTransferTime(now, call, seconds*(1-rtt/max(f.network, rtt)))
		return
	}
	w.delays[w.class].AddTransfer(now, f.size, seconds)
	rtt = min(max(0, seconds-f.size*sendPerToken), rtt*maxOutlierRatio)
	if w.sameZone {
		pooled.sameZoneRTT.Add(rtt, pooledSamples)
	} else {
		pooled.crossZoneRTT.Add(rtt, pooledSamples)
	}
}

// secondsPerToken predicts the time between two tokens of a stream on a decode worker at a load.
func (w *worker) secondsPerToken(now time.Duration, load workerLoad) float64 {
	return w.delays[classDecode].Process(now, interTokenBucket, load.running, 1) * decodePerToken
}
