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

// fillingStore is a store that can be made to fail as on a full disk.
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

// threeServers is a group of voters over loopback in this process.
type threeServers struct {
	at     map[uint64]string
	full   map[uint64]*atomic.Bool
	ended  map[uint64]chan error
	client *transport.Client
}

func newThreeServers(t *testing.T) *threeServers {
	v := &threeServers{at: map[uint64]string{}, full: map[uint64]*atomic.Bool{}, ended: map[uint64]chan error{}, client: transport.NewClient()}
	dir := t.TempDir()
	for id := uint64(1); id <= 3; id++ {
		at, err := fakeplatform.FreeAddress()
		if err != nil {
			t.Fatal(err)
		}
		v.at[id] = at
	}
	ctx, cancel := context.WithCancel(t.Context())
	for id := range v.at {
		path := filepath.Join(dir, "store"+string(rune('0'+id)))
		s, err := Open(Config{Fleet: "f", ID: id, Listen: v.at[id], StorePath: path, Voters: v.at, InitialVoters: []uint64{1, 2, 3}, Settings: replica.DefaultSettings()})
		if err != nil {
			t.Fatal(err)
		}
		v.full[id], v.ended[id] = &atomic.Bool{}, make(chan error, 1)
		s.store = &fillingStore{s.store, v.full[id], path}
		go func() { v.ended[id] <- s.Run(ctx) }()
	}
	t.Cleanup(func() {
		cancel()
		for _, ended := range v.ended {
			if err := <-ended; err != nil {
				t.Log(err)
			}
		}
		v.client.Close()
	})
	return v
}

// leader waits until a voter other than the given one leads.
func (v *threeServers) leader(t *testing.T, not uint64) (leader uint64) {
	t.Helper()
	if err := fakeplatform.Until(t.Context(), 10*time.Second, func() bool {
		for id, at := range v.at {
			if id == not {
				continue
			}
			if s, err := v.client.Status(t.Context(), at); err == nil && s.Leader == id {
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

// The leader's disk is full: it stops with an error that names its file, another voter leads with all that was
// committed before, and the store of the stopped one is intact.
func TestServer_fullDiskAtLeader(t *testing.T) {
	v := newThreeServers(t)
	first := v.leader(t, 0)
	for i, name := range []string{"n", "m"} {
		zone := string(rune('a' + i))
		if _, err := v.client.Report(t.Context(), v.at[first], follower.Report{Fleet: "f", Name: name, Zone: zone, Incarnation: 1, Sequence: 1,
			Observations: health.Observations{zone: {}}}); err != nil {
			t.Fatal(err)
		}
	}
	word := commands.Override{Zone: "a", Action: commands.OverrideFreeze, Reason: "before", Until: time.Now().Add(time.Hour).UnixMicro()}
	if err := v.client.ApplyOverride(t.Context(), v.at[first], word); err != nil {
		t.Fatal(err)
	}
	v.full[first].Store(true)
	word.Zone, word.Reason = "b", "after"
	_ = v.client.ApplyOverride(t.Context(), v.at[first], word) // its outcome is unknown
	err := <-v.ended[first]
	v.ended[first] <- nil
	var f *store.Error
	if !errors.As(err, &f) || !strings.Contains(err.Error(), "store"+string(rune('0'+first))) || !errors.Is(err, syscall.ENOSPC) {
		t.Errorf("it stops with %v", err)
	}
	second := v.leader(t, first)
	word.Zone = "c"
	if err := v.client.ApplyOverride(t.Context(), v.at[second], word); err != nil {
		t.Errorf("no override is accepted any more: %v", err)
	}
	s, err := v.client.Status(t.Context(), v.at[second])
	if err != nil || s.Table.Overrides["a"].Reason != "before" || s.Table.Overrides["c"].Reason != "after" {
		t.Errorf("committed state: %+v, %v", s.Table, err)
	}
	again, _, err := store.Open(f.Path, store.Owner{Fleet: "f", Voter: first})
	if err != nil {
		t.Fatal(err)
	}
	again.Close()
}

// After the leader stops, overrides are accepted again within a few seconds at any voter; foreign fleets are rejected.
func TestServer_callsOverTransport(t *testing.T) {
	v := newThreeServers(t)
	leader := v.leader(t, 0)
	other := leader%3 + 1
	if err := v.client.ApplyOverride(t.Context(), v.at[other], commands.Override{Zone: "a", Action: commands.OverrideFreeze, Reason: "r", Until: 1 << 60}); err != nil {
		t.Errorf("a follower forwards nothing: %v", err)
	}
	if err := v.client.ApplyOverride(t.Context(), v.at[other], commands.Override{Zone: "a", Action: "burn"}); err == nil || !strings.Contains(err.Error(), "burn") {
		t.Errorf("invalid override: %v", err)
	}
	if _, err := v.client.Report(t.Context(), v.at[other], follower.Report{Fleet: "g", Name: "n", Zone: "a"}); err == nil || !strings.Contains(err.Error(), `not "g"`) {
		t.Errorf("foreign fleet: %v", err)
	}
}
