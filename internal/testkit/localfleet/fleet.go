// Package localfleet runs a complete router fleet on loopback addresses of one machine: each process is a
// child of this one with a settings file and a data directory of its own. Demonstrations, whole-program
// tests and scale runs rest on it.
package localfleet

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"

	"github.com/rotisserie/eris"

	"ospreybend/internal/util/bootconfig"
)

// Ports that all machines of a local fleet use on their own loopback addresses.
const (
	portFront     = 21144
	portReadiness = 21140
	portControl   = 21146
	PortWorker    = 21080 // of fake workers
)

// Networks (third byte of the address) by class of machine.
const (
	networkServers = 1
	networkEdges   = 2
	networkWorkers = 3   // and those above
	networkHollow  = 100 // and those above: nodes that this process plays itself
)

const (
	zoneCount       = 3
	hostsPerNetwork = 250
	maxServers      = 16
	maxEdges        = 16
	maxSeeds        = 3 // of the servers' addresses in the settings
)

// Layout describes the size of a fleet and how its processes run.
type Layout struct {
	Binary    string // the fleet's program
	Directory string // settings files and data go below it
	Servers   int
	Edges     int // machines with a proxy and an agent each
	LogLevel  string
	Tolerance int // servers that may be lost at once; 0: as many as leave a majority
	Cores     int // that a process may use; 0: all of the machine's
	MemoryMb  int // in a process's settings; 0: the settings' default
}

// Fleet is a running fleet.
type Fleet struct {
	layout    Layout
	addresses *addressBlock
	mutex     sync.Mutex
	all       map[string]*Process // by role and node
	relays    []*relay
}

// ErrLayout is wrapped by the error of New for a layout that cannot be run.
var ErrLayout = eris.New("invalid layout of a local fleet")

// New prepares a fleet; nothing runs yet. StopAll releases its addresses.
func New(layout Layout) (*Fleet, error) {
	if layout.Servers < 1 || layout.Servers > maxServers || layout.Edges < 0 || layout.Edges > maxEdges {
		return nil, eris.Wrapf(ErrLayout, "%d servers of 1 to %d, %d edges of at most %d", layout.Servers, maxServers, layout.Edges, maxEdges)
	}
	reserved, err := reserve()
	if err != nil {
		return nil, err
	}
	return &Fleet{layout: layout, addresses: reserved, all: map[string]*Process{}}, nil
}

// Zone names the zone of the i-th machine of a class.
func Zone(i int) string { return fmt.Sprintf("zone-%d", i%zoneCount+1) }

func (f *Fleet) address(network, host int) string {
	return fmt.Sprintf("127.%d.%d.%d", f.addresses.network(), network, host+1)
}

// Control returns the control addresses of all servers.
func (f *Fleet) Control() []string {
	addresses := make([]string, f.layout.Servers)
	for i := range addresses {
		addresses[i] = fmt.Sprintf("%s:%d", f.address(networkServers, i), portControl)
	}
	return addresses
}

// Front returns the address at which the i-th edge's proxy accepts clients.
func (f *Fleet) Front(i int) string {
	return fmt.Sprintf("%s:%d", f.address(networkEdges, i), portFront)
}

// Readiness returns the address of the i-th edge's readiness check.
func (f *Fleet) Readiness(i int) string {
	return fmt.Sprintf("%s:%d", f.address(networkEdges, i), portReadiness)
}

// Worker returns the address for the i-th fake worker.
func (f *Fleet) Worker(i int) string {
	return fmt.Sprintf("%s:%d", f.address(networkWorkers+i/hostsPerNetwork, i%hostsPerNetwork), PortWorker)
}

// HollowIP returns the IP of the i-th node that is played without processes of its own.
func (f *Fleet) HollowIP(i int) string {
	return f.address(networkHollow+i/hostsPerNetwork, i%hostsPerNetwork)
}

// EdgeIP returns the IP of the i-th edge.
func (f *Fleet) EdgeIP(i int) string { return f.address(networkEdges, i) }

// PortRange returns the port range of the servers and of the first edge.
func (f *Fleet) PortRange() [2]int { return f.addresses.ports(0) }

// Peers returns the addresses at which servers accept each other and agents.
func (f *Fleet) Peers() []string {
	addresses := make([]string, f.layout.Servers)
	for i := range addresses {
		addresses[i] = fmt.Sprintf("%s:%d", f.address(networkServers, i), f.addresses.ports(0)[0])
	}
	return addresses
}

