package dispatch

import (
	"context"
	"errors"
	"sync/atomic"
	"time"
)

// errSilent is why a call ended whose worker said nothing for too long.
var errSilent = errors.New("dispatch: the worker is silent")

// watch is the context of one call, ended when the worker is silent for too long.
type watch struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	timer  *time.Timer // nil: silence does not end the call
	paid   atomic.Bool // the repeat that follows the end is paid
}

// newWatch starts a call's context. After a silence, allow is asked whether the call ends; a silence
// of 0 stands for no end.
func newWatch(parent context.Context, silence time.Duration, allow func() bool) *watch {
	ctx, cancel := context.WithCancelCause(parent)
	w := &watch{ctx: ctx, cancel: cancel}
	if silence <= 0 {
		return w
	}
	w.timer = time.AfterFunc(silence, func() {
		if !allow() {
			return
		}
		w.paid.Store(true)
		cancel(errSilent)
	})
	return w
}

// pause stops the time from running, as while the client is written to.
func (w *watch) pause() {
	if w.timer != nil {
		w.timer.Stop()
	}
}

// resume starts the time anew.
func (w *watch) resume(silence time.Duration) {
	if w.timer != nil {
		w.timer.Reset(silence)
	}
}

// silent tells whether silence ended the call.
func (w *watch) silent() bool { return errors.Is(context.Cause(w.ctx), errSilent) }

// stop ends the context; it must be called once the call is over.
func (w *watch) stop() {
	w.pause()
	w.cancel(nil)
}
