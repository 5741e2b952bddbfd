package dispatch

import (
	"slices"
	"strconv"
	"time"

	"ospreybend/internal/controlplane/configuration"
	"ospreybend/internal/dataplane/fleetview"
	"ospreybend/internal/dataplane/selection"
	"ospreybend/internal/dataplane/upstream"
	"ospreybend/internal/util/http1"
)

const (
	// If a retry is allowed, a run without a first event is canceled after runTimeoutFactor times the predicted
	// time to the first event plus targetLatencyFactor times the route's latency target.
	runTimeoutFactor    = 3
	targetLatencyFactor = 2
	// A stream is canceled if no event arrives within gapTimeoutFactor times the route's inter-token target.
	gapTimeoutFactor = 5
	// minIdleTimeout is the lower limit of both timeouts.
	minIdleTimeout = 600 * time.Millisecond

	// Numbers of header fields that calls add to the client's. The header is allocated with room for them.
	commonFieldCount  = 3 // deadline, target, priority
	runFieldCount     = 3 // handle, version, last event
	prefillFieldCount = 1 // stage
)

// run calls the chosen worker for the response and forwards it.
func (r *clientRequest) run(choice selection.Choice) stepResult {
	if !r.attempts.reserve(1) {
		return r.finish()
	}
	r.exclude(choice.Run)
	r.runs++
	r.dispatcher.counts.runs.Add(1)
	if r.runs > 1 {
		r.dispatcher.counts.retries.Add(1)
	}
	watcher := newIdleWatcher(r.ctx, r.runTimeout(choice), r.runRetryCheck())
	defer watcher.stop()
	call := r.dispatcher.shared.sent(&r.criteria, selection.CallRun, choice)
	r.trace.recordRun(r.dispatcher.now())
	response, failure := r.dispatcher.workerClient.Do(watcher.ctx, r.runRequest(choice.Run))
	watcher.pause()
	if failure != nil {
		return r.onRunFailed(call, watcher, failure)
	}
	return r.onRunResponse(call, watcher, response)
}

// onRunFailed processes a run without a complete response.
func (r *clientRequest) onRunFailed(call *trackedCall, watcher *idleWatcher, failure *upstream.Failure) stepResult {
	r.reportFailure(call, failure)
	if failure.Result == upstream.NotSent {
		return nextStep
	}
	r.attempts.countAttempt()
	r.discardIncomplete(watcher, false)
	return r.retryOrFinish(watcher)
}

// reportFailure reports the end of a call without a complete response to the chooser.
func (r *clientRequest) reportFailure(call *trackedCall, failure *upstream.Failure) {
	switch {
	case r.clientDisconnected():
		call.abandoned()
	case failure.Reason == upstream.PoolExhausted:
		call.rejected(nil)
	case failure.Result == upstream.NotSent && failure.Reason != upstream.Canceled:
		call.failed(selection.FailureConnect)
	case failure.Reason == upstream.Canceled:
		call.failed(selection.FailureTimeout)
	default:
		call.failed(selection.FailureBroken)
	}
}

// onRunResponse processes the response to a run.
func (r *clientRequest) onRunResponse(call *trackedCall, watcher *idleWatcher, response *Response) stepResult {
	r.trace.recordLoad(response)
	switch response.Result {
	case upstream.NotExecuted:
		return r.onRunRejected(call, response)
	case upstream.Misdirected:
		return r.onRunMisdirected(call, response)
	}
	r.attempts.countAttempt()
	if !r.validResponse(response) {
		closeEvents(response)
		r.discard(DiscardInvalid)
		call.failed(selection.FailureBroken)
		return r.retryOrFinish(watcher)
	}
	if response.Events != nil {
		r.handle = nil
		return r.relayEvents(call, watcher, response)
	}
	return r.onRunCompleted(call, watcher, response)
}

// onRunMisdirected processes a 421: the call reached a worker other than its target, or the KV cache of its
// handle was computed with other weights. The request was not executed.
func (r *clientRequest) onRunMisdirected(call *trackedCall, response *Response) stepResult {
	closeEvents(response)
	r.attempts.consumeReservation()
	if r.versionMismatch(response) {
		call.failed(selection.FailureTransfer)
		r.freeHandle()
		return nextStep
	}
	call.failed(selection.FailureMisrouted)
	return nextStep
}

