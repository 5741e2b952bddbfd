package dispatch

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"ospreybend/internal/controlplane/configuration"
	"ospreybend/internal/controlplane/roleplanner"
	"ospreybend/internal/dataplane/fleetview"
	"ospreybend/internal/dataplane/httpserver"
	"ospreybend/internal/dataplane/retrybudget"
	"ospreybend/internal/dataplane/selection"
	"ospreybend/internal/util/http1"
)

// Status codes of the dispatcher's own answers.
const (
	statusBadRequest     = 400
	statusNotFound       = 404
	statusBadGateway     = 502
	statusUnavailable    = 503
	statusGatewayTimeout = 504
)

// Options of a dispatcher. All but Log, Confirmed and Changed are required.
type Options struct {
	Workers Workers
	Chooser Chooser
	Budget  retrybudget.Rules
	Now     func() time.Duration // monotonic
	Random  func() float64       // uniform in [0, 1); called from several goroutines
	Log     *zap.Logger
	// Confirmed tells whether the view in force is known to be the newest but for moments. It is asked for requests without a
	// route, and may be left out: every view counts as the newest then.
	Confirmed func() bool
	// Changed is called when what this node has under way has changed; it must not block. It may be left out.
	Changed func()
}

// Counts tells what a dispatcher has done since its start.
type Counts struct {
	Requests       int64 // on a route
	Unrouted       int64 // answered 404
	Rejected       int64 // answered 503
	Failed         int64 // answered 502 or 504
	Aborted        int64 // answers broken off
	Cancelled      int64 // clients that left
	Prefills       int64 // calls that read a prompt alone
	Runs           int64 // calls that run a request
	Retries        int64 // runs beyond the first of a try
	Resumed        int64 // streams taken up at another worker
	HandlesFreed   int64 // handles freed that no worker took
	HandlesDropped int64 // handles left to lapse as too many calls to free them were under way
}

// Dispatcher serves requests. Its methods may be called from several goroutines.
type Dispatcher struct {
	workers Workers
	shared  *sharedState
	view    atomic.Pointer[fleetview.View]
	now     func() time.Duration
	random  func() float64
	log     *zap.Logger
	frees   chan struct{} // one element for each call under way that frees a handle
	counts  counters
	// confirmed tells whether the view in force is known to be the newest but for moments
	confirmed func() bool
}

// New makes a dispatcher. It answers 503 until it has a view with a configuration.
func New(options Options) *Dispatcher {
	log := options.Log
	if log == nil {
		log = zap.NewNop()
	}
	changed := options.Changed
	if changed == nil {
		changed = func() {}
	}
	confirmed := options.Confirmed
	if confirmed == nil {
		confirmed = func() bool { return true }
	}
	return &Dispatcher{
		confirmed: confirmed,
		workers:   options.Workers,
		shared: &sharedState{
			now:      options.Now,
			chooser:  options.Chooser,
			budgets:  retrybudget.NewBudgets(options.Budget, options.Now()),
			onChange: changed,
		},
		now:    options.Now,
		random: options.Random,
		log:    log,
		frees:  make(chan struct{}, maxConcurrentFrees),
	}
}

// SetView puts a view in force for the requests that come after it.
func (d *Dispatcher) SetView(view *fleetview.View) {
	d.shared.setView(view)
	d.view.Store(view)
}

// View returns the view in force; nil: none has come.
func (d *Dispatcher) View() *fleetview.View { return d.view.Load() }

// Outstanding returns what this node has under way at workers.
func (d *Dispatcher) Outstanding() []selection.Outstanding { return d.shared.outstanding() }

// SetPeerLoad takes in what another node has under way. It replaces what that node told before.
func (d *Dispatcher) SetPeerLoad(node uint64, list []selection.Outstanding) {
	d.shared.setPeerLoad(node, list)
}

// Demands returns the work that requests have brought since the start, by service whose workers have stages.
func (d *Dispatcher) Demands() map[string]roleplanner.Demand { return d.shared.demands() }

// Counts returns what the dispatcher has done.
func (d *Dispatcher) Counts() Counts { return d.counts.read() }

// Serve answers one request. It returns when the answer has been written or broken off.
func (d *Dispatcher) Serve(responder Responder, request *httpserver.Request) {
	view := d.view.Load()
	route := d.routeOf(view, request)
	if route == nil {
		d.serveUnrouted(responder, request, view)
		return
	}
	if request.Header.Get(fieldRequestID) == "" {
		_ = responder.WriteResponse(statusBadRequest, nil, nil)
		return
	}
	d.serveRoute(responder, request, view, route)
}

// routeOf returns the route of a request by a view, or nil.
func (d *Dispatcher) routeOf(view *fleetview.View, request *httpserver.Request) *configuration.Route {
	if view == nil || view.Generation == 0 {
		return nil
	}
	return view.MatchRoute(normalizeHost(request.Host), request.Path)
}

// serveUnrouted answers a request without a route. A client that gets 404 does not ask again: that there is no route is
// said only by a configuration that is known to be the newest.
func (d *Dispatcher) serveUnrouted(responder Responder, request *httpserver.Request, view *fleetview.View) {
	if view == nil || view.Generation == 0 || !d.confirmed() {
		d.reject(responder, request, defaultRetryAfter)
		return
	}
	d.counts.unrouted.Add(1)
	_ = responder.WriteResponse(statusNotFound, nil, nil)
}

func (d *Dispatcher) serveRoute(responder Responder, request *httpserver.Request, view *fleetview.View,
	route *configuration.Route) {
	service := d.pickService(view, route)
	if service == nil {
		d.reject(responder, request, defaultRetryAfter)
		return
	}
	d.counts.requests.Add(1)
	d.shared.recordRequest(service.Name)
	r := newClientRequest(d, responder, request, view, route, service)
	r.serve()
	r.logResult()
}

// pickService draws the service of a request by the route's weights.
func (d *Dispatcher) pickService(view *fleetview.View, route *configuration.Route) *configuration.Service {
	if len(route.Targets) == 0 {
		return nil
	}
	if len(route.Targets) == 1 {
		return view.Services[route.Targets[0].Service]
	}
	return view.Services[pickTarget(route.Targets, d.random())]
}

// pickTarget picks a target by a number in [0, 1). One of weight 0 is never picked while another weighs more.
func pickTarget(targets []configuration.Target, point float64) string {
	total := 0.0
	for _, target := range targets {
		total += target.Weight
	}
	remaining := point * total
	picked := ""
	for _, target := range targets {
		if target.Weight <= 0 {
			continue
		}
		picked = target.Service
		remaining -= target.Weight
		if remaining < 0 {
			break
		}
	}
	return picked
}

// reject promises that a request has not run and never will.
func (d *Dispatcher) reject(responder Responder, request *httpserver.Request, retryAfter time.Duration) {
	d.counts.rejected.Add(1)
	if retryAfter <= 0 {
		retryAfter = defaultRetryAfter
	}
	fields := append(ownAnswerFields(request), http1.HeaderField{
		Name: fieldRetryAfter, Value: formatSeconds(min(retryAfter, maxRetryAfter)),
	})
	_ = responder.WriteResponse(statusUnavailable, fields, nil)
}

// ownAnswerFields are the fields of an answer that no worker gave.
func ownAnswerFields(request *httpserver.Request) http1.Header {
	id := request.Header.Get(fieldRequestID)
	if id == "" {
		return nil
	}
	return http1.Header{{Name: fieldRequestID, Value: id}}
}
