package dispatch

import (
	"time"

	"ospreybend/internal/dataplane/fleetview"
	"ospreybend/internal/dataplane/selection"
	"ospreybend/internal/dataplane/upstream"
	"ospreybend/internal/util/http1"
)

const (
	// A prefill is canceled after prefillTimeoutFactor times the predicted time to the first event, or the
	// route's latency target if that is longer, and prefillTimeoutMargin more.
	prefillTimeoutFactor = 3
	prefillTimeoutMargin = 200 * time.Millisecond
)

// prefillOutcome is the result of a prefill call.
type prefillOutcome uint8

const (
	prefillNoHandle  prefillOutcome = iota // no handle; another step follows
	prefillHasHandle                       // clientRequest.handle is set
	prefillExecuted                        // the worker executed the request, and the client has its response
)

// reservePrefill reports whether a prefill may be made before the run. It reserves one call for the run and,
// once a prefill was accepted, one for the prefill: the first accepted one is not counted. A prefill that is
// rejected counts, and uses up the reservation of the run.
func (r *clientRequest) reservePrefill() bool {
	if r.prefillAccepted {
		return r.attempts.reserve(2)
	}
	return r.attempts.reserve(1)
}

// prefill calls the chosen prefill worker. If no handle comes back, that worker is not chosen again.
func (r *clientRequest) prefill(choice selection.Choice) prefillOutcome {
	watcher := newIdleWatcher(r.ctx, r.prefillTimeout(choice), r.mayRetryPrefill())
	defer watcher.stop()
	r.dispatcher.counts.prefills.Add(1)
	call := r.dispatcher.shared.sent(&r.criteria, selection.CallPrefill, choice)
	sentAt := r.dispatcher.now()
	response, failure := r.dispatcher.workers.Do(watcher.ctx, r.prefillCall(choice.Prefill))
	r.trace.prefillTime = r.dispatcher.now() - sentAt
	if failure != nil {
		r.prefillFailed(call, choice, failure)
		return prefillNoHandle
	}
	return r.prefillResponded(call, watcher, choice, response)
}

// prefillTimeout returns how long a prefill may take before it is canceled, if mayRetryPrefill grants it.
func (r *clientRequest) prefillTimeout(choice selection.Choice) time.Duration {
	return max(prefillTimeoutFactor*choice.TimeToFirstEvent, r.route.TargetLatency) + prefillTimeoutMargin
}

// prefillFailed follows a prefill without a response.
func (r *clientRequest) prefillFailed(call *trackedCall, choice selection.Choice, failure *upstream.Failure) {
	r.exclude(choice.Prefill)
	if failure.Result != upstream.NotSent {
		r.countPrefill()
	}
	r.reportFailure(call, failure)
}

// countPrefill records a prefill that a worker has, or may have, accepted.
func (r *clientRequest) countPrefill() {
	if r.prefillAccepted {
		r.attempts.countAttempt()
	}
	r.prefillAccepted = true
}

// prefillResponded follows a prefill with a response: a handle, a rejection, or the response of a run.
func (r *clientRequest) prefillResponded(call *trackedCall, watcher *idleWatcher, choice selection.Choice,
	response *Response) prefillOutcome {
	closeEvents(response)
	if response.Result != upstream.Answered {
		r.prefillRejected(call, choice, response)
		return prefillNoHandle
	}
	handle, valid := parseHandle(response.Body)
	if response.Header.Has(fieldSignature) || response.Status == statusOK && !valid {
		r.exclude(choice.Prefill)
		return r.prefillWasExecuted(call, watcher, response)
	}
	r.countPrefill()
	if response.Status != statusOK || !r.matchesRequestID(response) {
		r.exclude(choice.Prefill)
		call.failed(selection.FailureStatus)
		return prefillNoHandle
	}
	call.done(reportedLoad(response))
	handle.worker = choice.Prefill
	r.handle = &handle
	return prefillHasHandle
}

// prefillRejected follows a response that says that the worker did not accept the call.
func (r *clientRequest) prefillRejected(call *trackedCall, choice selection.Choice, response *Response) {
	r.exclude(choice.Prefill)
	if response.Result == upstream.Misdirected {
		r.attempts.release()
		call.failed(selection.FailureMisrouted)
		return
	}
	r.attempts.countAttempt()
	r.recordRetryAfter(response)
	call.rejected(reportedLoad(response))
}

// prefillWasExecuted follows a signed response, or a success without a handle: the worker executed the
// request in full.
func (r *clientRequest) prefillWasExecuted(call *trackedCall, watcher *idleWatcher, response *Response) prefillOutcome {
	r.attempts.countAttempt()
	var result stepResult
	if r.validResponse(response) {
		result = r.runCompleted(call, watcher, response)
	} else {
		call.failed(selection.FailureBroken)
		result = r.afterFailedRun(watcher)
	}
	if result == nextStep {
		return prefillNoHandle
	}
	return prefillExecuted
}

// prefillCall returns the call that computes the prompt's KV cache alone.
func (r *clientRequest) prefillCall(worker *fleetview.Worker) *upstream.Request {
	fields := r.workerFields(worker, prefillFieldCount)
	fields = append(fields, http1.HeaderField{Name: fieldStage, Value: stagePrefill})
	return &upstream.Request{
		Address:      worker.Address,
		Method:       r.request.Method,
		Target:       r.request.Target,
		Header:       fields,
		Body:         r.request.Body,
		ForceNewConn: r.recordCall(worker.Address),
	}
}
