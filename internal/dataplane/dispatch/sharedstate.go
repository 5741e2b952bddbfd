package dispatch

import (
	"sync"
	"time"

	"ospreybend/internal/controlplane/roleplanner"
	"ospreybend/internal/dataplane/fleetview"
	"ospreybend/internal/dataplane/retrybudget"
	"ospreybend/internal/dataplane/selection"
)

// sharedState is what the goroutines of all requests share. No call to a worker or client is made while
// its mutex is held.
type sharedState struct {
	now      func() time.Duration
	onChange func() // called when calls have been sent, responded to or ended; must not block

	mutex   sync.Mutex // guards chooser and budgets
	chooser Chooser
	budgets *retrybudget.Budgets
}

// setView applies a view to the chooser, and drops the retry budgets of services that are gone.
func (s *sharedState) setView(view *fleetview.View) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.now()
	s.chooser.SetView(now, view)
	s.budgets.Retain(now, func(service string) bool { return view.Services[service] != nil })
}

// recordRequest counts a client's request for a service.
func (s *sharedState) recordRequest(service string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.budgets.RecordRequest(s.now(), service)
}

// spendBudget takes one call from the retry budget of a service, and reports whether it was there.
func (s *sharedState) spendBudget(service string, nodes int) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.budgets.TrySpend(s.now(), service, nodes)
}

// choose returns the workers of a request and whether it is admitted.
func (s *sharedState) choose(request *selection.Request, excluded []string) (selection.Choice, selection.Verdict) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.chooser.Choose(s.now(), request, excluded)
}

// sent records a call that is being sent.
func (s *sharedState) sent(request *selection.Request, kind selection.CallKind, choice selection.Choice) *trackedCall {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	defer s.onChange()
	return &trackedCall{shared: s, call: s.chooser.Sent(s.now(), request, kind, choice)}
}

// outstanding returns this node's calls in flight, by worker.
func (s *sharedState) outstanding() []selection.Outstanding {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.chooser.Outstanding(s.now())
}

// setPeerLoad replaces what another node has in flight.
func (s *sharedState) setPeerLoad(node uint64, list []selection.Outstanding) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.chooser.SetPeerLoad(s.now(), node, list)
}

// demands returns the demand of each service whose workers have stages.
func (s *sharedState) demands() map[string]roleplanner.Demand {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.chooser.Demands(s.now())
}
