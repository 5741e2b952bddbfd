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

// applyLimit bounds how long a group of one member may take to lead and to apply what it has stored.
const applyLimit = 10 * time.Second

// replicatedStore is what the two kinds of shard have in common.
type replicatedStore interface {
	Snapshot() []byte
	Restore(snapshot []byte) error
}

// storeMachine makes a store the state machine of a group.
type storeMachine struct {
	store replicatedStore
	apply func(index uint64, data []byte) feed.Change
}

func (m *storeMachine) Apply(entry consensus.Entry) any { return m.apply(entry.Index, entry.Data) }
func (m *storeMachine) Snapshot() []byte                { return m.store.Snapshot() }
func (m *storeMachine) Restore(_ uint64, data []byte) error {
	return m.store.Restore(data)
}

// diskFixture is a kind of shard whose replica's directory is a fixture, with the state that it must lead to.
type diskFixture struct {
	name     string
	shard    shards.ID
	machine  *storeMachine
	commands [][]byte // the last two come after the snapshot
}

func (f diskFixture) directory() string { return filepath.Join(golden.Folder, f.name) }

func (f diskFixture) stateFile() string { return f.name + "-state" }

// diskFixtures are the kinds of shard, with fresh state machines.
func diskFixtures() []diskFixture {
	documents, instances := configuration.NewStore(), registry.NewStore()
	return []diskFixture{
		{
			name: "configuration", shard: shards.ConfigurationShard,
			machine: &storeMachine{documents, func(index uint64, data []byte) feed.Change {
				_, change := documents.Apply(index, data)
				return change
			}},
			commands: configurationCommands(),
		},
		{
			name: "registry", shard: 1,
			machine: &storeMachine{instances, func(index uint64, data []byte) feed.Change {
				_, change := instances.Apply(index, data)
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
	whole := `{"generation":1,"routes":[` + route + `],"services":[` + service + `],"limits":` + limits + `,"notes":{"by":"a"}}`
	return [][]byte{
		configuration.EncodeCommand(configuration.Command{Kind: configuration.CommandReplace, Body: []byte(whole)}),
		configuration.EncodeCommand(configuration.Command{Kind: configuration.CommandUpdate, Base: 1, Body: []byte(`{"generation":2}`)}),
		configuration.EncodeCommand(configuration.Command{Kind: configuration.CommandUpdate, Base: 1, Body: []byte(`{"generation":3}`)}), // refused
		configuration.EncodeCommand(configuration.Command{Kind: configuration.CommandUpdate, Base: 2, Body: []byte(`{"generation":3}`)}),
	}
}

func registryCommands() [][]byte {
	instance := registry.Instance{
		ID: "worker-1", Service: "chat", Address: "192.0.2.20:8000", Zone: "zone-a", Generation: "v1", Slots: 64,
		State: registry.Draining, Stage: "decode", Models: []registry.Model{{Name: "m", Generation: 2, Adapters: []string{"a", "b"}}},
	}
	other, gone := instance, instance
	other.ID, other.Address, other.State = "worker-2", "192.0.2.21:8000", registry.Ready
	gone.ID, gone.Address = "worker-3", "192.0.2.22:8000"
	return [][]byte{
		registry.EncodePut(instance, 7),
		registry.EncodePut(other, 1<<40),
		registry.EncodePut(gone, 3),
		registry.EncodeRemove("worker-3", registry.Expired, 3),
		registry.EncodeRemove("worker-4", registry.NeverRegistered, 0),
		registry.EncodeAssign("worker-2", "prefill"),
		registry.EncodeStage("worker-1", "prefill"),
	}
}

// openGroup opens and runs a group of one member on a directory; it founds the group if the directory is empty.
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

// awaitApplied waits until a group leads and has applied all that is stored.
func awaitApplied(t *testing.T, group *replica.Group) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), applyLimit)
	defer cancel()
	for group.ReadBarrier(ctx) != nil {
		if ctx.Err() != nil {
			t.Fatal("the group does not lead")
		}
		time.Sleep(time.Millisecond)
	}
}

// A replica of the new program reads the directory of an earlier one, and comes to the same state.
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
				t.Errorf("hard state %+v, entries %+v", stored.HardState, stored.Entries)
			}
			group := openGroup(t, fixture, directory)
			defer group.Close()
			awaitApplied(t, group)
			if state := fixture.machine.Snapshot(); !bytes.Equal(state, golden.Read(t, fixture.stateFile())) {
				t.Errorf("state %q", state)
			}
		})
	}
}
