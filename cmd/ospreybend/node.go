// Command ospreybend is one real node: it takes operations from clients,
// decides by package balance where each goes, and answers them. It also has the
// commands that call such a node's batch front; see docs/CLI.md.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"os/signal"
	"runtime"
	"syscall"
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
	threads     = 4                      // a loop in a system call must not hold up a dial
	memoryShare = 0.6                    // part of the memory limit that the collector aims to stay under
	serveOn     = 600 * time.Millisecond // after SIGTERM: new connections come for up to 0.4 s
	flushFor    = 50 * time.Millisecond  // for the last answers to leave
	countsEvery = 10 * time.Second

	watchStream      = 2 // of the seed's random numbers; the module has the first ones
	discoveryConnect = 500 * time.Millisecond
	agentWithin      = time.Second     // where lists are pushed: the node's own machine answers at once, or not at all
	readyWithin      = 5 * time.Second // half of the time in which a restarted node is to be ready

	leaveAtLatest = time.Second // past the longest deadline

	// A leaving process may be killed so long after the signal: the longest deadline,
	// which counts at most as much, and some more.
	longestSpared = 3 * time.Second
	spareTime     = 550 * time.Millisecond // of 0.7 s
	partFor       = 100 * time.Millisecond // then for clients to end their side: a process's end cuts off what they have not read
	lastComers    = 700 * time.Millisecond // before that nothing new is let in
	peerAlive     = 500 * time.Millisecond // a node that serves tells its peers more often

	crowd = 10 // nodes of which a planned restart leaves some at work at any time

	readyLook  = 5 * time.Millisecond // how often a start looks whether it may accept clients
	askedFor   = 2 * time.Second      // after which it does so with the list as it last was
	lookAround = 50 * time.Millisecond
	handEvery  = 10 * time.Millisecond // how often what could not be handed over is looked at again
)

// version is the program's, as the batch front tells it.
const version = "0.3.0"

// signals are those that the program has caught and not acted on yet.
type signals struct {
	leave  chan os.Signal
	reload chan os.Signal // holds one: what comes meanwhile is served by the same rereading
}