// onRunRejected processes a response that states that the request was not executed. If the worker has
// capacity, it rejected the handle because the KV cache is no longer available, so the handle is freed. If it
// is full, the handle is kept for the next worker.
func (r *clientRequest) onRunRejected(call *trackedCall, response *Response) stepResult {
	closeEvents(response)
	r.attempts.countAttempt()
	r.recordRetryAfter(response)
	load := reportedLoad(response)
	if r.handle != nil && hasCapacity(load) {
		call.failed(selection.FailureTransfer)
		r.freeHandle()
		return nextStep
	}
	call.rejected(load)
	return nextStep
}

// onRunCompleted processes a valid response whose body is complete.
func (r *clientRequest) onRunCompleted(call *trackedCall, watcher *idleWatcher, response *Response) stepResult {
	switch {
	case response.Status >= statusServerError || promisesNotExecuted(response.Status):
		call.failed(selection.FailureStatus)
		if !promisesNotExecuted(response.Status) {
			r.errorResponse = response
		} else {
			r.discard(DiscardStatus)
		}
		return r.retryOrFinish(watcher)
	case r.progress.started:
		r.discard(DiscardMidStream)
		call.failed(selection.FailureStatus)
		return r.retryOrFinish(watcher)
	default:
		r.handle = nil
		r.trace.recordFirstEvent(r.dispatcher.now())
		call.done(reportedLoad(response))
		r.forward(response)
		return requestFinished
	}
}

// runRequest returns the call that asks a worker for the response. It passes on the handle, if there is one,
// and continues after the last event sent if a stream is resumed.
func (r *clientRequest) runRequest(worker *fleetview.Worker) *upstream.Request {
	fields := r.workerFields(worker, runFieldCount)
	if r.handle != nil {
		fields = append(fields, r.handle.transferFields()...)
	}
	if r.progress.numbered {
		fields = withoutFields(fields, []string{fieldLastEventID}, 1)
		fields = append(fields, http1.HeaderField{Name: fieldLastEventID, Value: r.progress.lastEventID})
	}
	return &upstream.Request{
		Address:      worker.Address,
		Method:       r.request.Method,
		Target:       r.request.Target,
		Header:       fields,
		Body:         r.request.Body,
		StreamEvents: r.route.Type == configuration.Streaming,
		ForceNewConn: r.recordCall(worker.Address),
	}
}

// recordCall records a call to an address and reports whether the request has called that address before. A late response to
// the earlier call has the same ID, so only a new connection keeps the two responses apart.
func (r *clientRequest) recordCall(address string) bool {
	repeated := slices.Contains(r.calledAddresses, address)
	r.calledAddresses = append(r.calledAddresses, address)
	return repeated
}

// workerFields returns the fields that all calls of the request have, with capacity for extra additional ones.
func (r *clientRequest) workerFields(worker *fleetview.Worker, extra int) http1.Header {
	fields := withoutFields(r.request.Header, reservedRequestFields, commonFieldCount+extra)
	fields = append(fields,
		http1.HeaderField{Name: fieldRequestDeadline, Value: formatMillis(max(r.timeLeft(), minTimeLeft))},
		http1.HeaderField{Name: fieldTargetInstance, Value: worker.ID})
	if r.service.Engine != nil {
		priority := strconv.Itoa(r.urgency())
		fields = append(fields, http1.HeaderField{Name: fieldPriority, Value: priority})
	}
	return fields
}

// urgency returns the value of the Priority field: 0, the most urgent, for a run whose prompt has been prefilled.
func (r *clientRequest) urgency() int {
	if r.handle != nil {
		return 0
	}
	return r.trace.choice.Urgency
}

// runTimeout returns how long a run may take until its first event or its complete response before it is
// canceled. It returns 0 if only the request's deadline limits the run.
func (r *clientRequest) runTimeout(choice selection.Choice) time.Duration {
	if !r.retryAllowed() {
		return 0
	}
	timeout := runTimeoutFactor*choice.TimeToFirstEvent + targetLatencyFactor*r.route.TargetLatency
	return max(timeout, minIdleTimeout)
}

// recordRetryAfter stores the Retry-After of a rejection, which the client receives if no other call succeeds.
func (r *clientRequest) recordRetryAfter(response *Response) {
	if retryAfter := parseRetryAfter(response.Header.Get(fieldRetryAfter)); retryAfter > 0 {
		r.retryAfter = retryAfter
	}
}
