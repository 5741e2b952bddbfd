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

// owning returns a keeper that owns all shards of instances. Proposals to those in lost come to nothing.
func owning(t *testing.T) (k *Keeper, lost map[shards.ID]bool) {
	t.Helper()
	k, groups, _ := scripted(t)
	lost = map[shards.ID]bool{}
	for id := shards.ID(1); id < shards.Count; id++ {
		machine, index := k.instances(id), uint64(0)
		groups[id].set(leaderStatus())
		groups[id].submit = func(_ context.Context, data []byte) (any, error) {
			if lost[id] {
				return nil, replica.ErrUnknownOutcome
			}
			index++
			return machine.Apply(consensus.Entry{Index: index, Data: data}), nil
		}
		machine.setLeading(3)
		machine.gained(time.Now(), 3)
	}
	return k, lost
}

// depart deregisters an instance and returns the status.
func depart(t *testing.T, k *Keeper, id string) int {
	return k.Handle(limited(t), APIRequest{Call: APIDeregister, ID: id}).Status
}

// TestDepartureOfAnUnknownInstanceHoldsInEveryShard has an instance leave that nobody has heard of, while one shard takes nothing.
// Its heartbeat comes late, and would go to just that shard.
func TestDepartureOfAnUnknownInstanceHoldsInEveryShard(t *testing.T) {
	k, lost := owning(t)
	home := shards.Of(presentService)
	lost[home] = true
	for range 2 {
		if status := depart(t, k, presentID); status == http.StatusOK {
			t.Fatal("acknowledged though its service's shard does not remember it")
		}
	}
	lost[home] = false
	if status := depart(t, k, presentID); status != http.StatusOK {
		t.Fatal(status)
	}
	late := k.Handle(limited(t), APIRequest{Call: APIHeartbeat, ID: presentID, Body: []byte(beatOf("ready", 9))})
	if known, _ := k.instances(home).holds(presentID); late.Status != http.StatusOK || known {
		t.Fatal("a heartbeat that came late brought it back", late.Status)
	}
}

// TestDepartureOfAKnownInstanceNeedsItsShardAlone has an instance leave twice, while all other shards take nothing.
func TestDepartureOfAKnownInstanceNeedsItsShardAlone(t *testing.T) {
	k, lost := owning(t)
	home := shards.Of(presentService)
	k.Handle(limited(t), APIRequest{Call: APIHeartbeat, ID: presentID, Body: []byte(beatOf("ready", 1))})
	for id := shards.ID(1); id < shards.Count; id++ {
		lost[id] = id != home
	}
	for range 2 {
		if status := depart(t, k, presentID); status != http.StatusOK {
			t.Fatal(status)
		}
	}
	if known, removed := k.instances(home).holds(presentID); !known || !removed {
		t.Fatal(known, removed)
	}
}

// TestWordsAfterADepartureCostNoEntry has an instance leave that goes on to tell that it is ready, as long as it serves.
func TestWordsAfterADepartureCostNoEntry(t *testing.T) {
	k, lost := owning(t)
	home := shards.Of(presentService)
	tell := func(sequence int) int {
		call := APIRequest{Call: APIHeartbeat, ID: presentID, Body: []byte(beatOf("ready", sequence))}
		return k.Handle(limited(t), call).Status
	}
	if tell(1) != http.StatusOK || depart(t, k, presentID) != http.StatusOK {
		t.Fatal("it does not come, or does not leave")
	}
	lost[home] = true // an entry would come to nothing
	for sequence := 2; sequence < 10; sequence++ {
		if status := tell(sequence); status != http.StatusOK {
			t.Fatal(status)
		}
	}
	if _, removed := k.instances(home).holds(presentID); !removed {
		t.Fatal("it is back")
	}
}

// TestNodeComesBackToItsAddress has two nodes tell one address in turn: a node's ID may come back, unlike a worker's.
func TestNodeComesBackToItsAddress(t *testing.T) {
	k, _ := owning(t)
	machine := k.instances(shards.Of(registry.NodesService))
	for index, id := range []string{"n1", "n2", "n1"} {
		node := registry.Instance{ID: id, Service: registry.NodesService, Address: "10.0.0.1:7660", Slots: 1}
		decision, owned := machine.beat(time.Now(), registry.Heartbeat{Instance: node})
		if !owned || decision.Action != registry.Propose {
			t.Fatalf("%s: %+v", id, decision)
		}
		machine.Apply(consensus.Entry{Index: uint64(index + 1), Data: decision.Command})
	}
	if known, removed := machine.holds("n1"); !known || removed {
		t.Fatal("the node is not back")
	}
}

// TestAnswersToWorkersAreSmall gives the longest and oddest calls; workers take no answer of more than 4 KiB.
func TestAnswersToWorkersAreSmall(t *testing.T) {
	const most = 4 << 10
	k, _ := owning(t)
	long := strings.Repeat("x", 1<<15)
	bodies := []string{
		"", long, `{"` + long + `":`, `{"service":"` + long + `"}`, `{"address":"` + long[:250] + `","service":"s"}`, beatOf("ready", 1),
		beatOf(long, 2), `{"slots":"` + long + `"}`, strings.Repeat("[", 1<<15), strings.Repeat(long, 3),
	}
	for _, body := range bodies {
		for _, id := range []string{presentID, long[:200], long} {
			reply := k.Handle(limited(t), APIRequest{Call: APIHeartbeat, ID: id, Body: []byte(body)})
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
	if smallCallBudget >= time.Second {
		t.Error("workers wait for a second")
	}
}
