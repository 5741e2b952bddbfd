package dispatch

import (
	"context"
	"errors"
	"sync/atomic"
	"time"
)

// errIdleTimeout is the cancellation cause of a context that an idleWatcher canceled.
var errIdleTimeout = errors.New("dispatch: the worker sent nothing within the idle timeout")

// idleWatcher holds the context of one call and cancels it if the worker sends nothing within a timeout and a
// retry is allowed.
type idleWatcher struct {
	ctx              context.Context
	cancel           context.CancelCauseFunc
	timer            *time.Timer // nil if the call is never canceled
	retryBudgetSpent atomic.Bool // the call was canceled, and its retry's budget is already spent
}

// newIdleWatcher returns a watcher with a running timer. When the timer fires, mayRetry decides whether the
// call is canceled; it is called from the timer's goroutine and must spend the retry's budget if it returns
// true. Without a positive timeout the call is never canceled.
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
		w.retryBudgetSpent.Store(true)
		cancel(errIdleTimeout)
	})
	return w
}

// pause stops the timer, for example while a response is written to the client.
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

// stop cancels the context. It must be called when the call has ended.
func (w *idleWatcher) stop() {
	w.pause()
	w.cancel(nil)
}
