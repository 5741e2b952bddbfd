package registry

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"ospreybend/coord/feed"
)

// propertySeed is the seed of the property tests.
const propertySeed = 5150

// apply applies a log entry, fails the test unless the outcome has the wanted code, and returns the change.
func apply(t *testing.T, store *Store, entry []byte, want Code) feed.Change {
	t.Helper()
	outcome, change := store.Apply(1, entry)
	if outcome.Code != want {
		t.Fatalf("entry applied with outcome %+v, want code %v", outcome, want)
	}
	return change
}

func isEmpty(change feed.Change) bool { return len(change.Put)+len(change.Delete) == 0 }

func TestStore_Apply_putRecordedOnce(t *testing.T) {
	store := NewStore()
	instance := exampleInstance("a", "1.2.3.4:5")
	change := apply(t, store, EncodePut(instance, 3), Recorded)
	if len(change.Put) != 1 || change.Put[0].Key != "a" {
		t.Fatalf("change of a new instance is %+v, want one put of a", change)
	}
	decoded, err := DecodeItem(change.Put[0].Value)
	if err != nil || !reflect.DeepEqual(decoded, instance) || !reflect.DeepEqual(*store.Instance("a"), instance) {
		t.Fatalf("decoded item %+v, error %v, stored instance %+v; want %+v", decoded, err, store.Instance("a"), instance)
	}
	if change := apply(t, store, EncodePut(instance, 9), Unchanged); !isEmpty(change) {
		t.Fatalf("change of a repeated report is %+v, want none", change)
	}
	instance.Stage = "prefill"
	if change := apply(t, store, EncodePut(instance, 8), Stale); !isEmpty(change) {
		t.Fatalf("change of a late heartbeat is %+v, want none", change)
	}
	apply(t, store, EncodePut(instance, 10), Recorded)
	if store.Instance("a").Stage != "prefill" || store.Instance("b") != nil {
		t.Fatalf("instance a is %+v and b is %+v, want a with stage prefill and no b", store.Instance("a"), store.Instance("b"))
	}
}

func TestStore_Apply_lateHeartbeatKeepsDraining(t *testing.T) {
	for _, numbered := range []bool{true, false} {
		store := NewStore()
		ready := exampleInstance("a", "1.2.3.4:5")
		draining := ready
		draining.State = Draining
		sequences := [3]uint64{3, 4, 4}
		if !numbered {
			sequences = [3]uint64{}
		}
		apply(t, store, EncodePut(ready, sequences[0]), Recorded)
		apply(t, store, EncodePut(draining, sequences[1]), Recorded)
		apply(t, store, EncodePut(ready, sequences[2]), Stale)
		apply(t, store, EncodePut(ready, sequences[0]), Stale)
		if store.Instance("a").State != Draining {
			t.Fatalf("numbered %v: state after late heartbeats is %v, want %v", numbered, store.Instance("a").State, Draining)
		}
	}
}

func TestStore_Apply_deregisteredStaysGone(t *testing.T) {
	store := NewStore()
	instance := exampleInstance("a", "1.2.3.4:5")
	apply(t, store, EncodePut(instance, 3), Recorded)
	change := apply(t, store, EncodeRemove("a", Deregistered, 3), Removed)
	if !reflect.DeepEqual(change.Delete, []string{"a"}) || !store.PermanentlyRemoved("a") || store.Instance("a") != nil {
		t.Fatalf("change of the deregistration is %+v, PermanentlyRemoved is %v, instance is %+v; want a deleted and removed permanently", change, store.PermanentlyRemoved("a"), store.Instance("a"))
	}
	apply(t, store, EncodePut(instance, 99), Gone)
	apply(t, store, EncodeRemove("a", Deregistered, 3), Gone)
	apply(t, store, EncodeRemove("never", Deregistered, 0), Gone)
	apply(t, store, EncodePut(exampleInstance("never", "1.2.3.4:6"), 1), Gone)
	if len(store.Items()) != 0 {
		t.Fatalf("items are %+v, want none", store.Items())
	}
}

func TestStore_Apply_laterHeartbeatRevivesExpired(t *testing.T) {
	store := NewStore()
	instance := exampleInstance("a", "1.2.3.4:5")
	apply(t, store, EncodePut(instance, 3), Recorded)
	apply(t, store, EncodeRemove("a", Expired, 7), Removed)
	apply(t, store, EncodePut(instance, 7), Stale)
	if store.PermanentlyRemoved("a") {
		t.Fatal("an expired instance counts as removed permanently")
	}
	apply(t, store, EncodePut(instance, 8), Recorded)
	apply(t, store, EncodeRemove("a", Expired, 7), Stale)
	apply(t, store, EncodeRemove("a", Expired, 0), Removed)
	apply(t, store, EncodeRemove("a", Deregistered, 0), Gone)
	apply(t, store, EncodePut(instance, 99), Gone)
}

