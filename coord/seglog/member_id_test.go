package seglog_test

import (
	"path/filepath"
	"testing"

	"ospreybend/coord/consensus"
	"ospreybend/coord/seglog"
	"ospreybend/coord/seglog/seglogtest"
)

const (
	dataDirectory    = "data"
	replicaDirectory = "data/shard-0"
	firstMember      = 11
	secondMember     = 22
)

var (
	memberFile  = filepath.Join(dataDirectory, "member")
	replicaFile = filepath.Join(replicaDirectory, "segment")
)

// diskWithReplica returns a disk with a member ID and one file of a replica, both durable.
func diskWithReplica(t *testing.T) *seglogtest.MemoryDisk {
	t.Helper()
	disk := seglogtest.NewMemoryDisk()
	if _, _, err := startMember(disk, firstMember); err != nil {
		t.Fatal(err)
	}
	disk.WriteFile(replicaFile, []byte("votes"))
	return disk
}

// startMember does what a control plane server does when it starts.
func startMember(disk *seglogtest.MemoryDisk, newID consensus.MemberID) (consensus.MemberID, bool, error) {
	lost, err := seglog.RemoveOrphanedReplicas(disk, dataDirectory, []string{replicaDirectory})
	if err != nil {
		return 0, lost, err
	}
	id, _, err := seglog.LoadOrCreateMemberID(disk, dataDirectory, func() consensus.MemberID { return newID })
	return id, lost, err
}

func hasReplica(disk *seglogtest.MemoryDisk) bool {
	_, err := disk.ReadFile(replicaFile)
	return err == nil
}

func TestRemoveOrphanedReplicas_keepsReplicasOfIntactMember(t *testing.T) {
	disk := diskWithReplica(t)
	id, lost, err := startMember(disk, secondMember)
	if err != nil || lost || id != firstMember || !hasReplica(disk) {
		t.Fatal(id, lost, err, hasReplica(disk))
	}
}

// TestRemoveOrphanedReplicas_removesReplicasOfLostMember loses power before each operation of a start, and checks the next one.
func TestRemoveOrphanedReplicas_removesReplicasOfLostMember(t *testing.T) {
	faults := map[string]func(disk *seglogtest.MemoryDisk) error{
		"corrupt": func(disk *seglogtest.MemoryDisk) error { disk.WriteFile(memberFile, []byte("?")); return nil },
		"removed": func(disk *seglogtest.MemoryDisk) error { return seglog.RemoveMemberID(disk, dataDirectory) },
	}
	for name, injectFault := range faults {
		for operations := int64(0); ; operations++ {
			disk := diskWithReplica(t)
			if err := injectFault(disk); err != nil {
				t.Fatal(err)
			}
			disk.RemainingOperations = operations
			_, _, failure := startMember(disk, secondMember)
			disk.LosePower(newRandom(uint64(operations)))
			id, _, err := startMember(disk, secondMember)
			if err != nil || id != secondMember || hasReplica(disk) {
				t.Fatalf("%s, power lost before operation %d: member %d, replica exists: %t, %v", name, operations, id, hasReplica(disk), err)
			}
			if failure == nil {
				break
			}
		}
	}
}

func TestRemoveMemberID_interruptedByPowerLoss(t *testing.T) {
	for operations := int64(0); ; operations++ {
		disk := diskWithReplica(t)
		disk.RemainingOperations = operations
		failure := seglog.RemoveMemberID(disk, dataDirectory)
		disk.LosePower(newRandom(uint64(operations)))
		id, _, err := startMember(disk, secondMember)
		if err != nil || hasReplica(disk) != (id == firstMember) {
			t.Fatalf("power lost before operation %d: member %d, replica exists: %t, %v", operations, id, hasReplica(disk), err)
		}
		if failure == nil {
			if id != secondMember {
				t.Fatal("a removed member ID was read again")
			}
			return
		}
	}
}
