package dispatch

import (
	"ospreybend/internal/controlplane/configuration"
)

// mayRetryPrefill returns what tells whether a silent call to read the prompt is given up for another one, and pays
// for it: only a call that a worker took up is free, and one that is silent still waits. It may be called from
// another goroutine.
func (r *clientRequest) mayRetryPrefill() func() bool {
	service := r.service.Name
	minTime := r.route.TargetLatency / 2
	return func() bool {
		return r.timeLeft() >= minTime && r.dispatcher.shared.spendBudget(service, r.dispatcher.view.Load().EdgeNodeCount)
	}
}

// afterFailedRun follows a run that may have taken place and yielded nothing whole.
func (r *clientRequest) afterFailedRun(watcher *idleWatcher) bool {
	r.mayHaveRun = true
	if watcher.timedOut() && watcher.retryPaid.Load() {
		r.attempts.reserved++
	}
	r.freeHandle()
	if r.retryAllowed() {
		return true
	}
	r.finish()
	return false
}

// mayRetryRun returns what tells whether a silent run is given up for another one, and pays for
// that. It may be called from another goroutine.
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

// retryAllowed tells whether the request may run more than once.
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

// spendBudget takes a call beyond the first out of the node's budget.
func (r *clientRequest) spendBudget() bool {
	return r.dispatcher.shared.spendBudget(r.service.Name, r.dispatcher.view.Load().EdgeNodeCount)
}
