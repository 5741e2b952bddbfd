package selection

import (
	"time"
)

// Call is a call to a worker. It is in flight until the first of Done, Rejected, Failed and Abandoned;
// later ones have no effect.
type Call struct {
	service        *service
	worker         *worker
	source         *worker     // prefill worker that the KV cache is transferred from; nil: none
	workerClass    workerClass // class of the worker when the call was sent
	forecast       forecast
	prompt         []PromptSegment
	reservedTokens float64 // tokens of the worker's KV cache
	outputTokens   float64 // upper bound
	sentAt         time.Duration

	firstEventAt       time.Duration
	othersAtFirstEvent callCounts // this node's other calls at the worker at firstEventAt
	started            bool       // the response has begun
	ended              bool
}

// Sent returns a new Call, which is being sent to choice.Prefill (CallPrefill) or choice.Run (CallRun). If
// that worker is not in the view, the call has already ended and nothing is learned from it.
func (s *Selector) Sent(now time.Duration, request *Request, kind CallKind, choice Choice) *Call {
	call := &Call{sentAt: now, prompt: request.Prompt}
	target, svc := choice.Run, s.services[request.Service]
	if kind == CallPrefill {
		target = choice.Prefill
	}
	if svc == nil || target == nil || svc.workers[target.ID] == nil {
		call.ended = true
		return call
	}
	call.service, call.worker = svc, svc.workers[target.ID]
	if kind == CallRun && choice.Prefill != nil {
		call.source = svc.workers[choice.Prefill.ID]
	}
	svc.predictCall(now, svc.infoFor(now, request), call)
	call.worker.addCall(call)
	return call
}

// predictCall sets a call's forecast and the tokens of KV cache that it reserves.
func (s *service) predictCall(now time.Duration, info *requestInfo, call *Call) {
	w := call.worker
	call.workerClass, call.outputTokens = w.class, float64(info.request.OutputTokens)
	rankLimit, workers := 0., len(s.byClass[w.class])
	if w.class != classPlain {
		rankLimit = targetRankLimit(info, s.byClass[w.class])
	}
	cached := s.cachedTokens(info, w, rankLimit, workers)
	t := promptTask(w.class, info.promptTokens, cached)
	if call.source != nil {
		size := transferSize(call.source, w, info.promptTokens-cached)
		t = task{bucket: transferBucket, unloaded: firstEventTime, transfersKV: true, size: size}
		t.transferTime = s.transferTime(now, call.source, w, size)
	}
	if w.class == classDecode {
		call.reservedTokens = info.promptTokens + call.outputTokens
	}
	call.forecast = s.predict(now, w, t, s.estimateLoad(now, w))
}

// FirstEvent records that the first event of a call's response has arrived.
func (s *Selector) FirstEvent(now time.Duration, call *Call) {
	if call.ended || call.started {
		return
	}
	call.recordFirstEvent(now)
}

// recordFirstEvent marks the response as begun and learns from the time it took.
func (c *Call) recordFirstEvent(now time.Duration) {
	s, w := c.service, c.worker
	s.learnResponseTime(now, c, (now - c.sentAt).Seconds())
	c.othersAtFirstEvent = w.ownCallsExcept(c)
	c.started, c.firstEventAt = true, now
	w.cache.add(c.prompt, s.selector.nodes, s.occupiedTokens(w, workerLoad{}))
	if c.workerClass == classDecode {
		s.demand.Started++
		s.estimates[classDecode].requestTokens.Add(c.reservedTokens, pooledSamples)
	}
	if c.source != nil {
		s.recordTransferOutcome(now, c, false)
	}
}

// Done ends a call whose response is complete. Load is the load reported in the response header; nil: none.
func (s *Selector) Done(now time.Duration, call *Call, load *Load) {
	if call.ended {
		return
	}
	svc, w := call.service, call.worker
	at := now
	if call.started {
		at = call.firstEventAt
		call.learnDecodeTime(now)
	} else {
		call.recordFirstEvent(now)
	}
	if at > w.report.at || !w.report.known {
		svc.recordLoad(at, w, load, call.othersAtFirstEvent)
	}
	w.health.recordSuccess()
	if call.workerClass == classPrefill {
		svc.recordPrefill(call, (now - call.sentAt).Seconds())
	}
	call.close()
}

// learnDecodeTime records the time per token between the first event and the end of the response.
func (c *Call) learnDecodeTime(now time.Duration) {
	if c.workerClass != classDecode || c.worker.class != c.workerClass || c.outputTokens < 1 {
		return
	}
	ratio := (now - c.firstEventAt).Seconds() / (c.outputTokens * decodePerToken)
	ratio = min(max(ratio, 1/maxOutlierRatio), maxOutlierRatio)
	c.worker.delays[classDecode].AddProcess(now, interTokenBucket, c.forecast.load.running, ratio)
}

// Rejected ends a call that the worker did not execute. The round trip includes no processing, so it is
// a sample of the network time. The worker counts as full for fullAfterRejection.
func (s *Selector) Rejected(now time.Duration, call *Call, load *Load) {
	if call.ended {
		return
	}
	svc, w, f := call.service, call.worker, call.forecast
	if !f.transfersKV && w.class == call.workerClass && !call.started {
		rtt := (now - call.sentAt).Seconds()
		svc.learnNetworkTime(now, call, min(rtt, f.network*maxOutlierRatio))
	}
	w.report.fullUntil = now + fullAfterRejection
	svc.recordLoad(now, w, load, w.ownCallsExcept(call))
	call.close()
}

// Failed ends a call without a usable response. It adds no sample to the time predictions.
func (s *Selector) Failed(now time.Duration, call *Call, cause Failure) {
	if call.ended {
		return
	}
	if call.source != nil && cause == FailureTransfer {
		call.service.recordTransferOutcome(now, call, true)
	}
	call.worker.health.recordFailure(now, cause)
	call.close()
}

// Abandoned ends a call whose client has disconnected. It adds no sample to the time predictions.
func (s *Selector) Abandoned(_ time.Duration, call *Call) {
	if !call.ended {
		call.close()
	}
}

// close marks the call as ended and removes it from its worker's calls in flight.
func (c *Call) close() {
	c.ended = true
	c.worker.removeCall(c)
}
