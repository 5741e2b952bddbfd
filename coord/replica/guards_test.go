package replica

import (
	"errors"
	"testing"

	"ospreybend/coord/consensus"
)

// setOmittedGuards disables guards in all members, including running ones.
func (c *testCluster) setOmittedGuards(guards []Guard) {
	c.omitGuards = guards
	for _, replica := range c.replicas {
		replica.group.loop.options.OmitGuards = guards
	}
}

// clockStateMachine is a state machine that takes a heartbeat interval of a fake clock for each entry.
type clockStateMachine struct {
	listStateMachine
	clock *fakeClock
}

func (m *clockStateMachine) Apply(entry consensus.Entry) any {
	m.clock.now += DefaultHeartbeatInterval
	return m.listStateMachine.Apply(entry)
}

// loopWithSlowEntries returns an event loop that is about to apply ten entries, each of which takes a heartbeat interval.
func loopWithSlowEntries(omit []Guard) *scriptedLoop {
	s := newScriptedLoop()
	s.loop.options.OmitGuards = omit
	s.loop.options.StateMachine = &clockStateMachine{clock: s.clock}
	for index := uint64(1); index <= 10; index++ {
		s.node.ready.Committed = append(s.node.ready.Committed, consensus.Entry{Term: 1, Index: index, Kind: consensus.EntryCommand})
	}
	return s
}

// guardScenarios contains, for each guard, a scenario that violates a guarantee of the group if the guard is disabled.
var guardScenarios = map[Guard]func(t *testing.T, omit ...Guard) (violated bool){
	// The next leader's entry replaces the proposed entry.
	GuardOutcomeMatchesTerm: func(t *testing.T, omit ...Guard) bool {
		s, done := loopWithProposal(t, omit)
		s.node.ready.Committed = []consensus.Entry{{Term: 2, Index: 1}}
		s.iterate(0)
		return (<-done).err == nil
	},
	// The leader steps down with a pending proposal, which the next leader may still commit.
	GuardLostLeadershipUnknown: func(t *testing.T, omit ...Guard) bool {
		s, done := loopWithProposal(t, omit)
		s.node.status.Role = consensus.RoleFollower
		s.iterate(0)
		if len(done) == 0 {
			return false
		}
		return !errors.Is((<-done).err, ErrUnknownOutcome)
	},
	// A received snapshot covers the index of the proposal; it contains that entry or a different one.
	GuardSkippedUnknown: func(t *testing.T, omit ...Guard) bool {
		s, done := loopWithProposal(t, omit)
		s.node.ready.Restore = &consensus.Snapshot{Index: 10, Term: 1, Data: []byte("{}")}
		s.iterate(0)
		return !errors.Is((<-done).err, ErrUnknownOutcome)
	},
	// A majority confirms the leader before its state machine has reached the index of the read.
	GuardReadWaitsForApply: func(t *testing.T, omit ...Guard) bool {
		s := newScriptedLoop()
		s.loop.options.OmitGuards = omit
		done := newOutcomeChannel()
		s.iterate(0, readEvent{done})
		s.node.ready.Reads = []consensus.ReadResult{{ID: s.node.reads[0], Index: 5, OK: true}}
		s.commit(1, 4)
		s.iterate(0)
		return len(done) > 0
	},
	// A replica that returns has many entries to apply, each of which takes a heartbeat interval: it must not let ten of them pass.
	GuardApplyInSlices: func(t *testing.T, omit ...Guard) bool {
		s := loopWithSlowEntries(omit)
		before := s.clock.now
		s.iterate(0)
		return s.clock.now-before > 2*DefaultHeartbeatInterval
	},
	// A follower hears from its leader, and a new leader from a majority, while it has entries left to apply.
	GuardCurrentMeansApplied: func(t *testing.T, omit ...Guard) bool {
		violated := false
		for _, role := range []consensus.Role{consensus.RoleFollower, consensus.RoleLeader} {
			s := loopWithSlowEntries(omit)
			s.node.status.Role, s.node.status.ConfirmedAt = role, s.clock.now
			s.iterate(0)
			violated = violated || s.loop.currentStatus().ConfirmedAge != NeverConfirmed
		}
		return violated
	},
	// A write does not complete in time.
	GuardStalledDiskStepsDown: func(t *testing.T, omit ...Guard) bool {
		s := newScriptedLoop()
		s.loop.options.OmitGuards = omit
		s.node.ready.Persist = &consensus.PersistRequest{Sequence: 1}
		s.iterate(0)
		s.iterate(2 * diskStallTimeout)
		return s.node.writable
	},
}

// loopWithProposal returns a leader with a pending proposal at index 1 of term 1.
func loopWithProposal(t *testing.T, omit []Guard) (*scriptedLoop, chan outcome) {
	t.Helper()
	s := newScriptedLoop()
	s.loop.options.OmitGuards = omit
	done := newOutcomeChannel()
	s.iterate(0, proposeEvent{done: done})
	if len(done) > 0 {
		t.Fatalf("the proposal was answered before its entry was committed: %v", (<-done).err)
	}
	return s, done
}

func TestGuards_eachPreventsViolation(t *testing.T) {
	for _, guard := range Guards() {
		scenario := guardScenarios[guard]
		if scenario == nil {
			t.Errorf("%s: guardScenarios has no scenario", guard)
			continue
		}
		if scenario(t) {
			t.Errorf("%s: the scenario violates the guarantee although the guard is enforced", guard)
		}
		if !scenario(t, guard) {
			t.Errorf("%s: the scenario does not violate the guarantee although the guard is disabled", guard)
		}
	}
}

// TestGuards_omissionIsDetectedByRandomFaults checks that random faults detect the omission of the guards that they can exercise.
func TestGuards_omissionIsDetectedByRandomFaults(t *testing.T) {
	for _, guard := range []Guard{GuardOutcomeMatchesTerm, GuardLostLeadershipUnknown} {
		var detected error
		runs := 0
		for detected == nil && runs < randomRuns {
			runs++
			detected = runRandomFaults(t, uint64(runs), guard)
		}
		if detected == nil {
			t.Errorf("%s: omission not detected in %d runs", guard, runs)
			continue
		}
		t.Logf("%s: omission detected after %d runs: %v", guard, runs, detected)
	}
}
