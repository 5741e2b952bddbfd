package server

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"ospreybend/coord/consensus"
	"ospreybend/coord/replica"
	"ospreybend/coord/shards"
	"ospreybend/internal/controlplane/registry"
)

// newOwningServer returns a server that owns all shards of instances. Proposals to the shards in lost have no outcome.
func newOwningServer(t *testing.T) (s *Server, lost map[shards.ID]bool) {
	t.Helper()
	s, groups, _ := newScriptedServer(t)
	lost = map[shards.ID]bool{}
	for id := shards.ID(1); id < shards.ShardCount; id++ {
		machine, index := s.registryMachine(id), uint64(0)
		groups[id].set(leaderStatus())
		groups[id].submit = func(_ context.Context, data []byte) (any, error) {
			if lost[id] {
				return nil, replica.ErrUnknownOutcome
			}
			index++
			return machine.Apply(consensus.Entry{Index: index, Data: data}), nil
		}
		machine.setLeaderTerm(3)
		machine.ownershipGained(time.Now(), 3)
	}
	return s, lost
}

// deregister deregisters the present instance and returns the status.
func deregister(t *testing.T, s *Server) int {
	return s.Handle(timeoutContext(t), APIRequest{Call: APIDeregister, ID: presentID}).Status
}

// TestServer_Handle_deregisterUnknownInstanceNeedsEveryShard deregisters an instance that is not known, while one shard accepts nothing.
// Its heartbeat comes late, and belongs to that shard.
func TestServer_Handle_deregisterUnknownInstanceNeedsEveryShard(t *testing.T) {
	s, lost := newOwningServer(t)
	home := shards.ForService(presentService)
	lost[home] = true
	for range 2 {
		if status := deregister(t, s); status == http.StatusOK {
			t.Fatal("acknowledged though its service's shard does not remember it")
		}
	}
	lost[home] = false
	if status := deregister(t, s); status != http.StatusOK {
		t.Fatal(status)
	}
	late := s.Handle(timeoutContext(t), APIRequest{Call: APIHeartbeat, ID: presentID, Body: []byte(heartbeatJSON("ready", 9))})
	if known, _ := s.registryMachine(home).lookUp(presentID); late.Status != http.StatusOK || known {
		t.Fatal("a heartbeat that came late brought it back", late.Status)
	}
}

// TestServer_Handle_deregisterKnownInstanceNeedsItsShardOnly deregisters an instance twice, while all other shards accept nothing.
func TestServer_Handle_deregisterKnownInstanceNeedsItsShardOnly(t *testing.T) {
	s, lost := newOwningServer(t)
	home := shards.ForService(presentService)
	s.Handle(timeoutContext(t), APIRequest{Call: APIHeartbeat, ID: presentID, Body: []byte(heartbeatJSON("ready", 1))})
	for id := shards.ID(1); id < shards.ShardCount; id++ {
		lost[id] = id != home
	}
	for range 2 {
		if status := deregister(t, s); status != http.StatusOK {
			t.Fatal(status)
		}
	}
	if known, removed := s.registryMachine(home).lookUp(presentID); !known || !removed {
		t.Fatal(known, removed)
	}
}

// TestServer_Handle_heartbeatAfterDeregisterProposesNothing deregisters an instance that goes on to send heartbeats while it serves.
func TestServer_Handle_heartbeatAfterDeregisterProposesNothing(t *testing.T) {
	s, lost := newOwningServer(t)
	home := shards.ForService(presentService)
	tell := func(sequence int) int {
		call := APIRequest{Call: APIHeartbeat, ID: presentID, Body: []byte(heartbeatJSON("ready", sequence))}
		return s.Handle(timeoutContext(t), call).Status
	}
	if tell(1) != http.StatusOK || deregister(t, s) != http.StatusOK {
		t.Fatal("it was not registered, or not removed")
	}
	lost[home] = true // an entry would come to nothing
	for sequence := 2; sequence < 10; sequence++ {
		if status := tell(sequence); status != http.StatusOK {
			t.Fatal(status)
		}
	}
	if _, removed := s.registryMachine(home).lookUp(presentID); !removed {
		t.Fatal("it is back")
	}
}

// TestRegistryMachine_DecideHeartbeat_nodeReturnsToItsAddress has two nodes use one address in turn: a node's ID may come back, unlike a worker's.
func TestRegistryMachine_DecideHeartbeat_nodeReturnsToItsAddress(t *testing.T) {
	s, _ := newOwningServer(t)
	machine := s.registryMachine(shards.ForService(registry.NodesService))
	for index, id := range []string{"n1", "n2", "n1"} {
		node := registry.Instance{ID: id, Service: registry.NodesService, Address: "10.0.0.1:7660", Slots: 1}
		decision, owned := machine.decideHeartbeat(time.Now(), registry.Heartbeat{Instance: node})
		if !owned || decision.Action != registry.Propose {
			t.Fatalf("%s: %+v", id, decision)
		}
		machine.Apply(consensus.Entry{Index: uint64(index + 1), Data: decision.Command})
	}
	if known, removed := machine.lookUp("n1"); !known || removed {
		t.Fatal("the node is not back")
	}
}

// TestServer_Handle_responsesToWorkersAreSmall gives the longest and oddest calls; workers take no answer of more than 4 KiB.
func TestServer_Handle_responsesToWorkersAreSmall(t *testing.T) {
	const most = 4 << 10
	s, _ := newOwningServer(t)
	long := strings.Repeat("x", 1<<15)
	bodies := []string{
		"", long, `{"` + long + `":`, `{"service":"` + long + `"}`, `{"address":"` + long[:250] + `","service":"s"}`, heartbeatJSON("ready", 1),
		heartbeatJSON(long, 2), `{"slots":"` + long + `"}`, strings.Repeat("[", 1<<15), strings.Repeat(long, 3),
	}
	for _, body := range bodies {
		for _, id := range []string{presentID, long[:200], long} {
			reply := s.Handle(timeoutContext(t), APIRequest{Call: APIHeartbeat, ID: id, Body: []byte(body)})
			if size := len(reply.Body); size > most-1024 { // the head has the rest
				t.Errorf("%.40q: an answer of %d bytes", body, size)
			}
		}
	}
	for _, entry := range registry.Codes() {
		if size := len(errorBody(int(entry.Code), entry.Text)); size > most-1024 {
			t.Errorf("%s: %d bytes", entry.Name, size)
		}
	}
	if smallCallTimeout >= time.Second {
		t.Error("workers wait for a second")
	}
}
