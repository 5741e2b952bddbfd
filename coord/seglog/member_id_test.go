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

// settledDisk has a member ID and one file of a replica, both durable.
func settledDisk(t *testing.T) *seglogtest.Disk {
	t.Helper()
	disk := seglogtest.NewDisk()
	if _, _, err := startMember(disk, firstMember); err != nil {
		t.Fatal(err)
	}
	disk.WriteFile(replicaFile, []byte("promises"))
	return disk
}

// startMember does what a keeper does at its start.
func startMember(disk *seglogtest.Disk, drawn consensus.MemberID) (consensus.MemberID, bool, error) {
	lost, err := seglog.RemoveOrphans(disk, dataDirectory, []string{replicaDirectory})
	if err != nil {
		return 0, lost, err
	}
	id, _, err := seglog.MemberID(disk, dataDirectory, func() consensus.MemberID { return drawn })
	return id, lost, err
}

func hasReplica(disk *seglogtest.Disk) bool {
	_, err := disk.ReadFile(replicaFile)
	return err == nil
}

func TestIntactMemberKeepsItsReplicas(t *testing.T) {
	disk := settledDisk(t)
	id, lost, err := startMember(disk, secondMember)
	if err != nil || lost || id != firstMember || !hasReplica(disk) {
		t.Fatal(id, lost, err, hasReplica(disk))
	}
}

// TestLostMemberTakesNoReplicaAlong loses power before each operation of a start, and of the one after it.
func TestLostMemberTakesNoReplicaAlong(t *testing.T) {
	troubles := map[string]func(disk *seglogtest.Disk) error{
		"damaged":   func(disk *seglogtest.Disk) error { disk.WriteFile(memberFile, []byte("?")); return nil },
		"forgotten": func(disk *seglogtest.Disk) error { return seglog.ForgetMember(disk, dataDirectory) },
	}
	for name, trouble := range troubles {
		for operations := int64(0); ; operations++ {
			disk := settledDisk(t)
			if err := trouble(disk); err != nil {
				t.Fatal(err)
			}
			disk.Operations = operations
			_, _, failure := startMember(disk, secondMember)
			disk.LosePower(newRandom(uint64(operations)))
			id, _, err := startMember(disk, secondMember)
			if err != nil || id != secondMember || hasReplica(disk) {
				t.Fatalf("%s, power lost before operation %d: member %d, replica kept: %t, %v", name, operations, id, hasReplica(disk), err)
			}
			if failure == nil {
				break
			}
		}
	}
}

func TestForgettingInterrupted(t *testing.T) {
	for operations := int64(0); ; operations++ {
		disk := settledDisk(t)
		disk.Operations = operations
		failure := seglog.ForgetMember(disk, dataDirectory)
		disk.LosePower(newRandom(uint64(operations)))
		id, _, err := startMember(disk, secondMember)
		if err != nil || hasReplica(disk) != (id == firstMember) {
			t.Fatalf("power lost before operation %d: member %d, replica kept: %t, %v", operations, id, hasReplica(disk), err)
		}
		if failure == nil {
			if id != secondMember {
				t.Fatal("a member that was forgotten came back")
			}
			return
		}
	}
}
