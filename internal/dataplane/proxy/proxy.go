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

// Run serves until ctx ends, and then drains. It returns an error only if the process cannot serve: an address is in use, the settings
// are invalid, or a listener has failed.
func Run(ctx context.Context, loaded bootconfig.Settings, log *zap.Logger) error {
	p, err := start(loaded, log)
	if err != nil {
		return err
	}
	defer p.close()
	reload := p.watchSettings()
	defer reload()
	select {
	case <-ctx.Done():
	case err := <-p.failed:
		return err
	}
	p.drain()
	return nil
}

// listenerCount is the number of goroutines that may report a failed listener.
const listenerCount = 2

// proxy is a running process. Its parts have their own locks; its own state is in atomics.
type proxy struct {
	settings atomic.Pointer[bootconfig.Settings]
	log      *zap.Logger

	// towards workers
	pool       *upstream.Pool
	connLimits *connLimits
	dispatcher *dispatch.Dispatcher
	loadSharer *loadSharer

	// towards clients and the platform
	clientServer    *httpserver.Server
	readinessServer *httpserver.Server
	failed          chan error // of listeners

	// the feed of the agent
	configConfirmed configConfirmation
	stopFeed        context.CancelFunc
	stopMetrics     func()

	// the graceful shutdown
	shutdown  atomic.Pointer[shutdown] // nil before the signal
	rejectAll atomic.Bool              // set at the end: no request is accepted
}

// start opens the listeners and starts to serve.
func start(loaded bootconfig.Settings, log *zap.Logger) (*proxy, error) {
	clientListener, err := httpserver.Listen(loaded.Listen.Front)
	if err != nil {
		return nil, fmt.Errorf("listen for clients: %w", err)
	}
	readinessListener, err := httpserver.Listen(loaded.Listen.Readiness)
	if err != nil {
		_ = clientListener.Close()
		return nil, fmt.Errorf("listen for readiness checks: %w", err)
	}
	return startOnListeners(loaded, log, clientListener, readinessListener)
}

// startOnListeners starts to serve on open listeners.
func startOnListeners(loaded bootconfig.Settings, log *zap.Logger, clientListener, readinessListener net.Listener) (*proxy, error) {
	port, err := agentFeedPort(&loaded)
	if err != nil {
		return nil, err
	}
	applyMemoryLimit(loaded.Limits)
	p := newProxy(loaded, log)
	p.serveInBackground(p.clientServer, clientListener)
	p.serveInBackground(p.readinessServer, readinessListener)
	p.followFeed(port)
	if address := loaded.MetricsAddress(); address != "" {
		if p.stopMetrics, err = exposition.Serve(address, p.families); err != nil {
			p.log.Error("metrics are not served", zap.Error(err))
			p.stopMetrics = func() {}
		}
	}
	log.Info("serving",
		zap.Stringer("clients", clientListener.Addr()), zap.Stringer("readiness", readinessListener.Addr()))
	return p, nil
}

// newProxy creates the parts of the process and connects them. Nothing listens or follows the feed yet; only the load sharer runs.
func newProxy(loaded bootconfig.Settings, log *zap.Logger) *proxy {
	p := &proxy{log: log, connLimits: new(connLimits), failed: make(chan error, listenerCount), stopFeed: func() {}, stopMetrics: func() {}}
	p.settings.Store(&loaded)
	p.pool = upstream.New(upstream.Options{MaxConnections: p.connLimits.limit})
	started := time.Now()
	p.loadSharer = newLoadSharer(&loaded, log)
	p.dispatcher = dispatch.New(dispatch.Options{
		WorkerClient: dispatch.NewPoolClient(p.pool),
		Chooser: selection.New(selection.Options{
			Zone: loaded.Zone, Seed: rand.Uint64(), RereadSpan: bootconfig.Seconds(loaded.Bounds.AgainS),
		}),
		Budget:       retryBudgetRules(loaded.Bounds),
		Now:          func() time.Duration { return time.Since(started) },
		Random:       rand.Float64,
		Log:          log,
		OnLoadChange: p.loadSharer.notifyChanged,

		ViewConfirmed: p.isConfigConfirmed,
	})
	p.loadSharer.start(p.dispatcher)
	p.clientServer = p.newClientServer(loaded.Limits)
	p.readinessServer = p.newReadinessServer()
	return p
}

// retryBudgetRules returns the rules of the retry budgets by the settings.
func retryBudgetRules(bounds bootconfig.Bounds) retrybudget.Rules {
	return retrybudget.Rules{
		Ratio:  bounds.RetryBudgetRatio,
		Slack:  bounds.RetryBudgetSlack,
		Window: bootconfig.Seconds(bounds.BudgetWindowS),
	}
}

// newClientServer returns the server towards clients.
func (p *proxy) newClientServer(limits bootconfig.Limits) *httpserver.Server {
	return httpserver.New(httpserver.Options{
		Handler:              p.serveRequest,
		Limits:               p.clientLimits,
		RequestTimeout:       p.dispatcher.TimeLimit,
		LimitsConfirmed:      p.isConfigConfirmed,
		MaxConnections:       clientConnectionLimit(limits),
		MaxBufferedBodyBytes: bodyBudget(limits),
		Log:                  func(line string) { p.log.Warn("client server error", zap.String("error", line)) },
	})
}

// isConfigConfirmed reports whether the configuration in force is known to be the newest.
func (p *proxy) isConfigConfirmed() bool { return p.configConfirmed.isValid(time.Now()) }

// clientLimits returns the limits of the configuration in force.
func (p *proxy) clientLimits() configuration.Limits {
	view := p.dispatcher.View()
	if view == nil {
		return configuration.Limits{}
	}
	return view.Limits
}

// serveInBackground accepts connections in a goroutine, which ends when the server is closed. An error of the listener ends the
// process.
func (p *proxy) serveInBackground(server *httpserver.Server, listener net.Listener) {
	go func() {
		if err := server.Serve(listener); err != nil {
			p.failed <- fmt.Errorf("accept connections: %w", err)
		}
	}()
}

// followFeed starts the goroutines that read the feed of the machine's agent and report demand to it. They end with stopFeed.
func (p *proxy) followFeed(port int) {
	loaded := p.settings.Load()
	hello := feedtransport.Hello{
		Node: loaded.NodeName, Zone: loaded.Zone, Region: loaded.Region, IP: loaded.IP, Incarnation: rand.Uint64(),
	}
	client := feedtransport.NewProxyClient(hello, port, newViewPublisher(p.publishView, &p.configConfirmed, p.log))
	ctx, cancel := context.WithCancel(context.Background())
	p.stopFeed = cancel
	go func() { _ = client.Run(ctx) }()
	go p.reportDemand(ctx, client)
}

// close ends the feed and the load sharer, and closes all listeners and connections.
func (p *proxy) close() {
	p.stopMetrics()
	p.stopFeed()
	p.loadSharer.close()
	_ = p.clientServer.Close()
	_ = p.readinessServer.Close()
	p.pool.Close()
}

// agentFeedPort returns the port on loopback at which the machine's agent serves the feed.
func agentFeedPort(loaded *bootconfig.Settings) (int, error) {
	_, port, err := net.SplitHostPort(loaded.FeedAddress())
	if err != nil {
		return 0, fmt.Errorf("split the feed's address: %w", err)
	}
	number, err := strconv.Atoi(port)
	if err != nil {
		return 0, fmt.Errorf("parse the feed's port: %w", err)
	}
	return number, nil
}
