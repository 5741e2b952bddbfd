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

// machine is one machine of the core, with its disk and the server that runs on it.
type machine struct {
	world *world
	slot  int
	ip    string
	disk  *machineDisk

	mutex    sync.Mutex
	running  *serverProcess // nil: none was started, or it is down
	starts   int
	memberID consensus.MemberID // of this disk, as the last server had it
	retired  bool               // another machine has its slot
}

// serverProcess is one process of a machine's server, from its start to its end.
type serverProcess struct {
	process *simnet.Process
	stop    context.CancelFunc // as SIGTERM does
	ended   chan struct{}      // closed once nothing of it runs any more
	server  *server.Server     // nil until it is open
	serving bool               // its API takes calls
}

// settings returns the settings file of a start.
func (m *machine) settings(seeds []string, bootstrap bool) bootconfig.Settings {
	config := bootconfig.Defaults()
	config.NodeName = "core-" + m.ip
	config.IP, config.Zone, config.Region = m.ip, "zone", "region"
	config.PortRange = [2]int{peerPort, peerPort + 15}
	config.Listen.Control = controlAddress(m.ip)
	config.Seeds, config.Bootstrap = seeds, bootstrap
	config.DataDir = "/data"
	config.HeartbeatMs = int(heartbeatInterval / time.Millisecond)
	config.FaultTolerance.Machines = m.world.schedule.Tolerance
	return config
}

// start starts a server unless one is running or the machine's slot has gone to another.
func (m *machine) start(seeds []string, bootstrap bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.running != nil || m.retired {
		return
	}
	m.starts++
	m.world.network.SetPower(m.ip, true)
	ctx, cancel := context.WithCancel(context.Background())
	incarnation := &serverProcess{process: m.world.network.NewProcess(m.ip), stop: cancel, ended: make(chan struct{})}
	m.running = incarnation
	environment := m.environment(incarnation, m.starts)
	config := m.settings(seeds, bootstrap)
	m.world.running.Go(func() {
		defer close(incarnation.ended)
		defer cancel()
		m.run(ctx, incarnation, config, environment)
	})
}

func (m *machine) environment(incarnation *serverProcess, start int) server.Environment {
	w := m.world
	return server.Environment{
		FileSystem:      processDisk{disk: m.disk, process: incarnation.process, syncs: func() { w.diskSyncs(m) }},
		Now:             incarnation.process.Now,
		Random:          w.sharedRandom("keeper "+m.ip, start),
		Dial:            incarnation.process.Dial,
		Listen:          incarnation.process.Listen,
		OnGroupStatus:   func(status replica.Status) { w.record.observe(m, status) },
		SnapshotEntries: uint64(w.schedule.SnapshotEntries), RememberedChanges: w.schedule.RememberedChanges,
		OmitGuards: w.omissions.server, OmitConsensusRules: w.omissions.consensus, OmitConfigurationRules: w.omissions.configuration,
	}
}

// run opens and serves the server until its process ends.
func (m *machine) run(ctx context.Context, incarnation *serverProcess, config bootconfig.Settings, environment server.Environment) {
	opened, err := server.Open(ctx, config, environment, m.world.log.With(zap.String("machine", m.ip)))
	if err == nil {
		m.mutex.Lock()
		incarnation.server, m.memberID = opened, opened.Self().ID
		m.mutex.Unlock()
		m.world.record.addMember(opened.Self().ID, m)
		err = opened.Serve(ctx, &apiServer{machine: m, incarnation: incarnation, stop: make(chan struct{})})
		opened.Close()
	}
	if !incarnation.process.Dead() && ctx.Err() == nil {
		m.world.record.addFault("the server of " + m.ip + " ended by itself: " + errorText(err))
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

// processEnded records that a process has ended.
func (m *machine) processEnded(incarnation *serverProcess) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.running == incarnation {
		m.running = nil
	}
}

// takeProcess detaches the running process, so that another may be started, and returns it, or nil.
func (m *machine) takeProcess() *serverProcess {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	incarnation := m.running
	m.running = nil
	if incarnation != nil {
		incarnation.serving = false
	}
	return incarnation
}

// kill ends the process; its disk stays.
func (m *machine) kill() {
	if incarnation := m.takeProcess(); incarnation != nil {
		incarnation.process.Kill()
		m.disk.kill()
		incarnation.stop()
	}
}

// losePower ends the process without notice; what was not synced may be lost.
func (m *machine) losePower() {
	m.mutex.Lock()
	draws := m.world.random("power "+m.ip, m.starts)
	m.mutex.Unlock()
	incarnation := m.takeProcess()
	m.world.network.SetPower(m.ip, false)
	if incarnation != nil {
		incarnation.process.LosePower()
	}
	m.disk.losePower(draws.Uint64())
	if incarnation != nil {
		incarnation.stop()
	}
}

// wipe loses the disk, and the process with it if it runs.
func (m *machine) wipe() {
	m.losePower()
	m.disk.wipe()
	m.mutex.Lock()
	lost := m.memberID
	m.mutex.Unlock()
	m.world.record.markGone(lost)
}

// terminate ends the process as SIGTERM does, and after the time of grace as SIGKILL does.
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

// serving returns the server whose API takes calls, and its process.
func (m *machine) serving() (*server.Server, *simnet.Process) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.running == nil || !m.running.serving {
		return nil, nil
	}
	return m.running.server, m.running.process
}

// inspect returns the state of the server's groups, nil if it has none.
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

// apiServer is the fake HTTP server of a control plane server.
type apiServer struct {
	machine     *machine
	incarnation *serverProcess
	stop        chan struct{}
}

// Run takes calls until Shutdown.
func (s *apiServer) Run() error {
	s.set(true)
	<-s.stop
	return nil
}

// Shutdown takes no more calls.
func (s *apiServer) Shutdown(context.Context) error {
	s.set(false)
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

func (m *machine) isRetired() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.retired
}

// isMember reports whether the server is a member of a group.
func (m *machine) isMember() bool {
	return slices.ContainsFunc(m.inspect(), func(status replica.Status) bool { return len(status.Members) > 0 })
}
