package dispatch

import (
	"time"

	"github.com/go-faster/jx"

	"ospreybend/internal/catalog"
	"ospreybend/internal/exchange"
	"ospreybend/internal/httpwire"
	"ospreybend/internal/selection"
)

const (
	// A worker that reads a prompt is given up after prefillPatience times the predicted time to the
	// first event, or the route's objective if that is longer, and prefillSlack more.
	prefillPatience = 3
	prefillSlack    = 200 * time.Millisecond

	statusOK = 200
)

// handle names the memory of a prompt at the worker that read it.
type handle struct {
	id     string
	worker *catalog.Worker
}

// payPrefill tells whether a call to read the prompt may be made before the run. The first that is
// taken up is not counted, but it may be rejected and count then.
func (t *try) payPrefill() bool {
	if t.prefillTaken {
		return t.account.pay(2)
	}
	return t.account.pay(1)
}

// prefill has the prompt read and tells whether there is a handle. If not, the worker is not chosen again.
func (t *try) prefill(choice selection.Choice) bool {
	w := newWatch(t.ctx, t.prefillSilence(choice), always)
	defer w.stop()
	t.d.counts.prefills.Add(1)
	ticket := t.d.guard.sent(&t.ask, selection.CallPrefill, choice)
	answer, failure := t.d.workers.Do(w.ctx, t.prefillCall(choice.Prefill))
	if failure != nil {
		t.prefillFailed(ticket, choice, failure)
		return false
	}
	return t.prefillAnswered(ticket, choice, answer)
}

func always() bool { return true }

func (t *try) prefillSilence(choice selection.Choice) time.Duration {
	return max(prefillPatience*choice.First, t.route.TargetLatency) + prefillSlack
}

func (t *try) prefillFailed(ticket *ticket, choice selection.Choice, failure *exchange.Failure) {
	t.exclude(choice.Prefill)
	if failure.Result != exchange.NotSent {
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

func (t *try) prefillAnswered(ticket *ticket, choice selection.Choice, answer *Answer) bool {
	closeEvents(answer)
	switch answer.Result {
	case exchange.NotExecuted:
		t.account.reached()
		t.exclude(choice.Prefill)
		t.noteRetryAfter(answer)
		ticket.rejected(loadOf(answer))
		return false
	case exchange.Misdirected:
		t.account.arrived()
		t.exclude(choice.Prefill)
		ticket.failed(selection.FailureMisrouted)
		return false
	}
	t.prefillReached()
	id, readable := parseHandle(answer.Body)
	if answer.Status != statusOK || !readable || !t.answersThis(answer) {
		t.exclude(choice.Prefill)
		ticket.failed(selection.FailureStatus)
		return false
	}
	ticket.done(loadOf(answer))
	t.held = &handle{id: id, worker: choice.Prefill}
	return true
}

func (t *try) prefillCall(worker *catalog.Worker) *exchange.Call {
	fields := t.workerFields(worker, 1)
	fields = append(fields, httpwire.Field{Name: fieldStage, Value: stagePrefill})
	return &exchange.Call{
		Address: worker.Address,
		Method:  t.request.Method,
		Target:  t.request.Target,
		Fields:  fields,
		Body:    t.request.Body,
	}
}

// parseHandle reads {"prefillHandle":ID,...} and tells whether there is an ID.
func parseHandle(body []byte) (string, bool) {
	id := ""
	err := jx.DecodeBytes(body).Obj(func(decoder *jx.Decoder, key string) error {
		if key != "prefillHandle" {
			return decoder.Skip()
		}
		var err error
		id, err = decoder.Str()
		return err
	})
	return id, err == nil && validHandle(id)
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
