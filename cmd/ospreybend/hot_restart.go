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

// enter meets the other processes of this node, and returns how many there are.
// Without a folder for that the node serves on its own.
func (n *node) enter() (others int) {
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
	n.words.Merge(words)
	return directory.OtherProcesses()
}

// noticed takes in, from beside the loop, what has changed in the room.
func (n *node) noticed(words override.Overrides, others int) {
	n.loop.Post(func() {
		n.admin.Merge(words)
		n.share(others)
	})
}

// share cuts this process's budgets to its part of the node's, which the processes
// alive hold in equal parts.
func (n *node) share(others int) {
	parts := others + 1
	cfg := n.cfg
	debug.SetMemoryLimit(int64(float64(cfg.MemoryMB) * memoryShare * (1 << 20) / float64(parts)))
	n.front.SetLimits(cfg.FrontMaxSockets/parts, cfg.FrontMaxBufferedBytes/parts)
	n.to.SetMaxConnections(cfg.MaxDestinationConns / parts)
	slog.Info("budgets", "processes", parts)
}

// acceptOnceReady lets clients in when the list is known anew and some destination
// is ready, or by the given time with the list as it last was.
func (n *node) acceptOnceReady(by time.Duration) {
	if n.leaving {
		return
	}
	if n.pool.Answered() && n.core.AnyReady() || n.loop.Now() >= by {
		n.front.StartOn(n.inherited)
		return
	}
	n.loop.Timers.Add(n.loop.Now()+readyLook, func() { n.acceptOnceReady(by) })
}

// openAdmin makes the operators' address.
func (n *node) openAdmin() {
	cfg := n.cfg
	a := protocol.AdminConfig{Listen: cfg.Admin, MaxSockets: cfg.AdminMaxSockets, MaxBufferedBytes: cfg.AdminMaxBufferedBytes, Classes: cfg.ClassNames,
		Ready: func() bool { return n.front.Accepting() && !n.leaving && n.core.AnyReady() }}
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
		a.ZoneCommand, a.FleetStatus = n.sayZone, n.fleetText
	}
	n.admin = protocol.NewAdmin(a, n.loop, n.core, n.pool, n.to, n.words)
}

// exit leaves the room, and with it its part of the budgets.
func (n *node) exit() {
	close(n.stop)
	if n.directory != nil {
		n.directory.Close()
	}
}

// receive lets the process before this one hand over what it has in work.
func (n *node) receive() {
	stop, err := n.directory.Receive(n.adopt)
	if err != nil {
		slog.Warn("the process before this one cannot hand over what it has in work", "fault", err)
		return
	}
	n.deaf = stop
}

// adopt takes over one client's connection with what is in work on it.
func (n *node) adopt(parcel hotrestart.Message) {
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
	n.loop.Post(func() { n.front.Adopt(n.to, p, conns) })
}

// following finds the process that takes over what this one has in work.
func (n *node) following() *hotrestart.Successor {
	if n.inherited == nil || n.directory == nil {
		return nil
	}
	return n.directory.Successor()
}

// collect takes what can be handed over out of this process, on the loop.
func (n *node) collect(next *hotrestart.Successor) {
	if next == nil {
		return
	}
	if !n.told {
		n.told = true
		n.parcels, n.sockets = append(n.parcels, &protocol.Handover{Learned: n.core.ExportLearned()}), append(n.sockets, nil)
	}
	n.front.HandOver(n.to, func(p *protocol.Handover, sockets []*os.File) {
		n.parcels, n.sockets = append(n.parcels, p), append(n.sockets, sockets)
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
			n.collect(next)
			parcels, sockets = n.parcels, n.sockets
			n.parcels, n.sockets = nil, nil
		})
		for i, p := range parcels {
			if !n.give(next, p, sockets[i]) {
				next = nil
			} else {
				moved++
			}
		}
		select {
		case <-drained:
			slog.Info("leaving: handed over", "connections", moved)
			return
		case <-time.After(handEvery):
		}
	}
}

// give hands one parcel over, or takes it back where that fails.
func (n *node) give(next *hotrestart.Successor, p *protocol.Handover, sockets []*os.File) bool {
	text, err := p.Encode()
	parcel := hotrestart.Message{Text: text, Sockets: sockets}
	if err == nil && next != nil {
		if err = next.Send(parcel); err == nil {
			return true
		}
	}
	slog.Warn("leaving: a connection stays here", "fault", err)
	if len(sockets) > 0 {
		n.adopt(parcel)
	}
	return false
}

// endBy has all that clients wait for answered by a time.
func (n *node) endBy(at time.Time) {
	n.core.LimitDeadlines(n.front, n.loop.Now()+time.Until(at))
}

// serveOn lets clients in for as long as they still come, and after that until
// another node tells that it serves: where all are restarted one after the other,
// the next may go before the last is back, and clients would find nobody. A crowd is
// never all gone, and too large for each to tell all others.
func (n *node) serveOn(began, killed time.Time) {
	time.Sleep(time.Until(began.Add(serveOn)))
	for alone := true; time.Now().Before(killed.Add(-lastComers)); time.Sleep(lookAround) {
		n.loop.Call(func() { alone = !n.core.PeersHeardWithin(peerAlive) })
		if !alone || n.cfg.PeerListen == "" || len(n.cfg.Peers) < 2 || len(n.cfg.Peers) > crowd {
			return
		}
	}
}
