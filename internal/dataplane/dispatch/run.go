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
	statusRequestTimeout = 408
	statusMisdirected    = 421
	statusTooMany        = 429
	statusServerError    = 500

	// A worker that is silent before its first event is given up, where the request may be repeated,
	// after runPatience times the predicted time and objectivePatience times the route's objective.
	runPatience       = 3
	objectivePatience = 2
	// gapPatience times the longest pause in time is how long a begun stream may be silent.
	gapPatience  = 5
	leastSilence = 600 * time.Millisecond
)

// run calls the chosen worker for the answer. It tells whether another step is to follow.
func (t *try) run(choice selection.Choice) bool {
	if !t.account.pay(1) {
		t.conclude()
		return false
	}
	t.exclude(choice.Run)
	t.runs++
	t.d.counts.runs.Add(1)
	if t.runs > 1 {
		t.d.counts.repeats.Add(1)
	}
	w := newWatch(t.ctx, t.runSilence(choice), t.mayGiveUp())
	defer w.stop()
	ticket := t.d.guard.sent(&t.ask, selection.CallRun, choice)
	t.trace.sent = t.d.now()
	answer, failure := t.d.workers.Do(w.ctx, t.runCall(choice.Run))
	w.pause()
	if failure != nil {
		return t.runFailed(ticket, w, failure)
	}
	return t.runAnswered(ticket, w, answer)
}

// runFailed follows a call without a whole answer.
func (t *try) runFailed(ticket *ticket, w *watch, failure *upstream.Failure) bool {
	t.endFailed(ticket, failure)
	if failure.Result == upstream.NotSent {
		return true
	}
	t.account.reached()
	return t.afterLoss(w)
}

// endFailed tells the chooser how a call ended that has no whole answer.
func (t *try) endFailed(ticket *ticket, failure *upstream.Failure) {
	switch {
	case t.clientLeft():
		ticket.abandoned()
	case failure.Reason == upstream.PoolExhausted:
		ticket.rejected(nil)
	case failure.Result == upstream.NotSent && failure.Reason != upstream.Canceled:
		ticket.failed(selection.FailureConnect)
	case failure.Reason == upstream.Canceled:
		ticket.failed(selection.FailureTimeout)
	default:
		ticket.failed(selection.FailureBroken)
	}
}

// afterLoss follows a run that may have taken place and yielded nothing whole.
func (t *try) afterLoss(w *watch) bool {
	t.mayHaveRun = true
	if w.silent() && w.paid.Load() {
		t.account.paid++
	}
	t.freeHandle()
	if t.repeatable() {
		return true
	}
	t.conclude()
	return false
}

// runAnswered follows an answer.
func (t *try) runAnswered(ticket *ticket, w *watch, answer *Answer) bool {
	t.trace.noteLoad(answer, true)
	switch answer.Result {
	case upstream.NotExecuted:
		return t.runRejected(ticket, answer)
	case upstream.Misdirected:
		return t.runMisdirected(ticket, answer)
	}
	t.account.reached()
	if !t.sound(answer) {
		closeEvents(answer)
		ticket.failed(selection.FailureBroken)
		return t.afterLoss(w)
	}
	if answer.Events != nil {
		t.held = nil
		return t.relayEvents(ticket, w, answer)
	}
	return t.runWhole(ticket, w, answer)
}

// runMisdirected follows an answer that says that the call was not meant for the worker.
func (t *try) runMisdirected(ticket *ticket, answer *Answer) bool {
	closeEvents(answer)
	t.account.arrived()
	if t.hasOtherVersion(answer) {
		ticket.failed(selection.FailureTransfer)
		t.freeHandle()
		return true
	}
	ticket.failed(selection.FailureMisrouted)
	return true
}

// hasOtherVersion tells whether a worker refused a handle because its weights are not those that read the prompt.
func (t *try) hasOtherVersion(answer *Answer) bool {
	if t.held == nil || t.held.version == "" {
		return false
	}
	version := wholeNumber(answer.Header.Get(fieldVersions))
	return version != "" && version != t.held.version
}

// runRejected follows an answer that says that the request has not run.
func (t *try) runRejected(ticket *ticket, answer *Answer) bool {
	closeEvents(answer)
	t.account.reached()
	t.noteRetryAfter(answer)
	load := loadOf(answer)
	if t.held != nil && hasRoom(load) {
		ticket.failed(selection.FailureTransfer)
		t.freeHandle()
		return true
	}
	ticket.rejected(load)
	return true
}

// hasRoom tells whether a worker's load says that it did not reject for want of a place.
func hasRoom(load *selection.Load) bool {
	return load != nil && load.Running+load.Waiting < load.Slots
}