// catch has the signals caught from now on; one that is not would end the
// program. SIGHUP may come at any time, above all while the node leaves.
func catch() signals {
	s := signals{leave: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(s.reload, syscall.SIGHUP)
	signal.Notify(s.leave, syscall.SIGTERM, syscall.SIGINT)
	return s
}

func main() {
	caught := catch()
	os.Exit(command(caught, os.Args[1:], os.Stdout, os.Stderr))
}

// serve runs the node until it is told to leave.
func serve(caught signals) error {
	cfg, err := nodeconfig.Load(os.Getenv)
	if err != nil {
		return err
	}
	batch, err := nodeconfig.LoadBatch(os.Getenv)
	if err != nil {
		return err
	}
	if err := cfg.ReserveBatch(batch); err != nil {
		return err
	}
	fleet, err := nodeconfig.LoadFleet(os.Getenv)
	if err != nil {
		return err
	}
	if err := cfg.ReserveFleet(fleet); err != nil {
		return err
	}
	runtime.GOMAXPROCS(threads)
	n, err := start(cfg)
	if err != nil {
		return err
	}
	if batch.Enabled {
		if n.batch, err = n.startBatch(batch); err != nil {
			return err
		}
	}
	go func() {
		for range caught.reload {
			n.reload(os.Getenv)
		}
	}()
	if os.Getenv("OSPREYBEND_READY_FD") != "" {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go n.ready(ctx)
	}
	<-caught.leave
	n.leave()
	return nil
}

// node is the parts of the program, wired.
type node struct {
	cfg   *nodeconfig.Node
	loop  *eventloop.Loop
	core  *routing.Core
	to    *protocol.Destinations
	pool  *protocol.Discovery
	peers *protocol.Peers
	front *protocol.Front
	admin *protocol.Admin // listens where it has an address
	batch *batchFront     // nil: off

	agent *agent.Agent // nil: the node is on its own
	calls *transport.Client

	agentBy time.Duration // until then the list's agent is waited for
	readyBy time.Duration // from then on a start is over though the pool config has not answered yet
	voters  []nodeconfig.FleetVoter

	inherited net.Listener          // the clients' socket, where the platform holds it; nil: the front opens its own
	directory *hotrestart.Directory // nil: no folder to meet other processes of this node in
	words     override.Overrides
	stop      chan struct{} // closed when the node leaves
	deaf      func()        // ends the taking over from a process before this one; nil: none
	leaving   bool

	told    bool                 // what the module has learned is among them, or gone
	parcels []*protocol.Handover // on their way to the next process, with their sockets
	sockets [][]*os.File
}

func start(cfg *nodeconfig.Node) (*node, error) {
	n := &node{cfg: cfg, words: override.Overrides{}, stop: make(chan struct{})}
	var err error
	if cfg.InheritedListener != "" {
		if n.inherited, err = eventloop.InheritListener(cfg.InheritedListener); err != nil {
			return nil, fmt.Errorf("BALANCER_INHERITED_FD: %w", err)
		}
	}
	others := n.enter()
	if n.loop, err = eventloop.NewLoop(nil); err != nil {
		return nil, err
	}
	n.loop.Call(func() {
		if err = n.wire(); err == nil {
			n.share(others)
		}
	})
	if err != nil {
		return nil, errors.Join(err, n.loop.Stop())
	}
	if n.inherited != nil && n.directory != nil {
		n.receive()
	}
	if n.directory != nil {
		go n.directory.Watch(lookAround, n.stop, n.noticed)
	}
	slog.Info("serving", "name", cfg.Name, "listen", cfg.Listen, "classes", len(cfg.ClassNames),
		"known", len(cfg.CachedList.Entries), "fronts", cfg.FrontMaxSockets, "destinations", cfg.MaxDestinationConns)
	return n, nil
}

// wire makes the parts and starts them. It runs on the loop.
func (n *node) wire() error {
	cfg, s := n.cfg, n.cfg.Settings
	core, err := routing.New(s, cfg.Seed, n.loop, &n.loop.Timers)
	if err != nil {
		return err
	}
	n.core = core
	to := protocol.NewDestinations(protocol.DestinationConfig{Host: "app.svc", MaxConnections: cfg.MaxDestinationConns,
		ConnectTimeout: s.Limits.ConnectTimeout, IdleTimeout: s.Limits.ConnIdle, ReportFields: cfg.ReportFields}, n.loop, core)
	n.to = to
	n.pool = protocol.NewDiscovery(protocol.DiscoveryConfig{Address: cfg.Discovery, Zones: cfg.Zones, Kinds: cfg.Kinds,
		ConnectTimeout: discoveryConnect, CachedList: cfg.CachedList, Overrides: n.words, WarmupTime: s.Rules.WarmupTime,
		Jitter: rand.New(rand.NewPCG(cfg.Seed, watchStream)).Float64, Pushed: !s.SubscribeDiscovery}, n.loop, core, to)
	peers, err := protocol.NewPeers(protocol.PeersConfig{Listen: cfg.PeerListen, Peers: cfg.Peers, Broadcast: cfg.PeersAll,
		Ordinal: s.Ordinal}, n.loop, core)
	if err != nil {
		return fmt.Errorf("peer_listen: %w", err)
	}
	n.peers = peers
	core.Connect(to, n.pool, peers)
	core.SetWorkerNames(n.pool.NameOf)
	n.pool.Start()
	n.agentBy, n.readyBy = n.loop.Now()+agentWithin, n.loop.Now()+readyWithin
	giveUp := make([]time.Duration, len(s.Classes))
	for i, c := range s.Classes {
		giveUp[i] = c.Timeout
	}
	n.front = protocol.NewFront(protocol.FrontConfig{Listen: cfg.Listen, MaxSockets: cfg.FrontMaxSockets, MaxBufferedBytes: cfg.FrontMaxBufferedBytes,
		Classes: cfg.Classes,
		Tenants: cfg.Tenants, DefaultTimeouts: giveUp, RetryAdvice: s.Limits.RetryAfter, Healthy: n.able}, n.loop, core)
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
		n.acceptOnceReady(n.loop.Now() + askedFor)
	} else if n.agent != nil {
		err = n.acceptOnceLed()
	} else {
		err = n.front.Start()
	}
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	n.loop.Timers.Add(n.loop.Now()+countsEvery, n.count)
	return nil
}

