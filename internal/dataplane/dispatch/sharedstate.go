package dispatch

import (
	"sync"
	"time"

	"ospreybend/internal/controlplane/roleplanner"
	"ospreybend/internal/dataplane/fleetview"
	"ospreybend/internal/dataplane/retrybudget"
	"ospreybend/internal/dataplane/selection"
)

// sharedState is the state shared by the goroutines of all requests. Its mutex is never held during I/O with
// a worker or client.
type sharedState struct {
	now          func() time.Duration
	onLoadChange func() // called when a call is sent, gets its first event or ends; must not block

	mutex   sync.Mutex // guards chooser and budgets
	chooser Chooser
	budgets *retrybudget.Budgets
}

// setView applies a view to the chooser and drops the retry budgets of removed services.
func (s *sharedState) setView(view *fleetview.View) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.now()
	s.chooser.SetView(now, view)
	s.budgets.Retain(now, func(service string) bool { return view.Services[service] != nil })
}

// setRetryBudget changes the rules of the retry budgets.
func (s *sharedState) setRetryBudget(rules retrybudget.Rules) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.budgets.SetRules(s.now(), rules)
}

// setRecomputeWindow changes the time in which recomputing a cached prefix has a cost.
func (s *sharedState) setRecomputeWindow(window time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.chooser.SetRecomputeWindow(window)
}

// recordRequest counts a client's request for a service.
func (s *sharedState) recordRequest(service string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.budgets.RecordRequest(s.now(), service)
}

// spendBudget spends one retry of a service's retry budget and reports whether the budget allowed it.
func (s *sharedState) spendBudget(service string, nodes int) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.budgets.TrySpend(s.now(), service, nodes)
}

// choose returns the workers of a request and whether the request is admitted.
func (s *sharedState) choose(request *selection.Request, excluded []string) (selection.Choice, selection.AdmissionDecision) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.chooser.Choose(s.now(), request, excluded)
}

// admits reports whether choose would now return workers for a request and admit it; for a last attempt, workers with room.
func (s *sharedState) admits(request *selection.Request, excluded []string, lastAttempt bool) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.chooser.Admits(s.now(), request, excluded, lastAttempt)
}

// sent records a call that is being sent.
func (s *sharedState) sent(request *selection.Request, kind selection.CallKind, choice selection.Choice) *trackedCall {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	defer s.onLoadChange()
	return &trackedCall{shared: s, call: s.chooser.Sent(s.now(), request, kind, choice)}
}

// outstanding returns this node's calls in flight, by worker.
func (s *sharedState) outstanding() []selection.Outstanding {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.chooser.Outstanding(s.now())
}

// setPeerLoad replaces the known calls in flight of another node.
func (s *sharedState) setPeerLoad(node uint64, list []selection.Outstanding) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.chooser.SetPeerLoad(s.now(), node, list)
}

// demands returns the demand of each service whose workers have stages (prefill or decode).
func (s *sharedState) demands() map[string]roleplanner.Demand {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.chooser.Demands(s.now())
}
