package dispatch

import (
	"context"
	"time"

	"ospreybend/internal/controlplane/configuration"
	"ospreybend/internal/dataplane/fleetview"
	"ospreybend/internal/dataplane/httpserver"
	"ospreybend/internal/dataplane/selection"
	"ospreybend/internal/util/http1"
)

const (
	// defaultRetryAfter is told where nothing better is known.
	defaultRetryAfter = 250 * time.Millisecond
	maxRetryAfter     = 10 * time.Second
	// maxSteps bounds the choices made for one try, also those that led to no run.
	maxSteps = 8
	// leastLeft is the least time for which a call is still made.
	leastLeft = time.Millisecond
)

// try is the state of one request of a client.
type try struct {
	d         *Dispatcher
	responder Responder
	request   *httpserver.Request
	view      *fleetview.View // in force when the request came
	route     *configuration.Route
	service   *configuration.Service
	ask       selection.Request
	limit     time.Duration // instant after which nothing is done for the request
	ctx       context.Context

	account  account
	excluded []string // workers not to be chosen again
	called   []string // addresses of the calls made
	steps    int

	prefillTaken bool // a worker has, or may have, taken up a call that reads the prompt
	held         *handle
	mayHaveRun   bool
	runs         int
	failedAnswer *Answer // a worker's own error answer, passed on unless another run yields better
	retryAfter   time.Duration
	relay        relay
	status       int // of the answer; 0: none, or broken off
	trace        trace
}

func newTry(d *Dispatcher, responder Responder, request *httpserver.Request, view *fleetview.View,
	route *configuration.Route, service *configuration.Service) *try {
	arrived := d.now() - spent(request)
	limit := arrived + allowance(request.Header, route.Timeout)
	t := &try{
		d: d, responder: responder, request: request, view: view, route: route, service: service, limit: limit,
	}
	t.ask = askOf(request, route, service.Name, arrived, limit)
	t.account = account{most: max(route.MaxAttempts, 1), spend: t.spend}
	return t
}

// askOf is what the choice of workers depends on.
func askOf(request *httpserver.Request, route *configuration.Route, service string, arrived, limit time.Duration) selection.Request {
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
func (t *try) serve() {
	ctx, cancel := context.WithTimeout(t.request.Context, t.left())
	defer cancel()
	t.ctx = ctx
	t.responder.SetWriteTimeout(t.left())
	defer t.freeHandle()
	for t.step() {
		t.steps++
	}
}

// step makes one choice and the calls that follow from it. It tells whether another step is to follow;
// otherwise the request is answered.
func (t *try) step() bool {
	if t.steps >= maxSteps || !t.alive() || t.mayHaveRun && !t.repeatable() {
		t.conclude()
		return false
	}
	choice, verdict := t.d.guard.choose(&t.ask, t.excluded)
	if !verdict.Admit || choice.Run == nil {
		t.retryAfter = verdict.RetryAfter
		t.conclude()
		return false
	}
	if !t.listed(choice.Run) {
		t.exclude(choice.Run)
		return true
	}
	t.trace.choice = choice
	if choice.Prefill != nil && t.held == nil && t.splittable() && t.payPrefill() {
		return t.prefillThenRun(choice)
	}
	return t.run(choice)
}

// splittable tells whether the prompt can be read apart from the run. A worker runs a request that names no tokens at
// once and in full, whatever stage it is asked for.
func (t *try) splittable() bool { return t.ask.PromptTokens > 0 }

// prefillThenRun has the prompt read, and runs the request if that worked.
func (t *try) prefillThenRun(choice selection.Choice) bool {
	if !t.listed(choice.Prefill) {
		t.exclude(choice.Prefill)
		return true
	}
	switch outcome := t.prefill(choice); {
	case outcome == prefillRan:
		return false
	case outcome == prefillNone || !t.alive():
		return true
	}
	if !t.listed(choice.Run) {
		t.exclude(choice.Run)
		return true
	}
	return t.run(choice)
}

// conclude answers a request for which nothing more will be sent.
func (t *try) conclude() {
	switch {
	case t.clientLeft():
		t.d.counts.left.Add(1)
		t.responder.Abort()
	case t.relay.begun:
		t.d.counts.broken.Add(1)
		t.responder.Abort()
	case t.failedAnswer != nil:
		t.passOn(t.failedAnswer)
	case !t.mayHaveRun:
		t.status = statusUnavailable
		t.d.refuse(t.responder, t.request, t.retryAfter)
	case t.left() < leastLeft:
		t.fail(statusGatewayTimeout)
	default:
		t.fail(statusBadGateway)
	}
}

// fail answers a request that may have run.
func (t *try) fail(status int) {
	t.status = status
	t.d.counts.failed.Add(1)
	_ = t.responder.WriteResponse(status, ownAnswerFields(t.request), nil)
}

// passOn answers with a worker's whole answer.
func (t *try) passOn(answer *Answer) {
	t.status = answer.Status
	_ = t.responder.WriteResponse(answer.Status, clientFields(answer.Header), answer.Body)
}

// clientFields are the fields of a worker's answer that the client gets.
func clientFields(fields http1.Header) http1.Header { return without(fields, innerFields, 0) }

// left is the time for which something may be done for the request.
func (t *try) left() time.Duration { return t.limit - t.d.now() }

// clientLeft tells whether the client's connection has ended.
func (t *try) clientLeft() bool { return t.request.Context.Err() != nil }

// alive tells whether a call may still be of use.
func (t *try) alive() bool { return t.ctx.Err() == nil && t.left() >= leastLeft }

// repeatable tells whether the request may run more than once.
func (t *try) repeatable() bool {
	switch t.route.Type {
	case configuration.Idempotent:
		return true
	case configuration.Streaming:
		return t.route.Resumable && t.relay.resumable()
	default:
		return false
	}
}

// listed tells whether a worker may still be sent to by the newest list; a draining or ended one, or one that is about to
// change its stage, may not.
func (t *try) listed(worker *fleetview.Worker) bool {
	view := t.d.view.Load()
	for _, other := range view.Workers[t.service.Name] {
		if other.ID == worker.ID {
			return !other.Transitioning()
		}
	}
	return false
}

func (t *try) exclude(worker *fleetview.Worker) { t.excluded = append(t.excluded, worker.ID) }

// spend takes a call beyond the first out of the node's budget.
func (t *try) spend() bool {
	return t.d.guard.spend(t.service.Name, t.d.view.Load().EdgeNodeCount)
}
