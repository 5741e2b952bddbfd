package dispatch

import (
	"slices"
	"time"

	"ospreybend/internal/controlplane/configuration"
	"ospreybend/internal/dataplane/fleetview"
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
	const thisRunAndNext = 2
	return r.successorCheck(thisRunAndNext, slices.Clone(r.excluded))
}

// prefillRetryCheck returns the function that decides whether an unresponsive prefill is canceled in favor of
// another one, and that spends the retry budget for the other one. The budget is needed because only one
// accepted prefill is exempt from attempts and budget, and an unresponsive one may still be in the worker's
// queue. The function may be called from another goroutine.
func (r *clientRequest) prefillRetryCheck(prefill *fleetview.Worker) func() bool {
	calls := 1 // the run; the first accepted prefill is no attempt
	if r.prefillAccepted {
		calls++
	}
	return r.successorCheck(calls, append(slices.Clone(r.excluded), prefill.ID))
}

// successorCheck returns a function that reports whether a call is canceled because the request would be served by other workers now:
// there is time, and a step and the given number of attempts are left; workers that are not excluded would be chosen and admit the request, and
// have room if no attempt is left after theirs; and the retry budget allows it, which is then spent. Else the call goes on, since its worker may still respond.
func (r *clientRequest) successorCheck(attempts int, excluded []string) func() bool {
	attemptsAfterwards := r.attempts.maxAttempts - r.attempts.used - attempts
	stepsLeft := r.steps+1 < maxSteps
	r.successorFound.Store(false)
	return func() bool {
		if attemptsAfterwards < 0 || !stepsLeft || r.timeLeft() < r.minRetryTime() {
			return false
		}
		if !r.dispatcher.shared.admits(&r.criteria, excluded, attemptsAfterwards == 0) || !r.spendBudget() {
			return false
		}
		r.successorFound.Store(true)
		return true
	}
}

// minRetryTime is the least time before the deadline with which an unresponsive call is canceled.
func (r *clientRequest) minRetryTime() time.Duration { return r.route.TargetLatency / 2 }

// spendBudget spends one retry of the service's retry budget and reports whether the budget allowed it.
func (r *clientRequest) spendBudget() bool {
	return r.dispatcher.shared.spendBudget(r.service.Name, r.dispatcher.view.Load().EdgeNodeCount)
}
