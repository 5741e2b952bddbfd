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
	maxProcs            = 4   // more than one, so that an event loop in a system call does not delay a dial
	memoryLimitFraction = 0.6 // of the configured memory; soft limit of the garbage collector
	countsInterval      = 10 * time.Second

	// discoveryRandStream selects the random stream of the seed that discovery draws from. The decision module draws from
	// the stream whose number is its ordinal.
	discoveryRandStream     = 2
	discoveryConnectTimeout = 500 * time.Millisecond

	maxAgentWait      = time.Second           // for a pushed endpoint list: the agent on this machine answers at once or not at all
	maxStartWait      = 5 * time.Second       // half of the time within which a restarted node must be ready
	maxListWait       = 2 * time.Second       // for a fresh endpoint list; after that the cached one is used
	readyPollInterval = 5 * time.Millisecond  // between checks whether a starting node may accept clients
	directoryInterval = 50 * time.Millisecond // between checks of the directory shared by the node's processes
)

// node holds the parts of the program and connects them. Its methods must be called on the event loop unless their
// comments say otherwise.
type node struct {
	cfg  *nodeconfig.Node
	loop *eventloop.Loop
	core *routing.Core

	destinations *protocol.Destinations
	discovery    *protocol.Discovery
	peers        *protocol.Peers
	front        *protocol.Front // the clients' HTTP server
	admin        *protocol.Admin // listens only if an address is configured
	batch        *batchAPI       // nil if disabled

	// Membership of the fleet of zones.
	agent       *agent.Agent // nil if the node does not belong to a fleet
	voterClient *transport.Client
	voters      []nodeconfig.FleetVoter

	// Times on the event loop's clock.
	agentDeadline time.Duration // the agent's endpoint list is awaited until then
	startDeadline time.Duration // after it the startup is over even if discovery has not answered

	// Hot restart, see hot_restart.go.
	inherited      net.Listener          // the clients' socket if the platform passes it on; nil if the front opens its own
	directory      *hotrestart.Directory // shared by the processes of this node; nil if it cannot be used
	otherProcesses int                   // in the directory at startup
	overrides      override.Overrides
	stop           chan struct{} // closed at shutdown
	stopReceiving  func()        // ends the hand-over from the predecessor; nil if there is none
	shuttingDown   bool

	pending pendingHandovers
}

// pendingHandovers holds messages that are to be sent to the successor, with the sockets of their connections.
type pendingHandovers struct {
	learnedAdded bool // the decision module's learned state has been added to the messages; it is sent only once
	messages     []*protocol.Handover
	sockets      [][]*os.File // sockets[i] belong to messages[i]
}

// start creates a node, starts its event loop and its parts, and returns it. It must not be called on the event loop.
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

// newNode returns a node with a running event loop but without its parts.
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
		n.receiveHandovers() // before this process can become ready: the predecessor looks for its successor as soon as that is ready
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

// startAccepting makes the front accept clients: at once, or, with an inherited listener or a fleet, once the endpoint
// list or the fleet's commands are known.
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

// acceptOnceAgentReady accepts clients once the agent knows the fleet's commands or has waited long enough for them. A
// node that starts while a failed zone is being brought back step by step must not send that zone its full share.
func (n *node) acceptOnceAgentReady() error {
	ln, err := net.Listen("tcp", n.cfg.Listen)
	if err != nil {
		return err
	}
	var poll func()
	poll = func() {
		switch {
		case n.shuttingDown:
			_ = ln.Close()
		case n.agent.Ready():
			n.front.StartOn(ln)
		default:
			n.loop.Timers.Add(n.loop.Now()+readyPollInterval, poll)
		}
	}
	poll()
	return nil
}

// acceptsClients reports whether the health check succeeds, so that clients are sent to this node. If endpoint lists are
// pushed, the agent's list is awaited for at most maxAgentWait. Without a ready worker in the cached list, the startup
// ends after maxStartWait even if discovery is still unavailable: requests are then rejected at once, which is harmless.
func (n *node) acceptsClients() bool {
	if !n.cfg.Settings.SubscribeDiscovery && !n.discovery.Answered() && n.loop.Now() < n.agentDeadline {
		return false
	}
	return n.core.AnyReady() || !n.discovery.Answered() && n.loop.Now() >= n.startDeadline
}

// logCounts logs the node's counters and schedules its next run.
func (n *node) logCounts() {
	core, front, discovery := n.core.Counts(), n.front.Counts(), n.discovery.Counts()
	slog.Info("counts", "operations", core.Operations, "served", core.Served, "refused", core.Refused, "failed", core.Failed,
		"rejected", core.Rejected, "gone", core.Withdrawn, "moved", core.HandedOver, "open", n.core.OpenOperations(), "steps", core.Steps,
		"outcomes", fmt.Sprint(core.Outcomes),
		"turned_away", front.Rejected, "silent", front.Silent, "shed", front.Shed, "full", front.AtCapacity,
		"list_asked", discovery.Sent, "list_answered", discovery.Answered, "list_refused", discovery.Rejected, "list_silent", discovery.TimedOut)
	if n.batch != nil {
		batch := n.batch.jobs.Counts()
		slog.Info("batch counts", "unfinished", batch.Unfinished, "queued", batch.Queued, "in_core", batch.InCore, "waits", batch.Waits,
			"window", batch.Window.Size, "used", batch.Window.Used, "queueing_s", batch.Window.Delay, "halvings", batch.Window.Halvings,
			"store", batch.Store, "turned_away", batch.Rejected)
	}
	n.loop.Timers.Add(n.loop.Now()+countsInterval, n.logCounts)
}
