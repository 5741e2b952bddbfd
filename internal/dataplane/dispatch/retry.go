package dispatch

import (
	"ospreybend/internal/controlplane/configuration"
)

// Where a retry is allowed. A client request may be sent to a worker again
//
//   - freely as to its type, where the earlier call cannot have executed it: nothing of it was sent, or
//     the worker responded that it did not execute it (runFailed, runRejected, runMisdirected);
//   - after a run that may have executed it, only where retryAllowed reports so (afterFailedRun);
//   - while a run or a prefill still hangs, only where mayRetryRun or mayRetryPrefill grants it.
//
// Each run that reaches a worker is an attempt: attemptQuota bounds them by the route's maxAttempts, and all
// but the first are paid for from the service's retry budget (package retrybudget). A run of which nothing
// was sent keeps its reservation for the next one.

// retryAllowed reports whether the request may be executed more than once: if it is idempotent, or a
// resumable stream that another worker can continue after the last event sent.
func (r *clientRequest) retryAllowed() bool {
	switch r.route.Type {
	case configuration.Idempotent:
		return true
	case configuration.Streaming:
		return r.route.Resumable && r.progress.resumable()
	default:
		return false
	}
}

// afterFailedRun follows a run that may have been executed and has no usable response.
func (r *clientRequest) afterFailedRun(watcher *idleWatcher) stepResult {
	r.mayHaveRun = true
	if watcher.timedOut() && watcher.retryPaid.Load() {
		r.attempts.reserved++
	}
	r.freeHandle()
	if r.retryAllowed() {
		return nextStep
	}
	return r.finish()
}

// mayRetryRun returns the function that decides whether a hung run is canceled in favor of another one,
// and that pays for the other one. It may be called from another goroutine.
func (r *clientRequest) mayRetryRun() func() bool {
	attemptsLeft := r.attempts.used+2 <= r.attempts.maxAttempts
	excluded := len(r.excluded)
	service := r.service.Name
	minTime := r.route.TargetLatency / 2
	return func() bool {
		if !attemptsLeft || r.timeLeft() < minTime {
			return false
		}
		view := r.dispatcher.view.Load()
		return len(view.Workers[service]) > excluded && r.dispatcher.shared.spendBudget(service, view.EdgeNodeCount)
	}
}

// mayRetryPrefill returns the function that decides whether a hung prefill is canceled in favor of
// another one, and that pays for the other one: the prefill that is free of attempts and budget is one
// that a worker accepted, and a hung one may still be in its queue. It may be called from another
// goroutine.
func (r *clientRequest) mayRetryPrefill() func() bool {
	service := r.service.Name
	minTime := r.route.TargetLatency / 2
	return func() bool {
		return r.timeLeft() >= minTime && r.dispatcher.shared.spendBudget(service, r.dispatcher.view.Load().EdgeNodeCount)
	}
}

// spendBudget takes one call from the service's retry budget, and reports whether it was there.
func (r *clientRequest) spendBudget() bool {
	return r.dispatcher.shared.spendBudget(r.service.Name, r.dispatcher.view.Load().EdgeNodeCount)
}
