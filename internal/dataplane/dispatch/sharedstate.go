package dispatch

import (
	"sync"
	"time"

	"ospreybend/internal/controlplane/roleplanner"
	"ospreybend/internal/dataplane/fleetview"
	"ospreybend/internal/dataplane/retrybudget"
	"ospreybend/internal/dataplane/selection"
)

// sharedState lets the requests' goroutines use the chooser and the budgets, one at a time.
type sharedState struct {
	now      func() time.Duration
	mutex    sync.Mutex
	chooser  Chooser
	budgets  *retrybudget.Budgets
	onChange func() // called when calls have begun, been answered or ended; must not block
}

func (g *sharedState) setView(view *fleetview.View) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.now()
	g.chooser.SetView(now, view)
	g.budgets.Retain(now, func(service string) bool { return view.Services[service] != nil })
}

// recordRequest counts a client's request for a service.
func (g *sharedState) recordRequest(service string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.budgets.RecordRequest(g.now(), service)
}

// spendBudget takes one call beyond the first of a request out of the budget.
func (g *sharedState) spendBudget(service string, nodes int) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.budgets.TrySpend(g.now(), service, nodes)
}

func (g *sharedState) choose(request *selection.Request, excluded []string) (selection.Choice, selection.Verdict) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.chooser.Choose(g.now(), request, excluded)
}

// sent notes a call that is made now.
func (g *sharedState) sent(request *selection.Request, kind selection.CallKind, choice selection.Choice) *trackedCall {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	defer g.onChange()
	return &trackedCall{shared: g, call: g.chooser.Sent(g.now(), request, kind, choice)}
}

// outstanding returns what this node has under way at workers.
func (g *sharedState) outstanding() []selection.Outstanding {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.chooser.Outstanding(g.now())
}

// setPeerLoad takes in what another node has under way.
func (g *sharedState) setPeerLoad(node uint64, list []selection.Outstanding) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.chooser.SetPeerLoad(g.now(), node, list)
}

// demands returns what requests have brought to each service whose workers have stages.
func (g *sharedState) demands() map[string]roleplanner.Demand {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.chooser.Demands(g.now())
}