func TestStore_Apply_expiredDoesNotReclaimAddress(t *testing.T) {
	store := NewStore()
	apply(t, store, EncodePut(exampleInstance("a", "1.2.3.4:5"), 3), Recorded)
	apply(t, store, EncodeRemove("a", Expired, 3), Removed)
	apply(t, store, EncodePut(exampleInstance("b", "1.2.3.4:5"), 1), Recorded)
	apply(t, store, EncodePut(exampleInstance("a", "1.2.3.4:5"), 4), Gone)
	if store.Instance("b") == nil {
		t.Fatal("an expired instance evicted the instance that now has its address")
	}
}

func TestStore_Apply_addressReused(t *testing.T) {
	store := NewStore()
	apply(t, store, EncodePut(exampleInstance("a", "1.2.3.4:5"), 3), Recorded)
	successor := exampleInstance("b", "1.2.3.4:5")
	successor.Service = "other"
	change := apply(t, store, EncodePut(successor, 1), Recorded)
	if !reflect.DeepEqual(change.Delete, []string{"a"}) || len(change.Put) != 1 || change.Put[0].Key != "b" {
		t.Fatalf("change is %+v, want a deleted and b put", change)
	}
	apply(t, store, EncodePut(exampleInstance("a", "1.2.3.4:5"), 9), Gone)
	moved := successor
	moved.Address = "1.2.3.4:6"
	apply(t, store, EncodePut(moved, 2), Recorded)
	apply(t, store, EncodePut(exampleInstance("c", "1.2.3.4:5"), 1), Recorded)
	if len(store.Instances("")) != 2 || len(store.Instances("other")) != 1 {
		t.Fatalf("instances are %+v, want 2, one of them of service other", store.Instances(""))
	}
}

func TestStore_Apply_boundsTombstones(t *testing.T) {
	store := NewStore()
	for number := 0; number <= maxTombstones; number++ {
		apply(t, store, EncodeRemove(fmt.Sprint(number), Deregistered, 0), Gone)
	}
	if store.PermanentlyRemoved("0") || !store.PermanentlyRemoved("1") || len(store.tombstones) != maxTombstones || len(store.tombstoneOrder) != maxTombstones {
		t.Fatalf("%d tombstones, %d in order, PermanentlyRemoved is %v for the oldest and %v for the next; want %d, %d, false, true",
			len(store.tombstones), len(store.tombstoneOrder), store.PermanentlyRemoved("0"), store.PermanentlyRemoved("1"), maxTombstones, maxTombstones)
	}
}

func TestStore_Apply_malformedEntryChangesNothing(t *testing.T) {
	store := NewStore()
	validPut := EncodePut(exampleInstance("a", "1.2.3.4:5"), 3)
	for _, entry := range [][]byte{nil, {}, {2}, {200, 3}, validPut[:len(validPut)-1], append(validPut[:len(validPut):len(validPut)], 0), EncodeRemove("", Expired, 0)} {
		apply(t, store, entry, InvalidCommand)
	}
	for _, invalid := range [][]byte{nil, {1}, {6, 0, 0}} {
		if err := store.Restore(invalid); !errors.Is(err, ErrSnapshot) {
			t.Errorf("restore %x: error %v, want %v", invalid, err, ErrSnapshot)
		}
	}
	if _, err := DecodeItem(nil); err == nil {
		t.Error("an empty item was decoded without an error")
	}
}

// commandFromNumber derives a command from a random number. The commands are about few instances at few addresses, so that
// they interact.
func commandFromNumber(number uint32) []byte {
	id := fmt.Sprintf("i%d", number%5)
	sequence := uint64(number / 5 % 16)
	if number%7 == 0 {
		return EncodeRemove(id, RemovalReason(number/7%2+1), sequence)
	}
	instance := exampleInstance(id, fmt.Sprintf("1.2.3.4:%d", 1+number/80%4))
	instance.State = State(number / 320 % 2)
	return EncodePut(instance, sequence)
}

