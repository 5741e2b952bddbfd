package scalerun

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math"
	"net/netip"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"ospreybend/coord/membership"
	"ospreybend/internal/testkit/fakemodelworker"
	"ospreybend/internal/testkit/localfleet"
	"ospreybend/internal/testkit/scalereport"
)

const (
	pollInterval      = 5 * time.Millisecond
	monitorPortOffset = 2 // offset in the port range of the port for health checks
	workerSlots       = 64
)

// ErrMemory is returned if the processes of a step use more memory than a run may.
var ErrMemory = errors.New("scale: the processes use more than half of the machine's memory")

// stepRun is the state of the measurement at one size.
type stepRun struct {
	plan                   Plan
	fleet                  *localfleet.Fleet
	operator               *localfleet.Operator
	bounds                 scalereport.Bounds
	step                   scalereport.Step
	hollow                 hollowAgents
	monitoring             monitoring
	acknowledgedHeartbeats atomic.Int64
	failedHeartbeats       atomic.Int64
	mutex                  sync.Mutex
	failures               map[string]int
	registeredWorkers      atomic.Int64 // workers with at least one acknowledged heartbeat
	workers                sync.WaitGroup
	generation             uint64
	stopAll                context.CancelFunc
}

func newStepRun(plan Plan, size scalereport.Size, fleet *localfleet.Fleet, bounds scalereport.Bounds) *stepRun {
	return &stepRun{plan: plan, fleet: fleet, bounds: bounds, operator: localfleet.NewOperator(fleet.ControlAddresses()),
		step:   scalereport.Step{Size: size, Servers: plan.Servers, Edges: plan.Edges, Routes: plan.Routes},
		hollow: hollowAgents{traffic: new(feedTraffic)}, failures: map[string]int{}, stopAll: func() {}}
}

// close stops everything that the step has started.
func (s *stepRun) close() {
	s.stopAll()
	s.fleet.KillAll()
	s.hollow.stop()
	s.workers.Wait()
	s.operator.Close()
}

func (s *stepRun) await(ctx context.Context, what string, check func() bool) error {
	if err := localfleet.Await(ctx, pollInterval, check); err != nil {
		return fmt.Errorf("waiting for %s: %w", what, err)
	}
	return nil
}

// run runs the phases in order.
func (s *stepRun) run(ctx context.Context) error {
	for _, phase := range []func(context.Context) error{s.startFleet, s.measureIdle, s.measureChanges, s.measureLoss, s.measureRestart, s.measureFullRestart} {
		if err := phase(ctx); err != nil {
			return err
		}
	}
	return nil
}

// startFleet starts the fleet and the hollow nodes, sends the first configuration and registers the workers.
func (s *stepRun) startFleet(ctx context.Context) error {
	if err := s.fleet.StartAll(); err != nil {
		return err
	}
	inner, cancel := context.WithCancel(ctx)
	s.stopAll = cancel
	if err := s.startNodes(inner); err != nil {
		return err
	}
	if err := s.await(ctx, "agents to have all shards", s.hollow.complete); err != nil {
		return err
	}
	if err := s.firstConfiguration(ctx); err != nil {
		return err
	}
	s.startWorkers(inner)
	if err := s.await(ctx, "all workers to be registered", func() bool { return int(s.registeredWorkers.Load()) == s.step.Size.Workers }); err != nil {
		return err
	}
	s.plan.printf("  first configuration of %d kB at all agents after %.0f ms; all workers registered", s.step.Hollow.DocumentBytes/1000, s.step.FirstConfiguration)
	pause(ctx, s.plan.WarmUp)
	return s.checkMemory()
}

// firstConfiguration sends a complete configuration and waits until all agents and real proxies have it.
func (s *stepRun) firstConfiguration(ctx context.Context) error {
	body := configurationDocument(1, s.plan.Routes)
	s.step.Hollow.DocumentBytes = len(body)
	sent := time.Now()
	if err := s.operator.Replace(ctx, 0, body); err != nil {
		return err
	}
	s.generation = 1
	if err := s.awaitGeneration(ctx); err != nil {
		return err
	}
	s.step.FirstConfiguration = slices.Max(append(s.hollow.elapsed(sent, allAgents, generationAt), 0))
	return s.await(ctx, "proxies to have the first configuration", func() bool { return s.proxiesCurrent(ctx) })
}

func allAgents(int) bool { return true }

func generationAt(state agentState) time.Time { return state.generationAt }

func (s *stepRun) awaitGeneration(ctx context.Context) error {
	return s.await(ctx, "agents to have a change", func() bool {
		return s.hollow.all(func(state agentState) bool { return state.generation >= s.generation })
	})
}

