package replica

import (
	"errors"
	"testing"

	"ospreybend/coord/consensus"
)

// setOmittedGuards leaves guards out of all members, also of those that run.
func (c *testCluster) setOmittedGuards(guards []Guard) {
	c.omitGuards = guards
	for _, p := range c.replicas {
		p.group.loop.options.OmitGuards = guards
	}
}

// guardViolations tell for each guard a course of events that does harm without it.
var guardViolations = map[Guard]func(t *testing.T, omit ...Guard) (violated bool){
	// The next leader's entry takes the place of the one proposed.
	GuardOutcomeMatchesTerm: func(t *testing.T, omit ...Guard) bool {
		s, done := loopWithProposal(t, omit)
		s.node.ready.Committed = []consensus.Entry{{Term: 2, Index: 1}}
		s.iterate(0)
		return (<-done).err == nil
	},
	// The next leader commits the entry that this one proposed.
	GuardLostLeadershipUnknown: func(t *testing.T, omit ...Guard) bool {
		s, done := loopWithProposal(t, omit)
		s.node.status.Role = consensus.RoleFollower
		s.iterate(0)
		if len(done) == 0 {
			return false
		}
		return !errors.Is((<-done).err, ErrUnknownOutcome)
	},
	// A snapshot holds the entry, or another in its place.
	GuardSkippedUnknown: func(t *testing.T, omit ...Guard) bool {
		s, done := loopWithProposal(t, omit)
		s.node.ready.Restore = &consensus.Snapshot{Index: 10, Term: 1, Data: []byte("{}")}
		s.iterate(0)
		return !errors.Is((<-done).err, ErrUnknownOutcome)
	},
	// A majority confirms the leader before its machine is as far as the log.
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
	// A write does not come back.
	GuardStalledDiskStepsDown: func(t *testing.T, omit ...Guard) bool {
		s := newScriptedLoop()
		s.loop.options.OmitGuards = omit
		s.node.ready.Persist = &consensus.PersistRequest{Sequence: 1}
		s.iterate(0)
		s.iterate(2 * diskStallTimeout)
		return s.node.writable
	},
}

// loopWithProposal returns a leader with a proposal at index 1 of term 1.
func loopWithProposal(t *testing.T, omit []Guard) (*scriptedLoop, chan outcome) {
	t.Helper()
	s := newScriptedLoop()
	s.loop.options.OmitGuards = omit
	done := newOutcomeChannel()
	s.iterate(0, proposeEvent{done: done})
	if len(done) > 0 {
		t.Fatal((<-done).err)
	}
	return s, done
}

func TestGuards_eachPreventsViolation(t *testing.T) {
	for _, guard := range Guards() {
		scenario := guardViolations[guard]
		if scenario == nil {
			t.Errorf("%s: no scenario", guard)
			continue
		}
		if scenario(t) {
			t.Errorf("%s: harm although the guard holds", guard)
		}
		if !scenario(t, guard) {
			t.Errorf("%s: no harm without the guard", guard)
		}
	}
}

// TestGuards_omissionIsDetectedByRandomFaults leaves out the guards whose absence shows in histories of drawn troubles.
func TestGuards_omissionIsDetectedByRandomFaults(t *testing.T) {
	for _, guard := range []Guard{GuardOutcomeMatchesTerm, GuardLostLeadershipUnknown} {
		var noticed error
		runs := 0
		for noticed == nil && runs < randomRuns {
			runs++
			noticed = runRandomFaults(t, uint64(runs), guard)
		}
		if noticed == nil {
			t.Errorf("%s: not noticed in %d runs", guard, runs)
			continue
		}
		t.Logf("%s: noticed after %d runs: %v", guard, runs, noticed)
	}
}
