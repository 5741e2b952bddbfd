package controlplanesim

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"ospreybend/coord/consensus"
	"ospreybend/coord/replica"
	"ospreybend/internal/controlplane/server"
	"ospreybend/internal/testkit/controlplanesim/simnet"
	"ospreybend/internal/util/bootconfig"
)

// machine is a machine of the core, with its disk and the server that runs on it.
type machine struct {
	simulation *simulation
	slot       int
	ip         string
	disk       *machineDisk

	mutex    sync.Mutex
	running  *serverProcess // nil: not started, or down
	starts   int
	memberID consensus.MemberID // of the current disk, as reported by the last server
	retired  bool               // replaced by another machine in its slot
	callers  time.Duration      // for how long callers use open connections once the API shuts down
}

// serverProcess is one run of a machine's server process.
type serverProcess struct {
	process *simnet.Process
	stop    context.CancelFunc // shuts down as on SIGTERM
	ended   chan struct{}      // closed when the server has stopped completely
	server  *server.Server     // nil until opened
	serving bool               // the API accepts calls
	changes chan bootconfig.Settings
}

// settings returns the server's settings for one start.
func (m *machine) settings(seeds []string, bootstrap bool) bootconfig.Settings {
	config := bootconfig.Defaults()
	config.NodeName = m.nodeName()
	config.IP, config.Zone, config.Region = m.ip, "zone", "region"
	config.PortRange = [2]int{peerPort, peerPort + 15}
	config.Listen.Control = controlAddress(m.ip)
	config.Seeds, config.Bootstrap = seeds, bootstrap
	config.DataDir = "/data"
	config.HeartbeatMs = int(heartbeatInterval / time.Millisecond)
	config.FaultTolerance.Machines = m.simulation.schedule.Tolerance
	return config
}

func (m *machine) nodeName() string { return "core-" + m.ip }

// start starts a server unless one is running or another machine has taken the slot.
func (m *machine) start(seeds []string, bootstrap bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.running != nil || m.retired {
		return
	}
	m.starts++
	m.simulation.network.SetPower(m.ip, true)
	ctx, cancel := context.WithCancel(context.Background())
	incarnation := &serverProcess{process: m.simulation.network.NewProcess(m.ip), stop: cancel, ended: make(chan struct{}), changes: make(chan bootconfig.Settings, 1)}
	m.running = incarnation
	environment := m.environment(incarnation, m.starts)
	config := m.settings(seeds, bootstrap)
	m.simulation.goroutines.Go(func() {
		defer close(incarnation.ended)
		defer cancel()
		m.run(ctx, incarnation, config, environment)
	})
}

func (m *machine) environment(incarnation *serverProcess, start int) server.Environment {
	sim := m.simulation
	return server.Environment{
		FileSystem:      processDisk{disk: m.disk, process: incarnation.process, onSync: func() { sim.notifySync(m) }},
		Now:             incarnation.process.Now,
		Random:          sim.sharedRandom("keeper "+m.ip, start),
		Dial:            incarnation.process.Dial,
		Listen:          incarnation.process.Listen,
		Workers:         m.workers(incarnation.process),
		BeforeApply:     sim.chargeApply,
		SettingsChanges: incarnation.changes,
		OnGroupStatus:   func(status replica.Status) { sim.recorder.observe(m, status) },
		SnapshotEntries: uint64(sim.schedule.SnapshotEntries), RememberedChanges: sim.schedule.RememberedChanges,
		OmitGuards: sim.omissions.server, OmitConsensusRules: sim.omissions.consensus, OmitConfigurationRules: sim.omissions.configuration,
	}
}

// run opens the server and serves until its process ends.
func (m *machine) run(ctx context.Context, incarnation *serverProcess, config bootconfig.Settings, environment server.Environment) {
	opened, err := server.Open(ctx, config, environment, m.simulation.log.With(zap.String("machine", m.ip)))
	if err == nil {
		m.mutex.Lock()
		incarnation.server, m.memberID = opened, opened.Self().ID
		m.mutex.Unlock()
		m.simulation.recorder.addMember(opened.Self().ID, m)
		err = opened.Serve(ctx, &apiServer{machine: m, incarnation: incarnation, stop: make(chan struct{})})
		opened.Close()
	}
	if !incarnation.process.Dead() && ctx.Err() == nil {
		m.simulation.recorder.addFailure("the server of " + m.ip + " exited unexpectedly: " + errorText(err))
	}
	incarnation.process.Kill()
	m.processEnded(incarnation)
}

