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

// joinDirectory meets the other processes of this node, and returns how many there are.
// Without a folder for that the node serves on its own.
func (n *node) joinDirectory() (others int) {
	directory, err := hotrestart.Open(n.cfg.TmpDir, n.cfg.Name)
	if err != nil {
		slog.Warn("words by hand are kept in memory alone", "fault", err)
		return 0
	}
	n.directory = directory
	words, err := directory.Overrides()
	if err != nil {
		slog.Warn("words by hand cannot be read", "fault", err)
	}
	n.overrides.Merge(words)
	return directory.OtherProcesses()
}

// directoryChanged takes in, from beside the loop, what has changed in the room.
func (n *node) directoryChanged(words override.Overrides, others int) {
	n.loop.Post(func() {
		n.admin.Merge(words)
		n.divideBudgets(others)
	})
}

// divideBudgets cuts this process's budgets to its part of the node's, which the processes
// alive hold in equal parts.
func (n *node) divideBudgets(others int) {
	parts := others + 1
	cfg := n.cfg
	debug.SetMemoryLimit(int64(float64(cfg.MemoryMB) * memoryLimitFraction * (1 << 20) / float64(parts)))
	n.front.SetLimits(cfg.FrontMaxSockets/parts, cfg.FrontMaxBufferedBytes/parts)
	n.destinations.SetMaxConnections(cfg.MaxDestinationConns / parts)
	slog.Info("budgets", "processes", parts)
}

// acceptOnceReady lets clients in when the list is known anew and some destination
// is ready, or by the given time with the list as it last was.
func (n *node) acceptOnceReady(by time.Duration) {
	if n.shuttingDown {
		return
	}
	if n.discovery.Answered() && n.core.AnyReady() || n.loop.Now() >= by {
		n.front.StartOn(n.inherited)
		return
	}
	n.loop.Timers.Add(n.loop.Now()+readyPollInterval, func() { n.acceptOnceReady(by) })
}

// openAdmin makes the operators' address.
func (n *node) openAdmin() {
	cfg := n.cfg
	a := protocol.AdminConfig{Listen: cfg.Admin, MaxSockets: cfg.AdminMaxSockets, MaxBufferedBytes: cfg.AdminMaxBufferedBytes, Classes: cfg.ClassNames,
		Ready: func() bool { return n.front.Accepting() && !n.shuttingDown && n.core.AnyReady() }}
	if n.directory != nil {
		a.RecordOverride = func(name string, out bool, done func(override.Overrides, error)) {
			at := n.loop.Now()
			go func() {
				now, err := n.directory.Change(func(w override.Overrides) { w.Set(name, out, at) })
				n.loop.Post(func() { done(now, err) })
			}()
		}
	}
	if cfg.Fleet.Enabled {
		a.ZoneCommand, a.FleetStatus = n.overrideZone, n.fleetStatus
	}
	n.admin = protocol.NewAdmin(a, n.loop, n.core, n.discovery, n.destinations, n.overrides)
}

// leaveDirectory leaves the room, and with it its part of the budgets.
func (n *node) leaveDirectory() {
	close(n.stop)
	if n.directory != nil {
		n.directory.Close()
	}
}

// receiveHandovers lets the process before this one hand over what it has in work.
func (n *node) receiveHandovers() {
	stop, err := n.directory.Receive(n.adoptHandover)
	if err != nil {
		slog.Warn("the process before this one cannot hand over what it has in work", "fault", err)
		return
	}
	n.stopReceiving = stop
}

// adoptHandover takes over one client's connection with what is in work on it.
func (n *node) adoptHandover(parcel hotrestart.Message) {
	p, err := protocol.DecodeHandover(parcel.Text, len(parcel.Sockets))
	if err != nil {
		slog.Error("a client's connection is lost", "fault", err)
		parcel.Close()
		return
	}
	if len(p.Learned) > 0 {
		n.loop.Post(func() {
			if err := n.core.ImportLearned(p.Learned); err != nil {
				slog.Warn("the module begins anew", "fault", err)
			}
		})
		return
	}
	conns := n.loop.Adopt(parcel.Sockets, p.Unread())
	n.loop.Post(func() { n.front.Adopt(n.destinations, p, conns) })
}

// successor finds the process that takes over what this one has in work.
func (n *node) successor() *hotrestart.Successor {
	if n.inherited == nil || n.directory == nil {
		return nil
	}
	return n.directory.Successor()
}

// collectHandovers takes what can be handed over out of this process, on the loop.
func (n *node) collectHandovers(next *hotrestart.Successor) {
	if next == nil {
		return
	}
	if !n.learnedCollected {
		n.learnedCollected = true
		n.handovers, n.sockets = append(n.handovers, &protocol.Handover{Learned: n.core.ExportLearned()}), append(n.sockets, nil)
	}
	n.front.HandOver(n.destinations, func(p *protocol.Handover, sockets []*os.File) {
		n.handovers, n.sockets = append(n.handovers, p), append(n.sockets, sockets)
	})
}

// handOver gives the next process what has been collected, and what may be moved
// only later, until nothing is left here. What the next process does not take goes
// on in this one.
func (n *node) handOver(next *hotrestart.Successor, drained <-chan struct{}, by time.Time) {
	defer next.Close()
	moved := 0
	for time.Now().Before(by) {
		var parcels []*protocol.Handover
		var sockets [][]*os.File
		n.loop.Call(func() {
			n.collectHandovers(next)
			parcels, sockets = n.handovers, n.sockets
			n.handovers, n.sockets = nil, nil
		})
		for i, p := range parcels {
			if !n.sendHandover(next, p, sockets[i]) {
				next = nil
			} else {
				moved++
			}
		}
		select {
		case <-drained:
			slog.Info("leaving: handed over", "connections", moved)
			return
		case <-time.After(handOverInterval):
		}
	}
}

// sendHandover hands one parcel over, or takes it back where that fails.
func (n *node) sendHandover(next *hotrestart.Successor, p *protocol.Handover, sockets []*os.File) bool {
	text, err := p.Encode()
	parcel := hotrestart.Message{Text: text, Sockets: sockets}
	if err == nil && next != nil {
		if err = next.Send(parcel); err == nil {
			return true
		}
	}
	slog.Warn("leaving: a connection stays here", "fault", err)
	if len(sockets) > 0 {
		n.adoptHandover(parcel)
	}
	return false
}
