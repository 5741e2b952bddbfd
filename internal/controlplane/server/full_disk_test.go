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

// newIdentityResolver returns the resolver of a seed at the first start of its cluster.
func newIdentityResolver(disk *seglogtest.MemoryDisk) *identityResolver {
	config := bootconfig.Defaults()
	config.Bootstrap, config.DataDir = true, "data"
	config.PortRange = [2]int{7000, 7015}
	config.Seeds = []string{"10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80"}
	environment := Environment{FileSystem: disk}.withDefaults()
	return &identityResolver{settings: config, address: seedPeerAddresses(config)[0], environment: environment}
}

// resolveAfterFullDisk resolves the member ID while the disk is full, frees space after fullFor, and returns the result.
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
		t.Fatalf("resolving the member ID ended with %v while the disk was full, want it to retry", <-done)
	}
	disk.Full = false
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	return self, founders
}

// TestIdentityResolver_ResolveWithRetry_fullDiskWaits checks that a server waits, instead of exiting, while its disk is too full to store a
// member ID.
func TestIdentityResolver_ResolveWithRetry_fullDiskWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		disk := seglogtest.NewMemoryDisk()
		self, founders := resolveAfterFullDisk(t, disk, 10*time.Second)
		if self.ID != memberID(self.Address, founderNonce) || len(founders) != 3 {
			t.Fatalf("got member %+v and founders %v, want the founder ID of its address and 3 founders", self, founders)
		}
	})
}

// TestIdentityResolver_ResolveWithRetry_lostDiskStaysLostWhileFull covers an attempt that removes the replicas of a lost disk but cannot
// store a new ID: the ID that a later attempt stores must still not bootstrap groups.
func TestIdentityResolver_ResolveWithRetry_lostDiskStaysLostWhileFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		disk := seglogtest.NewMemoryDisk()
		disk.WriteFile(filepath.Join("data", "member"), []byte("?"))
		disk.WriteFile(filepath.Join("data", "shard-1", "segment"), []byte("votes"))
		self, founders := resolveAfterFullDisk(t, disk, 3*time.Second)
		if self.ID == memberID(self.Address, founderNonce) || founders != nil {
			t.Fatalf("got member %+v and founders %v, want another member ID and no founders", self, founders)
		}
	})
}
