package dispatch

import (
	"time"

	"ospreybend/internal/dataplane/fleetview"
	"ospreybend/internal/dataplane/selection"
	"ospreybend/internal/dataplane/upstream"
	"ospreybend/internal/util/http1"
)

const (
	// A worker that reads a prompt is given up after prefillTimeoutFactor times the predicted time to the
	// first event, or the route's objective if that is longer, and prefillSlack more.
	prefillTimeoutFactor = 3
	prefillTimeoutMargin = 200 * time.Millisecond

	statusOK = 200
)

// prefillOutcome is what a call to read a prompt led to.
type prefillOutcome uint8

const (
	prefillNoHandle  prefillOutcome = iota // no handle; another step is to follow
	prefillHasHandle                       // there is a handle
	prefillExecuted                        // the worker ran the request, and the client has its answer
)

// reservePrefill tells whether a call to read the prompt may be made before the run. The first that is
// taken up is not counted, but it may be rejected and count then.
func (r *clientRequest) reservePrefill() bool {
	if r.prefillAccepted {
		return r.attempts.reserve(2)
	}
	return r.attempts.reserve(1)
}

// prefill has the prompt read. Without a handle the worker is not chosen again.
func (r *clientRequest) prefill(choice selection.Choice) prefillOutcome {
	watcher := newIdleWatcher(r.ctx, r.prefillTimeout(choice), r.mayRetryPrefill())
	defer watcher.stop()
	r.dispatcher.counts.prefills.Add(1)
	call := r.dispatcher.shared.sent(&r.criteria, selection.CallPrefill, choice)
	sentAt := r.dispatcher.now()
	answer, failure := r.dispatcher.workers.Do(watcher.ctx, r.prefillCall(choice.Prefill))
	r.trace.prefillTime = r.dispatcher.now() - sentAt
	if failure != nil {
		r.prefillFailed(call, choice, failure)
		return prefillNoHandle
	}
	return r.prefillAnswered(call, watcher, choice, answer)
}

func (r *clientRequest) prefillTimeout(choice selection.Choice) time.Duration {
	return max(prefillTimeoutFactor*choice.TimeToFirstEvent, r.route.TargetLatency) + prefillTimeoutMargin
}

func (r *clientRequest) prefillFailed(call *trackedCall, choice selection.Choice, failure *upstream.Failure) {
	r.exclude(choice.Prefill)
	if failure.Result != upstream.NotSent {
		r.countPrefill()
	}
	r.reportFailure(call, failure)
}

// countPrefill notes a call that a worker has, or may have, taken up.
func (r *clientRequest) countPrefill() {
	if r.prefillAccepted {
		r.attempts.countAttempt()
	}
	r.prefillAccepted = true
}

func (r *clientRequest) prefillAnswered(call *trackedCall, watcher *idleWatcher, choice selection.Choice, answer *Answer) prefillOutcome {
	closeEvents(answer)
	if answer.Result != upstream.Answered {
		r.prefillRejected(call, choice, answer)
		return prefillNoHandle
	}
	handle, valid := parseHandle(answer.Body)
	if answer.Header.Has(fieldSignature) || answer.Status == statusOK && !valid {
		r.exclude(choice.Prefill)
		return r.prefillWasExecuted(call, watcher, answer)
	}
	r.countPrefill()
	if answer.Status != statusOK || !r.matchesRequestID(answer) {
		r.exclude(choice.Prefill)
		call.failed(selection.FailureStatus)
		return prefillNoHandle
	}
	call.done(reportedLoad(answer))
	handle.worker = choice.Prefill
	r.handle = &handle
	return prefillHasHandle
}

// prefillRejected follows an answer that says that the worker did not take the call up.
func (r *clientRequest) prefillRejected(call *trackedCall, choice selection.Choice, answer *Answer) {
	r.exclude(choice.Prefill)
	if answer.Result == upstream.Misdirected {
		r.attempts.release()
		call.failed(selection.FailureMisrouted)
		return
	}
	r.attempts.countAttempt()
	r.recordRetryAfter(answer)
	call.rejected(reportedLoad(answer))
}

// prefillWasExecuted follows a signed answer, or a success without a handle: the worker ran the request
// instead of reading its prompt.
func (r *clientRequest) prefillWasExecuted(call *trackedCall, watcher *idleWatcher, answer *Answer) prefillOutcome {
	r.attempts.countAttempt()
	retry := false
	if r.validAnswer(answer) {
		retry = r.runCompleted(call, watcher, answer)
	} else {
		call.failed(selection.FailureBroken)
		retry = r.afterFailedRun(watcher)
	}
	if retry {
		return prefillNoHandle
	}
	return prefillExecuted
}

func (r *clientRequest) prefillCall(worker *fleetview.Worker) *upstream.Request {
	fields := r.workerFields(worker, 1)
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
