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
	statusRequestTimeout  = 408
	statusMisdirected     = 421
	statusTooManyRequests = 429
	statusServerError     = 500

	// A worker that is silent before its first event is given up, where the request may be repeated,
	// after runTimeoutFactor times the predicted time and objectivePatience times the route's objective.
	runTimeoutFactor    = 3
	targetLatencyFactor = 2
	// gapTimeoutFactor times the longest pause in time is how long a begun stream may be silent.
	gapTimeoutFactor = 5
	minIdleTimeout   = 600 * time.Millisecond
)

// run calls the chosen worker for the answer. It tells whether another step is to follow.
func (r *clientRequest) run(choice selection.Choice) bool {
	if !r.attempts.reserve(1) {
		r.finish()
		return false
	}
	r.exclude(choice.Run)
	r.runs++
	r.dispatcher.counts.runs.Add(1)
	if r.runs > 1 {
		r.dispatcher.counts.retries.Add(1)
	}
	watcher := newIdleWatcher(r.ctx, r.runTimeout(choice), r.mayRetryRun())
	defer watcher.stop()
	call := r.dispatcher.shared.sent(&r.criteria, selection.CallRun, choice)
	r.trace.runSentAt = r.dispatcher.now()
	answer, failure := r.dispatcher.workers.Do(watcher.ctx, r.runCall(choice.Run))
	watcher.pause()
	if failure != nil {
		return r.runFailed(call, watcher, failure)
	}
	return r.runAnswered(call, watcher, answer)
}

// runFailed follows a call without a whole answer.
func (r *clientRequest) runFailed(call *trackedCall, watcher *idleWatcher, failure *upstream.Failure) bool {
	r.reportFailure(call, failure)
	if failure.Result == upstream.NotSent {
		return true
	}
	r.attempts.countAttempt()
	return r.afterFailedRun(watcher)
}

// reportFailure tells the chooser how a call ended that has no whole answer.
func (r *clientRequest) reportFailure(call *trackedCall, failure *upstream.Failure) {
	switch {
	case r.clientLeft():
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

// runAnswered follows an answer.
func (r *clientRequest) runAnswered(call *trackedCall, watcher *idleWatcher, answer *Answer) bool {
	r.trace.recordLoad(answer, true)
	switch answer.Result {
	case upstream.NotExecuted:
		return r.runRejected(call, answer)
	case upstream.Misdirected:
		return r.runMisdirected(call, answer)
	}
	r.attempts.countAttempt()
	if !r.validAnswer(answer) {
		closeEvents(answer)
		call.failed(selection.FailureBroken)
		return r.afterFailedRun(watcher)
	}
	if answer.Events != nil {
		r.handle = nil
		return r.relayEvents(call, watcher, answer)
	}
	return r.runCompleted(call, watcher, answer)
}

// runMisdirected follows an answer that says that the call was not meant for the worker.
func (r *clientRequest) runMisdirected(call *trackedCall, answer *Answer) bool {
	closeEvents(answer)
	r.attempts.release()
	if r.hasOtherVersion(answer) {
		call.failed(selection.FailureTransfer)
		r.freeHandle()
		return true
	}
	call.failed(selection.FailureMisrouted)
	return true
}

// runRejected follows an answer that says that the request has not run.
func (r *clientRequest) runRejected(call *trackedCall, answer *Answer) bool {
	closeEvents(answer)
	r.attempts.countAttempt()
	r.recordRetryAfter(answer)
	load := reportedLoad(answer)
	if r.handle != nil && hasCapacity(load) {
		call.failed(selection.FailureTransfer)
		r.freeHandle()
		return true
	}
	call.rejected(load)
	return true
}

// runCompleted follows an answer whose body was read whole.
func (r *clientRequest) runCompleted(call *trackedCall, watcher *idleWatcher, answer *Answer) bool {
	switch {
	case answer.Status >= statusServerError || promisesNotExecuted(answer.Status):
		call.failed(selection.FailureStatus)
		if !promisesNotExecuted(answer.Status) {
			r.errorAnswer = answer
		}
		return r.afterFailedRun(watcher)
	case r.progress.started:
		call.failed(selection.FailureStatus)
		return r.afterFailedRun(watcher)
	default:
		r.handle = nil
		r.trace.recordFirstEvent(r.dispatcher.now())
		call.done(reportedLoad(answer))
		r.forward(answer)
		return false
	}
}

func (r *clientRequest) runCall(worker *fleetview.Worker) *upstream.Request {
	fields := r.workerFields(worker, 3)
	if r.handle != nil {
		fields = append(fields, r.handle.transferFields()...)
	}
	if r.progress.numbered {
		fields = withoutFields(fields, []string{fieldLastEvent}, 1)
		fields = append(fields, http1.HeaderField{Name: fieldLastEvent, Value: r.progress.lastEventID})
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

// recordCall notes a call to an address, and tells whether it is a further one for the request. A late second answer to an earlier
// call bears the same ID, so that only another connection tells them apart.
func (r *clientRequest) recordCall(address string) bool {
	repeated := slices.Contains(r.calledAddresses, address)
	r.calledAddresses = append(r.calledAddresses, address)
	return repeated
}

// workerFields are the fields that every call for the request has, with room for more.
func (r *clientRequest) workerFields(worker *fleetview.Worker, extra int) http1.Header {
	fields := withoutFields(r.request.Header, systemFields, 3+extra)
	fields = append(fields,
		http1.HeaderField{Name: fieldDeadline, Value: formatMillis(max(r.timeLeft(), minTimeLeft))},
		http1.HeaderField{Name: fieldTarget, Value: worker.ID})
	if r.service.Engine != nil {
		priority := strconv.Itoa(r.urgency())
		fields = append(fields, http1.HeaderField{Name: fieldPriority, Value: priority})
	}
	return fields
}

// urgency is the value of the field Priority in a call: a request whose prompt has been read comes first.
func (r *clientRequest) urgency() int {
	if r.handle != nil {
		return 0
	}
	return r.trace.choice.Urgency
}

// runTimeout is how long a worker may be silent before its first event or its whole answer; 0: until the limit.
func (r *clientRequest) runTimeout(choice selection.Choice) time.Duration {
	if !r.retryAllowed() {
		return 0
	}
	timeout := runTimeoutFactor*choice.TimeToFirstEvent + targetLatencyFactor*r.route.TargetLatency
	return max(timeout, minIdleTimeout)
}

func (r *clientRequest) recordRetryAfter(answer *Answer) {
	if retryAfter := parseRetryAfter(answer.Header.Get(fieldRetryAfter)); retryAfter > 0 {
		r.retryAfter = retryAfter
	}
}