// proxiesCurrent reports whether all real proxies have the latest configuration according to their metrics.
func (s *stepRun) proxiesCurrent(ctx context.Context) bool {
	for edge := range s.plan.Edges {
		response, err := s.operator.Ask(ctx, s.fleet.ReadinessAddress(edge), "GET", "/-/metrics", 0, nil)
		if err != nil || !strings.Contains(string(response.Body), fmt.Sprintf("view_generation %d\n", s.generation)) {
			return false
		}
	}
	return true
}

// startNodes starts the feed clients and the monitoring of the hollow nodes.
func (s *stepRun) startNodes(ctx context.Context) error {
	hollow := s.step.Size.Nodes - s.plan.Edges
	ports := s.fleet.PortRange()
	slow, err := s.farLinks()
	if err != nil {
		return err
	}
	for i := range max(hollow, 0) {
		options := agentOptions{node: fmt.Sprintf("hollow-%d", i+1), zone: localfleet.Zone(i), ip: s.fleet.HollowIP(i),
			seeds: s.fleet.ControlAddresses()[:min(3, s.plan.Servers)], feedPort: ports[0], traffic: s.hollow.traffic}
		if s.isFar(i) {
			options.relayAddresses = slow
		}
		s.hollow.options = append(s.hollow.options, options)
	}
	s.hollow.start(ctx)
	return s.startMonitors(ctx, ports[0]+monitorPortOffset)
}

// isFar reports whether the i-th hollow agent has a far link.
func (s *stepRun) isFar(i int) bool {
	return s.plan.FarEvery > 0 && i%s.plan.FarEvery == s.plan.FarEvery-1
}

func (s *stepRun) isNear(i int) bool { return !s.isFar(i) }

// farLinks opens the relays of the far links and returns their addresses by server address.
func (s *stepRun) farLinks() (map[string]string, error) {
	if s.plan.FarEvery == 0 {
		return nil, nil
	}
	return s.fleet.RelayPeers(s.plan.Far)
}

// startMonitors makes the hollow nodes monitor each other and the first real edge.
func (s *stepRun) startMonitors(ctx context.Context, port int) error {
	var nodes []membership.Node
	for _, options := range s.hollow.options {
		nodes = append(nodes, monitoredNode(options.ip, port))
	}
	if s.plan.Edges > 0 {
		nodes = append(nodes, monitoredNode(s.fleet.EdgeIP(0), port))
	}
	for i := range s.hollow.options {
		if err := startMonitor(ctx, nodes[i].Address.Addr(), port, nodes, &s.monitoring); err != nil {
			return err
		}
	}
	return nil
}

func monitoredNode(ip string, port int) membership.Node {
	return membership.Node{Name: ip, Address: netip.AddrPortFrom(netip.MustParseAddr(ip), uint16(port))}
}

// startWorkers starts the registration of all workers.
func (s *stepRun) startWorkers(ctx context.Context) {
	for i := range s.step.Size.Workers {
		at := i % s.plan.Servers
		control := append(slices.Clone(s.fleet.ControlAddresses()[at:]), s.fleet.ControlAddresses()[:at]...)
		options := fakemodelworker.Options{ID: fmt.Sprintf("worker-%d", i+1), Zone: localfleet.Zone(i), Service: modelService(i),
			Stage: stageOf(i), Address: s.fleet.WorkerAddress(i), Slots: workerSlots, Control: control, Heartbeat: s.plan.Heartbeat}
		first := true
		s.workers.Go(func() {
			fakemodelworker.Register(ctx, options, func(err error) {
				if err != nil {
					s.recordFailure(err)
					return
				}
				s.acknowledgedHeartbeats.Add(1)
				if first {
					first = false
					s.registeredWorkers.Add(1)
				}
			})
		})
	}
}

// recordFailure counts a heartbeat that was not acknowledged.
func (s *stepRun) recordFailure(err error) {
	s.failedHeartbeats.Add(1)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.failures[err.Error()]++
}

// failuresSoFar returns a copy of the counts of failed heartbeats by error.
func (s *stepRun) failuresSoFar() map[string]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return maps.Clone(s.failures)
}

// checkMemory returns ErrMemory if this process and the fleet's processes together exceed the memory bound.
func (s *stepRun) checkMemory() error {
	own, err := readCounters(os.Getpid())
	if err != nil {
		return err
	}
	sum := own.Resident
	for _, process := range s.fleet.Processes() {
		if counters, err := readCounters(process.PID()); err == nil {
			sum += counters.Resident
		}
	}
	if sum > s.bounds.Memory {
		return ErrMemory
	}
	return nil
}

// pause waits for the given time or until the context ends.
func pause(ctx context.Context, span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// round rounds to three decimals.
func round(value float64) float64 { return math.Round(value*1000) / 1000 }
