package scalerun

import (
	"context"
	"sync"
	"time"

	"ospreybend/internal/testkit/localfleet"
	"ospreybend/internal/testkit/scalereport"
)

// measureFullRestart kills all processes at once, starts them again at once, and waits until all are complete again. Workers keep running.
func (s *stepRun) measureFullRestart(ctx context.Context) error {
	s.killAll()
	started := time.Now()
	if err := s.startAll(); err != nil {
		return err
	}
	before := s.read()
	s.hollow.start(ctx)
	s.generation++
	acked, err := s.change(ctx)
	if err != nil {
		return err
	}
	s.step.BlackoutAcked = milliseconds(acked.Sub(started))
	if err := s.await(ctx, "a proxy without the configuration after all were killed", func() bool { return s.proxyHas(ctx) }); err != nil {
		return err
	}
	s.step.BlackoutProxies = milliseconds(time.Since(started))
	if err := s.await(ctx, "agents not whole after all were killed", s.hollow.complete); err != nil {
		return err
	}
	s.note(scalereport.PhaseBlackout, 0, before)
	s.step.Blackout = scalereport.PercentilesOf(s.hollow.since(started, allAgents, completedAt))
	s.plan.printf("  all processes killed and started again: %d hollow agents whole p50 %.0f, p99 %.0f, max %.0f ms; a change acknowledged after %.0f ms, at the proxies after %.0f ms",
		len(s.hollow.agents), s.step.Blackout.P50, s.step.Blackout.P99, s.step.Blackout.Max, s.step.BlackoutAcked, s.step.BlackoutProxies)
	return nil
}

// killAll ends all processes of the fleet and all hollow agents.
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

// startAll starts what killAll has ended, but for the hollow agents.
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
