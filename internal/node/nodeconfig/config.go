// Package nodeconfig reads, validates and completes the node's settings: the node's own JSON
// file (config.go), and the TOML files of the batch front (batch.go), the fleet (fleet.go) and
// the log (log.go). It also divides the node's descriptors and memory among its parts.
//
// Each error names the faulty key. The node's command is the caller; nothing is read later.
package nodeconfig

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"strconv"
	"strings"
	"time"

	"ospreybend/balance"
	"ospreybend/internal/node/protocol"
	"ospreybend/internal/node/simwire"
)

// Descriptors that are reserved for neither clients nor destinations: the log, the listeners,
// the loop's own, the pool config's, UDP, and a second one for each connection that is just
// being registered with the loop, of which a small node has fewer.
const (
	maxReservedSockets    = 64
	baseReservedSockets   = 24
	reservedSocketDivisor = 16 // one in so many, beyond baseReservedSockets
	adminSocketDivisor    = 12 // one in so many is reserved for operators
	minSockets            = 128
)

const (
	defaultMemoryMB       = 192
	defaultSockets        = 1024
	maxAdminSockets       = 24 // reserved for the operators' address at most
	adminMaxBufferedBytes = 256 << 10
	minMemoryMB           = 32
	bufferedInputDivisor  = 8 // a front may buffer 1/bufferedInputDivisor of the memory limit
)

// Node is the node's settings, validated and completed.
type Node struct {
	Name              string
	Listen            string
	Discovery         string
	Admin             string // the operators' address; empty: none
	InheritedListener string // descriptor number of the clients' listening socket; empty: this process listens itself
	TmpDir            string // shared by the processes of one node (package hotrestart); empty: none
	Seed              uint64
	MemoryMB          int
	Sockets           int

	PeerListen string
	Peers      []string
	PeersAll   string

	CachedList protocol.EndpointList
	Settings   balance.Settings

	Classes, Tenants      map[string]int // number by name
	ClassNames            []string
	BatchClasses          map[string]int // the batch front's, by name; see ReserveBatch
	Zones, Kinds          []string
	ReportFields          []string
	FrontMaxSockets       int
	FrontMaxBufferedBytes int // of a front's unprocessed input
	AdminMaxSockets       int
	AdminMaxBufferedBytes int
	MaxDestinationConns   int

	Fleet Fleet // see ReserveFleet

	flatSettings map[string]string // "settings", see flatten
}

