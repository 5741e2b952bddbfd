package replica

import (
	"fmt"
	"testing"
	"time"

	"ospreybend/coord/consensus"
)

// Bounds of staleness, as the control plane server applies them.
const (
	maxCurrentAge     = 800 * time.Millisecond // a replica that was confirmed longer ago serves nothing as current
	confirmationDelay = 2 * messageDelay       // between a commit at the leader and its confirmation at a follower
)

// progress records how far the group had committed at a time.
type commitProgress struct {
	time   time.Duration
	commit uint64
}

// staleMember returns a description of a stale member that is treated as current: one that was recently confirmed although it
// lacks entries that were committed before that.
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
				return fmt.Sprintf("member %d is current at %d, committed was %d", replica.member.ID, status.AppliedIndex, history[i].commit)
			}
			break
		}
	}
	return ""
}

// checkReturningMembers stops, partitions and stalls members for seconds under load, and returns the first violation.
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
		s.runUntil("time", testTimeout, func() bool { return recordProgress() || s.clock.now >= until })
	}
	return violation
}

// TestGroup_staleMemberIsNotCurrent has members return that lack hundreds of changes: they do not count as current until they
// have what the leader has committed. Without that rule they would.
func TestGroup_staleMemberIsNotCurrent(t *testing.T) {
	if violation := checkReturningMembers(t); violation != "" {
		t.Error(violation)
	}
	violation := checkReturningMembers(t, consensus.RuleConfirmedUpToDate)
	if violation == "" {
		t.Error("current-held omitted: not detected")
	}
	t.Log(violation)
}

// TestGroup_staleMemberNeitherLeadsNorConfirmsReads partitions a leader under load: it answers no read meanwhile, and when it
// returns it neither leads nor answers before it has caught up.
func TestGroup_staleMemberNeitherLeadsNorConfirmsReads(t *testing.T) {
	s := newLoadedCluster(t)
	for range 6 {
		previousLeader := s.leader()
		previousLeader.partitioned = true
		readDone := newOutcomeChannel()
		previousLeader.group.queue.push(readEvent{readDone})
		s.runFor(4 * time.Second)
		if len(readDone) == 0 || (<-readDone).err == nil {
			t.Fatal("a partitioned leader answers a read")
		}
		target := s.leader().group.Status().CommitIndex
		previousLeader.partitioned = false
		s.runUntil("caught up", testTimeout, func() bool {
			status := previousLeader.group.Status()
			if status.IsLeader() && status.AppliedIndex < target {
				t.Fatalf("member %d leads at %d, committed was %d", previousLeader.member.ID, status.AppliedIndex, target)
			}
			return status.AppliedIndex >= target
		})
	}
}
