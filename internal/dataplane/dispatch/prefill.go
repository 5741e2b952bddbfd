package dispatch

import (
	"strconv"
	"time"

	"github.com/go-faster/jx"

	"ospreybend/internal/dataplane/fleetview"
	"ospreybend/internal/dataplane/selection"
	"ospreybend/internal/dataplane/upstream"
	"ospreybend/internal/util/http1"
)

const (
	// A worker that reads a prompt is given up after prefillPatience times the predicted time to the
	// first event, or the route's objective if that is longer, and prefillSlack more.
	prefillPatience = 3
	prefillSlack    = 200 * time.Millisecond

	statusOK = 200
)

// prefillOutcome is what a call to read a prompt led to.
type prefillOutcome uint8

const (
	prefillNone prefillOutcome = iota // no handle; another step is to follow
	prefillDone                       // there is a handle
	prefillRan                        // the worker ran the request, and the client has its answer
)

// handle names the memory of a prompt at the worker that read it.
type handle struct {
	id      string
	worker  *fleetview.Worker
	version string // of the weights that read the prompt; empty: not told
}

// payPrefill tells whether a call to read the prompt may be made before the run. The first that is
// taken up is not counted, but it may be rejected and count then.
func (t *try) payPrefill() bool {
	if t.prefillTaken {
		return t.account.pay(2)
	}
	return t.account.pay(1)
}

// prefill has the prompt read. Without a handle the worker is not chosen again.
func (t *try) prefill(choice selection.Choice) prefillOutcome {
	w := newWatch(t.ctx, t.prefillSilence(choice), t.mayReadElsewhere())
	defer w.stop()
	t.d.counts.prefills.Add(1)
	ticket := t.d.guard.sent(&t.ask, selection.CallPrefill, choice)
	begun := t.d.now()
	answer, failure := t.d.workers.Do(w.ctx, t.prefillCall(choice.Prefill))
	t.trace.read = t.d.now() - begun
	if failure != nil {
		t.prefillFailed(ticket, choice, failure)
		return prefillNone
	}
	return t.prefillAnswered(ticket, w, choice, answer)
}

// mayReadElsewhere returns what tells whether a silent call to read the prompt is given up for another one, and pays
// for it: only a call that a worker took up is free, and one that is silent still waits. It may be called from
// another goroutine.
func (t *try) mayReadElsewhere() func() bool {
	service := t.service.Name
	needed := t.route.TargetLatency / 2
	return func() bool {
		return t.left() >= needed && t.d.guard.spend(service, t.d.view.Load().EdgeNodeCount)
	}
}

func (t *try) prefillSilence(choice selection.Choice) time.Duration {
	return max(prefillPatience*choice.TimeToFirstEvent, t.route.TargetLatency) + prefillSlack
}

func (t *try) prefillFailed(ticket *ticket, choice selection.Choice, failure *upstream.Failure) {
	t.exclude(choice.Prefill)
	if failure.Result != upstream.NotSent {
		t.prefillReached()
	}
	t.endFailed(ticket, failure)
}

// prefillReached notes a call that a worker has, or may have, taken up.
func (t *try) prefillReached() {
	if t.prefillTaken {
		t.account.reached()
	}
	t.prefillTaken = true
}

func (t *try) prefillAnswered(ticket *ticket, w *watch, choice selection.Choice, answer *Answer) prefillOutcome {
	closeEvents(answer)
	if answer.Result != upstream.Answered {
		t.prefillTurnedAway(ticket, choice, answer)
		return prefillNone
	}
	read, readable := parseHandle(answer.Body)
	if answer.Header.Has(fieldSignature) || answer.Status == statusOK && !readable {
		t.exclude(choice.Prefill)
		return t.prefillWasRun(ticket, w, answer)
	}
	t.prefillReached()
	if answer.Status != statusOK || !t.answersThis(answer) {
		t.exclude(choice.Prefill)
		ticket.failed(selection.FailureStatus)
		return prefillNone
	}
	ticket.done(loadOf(answer))
	read.worker = choice.Prefill
	t.held = &read
	return prefillDone
}

// prefillTurnedAway follows an answer that says that the worker did not take the call up.
func (t *try) prefillTurnedAway(ticket *ticket, choice selection.Choice, answer *Answer) {
	t.exclude(choice.Prefill)
	if answer.Result == upstream.Misdirected {
		t.account.arrived()
		ticket.failed(selection.FailureMisrouted)
		return
	}
	t.account.reached()
	t.noteRetryAfter(answer)
	ticket.rejected(loadOf(answer))
}

// prefillWasRun follows a signed answer, or a success without a handle: the worker ran the request
// instead of reading its prompt.
func (t *try) prefillWasRun(ticket *ticket, w *watch, answer *Answer) prefillOutcome {
	t.account.reached()
	again := false
	if t.sound(answer) {
		again = t.runWhole(ticket, w, answer)
	} else {
		ticket.failed(selection.FailureBroken)
		again = t.afterLoss(w)
	}
	if again {
		return prefillNone
	}
	return prefillRan
}

func (t *try) prefillCall(worker *fleetview.Worker) *upstream.Request {
	fields := t.workerFields(worker, 1)
	fields = append(fields, http1.HeaderField{Name: fieldStage, Value: stagePrefill})
	return &upstream.Request{
		Address:      worker.Address,
		Method:       t.request.Method,
		Target:       t.request.Target,
		Header:       fields,
		Body:         t.request.Body,
		ForceNewConn: t.callsAgain(worker.Address),
	}
}

// parseHandle reads {"prefillHandle":ID,"generation":N,...} and tells whether there is an ID.
func parseHandle(body []byte) (handle, bool) {
	var read handle
	err := jx.DecodeBytes(body).Obj(func(decoder *jx.Decoder, key string) error {
		var err error
		switch {
		case key == "prefillHandle":
			read.id, err = decoder.Str()
		case key == "generation" && decoder.Next() == jx.Number:
			var version jx.Num
			version, err = decoder.Num()
			read.version = wholeNumber(version.String())
		default:
			err = decoder.Skip()
		}
		return err
	})
	return read, err == nil && validHandle(read.id)
}

// wholeNumber returns a text that is a whole number as it is, and nothing for any other.
func wholeNumber(text string) string {
	if _, err := strconv.ParseUint(text, 10, 63); err != nil {
		return ""
	}
	return text
}

// validHandle tells whether an ID can be part of a header field and of a path.
func validHandle(id string) bool {
	for i := range len(id) {
		c := id[i]
		if c <= ' ' || c >= 0x7f || c == '/' || c == '?' || c == '#' {
			return false
		}
	}
	return id != ""
}
