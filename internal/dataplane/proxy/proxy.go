package proxy

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"ospreybend/internal/controlplane/configuration"
	"ospreybend/internal/controlplane/feedtransport"
	"ospreybend/internal/dataplane/dispatch"
	"ospreybend/internal/dataplane/httpserver"
	"ospreybend/internal/dataplane/retrybudget"
	"ospreybend/internal/dataplane/selection"
	"ospreybend/internal/dataplane/upstream"
	"ospreybend/internal/util/bootconfig"
	"ospreybend/internal/util/exposition"
)

// Run serves requests until ctx is canceled, and then drains. It applies the settings received from changes. It returns an error only if
// the process cannot serve: an address is in use, the settings are invalid, or a listener has failed.
func Run(ctx context.Context, settings bootconfig.Settings, changes <-chan bootconfig.Settings, log *zap.Logger) error {
	p, err := start(settings, log)
	if err != nil {
		return err
	}
	defer p.close()
	following, stopFollowing := context.WithCancel(context.Background())
	defer stopFollowing()
	go p.followSettings(following, changes)
	select {
	case <-ctx.Done():
	case err := <-p.failed:
		return err
	}
	p.drain()
	return nil
}

// listenerCount is the number of listeners, each of which may report one failure.
const listenerCount = 2

// proxy is the state of the process. Its parts have their own locks; the fields that change while it serves are atomic.
type proxy struct {
	settings atomic.Pointer[bootconfig.Settings]
	log      *zap.Logger

	// connections and calls to workers
	pool       *upstream.Pool
	connLimits *connLimits
	dispatcher *dispatch.Dispatcher
	loadSharer *loadSharer

	// servers for clients and for the platform's readiness checks
	clientServer    *httpserver.Server
	readinessServer *httpserver.Server
	failed          chan error // errors of the listeners

	// the agent's feed and the exported metrics
	configConfirmed configConfirmation
	stopFeed        context.CancelFunc
	stopMetrics     func()

	// graceful shutdown
	shutdown  atomic.Pointer[shutdownPolicy] // nil before SIGTERM
	rejectAll atomic.Bool                    // set at the end of the drain: no request is accepted any more
}

// start opens the listeners and starts to serve on them.
func start(settings bootconfig.Settings, log *zap.Logger) (*proxy, error) {
	clientListener, err := httpserver.Listen(settings.Listen.Front)
	if err != nil {
		return nil, fmt.Errorf("listen for clients: %w", err)
	}
	readinessListener, err := httpserver.Listen(settings.Listen.Readiness)
	if err != nil {
		_ = clientListener.Close()
		return nil, fmt.Errorf("listen for readiness checks: %w", err)
	}
	return startOnListeners(settings, log, clientListener, readinessListener)
}

// startOnListeners starts to serve on the given listeners. The proxy serves without metrics if their address cannot be opened.
func startOnListeners(settings bootconfig.Settings, log *zap.Logger, clientListener, readinessListener net.Listener) (*proxy, error) {
	port, err := agentFeedPort(&settings)
	if err != nil {
		return nil, err
	}
	configureGarbageCollector(settings.Limits)
	p := newProxy(settings, log)
	p.serveInBackground(p.clientServer, clientListener)
	p.serveInBackground(p.readinessServer, readinessListener)
	p.followFeed(port)
	if address := settings.MetricsAddress(); address != "" {
		if p.stopMetrics, err = exposition.Serve(address, p.metricFamilies); err != nil {
			p.log.Error("metrics are not served", zap.Error(err))
			p.stopMetrics = func() {}
		}
	}
	log.Info("serving",
		zap.Stringer("clients", clientListener.Addr()), zap.Stringer("readiness", readinessListener.Addr()))
	return p, nil
}

