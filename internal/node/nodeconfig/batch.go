package nodeconfig

import (
	"encoding/hex"
	"errors"
	"fmt"
	"io/fs"
	"os"

	"github.com/BurntSushi/toml"
)

const (
	batchFile    = "deploy/batch.toml"
	batchSockets = 64
	adminSockets = 32
	storeSockets = 16 // the store's files or connections

	targetMS     = 5
	longestWaitS = 7 * 24 * 3600
	eventsKept   = 16384
)

// Batch is what the batch front is told. Where Enabled is false nothing of it
// opens.
type Batch struct {
	Enabled     bool   `toml:"enabled"`
	Listen      string `toml:"listen"`
	Sockets     int    `toml:"sockets"`
	Store       string `toml:"store"`
	Source      string `toml:"source"`
	AdminListen string `toml:"admin_listen"`
	AdminToken  string `toml:"admin_token_sha256"`

	Slots       int `toml:"slots"`          // of its jobs in the core at once, at most; 0: half of the destinations' descriptors
	Target      int `toml:"target_ms"`      // queueing delay that the window aims at
	LongestWait int `toml:"longest_wait_s"` // of a job without a deadline
	Events      int `toml:"events"`         // kept for each tenant

	AdminSockets int `toml:"-"`
}

// NeedRestart returns the keys that differ from those of a later reading and
// take effect at the next start alone.
func (b Batch) NeedRestart(later Batch) (keys []string) {
	for _, k := range []struct {
		name string
		same bool
	}{{"enabled", b.Enabled == later.Enabled}, {"listen", b.Listen == later.Listen}, {"sockets", b.Sockets == later.Sockets},
		{"store", b.Store == later.Store}, {"source", b.Source == later.Source}, {"admin_listen", b.AdminListen == later.AdminListen}} {
		if !k.same {
			keys = append(keys, k.name)
		}
	}
	return keys
}

// LoadBatch reads the batch front's file: the one that OSPREYBEND_BATCH names,
// else deploy/batch.toml. Without a file the front is off.
func LoadBatch(env func(string) string) (Batch, error) {
	path := or(env("OSPREYBEND_BATCH"), batchFile)
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) && env("OSPREYBEND_BATCH") == "" {
		return Batch{}, nil
	}
	if err != nil {
		return Batch{}, fmt.Errorf("batch: %w", err)
	}
	b, err := ParseBatch(string(text))
	if err != nil {
		return b, fmt.Errorf("%s: %w", path, err)
	}
	return b, nil
}

// ParseBatch reads and checks the file's text.
func ParseBatch(text string) (Batch, error) {
	b := Batch{Sockets: batchSockets, AdminSockets: adminSockets, Target: targetMS, LongestWait: longestWaitS, Events: eventsKept}
	meta, err := toml.Decode(text, &b)
	if err != nil {
		return Batch{}, err
	}
	if extra := meta.Undecoded(); len(extra) > 0 {
		return Batch{}, fmt.Errorf("%s: no such key", extra[0])
	}
	if !b.Enabled {
		return Batch{}, nil
	}
	if err := address("listen", b.Listen); err != nil {
		return Batch{}, err
	}
	switch {
	case b.Sockets < adminSockets || b.Sockets > 4096:
		return Batch{}, fmt.Errorf("sockets: %d, not from %d to 4096", b.Sockets, adminSockets)
	case b.Store != "sqlite" && b.Store != "postgres":
		return Batch{}, fmt.Errorf("store: %q is neither sqlite nor postgres", b.Store)
	case b.Source == "":
		return Batch{}, errors.New("source: missing")
	case b.Slots < 0 || b.Slots > 4096:
		return Batch{}, fmt.Errorf("slots: %d, not from 0 to 4096", b.Slots)
	case b.Target < 1 || b.Target > 10_000:
		return Batch{}, fmt.Errorf("target_ms: %d, not from 1 to 10000", b.Target)
	case b.LongestWait < 1 || b.LongestWait > 366*24*3600:
		return Batch{}, fmt.Errorf("longest_wait_s: %d, not from 1 to a year's", b.LongestWait)
	case b.Events < 16 || b.Events > 1<<20:
		return Batch{}, fmt.Errorf("events: %d, not from 16 to %d", b.Events, 1<<20)
	}
	if b.AdminListen == "" {
		return b, nil
	}
	if err := address("admin_listen", b.AdminListen); err != nil {
		return Batch{}, err
	}
	if _, err := hex.DecodeString(b.AdminToken); err != nil || len(b.AdminToken) != 64 {
		return Batch{}, errors.New("admin_token_sha256: wants the 64 hexadecimal digits of the token's SHA-256")
	}
	return b, nil
}

// Reserve makes room for the batch front: its descriptors come out of the node's
// budget, and each class gets a second one for batch jobs. That has no aim short
// of its end, since no client stands waiting, and no worth, so that the module
// sends no batch job into a queue wait that a platform's request would mind. All
// else, above all what may be repeated, is the class's own.
func (n *Node) Reserve(b Batch) error {
	if !b.Enabled {
		return nil
	}
	each := (b.Sockets + b.AdminSockets + storeSockets + 1) / 2
	n.FrontSockets -= each
	n.DestinationsSockets -= each
	if min(n.FrontSockets, n.DestinationsSockets) < adminSockets {
		return fmt.Errorf("limits.sockets: %d are too few with the batch front's %d", n.Sockets, 2*each)
	}
	n.BatchClasses = map[string]int{}
	for _, name := range n.ClassNames {
		c := n.Settings.Classes[n.Classes[name]]
		c.LatencyTarget, c.Value, c.LateValue = c.Timeout, 0, 0
		n.BatchClasses[name] = len(n.Settings.Classes)
		n.Settings.Classes = append(n.Settings.Classes, c)
	}
	return nil
}
