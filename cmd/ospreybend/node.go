package main

import (
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"time"

	"ospreybend/internal/node/eventloop"
	"ospreybend/internal/node/hotrestart"
	"ospreybend/internal/node/nodeconfig"
	"ospreybend/internal/node/override"
	"ospreybend/internal/node/protocol"
	"ospreybend/internal/node/routing"
	"ospreybend/internal/node/zones/agent"
	"ospreybend/internal/node/zones/transport"
)

const (
	maxProcs            = 4   // a loop in a system call must not delay a dial
	memoryLimitFraction = 0.6 // of the configured memory: the collector's soft limit
	countsInterval      = 10 * time.Second

	// discoveryRandStream is the stream of the seed's random numbers that discovery draws from; the decision
	// module has the first ones.
	discoveryRandStream     = 2
	discoveryConnectTimeout = 500 * time.Millisecond

	maxAgentWait      = time.Second           // for a pushed endpoint list: the machine's own agent answers at once, or not at all
	maxStartWait      = 5 * time.Second       // half of the time in which a restarted node has to be ready
	maxListWait       = 2 * time.Second       // for a fresh endpoint list; after it a start goes by the cached one
	readyPollInterval = 5 * time.Millisecond  // between two looks of a start whether it may accept clients
	directoryInterval = 50 * time.Millisecond // between two looks into the directory that the node's processes share
)

// node wires the parts of the program. Its methods run on the event loop unless they say otherwise.
type node struct {
	cfg  *nodeconfig.Node
	loop *eventloop.Loop
	core *routing.Core

	destinations *protocol.Destinations
	discovery    *protocol.Discovery
	peers        *protocol.Peers
	front        *protocol.Front
	admin        *protocol.Admin // listens only where it has an address
	batch        *batchFront     // nil: disabled

	// Membership of the fleet of zones.
	agent       *agent.Agent // nil: the node decides alone
	voterClient *transport.Client
	voters      []nodeconfig.FleetVoter

	// On the loop's clock.
	agentDeadline time.Duration // until then the agent's endpoint list is awaited
	startDeadline time.Duration // from then on a start is over even if discovery has not answered yet

	// Hot restart: see hot_restart.go.
	inherited      net.Listener          // the clients' socket, if the platform passes it on; nil: the front opens its own
	directory      *hotrestart.Directory // shared by the processes of this node; nil: none
	otherProcesses int                   // in the directory, at the start
	overrides      override.Overrides
	stop           chan struct{} // closed at shutdown
	stopReceiving  func()        // ends the hand-over from the predecessor; nil: none
	shuttingDown   bool

	pending pendingHandovers
}

// pendingHandovers are connections on their way to the successor.
type pendingHandovers struct {
	learnedAdded bool // the module's learned state has been added to the messages once
	messages     []*protocol.Handover
	sockets      [][]*os.File // of the message at the same index
}

// start builds a node, runs its event loop and returns it once it serves.
func start(cfg *nodeconfig.Node) (*node, error) {
	n, err := newNode(cfg)
	if err != nil {
		return nil, err
	}
	n.loop.Call(func() {
		if err = n.assemble(); err == nil {
			n.divideBudgets(n.otherProcesses)
		}
	})
	if err != nil {
		return nil, errors.Join(err, n.loop.Stop())
	}
	if n.directory != nil {
		go n.directory.Watch(directoryInterval, n.stop, n.directoryChanged)
	}
	slog.Info("serving", "name", cfg.Name, "listen", cfg.Listen, "classes", len(cfg.ClassNames),
		"known", len(cfg.CachedList.Entries), "fronts", cfg.FrontMaxSockets, "destinations", cfg.MaxDestinationConns)
	return n, nil
}

// newNode returns a node with an event loop that runs and no parts yet.
func newNode(cfg *nodeconfig.Node) (*node, error) {
	n := &node{cfg: cfg, overrides: override.Overrides{}, stop: make(chan struct{})}
	var err error
	if cfg.InheritedListener != "" {
		if n.inherited, err = eventloop.InheritListener(cfg.InheritedListener); err != nil {
			return nil, fmt.Errorf("BALANCER_INHERITED_FD: %w", err)
		}
	}
	n.otherProcesses = n.joinDirectory()
	if n.loop, err = eventloop.NewLoop(nil); err != nil {
		return nil, err
	}
	return n, nil
}

// assemble creates the parts, connects them and starts them.
func (n *node) assemble() error {
	if err := n.connectCore(); err != nil {
		return err
	}
	n.discovery.Start()
	n.agentDeadline, n.startDeadline = n.loop.Now()+maxAgentWait, n.loop.Now()+maxStartWait
	n.front = n.newFront()
	if n.inherited != nil && n.directory != nil {
		n.receiveHandovers() // before it can be ready: the predecessor looks for its successor as soon as that is
	}
	n.openAdmin()
	if n.cfg.Admin != "" {
		if err := n.admin.Start(); err != nil {
			return fmt.Errorf("admin: %w", err)
		}
	}
	if n.cfg.Fleet.Enabled {
		n.joinFleet(n.cfg.Fleet)
	}
	if err := n.startAccepting(); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	n.loop.Timers.Add(n.loop.Now()+countsInterval, n.logCounts)
	return nil
}

