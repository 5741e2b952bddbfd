package server

import (
	"net/http"
	"testing"
	"time"

	"ospreybend/coord/consensus"
	"ospreybend/coord/shards"
	"ospreybend/internal/controlplane/registry"
)

const (
	presentID      = "i-1"
	presentService = "s"
)

// withRecord returns a keeper that follows the shard of an instance and has its record.
func withRecord(t *testing.T) (*Keeper, *scriptedGroup, registry.Heartbeat) {
	t.Helper()
	k, groups, _ := scripted(t)
	id := shards.Of(presentService)
	beat, err := registry.ParseHeartbeat(presentID, []byte(beatOf("ready", 1)))
	if err != nil {
		t.Fatal(err)
	}
	k.instances(id).Apply(consensus.Entry{Index: 1, Data: registry.EncodePut(beat.Instance, beat.Sequence)})
	groups[id].set(followerOf("b"))
	return k, groups[id], beat
}

func TestUnchangedBeatIsAcknowledgedByAnyCurrentKeeper(t *testing.T) {
	k, _, beat := withRecord(t)
	id := shards.Of(presentService)
	for _, sequence := range []uint64{5, 7, 6} {
		beat.Sequence = sequence
		if !k.acknowledgeHere(id, beat) {
			t.Fatal("an unchanged heartbeat was not acknowledged")
		}
	}
	if drained := k.presences.take(id); len(drained) != 1 || drained[0] != (presence{ID: presentID, Sequence: 7}) {
		t.Fatal(drained)
	}
	if drained := k.presences.take(id); len(drained) != 0 {
		t.Fatal("told twice", drained)
	}
}

func TestBeatGoesToTheOwner(t *testing.T) {
	cases := map[string]func(k *Keeper, group *scriptedGroup, beat *registry.Heartbeat){
		"draining":        func(_ *Keeper, _ *scriptedGroup, beat *registry.Heartbeat) { beat.State = registry.Draining },
		"another stage":   func(_ *Keeper, _ *scriptedGroup, beat *registry.Heartbeat) { beat.Stage = "decode" },
		"another address": func(_ *Keeper, _ *scriptedGroup, beat *registry.Heartbeat) { beat.Address = "10.9.9.9:9" },
		"not recorded":    func(_ *Keeper, _ *scriptedGroup, beat *registry.Heartbeat) { beat.ID = "i-2" },
		"not current": func(_ *Keeper, group *scriptedGroup, _ *registry.Heartbeat) {
			status := followerOf("b")
			status.ConfirmedAge = 2 * currencyAge
			group.set(status)
		},
		"leads itself": func(_ *Keeper, group *scriptedGroup, _ *registry.Heartbeat) { group.set(leaderStatus()) },
		"removed": func(k *Keeper, _ *scriptedGroup, _ *registry.Heartbeat) {
			k.instances(shards.Of(presentService)).Apply(consensus.Entry{Index: 2, Data: registry.EncodeRemove(presentID, registry.Expired, 1)})
		},
	}
	for name, alter := range cases {
		t.Run(name, func(t *testing.T) {
			k, group, beat := withRecord(t)
			alter(k, group, &beat)
			if k.acknowledgeHere(shards.Of(presentService), beat) {
				t.Fatal("acknowledged without the owner")
			}
		})
	}
}

func TestOwnerIsToldOfPresences(t *testing.T) {
	k, groups, _ := scripted(t)
	id := shards.Of(presentService)
	body, err := codec.Marshal(presencesSchema, []presence{{ID: presentID, Sequence: 4}})
	if err != nil {
		t.Fatal(err)
	}
	request := call{Kind: callPresences, Shard: id, Body: body}
	groups[id].set(followerOf("b"))
	if reply := k.execute(t.Context(), request); !reply.NotOwner || reply.Leader != "b" {
		t.Fatal(reply)
	}
	k.instances(id).setLeading(3)
	k.instances(id).gained(time.Now(), 3)
	if reply := k.execute(t.Context(), request); reply.Status != http.StatusOK {
		t.Fatal(reply)
	}
}
