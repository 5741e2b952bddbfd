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

// newOwningServer returns a server that owns all registry shards. Proposals to the shards in failing end with ErrUnknownOutcome.
func newOwningServer(t *testing.T) (s *Server, failing map[shards.ID]bool) {
	t.Helper()
	s, groups, _ := newScriptedServer(t)
	failing = map[shards.ID]bool{}
	for id := shards.ID(1); id < shards.ShardCount; id++ {
		machine, index := s.registryMachine(id), uint64(0)
		groups[id].set(leaderStatus())
		groups[id].onPropose = func(_ context.Context, data []byte) (any, error) {
			if failing[id] {
				return nil, replica.ErrUnknownOutcome
			}
			index++
			return machine.Apply(consensus.Entry{Index: index, Data: data}), nil
		}
		machine.setLeaderTerm(3)
		machine.ownershipGained(time.Now(), 3)
	}
	return s, failing
}

// deregisterInstance deregisters the test instance and returns the HTTP status.
func deregisterInstance(t *testing.T, s *Server) int {
	return s.Handle(timeoutContext(t), APIRequest{Call: APIDeregister, ID: testInstanceID}).Status
}

// TestServer_Handle_deregisterUnknownInstanceNeedsEveryShard deregisters an instance that no shard knows, while its service's shard
// accepts no proposals. An acknowledgement would let the instance's late heartbeat register it again.
func TestServer_Handle_deregisterUnknownInstanceNeedsEveryShard(t *testing.T) {
	s, failing := newOwningServer(t)
	shard := shards.ForService(testService)
	failing[shard] = true
	for range 2 {
		if status := deregisterInstance(t, s); status == http.StatusOK {
			t.Fatal("deregister was acknowledged although the shard of the instance's service has not recorded it")
		}
	}
	failing[shard] = false
	if status := deregisterInstance(t, s); status != http.StatusOK {
		t.Fatalf("deregister of an unknown instance: status %d, want 200", status)
	}
	late := s.Handle(timeoutContext(t), APIRequest{Call: APIHeartbeat, ID: testInstanceID, Body: []byte(heartbeatJSON("ready", 9))})
	if known, _ := s.registryMachine(shard).lookUp(testInstanceID); late.Status != http.StatusOK || known {
		t.Fatalf("late heartbeat after the deregistration: status %d, want 200; instance known: %t, want false", late.Status, known)
	}
}

// TestServer_Handle_deregisterKnownInstanceNeedsItsShardOnly deregisters a known instance twice, while all other shards accept no proposals.
func TestServer_Handle_deregisterKnownInstanceNeedsItsShardOnly(t *testing.T) {
	s, failing := newOwningServer(t)
	shard := shards.ForService(testService)
	s.Handle(timeoutContext(t), APIRequest{Call: APIHeartbeat, ID: testInstanceID, Body: []byte(heartbeatJSON("ready", 1))})
	for id := shards.ID(1); id < shards.ShardCount; id++ {
		failing[id] = id != shard
	}
	for range 2 {
		if status := deregisterInstance(t, s); status != http.StatusOK {
			t.Fatalf("deregister of a known instance: status %d, want 200", status)
		}
	}
	if known, removed := s.registryMachine(shard).lookUp(testInstanceID); !known || !removed {
		t.Fatalf("after the deregistration: known %t, removed %t, want true for both", known, removed)
	}
}

// TestServer_Handle_heartbeatAfterDeregisterProposesNothing deregisters an instance that still serves requests and sends heartbeats. They
// must be acknowledged without a proposal and must not register the instance again.
func TestServer_Handle_heartbeatAfterDeregisterProposesNothing(t *testing.T) {
	s, failing := newOwningServer(t)
	shard := shards.ForService(testService)
	sendHeartbeat := func(sequence int) int {
		request := APIRequest{Call: APIHeartbeat, ID: testInstanceID, Body: []byte(heartbeatJSON("ready", sequence))}
		return s.Handle(timeoutContext(t), request).Status
	}
	if status := sendHeartbeat(1); status != http.StatusOK {
		t.Fatalf("heartbeat 1, which registers the instance: status %d, want 200", status)
	}
	if status := deregisterInstance(t, s); status != http.StatusOK {
		t.Fatalf("deregister of the registered instance: status %d, want 200", status)
	}
	failing[shard] = true // a proposal would fail the heartbeat
	for sequence := 2; sequence < 10; sequence++ {
		if status := sendHeartbeat(sequence); status != http.StatusOK {
			t.Fatalf("heartbeat %d after the deregistration: status %d, want 200", sequence, status)
		}
	}
	if _, removed := s.registryMachine(shard).lookUp(testInstanceID); !removed {
		t.Fatal("heartbeats have registered the removed instance again")
	}
}

// TestRegistryMachine_DecideHeartbeat_nodeReturnsToItsAddress has two edge nodes use one address in turn. Unlike a worker, a node whose
// address another one has taken may register again under its old ID.
func TestRegistryMachine_DecideHeartbeat_nodeReturnsToItsAddress(t *testing.T) {
	s, _ := newOwningServer(t)
	machine := s.registryMachine(shards.ForService(registry.NodesService))
	for index, id := range []string{"n1", "n2", "n1"} {
		node := registry.Instance{ID: id, Service: registry.NodesService, Address: "10.0.0.1:7660", Slots: 1}
		decision, owned := machine.decideHeartbeat(time.Now(), registry.Heartbeat{Instance: node})
		if !owned || decision.Action != registry.Propose {
			t.Fatalf("heartbeat of node %s: decision %+v, owned %t, want a proposal by the owner", id, decision, owned)
		}
		machine.Apply(consensus.Entry{Index: uint64(index + 1), Data: decision.Command})
	}
	if known, removed := machine.lookUp("n1"); !known || removed {
		t.Fatalf("node n1 after its return: known %t, want true; removed %t, want false", known, removed)
	}
}

// TestServer_Handle_responsesToWorkersAreSmall sends long and malformed heartbeats. Workers accept no response of more than 4 KiB and wait
// less than a second for it.
func TestServer_Handle_responsesToWorkersAreSmall(t *testing.T) {
	const maxBodySize = 4<<10 - 1024 // 1 KiB is left for the head of the response
	s, _ := newOwningServer(t)
	long := strings.Repeat("x", 1<<15)
	bodies := []string{
		"", long, `{"` + long + `":`, `{"service":"` + long + `"}`, `{"address":"` + long[:250] + `","service":"s"}`, heartbeatJSON("ready", 1),
		heartbeatJSON(long, 2), `{"slots":"` + long + `"}`, strings.Repeat("[", 1<<15), strings.Repeat(long, 3),
	}
	for _, body := range bodies {
		for _, id := range []string{testInstanceID, long[:200], long} {
			reply := s.Handle(timeoutContext(t), APIRequest{Call: APIHeartbeat, ID: id, Body: []byte(body)})
			if size := len(reply.Body); size > maxBodySize {
				t.Errorf("heartbeat %.40q: response body of %d bytes, want at most %d", body, size, maxBodySize)
			}
		}
	}
	for _, entry := range registry.Codes() {
		if size := len(errorBody(int(entry.Code), entry.Text)); size > maxBodySize {
			t.Errorf("error %s: response body of %d bytes, want at most %d", entry.Name, size, maxBodySize)
		}
	}
	if smallCallTimeout >= time.Second {
		t.Errorf("smallCallTimeout is %s, want less than the second that workers wait", smallCallTimeout)
	}
}