// connectCore creates the routing core and what it calls: destinations, discovery and peers.
func (n *node) connectCore() error {
	cfg, settings := n.cfg, n.cfg.Settings
	core, err := routing.New(settings, cfg.Seed, n.loop, &n.loop.Timers)
	if err != nil {
		return err
	}
	n.core = core
	n.destinations = protocol.NewDestinations(protocol.DestinationConfig{
		Host: "app.svc", MaxConnections: cfg.MaxDestinationConns, ReportFields: cfg.ReportFields,
		ConnectTimeout: settings.Limits.ConnectTimeout, IdleTimeout: settings.Limits.ConnIdle,
	}, n.loop, core)
	n.discovery = protocol.NewDiscovery(protocol.DiscoveryConfig{
		Address: cfg.Discovery, Zones: cfg.Zones, Kinds: cfg.Kinds, ConnectTimeout: discoveryConnectTimeout,
		CachedList: cfg.CachedList, Overrides: n.overrides, WarmupTime: settings.Rules.WarmupTime,
		Jitter: rand.New(rand.NewPCG(cfg.Seed, discoveryRandStream)).Float64, Pushed: !settings.SubscribeDiscovery,
	}, n.loop, core, n.destinations)
	n.peers, err = protocol.NewPeers(protocol.PeersConfig{
		Listen: cfg.PeerListen, Peers: cfg.Peers, Broadcast: cfg.PeersAll, Ordinal: settings.Ordinal,
	}, n.loop, core)
	if err != nil {
		return fmt.Errorf("peer_listen: %w", err)
	}
	core.Connect(n.destinations, n.discovery, n.peers)
	core.SetWorkerNames(n.discovery.NameOf)
	return nil
}

// newFront creates the clients' HTTP server.
func (n *node) newFront() *protocol.Front {
	cfg, settings := n.cfg, n.cfg.Settings
	timeouts := make([]time.Duration, len(settings.Classes))
	for i, class := range settings.Classes {
		timeouts[i] = class.Timeout
	}
	return protocol.NewFront(protocol.FrontConfig{
		Listen: cfg.Listen, MaxSockets: cfg.FrontMaxSockets, MaxBufferedBytes: cfg.FrontMaxBufferedBytes,
		Classes: cfg.Classes, Tenants: cfg.Tenants, DefaultTimeouts: timeouts,
		RetryAdvice: settings.Limits.RetryAfter, Healthy: n.acceptsClients,
	}, n.loop, n.core)
}

// startAccepting has the front accept clients: at once, or when the endpoint list or the fleet's commands are known.
func (n *node) startAccepting() error {
	switch {
	case n.inherited != nil:
		n.acceptOnceReady(n.loop.Now() + maxListWait)
		return nil
	case n.agent != nil:
		return n.acceptOnceAgentReady()
	default:
		return n.front.Start()
	}
}

// acceptOnceAgentReady accepts clients once the agent knows the fleet's commands or has waited for them long enough:
// a node that starts while a failed zone returns by steps must not send that zone its full share.
func (n *node) acceptOnceAgentReady() error {
	ln, err := net.Listen("tcp", n.cfg.Listen)
	if err != nil {
		return err
	}
	var look func()
	look = func() {
		switch {
		case n.shuttingDown:
			_ = ln.Close()
		case n.agent.Ready():
			n.front.StartOn(ln)
		default:
			n.loop.Timers.Add(n.loop.Now()+readyPollInterval, look)
		}
	}
	look()
	return nil
}

// acceptsClients reports whether the health check tells clients to come. Where endpoint lists are pushed, the agent's
// list is awaited for at most maxAgentWait. A start without a ready worker in its cached list lasts no longer than
// maxStartWait, however long discovery is unavailable: what comes then is rejected at once, which is harmless.
func (n *node) acceptsClients() bool {
	if !n.cfg.Settings.SubscribeDiscovery && !n.discovery.Answered() && n.loop.Now() < n.agentDeadline {
		return false
	}
	return n.core.AnyReady() || !n.discovery.Answered() && n.loop.Now() >= n.startDeadline
}

// logCounts logs the totals and schedules itself again.
func (n *node) logCounts() {
	core, front, discovery := n.core.Counts(), n.front.Counts(), n.discovery.Counts()
	slog.Info("counts", "operations", core.Operations, "served", core.Served, "refused", core.Refused, "failed", core.Failed,
		"rejected", core.Rejected, "gone", core.Withdrawn, "moved", core.HandedOver, "open", n.core.OpenOperations(), "steps", core.Steps,
		"outcomes", fmt.Sprint(core.Outcomes),
		"turned_away", front.Rejected, "silent", front.Silent, "shed", front.Shed, "full", front.Full,
		"list_asked", discovery.Sent, "list_answered", discovery.Answered, "list_refused", discovery.Rejected, "list_silent", discovery.TimedOut)
	if n.batch != nil {
		batch := n.batch.jobs.Counts()
		slog.Info("batch counts", "unfinished", batch.Unfinished, "queued", batch.Queued, "in_core", batch.InCore, "waits", batch.Waits,
			"window", batch.Window.Size, "used", batch.Window.Used, "queueing_s", batch.Window.Delay, "halvings", batch.Window.Halvings,
			"store", batch.Store, "turned_away", batch.Rejected)
	}
	n.loop.Timers.Add(n.loop.Now()+countsInterval, n.logCounts)
}
