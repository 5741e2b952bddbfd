package server

import (
	"fmt"
	"testing"
	"time"

	"ospreybend/coord/consensus"
	"ospreybend/internal/controlplane/registry"
)

// ownershipFixture is the state machine of a registry shard with a clock that the test sets.
type ownershipFixture struct {
	machine *registryMachine
	now     time.Time
	index   uint64
}

func newOwnershipFixture(omit ...Guard) *ownershipFixture {
	f := &ownershipFixture{now: time.Unix(1000, 0)}
	environment := Environment{Now: func() time.Time { return f.now }, OmitGuards: omit}.withDefaults()
	f.machine = newRegistryMachine(time.Second, environment)
	return f
}

func (f *ownershipFixture) apply(command []byte) {
	f.index++
	f.machine.Apply(consensus.Entry{Index: f.index, Kind: consensus.EntryCommand, Data: command})
}

func workerHeartbeat(id string, sequence uint64) registry.Heartbeat {
	return registry.Heartbeat{Instance: registry.Instance{ID: id, Service: "s", Address: id + ":80", Slots: 1}, Sequence: sequence}
}

// TestRegistryMachine_SetLeaderTerm_ownershipEndsWithItsTerm has a replica own its shard, follow another owner, which receives the worker's
// heartbeats, and lead again. With the guard, the worker then gets a full timeout. Without it, the worker expires immediately because
// the replica uses the heartbeat times of its earlier term.
func TestRegistryMachine_SetLeaderTerm_ownershipEndsWithItsTerm(t *testing.T) {
	for _, omit := range [][]Guard{nil, {GuardOwnershipTerm}} {
		f := newOwnershipFixture(omit...)
		f.machine.setLeaderTerm(3)
		f.machine.ownershipGained(f.now, 3)
		worker := workerHeartbeat("living", 1)
		f.apply(registry.EncodePut(worker.Instance, 1))
		f.machine.setLeaderTerm(0)
		for number := range 60 { // the other owner keeps replacing another worker; this worker stays registered
			f.now = f.now.Add(500 * time.Millisecond)
			other := func(number int) string { return fmt.Sprintf("other-%d", number) }
			f.apply(registry.EncodePut(workerHeartbeat(other(number), 1).Instance, 1))
			f.apply(registry.EncodeRemove(other(number-1), registry.Deregistered, 1))
		}
		f.machine.setLeaderTerm(5)
		f.machine.ownershipGained(f.now, 5)
		if expired := len(f.machine.expiryCommands(f.now)) > 0; expired != (omit != nil) {
			t.Errorf("with guards %v omitted: worker expires immediately after ownership is regained: got %v, want %v", omit, expired, omit != nil)
		}
	}
}