func TestStore_Apply_replicasAgree(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(propertySeed))
	properties.Property("snapshots, changes and items agree, and each address belongs to one instance", prop.ForAll(
		func(numbers []uint32) bool {
			first, second := NewStore(), NewStore()
			follower := feed.NewBuffer(0)
			for position, number := range numbers {
				entry := commandFromNumber(number)
				firstOutcome, change := first.Apply(uint64(position+1), entry)
				restored := NewStore()
				if restored.Restore(second.Snapshot()) != nil {
					return false
				}
				second = restored
				secondOutcome, secondChange := second.Apply(uint64(position+1), entry)
				if firstOutcome != secondOutcome || !reflect.DeepEqual(change, secondChange) || !bytes.Equal(first.Snapshot(), second.Snapshot()) {
					return false
				}
				if follower.Append(change) != nil || len(first.records) != len(first.byAddress) {
					return false
				}
				if len(first.tombstoneOrder) != len(first.tombstones) {
					return false
				}
			}
			items := follower.Snapshot().Items
			return len(items) == len(first.Items()) && (len(items) == 0 || reflect.DeepEqual(items, first.Items()))
		},
		gen.SliceOfN(60, gen.UInt32()),
	))
	properties.TestingRun(t)
}

func TestStore_Apply_onlyLaterHeartbeatsCount(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(propertySeed + 1))
	properties.Property("after a draining heartbeat, earlier ones in any order leave it draining or removed", prop.ForAll(
		func(numbers []uint32) bool {
			store := NewStore()
			const drainSequence = 20
			draining := exampleInstance("i0", "1.2.3.4:9")
			draining.State = Draining
			store.Apply(1, EncodePut(draining, drainSequence))
			for position, number := range numbers {
				entry := commandFromNumber(number)
				store.Apply(uint64(position+2), entry)
				if current := store.Instance("i0"); current != nil && current.State != Draining {
					return false
				}
			}
			return true
		},
		gen.SliceOfN(40, gen.UInt32()),
	))
	properties.TestingRun(t)
}

// The first heartbeat of a dead instance may arrive after another instance has registered with the same address. It
// supersedes the living instance. That one must be able to register again once the dead one has expired.
func TestStore_Apply_supersededComesBackOnceItsAddressIsFree(t *testing.T) {
	store := NewStore()
	living, dead := exampleInstance("living", "1.2.3.4:5"), exampleInstance("dead", "1.2.3.4:5")
	apply(t, store, EncodePut(living, 3), Recorded)
	apply(t, store, EncodePut(dead, 1), Recorded)
	if store.Instance("living") != nil || !store.IgnoresHeartbeat(living) {
		t.Fatal("the living instance is still registered, or its heartbeats are not ignored, while the dead one has its address")
	}
	apply(t, store, EncodePut(living, 7), Gone)
	apply(t, store, EncodeRemove("dead", Expired, 1), Removed)
	if store.IgnoresHeartbeat(living) {
		t.Fatal("heartbeats of the living instance are ignored although its address is free")
	}
	apply(t, store, EncodePut(living, 3), Stale) // a late heartbeat
	change := apply(t, store, EncodePut(living, 8), Recorded)
	if store.Instance("living") == nil || len(change.Put) != 1 {
		t.Fatalf("the living instance did not register again: change %+v", change)
	}
	apply(t, store, EncodePut(dead, 1), Stale)
}

func TestStore_Apply_supersededDeregistersForGood(t *testing.T) {
	store := NewStore()
	former, successor := exampleInstance("former", "1.2.3.4:5"), exampleInstance("successor", "1.2.3.4:5")
	apply(t, store, EncodePut(former, 3), Recorded)
	apply(t, store, EncodePut(successor, 1), Recorded)
	apply(t, store, EncodeRemove("former", Deregistered, 3), Gone)
	apply(t, store, EncodeRemove("successor", Deregistered, 1), Removed)
	apply(t, store, EncodePut(former, 9), Gone)
	if !store.PermanentlyRemoved("former") {
		t.Error("a superseded instance that deregistered is not removed permanently")
	}
}

func TestStore_KnownIDs_includesRemovedInstances(t *testing.T) {
	store := NewStore()
	for i, id := range []string{"b", "a"} {
		store.Apply(uint64(i+1), EncodePut(exampleInstance(id, "10.0.0."+id+":80"), 1))
	}
	store.Apply(3, EncodeRemove("b", Expired, 1))
	if got := store.KnownIDs(); !slices.Equal(got, []string{"a", "b"}) || store.Instance("b") != nil {
		t.Errorf("known IDs %v, instance b %v; want a and b, which is removed", got, store.Instance("b"))
	}
}
