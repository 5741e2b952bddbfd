package dispatch

import (
	"context"
	"sync/atomic"
	"time"

	"ospreybend/internal/controlplane/configuration"
	"ospreybend/internal/dataplane/fleetview"
	"ospreybend/internal/dataplane/httpserver"
	"ospreybend/internal/dataplane/selection"
)

const (
	// defaultRetryAfter is the Retry-After of a rejection for which no estimate is known.
	defaultRetryAfter = 250 * time.Millisecond
	maxRetryAfter     = 10 * time.Second
	// maxSteps limits the choices made for one request, including those that do not lead to a run.
	maxSteps = 8
	// minTimeLeft is the least remaining time with which a call is still made.
	minTimeLeft = time.Millisecond
)

// stepResult is how a request continues after a step.
type stepResult uint8

const (
	requestFinished stepResult = iota // the response is complete, or the client's connection is closed
	nextStep                          // choose workers again
)

// clientRequest is the state of one client request while it is served. Only the goroutine that serves the
// request uses it, except that the timer of an idleWatcher reads fields that no longer change.
type clientRequest struct {
	dispatcher *Dispatcher
	responder  Responder
	request    *httpserver.Request
	route      *configuration.Route
	service    *configuration.Service
	criteria   selection.Request // input to the choice of workers
	deadline   time.Duration     // no call is made or continued after this time
	ctx        context.Context   // ends at the deadline or when the client disconnects

	attempts        attemptQuota
	excluded        []string // IDs of workers that must not be chosen again
	calledAddresses []string
	steps           int
	successorFound  atomic.Bool // a call was canceled in favor of another one, for which the request is admitted

	prefillAccepted bool      // a worker has accepted a prefill, or may have
	handle          *kvHandle // KV cache for the next run to use; nil if none
	mayHaveExecuted bool      // a worker may have executed the request
	runs            int

	errorResponse *Response // a worker's, forwarded unless a later run succeeds
	retryAfter    time.Duration
	progress      streamProgress
	status        int // sent to the client; 0 if none was sent
	trace         trace
}

// newClientRequest returns the state of a request. Its time limits count from its first byte.
func newClientRequest(dispatcher *Dispatcher, responder Responder, request *httpserver.Request,
	route *configuration.Route, service *configuration.Service) *clientRequest {
	arrived := dispatcher.now() - receiveDuration(request)
	deadline := arrived + timeLimit(request.Header, route.Timeout)
	r := &clientRequest{
		dispatcher: dispatcher, responder: responder, request: request, route: route, service: service, deadline: deadline,
	}
	r.criteria = newCriteria(request, route, service.Name, arrived, deadline)
	r.attempts = attemptQuota{maxAttempts: max(route.MaxAttempts, 1), spendBudget: r.spendBudget}
	return r
}

// newCriteria returns the input to the choice of workers.
func newCriteria(request *httpserver.Request, route *configuration.Route, service string,
	arrived, deadline time.Duration) selection.Request {
	promptTokens, outputTokens := parseTokenCount(request.Header.Get(fieldTokenCount))
	return selection.Request{
		Service:      service,
		Route:        route.Name,
		Model:        request.Header.Get(fieldModel),
		Priority:     route.Priority,
		Prompt:       parsePromptPrefix(request.Header.Get(fieldPromptPrefix)),
		PromptTokens: promptTokens,
		OutputTokens: outputTokens,
		Arrived:      arrived,
		Objective:    arrived + route.TargetLatency,
		Deadline:     deadline,
	}
}

// serve performs steps until the request is finished.
func (r *clientRequest) serve() {
	ctx, cancel := context.WithTimeout(r.request.Context, r.timeLeft())
	defer cancel()
	r.ctx = ctx
	r.responder.SetWriteTimeout(r.timeLeft())
	defer r.freeHandle()
	for r.step() == nextStep {
		r.steps++
	}
}