// runWhole follows an answer whose body was read whole.
func (t *try) runWhole(ticket *ticket, w *watch, answer *Answer) bool {
	switch {
	case answer.Status >= statusServerError || promises(answer.Status):
		ticket.failed(selection.FailureStatus)
		if !promises(answer.Status) {
			t.failedAnswer = answer
		}
		return t.afterLoss(w)
	case t.relay.begun:
		ticket.failed(selection.FailureStatus)
		return t.afterLoss(w)
	default:
		t.held = nil
		t.trace.noteFirst(t.d.now())
		ticket.done(loadOf(answer))
		t.passOn(answer)
		return false
	}
}

// promises tells whether a status promises a client that its request has not run.
func promises(status int) bool {
	switch status {
	case statusRequestTimeout, statusMisdirected, statusTooMany, statusUnavailable:
		return true
	default:
		return false
	}
}

// sound tells whether an answer can be passed on: a success needs the worker's signature and no encoding. That its body is
// whole the exchange has seen, and for a stream will see at its end.
func (t *try) sound(answer *Answer) bool {
	if answer.Header.Has(fieldEncoding) || !t.answersThis(answer) {
		return false
	}
	success := answer.Status >= 200 && answer.Status < 300
	if !success {
		return true
	}
	return answer.Header.Get(fieldSignature) != ""
}

// answersThis tells whether an answer carries the request's own ID.
func (t *try) answersThis(answer *Answer) bool {
	return answer.Header.Get(fieldRequestID) == t.request.Header.Get(fieldRequestID)
}

func (t *try) runCall(worker *fleetview.Worker) *upstream.Request {
	fields := t.workerFields(worker, 3)
	if t.held != nil {
		fields = append(fields, t.held.fields()...)
	}
	if t.relay.passed {
		fields = without(fields, []string{fieldLastEvent}, 1)
		fields = append(fields, http1.HeaderField{Name: fieldLastEvent, Value: t.relay.lastID})
	}
	return &upstream.Request{
		Address:      worker.Address,
		Method:       t.request.Method,
		Target:       t.request.Target,
		Header:       fields,
		Body:         t.request.Body,
		StreamEvents: t.route.Type == configuration.Streaming,
		ForceNewConn: t.callsAgain(worker.Address),
	}
}

// callsAgain notes a call to an address, and tells whether it is a further one for the request. A late second answer to an earlier
// call bears the same ID, so that only another connection tells them apart.
func (t *try) callsAgain(address string) bool {
	again := slices.Contains(t.called, address)
	t.called = append(t.called, address)
	return again
}

// workerFields are the fields that every call for the request has, with room for more.
func (t *try) workerFields(worker *fleetview.Worker, room int) http1.Header {
	fields := without(t.request.Header, ownFields, 3+room)
	fields = append(fields,
		http1.HeaderField{Name: fieldDeadline, Value: formatMillis(max(t.left(), leastLeft))},
		http1.HeaderField{Name: fieldTarget, Value: worker.ID})
	if t.service.Engine != nil {
		priority := strconv.Itoa(t.urgency())
		fields = append(fields, http1.HeaderField{Name: fieldPriority, Value: priority})
	}
	return fields
}

// urgency is the value of the field Priority in a call: a request whose prompt has been read comes first.
func (t *try) urgency() int {
	if t.held != nil {
		return 0
	}
	return t.trace.choice.Urgency
}

// runSilence is how long a worker may be silent before its first event or its whole answer; 0: until the limit.
func (t *try) runSilence(choice selection.Choice) time.Duration {
	if !t.repeatable() {
		return 0
	}
	silence := runPatience*choice.TimeToFirstEvent + objectivePatience*t.route.TargetLatency
	return max(silence, leastSilence)
}

// mayGiveUp returns what tells whether a silent run is given up for another one, and pays for
// that. It may be called from another goroutine.
func (t *try) mayGiveUp() func() bool {
	attemptsLeft := t.account.attempts+2 <= t.account.most
	tried := len(t.excluded)
	service := t.service.Name
	needed := t.route.TargetLatency / 2
	return func() bool {
		if !attemptsLeft || t.left() < needed {
			return false
		}
		view := t.d.view.Load()
		return len(view.Workers[service]) > tried && t.d.guard.spend(service, view.EdgeNodeCount)
	}
}

func (t *try) noteRetryAfter(answer *Answer) {
	if told := parseRetryAfter(answer.Header.Get(fieldRetryAfter)); told > 0 {
		t.retryAfter = told
	}
}

// loadOf is what a worker's answer told of its load; nil: nothing.
func loadOf(answer *Answer) *selection.Load {
	if answer.Load == nil {
		return nil
	}
	return &selection.Load{
		Running: answer.Load.Running, Waiting: answer.Load.Waiting, Slots: answer.Load.Slots,
	}
}
