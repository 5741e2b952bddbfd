package scalerun

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"strings"
	"time"

	"ospreybend/internal/testkit/localfleet"
	"ospreybend/internal/testkit/scalereport"
)

// usageSample holds the counters of a fleet's processes at one time.
type usageSample struct {
	at        time.Time
	processes map[*localfleet.Process]scalereport.Counters
}

func (s *stepRun) sampleUsage() usageSample {
	taken := usageSample{at: time.Now(), processes: map[*localfleet.Process]scalereport.Counters{}}
	for _, process := range s.fleet.Processes() {
		if counters, err := readCounters(process.PID()); err == nil {
			taken.processes[process] = counters
		}
	}
	return taken
}

// recordUsage adds the usage of each process since an earlier sample to the step. Processes started since are left out.
func (s *stepRun) recordUsage(phase string, window int, before usageSample) {
	after := s.sampleUsage()
	for process, counters := range after.processes {
		earlier, ok := before.processes[process]
		if !ok {
			continue
		}
		s.step.Processes = append(s.step.Processes, scalereport.ProcessUsage{Role: process.Role, Node: process.Node, Phase: phase,
			Window: window, Usage: scalereport.UsageBetween(earlier, counters, after.at.Sub(before.at))})
	}
}

// measureIdle measures usage and traffic while nothing changes.
func (s *stepRun) measureIdle(ctx context.Context) error {
	started := time.Now()
	in, out, reads := s.hollow.traffic.in.Load(), s.hollow.traffic.out.Load(), s.hollow.traffic.reads.Load()
	taken, datagrams, bytes := s.acknowledgedHeartbeats.Load(), s.monitoring.datagrams.Load(), s.monitoring.bytes.Load()
	for window := range s.plan.Windows {
		before := s.sampleUsage()
		pause(ctx, s.plan.Window)
		s.recordUsage(scalereport.PhaseIdle, window, before)
	}
	seconds := time.Since(started).Seconds()
	agents := float64(max(len(s.hollow.agents), 1))
	a := &s.step.Hollow
	a.FeedInKB = round(float64(s.hollow.traffic.in.Load()-in) / 1000 / seconds / agents)
	a.FeedOutKB = round(float64(s.hollow.traffic.out.Load()-out) / 1000 / seconds / agents)
	a.FeedMessages = round(float64(s.hollow.traffic.reads.Load()-reads) / seconds / agents)
	a.MonitorKB = round(float64(s.monitoring.bytes.Load()-bytes) / 1000 / seconds / agents)
	a.Datagrams = round(float64(s.monitoring.datagrams.Load()-datagrams) / seconds / agents)
	a.HeartbeatsAcknowledged, a.HeartbeatsFailed = round(float64(s.acknowledgedHeartbeats.Load()-taken)/seconds), s.failedHeartbeats.Load()
	a.Failures, a.AgentsOf = s.failuresSoFar(), s.hollow.servers()
	s.printIdle()
	return ctx.Err()
}

// printIdle prints the mean usage of each role in the idle phase.
func (s *stepRun) printIdle() {
	for _, role := range []string{"controlplane", "agent", "proxy"} {
		var sum scalereport.Usage
		count := 0.0
		for _, process := range s.step.Processes {
			if process.Role == role && process.Phase == scalereport.PhaseIdle {
				sum.Processor += process.Usage.Processor
				sum.MemoryMB += process.Usage.MemoryMB
				sum.ReadKB += process.Usage.ReadKB
				sum.WrittenKB += process.Usage.WrittenKB
				sum.Switches += process.Usage.Switches
				count++
			}
		}
		if count > 0 {
			s.plan.printf("  idle, mean per %s: %.2f%% of a core, %.1f MB, %.1f kB/s read, %.1f kB/s written, %.0f voluntary context switches/s",
				role, sum.Processor/count, sum.MemoryMB/count, sum.ReadKB/count, sum.WrittenKB/count, sum.Switches/count)
		}
	}
	a := s.step.Hollow
	s.plan.printf("  idle, mean per hollow agent: feed %.2f kB/s in %.1f messages/s, monitoring %.2f kB/s in %.1f datagrams/s; %.0f heartbeats/s acknowledged, %d failed so far",
		a.FeedInKB, a.FeedMessages, a.MonitorKB, a.Datagrams, a.HeartbeatsAcknowledged, a.HeartbeatsFailed)
	s.plan.printf("  hollow agents by server: %v", a.AgentsOf)
	if len(a.Failures) > 0 {
		s.plan.printf("  failed heartbeats by error: %v", a.Failures)
	}
}

