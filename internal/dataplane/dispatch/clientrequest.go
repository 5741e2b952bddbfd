package dispatch

import (
	"context"
	"time"

	"ospreybend/internal/controlplane/configuration"
	"ospreybend/internal/dataplane/fleetview"
	"ospreybend/internal/dataplane/httpserver"
	"ospreybend/internal/dataplane/selection"
)

const (
	// defaultRetryAfter is the Retry-After of a rejection without a better estimate.
	defaultRetryAfter = 250 * time.Millisecond
	maxRetryAfter     = 10 * time.Second
	// maxSteps bounds the choices made for one request, also those that led to no run.
	maxSteps = 8
	// minTimeLeft is the shortest time to the deadline for which a call is still made.
	minTimeLeft = time.Millisecond
)

// stepResult is what follows a step.
type stepResult uint8

const (
	requestFinished stepResult = iota // the client has its response, or its connection is closed
	nextStep                          // workers are chosen once more
)

// clientRequest is the state of one client request while it is served. It belongs to the goroutine that
// serves it; the timer of an idle watcher reads only fields that do not change.
type clientRequest struct {
	dispatcher *Dispatcher
	responder  Responder
	request    *httpserver.Request
	route      *configuration.Route
	service    *configuration.Service
	criteria   selection.Request // what the choice of workers depends on
	deadline   time.Duration     // instant after which nothing is done for the request
	ctx        context.Context   // ends at the deadline or when the client leaves

	attempts        attemptQuota
	excluded        []string // IDs of workers that are not chosen again
	calledAddresses []string
	steps           int

	prefillAccepted bool      // a worker has, or may have, accepted a prefill
	handle          *kvHandle // of the KV cache that the next run starts from; nil: none
	mayHaveRun      bool      // a worker may have executed the request
	runs            int

	errorResponse *Response // of a worker, forwarded unless another run has a better one
	retryAfter    time.Duration
	progress      streamProgress
	status        int // of the response; 0: none, or aborted
	trace         trace
}

// newClientRequest returns the state of a request whose time limits count from its first byte.
func newClientRequest(dispatcher *Dispatcher, responder Responder, request *httpserver.Request,
	route *configuration.Route, service *configuration.Service) *clientRequest {
	arrived := dispatcher.now() - receiveTime(request)
	limit := arrived + timeLimit(request.Header, route.Timeout)
	r := &clientRequest{
		dispatcher: dispatcher, responder: responder, request: request, route: route, service: service, deadline: limit,
	}
	r.criteria = newCriteria(request, route, service.Name, arrived, limit)
	r.attempts = attemptQuota{maxAttempts: max(route.MaxAttempts, 1), spendBudget: r.spendBudget}
	return r
}

// newCriteria returns what the choice of workers depends on.
func newCriteria(request *httpserver.Request, route *configuration.Route, service string,
	arrived, limit time.Duration) selection.Request {
	in, out := parseTokenCount(request.Header.Get(fieldTokenCount))
	return selection.Request{
		Service:      service,
		Route:        route.Name,
		Model:        request.Header.Get(fieldModel),
		Priority:     route.Priority,
		Prompt:       parsePrefix(request.Header.Get(fieldPrefix)),
		PromptTokens: in,
		OutputTokens: out,
		Arrived:      arrived,
		Objective:    arrived + route.TargetLatency,
		Deadline:     limit,
	}
}

// serve takes steps until the request has its response.
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

// step makes one choice of workers and the calls that follow from it.
func (r *clientRequest) step() stepResult {
	if r.steps >= maxSteps || !r.canContinue() || r.mayHaveRun && !r.retryAllowed() {
		return r.finish()
	}
	choice, verdict := r.dispatcher.shared.choose(&r.criteria, r.excluded)
	if !verdict.Admit || choice.Run == nil {
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

// canSplitPrefill reports whether the prompt can be prefilled apart from the run. A worker executes a request that names no
// token counts in full, whatever stage it is asked for.
func (r *clientRequest) canSplitPrefill() bool { return r.criteria.PromptTokens > 0 }

// prefillThenRun makes the prefill and, if it succeeds, the run of a choice.
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

// finish responds to a request for which no further call is made. It always returns requestFinished.
func (r *clientRequest) finish() stepResult {
	switch {
	case r.clientLeft():
		r.dispatcher.counts.canceled.Add(1)
		r.responder.Abort()
	case r.progress.started:
		r.dispatcher.counts.aborted.Add(1)
		r.responder.Abort()
	case r.errorResponse != nil:
		r.forward(r.errorResponse)
	case !r.mayHaveRun:
		r.status = statusUnavailable
		r.dispatcher.reject(r.responder, r.request, r.retryAfter)
	case r.timeLeft() < minTimeLeft:
		r.respondError(statusGatewayTimeout)
	default:
		r.respondError(statusBadGateway)
	}
	return requestFinished
}

// respondError responds to a request that may have been executed.
func (r *clientRequest) respondError(status int) {
	r.status = status
	r.dispatcher.counts.failed.Add(1)
	_ = r.responder.WriteResponse(status, ownResponseFields(r.request), nil)
}

// forward responds with a worker's complete response.
func (r *clientRequest) forward(response *Response) {
	r.status = response.Status
	_ = r.responder.WriteResponse(response.Status, fieldsForClient(response.Header), response.Body)
}

// timeLeft returns the time to the request's deadline.
func (r *clientRequest) timeLeft() time.Duration { return r.deadline - r.dispatcher.now() }

// clientLeft reports whether the client's connection has ended.
func (r *clientRequest) clientLeft() bool { return r.request.Context.Err() != nil }

// canContinue reports whether there is a client and time for another call.
func (r *clientRequest) canContinue() bool { return r.ctx.Err() == nil && r.timeLeft() >= minTimeLeft }

// acceptsCalls reports whether a worker may still be sent to by the newest view. One that is draining, that
// has ended or that is changing its role may not.
func (r *clientRequest) acceptsCalls(worker *fleetview.Worker) bool {
	view := r.dispatcher.view.Load()
	for _, other := range view.Workers[r.service.Name] {
		if other.ID == worker.ID {
			return !other.Transitioning()
		}
	}
	return false
}

// exclude keeps a worker from being chosen again for the request.
func (r *clientRequest) exclude(worker *fleetview.Worker) { r.excluded = append(r.excluded, worker.ID) }