func errorText(err error) string {
	if err == nil {
		return "no error"
	}
	return err.Error()
}

// processEnded marks the machine as down if the ended process was its current one.
func (m *machine) processEnded(incarnation *serverProcess) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.running == incarnation {
		m.running = nil
	}
}

// detachProcess detaches the running process, so that another can be started, and returns it; nil if none is running.
func (m *machine) detachProcess() *serverProcess {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	incarnation := m.running
	m.running = nil
	if incarnation != nil {
		incarnation.serving = false
	}
	return incarnation
}

// changeSeeds changes the settings of the running process.
func (m *machine) changeSeeds(seeds []string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.running != nil {
		replaceSettings(m.running.changes, m.settings(seeds, false))
	}
}

// replaceSettings sends settings in place of those that the process has not received yet.
func replaceSettings(changes chan bootconfig.Settings, settings bootconfig.Settings) {
	select {
	case <-changes:
	default:
	}
	changes <- settings
}

// kill kills the process; the disk keeps its content.
func (m *machine) kill() {
	if incarnation := m.detachProcess(); incarnation != nil {
		incarnation.process.Kill()
		m.disk.kill()
		incarnation.stop()
	}
}

// losePower ends the process abruptly; unsynced data may be lost.
func (m *machine) losePower() {
	m.mutex.Lock()
	draws := m.simulation.random("power "+m.ip, m.starts)
	m.mutex.Unlock()
	incarnation := m.detachProcess()
	m.simulation.network.SetPower(m.ip, false)
	if incarnation != nil {
		incarnation.process.LosePower()
	}
	m.disk.losePower(draws.Uint64())
	if incarnation != nil {
		incarnation.stop()
	}
}

// wipe erases the disk and ends the process if one is running.
func (m *machine) wipe() {
	m.losePower()
	m.disk.wipe()
	m.mutex.Lock()
	lost := m.memberID
	m.mutex.Unlock()
	m.simulation.recorder.markDiskLost(lost)
}

// terminate ends the process as SIGTERM does, and kills it after terminationGrace.
func (m *machine) terminate() {
	m.mutex.Lock()
	incarnation := m.running
	m.mutex.Unlock()
	if incarnation == nil {
		return
	}
	incarnation.stop()
	timer := time.NewTimer(terminationGrace)
	defer timer.Stop()
	select {
	case <-incarnation.ended:
	case <-timer.C:
		m.kill()
	}
}

// freeze freezes the process until thaw is called.
func (m *machine) freeze() (thaw func()) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.running == nil {
		return func() {}
	}
	process := m.running.process
	process.Freeze()
	return process.Thaw
}

// serving returns the server and its process if the API accepts calls; nil otherwise.
func (m *machine) serving() (*server.Server, *simnet.Process) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.running == nil || !m.running.serving {
		return nil, nil
	}
	return m.running.server, m.running.process
}

// inspect returns the state of the server's groups; nil if no server is open.
func (m *machine) inspect() []replica.Status {
	m.mutex.Lock()
	var opened *server.Server
	if m.running != nil {
		opened = m.running.server
	}
	m.mutex.Unlock()
	if opened == nil {
		return nil
	}
	return opened.Inspect()
}

// apiServer stands in for the HTTP server of a control plane server.
type apiServer struct {
	machine     *machine
	incarnation *serverProcess
	stop        chan struct{}
}

// Run accepts calls until Shutdown.
func (s *apiServer) Run() error {
	s.set(true)
	<-s.stop
	return nil
}

// Shutdown stops accepting calls and waits until callers have closed their connections or ctx ends.
func (s *apiServer) Shutdown(ctx context.Context) error {
	s.set(false)
	if callers := s.machine.callersAtShutdown(); callers > 0 {
		simnet.Sleep(ctx, callers)
	}
	close(s.stop)
	return nil
}

func (s *apiServer) set(serving bool) {
	s.machine.mutex.Lock()
	defer s.machine.mutex.Unlock()
	s.incarnation.serving = serving && s.machine.running == s.incarnation
}

// retire records that another machine has taken the slot.
func (m *machine) retire() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.retired = true
}

// keepCallers makes callers use open connections for some time once the API shuts down.
func (m *machine) keepCallers(duration time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.callers = duration
}

func (m *machine) callersAtShutdown() time.Duration {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.callers
}

func (m *machine) isRetired() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.retired
}

// isMember reports whether the server is a member of a group.
func (m *machine) isMember() bool {
	return slices.ContainsFunc(m.inspect(), func(status replica.Status) bool { return len(status.Members) > 0 })
}
