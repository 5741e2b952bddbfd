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

// diskWithReplica returns a disk that durably contains the member ID firstMember and one file of a replica.
func diskWithReplica(t *testing.T) *seglogtest.MemoryDisk {
	t.Helper()
	disk := seglogtest.NewMemoryDisk()
	if _, _, err := loadMemberAtStartup(disk, firstMember); err != nil {
		t.Fatal(err)
	}
	disk.WriteFile(replicaFile, []byte("votes"))
	return disk
}

// loadMemberAtStartup handles the member ID as a control plane server does at startup.
func loadMemberAtStartup(disk *seglogtest.MemoryDisk, newID consensus.MemberID) (consensus.MemberID, bool, error) {
	lost, err := seglog.RemoveOrphanedReplicas(disk, dataDirectory, []string{replicaDirectory})
	if err != nil {
		return 0, lost, err
	}
	id, _, err := seglog.LoadOrCreateMemberID(disk, dataDirectory, func() consensus.MemberID { return newID })
	return id, lost, err
}

// hasReplica reports whether the file of the replica exists.
func hasReplica(disk *seglogtest.MemoryDisk) bool {
	_, err := disk.ReadFile(replicaFile)
	return err == nil
}

func TestRemoveOrphanedReplicas_keepsReplicasOfIntactMember(t *testing.T) {
	disk := diskWithReplica(t)
	id, lost, err := loadMemberAtStartup(disk, secondMember)
	if err != nil || lost || id != firstMember || !hasReplica(disk) {
		t.Fatalf("got member ID %d, lost %t, error %v, replica exists %t; want %d, false, nil, true",
			id, lost, err, hasReplica(disk), firstMember)
	}
}

// TestRemoveOrphanedReplicas_removesReplicasOfLostMember loses power before each disk operation of a startup whose member
// ID is corrupt or missing: the next startup must create a new ID and leave no replica of the old one.
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
			_, _, failure := loadMemberAtStartup(disk, secondMember)
			disk.LosePower(newRandom(uint64(operations)))
			id, _, err := loadMemberAtStartup(disk, secondMember)
			if err != nil || id != secondMember || hasReplica(disk) {
				t.Fatalf("member ID %s, power lost before operation %d: got member ID %d, replica exists %t, error %v; want %d, false, nil",
					name, operations, id, hasReplica(disk), err, secondMember)
			}
			if failure == nil {
				break
			}
		}
	}
}

// TestRemoveMemberID_interruptedByPowerLoss loses power before each disk operation of RemoveMemberID: afterwards, the old
// ID and its replica must both exist or both be gone.
func TestRemoveMemberID_interruptedByPowerLoss(t *testing.T) {
	for operations := int64(0); ; operations++ {
		disk := diskWithReplica(t)
		disk.RemainingOperations = operations
		failure := seglog.RemoveMemberID(disk, dataDirectory)
		disk.LosePower(newRandom(uint64(operations)))
		id, _, err := loadMemberAtStartup(disk, secondMember)
		if err != nil || hasReplica(disk) != (id == firstMember) {
			t.Fatalf("power lost before operation %d: got member ID %d, replica exists %t, error %v; "+
				"want a replica only with member ID %d",
				operations, id, hasReplica(disk), err, firstMember)
		}
		if failure == nil {
			if id != secondMember {
				t.Fatalf("after RemoveMemberID: got member ID %d, want the new ID %d", id, secondMember)
			}
			return
		}
	}
}
