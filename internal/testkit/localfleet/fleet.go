// Package localfleet runs a complete router fleet on loopback addresses of one machine. Each fleet process is a
// child process with its own settings file and data directory. The demo, end-to-end tests and scale measurements
// use it.
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
	PortWorker    = 21080 // fake workers
)

// Third byte of the IP address by machine class.
const (
	networkServers = 1
	networkEdges   = 2
	networkWorkers = 3   // and up, hostsPerNetwork workers each
	networkHollow  = 100 // and up: hollow nodes, which run inside the calling process
)

const (
	zoneCount       = 3
	hostsPerNetwork = 250
	maxServers      = 16
	maxEdges        = 16
	maxSeeds        = 3 // server addresses listed as seeds in the settings
)

// Layout describes the size of a fleet and the options of its processes.
type Layout struct {
	Binary    string // path of the fleet's executable
	Directory string // parent of settings files, logs and data
	Servers   int
	Edges     int // machines with a proxy and an agent each
	LogLevel  string
	Tolerance int // servers that may fail at the same time; 0: the most that leave a majority
	Cores     int // CPU cores per process (GOMAXPROCS); 0: all of the machine's
	MemoryMb  int // memory limit in each process's settings; 0: the default of the settings
}

// Fleet is a running fleet.
type Fleet struct {
	layout    Layout
	addresses *addressBlock
	mutex     sync.Mutex
	processes map[string]*Process // latest process by role and node name
	relays    []*relay
}

// ErrLayout is wrapped by the error that New returns for an invalid layout.
var ErrLayout = eris.New("invalid layout of a local fleet")

// New reserves addresses for a fleet without starting any process. StopAll and KillAll release them.
func New(layout Layout) (*Fleet, error) {
	if layout.Servers < 1 || layout.Servers > maxServers || layout.Edges < 0 || layout.Edges > maxEdges {
		return nil, eris.Wrapf(ErrLayout, "%d servers, want 1 to %d; %d edges, want 0 to %d", layout.Servers, maxServers, layout.Edges, maxEdges)
	}
	reserved, err := reserveBlock()
	if err != nil {
		return nil, err
	}
	return &Fleet{layout: layout, addresses: reserved, processes: map[string]*Process{}}, nil
}

// Zone returns the zone name of the i-th machine of a class.
func Zone(i int) string { return fmt.Sprintf("zone-%d", i%zoneCount+1) }

func (f *Fleet) address(network, host int) string {
	return fmt.Sprintf("127.%d.%d.%d", f.addresses.network(), network, host+1)
}

// ControlAddresses returns the addresses of the servers' control API.
func (f *Fleet) ControlAddresses() []string {
	addresses := make([]string, f.layout.Servers)
	for i := range addresses {
		addresses[i] = fmt.Sprintf("%s:%d", f.address(networkServers, i), portControl)
	}
	return addresses
}

// ProxyAddress returns the address at which the i-th edge's proxy accepts clients.
func (f *Fleet) ProxyAddress(i int) string {
	return fmt.Sprintf("%s:%d", f.address(networkEdges, i), portFront)
}

// ReadinessAddress returns the address of the i-th edge's readiness check.
func (f *Fleet) ReadinessAddress(i int) string {
	return fmt.Sprintf("%s:%d", f.address(networkEdges, i), portReadiness)
}

// WorkerAddress returns the address of the i-th fake worker.
func (f *Fleet) WorkerAddress(i int) string {
	return fmt.Sprintf("%s:%d", f.address(networkWorkers+i/hostsPerNetwork, i%hostsPerNetwork), PortWorker)
}

// HollowIP returns the IP of the i-th hollow node, which has no processes of its own.
func (f *Fleet) HollowIP(i int) string {
	return f.address(networkHollow+i/hostsPerNetwork, i%hostsPerNetwork)
}

// EdgeIP returns the IP of the i-th edge.
func (f *Fleet) EdgeIP(i int) string { return f.address(networkEdges, i) }

// PortRange returns the port range of the servers and of the first edge.
func (f *Fleet) PortRange() [2]int { return f.addresses.ports(0) }

// PeerAddresses returns the addresses at which servers accept connections from other servers and from agents.
func (f *Fleet) PeerAddresses() []string {
	addresses := make([]string, f.layout.Servers)
	for i := range addresses {
		addresses[i] = fmt.Sprintf("%s:%d", f.address(networkServers, i), f.addresses.ports(0)[0])
	}
	return addresses
}

// StartServer starts the i-th server. bootstrap must be true only at the fleet's first start.
func (f *Fleet) StartServer(i int, bootstrap bool) (*Process, error) {
	settings := f.baseSettings(networkServers, i, roleControlPlane, bootstrap)
	settings.Listen.Control = fmt.Sprintf("%s:%d", settings.IP, portControl)
	settings.MachineClass, settings.CountsForQuorum = "core", true
	settings.DataDir = f.dataDirectory(i)
	return f.start(settings)
}

// WipeServer deletes the data directory of the i-th server, whose process must have ended.
func (f *Fleet) WipeServer(i int) error {
	return eris.Wrap(os.RemoveAll(f.dataDirectory(i)), "remove data directory")
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
	settings.Listen.Front, settings.Listen.Readiness = f.ProxyAddress(i), f.ReadinessAddress(i)
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

// baseSettings returns the settings common to all roles.
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
	settings.Seeds = f.ControlAddresses()[:min(maxSeeds, f.layout.Servers)]
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

// subcommand returns the subcommand of inference-router that runs a role.
func subcommand(role string) string {
	if role == roleControlPlane {
		return "control-plane"
	}
	return role
}

// start writes the settings file of a process and starts it.
func (f *Fleet) start(settings bootconfig.Settings) (*Process, error) {
	directory := filepath.Join(f.layout.Directory, settings.NodeName)
	if err := os.MkdirAll(filepath.Join(directory, "data"), 0o755); err != nil {
		return nil, eris.Wrap(err, "create process directory")
	}
	content, err := json.Marshal(settings)
	if err != nil {
		return nil, eris.Wrap(err, "encode settings")
	}
	path := filepath.Join(directory, settings.Role+".json")
	if err := os.WriteFile(path, content, 0o644); err != nil {
		return nil, eris.Wrap(err, "write settings file")
	}
	log, err := os.OpenFile(filepath.Join(directory, settings.Role+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, eris.Wrap(err, "open log file")
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
		return nil, eris.Wrapf(err, "start %s process", settings.Role)
	}
	return f.watch(settings, command), nil
}