// acceptOnceLed lets clients in when the fleet's orders are known, or have not come in time:
// a node that starts amid a zone's return is not to send there as if nothing were.
func (n *node) acceptOnceLed() error {
	ln, err := net.Listen("tcp", n.cfg.Listen)
	if err != nil {
		return err
	}
	var look func()
	look = func() {
		switch {
		case n.leaving:
			_ = ln.Close()
		case n.agent.Ready():
			n.front.StartOn(ln)
		default:
			n.loop.Timers.Add(n.loop.Now()+readyLook, look)
		}
	}
	look()
	return nil
}

// able tells whether clients are to come. Where lists are pushed, what the agent has counts as
// told from the first moment on: it is asked first, for a moment. A start whose own list names
// nobody who is ready is not held up for longer than a start may take, however long the pool
// config is down: what comes then is refused at once, which is harmless.
func (n *node) able() bool {
	if !n.cfg.Settings.SubscribeDiscovery && !n.pool.Answered() && n.loop.Now() < n.agentBy {
		return false
	}
	return n.core.AnyReady() || !n.pool.Answered() && n.loop.Now() >= n.readyBy
}

// count writes the totals to the log, now and then.
func (n *node) count() {
	c, f, p := n.core.Counts(), n.front.Counts(), n.pool.Counts()
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
	n.loop.Timers.Add(n.loop.Now()+countsEvery, n.count)
}

// reload reads the configuration once more, off the loop. Discovery's address
// takes effect at once; the rest stays as it was at the start. A file with a
// fault changes nothing.
func (n *node) reload(env func(string) string) {
	cfg, err := nodeconfig.Load(env)
	if err != nil {
		slog.Error("reload: the old configuration stays", "fault", err)
		return
	}
	slog.Info("reload", "discovery", cfg.Discovery)
	if keys := n.cfg.NeedRestart(cfg); len(keys) > 0 {
		slog.Warn("reload: some keys take effect at the next start", "keys", keys)
	}
	n.loop.Post(func() { n.pool.SetAddress(cfg.Discovery) })
	if n.batch != nil {
		n.batch.reload(n, env)
	}
}

// leave answers what the node has taken, and returns once all of it is out. Where
// the clients' socket is this process's own, new connections come for a while after
// the signal. Where it is inherited they are the next process's, which also gets
// what is open here. What nobody takes over is answered before the process may be
// killed.
func (n *node) leave() {
	began := time.Now()
	slog.Info("leaving", "inherited", n.inherited != nil)
	if n.deaf != nil {
		n.deaf() // who leaves next is to find the one that stays
	}
	n.loop.Call(func() {
		n.leaving = true
		n.front.BeginShutdown()
		if n.agent != nil {
			n.agent.Stop()
		}
		if n.inherited != nil {
			n.pool.ExcludeWarmingUp()
			n.peers.Close()
		}
		n.peers.Mute()
		if n.batch != nil {
			n.batch.jobs.Stop()
		}
	})
	defer n.exit()
	longest := time.Duration(0)
	for _, c := range n.cfg.Settings.Classes {
		longest = max(longest, c.Timeout)
	}
	killed := began.Add(min(longest, longestSpared) + spareTime)
	next := n.following()
	remaining := serveOn
	if n.inherited == nil {
		n.loop.Call(func() { n.endBy(killed) })
		n.serveOn(began, killed)
		remaining = 0
	}
	drained := make(chan struct{})
	n.loop.Call(func() {
		n.collect(next)
		if n.inherited != nil {
			n.endBy(killed)
		}
		slog.Info("leaving: no new connections", "open", n.core.OpenOperations())
		n.front.Stop(remaining, func() {
			select {
			case <-drained:
			default:
				close(drained)
			}
		})
	})
	latest := time.Now().Add(longest + leaveAtLatest)
	if next != nil {
		n.handOver(next, drained, latest)
	}
	select {
	case <-drained:
	case <-time.After(time.Until(killed.Add(partFor))):
		slog.Warn("leaving: some clients have not ended their connections")
	}
	if n.batch != nil {
		n.batch.stop(n, latest)
	}
	time.Sleep(flushFor)
	n.loop.Call(n.count)
	slog.Info("left")
}