// measureChanges sends changes one at a time and waits until each is at all agents and real proxies.
func (s *stepRun) measureChanges(ctx context.Context) error {
	var near, far, proxies, acks []float64
	before := s.sampleUsage()
	for range s.plan.Changes {
		s.generation++
		sent := time.Now()
		acked, err := s.sendChange(ctx)
		if err != nil {
			return err
		}
		acks = append(acks, milliseconds(acked.Sub(sent)))
		if s.plan.Edges > 0 {
			if err := s.await(ctx, "proxies to have a change", func() bool { return s.proxiesCurrent(ctx) }); err != nil {
				return err
			}
			proxies = append(proxies, milliseconds(time.Since(sent)))
		}
		if err := s.awaitGeneration(ctx); err != nil {
			return err
		}
		near = append(near, s.hollow.elapsed(sent, s.isNear, generationAt)...)
		far = append(far, s.hollow.elapsed(sent, s.isFar, generationAt)...)
	}
	s.recordUsage(scalereport.PhaseChange, 0, before)
	s.step.ChangeAcknowledged, s.step.ChangeAtProxies = scalereport.PercentilesOf(acks), scalereport.PercentilesOf(proxies)
	s.step.ChangeAtAgents, s.step.ChangeAtFarAgents = scalereport.PercentilesOf(near), scalereport.PercentilesOf(far)
	s.plan.printf("  %d changes: acknowledged p50 %.0f ms; at near agents p50 %.0f, p99 %.0f, max %.0f ms; at far agents p99 %.0f, max %.0f ms; at proxies max %.0f ms",
		s.plan.Changes, s.step.ChangeAcknowledged.P50, s.step.ChangeAtAgents.P50, s.step.ChangeAtAgents.P99, s.step.ChangeAtAgents.Max,
		s.step.ChangeAtFarAgents.P99, s.step.ChangeAtFarAgents.Max, s.step.ChangeAtProxies.Max)
	return nil
}

// sendChange sends the change that leads to generation s.generation and returns when it was acknowledged.
func (s *stepRun) sendChange(ctx context.Context) (time.Time, error) {
	tenant := int(s.generation) % max(s.plan.Routes, 1)
	err := s.operator.Update(ctx, s.generation-1, routeChange(s.generation, tenant))
	return time.Now(), err
}

// measureRestart stops all hollow agents and restarts them at once without state.
func (s *stepRun) measureRestart(ctx context.Context) error {
	s.hollow.stop()
	in := s.hollow.traffic.in.Load()
	before, started := s.sampleUsage(), time.Now()
	s.hollow.start(ctx)
	if err := s.await(ctx, "agents to have all shards after their restart", s.hollow.complete); err != nil {
		return err
	}
	s.recordUsage(scalereport.PhaseRestart, 0, before)
	s.step.AgentRestart = scalereport.PercentilesOf(s.hollow.elapsed(started, allAgents, completedAt))
	s.step.Hollow.SnapshotKB = round(float64(s.hollow.traffic.in.Load()-in) / 1000 / float64(max(len(s.hollow.agents), 1)))
	s.plan.printf("  all %d hollow agents restarted: complete after p50 %.0f, p99 %.0f, max %.0f ms; %.0f kB read by each",
		len(s.hollow.agents), s.step.AgentRestart.P50, s.step.AgentRestart.P99, s.step.AgentRestart.Max, s.step.Hollow.SnapshotKB)
	return nil
}

