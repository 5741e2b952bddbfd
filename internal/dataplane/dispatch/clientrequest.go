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
	// defaultRetryAfter is told where nothing better is known.
	defaultRetryAfter = 250 * time.Millisecond
	maxRetryAfter     = 10 * time.Second
	// maxSteps bounds the choices made for one try, also those that led to no run.
	maxSteps = 8
	// minTimeLeft is the least time for which a call is still made.
	minTimeLeft = time.Millisecond
)

// clientRequest is the state of one request of a client.
type clientRequest struct {
	dispatcher *Dispatcher
	responder  Responder
	request    *httpserver.Request
	view       *fleetview.View // in force when the request came
	route      *configuration.Route
	service    *configuration.Service
	criteria   selection.Request
	deadline   time.Duration // instant after which nothing is done for the request
	ctx        context.Context

	attempts        attemptQuota
	excluded        []string // workers not to be chosen again
	calledAddresses []string // addresses of the calls made
	steps           int

	prefillAccepted bool // a worker has, or may have, taken up a call that reads the prompt
	handle          *kvHandle
	mayHaveRun      bool
	runs            int
	errorAnswer     *Answer // a worker's own error answer, passed on unless another run yields better
	retryAfter      time.Duration
	progress        streamProgress
	status          int // of the answer; 0: none, or broken off
	trace           trace
}

func newClientRequest(dispatcher *Dispatcher, responder Responder, request *httpserver.Request, view *fleetview.View,
	route *configuration.Route, service *configuration.Service) *clientRequest {
	arrived := dispatcher.now() - receiveTime(request)
	limit := arrived + timeLimit(request.Header, route.Timeout)
	r := &clientRequest{
		dispatcher: dispatcher, responder: responder, request: request, view: view, route: route, service: service, deadline: limit,
	}
	r.criteria = newCriteria(request, route, service.Name, arrived, limit)
	r.attempts = attemptQuota{maxAttempts: max(route.MaxAttempts, 1), spendBudget: r.spendBudget}
	return r
}

// newCriteria is what the choice of workers depends on.
func newCriteria(request *httpserver.Request, route *configuration.Route, service string, arrived, limit time.Duration) selection.Request {
	in, out := parseTokenCount(request.Header.Get(fieldTokenCount))
	return selection.Request{
		Service:      service,
		Route:        route.Name,
		Model:        request.Header.Get(fieldModel),
		Priority:     route.Priority,
		Prompt:       parsePrefix(request.Header.Get(fieldPrefix)),
		PromptTokens: in,
		OutputTokens: out,
		Streaming:    route.Type == configuration.Streaming,
		Arrived:      arrived,
		Objective:    arrived + route.TargetLatency,
		Deadline:     limit,
	}
}

// serve answers the request.
func (r *clientRequest) serve() {
	ctx, cancel := context.WithTimeout(r.request.Context, r.timeLeft())
	defer cancel()
	r.ctx = ctx
	r.responder.SetWriteTimeout(r.timeLeft())
	defer r.freeHandle()
	for r.step() {
		r.steps++
	}
}

// step makes one choice and the calls that follow from it. It tells whether another step is to follow;
// otherwise the request is answered.
func (r *clientRequest) step() bool {
	if r.steps >= maxSteps || !r.canContinue() || r.mayHaveRun && !r.retryAllowed() {
		r.finish()
		return false
	}
	choice, verdict := r.dispatcher.shared.choose(&r.criteria, r.excluded)
	if !verdict.Admit || choice.Run == nil {
		r.retryAfter = verdict.RetryAfter
		r.finish()
		return false
	}
	if !r.acceptsCalls(choice.Run) {
		r.exclude(choice.Run)
		return true
	}
	r.trace.choice = choice
	if choice.Prefill != nil && r.handle == nil && r.canSplitPrefill() && r.reservePrefill() {
		return r.prefillThenRun(choice)
	}
	return r.run(choice)
}

// canSplitPrefill tells whether the prompt can be read apart from the run. A worker runs a request that names no tokens at
// once and in full, whatever stage it is asked for.
func (r *clientRequest) canSplitPrefill() bool { return r.criteria.PromptTokens > 0 }

// prefillThenRun has the prompt read, and runs the request if that worked.
func (r *clientRequest) prefillThenRun(choice selection.Choice) bool {
	if !r.acceptsCalls(choice.Prefill) {
		r.exclude(choice.Prefill)
		return true
	}
	switch outcome := r.prefill(choice); {
	case outcome == prefillExecuted:
		return false
	case outcome == prefillNoHandle || !r.canContinue():
		return true
	}
	if !r.acceptsCalls(choice.Run) {
		r.exclude(choice.Run)
		return true
	}
	return r.run(choice)
}

// finish answers a request for which nothing more will be sent.
func (r *clientRequest) finish() {
	switch {
	case r.clientLeft():
		r.dispatcher.counts.cancelled.Add(1)
		r.responder.Abort()
	case r.progress.started:
		r.dispatcher.counts.aborted.Add(1)
		r.responder.Abort()
	case r.errorAnswer != nil:
		r.forward(r.errorAnswer)
	case !r.mayHaveRun:
		r.status = statusUnavailable
		r.dispatcher.reject(r.responder, r.request, r.retryAfter)
	case r.timeLeft() < minTimeLeft:
		r.answerError(statusGatewayTimeout)
	default:
		r.answerError(statusBadGateway)
	}
}

// answerError answers a request that may have run.
func (r *clientRequest) answerError(status int) {
	r.status = status
	r.dispatcher.counts.failed.Add(1)
	_ = r.responder.WriteResponse(status, ownAnswerFields(r.request), nil)
}

// forward answers with a worker's whole answer.
func (r *clientRequest) forward(answer *Answer) {
	r.status = answer.Status
	_ = r.responder.WriteResponse(answer.Status, fieldsForClient(answer.Header), answer.Body)
}

// timeLeft is the time for which something may be done for the request.
func (r *clientRequest) timeLeft() time.Duration { return r.deadline - r.dispatcher.now() }

// clientLeft tells whether the client's connection has ended.
func (r *clientRequest) clientLeft() bool { return r.request.Context.Err() != nil }

// canContinue tells whether a call may still be of use.
func (r *clientRequest) canContinue() bool { return r.ctx.Err() == nil && r.timeLeft() >= minTimeLeft }

// acceptsCalls tells whether a worker may still be sent to by the newest list; a draining or ended one, or one that is about to
// change its stage, may not.
func (r *clientRequest) acceptsCalls(worker *fleetview.Worker) bool {
	view := r.dispatcher.view.Load()
	for _, other := range view.Workers[r.service.Name] {
		if other.ID == worker.ID {
			return !other.Transitioning()
		}
	}
	return false
}

func (r *clientRequest) exclude(worker *fleetview.Worker) { r.excluded = append(r.excluded, worker.ID) }