// newProxy creates the parts of the process and connects them. It starts the load sharer, but neither serves requests nor follows the
// feed yet.
func newProxy(settings bootconfig.Settings, log *zap.Logger) *proxy {
	p := &proxy{log: log, connLimits: new(connLimits), failed: make(chan error, listenerCount), stopFeed: func() {}, stopMetrics: func() {}}
	p.settings.Store(&settings)
	p.pool = upstream.New(upstream.Options{MaxConnections: p.connLimits.limit})
	startedAt := time.Now()
	p.loadSharer = newLoadSharer(&settings, log)
	p.dispatcher = dispatch.New(dispatch.Options{
		WorkerClient: dispatch.NewPoolClient(p.pool),
		Chooser: selection.New(selection.Options{
			Zone: settings.Zone, Seed: rand.Uint64(), RecomputeWindow: bootconfig.Seconds(settings.Bounds.PrefixReuseS),
		}),
		Budget:       retryBudgetRules(settings.Bounds),
		Now:          func() time.Duration { return time.Since(startedAt) },
		Random:       rand.Float64,
		Log:          log,
		OnLoadChange: p.loadSharer.notifyChanged,

		ViewConfirmed: p.isConfigConfirmed,
	})
	p.loadSharer.start(p.dispatcher)
	p.clientServer = p.newClientServer(settings.Limits)
	p.readinessServer = p.newReadinessServer()
	return p
}

// retryBudgetRules returns the rules of the retry budgets that the settings contain.
func retryBudgetRules(bounds bootconfig.Bounds) retrybudget.Rules {
	return retrybudget.Rules{
		Ratio:  bounds.RetryBudgetRatio,
		Slack:  bounds.RetryBudgetSlack,
		Window: bootconfig.Seconds(bounds.BudgetWindowS),
	}
}

// newClientServer returns the HTTP server for clients.
func (p *proxy) newClientServer(limits bootconfig.Limits) *httpserver.Server {
	return httpserver.New(httpserver.Options{
		Handler:              p.serveRequest,
		Limits:               p.clientLimits,
		RequestTimeout:       p.dispatcher.TimeLimit,
		LimitsConfirmed:      p.isConfigConfirmed,
		MaxConnections:       clientConnectionLimit(limits),
		MaxBufferedBodyBytes: bufferedBodyLimit(limits),
		Log:                  func(line string) { p.log.Warn("client server error", zap.String("error", line)) },
	})
}

// isConfigConfirmed reports whether the configuration in force is known to be the newest.
func (p *proxy) isConfigConfirmed() bool { return p.configConfirmed.isValid(time.Now()) }

// clientLimits returns the limits of the configuration in force, or zero limits before the first view.
func (p *proxy) clientLimits() configuration.Limits {
	view := p.dispatcher.View()
	if view == nil {
		return configuration.Limits{}
	}
	return view.Limits
}

// serveInBackground accepts connections in a goroutine that ends when the server is closed. An error of the listener is sent to
// p.failed, which ends the process.
func (p *proxy) serveInBackground(server *httpserver.Server, listener net.Listener) {
	go func() {
		if err := server.Serve(listener); err != nil {
			p.failed <- fmt.Errorf("accept connections: %w", err)
		}
	}()
}

// followFeed starts the goroutines that read the feed of the machine's agent and report demand to it. stopFeed ends them.
func (p *proxy) followFeed(port int) {
	settings := p.settings.Load()
	hello := feedtransport.Hello{
		Node: settings.NodeName, Zone: settings.Zone, Region: settings.Region, IP: settings.IP, Incarnation: rand.Uint64(),
	}
	client := feedtransport.NewProxyClient(hello, port, newViewPublisher(p.publishView, &p.configConfirmed, p.log))
	ctx, cancel := context.WithCancel(context.Background())
	p.stopFeed = cancel
	go func() { _ = client.Run(ctx) }()
	go p.reportDemand(ctx, client)
}

// close stops the metrics, the feed and the load sharer, and closes all listeners and connections.
func (p *proxy) close() {
	p.stopMetrics()
	p.stopFeed()
	p.loadSharer.close()
	_ = p.clientServer.Close()
	_ = p.readinessServer.Close()
	p.pool.Close()
}

// agentFeedPort returns the loopback port at which the machine's agent serves the feed.
func agentFeedPort(settings *bootconfig.Settings) (int, error) {
	_, port, err := net.SplitHostPort(settings.FeedAddress())
	if err != nil {
		return 0, fmt.Errorf("split the address of the agent's feed into host and port: %w", err)
	}
	number, err := strconv.Atoi(port)
	if err != nil {
		return 0, fmt.Errorf("parse the port of the agent's feed: %w", err)
	}
	return number, nil
}
