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
	settings   atomic.Pointer[bootconfig.Settings]
	log        *zap.Logger
	pool       *upstream.Pool
	places     *places
	dispatcher *dispatch.Dispatcher
	front      *httpserver.Server
	readiness  *httpserver.Server
	sharer     *sharer
	confirmed  confirmation
	closing    atomic.Pointer[closing] // nil: the process was not told to end
	ending     atomic.Bool             // nothing is taken any more
	stopFeed   context.CancelFunc
	failed     chan error
}

// start opens the listeners and begins to serve.
func start(loaded bootconfig.Settings, log *zap.Logger) (*proxy, error) {
	frontListener, err := httpserver.Listen(loaded.Listen.Front)
	if err != nil {
		return nil, eris.Wrap(err, "proxy: listen for clients")
	}
	readinessListener, err := httpserver.Listen(loaded.Listen.Readiness)
	if err != nil {
		_ = frontListener.Close()
		return nil, eris.Wrap(err, "proxy: listen for the readiness check")
	}
	return startOn(loaded, log, frontListener, readinessListener)
}

// startOn begins to serve on listeners that are open.
func startOn(loaded bootconfig.Settings, log *zap.Logger, frontListener, readinessListener net.Listener) (*proxy, error) {
	port, err := agentPort(&loaded)
	if err != nil {
		return nil, err
	}
	applyMemoryLimit(loaded.Limits)
	p := newProxy(loaded, log)
	p.serve(p.front, frontListener)
	p.serve(p.readiness, readinessListener)
	p.followFeed(port)
	log.Info("serving",
		zap.Stringer("front", frontListener.Addr()), zap.Stringer("readiness", readinessListener.Addr()))
	return p, nil
}

func newProxy(loaded bootconfig.Settings, log *zap.Logger) *proxy {
	p := &proxy{log: log, places: new(places), failed: make(chan error, 2), stopFeed: func() {}}
	p.settings.Store(&loaded)
	p.pool = upstream.New(upstream.Options{MaxConnections: p.places.of})
	started := time.Now()
	p.sharer = newSharer(&loaded, log)
	p.dispatcher = dispatch.New(dispatch.Options{
		Workers: dispatch.OverPool(p.pool),
		Chooser: selection.New(selection.Options{
			Zone: loaded.Zone, Seed: rand.Uint64(), Again: bootconfig.Seconds(loaded.Bounds.AgainS),
		}),
		Budget:  budgetRules(loaded.Bounds),
		Now:     func() time.Duration { return time.Since(started) },
		Draw:    rand.Float64,
		Log:     log,
		Changed: p.sharer.note,

		Confirmed: p.isConfirmed,
	})
	p.sharer.start(p.dispatcher)
	p.front = p.newFront(loaded.Limits)
	p.readiness = p.newReadiness()
	return p
}

func budgetRules(bounds bootconfig.Bounds) retrybudget.Rules {
	return retrybudget.Rules{
		Ratio:  bounds.RetryBudgetRatio,
		Slack:  bounds.RetryBudgetSlack,
		Window: bootconfig.Seconds(bounds.BudgetWindowS),
	}
}

// newFront makes the server towards clients.
func (p *proxy) newFront(limits bootconfig.Limits) *httpserver.Server {
	return httpserver.New(httpserver.Options{
		Handler:        p.take,
		Limits:         p.clientLimits,
		Held:           p.dispatcher.Held,
		Confirmed:      p.isConfirmed,
		MaxConnections: clientConnections(limits),
		BodyBudget:     bodyBudget(limits),
		Log:            func(line string) { p.log.Warn("front", zap.String("what", line)) },
	})
}

// isConfirmed tells whether the configuration in force is known to be the newest.
func (p *proxy) isConfirmed() bool { return p.confirmed.holds(time.Now()) }

// clientLimits are the limits of the configuration in force.
func (p *proxy) clientLimits() configuration.Limits {
	view := p.dispatcher.View()
	if view == nil {
		return configuration.Limits{}
	}
	return view.Limits
}

// serve accepts connections in a goroutine. An error that lasts ends the process.
func (p *proxy) serve(server *httpserver.Server, listener net.Listener) {
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
	client := feedtransport.NewProxyClient(hello, port, newFollower(p.publish, &p.confirmed, p.log))
	ctx, cancel := context.WithCancel(context.Background())
	p.stopFeed = cancel
	go func() { _ = client.Run(ctx) }()
	go p.reportDemand(ctx, client)
}

// close ends all that is still open.
func (p *proxy) close() {
	p.stopFeed()
	p.sharer.close()
	_ = p.front.Close()
	_ = p.readiness.Close()
	p.pool.Close()
}

// agentPort is where the machine's agent serves the feed on loopback.
func agentPort(loaded *bootconfig.Settings) (int, error) {
	_, port, err := net.SplitHostPort(loaded.FeedAddress())
	if err != nil {
		return 0, eris.Wrap(err, "proxy: address of the feed")
	}
	number, err := strconv.Atoi(port)
	return number, eris.Wrap(err, "proxy: port of the feed")
}
