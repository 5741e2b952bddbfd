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
	maxProcs            = 4                      // a loop in a system call must not hold up a dial
	memoryLimitFraction = 0.6                    // part of the memory limit that the collector aims to stay under
	shutdownAcceptTime  = 600 * time.Millisecond // after SIGTERM: new connections come for up to 0.4 s
	flushTime           = 50 * time.Millisecond  // for the last answers to leave
	countsInterval      = 10 * time.Second

	discoveryRandStream     = 2 // of the seed's random numbers; the module has the first ones
	discoveryConnectTimeout = 500 * time.Millisecond
	maxAgentWait            = time.Second     // where lists are pushed: the node's own machine answers at once, or not at all
	maxStartWait            = 5 * time.Second // half of the time in which a restarted node is to be ready

	shutdownGrace = time.Second // past the longest deadline

	// A leaving process may be killed so long after the signal: the longest deadline,
	// which counts at most as much, and some more.
	maxDrainTime     = 3 * time.Second
	drainMargin      = 550 * time.Millisecond // of 0.7 s
	disconnectWait   = 100 * time.Millisecond // then for clients to end their side: a process's end cuts off what they have not read
	lastAcceptMargin = 700 * time.Millisecond // before that nothing new is let in
	maxPeerSilence   = 500 * time.Millisecond // a node that serves tells its peers more often

	maxHeardPeers = 10 // nodes of which a planned restart leaves some at work at any time

	readyPollInterval     = 5 * time.Millisecond // how often a start looks whether it may accept clients
	maxListWait           = 2 * time.Second      // after which it does so with the list as it last was
	directoryPollInterval = 50 * time.Millisecond
	handOverInterval      = 10 * time.Millisecond // how often what could not be handed over is looked at again
)

// node is the parts of the program, wired.
type node struct {
	cfg          *nodeconfig.Node
	loop         *eventloop.Loop
	core         *routing.Core
	destinations *protocol.Destinations
	discovery    *protocol.Discovery
	peers        *protocol.Peers
	front        *protocol.Front
	admin        *protocol.Admin // listens where it has an address
	batch        *batchFront     // nil: off

	agent       *agent.Agent // nil: the node is on its own
	voterClient *transport.Client

	agentDeadline time.Duration // until then the list's agent is waited for
	startDeadline time.Duration // from then on a start is over though the pool config has not answered yet
	voters        []nodeconfig.FleetVoter

	inherited     net.Listener          // the clients' socket, where the platform holds it; nil: the front opens its own
	directory     *hotrestart.Directory // nil: no folder to meet other processes of this node in
	overrides     override.Overrides
	stop          chan struct{} // closed when the node leaves
	stopReceiving func()        // ends the taking over from a process before this one; nil: none
	shuttingDown  bool

	learnedCollected bool                 // what the module has learned is among them, or gone
	handovers        []*protocol.Handover // on their way to the next process, with their sockets
	sockets          [][]*os.File
}

func start(cfg *nodeconfig.Node) (*node, error) {
	n := &node{cfg: cfg, overrides: override.Overrides{}, stop: make(chan struct{})}
	var err error
	if cfg.InheritedListener != "" {
		if n.inherited, err = eventloop.InheritListener(cfg.InheritedListener); err != nil {
			return nil, fmt.Errorf("BALANCER_INHERITED_FD: %w", err)
		}
	}
	others := n.joinDirectory()
	if n.loop, err = eventloop.NewLoop(nil); err != nil {
		return nil, err
	}
	n.loop.Call(func() {
		if err = n.assemble(); err == nil {
			n.divideBudgets(others)
		}
	})
	if err != nil {
		return nil, errors.Join(err, n.loop.Stop())
	}
	if n.inherited != nil && n.directory != nil {
		n.receiveHandovers()
	}
	if n.directory != nil {
		go n.directory.Watch(directoryPollInterval, n.stop, n.directoryChanged)
	}
	slog.Info("serving", "name", cfg.Name, "listen", cfg.Listen, "classes", len(cfg.ClassNames),
		"known", len(cfg.CachedList.Entries), "fronts", cfg.FrontMaxSockets, "destinations", cfg.MaxDestinationConns)
	return n, nil
}

