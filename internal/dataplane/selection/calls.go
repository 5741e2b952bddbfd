package selection

import (
	"time"
)

// Call is one call to a worker that has not ended. It ends by exactly one of Done, Rejected, Failed and
// Abandoned; whatever comes after that is ignored.
type Call struct {
	service  *service
	worker   *worker
	source   *worker // of the hand-over; nil: none
	class    class   // that the worker had
	forecast forecast
	prompt   []Part
	memory   float64
	output   float64 // tokens that may be made
	sent     time.Duration
	first    time.Duration
	others   counts // this node's other calls there when the answer began
	begun    bool
	ended    bool
}

// Sent opens a call that is being sent: to c.Prefill (CallPrefill) or c.Run. Its worker must be of the
// view; otherwise the call counts for nothing.
func (s *Selector) Sent(now time.Duration, r *Request, kind CallKind, c Choice) *Call {
	call := &Call{sent: now, prompt: r.Prompt}
	target, svc := c.Run, s.services[r.Service]
	if kind == CallPrefill {
		target = c.Prefill
	}
	if svc == nil || target == nil || svc.workers[target.ID] == nil {
		call.ended = true
		return call
	}
	call.service, call.worker = svc, svc.workers[target.ID]
	if kind == CallRun && c.Prefill != nil {
		call.source = svc.workers[c.Prefill.ID]
	}
	svc.foresee(now, svc.jobFor(now, r), call)
	call.worker.open(call)
	return call
}

// foresee fills in what a call is predicted to take.
func (s *service) foresee(now time.Duration, j *job, call *Call) {
	w := call.worker
	call.class, call.output = w.class, float64(j.request.OutputTokens)
	reach, workers := 0., len(s.byClass[w.class])
	if w.class != classPlain {
		reach = homes(j, s.byClass[w.class])
	}
	kept := s.keptAt(j, w, reach, workers)
	t := readTask(w.class, j.tokens, kept)
	if call.source != nil {
		size := moveSize(call.source, w, j.tokens-kept)
		t = task{bucket: handBucket, solo: decodeBase, moving: true, size: size}
		t.move = s.moveBetween(now, call.source, w, size)
	}
	if w.class == classDecode {
		call.memory = j.tokens + call.output
	}
	call.forecast = s.predict(now, w, t, s.loadOf(now, w))
}

// FirstEvent takes in that the first event of an answer has come.
func (s *Selector) FirstEvent(now time.Duration, call *Call) {
	if call.ended || call.begun {
		return
	}
	call.begin(now)
}

// Told takes in the load that the head of an answer told, ahead of the answer's end. Done may be given
// the same again.
func (s *Selector) Told(now time.Duration, call *Call, load Load) {
	if call.ended {
		return
	}
	call.service.hear(now, call.worker, &load, call.worker.besides(call))
}

// begin learns from an answer's beginning.
func (c *Call) begin(now time.Duration) {
	s, w := c.service, c.worker
	s.learn(now, c, (now - c.sent).Seconds())
	c.others = w.besides(c)
	c.begun, c.first = true, now
	w.kept.add(c.prompt, s.selector.nodes, s.held(w, load{}))
	if c.class == classDecode {
		s.demand.Started++
		s.pools[classDecode].memory.Add(c.memory, poolMemory)
	}
	if c.source != nil {
		s.handedOver(now, c, false)
	}
}

// Done ends a call that has its whole answer; load is what the answer told, nil if nothing.
func (s *Selector) Done(now time.Duration, call *Call, load *Load) {
	if call.ended {
		return
	}
	svc, w := call.service, call.worker
	at := now
	if call.begun {
		at = call.first
		call.learnRest(now)
	} else {
		call.begin(now)
	}
	if at > w.told.at || !w.told.known {
		svc.hear(at, w, load, call.others)
	}
	w.health.succeed()
	if call.class == classPrefill {
		svc.noteRead(call, (now - call.sent).Seconds())
	}
	call.end()
}

// learnRest learns from the time after the first event.
func (c *Call) learnRest(now time.Duration) {
	if c.class != classDecode || c.worker.class != c.class || c.output < 1 {
		return
	}
	ratio := (now - c.first).Seconds() / (c.output * tokenTime)
	ratio = min(max(ratio, 1/oddRatio), oddRatio)
	c.worker.delays[classDecode].AddProcess(now, restBucket, c.forecast.load.running, ratio)
}

// Rejected ends a call that the worker did not run. Its round trip is no processing, and the worker
// counts as full for a while.
func (s *Selector) Rejected(now time.Duration, call *Call, load *Load) {
	if call.ended {
		return
	}
	svc, w, f := call.service, call.worker, call.forecast
	if !f.moving && w.class == call.class && !call.begun {
		trip := (now - call.sent).Seconds()
		svc.learnTransfer(now, call, min(trip, f.transfer*oddRatio))
	}
	w.told.fullUntil = now + fullLife
	svc.hear(now, w, load, w.besides(call))
	call.end()
}

// Failed ends a call that yielded nothing. It feeds no window.
func (s *Selector) Failed(now time.Duration, call *Call, cause Failure) {
	if call.ended {
		return
	}
	if call.source != nil && cause == FailureHandover {
		call.service.handedOver(now, call, true)
	}
	call.worker.health.fail(now, cause)
	call.end()
}

// Abandoned ends a call that the client left. It feeds no window.
func (s *Selector) Abandoned(now time.Duration, call *Call) {
	if !call.ended {
		call.end()
	}
}

// end takes the call from its worker's counts.
func (c *Call) end() {
	c.ended = true
	c.worker.shut(c)
}
