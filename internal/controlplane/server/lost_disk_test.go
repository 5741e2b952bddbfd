package server

import (
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"ospreybend/coord/consensus"
	"ospreybend/coord/seglog"
	"ospreybend/internal/util/bootconfig"
)

// loadMemberID returns the member ID that is stored in a data directory.
func loadMemberID(t *testing.T, directory string) consensus.MemberID {
	t.Helper()
	id, created, err := seglog.LoadOrCreateMemberID(nil, directory, func() consensus.MemberID { return 1 })
	if err != nil || created {
		t.Fatalf("load the member ID of %s: created %v, error %v; want a stored one", directory, created, err)
	}
	return id
}

// resolveIdentity resolves the member of a data directory, and the founders if the server bootstraps the groups.
func resolveIdentity(settings bootconfig.Settings, address string) (consensus.Member, []consensus.Member, error) {
	resolver := identityResolver{settings: settings, address: address, environment: Environment{}.withDefaults()}
	return resolver.resolve()
}

func TestOpen_damagedMemberIDBootstrapsNothing(t *testing.T) {
	config := bootconfig.Defaults()
	config.Bootstrap, config.DataDir = true, t.TempDir()
	config.PortRange = [2]int{7000, 7015}
	config.Seeds = []string{"10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80"}
	address := seedPeerAddresses(config)[0]
	before, founders, err := resolveIdentity(config, address)
	if err != nil || len(founders) != 3 {
		t.Fatalf("first start: got member %+v, founders %v, error %v; want 3 founders", before, founders, err)
	}
	if again, founders, err := resolveIdentity(config, address); err != nil || again != before || len(founders) != 3 {
		t.Fatalf("second start: got member %+v, founders %v, error %v; want member %+v and 3 founders", again, founders, err, before)
	}
	if err := os.WriteFile(filepath.Join(config.DataDir, "member"), []byte("?"), 0o600); err != nil {
		t.Fatal(err)
	}
	after, founders, err := resolveIdentity(config, address)
	if err != nil || after.ID == before.ID || founders != nil {
		t.Fatalf("start with a damaged member ID: got member %d, founders %v, error %v; want another member than %d and no founders",
			after.ID, founders, err, before.ID)
	}
}

// TestIdentityResolver_Resolve_orphansCountAsLostDisk removes the member ID from a founder's disk but keeps its replicas, which hold votes
// and entries. The server must return as another member and bootstrap nothing. Without the guard it bootstraps the groups again, under
// the ID that has already voted.
func TestIdentityResolver_Resolve_orphansCountAsLostDisk(t *testing.T) {
	for _, omit := range [][]Guard{nil, {GuardOrphanReplicas}} {
		config := bootconfig.Defaults()
		config.Bootstrap, config.DataDir = true, t.TempDir()
		config.PortRange = [2]int{7000, 7015}
		config.Seeds = []string{"10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80"}
		address := seedPeerAddresses(config)[0]
		resolver := identityResolver{settings: config, address: address, environment: Environment{OmitGuards: omit}.withDefaults()}
		before, _, err := resolver.resolve()
		if err != nil {
			t.Fatal(err)
		}
		replica := replicaDirectory(config.DataDir, 1)
		if err := os.MkdirAll(replica, 0o700); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(replica, "segment-1"), []byte("votes"), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Remove(filepath.Join(config.DataDir, "member")); err != nil {
			t.Fatal(err)
		}
		after, founders, err := resolver.resolve()
		if err != nil {
			t.Fatal(err)
		}
		if bootstraps := founders != nil; bootstraps != (omit != nil) || (after.ID == before.ID) != (omit != nil) {
			t.Errorf("with guards %v omitted: got member %d after %d, bootstraps again: %v", omit, after.ID, before.ID, bootstraps)
		}
	}
}

func TestOpen_damagedReplicaCountsAsLostDisk(t *testing.T) {
	c := newTestCluster(t, 3)
	c.bootstrap(3)
	status, content := c.doUntilDefinitive(0, http.MethodPost, "/-/Config.Replace", 0, configurationJSON(1))
	c.requireStatus(http.StatusOK, status, content)
	c.terminate(2)
	directory := c.processes[2].config.DataDir
	before := loadMemberID(t, directory)
	damageSnapshot(t, replicaDirectory(directory, 1))
	c.processes[2].config.Bootstrap = false
	c.start(2)
	for i := range 3 {
		c.await("rejoin after a damaged replica", func() bool { return c.isConverged(i, 3) })
	}
	if after := loadMemberID(t, directory); after == before {
		t.Fatalf("the server with a damaged replica returned under its old member ID %d", before)
	}
	c.terminate(0) // the majority now needs the new member
	status, content = c.doUntilDefinitive(2, http.MethodPost, "/-/Config.Replace", 1, configurationJSON(2))
	c.requireStatus(http.StatusOK, status, content)
}

// damageSnapshot changes the last byte of a replica's snapshot.
func damageSnapshot(t *testing.T, directory string) {
	t.Helper()
	files, err := os.ReadDir(directory)
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		if !strings.HasSuffix(file.Name(), ".snapshot") {
			continue
		}
		path := filepath.Join(directory, file.Name())
		data, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		data[len(data)-1] ^= 0xff
		if err := os.WriteFile(path, data, 0o600); err != nil {
			t.Fatal(err)
		}
		return
	}
	t.Fatalf("found no snapshot in %s", directory)
}
