package dispatch

import (
	"sync"
	"time"

	"ospreybend/internal/controlplane/roleplanner"
	"ospreybend/internal/dataplane/fleetview"
	"ospreybend/internal/dataplane/retrybudget"
	"ospreybend/internal/dataplane/selection"
)

// guard lets the requests' goroutines use the chooser and the budgets, one at a time.
type guard struct {
	now     func() time.Duration
	mutex   sync.Mutex
	chooser Chooser
	budgets *retrybudget.Ledger
	changed func() // called when calls have begun, been answered or ended; must not block
}

func (g *guard) setView(view *fleetview.View) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.now()
	g.chooser.SetView(now, view)
	g.budgets.Keep(now, func(service string) bool { return view.Services[service] != nil })
}

// noteRequest counts a client's request for a service.
func (g *guard) noteRequest(service string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.budgets.Request(g.now(), service)
}

// spend takes one call beyond the first of a request out of the budget.
func (g *guard) spend(service string, nodes int) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.budgets.Spend(g.now(), service, nodes)
}

func (g *guard) choose(request *selection.Request, excluded []string) (selection.Choice, selection.Verdict) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.chooser.Choose(g.now(), request, excluded)
}

// sent notes a call that is made now.
func (g *guard) sent(request *selection.Request, kind selection.CallKind, choice selection.Choice) *ticket {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	defer g.changed()
	return &ticket{guard: g, call: g.chooser.Sent(g.now(), request, kind, choice)}
}

// ticket is a call that the chooser knows of. The first of done, rejected, failed and
// abandoned counts; what comes after it has no effect.
type ticket struct {
	guard *guard
	call  *selection.Call
	ended bool
}

func (t *ticket) firstEvent() {
	t.guard.mutex.Lock()
	defer t.guard.mutex.Unlock()
	t.guard.chooser.FirstEvent(t.guard.now(), t.call)
	t.guard.changed()
}

func (t *ticket) done(load *selection.Load) {
	t.end(func(now time.Duration) { t.guard.chooser.Done(now, t.call, load) })
}

func (t *ticket) rejected(load *selection.Load) {
	t.end(func(now time.Duration) { t.guard.chooser.Rejected(now, t.call, load) })
}

func (t *ticket) failed(cause selection.Failure) {
	t.end(func(now time.Duration) { t.guard.chooser.Failed(now, t.call, cause) })
}

func (t *ticket) abandoned() {
	t.end(func(now time.Duration) { t.guard.chooser.Abandoned(now, t.call) })
}

func (t *ticket) end(tell func(now time.Duration)) {
	if t.ended {
		return
	}
	t.ended = true
	t.guard.mutex.Lock()
	defer t.guard.mutex.Unlock()
	tell(t.guard.now())
	t.guard.changed()
}

// outstanding returns what this node has under way at workers.
func (g *guard) outstanding() []selection.Outstanding {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.chooser.Outstanding(g.now())
}

// peer takes in what another node has under way.
func (g *guard) peer(node uint64, list []selection.Outstanding) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.chooser.SetPeerLoad(g.now(), node, list)
}

// demands returns what requests have brought to each service whose workers have stages.
func (g *guard) demands() map[string]roleplanner.Demand {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.chooser.Demands(g.now())
}
