package dispatch

import (
	"time"

	"ospreybend/internal/dataplane/fleetview"
	"ospreybend/internal/dataplane/selection"
	"ospreybend/internal/dataplane/upstream"
	"ospreybend/internal/util/http1"
)

const (
	// The timeout of a prefill is prefillTimeoutFactor times the predicted time to the first event, or the
	// route's latency target if that is longer, plus prefillTimeoutMargin.
	prefillTimeoutFactor = 3
	prefillTimeoutMargin = 200 * time.Millisecond
)

// prefillOutcome is the result of a prefill call.
type prefillOutcome uint8

const (
	prefillNoHandle  prefillOutcome = iota // no handle; another step is needed
	prefillHasHandle                       // clientRequest.handle is set
	prefillExecuted                        // the worker executed the request, and the request is finished
)

// reservePrefill reports whether a prefill may be made before the run. It reserves one attempt for the run and,
// if a prefill has been accepted before, one for the prefill: the first accepted prefill is not counted. A
// rejected prefill counts and uses up the reservation of the run.
func (r *clientRequest) reservePrefill() bool {
	if r.prefillAccepted {
		return r.attempts.reserve(2)
	}
	return r.attempts.reserve(1)
}

// prefill calls the chosen prefill worker. If the worker returns no handle, it is not chosen again.
func (r *clientRequest) prefill(choice selection.Choice) prefillOutcome {
	watcher := newIdleWatcher(r.ctx, r.prefillTimeout(choice), r.prefillRetryCheck(choice.Prefill))
	defer watcher.stop()
	r.dispatcher.counts.prefills.Add(1)
	call := r.dispatcher.shared.sent(&r.criteria, selection.CallPrefill, choice)
	sentAt := r.dispatcher.now()
	response, failure := r.dispatcher.workerClient.Do(watcher.ctx, r.prefillRequest(choice.Prefill))
	r.trace.prefillTime = r.dispatcher.now() - sentAt
	if failure != nil {
		r.onPrefillFailed(call, choice, failure)
		return prefillNoHandle
	}
	return r.onPrefillResponse(call, watcher, choice, response)
}

// prefillTimeout returns how long a prefill may take before it is canceled, provided that prefillRetryCheck allows it.
func (r *clientRequest) prefillTimeout(choice selection.Choice) time.Duration {
	return max(prefillTimeoutFactor*choice.TimeToFirstEvent, r.route.TargetLatency) + prefillTimeoutMargin
}

// onPrefillFailed processes a prefill without a response.
func (r *clientRequest) onPrefillFailed(call *trackedCall, choice selection.Choice, failure *upstream.Failure) {
	r.exclude(choice.Prefill)
	if failure.Result != upstream.NotSent {
		r.recordAcceptedPrefill()
	}
	r.reportFailure(call, failure)
}

// recordAcceptedPrefill records a prefill that a worker has accepted or may have accepted.
func (r *clientRequest) recordAcceptedPrefill() {
	if r.prefillAccepted {
		r.attempts.countAttempt()
	}
	r.prefillAccepted = true
}

// onPrefillResponse processes the response to a prefill: a handle, a rejection, or the response of a run.
func (r *clientRequest) onPrefillResponse(call *trackedCall, watcher *idleWatcher, choice selection.Choice,
	response *Response) prefillOutcome {
	closeEvents(response)
	if response.Result != upstream.Answered {
		r.onPrefillRejected(call, choice, response)
		return prefillNoHandle
	}
	handle, valid := parseHandle(response.Body)
	if response.Header.Has(fieldSignature) || response.Status == statusOK && !valid {
		r.exclude(choice.Prefill)
		return r.onPrefillExecuted(call, watcher, response)
	}
	r.recordAcceptedPrefill()
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

// onPrefillRejected processes a response that states that the worker did not accept the call.
func (r *clientRequest) onPrefillRejected(call *trackedCall, choice selection.Choice, response *Response) {
	r.exclude(choice.Prefill)
	if response.Result == upstream.Misdirected {
		r.attempts.consumeReservation()
		call.failed(selection.FailureMisrouted)
		return
	}
	r.attempts.countAttempt()
	r.recordRetryAfter(response)
	call.rejected(reportedLoad(response))
}

// onPrefillExecuted processes a signed response or a success without a handle: the worker executed the
// request in full.
func (r *clientRequest) onPrefillExecuted(call *trackedCall, watcher *idleWatcher, response *Response) prefillOutcome {
	r.attempts.countAttempt()
	var result stepResult
	if r.validResponse(response) {
		result = r.onRunCompleted(call, watcher, response)
	} else {
		call.failed(selection.FailureBroken)
		result = r.retryOrFinish(watcher)
	}
	if result == nextStep {
		return prefillNoHandle
	}
	return prefillExecuted
}

// prefillRequest returns the call that only computes the KV cache of the prompt.
func (r *clientRequest) prefillRequest(worker *fleetview.Worker) *upstream.Request {
	fields := r.workerFields(worker, prefillFieldCount)
	fields = append(fields, http1.HeaderField{Name: fieldServingStage, Value: stagePrefill})
	return &upstream.Request{
		Address:      worker.Address,
		Method:       r.request.Method,
		Target:       r.request.Target,
		Header:       fields,
		Body:         r.request.Body,
		ForceNewConn: r.recordCall(worker.Address),
	}
}