// StartServer starts the i-th server. bootstrap is true at the fleet's first start only.
func (f *Fleet) StartServer(i int, bootstrap bool) (*Process, error) {
	settings := f.baseSettings(networkServers, i, roleControlPlane, bootstrap)
	settings.Listen.Control = fmt.Sprintf("%s:%d", settings.IP, portControl)
	settings.MachineClass, settings.CountsForQuorum = "core", true
	settings.DataDir = f.dataDirectory(i)
	return f.start(settings)
}

// WipeServer removes what the i-th server, which must have ended, has on its disk.
func (f *Fleet) WipeServer(i int) error {
	return eris.Wrap(os.RemoveAll(f.dataDirectory(i)), "wipe")
}

// dataDirectory returns the data directory of the i-th server.
func (f *Fleet) dataDirectory(i int) string {
	return filepath.Join(f.layout.Directory, nodeName(networkServers, i), "data")
}

// StartAgent starts the agent of the i-th edge.
func (f *Fleet) StartAgent(i int) (*Process, error) {
	if err := f.openRelays(i); err != nil {
		return nil, err
	}
	settings := f.baseSettings(networkEdges, i, "agent", false)
	settings.PortRange = f.addresses.ports(i)
	return f.start(settings)
}

// StartProxy starts the proxy of the i-th edge.
func (f *Fleet) StartProxy(i int) (*Process, error) {
	settings := f.baseSettings(networkEdges, i, "proxy", false)
	settings.Listen.Front, settings.Listen.Readiness = f.Front(i), f.Readiness(i)
	settings.PortRange = f.addresses.ports(i)
	return f.start(settings)
}

// StartAll starts all processes of a new fleet.
func (f *Fleet) StartAll() error {
	for i := range f.layout.Servers {
		if _, err := f.StartServer(i, true); err != nil {
			return err
		}
	}
	for i := range f.layout.Edges {
		if _, err := f.StartAgent(i); err != nil {
			return err
		}
		if _, err := f.StartProxy(i); err != nil {
			return err
		}
	}
	return nil
}

func nodeName(network, i int) string { return fmt.Sprintf("machine-%d-%d", network, i+1) }

// baseSettings returns the settings that all roles have.
func (f *Fleet) baseSettings(network, index int, role string, bootstrap bool) bootconfig.Settings {
	settings := bootconfig.Defaults()
	settings.Role, settings.IP, settings.Zone, settings.Region = role, f.address(network, index), Zone(index), "local"
	settings.NodeName = nodeName(network, index)
	settings.MachineClass = "edge"
	settings.Zones = map[string]string{}
	for zone := range zoneCount {
		settings.Zones[Zone(zone)] = "local"
	}
	settings.PortRange = f.addresses.ports(0)
	settings.Seeds = f.Control()[:min(maxSeeds, f.layout.Servers)]
	settings.Bootstrap = bootstrap
	if f.layout.MemoryMb > 0 {
		settings.Limits.MemoryMb = f.layout.MemoryMb
	}
	settings.FaultTolerance.Machines = f.layout.Tolerance
	if f.layout.Tolerance == 0 {
		settings.FaultTolerance.Machines = (f.layout.Servers - 1) / 2
	}
	return settings
}

// roleControlPlane is the role of control plane servers in the settings.
const roleControlPlane = "controlplane"

// subcommand returns the sub-command of inference-router that runs a role.
func subcommand(role string) string {
	if role == roleControlPlane {
		return "control-plane"
	}
	return role
}

// start writes a process's settings and starts it.
func (f *Fleet) start(settings bootconfig.Settings) (*Process, error) {
	directory := filepath.Join(f.layout.Directory, settings.NodeName)
	if err := os.MkdirAll(filepath.Join(directory, "data"), 0o755); err != nil {
		return nil, eris.Wrap(err, "directory")
	}
	content, err := json.Marshal(settings)
	if err != nil {
		return nil, eris.Wrap(err, "settings")
	}
	path := filepath.Join(directory, settings.Role+".json")
	if err := os.WriteFile(path, content, 0o644); err != nil {
		return nil, eris.Wrap(err, "settings")
	}
	log, err := os.OpenFile(filepath.Join(directory, settings.Role+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, eris.Wrap(err, "log")
	}
	defer log.Close()
	command := exec.Command(f.layout.Binary, subcommand(settings.Role), "--settings", path)
	if f.layout.LogLevel != "" {
		command.Args = append(command.Args, "--log-level", f.layout.LogLevel)
	}
	if f.layout.Cores > 0 {
		command.Env = append(os.Environ(), fmt.Sprintf("GOMAXPROCS=%d", f.layout.Cores))
	}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return nil, eris.Wrapf(err, "start of %s", settings.Role)
	}
	return f.watch(settings, command), nil
}
