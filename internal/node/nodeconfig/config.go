// Package nodeconfig reads the settings of a node, validates them and fills in defaults: the JSON
// file of the node itself (config.go), and the TOML files of the batch front (batch.go), the fleet
// (fleet.go) and the log (log.go). It also divides the node's descriptors and memory among its
// parts.
//
// Each error names the faulty key. Only the node's commands call the package, at the start and at a
// reload; nothing is read at other times.
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

// Some descriptors are available to neither clients nor destinations: those of the log, the
// listeners, the event loop, the pool config connection and UDP, and a second one for each
// connection that is being registered with the event loop, of which a small node has fewer.
const (
	maxReservedSockets    = 64
	baseReservedSockets   = 24
	reservedSocketDivisor = 16 // 1/reservedSocketDivisor of all is reserved in addition to baseReservedSockets
	adminSocketDivisor    = 12 // 1/adminSocketDivisor of all is reserved for operators
	minSockets            = 128
)

const (
	defaultMemoryMB       = 192
	defaultSockets        = 1024
	maxAdminSockets       = 24 // limit on the descriptors reserved for operators
	adminMaxBufferedBytes = 256 << 10
	minMemoryMB           = 32
	bufferedInputDivisor  = 8 // a front may buffer 1/bufferedInputDivisor of the memory limit
)

// Node holds the settings of a node, validated and with defaults filled in.
type Node struct {
	Name              string
	Listen            string
	Discovery         string
	Admin             string // address for operators; empty: none
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

	Classes, Tenants      map[string]int // index by name
	ClassNames            []string
	BatchClasses          map[string]int // index of the class for batch jobs by name of the request class; see ReserveBatch
	Zones, Kinds          []string
	ReportFields          []string
	FrontMaxSockets       int
	FrontMaxBufferedBytes int // limit on the unprocessed input of a front
	AdminMaxSockets       int
	AdminMaxBufferedBytes int
	MaxDestinationConns   int

	Fleet Fleet // see ReserveFleet

	flatSettings map[string]string // the key "settings" as flatten returns it
}

// configFile is the JSON form of the node's settings.
type configFile struct {
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
	errPathMissing       = errors.New("BALANCER_CONFIG: not set, want the path of the configuration file")
	errSettingsMissing   = errors.New("settings: missing")
	errSettingsNotObject = errors.New("settings: not a JSON object")
	errSettingsNoClasses = errors.New("settings: grades: empty, want at least one request class")
)

// Load reads the node's settings from the file that BALANCER_CONFIG names. Environment variables
// supply some keys that are absent from the file.
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

