package dispatch

import (
	"context"
	"errors"
	"sync/atomic"
	"time"
)

// errIdleTimeout is the cause of a context that an idleWatcher canceled.
var errIdleTimeout = errors.New("dispatch: the worker is idle for too long")

// idleWatcher holds the context of one call, and cancels it when the worker sends nothing for too long and
// a retry may follow.
type idleWatcher struct {
	ctx       context.Context
	cancel    context.CancelCauseFunc
	timer     *time.Timer // nil: the call is never canceled
	retryPaid atomic.Bool // the call was canceled and its retry is paid for
}

// newIdleWatcher returns a watcher whose timer runs. When it fires, mayRetry decides whether the call is
// canceled; it is called from the timer's goroutine. Without a positive timeout the call is never canceled.
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

// pause stops the timer, as while the client is written to.
func (w *idleWatcher) pause() {
	if w.timer != nil {
		w.timer.Stop()
	}
}

// resume restarts the timer.
func (w *idleWatcher) resume(timeout time.Duration) {
	if w.timer != nil {
		w.timer.Reset(timeout)
	}
}

// timedOut reports whether the watcher canceled the call.
func (w *idleWatcher) timedOut() bool { return errors.Is(context.Cause(w.ctx), errIdleTimeout) }

// stop cancels the context; it must be called when the call has ended.
func (w *idleWatcher) stop() {
	w.pause()
	w.cancel(nil)
}
