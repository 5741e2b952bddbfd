package proxy

import (
	"context"
	"math/rand/v2"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"ospreybend/internal/controlplane/configuration"
	"ospreybend/internal/controlplane/feedtransport"
	"ospreybend/internal/dataplane/dispatch"
	"ospreybend/internal/dataplane/httpserver"
	"ospreybend/internal/dataplane/retrybudget"
	"ospreybend/internal/dataplane/selection"
	"ospreybend/internal/dataplane/upstream"
	"ospreybend/internal/util/bootconfig"
)

// Run serves until ctx ends, and then until what is in work is done. It returns an error only where
// the process cannot do its work.
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

// proxy is a running process.
type proxy struct {
	settings        atomic.Pointer[bootconfig.Settings]
	log             *zap.Logger
	pool            *upstream.Pool
	connLimits      *connLimits
	dispatcher      *dispatch.Dispatcher
	clientServer    *httpserver.Server
	readinessServer *httpserver.Server
	loadSharer      *loadSharer
	configConfirmed configConfirmation
	shutdown        atomic.Pointer[shutdown] // nil: the process was not told to end
	rejectAll       atomic.Bool              // nothing is taken any more
	stopFeed        context.CancelFunc
	failed          chan error
}

// start opens the listeners and begins to serve.
func start(loaded bootconfig.Settings, log *zap.Logger) (*proxy, error) {
	clientListener, err := httpserver.Listen(loaded.Listen.Front)
	if err != nil {
		return nil, eris.Wrap(err, "proxy: listen for clients")
	}
	readinessListener, err := httpserver.Listen(loaded.Listen.Readiness)
	if err != nil {
		_ = clientListener.Close()
		return nil, eris.Wrap(err, "proxy: listen for the readiness check")
	}
	return startOnListeners(loaded, log, clientListener, readinessListener)
}

// startOnListeners begins to serve on listeners that are open.
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
	log.Info("serving",
		zap.Stringer("front", clientListener.Addr()), zap.Stringer("readiness", readinessListener.Addr()))
	return p, nil
}

func newProxy(loaded bootconfig.Settings, log *zap.Logger) *proxy {
	p := &proxy{log: log, connLimits: new(connLimits), failed: make(chan error, 2), stopFeed: func() {}}
	p.settings.Store(&loaded)
	p.pool = upstream.New(upstream.Options{MaxConnections: p.connLimits.limit})
	started := time.Now()
	p.loadSharer = newLoadSharer(&loaded, log)
	p.dispatcher = dispatch.New(dispatch.Options{
		Workers: dispatch.OverPool(p.pool),
		Chooser: selection.New(selection.Options{
			Zone: loaded.Zone, Seed: rand.Uint64(), RereadSpan: bootconfig.Seconds(loaded.Bounds.AgainS),
		}),
		Budget:  retryBudgetRules(loaded.Bounds),
		Now:     func() time.Duration { return time.Since(started) },
		Random:  rand.Float64,
		Log:     log,
		Changed: p.loadSharer.notifyChanged,

		Confirmed: p.isConfigConfirmed,
	})
	p.loadSharer.start(p.dispatcher)
	p.clientServer = p.newClientServer(loaded.Limits)
	p.readinessServer = p.newReadinessServer()
	return p
}

func retryBudgetRules(bounds bootconfig.Bounds) retrybudget.Rules {
	return retrybudget.Rules{
		Ratio:  bounds.RetryBudgetRatio,
		Slack:  bounds.RetryBudgetSlack,
		Window: bootconfig.Seconds(bounds.BudgetWindowS),
	}
}

// newClientServer makes the server towards clients.
func (p *proxy) newClientServer(limits bootconfig.Limits) *httpserver.Server {
	return httpserver.New(httpserver.Options{
		Handler:              p.serveRequest,
		Limits:               p.clientLimits,
		RequestTimeout:       p.dispatcher.TimeLimit,
		LimitsConfirmed:      p.isConfigConfirmed,
		MaxConnections:       clientConnectionLimit(limits),
		MaxBufferedBodyBytes: bodyBudget(limits),
		Log:                  func(line string) { p.log.Warn("front", zap.String("what", line)) },
	})
}

// isConfigConfirmed tells whether the configuration in force is known to be the newest.
func (p *proxy) isConfigConfirmed() bool { return p.configConfirmed.isValid(time.Now()) }

// clientLimits are the limits of the configuration in force.
func (p *proxy) clientLimits() configuration.Limits {
	view := p.dispatcher.View()
	if view == nil {
		return configuration.Limits{}
	}
	return view.Limits
}

// serveInBackground accepts connections in a goroutine. An error that lasts ends the process.
func (p *proxy) serveInBackground(server *httpserver.Server, listener net.Listener) {
	go func() {
		if err := server.Serve(listener); err != nil {
			p.failed <- eris.Wrap(err, "proxy: accept")
		}
	}()
}

// followFeed reads the feed of the machine's agent in a goroutine.
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

// close ends all that is still open.
func (p *proxy) close() {
	p.stopFeed()
	p.loadSharer.close()
	_ = p.clientServer.Close()
	_ = p.readinessServer.Close()
	p.pool.Close()
}

// agentFeedPort is where the machine's agent serves the feed on loopback.
func agentFeedPort(loaded *bootconfig.Settings) (int, error) {
	_, port, err := net.SplitHostPort(loaded.FeedAddress())
	if err != nil {
		return 0, eris.Wrap(err, "proxy: address of the feed")
	}
	number, err := strconv.Atoi(port)
	return number, eris.Wrap(err, "proxy: port of the feed")
}
