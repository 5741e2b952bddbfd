// Package nodeconfig is the one place where the node's configuration is read,
// checked and given defaults. Its messages name the faulty key.
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

// Descriptors that are not for fronts or destinations: the log, the listeners,
// the loop's own, the pool config's, UDP, and a second one for each connection
// just being taken over by the loop. A node of few has fewer of the last kind.
const (
	maxReservedSockets    = 64
	baseReservedSockets   = 24
	reservedSocketDivisor = 16 // past the few, one in so many
	adminSocketDivisor    = 12 // part of all that is set aside for operators, one in so many
	minSockets            = 128
)

const (
	defaultMemoryMB       = 192
	defaultSockets        = 1024
	maxAdminSockets       = 24 // most of the operators' address, set aside
	adminMaxBufferedBytes = 256 << 10
	minMemoryMB           = 32
	bufferedInputDivisor  = 8 // the part of the memory limit that a front's input may take is one in so many
)

// Node is all that the node is told.
type Node struct {
	Name              string
	Listen            string
	Discovery         string
	Admin             string // the operators' address; empty: none
	InheritedListener string // the descriptor of the clients' listening socket; empty: this process listens itself
	TmpDir            string // where the processes of one node meet; empty: nowhere
	Seed              uint64
	MemoryMB          int
	Sockets           int

	PeerListen string
	Peers      []string
	PeersAll   string

	CachedList protocol.EndpointList
	Settings   balance.Settings

	Classes, Tenants      map[string]int // numbers by name
	ClassNames            []string
	BatchClasses          map[string]int // the batch front's, by name; see Reserve
	Zones, Kinds          []string
	ReportFields          []string
	FrontMaxSockets       int
	FrontMaxBufferedBytes int // bytes of input that a front holds at most
	AdminMaxSockets       int
	AdminMaxBufferedBytes int
	MaxDestinationConns   int

	Fleet Fleet // that the node belongs to; see ReserveFleet

	flatSettings map[string]string // the settings, flat
}

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

// Load reads the configuration that the environment names. Single variables
// stand in for what the file leaves out.
func Load(env func(string) string) (*Node, error) {
	path := env("BALANCER_CONFIG")
	if path == "" {
		return nil, errors.New("BALANCER_CONFIG: not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("BALANCER_CONFIG: %w", err)
	}
	return Parse(text, env)
}

// Parse reads the configuration's text.
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

// NeedRestart names the keys in which another configuration differs and that
// take effect at a start alone. What each start is given anew is none of them.
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

func firstNonEmpty(first, second string) string {
	if first != "" {
		return first
	}
	return second
}

func (n *Node) validate(seed string) error {
	for _, a := range []struct{ key, value string }{{"listen", n.Listen}, {"discovery", n.Discovery}} {
		if err := checkAddress(a.key, a.value); err != nil {
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
		n.AdminMaxBufferedBytes = adminMaxBufferedBytes
	}
	if n.PeerListen != "" {
		if err := checkAddress("peer_listen", n.PeerListen); err != nil {
			return err
		}
	}
	if n.PeersAll != "" {
		if err := checkAddress("peers_all", n.PeersAll); err != nil {
			return err
		}
	}
	for i, p := range n.Peers {
		if err := checkAddress(fmt.Sprintf("peers.%d", i), p); err != nil {
			return err
		}
	}
	if seed != "" {
		v, err := strconv.ParseUint(seed, 16, 64)
		if err != nil {
			return fmt.Errorf("seed: %q is no hexadecimal number of 64 bits", seed)
		}
		n.Seed = v
	}
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
	// Clients keep their connections, one for each request in work; so do the
	// destinations' sides. Neither needs more than the other for long.
	if n.Admin != "" {
		n.AdminMaxSockets = min(maxAdminSockets, n.Sockets/adminSocketDivisor)
	}
	rest := n.Sockets - min(maxReservedSockets, baseReservedSockets+n.Sockets/reservedSocketDivisor) - n.AdminMaxSockets
	n.FrontMaxSockets = rest / 2
	n.MaxDestinationConns = rest - n.FrontMaxSockets
	return nil
}

func checkAddress(key, value string) error {
	if _, err := netip.ParseAddrPort(value); err != nil {
		return fmt.Errorf("%s: %q is no address and port", key, value)
	}
	return nil
}

func (n *Node) parseSettings(text json.RawMessage) error {
	if len(text) == 0 {
		return errors.New("settings: missing")
	}
	d := json.NewDecoder(bytes.NewReader(text))
	d.UseNumber()
	var tree any
	if err := d.Decode(&tree); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	values := map[string]string{}
	if _, ok := tree.(map[string]any); !ok {
		return errors.New("settings: no object")
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
	if len(s.Report) > 0 {
		n.ReportFields = splitList(values["report.fields"])
	}
	if len(s.Classes) == 0 {
		return errors.New("settings: grades: no class of requests")
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

// flatten names the leaves of nested settings as the simulator's wire does: keys
// joined by dots, lists of words joined by commas, lists of objects by number.
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

func splitList(v string) []string {
	if v == "" {
		return nil
	}
	return strings.Split(v, ",")
}

// numbersByName numbers the entries of a list of objects by their names.
func numbersByName(values map[string]string, key string, count int) (map[string]int, []string) {
	numbers, order := map[string]int{}, make([]string, count)
	for i := range count {
		name := values[fmt.Sprintf("%s.%d.name", key, i)]
		order[i] = name
		numbers[name] = i
	}
	return numbers, order
}