func completedAt(state agentState) time.Time { return state.completeAt }

var errNoLeader = errors.New("no server is the leader of the configuration shard")

// measureLoss kills the leader of the configuration shard and sends a change right after. It does nothing with fewer than
// 3 servers, which have no majority without the leader.
func (s *stepRun) measureLoss(ctx context.Context) error {
	if s.plan.Servers < 3 {
		return nil
	}
	owner := s.configurationLeader(ctx)
	if owner < 0 {
		return errNoLeader
	}
	host, _, _ := net.SplitHostPort(s.fleet.ControlAddresses()[owner])
	lost := make([]bool, len(s.hollow.agents))
	for i, agent := range s.hollow.agents {
		lost[i] = s.readsFrom(agent.state().server, host)
	}
	before := s.sampleUsage()
	killed := time.Now()
	s.fleet.Server(owner).Kill()
	s.generation++
	acked, err := s.sendChange(ctx)
	if err != nil {
		return err
	}
	if err := s.awaitGeneration(ctx); err != nil {
		return err
	}
	s.step.AcknowledgedAfterLoss = milliseconds(acked.Sub(killed))
	all := s.hollow.elapsed(killed, allAgents, generationAt)
	s.step.AtAgentsAfterLoss = scalereport.PercentilesOf(all).Max
	if err := s.await(ctx, "agents to be current after the loss of a server", s.hollow.complete); err != nil {
		return err
	}
	s.recordUsage(scalereport.PhaseLoss, 0, before)
	if err := s.rejoin(ctx, owner); err != nil {
		return err
	}
	s.step.Failover = scalereport.PercentilesOf(s.hollow.elapsed(killed, func(i int) bool { return lost[i] }, completedAt))
	s.plan.printf("  server killed: next change acknowledged after %.0f ms, at all agents after %.0f ms; its %d agents current on other servers after p50 %.0f, max %.0f ms; server restarted, current after %.0f ms",
		s.step.AcknowledgedAfterLoss, s.step.AtAgentsAfterLoss, s.step.Failover.Count, s.step.Failover.P50, s.step.Failover.Max, s.step.ServerRecovery)
	return nil
}

// rejoin restarts a server with its data and waits until it is current in all shards.
func (s *stepRun) rejoin(ctx context.Context, server int) error {
	started := time.Now()
	if _, err := s.fleet.StartServer(server, false); err != nil {
		return err
	}
	err := s.await(ctx, "the restarted server to be current", func() bool { return s.serverCurrent(ctx, server) })
	s.step.ServerRecovery = milliseconds(time.Since(started))
	return err
}

// readsFrom reports whether an address that an agent is connected to belongs to the server host. The relay of a far link
// has the same IP as its server.
func (s *stepRun) readsFrom(address, host string) bool { return strings.HasPrefix(address, host+":") }

// serverStatus is the part of the response of /-/status that is used.
type serverStatus struct {
	Shards []struct {
		Role    string
		Current bool
	}
}

func (s *stepRun) status(ctx context.Context, server int) (status serverStatus, ok bool) {
	response, err := s.operator.Ask(ctx, s.fleet.ControlAddresses()[server], "GET", "/-/status", 0, nil)
	if err != nil {
		return status, false
	}
	return status, json.Unmarshal(response.Body, &status) == nil && len(status.Shards) > 0
}

// configurationLeader returns the index of the server that leads the configuration shard, or -1.
func (s *stepRun) configurationLeader(ctx context.Context) int {
	for i := range s.plan.Servers {
		if status, ok := s.status(ctx, i); ok && status.Shards[0].Role == "leader" {
			return i
		}
	}
	return -1
}

// serverCurrent reports whether a server is current in all shards.
func (s *stepRun) serverCurrent(ctx context.Context, server int) bool {
	status, ok := s.status(ctx, server)
	for _, shard := range status.Shards {
		ok = ok && shard.Current
	}
	return ok
}
