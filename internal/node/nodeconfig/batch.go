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
	batchFile         = "deploy/batch.toml"
	batchSockets      = 64
	batchAdminSockets = 32
	batchStoreConns   = 16 // reserved for the store's files or connections

	defaultTargetMS       = 5
	defaultMaxWaitSeconds = 7 * 24 * 3600
	defaultEvents         = 16384
)

// Batch is the settings of the batch front. Nothing of it is used unless Enabled.
type Batch struct {
	Enabled          bool   `toml:"enabled"`
	Listen           string `toml:"listen"`
	MaxSockets       int    `toml:"sockets"`
	Store            string `toml:"store"`
	Source           string `toml:"source"`
	AdminListen      string `toml:"admin_listen"`
	AdminTokenSHA256 string `toml:"admin_token_sha256"`

	Slots          int `toml:"slots"`          // of its jobs in the core at once at most; 0: half of the connections to destinations
	TargetMS       int `toml:"target_ms"`      // the window's target of the queueing delay
	MaxWaitSeconds int `toml:"longest_wait_s"` // of a job without a deadline
	MaxEvents      int `toml:"events"`         // retained for each tenant

	AdminMaxSockets int `toml:"-"`
}

// NeedRestart returns the keys that differ in later settings and take effect at the next start
// alone.
func (b Batch) NeedRestart(later Batch) (keys []string) {
	for _, k := range []struct {
		name string
		same bool
	}{{"enabled", b.Enabled == later.Enabled}, {"listen", b.Listen == later.Listen}, {"sockets", b.MaxSockets == later.MaxSockets},
		{"store", b.Store == later.Store}, {"source", b.Source == later.Source}, {"admin_listen", b.AdminListen == later.AdminListen}} {
		if !k.same {
			keys = append(keys, k.name)
		}
	}
	return keys
}

var (
	errSourceMissing     = errors.New("source: missing")
	errAdminTokenInvalid = errors.New("admin_token_sha256: wants the 64 hexadecimal digits of the token's SHA-256")
)

// LoadBatch reads the batch front's file: the one that OSPREYBEND_BATCH names, or
// deploy/batch.toml. Without that file the front is off.
func LoadBatch(env func(string) string) (Batch, error) {
	path := firstNonEmpty(env("OSPREYBEND_BATCH"), batchFile)
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

// ParseBatch reads and validates the file's text.
func ParseBatch(text string) (Batch, error) {
	b := Batch{MaxSockets: batchSockets, AdminMaxSockets: batchAdminSockets, TargetMS: defaultTargetMS, MaxWaitSeconds: defaultMaxWaitSeconds, MaxEvents: defaultEvents}
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
	if err := checkAddress("listen", b.Listen); err != nil {
		return Batch{}, err
	}
	switch {
	case b.MaxSockets < batchAdminSockets || b.MaxSockets > 4096:
		return Batch{}, fmt.Errorf("sockets: %d, not from %d to 4096", b.MaxSockets, batchAdminSockets)
	case b.Store != "sqlite" && b.Store != "postgres":
		return Batch{}, fmt.Errorf("store: %q is neither sqlite nor postgres", b.Store)
	case b.Source == "":
		return Batch{}, errSourceMissing
	case b.Slots < 0 || b.Slots > 4096:
		return Batch{}, fmt.Errorf("slots: %d, not from 0 to 4096", b.Slots)
	case b.TargetMS < 1 || b.TargetMS > 10_000:
		return Batch{}, fmt.Errorf("target_ms: %d, not from 1 to 10000", b.TargetMS)
	case b.MaxWaitSeconds < 1 || b.MaxWaitSeconds > 366*24*3600:
		return Batch{}, fmt.Errorf("longest_wait_s: %d, not from 1 to a year's", b.MaxWaitSeconds)
	case b.MaxEvents < 16 || b.MaxEvents > 1<<20:
		return Batch{}, fmt.Errorf("events: %d, not from 16 to %d", b.MaxEvents, 1<<20)
	}
	if b.AdminListen == "" {
		return b, nil
	}
	if err := checkAddress("admin_listen", b.AdminListen); err != nil {
		return Batch{}, err
	}
	if _, err := hex.DecodeString(b.AdminTokenSHA256); err != nil || len(b.AdminTokenSHA256) != 64 {
		return Batch{}, errAdminTokenInvalid
	}
	return b, nil
}

// ReserveBatch reserves the batch front's descriptors out of the node's, and adds a second
// class for batch jobs to each request class. Its latency target is its time-out, since no client
// waits, and its value is 0, so that the balancer never delays a platform's request for a batch
// job. The rest, such as whether requests are idempotent, is the request class's.
func (n *Node) ReserveBatch(b Batch) error {
	if !b.Enabled {
		return nil
	}
	each := (b.MaxSockets + b.AdminMaxSockets + batchStoreConns + 1) / 2
	n.FrontMaxSockets -= each
	n.MaxDestinationConns -= each
	if min(n.FrontMaxSockets, n.MaxDestinationConns) < batchAdminSockets {
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
