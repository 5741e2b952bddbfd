package dispatch

import (
	"time"

	"ospreybend/internal/dataplane/selection"
)

// trackedCall is a call that has been reported to the chooser. The first of done, rejected, failed and
// abandoned ends it; later calls of these methods have no effect.
type trackedCall struct {
	shared *sharedState
	call   *selection.Call
	ended  bool
}

// firstEvent reports to the chooser that the first event of the response has arrived.
func (t *trackedCall) firstEvent() {
	t.shared.mutex.Lock()
	defer t.shared.mutex.Unlock()
	t.shared.chooser.FirstEvent(t.shared.now(), t.call)
	t.shared.onLoadChange()
}

// done ends a call that got a usable response. load is the load that the response reported, or nil.
func (t *trackedCall) done(load *selection.Load) {
	t.end(func(now time.Duration) { t.shared.chooser.Done(now, t.call, load) })
}

// rejected ends a call that the worker rejected without executing it. load is as in done.
func (t *trackedCall) rejected(load *selection.Load) {
	t.end(func(now time.Duration) { t.shared.chooser.Rejected(now, t.call, load) })
}

// failed ends a call that got no usable response.
func (t *trackedCall) failed(cause selection.Failure) {
	t.end(func(now time.Duration) { t.shared.chooser.Failed(now, t.call, cause) })
}

// abandoned ends a call whose client has disconnected.
func (t *trackedCall) abandoned() {
	t.end(func(now time.Duration) { t.shared.chooser.Abandoned(now, t.call) })
}

// end reports the end of the call to the chooser, unless it has been reported before.
func (t *trackedCall) end(report func(now time.Duration)) {
	if t.ended {
		return
	}
	t.ended = true
	t.shared.mutex.Lock()
	defer t.shared.mutex.Unlock()
	report(t.shared.now())
	t.shared.onLoadChange()
}
