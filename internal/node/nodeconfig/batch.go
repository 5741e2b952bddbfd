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
	defaultBatchFile    = "deploy/batch.toml"
	defaultBatchSockets = 64
	batchAdminSockets   = 32
	reservedStoreConns  = 16 // descriptors for the store's files or connections

	// minFrontSockets is the least number of descriptors that the batch front, the clients' side and
	// the destinations' side each need.
	minFrontSockets = 32

	defaultTargetMS       = 5
	defaultMaxWaitSeconds = 7 * 24 * 3600
	defaultMaxEvents      = 16384
)

// Batch holds the settings of the batch front. The other fields are used only if Enabled is set.
type Batch struct {
	Enabled          bool   `toml:"enabled"`
	Listen           string `toml:"listen"`
	MaxSockets       int    `toml:"sockets"`
	Store            string `toml:"store"`  // kind of the store of record: sqlite or postgres
	Source           string `toml:"source"` // its file (sqlite) or connection string (postgres)
	AdminListen      string `toml:"admin_listen"`
	AdminTokenSHA256 string `toml:"admin_token_sha256"`

	Slots          int `toml:"slots"`          // limit on the batch jobs in the core at once; 0: half of the connections to destinations
	TargetMS       int `toml:"target_ms"`      // queueing delay at the workers that the dispatch window aims at
	MaxWaitSeconds int `toml:"longest_wait_s"` // longest wait of a job without a deadline
	MaxEvents      int `toml:"events"`         // number of events retained for each tenant

	AdminMaxSockets int `toml:"-"`
}

// KeysNeedingRestart returns the keys whose values differ in the later settings and that take effect only
// after a restart.
func (b Batch) KeysNeedingRestart(later Batch) (keys []string) {
	for _, setting := range []struct {
		key  string
		same bool
	}{{"enabled", b.Enabled == later.Enabled}, {"listen", b.Listen == later.Listen}, {"sockets", b.MaxSockets == later.MaxSockets},
		{"store", b.Store == later.Store}, {"source", b.Source == later.Source}, {"admin_listen", b.AdminListen == later.AdminListen}} {
		if !setting.same {
			keys = append(keys, setting.key)
		}
	}
	return keys
}

var (
	errSourceMissing     = errors.New("source: missing, want the file or connection string of the store")
	errAdminTokenInvalid = errors.New("admin_token_sha256: want the 64 hexadecimal digits of the token's SHA-256")
)

// LoadBatch reads the settings of the batch front from the file that OSPREYBEND_BATCH names, or
// else from deploy/batch.toml. The batch front is disabled if the latter does not exist.
func LoadBatch(env func(string) string) (Batch, error) {
	path := firstNonEmpty(env("OSPREYBEND_BATCH"), defaultBatchFile)
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

// ParseBatch parses and validates the settings of the batch front.
func ParseBatch(text string) (Batch, error) {
	b := Batch{MaxSockets: defaultBatchSockets, AdminMaxSockets: batchAdminSockets, TargetMS: defaultTargetMS, MaxWaitSeconds: defaultMaxWaitSeconds, MaxEvents: defaultMaxEvents}
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
	case b.MaxSockets < minFrontSockets || b.MaxSockets > 4096:
		return Batch{}, fmt.Errorf("sockets: %d is out of range, want %d to 4096", b.MaxSockets, minFrontSockets)
	case b.Store != "sqlite" && b.Store != "postgres":
		return Batch{}, fmt.Errorf("store: %q is neither sqlite nor postgres", b.Store)
	case b.Source == "":
		return Batch{}, errSourceMissing
	case b.Slots < 0 || b.Slots > 4096:
		return Batch{}, fmt.Errorf("slots: %d is out of range, want 0 to 4096", b.Slots)
	case b.TargetMS < 1 || b.TargetMS > 10_000:
		return Batch{}, fmt.Errorf("target_ms: %d is out of range, want 1 to 10000", b.TargetMS)
	case b.MaxWaitSeconds < 1 || b.MaxWaitSeconds > 366*24*3600:
		return Batch{}, fmt.Errorf("longest_wait_s: %d is out of range, want 1 to %d", b.MaxWaitSeconds, 366*24*3600)
	case b.MaxEvents < 16 || b.MaxEvents > 1<<20:
		return Batch{}, fmt.Errorf("events: %d is out of range, want 16 to %d", b.MaxEvents, 1<<20)
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

// ReserveBatch reserves some of the node's descriptors for the batch front, and adds a class for
// batch jobs for each request class. Its latency target is its timeout, since no client waits for
// the response, and its value is 0, so that the balancer never delays a request of the platform for
// a batch job. Its other properties, such as idempotence, are those of the request class.
func (n *Node) ReserveBatch(b Batch) error {
	if !b.Enabled {
		return nil
	}
	perSide := (b.MaxSockets + b.AdminMaxSockets + reservedStoreConns + 1) / 2
	n.FrontMaxSockets -= perSide
	n.MaxDestinationConns -= perSide
	if min(n.FrontMaxSockets, n.MaxDestinationConns) < minFrontSockets {
		return fmt.Errorf("limits.sockets: %d are too few, since the batch front reserves %d of them", n.Sockets, 2*perSide)
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
