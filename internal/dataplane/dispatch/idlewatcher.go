package dispatch

import (
	"context"
	"errors"
	"sync/atomic"
	"time"
)

// errIdleTimeout is why a call ended whose worker said nothing for too long.
var errIdleTimeout = errors.New("dispatch: the worker is silent")

// idleWatcher is the context of one call, ended when the worker is silent for too long.
type idleWatcher struct {
	ctx       context.Context
	cancel    context.CancelCauseFunc
	timer     *time.Timer // nil: silence does not end the call
	retryPaid atomic.Bool // the repeat that follows the end is paid
}

// newIdleWatcher starts a call's context. After a silence, allow is asked whether the call ends; a silence
// of 0 stands for no end.
func newIdleWatcher(parent context.Context, timeout time.Duration, mayRetry func() bool) *idleWatcher {
	ctx, cancel := context.WithCancelCause(parent)
	w := &idleWatcher{ctx: ctx, cancel: cancel}
	if timeout <= 0 {
		return w
	}
	w.timer = time.AfterFunc(timeout, func() {
		if !mayRetry() {
			return
		}
		w.retryPaid.Store(true)
		cancel(errIdleTimeout)
	})
	return w
}

// pause stops the time from running, as while the client is written to.
func (w *idleWatcher) pause() {
	if w.timer != nil {
		w.timer.Stop()
	}
}

// resume starts the time anew.
func (w *idleWatcher) resume(timeout time.Duration) {
	if w.timer != nil {
		w.timer.Reset(timeout)
	}
}

// timedOut tells whether silence ended the call.
func (w *idleWatcher) timedOut() bool { return errors.Is(context.Cause(w.ctx), errIdleTimeout) }

// stop ends the context; it must be called once the call is over.
func (w *idleWatcher) stop() {
	w.pause()
	w.cancel(nil)
}