// Parse parses and validates the node's settings; see Load.
func Parse(text []byte, env func(string) string) (*Node, error) {
	var f configFile
	if err := json.Unmarshal(text, &f); err != nil {
		var mismatch *json.UnmarshalTypeError
		if errors.As(err, &mismatch) {
			return nil, fmt.Errorf("%s: got a %s, want %s", mismatch.Field, mismatch.Value, mismatch.Type)
		}
		return nil, fmt.Errorf("the configuration is not a JSON object: %w", err)
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

// KeysNeedingRestart returns the keys whose values differ in the later settings and that take effect only
// after a restart. Keys that differ at each start, such as the seed, are not among them.
func (n *Node) KeysNeedingRestart(later *Node) (keys []string) {
	for _, setting := range []struct {
		key      string
		old, new any
	}{
		{"name", n.Name, later.Name},
		{"listen", n.Listen, later.Listen},
		{"admin", n.Admin, later.Admin},
		{"limits.memory_mb", n.MemoryMB, later.MemoryMB},
		{"limits.sockets", n.Sockets, later.Sockets},
		{"peer_listen", n.PeerListen, later.PeerListen},
		{"peers", n.Peers, later.Peers},
		{"peers_all", n.PeersAll, later.PeersAll},
		{"settings", n.flatSettings, later.flatSettings},
	} {
		if !reflect.DeepEqual(setting.old, setting.new) {
			keys = append(keys, setting.key)
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

// validate checks the addresses, the seed and the limits, and sets the fields that follow from them.
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
			return fmt.Errorf("seed: %q is not a hexadecimal number of 64 bits", seed)
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
			return fmt.Errorf("admin: %q is also the value of listen, want a different address", n.Admin)
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

// divideLimits checks the limits on memory and descriptors, and divides them among the operators,
// the clients' side and the destinations' side.
func (n *Node) divideLimits() error {
	if n.MemoryMB == 0 {
		n.MemoryMB = defaultMemoryMB
	}
	if n.MemoryMB < minMemoryMB {
		return fmt.Errorf("limits.memory_mb: %d is too low, want at least %d", n.MemoryMB, minMemoryMB)
	}
	n.FrontMaxBufferedBytes = n.MemoryMB << 20 / bufferedInputDivisor
	if n.Sockets == 0 {
		n.Sockets = defaultSockets
	}
	if n.Sockets < minSockets {
		return fmt.Errorf("limits.sockets: %d is too low, want at least %d", n.Sockets, minSockets)
	}
	// Both sides get the same number, since a request in progress needs one connection on each.
	if n.Admin != "" {
		n.AdminMaxSockets = min(maxAdminSockets, n.Sockets/adminSocketDivisor)
	}
	rest := n.Sockets - min(maxReservedSockets, baseReservedSockets+n.Sockets/reservedSocketDivisor) - n.AdminMaxSockets
	n.FrontMaxSockets = rest / 2
	n.MaxDestinationConns = rest - n.FrontMaxSockets
	return nil
}

// checkAddress checks that the value of a key is an IP address and a port.
func checkAddress(key, value string) error {
	if _, err := netip.ParseAddrPort(value); err != nil {
		return fmt.Errorf("%s: %q is not an IP address and port", key, value)
	}
	return nil
}

// parseSettings parses the balancer's settings, and the names of classes, tenants, zones, kinds of
// workers and load report values in them.
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
		return errSettingsNotObject
	}
	flatten(values, "", tree)
	n.flatSettings = values
	s, err := simwire.SettingsOf(values)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	n.Settings = s
	n.Classes, n.ClassNames = indexByName(values, "grades", len(s.Classes))
	n.Tenants, _ = indexByName(values, "tenants", len(s.Tenants))
	n.Zones, n.Kinds = splitList(values["failureDomains"]), splitList(values["machineTypes"])
	if len(s.ReportFields) > 0 {
		n.ReportFields = splitList(values["report.fields"])
	}
	if len(s.Classes) == 0 {
		return errSettingsNoClasses
	}
	for i, c := range s.Classes {
		if c.Timeout <= 0 {
			return fmt.Errorf("settings: grades.%d.giveUpUs: missing or 0, want a number above 0", i)
		}
	}
	if s.Limits.ConnectTimeout <= 0 {
		n.Settings.Limits.ConnectTimeout = time.Second
	}
	return nil
}

// flatten puts the leaves of nested settings into values, under the names that they have on the
// simulator's wire: keys are joined by dots, lists of scalars by commas, and the elements of a list
// of objects are numbered, with their number under the key "count".
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
		scalars := make([]string, 0, len(value))
		for i, inner := range value {
			switch inner.(type) {
			case map[string]any, []any:
				flatten(values, join(strconv.Itoa(i)), inner)
			default:
				scalars = append(scalars, scalarText(inner))
			}
		}
		if len(scalars) == len(value) {
			values[prefix] = strings.Join(scalars, ",")
		}
		values[join("count")] = strconv.Itoa(len(value))
	default:
		values[prefix] = scalarText(value)
	}
}

// scalarText returns a JSON scalar in the form of the simulator's wire.
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

// splitList splits a list of scalars that flatten has joined.
func splitList(v string) []string {
	if v == "" {
		return nil
	}
	return strings.Split(v, ",")
}

// indexByName returns the index by name of the objects of a list, and their names in order.
func indexByName(values map[string]string, key string, count int) (map[string]int, []string) {
	indexes, names := map[string]int{}, make([]string, count)
	for i := range count {
		name := values[fmt.Sprintf("%s.%d.name", key, i)]
		names[i] = name
		indexes[name] = i
	}
	return indexes, names
}
