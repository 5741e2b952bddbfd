package replica

import (
	"testing"
	"time"

	"ospreybend/coord/consensus"
	"ospreybend/coord/seglog"
	"ospreybend/coord/seglog/seglogtest"
	"ospreybend/coord/shards"
)

// TestGroup_returningMembersCatchUpWithinBound stops members for 0.1 to 60 s under a load of 30 changes per second. Each must be
// up to date within catchUpS after it rejoins, whether restarted, wiped or replaced.
func TestGroup_returningMembersCatchUpWithinBound(t *testing.T) {
	s := newLoadedCluster(t)
	memberID := 3
	for _, span := range []time.Duration{100 * time.Millisecond, time.Second, 4 * time.Second, 15 * time.Second, 60 * time.Second} {
		for _, mode := range []rejoinMode{rejoinRestarted, rejoinWiped, rejoinReplaced} {
			memberID++
			chosen := s.replicas[memberID%len(s.replicas)]
			previous := s.proposedChanges
			s.stopFor(chosen, span)
			missedChanges := s.proposedChanges - previous
			start := s.clock.now
			returned := s.rejoin(chosen, mode, memberID)
			s.runUntil("the returned member is up to date", testTimeout, func() bool { return s.isCurrent(returned) })
			took := s.clock.now - start
			if took > catchUpBound {
				t.Errorf("%s after %v: up to date after %v, want at most %v", mode, span, took, catchUpBound)
			}
			t.Logf("%-9s after %5v, %4d changes missed: up to date after %v", mode, span, missedChanges, took)
			if mode != rejoinRestarted {
				voter := returned.member
				voter.Voter = true
				s.changeMembers(consensus.MembershipChange{Add: &voter})
			}
		}
	}
	if s.proposedChanges < minChanges {
		t.Fatalf("%d changes proposed, want at least %d", s.proposedChanges, minChanges)
	}
	for replica, peak := range s.peakDiskBytes {
		if bound := replicaDiskBound(stateBytes, maxInflightMessages*maxAppendBytes); peak > bound {
			t.Errorf("member %d: up to %d bytes on disk, want at most %d", replica.member.ID, peak, bound)
		}
	}
}

// replicaDiskBound returns the maximum size of a replica on disk. It is the sum of a segment that a snapshot could not remove
// because it was written in one batch with a later entry, the log up to the next snapshot, the batch whose entry makes that
// snapshot due, and two snapshots.
func replicaDiskBound(snapshot, batch int64) int64 {
	return batch + seglog.DefaultSegmentBytes + compactionLogBytes + batch + 2*snapshot
}

// Sizes in bytes on a machine's disk. Pending at a leader are the entries that wait for a majority; pending at a follower are the
// entries that were sent to it and that it has not acknowledged. Package consensus limits the former to 8 MiB and the latter to
// the messages in flight and one entry, as its tests show. A document is at most 8 MiB, the limit of the call that carries it,
// plus 512 KiB of remembered changes; a shard of instances is at most 2 MiB.
const (
	diskCapacity            = 128_000_000
	maxDocumentBytes        = 8 << 20
	maxPendingDocumentBytes = maxInflightMessages*maxAppendBytes + maxDocumentBytes
	maxSnapshotBytes        = maxDocumentBytes + 512<<10
	maxPendingInstanceBytes = maxInflightMessages * maxAppendBytes
	maxInstanceBytes        = 2 << 20
)

// TestDiskBound_allReplicasFitOnDisk checks that the disk holds all replicas of a control plane server at their maximum sizes.
func TestDiskBound_allReplicasFitOnDisk(t *testing.T) {
	configuration := replicaDiskBound(maxSnapshotBytes, maxPendingDocumentBytes)
	instances := replicaDiskBound(maxInstanceBytes, maxPendingInstanceBytes)
	total := configuration + shards.ServiceShardCount*instances
	t.Logf("all replicas: at most %d MiB", total>>20)
	if total > diskCapacity {
		t.Errorf("all replicas take up to %d bytes on disk, want at most %d", total, diskCapacity)
	}
}

