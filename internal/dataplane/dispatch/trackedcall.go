package dispatch

import (
	"time"

	"ospreybend/internal/dataplane/selection"
)

// trackedCall is a call in flight that the chooser knows of. It ends by the first of done, rejected, failed
// and abandoned; later ones have no effect.
type trackedCall struct {
	shared *sharedState
	call   *selection.Call
	closed bool
}

// firstEvent reports that the first event of the response has arrived.
func (t *trackedCall) firstEvent() {
	t.shared.mutex.Lock()
	defer t.shared.mutex.Unlock()
	t.shared.chooser.FirstEvent(t.shared.now(), t.call)
	t.shared.onChange()
}

// done ends a call with a usable response. Load is what it reported; nil: nothing.
func (t *trackedCall) done(load *selection.Load) {
	t.end(func(now time.Duration) { t.shared.chooser.Done(now, t.call, load) })
}

// rejected ends a call that the worker did not execute.
func (t *trackedCall) rejected(load *selection.Load) {
	t.end(func(now time.Duration) { t.shared.chooser.Rejected(now, t.call, load) })
}

// failed ends a call without a usable response.
func (t *trackedCall) failed(cause selection.Failure) {
	t.end(func(now time.Duration) { t.shared.chooser.Failed(now, t.call, cause) })
}

// abandoned ends a call whose client has left.
func (t *trackedCall) abandoned() {
	t.end(func(now time.Duration) { t.shared.chooser.Abandoned(now, t.call) })
}

// end reports the end of the call to the chooser, unless it has ended.
func (t *trackedCall) end(report func(now time.Duration)) {
	if t.closed {
		return
	}
	t.closed = true
	t.shared.mutex.Lock()
	defer t.shared.mutex.Unlock()
	report(t.shared.now())
	t.shared.onChange()
}
