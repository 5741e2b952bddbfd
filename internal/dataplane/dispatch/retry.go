package dispatch

import (
	"ospreybend/internal/controlplane/configuration"
)

// Retry rules. A client request may be sent to a worker again
//
//   - regardless of the route's type, if the earlier call cannot have executed it: its head was not sent
//     completely, or the worker responded that it did not execute it (onRunFailed, onRunRejected,
//     onRunMisdirected);
//   - after a run that may have executed it, only if retryAllowed returns true (retryOrFinish);
//   - while a run or a prefill is unresponsive, only if runRetryCheck or prefillRetryCheck allows it.
//
// Each run that reaches a worker is an attempt: attemptQuota limits attempts to the route's maxAttempts, and
// all but the first spend the service's retry budget (package retrybudget). A run whose head was not sent
// completely leaves its reservation to the next run.

// retryAllowed reports whether the request may be executed more than once: it is idempotent, or it is a
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

// retryOrFinish processes a run that may have been executed and has no usable response: it continues with the next step if
// a retry is allowed, and finishes the request otherwise.
func (r *clientRequest) retryOrFinish(watcher *idleWatcher) stepResult {
	r.mayHaveExecuted = true
	if watcher.timedOut() && watcher.retryBudgetSpent.Load() {
		r.attempts.reserved++
	}
	r.freeHandle()
	if r.retryAllowed() {
		return nextStep
	}
	return r.finish()
}

// runRetryCheck returns the function that decides whether an unresponsive run is canceled in favor of another
// one, and that spends the retry budget for the other one. The function may be called from another goroutine.
func (r *clientRequest) runRetryCheck() func() bool {
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

// prefillRetryCheck returns the function that decides whether an unresponsive prefill is canceled in favor of
// another one, and that spends the retry budget for the other one. The budget is needed because only one
// accepted prefill is exempt from attempts and budget, and an unresponsive one may still be in the worker's
// queue. The function may be called from another goroutine.
func (r *clientRequest) prefillRetryCheck() func() bool {
	service := r.service.Name
	minTime := r.route.TargetLatency / 2
	return func() bool {
		return r.timeLeft() >= minTime && r.dispatcher.shared.spendBudget(service, r.dispatcher.view.Load().EdgeNodeCount)
	}
}

// spendBudget spends one retry of the service's retry budget and reports whether the budget allowed it.
func (r *clientRequest) spendBudget() bool {
	return r.dispatcher.shared.spendBudget(r.service.Name, r.dispatcher.view.Load().EdgeNodeCount)
}