// TestGroup_failedSnapshotsLeaveNoFiles fails one disk operation of a member each second under load, with occasional power losses.
// Failed snapshots must not leave files behind: the disk usage must stay within replicaDiskBound.
func TestGroup_failedSnapshotsLeaveNoFiles(t *testing.T) {
	s := newLoadedCluster(t)
	for round := range 40 {
		chosen := s.replicas[round%len(s.replicas)]
		chosen.disk.FailOperation = int64(1 + round%7)
		s.runFor(time.Second)
		chosen.disk.FailOperation = 0
		if round%5 == 4 {
			s.restart(chosen, true, uint64(round))
			s.runUntil("the restarted member is up to date", testTimeout, func() bool { return s.isCurrent(chosen) })
		}
	}
	s.runUntil("all members are up to date", testTimeout, func() bool {
		return s.isCurrent(s.replicas[0]) && s.isCurrent(s.replicas[1]) && s.isCurrent(s.replicas[2])
	})
	for replica, peak := range s.peakDiskBytes {
		if bound := replicaDiskBound(stateBytes, 2*documentChangeBytes); peak > bound {
			t.Errorf("member %d: up to %d bytes on disk, want at most %d", replica.member.ID, peak, bound)
		}
		t.Logf("member %d: %d KiB at most", replica.member.ID, peak>>10)
	}
}

// TestGroup_fullDiskDuringSnapshots fills the leader's disk at various points, later even so that no file can be created or
// renamed. The others must continue, with another leader if no space is left; the usage of the full disk must not grow; and the
// member must catch up once space is freed.
func TestGroup_fullDiskDuringSnapshots(t *testing.T) {
	for _, freeBytes := range []int64{0, 1 << 10, stateBytes / 2, stateBytes, stateBytes + 100, 1 << 20} {
		s := newLoadedCluster(t)
		full := s.leader()
		s.runFor(2 * time.Second)
		full.disk.FreeBytes = freeBytes
		s.runFor(20 * time.Second)
		if leader := s.leader(); leader == full && full.disk.FreeBytes == 0 {
			t.Errorf("%d bytes free: member %d still leads although its disk is full", freeBytes, full.member.ID)
		}
		previous := full.disk.UsedBytes()
		full.disk.Full = true
		s.runFor(5 * time.Second)
		if after := full.disk.UsedBytes(); after > previous {
			t.Errorf("%d bytes free: the usage of the full disk grew from %d to %d bytes", freeBytes, previous, after)
		}
		full.disk.Full, full.disk.FreeBytes = false, seglogtest.Unlimited
		took := s.runUntil("the member is up to date and writable", testTimeout, func() bool {
			return s.isCurrent(full) && full.group.Status().Writable
		})
		if took > catchUpBound {
			t.Errorf("%d bytes free: up to date %v after space was freed, want at most %v", freeBytes, took, catchUpBound)
		}
		t.Logf("%7d bytes free: up to date %v after space was freed", freeBytes, took)
	}
}

// TestGroup_stalledDiskDuringSnapshots stalls the leader's disk for 3 s at a time under load. The others must continue, and the
// stalled member must catch up afterwards.
func TestGroup_stalledDiskDuringSnapshots(t *testing.T) {
	s := newLoadedCluster(t)
	for round := range 12 {
		stalled := s.leader()
		stalled.stalled = true
		previous := s.proposedChanges
		s.runFor(3 * time.Second)
		if s.proposedChanges-previous < 30 {
			t.Errorf("round %d: %d changes proposed in 3 s, want at least 30", round, s.proposedChanges-previous)
		}
		stalled.stalled = false
		took := s.runUntil("the stalled member is up to date", testTimeout, func() bool { return s.isCurrent(stalled) })
		if took > catchUpBound {
			t.Errorf("round %d: up to date %v after the stall, want at most %v", round, took, catchUpBound)
		}
	}
}
