package server_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"ospreybend/coord/consensus"
	"ospreybend/coord/feed"
	"ospreybend/coord/replica"
	"ospreybend/coord/seglog"
	"ospreybend/coord/shards"
	"ospreybend/internal/controlplane/configuration"
	"ospreybend/internal/controlplane/registry"
	"ospreybend/internal/testkit/golden"
)

// applyTimeout bounds how long a group of one member may take to become leader and apply its stored entries.
const applyTimeout = 10 * time.Second

// replicatedStore is the interface that the stores of both kinds of shard share.
type replicatedStore interface {
	Snapshot() []byte
	Restore(snapshot []byte) error
}

// storeMachine is the state machine of a group that replicates a store.
type storeMachine struct {
	store replicatedStore
	apply func(index uint64, data []byte) feed.Change
}

func (m *storeMachine) Apply(entry consensus.Entry) any { return m.apply(entry.Index, entry.Data) }
func (m *storeMachine) Snapshot() []byte                { return m.store.Snapshot() }
func (m *storeMachine) Restore(_ uint64, data []byte) error {
	return m.store.Restore(data)
}

// diskFixture is the stored directory of a replica of one kind of shard, with the state that the replica must reach from it.
type diskFixture struct {
	name     string
	shard    shards.ID
	machine  *storeMachine
	commands [][]byte // the last two are stored after the snapshot
}

func (f diskFixture) directory() string { return filepath.Join(golden.Folder, f.name) }

func (f diskFixture) stateFile() string { return f.name + "-state" }

// diskFixtures returns a fixture for each kind of shard, with empty state machines.
func diskFixtures() []diskFixture {
	configurationStore, registryStore := configuration.NewStore(), registry.NewStore()
	return []diskFixture{
		{
			name: "configuration", shard: shards.ConfigurationShard,
			machine: &storeMachine{configurationStore, func(index uint64, data []byte) feed.Change {
				_, change := configurationStore.Apply(index, data)
				return change
			}},
			commands: configurationCommands(),
		},
		{
			name: "registry", shard: 1,
			machine: &storeMachine{registryStore, func(index uint64, data []byte) feed.Change {
				_, change := registryStore.Apply(index, data)
				return change
			}},
			commands: registryCommands(),
		},
	}
}

func configurationCommands() [][]byte {
	const service = `{"name":"chat","healthPath":"/health","maxConnections":100,"protocol":"h1","tls":false}`
	const route = `{"name":"r","hostname":"chat.example","pathPrefix":"/","routeType":"streaming","timeoutMs":4000,"service":"chat"}`
	const limits = `{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}`
	document := `{"generation":1,"routes":[` + route + `],"services":[` + service + `],"limits":` + limits + `,"notes":{"by":"a"}}`
	return [][]byte{
		configuration.EncodeCommand(configuration.Command{Kind: configuration.CommandReplace, Body: []byte(document)}),
		configuration.EncodeCommand(configuration.Command{Kind: configuration.CommandUpdate, Base: 1, Body: []byte(`{"generation":2}`)}),
		configuration.EncodeCommand(configuration.Command{Kind: configuration.CommandUpdate, Base: 1, Body: []byte(`{"generation":3}`)}), // rejected: the base is not current
		configuration.EncodeCommand(configuration.Command{Kind: configuration.CommandUpdate, Base: 2, Body: []byte(`{"generation":3}`)}),
	}
}

func registryCommands() [][]byte {
	instance := registry.Instance{
		ID: "worker-1", Service: "chat", Address: "192.0.2.20:8000", Zone: "zone-a", Generation: "v1", Slots: 64,
		State: registry.Draining, Stage: "decode", Models: []registry.Model{{Name: "m", Generation: 2, Adapters: []string{"a", "b"}}},
	}
	readyInstance, removedInstance := instance, instance
	readyInstance.ID, readyInstance.Address, readyInstance.State = "worker-2", "192.0.2.21:8000", registry.Ready
	removedInstance.ID, removedInstance.Address = "worker-3", "192.0.2.22:8000"
	return [][]byte{
		registry.EncodePut(instance, 7),
		registry.EncodePut(readyInstance, 1<<40),
		registry.EncodePut(removedInstance, 3),
		registry.EncodeRemove("worker-3", registry.Expired, 3),
		registry.EncodeRemove("worker-4", registry.NeverRegistered, 0),
		registry.EncodeAssign("worker-2", "prefill"),
		registry.EncodeStage("worker-1", "prefill"),
	}
}

// openGroup opens and runs a group of one member on a directory. If the directory is empty, it bootstraps the group.
func openGroup(t *testing.T, fixture diskFixture, directory string) *replica.Group {
	t.Helper()
	self := consensus.Member{ID: 41, Address: "192.0.2.1:7100", Voter: true}
	group, err := replica.Open(replica.Options{
		Shard: fixture.shard, Directory: directory, Self: self, BootstrapMembers: []consensus.Member{self}, StateMachine: fixture.machine,
		Send: func(consensus.Member, consensus.Message) {},
	})
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = group.Run(context.Background()) }()
	return group
}

// awaitApplied waits until a group's only member leads and has applied all stored entries.
func awaitApplied(t *testing.T, group *replica.Group) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), applyTimeout)
	defer cancel()
	for group.ReadBarrier(ctx) != nil {
		if ctx.Err() != nil {
			t.Fatalf("the group of one member has no leader after %s", applyTimeout)
		}
		time.Sleep(time.Millisecond)
	}
}

// A replica must open a directory that version 8782861 wrote and reach the recorded state.
func TestReplicaDirectory_readsVersion8782861(t *testing.T) {
	for _, fixture := range diskFixtures() {
		t.Run(fixture.name, func(t *testing.T) {
			directory := t.TempDir()
			if err := os.CopyFS(directory, os.DirFS(fixture.directory())); err != nil {
				t.Fatal(err)
			}
			log, stored, err := seglog.Open(seglog.Options{Directory: directory})
			if err != nil {
				t.Fatal(err)
			}
			if err := log.Close(); err != nil {
				t.Fatal(err)
			}
			last := fixture.commands[len(fixture.commands)-1]
			if stored.HardState.Vote != 41 || len(stored.Entries) == 0 || !bytes.Equal(stored.Entries[len(stored.Entries)-1].Data, last) {
				t.Errorf("stored hard state %+v and entries %+v, want the vote 41 and the last entry %q", stored.HardState, stored.Entries, last)
			}
			group := openGroup(t, fixture, directory)
			defer group.Close()
			awaitApplied(t, group)
			if state, want := fixture.machine.Snapshot(), golden.Read(t, fixture.stateFile()); !bytes.Equal(state, want) {
				t.Errorf("state %q, want %q", state, want)
			}
		})
	}
}
