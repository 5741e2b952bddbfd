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

// Options configures a Dispatcher. All fields but Log, ViewConfirmed and OnLoadChange are required.
type Options struct {
	WorkerClient WorkerClient
	Chooser      Chooser
	Budget       retrybudget.Rules
	Now          func() time.Duration // monotonic
	Random       func() float64       // uniform in [0, 1); called from several goroutines
	Log          *zap.Logger
	// ViewConfirmed reports whether the current view was recently confirmed to be the newest. It is called for requests
	// without a route. If it is nil, every view counts as confirmed.
	ViewConfirmed func() bool
	// OnLoadChange is called when this node's calls in flight change. It must not block.
	OnLoadChange func()
}

// Counts holds a Dispatcher's counters since its creation.
type Counts struct {
	Requests       int64 // requests with a route and a service
	Unrouted       int64 // responses with 404
	Rejected       int64 // responses with 503
	Failed         int64 // responses with 502 or 504
	Aborted        int64 // responses aborted after a part was sent
	Canceled       int64 // requests whose client disconnected
	Prefills       int64
	Runs           int64
	Retries        int64 // runs after the first of a request
	Resumed        int64 // streams resumed at another worker
	HandlesFreed   int64 // unused handles freed at their worker
	HandlesDropped int64 // unused handles left to expire because too many frees were in flight
	Discarded      [NumDiscardReasons]int64
}

// Dispatcher serves client requests. It is safe for concurrent use.
type Dispatcher struct {
	workerClient  WorkerClient
	now           func() time.Duration
	random        func() float64
	viewConfirmed func() bool
	log           *zap.Logger

	shared        *sharedState
	view          atomic.Pointer[fleetview.View] // nil until SetView is called
	freeSemaphore chan struct{}                  // holds one element for each call in flight that frees a handle
	counts        counters
}

// New returns a Dispatcher. It responds with 503 until SetView has set a view with a configuration.
func New(options Options) *Dispatcher {
	log := options.Log
	if log == nil {
		log = zap.NewNop()
	}
	changed := options.OnLoadChange
	if changed == nil {
		changed = func() {}
	}
	confirmed := options.ViewConfirmed
	if confirmed == nil {
		confirmed = func() bool { return true }
	}
	return &Dispatcher{
		workerClient:  options.WorkerClient,
		now:           options.Now,
		random:        options.Random,
		viewConfirmed: confirmed,
		log:           log,
		shared: &sharedState{
			now:          options.Now,
			chooser:      options.Chooser,
			budgets:      retrybudget.NewBudgets(options.Budget, options.Now()),
			onLoadChange: changed,
		},
		freeSemaphore: make(chan struct{}, maxConcurrentFrees),
	}
}

// SetView sets the view used by later requests and choices.
func (d *Dispatcher) SetView(view *fleetview.View) {
	d.shared.setView(view)
	d.view.Store(view)
}

// SetRetryBudget changes the rules of the retry budgets.
func (d *Dispatcher) SetRetryBudget(rules retrybudget.Rules) { d.shared.setRetryBudget(rules) }

// SetRecomputeWindow changes the time after its last use in which recomputing a cached prefix has a cost; 0: the default.
func (d *Dispatcher) SetRecomputeWindow(window time.Duration) { d.shared.setRecomputeWindow(window) }

// View returns the current view, or nil if none has been set.
func (d *Dispatcher) View() *fleetview.View { return d.view.Load() }

// Outstanding returns this node's calls in flight, by worker.
func (d *Dispatcher) Outstanding() []selection.Outstanding { return d.shared.outstanding() }

// SetPeerLoad replaces the known calls in flight of another node.
func (d *Dispatcher) SetPeerLoad(node uint64, list []selection.Outstanding) {
	d.shared.setPeerLoad(node, list)
}

// Demands returns the demand since the start of each service whose workers have stages (prefill or decode).
func (d *Dispatcher) Demands() map[string]roleplanner.Demand { return d.shared.demands() }

// Counts returns the counters.
func (d *Dispatcher) Counts() Counts { return d.counts.read() }

// Serve responds to one request. It returns when the response has been written or aborted.
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

// routeOf returns the route of a request in a view, or nil if there is none.
func (d *Dispatcher) routeOf(view *fleetview.View, request *httpserver.Request) *configuration.Route {
	if view == nil || view.Generation == 0 {
		return nil
	}
	return view.MatchRoute(normalizeHost(request.Host), request.Path)
}

// serveUnrouted responds to a request without a route. Clients do not retry after a 404, so it is sent only if the
// configuration is confirmed to be the newest; otherwise the response is 503.
func (d *Dispatcher) serveUnrouted(responder Responder, request *httpserver.Request, view *fleetview.View) {
	if view == nil || view.Generation == 0 || !d.viewConfirmed() {
		d.reject(responder, request, defaultRetryAfter)
		return
	}
	d.counts.unrouted.Add(1)
	_ = responder.WriteResponse(statusNotFound, nil, nil)
}

// serveRoute responds to a request with a route.
func (d *Dispatcher) serveRoute(responder Responder, request *httpserver.Request, view *fleetview.View,
	route *configuration.Route) {
	service := d.pickService(view, route)
	if service == nil {
		d.reject(responder, request, defaultRetryAfter)
		return
	}
	d.counts.requests.Add(1)
	d.shared.recordRequest(service.Name)
	r := newClientRequest(d, responder, request, route, service)
	r.serve()
	r.logResult()
}

// pickService picks the service of a request at random by the weights of the route's targets. It returns nil if there is none.
func (d *Dispatcher) pickService(view *fleetview.View, route *configuration.Route) *configuration.Service {
	if len(route.Targets) == 0 {
		return nil
	}
	if len(route.Targets) == 1 {
		return view.Services[route.Targets[0].Service]
	}
	return view.Services[pickTarget(route.Targets, d.random())]
}

// pickTarget returns the service at the given point, in [0, 1), of the targets' cumulative weights. A target
// with weight 0 is never picked.
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

// reject responds with 503, which guarantees that the request was not executed and will not be.
func (d *Dispatcher) reject(responder Responder, request *httpserver.Request, retryAfter time.Duration) {
	d.counts.rejected.Add(1)
	if retryAfter <= 0 {
		retryAfter = defaultRetryAfter
	}
	fields := append(generatedResponseFields(request), http1.HeaderField{
		Name: fieldRetryAfter, Value: formatSeconds(min(retryAfter, maxRetryAfter)),
	})
	_ = responder.WriteResponse(statusUnavailable, fields, nil)
}

// generatedResponseFields returns the header fields of a response that the dispatcher generates itself.
func generatedResponseFields(request *httpserver.Request) http1.Header {
	id := request.Header.Get(fieldRequestID)
	if id == "" {
		return nil
	}
	return http1.Header{{Name: fieldRequestID, Value: id}}
}
