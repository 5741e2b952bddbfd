package server

import (
	"context"
	"errors"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"ospreybend/internal/node/zones/commands"
	"ospreybend/internal/node/zones/follower"
	"ospreybend/internal/node/zones/health"
	"ospreybend/internal/node/zones/replica"
	"ospreybend/internal/node/zones/replicatedlog"
	"ospreybend/internal/node/zones/store"
	"ospreybend/internal/node/zones/transport"
	"ospreybend/internal/testkit/fakeplatform"
)

// fillingStore is a store whose writes fail as on a full disk while full is set.
type fillingStore struct {
	durableStore
	full *atomic.Bool
	path string
}

func (f *fillingStore) Write(p replicatedlog.Persist) error {
	if f.full.Load() {
		return &store.Error{Path: f.path, Err: syscall.ENOSPC}
	}
	return f.durableStore.Write(p)
}

// threeServers is a group of three voters in this process that communicate over loopback.
type threeServers struct {
	addresses map[uint64]string
	full      map[uint64]*atomic.Bool
	ended     map[uint64]chan error
	client    *transport.Client
}

func newThreeServers(t *testing.T) *threeServers {
	servers := &threeServers{addresses: map[uint64]string{}, full: map[uint64]*atomic.Bool{}, ended: map[uint64]chan error{}, client: transport.NewClient()}
	dir := t.TempDir()
	for id := uint64(1); id <= 3; id++ {
		address, err := fakeplatform.FreeAddress()
		if err != nil {
			t.Fatal(err)
		}
		servers.addresses[id] = address
	}
	ctx, cancel := context.WithCancel(t.Context())
	for id := range servers.addresses {
		path := filepath.Join(dir, "store"+string(rune('0'+id)))
		s, err := Open(Config{Fleet: "f", ID: id, Listen: servers.addresses[id], StorePath: path, Voters: servers.addresses, InitialVoters: []uint64{1, 2, 3}, Settings: replica.DefaultSettings()})
		if err != nil {
			t.Fatal(err)
		}
		servers.full[id], servers.ended[id] = &atomic.Bool{}, make(chan error, 1)
		s.store = &fillingStore{s.store, servers.full[id], path}
		go func() { servers.ended[id] <- s.Run(ctx) }()
	}
	t.Cleanup(func() {
		cancel()
		for _, ended := range servers.ended {
			if err := <-ended; err != nil {
				t.Logf("a voter ended with error %v", err)
			}
		}
		servers.client.Close()
	})
	return servers
}

// leader waits until a voter other than the given one leads.
func (servers *threeServers) leader(t *testing.T, not uint64) (leader uint64) {
	t.Helper()
	if err := fakeplatform.WaitUntil(t.Context(), 10*time.Second, func() bool {
		for id, address := range servers.addresses {
			if id == not {
				continue
			}
			if s, err := servers.client.Status(t.Context(), address); err == nil && s.Leader == id {
				leader = id
				return true
			}
		}
		return false
	}); err != nil {
		t.Fatal(err)
	}
	return leader
}

// When the leader's disk is full, it stops with an error that names its file. Another voter then leads with everything
// that was committed before, and the store of the stopped voter can be opened again.
func TestServer_fullDiskAtLeader(t *testing.T) {
	servers := newThreeServers(t)
	first := servers.leader(t, 0)
	for i, name := range []string{"n", "m"} {
		zone := string(rune('a' + i))
		if _, err := servers.client.Report(t.Context(), servers.addresses[first], follower.Report{Fleet: "f", Name: name, Zone: zone, Incarnation: 1, Sequence: 1,
			Observations: health.Observations{zone: {}}}); err != nil {
			t.Fatal(err)
		}
	}
	override := commands.Override{Zone: "a", Action: commands.OverrideFreeze, Reason: "before", Until: time.Now().Add(time.Hour).UnixMicro()}
	if err := servers.client.ApplyOverride(t.Context(), servers.addresses[first], override); err != nil {
		t.Fatal(err)
	}
	servers.full[first].Store(true)
	override.Zone, override.Reason = "b", "after"
	_ = servers.client.ApplyOverride(t.Context(), servers.addresses[first], override) // its outcome is unknown
	err := <-servers.ended[first]
	servers.ended[first] <- nil
	var storeErr *store.Error
	if !errors.As(err, &storeErr) || !strings.Contains(err.Error(), "store"+string(rune('0'+first))) || !errors.Is(err, syscall.ENOSPC) {
		t.Errorf("voter %d with a full disk: got error %v, want a store.Error with its file and ENOSPC", first, err)
	}
	second := servers.leader(t, first)
	override.Zone = "c"
	if err := servers.client.ApplyOverride(t.Context(), servers.addresses[second], override); err != nil {
		t.Errorf("override at the new leader: got error %v, want none", err)
	}
	s, err := servers.client.Status(t.Context(), servers.addresses[second])
	if err != nil || s.Table.Overrides["a"].Reason != "before" || s.Table.Overrides["c"].Reason != "after" {
		t.Errorf("status of the new leader: table %+v, error %v, want overrides with reason \"before\" for a and \"after\" for c", s.Table, err)
	}
	again, _, err := store.Open(storeErr.Path, store.Owner{Fleet: "f", Voter: first})
	if err != nil {
		t.Fatal(err)
	}
	again.Close()
}

// A follower forwards an override to the leader, and rejects an invalid override and a report of another fleet with an
// error that names the invalid value.
func TestServer_callsOverTransport(t *testing.T) {
	servers := newThreeServers(t)
	leader := servers.leader(t, 0)
	other := leader%3 + 1
	if err := servers.client.ApplyOverride(t.Context(), servers.addresses[other], commands.Override{Zone: "a", Action: commands.OverrideFreeze, Reason: "r", Until: 1 << 60}); err != nil {
		t.Errorf("override at a follower: got error %v, want none", err)
	}
	if err := servers.client.ApplyOverride(t.Context(), servers.addresses[other], commands.Override{Zone: "a", Action: "burn"}); err == nil || !strings.Contains(err.Error(), "burn") {
		t.Errorf("override with an unknown action: got error %v, want one that names the action burn", err)
	}
	if _, err := servers.client.Report(t.Context(), servers.addresses[other], follower.Report{Fleet: "g", Name: "n", Zone: "a"}); err == nil || !strings.Contains(err.Error(), `not "g"`) {
		t.Errorf("report of another fleet: got error %v, want one that names the fleet g", err)
	}
}
