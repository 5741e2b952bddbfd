package selection

import (
	"time"
)

// Call is one call to a worker that has not ended. It ends by exactly one of Done, Rejected, Failed and
// Abandoned; whatever comes after that is ignored.
type Call struct {
	service            *service
	worker             *worker
	source             *worker     // of the hand-over; nil: none
	workerClass        workerClass // that the worker had
	forecast           forecast
	prompt             []PromptSegment
	reservedTokens     float64
	outputTokens       float64 // tokens that may be made
	sentAt             time.Duration
	firstEventAt       time.Duration
	othersAtFirstEvent callCounts // this node's other calls there when the answer began
	started            bool
	ended              bool
}

// Sent opens a call that is being sent: to c.Prefill (CallPrefill) or c.Run. Its worker must be of the
// view; otherwise the call counts for nothing.
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

// predictCall fills in what a call is predicted to take.
func (s *service) predictCall(now time.Duration, info *requestInfo, call *Call) {
	w := call.worker
	call.workerClass, call.outputTokens = w.class, float64(info.request.OutputTokens)
	reach, workers := 0., len(s.byClass[w.class])
	if w.class != classPlain {
		reach = affinityReach(info, s.byClass[w.class])
	}
	cached := s.cachedTokens(info, w, reach, workers)
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

// FirstEvent takes in that the first event of an answer has come.
func (s *Selector) FirstEvent(now time.Duration, call *Call) {
	if call.ended || call.started {
		return
	}
	call.start(now)
}

// Told takes in the load that the head of an answer told, ahead of the answer's end. Done may be given
// the same again.
func (s *Selector) Told(now time.Duration, call *Call, load Load) {
	if call.ended {
		return
	}
	call.service.recordLoad(now, call.worker, &load, call.worker.ownCallsExcept(call))
}

// start learns from an answer's beginning.
func (c *Call) start(now time.Duration) {
	s, w := c.service, c.worker
	s.learn(now, c, (now - c.sentAt).Seconds())
	c.othersAtFirstEvent = w.ownCallsExcept(c)
	c.started, c.firstEventAt = true, now
	w.cache.add(c.prompt, s.selector.nodes, s.occupiedTokens(w, workerLoad{}))
	if c.workerClass == classDecode {
		s.demand.Started++
		s.pools[classDecode].requestTokens.Add(c.reservedTokens, poolSamples)
	}
	if c.source != nil {
		s.recordTransfer(now, c, false)
	}
}

// Done ends a call that has its whole answer; load is what the answer told, nil if nothing.
func (s *Selector) Done(now time.Duration, call *Call, load *Load) {
	if call.ended {
		return
	}
	svc, w := call.service, call.worker
	at := now
	if call.started {
		at = call.firstEventAt
		call.learnDecodePace(now)
	} else {
		call.start(now)
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

// learnDecodePace learns from the time after the first event.
func (c *Call) learnDecodePace(now time.Duration) {
	if c.workerClass != classDecode || c.worker.class != c.workerClass || c.outputTokens < 1 {
		return
	}
	ratio := (now - c.firstEventAt).Seconds() / (c.outputTokens * decodePerToken)
	ratio = min(max(ratio, 1/maxOutlierRatio), maxOutlierRatio)
	c.worker.delays[classDecode].AddProcess(now, interTokenBucket, c.forecast.load.running, ratio)
}

// Rejected ends a call that the worker did not run. Its round trip is no processing, and the worker
// counts as full for a while.
func (s *Selector) Rejected(now time.Duration, call *Call, load *Load) {
	if call.ended {
		return
	}
	svc, w, f := call.service, call.worker, call.forecast
	if !f.transfersKV && w.class == call.workerClass && !call.started {
		roundTrip := (now - call.sentAt).Seconds()
		svc.learnNetworkTime(now, call, min(roundTrip, f.network*maxOutlierRatio))
	}
	w.report.fullUntil = now + fullAfterRejection
	svc.recordLoad(now, w, load, w.ownCallsExcept(call))
	call.close()
}

// Failed ends a call that yielded nothing. It feeds no window.
func (s *Selector) Failed(now time.Duration, call *Call, cause Failure) {
	if call.ended {
		return
	}
	if call.source != nil && cause == FailureTransfer {
		call.service.recordTransfer(now, call, true)
	}
	call.worker.health.recordFailure(now, cause)
	call.close()
}

// Abandoned ends a call that the client left. It feeds no window.
func (s *Selector) Abandoned(now time.Duration, call *Call) {
	if !call.ended {
		call.close()
	}
}

// close takes the call from its worker's counts.
func (c *Call) close() {
	c.ended = true
	c.worker.removeCall(c)
}
