package scalerun

import (
	"context"
	"sync"
	"time"

	"ospreybend/internal/testkit/localfleet"
	"ospreybend/internal/testkit/scalereport"
)

// measureFullRestart kills all processes and hollow agents at once, restarts them at once, and waits until a change is
// accepted and every proxy and agent is complete again. Workers keep running.
func (s *stepRun) measureFullRestart(ctx context.Context) error {
	s.killAll()
	started := time.Now()
	if err := s.startAll(); err != nil {
		return err
	}
	before := s.sampleUsage()
	s.hollow.start(ctx)
	s.generation++
	acked, err := s.sendChange(ctx)
	if err != nil {
		return err
	}
	s.step.AcknowledgedAfterRestart = milliseconds(acked.Sub(started))
	if err := s.await(ctx, "proxies to have the configuration after the restart of all processes", func() bool { return s.proxiesCurrent(ctx) }); err != nil {
		return err
	}
	s.step.AtProxiesAfterRestart = milliseconds(time.Since(started))
	if err := s.await(ctx, "agents to have all shards after the restart of all processes", s.hollow.complete); err != nil {
		return err
	}
	s.recordUsage(scalereport.PhaseFullRestart, 0, before)
	s.step.FullRestart = scalereport.PercentilesOf(s.hollow.elapsed(started, allAgents, completedAt))
	s.plan.printf("  all processes killed and restarted: %d hollow agents complete after p50 %.0f, p99 %.0f, max %.0f ms; a change acknowledged after %.0f ms, at the proxies after %.0f ms",
		len(s.hollow.agents), s.step.FullRestart.P50, s.step.FullRestart.P99, s.step.FullRestart.Max, s.step.AcknowledgedAfterRestart, s.step.AtProxiesAfterRestart)
	return nil
}

// killAll kills all processes of the fleet and stops all hollow agents.
func (s *stepRun) killAll() {
	var killing sync.WaitGroup
	kill := func(process *localfleet.Process) { killing.Go(process.Kill) }
	for i := range s.plan.Servers {
		kill(s.fleet.Server(i))
	}
	for i := range s.plan.Edges {
		kill(s.fleet.Agent(i))
		kill(s.fleet.Proxy(i))
	}
	s.hollow.stop()
	killing.Wait()
}

// startAll restarts the processes that killAll ended. It does not start the hollow agents.
func (s *stepRun) startAll() error {
	for i := range s.plan.Servers {
		if _, err := s.fleet.StartServer(i, false); err != nil {
			return err
		}
	}
	for i := range s.plan.Edges {
		if _, err := s.fleet.StartAgent(i); err != nil {
			return err
		}
		if _, err := s.fleet.StartProxy(i); err != nil {
			return err
		}
	}
	return nil
}