// file is the JSON form of the node's settings.
type file struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Admin     string `json:"admin"`
	Seed      string `json:"seed"`
	Limits    struct {
		MemoryMB float64 `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	PeerListen string                `json:"peer_listen"`
	Peers      []string              `json:"peers"`
	PeersAll   string                `json:"peers_all"`
	Known      protocol.EndpointList `json:"known"`
	Settings   json.RawMessage       `json:"settings"`
}

var (
	errPathMissing       = errors.New("BALANCER_CONFIG: not set")
	errSettingsMissing   = errors.New("settings: missing")
	errSettingsNoObject  = errors.New("settings: no object")
	errSettingsNoClasses = errors.New("settings: grades: no class of requests")
)

// Load reads the file that BALANCER_CONFIG names. Environment variables replace some keys that
// the file lacks.
func Load(env func(string) string) (*Node, error) {
	path := env("BALANCER_CONFIG")
	if path == "" {
		return nil, errPathMissing
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("BALANCER_CONFIG: %w", err)
	}
	return Parse(text, env)
}

// Parse reads and validates the file's text.
func Parse(text []byte, env func(string) string) (*Node, error) {
	var f file
	if err := json.Unmarshal(text, &f); err != nil {
		var kind *json.UnmarshalTypeError
		if errors.As(err, &kind) {
			return nil, fmt.Errorf("%s: a %s where %s is wanted", kind.Field, kind.Value, kind.Type)
		}
		return nil, fmt.Errorf("the configuration is no JSON object: %w", err)
	}
	n := &Node{Name: firstNonEmpty(f.Name, env("BALANCER_NAME")), Listen: firstNonEmpty(f.Listen, env("BALANCER_LISTEN")),
		Discovery: firstNonEmpty(f.Discovery, env("BALANCER_DISCOVERY")), MemoryMB: int(f.Limits.MemoryMB),
		Admin: firstNonEmpty(f.Admin, env("BALANCER_ADMIN")), InheritedListener: env("BALANCER_INHERITED_FD"), TmpDir: env("TMPDIR"),
		Sockets: f.Limits.Sockets, PeerListen: f.PeerListen, Peers: f.Peers, PeersAll: f.PeersAll, CachedList: f.Known}
	if err := n.validate(f.Seed); err != nil {
		return nil, err
	}
	if err := n.parseSettings(f.Settings); err != nil {
		return nil, err
	}
	return n, nil
}

// NeedRestart returns the keys in which other settings differ and that take effect at a start
// alone. Keys that are different at each start, as the seed, are not among them.
func (n *Node) NeedRestart(other *Node) (keys []string) {
	for _, c := range []struct {
		key       string
		old, read any
	}{
		{"name", n.Name, other.Name},
		{"listen", n.Listen, other.Listen},
		{"admin", n.Admin, other.Admin},
		{"limits.memory_mb", n.MemoryMB, other.MemoryMB},
		{"limits.sockets", n.Sockets, other.Sockets},
		{"peer_listen", n.PeerListen, other.PeerListen},
		{"peers", n.Peers, other.Peers},
		{"peers_all", n.PeersAll, other.PeersAll},
		{"settings", n.flatSettings, other.flatSettings},
	} {
		if !reflect.DeepEqual(c.old, c.read) {
			keys = append(keys, c.key)
		}
	}
	return keys
}

// firstNonEmpty returns first, or second if that is empty.
func firstNonEmpty(first, second string) string {
	if first != "" {
		return first
	}
	return second
}

// validate checks the addresses, the seed and the limits, and completes the node from them.
func (n *Node) validate(seed string) error {
	if err := n.checkAddresses(); err != nil {
		return err
	}
	if n.Admin != "" {
		n.AdminMaxBufferedBytes = adminMaxBufferedBytes
	}
	if seed != "" {
		v, err := strconv.ParseUint(seed, 16, 64)
		if err != nil {
			return fmt.Errorf("seed: %q is no hexadecimal number of 64 bits", seed)
		}
		n.Seed = v
	}
	return n.divideLimits()
}

// checkAddresses checks all addresses of the node.
func (n *Node) checkAddresses() error {
	for _, required := range []struct{ key, value string }{{"listen", n.Listen}, {"discovery", n.Discovery}} {
		if err := checkAddress(required.key, required.value); err != nil {
			return err
		}
	}
	if n.Admin != "" {
		if err := checkAddress("admin", n.Admin); err != nil {
			return err
		}
		if n.Admin == n.Listen {
			return fmt.Errorf("admin: %q is the clients' address", n.Admin)
		}
	}
	for _, optional := range []struct{ key, value string }{{"peer_listen", n.PeerListen}, {"peers_all", n.PeersAll}} {
		if optional.value == "" {
			continue
		}
		if err := checkAddress(optional.key, optional.value); err != nil {
			return err
		}
	}
	for i, peer := range n.Peers {
		if err := checkAddress(fmt.Sprintf("peers.%d", i), peer); err != nil {
			return err
		}
	}
	return nil
}

// divideLimits checks the limits of memory and descriptors, and divides them between the
// operators, the clients' side and the destinations' side.
func (n *Node) divideLimits() error {
	if n.MemoryMB == 0 {
		n.MemoryMB = defaultMemoryMB
	}
	if n.MemoryMB < minMemoryMB {
		return fmt.Errorf("limits.memory_mb: %d, at least %d are needed", n.MemoryMB, minMemoryMB)
	}
	n.FrontMaxBufferedBytes = n.MemoryMB << 20 / bufferedInputDivisor
	if n.Sockets == 0 {
		n.Sockets = defaultSockets
	}
	if n.Sockets < minSockets {
		return fmt.Errorf("limits.sockets: %d, at least %d are needed", n.Sockets, minSockets)
	}
	// A request in progress needs one connection on either side, so that both get as many.
	if n.Admin != "" {
		n.AdminMaxSockets = min(maxAdminSockets, n.Sockets/adminSocketDivisor)
	}
	rest := n.Sockets - min(maxReservedSockets, baseReservedSockets+n.Sockets/reservedSocketDivisor) - n.AdminMaxSockets
	n.FrontMaxSockets = rest / 2
	n.MaxDestinationConns = rest - n.FrontMaxSockets
	return nil
}

// checkAddress checks that a key's value is an IP address and port.
func checkAddress(key, value string) error {
	if _, err := netip.ParseAddrPort(value); err != nil {
		return fmt.Errorf("%s: %q is no address and port", key, value)
	}
	return nil
}

// parseSettings reads the balancer's settings, and the names in them.
func (n *Node) parseSettings(text json.RawMessage) error {
	if len(text) == 0 {
		return errSettingsMissing
	}
	d := json.NewDecoder(bytes.NewReader(text))
	d.UseNumber()
	var tree any
	if err := d.Decode(&tree); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	values := map[string]string{}
	if _, ok := tree.(map[string]any); !ok {
		return errSettingsNoObject
	}
	flatten(values, "", tree)
	n.flatSettings = values
	s, err := simwire.SettingsOf(values)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	n.Settings = s
	n.Classes, n.ClassNames = numbersByName(values, "grades", len(s.Classes))
	n.Tenants, _ = numbersByName(values, "tenants", len(s.Tenants))
	n.Zones, n.Kinds = splitList(values["failureDomains"]), splitList(values["machineTypes"])
	if len(s.ReportFields) > 0 {
		n.ReportFields = splitList(values["report.fields"])
	}
	if len(s.Classes) == 0 {
		return errSettingsNoClasses
	}
	for i, c := range s.Classes {
		if c.Timeout <= 0 {
			return fmt.Errorf("settings: grades.%d.giveUpUs: not above 0", i)
		}
	}
	if s.Limits.ConnectTimeout <= 0 {
		n.Settings.Limits.ConnectTimeout = time.Second
	}
	return nil
}

// flatten puts the leaves of nested settings into values, named as on the simulator's wire: keys
// are joined by dots, lists of scalars by commas, and elements of lists of objects are numbered.
func flatten(values map[string]string, prefix string, value any) {
	join := func(key string) string {
		if prefix == "" {
			return key
		}
		return prefix + "." + key
	}
	switch value := value.(type) {
	case map[string]any:
		for k, inner := range value {
			flatten(values, join(k), inner)
		}
	case []any:
		words := make([]string, 0, len(value))
		for i, inner := range value {
			switch inner.(type) {
			case map[string]any, []any:
				flatten(values, join(strconv.Itoa(i)), inner)
			default:
				words = append(words, scalarText(inner))
			}
		}
		if len(words) == len(value) {
			values[prefix] = strings.Join(words, ",")
		}
		values[join("count")] = strconv.Itoa(len(value))
	default:
		values[prefix] = scalarText(value)
	}
}

// scalarText returns a JSON scalar as the simulator's wire has it.
func scalarText(v any) string {
	switch v := v.(type) {
	case nil:
		return ""
	case string:
		return v
	case json.Number:
		return v.String()
	case bool:
		return strconv.FormatBool(v)
	}
	return fmt.Sprint(v)
}

// splitList splits a list of scalars; see flatten.
func splitList(v string) []string {
	if v == "" {
		return nil
	}
	return strings.Split(v, ",")
}

// numbersByName returns the numbers of a list's objects by their names, and the names in order.
func numbersByName(values map[string]string, key string, count int) (map[string]int, []string) {
	numbers, order := map[string]int{}, make([]string, count)
	for i := range count {
		name := values[fmt.Sprintf("%s.%d.name", key, i)]
		order[i] = name
		numbers[name] = i
	}
	return numbers, order
}
