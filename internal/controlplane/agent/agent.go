package agent

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"runtime/debug"
	"time"

	"go.uber.org/zap"

	"ospreybend/coord/membership"
	"ospreybend/internal/controlplane/feedtransport"
	"ospreybend/internal/util/bootconfig"
	"ospreybend/internal/util/exposition"
)

// Ports that the agent uses, as offsets in the machine's port range.
const (
	feedPortOffset  = 0 // feed of the control plane servers
	proxyPortOffset = 1 // feed for the proxy, on loopback
	probePortOffset = 2 // probes between agents, over UDP
	portsNeeded     = 3
)

const (
	gcPercent        = 50          // the heap is small and changes rarely
	memoryLimitShare = 0.6         // fraction of the machine's memory that the Go runtime may use
	megabyte         = 1e6         // bytes
	exitMargin       = time.Second // part of the grace period that is reserved for the exit of the process
)

// ErrPortRange is returned for settings whose port range has fewer ports than the agent uses.
var ErrPortRange = errors.New("agent: the port range is invalid or has fewer than 3 ports")

// Options enable parts of the agent and replace its network access and its source of random numbers.
type Options struct {
	ProbePeers bool // take part in the failure detection between agents
	Probing    membership.Options

	Dial           func(ctx context.Context, address string) (net.Conn, error)     // connects to servers; nil: feedtransport.Dial
	Listen         func(ctx context.Context, address string) (net.Listener, error) // listens for the proxy; nil: feedtransport.Listen
	Random         func() uint64                                                   // nil: rand.Uint64
	StaleTimeout   time.Duration                                                   // zero: feedtransport.StaleTimeout
	IntervalOrigin time.Time                                                       // see feedtransport.SessionOptions
	Changes        <-chan bootconfig.Settings                                      // settings that change while the agent runs; nil: none
	LimitMemory    bool                                                            // apply the memory limit of changed settings to this process
}

func (o Options) withDefaults() Options {
	if o.Dial == nil {
		o.Dial = feedtransport.Dial
	}
	if o.Listen == nil {
		o.Listen = feedtransport.Listen
	}
	if o.Random == nil {
		o.Random = rand.Uint64
	}
	return o
}

// fraction returns a random number, uniformly distributed in [0, 1).
func (o Options) fraction() float64 { return float64(o.Random()>>11) / (1 << 53) }

// DefaultOptions returns the options that Run uses.
func DefaultOptions() Options { return Options{ProbePeers: true} }

// Run runs the agent with the default options until ctx ends. It applies the settings received from changes. It then goes on serving the
// proxy until the proxy has disconnected or the grace period is nearly over. It returns ErrPortRange, or the error of opening a port.
func Run(ctx context.Context, config bootconfig.Settings, changes <-chan bootconfig.Settings, log *zap.Logger) error {
	limitMemory(config.Limits)
	options := DefaultOptions()
	options.Changes, options.LimitMemory = changes, true
	return RunWith(ctx, config, options, log)
}

// RunWith is like Run, but takes options and does not limit the memory of the process.
func RunWith(ctx context.Context, config bootconfig.Settings, options Options, log *zap.Logger) error {
	ports, err := resolvePorts(config)
	if err != nil {
		return err
	}
	options = options.withDefaults()
	store := newStore()
	client := newFeedClient(config, ports.feed, options, store, log)
	server, err := newProxyServer(ctx, ports.proxy, options, store, client.Report)
	if err != nil {
		return fmt.Errorf("agent: listen for the proxy: %w", err)
	}
	store.setReportHandler(server.broadcast)
	if options.ProbePeers {
		stop, err := startProbing(ctx, config.IP, ports.probe, options.Probing, store, client.Report)
		if err != nil {
			server.close()
			return fmt.Errorf("agent: open the port for probes: %w", err)
		}
		defer stop()
	}
	if address := config.MetricsAddress(); address != "" {
		stopMetrics, err := exposition.Serve(address, func() []exposition.Family { return metricFamilies(store, server) })
		if err != nil {
			log.Error("metrics are not served", zap.Error(err))
		} else {
			defer stopMetrics()
		}
	}
	go server.accept()
	followed := newFollowedSettings(config)
	following, stopFollowing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopFollowing()
	go followed.follow(following, options, client, log)
	log.Info("agent started", zap.String("node", config.NodeName))

	_ = client.Run(ctx)
	server.drain(drainTimeout(followed.bounds()))
	log.Info("agent stopped")
	return nil
}

// machinePorts holds the ports that the agent uses.
type machinePorts struct{ feed, proxy, probe int }

// resolvePorts returns the agent's ports, or ErrPortRange.
func resolvePorts(config bootconfig.Settings) (machinePorts, error) {
	first, last := config.PortRange[0], config.PortRange[1]
	if first <= 0 || last < first+portsNeeded-1 {
		return machinePorts{}, fmt.Errorf("%w: %d to %d", ErrPortRange, first, last)
	}
	return machinePorts{
		feed:  first + feedPortOffset,
		proxy: first + proxyPortOffset,
		probe: first + probePortOffset,
	}, nil
}

// limitMemory makes the runtime collect garbage early, since the process is charged for its peak memory use.
func limitMemory(limits bootconfig.Limits) {
	debug.SetGCPercent(gcPercent)
	if limits.MemoryMb > 0 {
		debug.SetMemoryLimit(int64(float64(limits.MemoryMb) * megabyte * memoryLimitShare))
	}
}

// drainTimeout returns how long the proxy is served after the stop signal.
func drainTimeout(bounds bootconfig.Bounds) time.Duration {
	return max(bootconfig.Seconds(bounds.GraceS)-exitMargin, exitMargin)
}

// newFeedClient returns the client that reads the feed of the control plane servers into the store.
func newFeedClient(config bootconfig.Settings, feedPort int, options Options, store *store, log *zap.Logger) *feedtransport.Client {
	return feedtransport.NewClient(feedtransport.ClientOptions{
		Hello: feedtransport.Hello{
			Node:        config.NodeName,
			Zone:        config.Zone,
			Region:      config.Region,
			IP:          config.IP,
			Role:        feedtransport.RoleAgent,
			Incarnation: options.Random(),
			Compressed:  true,
		},
		Selector: feedtransport.SelectorOptions{
			Node:         config.NodeName,
			Zone:         config.Zone,
			Region:       config.Region,
			Seeds:        config.Seeds,
			FeedPort:     feedPort,
			StaleTimeout: options.StaleTimeout,
		},
		Dial:   options.Dial,
		Random: options.fraction,
	}, &feedHandler{store: store, log: log})
}