// step chooses workers once and makes the calls to them.
func (r *clientRequest) step() stepResult {
	if r.steps >= maxSteps || !r.canContinue() || r.mayHaveExecuted && !r.retryAllowed() {
		return r.finish()
	}
	choice, verdict := r.dispatcher.shared.choose(&r.criteria, r.excluded)
	admitted := r.successorFound.Swap(false) || verdict.Admit
	if !admitted || choice.Run == nil {
		r.retryAfter = verdict.RetryAfter
		return r.finish()
	}
	if !r.acceptsCalls(choice.Run) {
		r.exclude(choice.Run)
		return nextStep
	}
	r.trace.choice = choice
	if choice.Prefill != nil && r.handle == nil && r.canSplitPrefill() && r.reservePrefill() {
		return r.prefillThenRun(choice)
	}
	return r.run(choice)
}

// canSplitPrefill reports whether the prompt can be prefilled by a separate call. A worker executes a request without token
// counts in full, whichever stage the call asks for.
func (r *clientRequest) canSplitPrefill() bool { return r.criteria.PromptTokens > 0 }

// prefillThenRun makes the prefill of a choice and, if that yields a handle, the run.
func (r *clientRequest) prefillThenRun(choice selection.Choice) stepResult {
	if !r.acceptsCalls(choice.Prefill) {
		r.exclude(choice.Prefill)
		return nextStep
	}
	switch outcome := r.prefill(choice); {
	case outcome == prefillExecuted:
		return requestFinished
	case outcome == prefillNoHandle || !r.canContinue():
		return nextStep
	}
	if !r.acceptsCalls(choice.Run) {
		r.exclude(choice.Run)
		return nextStep
	}
	return r.run(choice)
}

// finish ends a request for which no further call is made. It always returns requestFinished.
func (r *clientRequest) finish() stepResult {
	switch {
	case r.clientDisconnected():
		r.dispatcher.counts.canceled.Add(1)
		r.responder.Abort()
	case r.progress.started:
		r.dispatcher.counts.aborted.Add(1)
		r.responder.Abort()
	case r.errorResponse != nil:
		r.forward(r.errorResponse)
	case !r.mayHaveExecuted:
		r.status = statusUnavailable
		r.dispatcher.reject(r.responder, r.request, r.retryAfter)
	case r.timeLeft() < minTimeLeft:
		r.respondError(statusGatewayTimeout)
	default:
		r.respondError(statusBadGateway)
	}
	return requestFinished
}

// respondError responds with an error status to a request that may have been executed.
func (r *clientRequest) respondError(status int) {
	r.status = status
	r.dispatcher.counts.failed.Add(1)
	_ = r.responder.WriteResponse(status, generatedResponseFields(r.request), nil)
}

// forward sends a worker's complete response to the client.
func (r *clientRequest) forward(response *Response) {
	r.status = response.Status
	_ = r.responder.WriteResponse(response.Status, fieldsForClient(response.Header), response.Body)
}

// timeLeft returns the time remaining until the request's deadline.
func (r *clientRequest) timeLeft() time.Duration { return r.deadline - r.dispatcher.now() }

// clientDisconnected reports whether the client's connection has ended.
func (r *clientRequest) clientDisconnected() bool { return r.request.Context.Err() != nil }

// canContinue reports whether the client is still connected and enough time remains for another call.
func (r *clientRequest) canContinue() bool { return r.ctx.Err() == nil && r.timeLeft() >= minTimeLeft }

// acceptsCalls reports whether a worker may be called according to the newest view. A worker that is
// draining, has terminated or is changing its role may not.
func (r *clientRequest) acceptsCalls(worker *fleetview.Worker) bool {
	view := r.dispatcher.view.Load()
	for _, other := range view.Workers[r.service.Name] {
		if other.ID == worker.ID {
			return !other.Transitioning()
		}
	}
	return false
}

// exclude prevents a worker from being chosen again for the request.
func (r *clientRequest) exclude(worker *fleetview.Worker) { r.excluded = append(r.excluded, worker.ID) }
