package main

import (
	"log/slog"
	"os"
	"runtime/debug"
	"time"

	"ospreybend/internal/node/hotrestart"
	"ospreybend/internal/node/override"
	"ospreybend/internal/node/protocol"
)

// handOverInterval is the interval at which connections that could not be handed over yet are tried again.
const handOverInterval = 10 * time.Millisecond

// joinDirectory joins the directory shared by the processes of this node and returns the number of other processes.
// If the directory cannot be used, the process serves without it: overrides are kept in memory and nothing is handed over.
func (n *node) joinDirectory() (others int) {
	directory, err := hotrestart.Open(n.cfg.TmpDir, n.cfg.Name)
	if err != nil {
		slog.Warn("overrides are kept in memory only", "error", err)
		return 0
	}
	n.directory = directory
	recorded, err := directory.Overrides()
	if err != nil {
		slog.Warn("recorded overrides cannot be read", "error", err)
	}
	n.overrides.Merge(recorded)
	return directory.OtherProcesses()
}

// directoryChanged applies a change in the directory: overrides and the number of other processes. It may be called from
// any goroutine.
func (n *node) directoryChanged(recorded override.Overrides, others int) {
	n.loop.Post(func() {
		n.admin.MergeOverrides(recorded)
		n.divideBudgets(others)
	})
}

// divideBudgets limits this process to its share of the node's memory, sockets and connections. All running processes of
// the node have equal shares.
func (n *node) divideBudgets(others int) {
	processes := others + 1
	cfg := n.cfg
	debug.SetMemoryLimit(int64(float64(cfg.MemoryMB) * memoryLimitFraction * (1 << 20) / float64(processes)))
	n.front.SetLimits(cfg.FrontMaxSockets/processes, cfg.FrontMaxBufferedBytes/processes)
	n.destinations.SetMaxConnections(cfg.MaxDestinationConns / processes)
	slog.Info("budgets", "processes", processes)
}

// acceptOnceReady accepts clients once discovery has answered and a worker is ready, or at the deadline with the cached
// endpoint list.
func (n *node) acceptOnceReady(deadline time.Duration) {
	if n.shuttingDown {
		return
	}
	if n.discovery.Answered() && n.core.AnyReady() || n.loop.Now() >= deadline {
		n.front.StartOn(n.inherited)
		return
	}
	n.loop.Timers.Add(n.loop.Now()+readyPollInterval, func() { n.acceptOnceReady(deadline) })
}

// openAdmin creates the administration server.
func (n *node) openAdmin() {
	cfg := n.cfg
	config := protocol.AdminConfig{
		Listen: cfg.Admin, MaxSockets: cfg.AdminMaxSockets, MaxBufferedBytes: cfg.AdminMaxBufferedBytes, Classes: cfg.ClassNames,
		Ready: func() bool { return n.front.Accepting() && !n.shuttingDown && n.core.AnyReady() },
	}
	if n.directory != nil {
		config.RecordOverride = func(name string, out bool, done func(override.Overrides, error)) {
			at := n.loop.Now()
			go func() {
				recorded, err := n.directory.Change(func(all override.Overrides) { all.Set(name, out, at) })
				n.loop.Post(func() { done(recorded, err) })
			}()
		}
	}
	if cfg.Fleet.Enabled {
		config.ZoneCommand, config.FleetStatus = n.overrideZone, n.fleetStatus
	}
	n.admin = protocol.NewAdmin(config, n.loop, n.core, n.discovery, n.destinations, n.overrides)
}

// leaveDirectory leaves the shared directory, so that the other processes get this one's share of the budgets.
func (n *node) leaveDirectory() {
	close(n.stop)
	if n.directory != nil {
		n.directory.Close()
	}
}

// receiveHandovers starts to accept connections, with their requests in flight, from the predecessor process.
func (n *node) receiveHandovers() {
	stop, err := n.directory.Receive(n.adoptHandover)
	if err != nil {
		slog.Warn("the predecessor cannot hand over its connections", "error", err)
		return
	}
	n.stopReceiving = stop
}

// adoptHandover takes over one client connection with the requests in flight on it, or the decision module's learned
// state. It must not be called on the event loop.
func (n *node) adoptHandover(message hotrestart.Message) {
	handover, err := protocol.DecodeHandover(message.Payload, len(message.Sockets))
	if err != nil {
		slog.Error("client connection lost in the hand-over", "error", err)
		message.Close()
		return
	}
	if len(handover.Learned) > 0 {
		n.loop.Post(func() {
			if err := n.core.ImportLearned(handover.Learned); err != nil {
				slog.Warn("learned state not imported", "error", err)
			}
		})
		return
	}
	conns := n.loop.Adopt(message.Sockets, handover.Unread())
	n.loop.Post(func() { n.front.Adopt(n.destinations, handover, conns) })
}

// successor returns the process that takes over this process's connections, or nil if there is none.
func (n *node) successor() *hotrestart.Successor {
	if n.inherited == nil || n.directory == nil {
		return nil
	}
	return n.directory.Successor()
}

// collectHandovers moves all connections that can be handed over now from the front into the pending messages, along
// with the learned state the first time.
func (n *node) collectHandovers(successor *hotrestart.Successor) {
	if successor == nil {
		return
	}
	if !n.pending.learnedAdded {
		n.pending.learnedAdded = true
		n.pending.add(&protocol.Handover{Learned: n.core.ExportLearned()}, nil)
	}
	n.front.HandOver(n.destinations, n.pending.add)
}

// add appends a message and the sockets that belong to it.
func (p *pendingHandovers) add(message *protocol.Handover, sockets []*os.File) {
	p.messages, p.sockets = append(p.messages, message), append(p.sockets, sockets)
}

// take removes and returns the pending messages and their sockets.
func (p *pendingHandovers) take() (messages []*protocol.Handover, sockets [][]*os.File) {
	messages, sockets = p.messages, p.sockets
	p.messages, p.sockets = nil, nil
	return messages, sockets
}

// handOver sends the collected connections to the successor, and further ones as they become movable, until none is left
// or the deadline has passed. Connections that the successor does not accept are served to their end by this process. It
// must not be called on the event loop.
func (n *node) handOver(successor *hotrestart.Successor, drained <-chan struct{}, deadline time.Time) {
	defer successor.Close()
	moved := 0
	for time.Now().Before(deadline) {
		var messages []*protocol.Handover
		var sockets [][]*os.File
		n.loop.Call(func() {
			n.collectHandovers(successor)
			messages, sockets = n.pending.take()
		})
		for i, message := range messages {
			if n.sendHandover(successor, message, sockets[i]) {
				moved++
			} else {
				successor = nil
			}
		}
		select {
		case <-drained:
			slog.Info("shutting down: handed over", "connections", moved)
			return
		case <-time.After(handOverInterval):
		}
	}
}

// sendHandover sends one message to the successor and reports whether it was accepted. If it was not, this process adopts
// the connection again.
func (n *node) sendHandover(successor *hotrestart.Successor, handover *protocol.Handover, sockets []*os.File) bool {
	text, err := handover.Encode()
	message := hotrestart.Message{Payload: text, Sockets: sockets}
	if err == nil && successor != nil {
		if err = successor.Send(message); err == nil {
			return true
		}
	}
	slog.Warn("shutting down: connection not handed over", "error", err)
	if len(sockets) > 0 {
		n.adoptHandover(message)
	}
	return false
}
