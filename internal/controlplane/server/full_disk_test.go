package server

import (
	"context"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"ospreybend/coord/consensus"
	"ospreybend/coord/seglog/seglogtest"
	"ospreybend/internal/util/bootconfig"
)

// newIdentityResolver is the start of a seed at the system's first start.
func newIdentityResolver(disk *seglogtest.MemoryDisk) *identityResolver {
	config := bootconfig.Defaults()
	config.Bootstrap, config.DataDir = true, "data"
	config.PortRange = [2]int{7000, 7015}
	config.Seeds = []string{"10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80"}
	environment := Environment{FileSystem: disk}.withDefaults()
	return &identityResolver{settings: config, address: seedPeerAddresses(config)[0], environment: environment}
}

// resolveAfterFreeing fills the disk, begins the start, makes room after a while and returns the ID.
func resolveAfterFullDisk(t *testing.T, disk *seglogtest.MemoryDisk, fullFor time.Duration) (self consensus.Member, founders []consensus.Member) {
	t.Helper()
	disk.Full = true
	done := make(chan error, 1)
	go func() {
		var err error
		self, founders, err = newIdentityResolver(disk).resolveWithRetry(context.Background(), zap.NewNop())
		done <- err
	}()
	time.Sleep(fullFor)
	synctest.Wait()
	if len(done) > 0 {
		t.Fatalf("the start has ended on a full disk: %v", <-done)
	}
	disk.Full = false
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	return self, founders
}

// TestIdentityResolver_ResolveWithRetry_fullDiskWaits has a process whose disk takes no member ID wait instead of ending.
func TestIdentityResolver_ResolveWithRetry_fullDiskWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		disk := seglogtest.NewMemoryDisk()
		self, founders := resolveAfterFullDisk(t, disk, 10*time.Second)
		if self.ID != memberID(self.Address, founderNonce) || len(founders) != 3 {
			t.Fatal(self, founders)
		}
	})
}

// TestIdentityResolver_ResolveWithRetry_lostDiskStaysLostWhileFull has the replicas of a lost disk removed at a try that cannot store a new ID: the
// ID of a later try founds nothing all the same.
func TestIdentityResolver_ResolveWithRetry_lostDiskStaysLostWhileFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		disk := seglogtest.NewMemoryDisk()
		disk.WriteFile(filepath.Join("data", "member"), []byte("?"))
		disk.WriteFile(filepath.Join("data", "shard-1", "segment"), []byte("promises"))
		self, founders := resolveAfterFullDisk(t, disk, 3*time.Second)
		if self.ID == memberID(self.Address, founderNonce) || founders != nil {
			t.Fatalf("member %+v founds %v", self, founders)
		}
	})
}
