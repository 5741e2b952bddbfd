package dispatch

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"
)

// errIdleTimeout is the cancellation cause of a context that an idleWatcher canceled.
var errIdleTimeout = errors.New("dispatch: the worker sent nothing within the idle timeout")

// retryCheckInterval is the time between checks whether a call that exceeds its timeout is canceled, as long as it is not.
const retryCheckInterval = 250 * time.Millisecond

// idleWatcher holds the context of one call and cancels it if the worker sends nothing within a timeout and a
// retry is allowed.
type idleWatcher struct {
	ctx              context.Context
	cancel           context.CancelCauseFunc
	mayRetry         func() bool
	retryBudgetSpent atomic.Bool // the call was canceled, and its retry's budget is already spent

	mutex     sync.Mutex  // guards the fields below
	timer     *time.Timer // nil if the call is never canceled
	expiresAt time.Time   // zero while the timer is stopped
}

// newIdleWatcher returns a watcher with a running timer. When the timer fires, mayRetry decides whether the
// call is canceled, and again every retryCheckInterval until it is; it is called from the timer's goroutine and must spend the
// retry's budget if it returns true. Without a positive timeout the call is never canceled.
func newIdleWatcher(parent context.Context, timeout time.Duration, mayRetry func() bool) *idleWatcher {
	ctx, cancel := context.WithCancelCause(parent)
	w := &idleWatcher{ctx: ctx, cancel: cancel, mayRetry: mayRetry}
	if timeout <= 0 {
		return w
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.expiresAt = time.Now().Add(timeout)
	w.timer = time.AfterFunc(timeout, w.expire)
	return w
}

// expire cancels the call if a retry is allowed, and checks again later otherwise. It does neither if the worker has sent something
// meanwhile.
func (w *idleWatcher) expire() {
	if !w.expired() {
		return
	}
	mayRetry := w.mayRetry()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	switch {
	case !w.expiredLocked():
	case mayRetry:
		w.retryBudgetSpent.Store(true)
		w.cancel(errIdleTimeout)
	default:
		w.restart(retryCheckInterval)
	}
}

func (w *idleWatcher) expired() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.expiredLocked()
}

// expiredLocked reports whether the timer runs and its time has passed. The caller must hold the mutex.
func (w *idleWatcher) expiredLocked() bool {
	return !w.expiresAt.IsZero() && !time.Now().Before(w.expiresAt)
}

// restart sets the timer. The caller must hold the mutex.
func (w *idleWatcher) restart(timeout time.Duration) {
	w.expiresAt = time.Now().Add(timeout)
	w.timer.Reset(timeout)
}

// pause stops the timer, for example while a response is written to the client.
func (w *idleWatcher) pause() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.timer != nil {
		w.expiresAt = time.Time{}
		w.timer.Stop()
	}
}

// resume restarts the timer.
func (w *idleWatcher) resume(timeout time.Duration) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.timer != nil {
		w.restart(timeout)
	}
}

// timedOut reports whether the watcher canceled the call.
func (w *idleWatcher) timedOut() bool { return errors.Is(context.Cause(w.ctx), errIdleTimeout) }

// stop cancels the context. It must be called when the call has ended.
func (w *idleWatcher) stop() {
	w.pause()
	w.cancel(nil)
}