// assemble makes the parts and starts them. It runs on the loop.
func (n *node) assemble() error {
	cfg, s := n.cfg, n.cfg.Settings
	core, err := routing.New(s, cfg.Seed, n.loop, &n.loop.Timers)
	if err != nil {
		return err
	}
	n.core = core
	to := protocol.NewDestinations(protocol.DestinationConfig{Host: "app.svc", MaxConnections: cfg.MaxDestinationConns,
		ConnectTimeout: s.Limits.ConnectTimeout, IdleTimeout: s.Limits.ConnIdle, ReportFields: cfg.ReportFields}, n.loop, core)
	n.destinations = to
	n.discovery = protocol.NewDiscovery(protocol.DiscoveryConfig{Address: cfg.Discovery, Zones: cfg.Zones, Kinds: cfg.Kinds,
		ConnectTimeout: discoveryConnectTimeout, CachedList: cfg.CachedList, Overrides: n.overrides, WarmupTime: s.Rules.WarmupTime,
		Jitter: rand.New(rand.NewPCG(cfg.Seed, discoveryRandStream)).Float64, Pushed: !s.SubscribeDiscovery}, n.loop, core, to)
	peers, err := protocol.NewPeers(protocol.PeersConfig{Listen: cfg.PeerListen, Peers: cfg.Peers, Broadcast: cfg.PeersAll,
		Ordinal: s.Ordinal}, n.loop, core)
	if err != nil {
		return fmt.Errorf("peer_listen: %w", err)
	}
	n.peers = peers
	core.Connect(to, n.discovery, peers)
	core.SetWorkerNames(n.discovery.NameOf)
	n.discovery.Start()
	n.agentDeadline, n.startDeadline = n.loop.Now()+maxAgentWait, n.loop.Now()+maxStartWait
	giveUp := make([]time.Duration, len(s.Classes))
	for i, c := range s.Classes {
		giveUp[i] = c.Timeout
	}
	n.front = protocol.NewFront(protocol.FrontConfig{Listen: cfg.Listen, MaxSockets: cfg.FrontMaxSockets, MaxBufferedBytes: cfg.FrontMaxBufferedBytes,
		Classes: cfg.Classes,
		Tenants: cfg.Tenants, DefaultTimeouts: giveUp, RetryAdvice: s.Limits.RetryAfter, Healthy: n.acceptsClients}, n.loop, core)
	n.openAdmin()
	if cfg.Admin != "" {
		if err := n.admin.Start(); err != nil {
			return fmt.Errorf("admin: %w", err)
		}
	}
	if cfg.Fleet.Enabled {
		n.joinFleet(cfg.Fleet)
	}
	if n.inherited != nil {
		n.acceptOnceReady(n.loop.Now() + maxListWait)
	} else if n.agent != nil {
		err = n.acceptOnceAgentReady()
	} else {
		err = n.front.Start()
	}
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	n.loop.Timers.Add(n.loop.Now()+countsInterval, n.logCounts)
	return nil
}

// acceptOnceAgentReady lets clients in when the fleet's orders are known, or have not come in time:
// a node that starts amid a zone's return is not to send there as if nothing were.
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

// acceptsClients tells whether clients are to come. Where lists are pushed, what the agent has counts as
// told from the first moment on: it is asked first, for a moment. A start whose own list names
// nobody who is ready is not held up for longer than a start may take, however long the pool
// config is down: what comes then is refused at once, which is harmless.
func (n *node) acceptsClients() bool {
	if !n.cfg.Settings.SubscribeDiscovery && !n.discovery.Answered() && n.loop.Now() < n.agentDeadline {
		return false
	}
	return n.core.AnyReady() || !n.discovery.Answered() && n.loop.Now() >= n.startDeadline
}

// logCounts writes the totals to the log, now and then.
func (n *node) logCounts() {
	c, f, p := n.core.Counts(), n.front.Counts(), n.discovery.Counts()
	slog.Info("counts", "operations", c.Operations, "served", c.Served, "refused", c.Refused, "failed", c.Failed,
		"rejected", c.Rejected, "gone", c.Gone, "moved", c.Moved, "open", n.core.OpenOperations(), "steps", c.Steps, "outcomes", fmt.Sprint(c.Outcomes),
		"turned_away", f.Rejected, "silent", f.Silent, "shed", f.Shed, "full", f.Full,
		"list_asked", p.Asked, "list_answered", p.Answered, "list_refused", p.Refused, "list_silent", p.Silent)
	if n.batch != nil {
		b := n.batch.jobs.Counts()
		slog.Info("batch counts", "unfinished", b.Unfinished, "queued", b.Queued, "in_core", b.InCore, "waits", b.Waits,
			"window", b.Window.Size, "used", b.Window.Used, "queueing_s", b.Window.Delay, "halvings", b.Window.Halvings,
			"store", b.Store, "turned_away", b.Rejected)
	}
	n.loop.Timers.Add(n.loop.Now()+countsInterval, n.logCounts)
}
