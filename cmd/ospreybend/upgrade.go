package main

import (
	"log/slog"
	"runtime/debug"
	"time"

	"ospreybend/internal/byhand"
	"ospreybend/internal/protocol"
	"ospreybend/internal/upgrade"
)

// enter meets the other processes of this node, and returns how many there are.
// Without a folder for that the node serves on its own.
func (n *node) enter() (others int) {
	room, err := upgrade.Open(n.cfg.TmpDir, n.cfg.Name)
	if err != nil {
		slog.Warn("words by hand are kept in memory alone", "fault", err)
		return 0
	}
	n.room = room
	words, err := room.Words()
	if err != nil {
		slog.Warn("words by hand cannot be read", "fault", err)
	}
	n.words.Merge(words)
	return room.Others()
}

// noticed takes in, from beside the loop, what has changed in the room.
func (n *node) noticed(words byhand.Words, others int) {
	n.loop.Post(func() {
		if n.admin != nil {
			n.admin.Merge(words)
		}
		n.share(others)
	})
}

// share cuts this process's budgets to its part of the node's, which the processes
// alive hold in equal parts.
func (n *node) share(others int) {
	parts := others + 1
	cfg := n.cfg
	debug.SetMemoryLimit(int64(float64(cfg.MemoryMB) * memoryShare * (1 << 20) / float64(parts)))
	n.front.Limit(cfg.FrontSockets/parts, cfg.FrontMemory/parts)
	n.to.Limit(cfg.DestinationsSockets / parts)
	slog.Info("budgets", "processes", parts)
}

// acceptOnceReady lets clients in when the list is known anew and some destination
// is ready, or by the given time with the list as it last was.
func (n *node) acceptOnceReady(by time.Duration) {
	if n.leaving {
		return
	}
	if n.pool.Asked() && n.core.Able() || n.loop.Now() >= by {
		n.front.StartOn(n.inherited)
		n.accepting = true
		return
	}
	n.loop.Due.Add(n.loop.Now()+readyLook, func() { n.acceptOnceReady(by) })
}

// openAdmin makes the operators' address.
func (n *node) openAdmin() {
	cfg := n.cfg
	a := protocol.AdminConfig{Listen: cfg.Admin, Sockets: cfg.AdminSockets, Memory: cfg.AdminMemory, Classes: cfg.ClassNames,
		Ready: func() bool { return n.accepting && !n.leaving && n.core.Able() }}
	if n.room != nil {
		a.Record = func(name string, out bool, done func(byhand.Words, error)) {
			at := n.loop.Now()
			go func() {
				now, err := n.room.Change(func(w byhand.Words) { w.Say(name, out, at) })
				n.loop.Post(func() { done(now, err) })
			}()
		}
	}
	n.admin = protocol.NewAdmin(a, n.loop, n.core, n.pool, n.to, n.words)
}

// exit leaves the room, and with it its part of the budgets.
func (n *node) exit() {
	close(n.stop)
	if n.room != nil {
		n.room.Close()
	}
}
