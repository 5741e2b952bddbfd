package replica

import (
	"fmt"
	"testing"
	"time"

	"ospreybend/coord/consensus"
)

// Staleness limits, as the control plane server applies them.
const (
	maxCurrentAge     = 800 * time.Millisecond // a replica that was last confirmed longer ago does not count as current
	confirmationDelay = 2 * messageDelay       // from a commit at the leader to its confirmation at a follower
)

// commitProgress records the group's highest commit index at a time.
type commitProgress struct {
	time   time.Duration
	commit uint64
}

// staleMember describes a stale member that counts as current: one that was recently confirmed although it lacks entries that
// were committed before the confirmation. It returns an empty string if there is none.
func (s *loadedCluster) staleMember(history []commitProgress) string {
	for _, replica := range s.replicas {
		status := replica.group.Status()
		if replica.stopped || status.ConfirmedAge > maxCurrentAge {
			continue
		}
		confirmedAt := s.clock.now - status.ConfirmedAge - confirmationDelay
		for i := len(history) - 1; i >= 0; i-- {
			if history[i].time > confirmedAt {
				continue
			}
			if status.AppliedIndex < history[i].commit {
				return fmt.Sprintf("member %d counts as current at index %d, but index %d was committed before",
					replica.member.ID, status.AppliedIndex, history[i].commit)
			}
			break
		}
	}
	return ""
}

// checkReturningMembers stops, partitions and stalls members for 4 s each under load. It returns the first stale member that
// counts as current afterwards, as described by staleMember.
func checkReturningMembers(t *testing.T, omit ...consensus.Rule) string {
	s := newLoadedCluster(t, omit...)
	var history []commitProgress
	violation := ""
	recordProgress := func() bool {
		highest := uint64(0)
		for _, replica := range s.replicas {
			highest = max(highest, replica.group.Status().CommitIndex)
		}
		history = append(history, commitProgress{time: s.clock.now, commit: highest})
		if violation == "" {
			violation = s.staleMember(history)
		}
		return violation != ""
	}
	for round := range 9 {
		chosen := s.replicas[round%len(s.replicas)]
		switch round % 3 {
		case 0:
			s.stopFor(chosen, 4*time.Second)
			s.rejoin(chosen, rejoinRestarted, 0)
		case 1:
			chosen.partitioned = true
			s.runFor(4 * time.Second)
			chosen.partitioned = false
		case 2:
			chosen.stalled = true
			s.runFor(4 * time.Second)
			chosen.stalled = false
		}
		until := s.clock.now + 2*time.Second
		s.runUntil("a stale member counts as current, or 2 s have passed", testTimeout, func() bool {
			return recordProgress() || s.clock.now >= until
		})
	}
	return violation
}

// TestGroup_staleMemberIsNotCurrent checks that members that return without the latest changes, up to hundreds, do not count as
// current until they have all that the leader has committed, and that they would without RuleConfirmedUpToDate.
func TestGroup_staleMemberIsNotCurrent(t *testing.T) {
	if violation := checkReturningMembers(t); violation != "" {
		t.Error(violation)
	}
	violation := checkReturningMembers(t, consensus.RuleConfirmedUpToDate)
	if violation == "" {
		t.Errorf("rule %s omitted: no stale member counts as current, want a violation", consensus.RuleConfirmedUpToDate)
	}
	t.Log(violation)
}

// TestGroup_staleMemberNeitherLeadsNorConfirmsReads partitions a leader under load. It must reject a read meanwhile, and must not
// lead after the partition until it has caught up.
func TestGroup_staleMemberNeitherLeadsNorConfirmsReads(t *testing.T) {
	s := newLoadedCluster(t)
	for range 6 {
		previousLeader := s.leader()
		previousLeader.partitioned = true
		readDone := newOutcomeChannel()
		previousLeader.group.queue.push(readEvent{readDone})
		s.runFor(4 * time.Second)
		if len(readDone) == 0 || (<-readDone).err == nil {
			t.Fatalf("the read barrier at partitioned leader %d did not fail within 4 s", previousLeader.member.ID)
		}
		target := s.leader().group.Status().CommitIndex
		previousLeader.partitioned = false
		s.runUntil("the former leader has caught up", testTimeout, func() bool {
			status := previousLeader.group.Status()
			if status.IsLeader() && status.AppliedIndex < target {
				t.Fatalf("member %d leads at applied index %d, but index %d was committed before",
					previousLeader.member.ID, status.AppliedIndex, target)
			}
			return status.AppliedIndex >= target
		})
	}
}
