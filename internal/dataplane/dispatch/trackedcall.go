package dispatch

import (
	"time"

	"ospreybend/internal/dataplane/selection"
)

// trackedCall is a call that the chooser knows of. The first of done, rejected, failed and
// abandoned counts; what comes after it has no effect.
type trackedCall struct {
	shared *sharedState
	call   *selection.Call
	closed bool
}

func (t *trackedCall) firstEvent() {
	t.shared.mutex.Lock()
	defer t.shared.mutex.Unlock()
	t.shared.chooser.FirstEvent(t.shared.now(), t.call)
	t.shared.onChange()
}

func (t *trackedCall) done(load *selection.Load) {
	t.end(func(now time.Duration) { t.shared.chooser.Done(now, t.call, load) })
}

func (t *trackedCall) rejected(load *selection.Load) {
	t.end(func(now time.Duration) { t.shared.chooser.Rejected(now, t.call, load) })
}

func (t *trackedCall) failed(cause selection.Failure) {
	t.end(func(now time.Duration) { t.shared.chooser.Failed(now, t.call, cause) })
}

func (t *trackedCall) abandoned() {
	t.end(func(now time.Duration) { t.shared.chooser.Abandoned(now, t.call) })
}

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
