package server

import (
	"fmt"
	"testing"
	"time"

	"ospreybend/coord/consensus"
	"ospreybend/internal/controlplane/registry"
)

// ownershipFixture is a registry shard's state machine whose clock a test sets.
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

// TestRegistryMachine_SetLeaderTerm_ownershipEndsWithItsTerm has a replica own its shard, follow another owner that a worker's heartbeats
// go to, and lead again. With the guard the worker has a full time-out from then on; without it the worker expires at once, by what the
// replica knew in the earlier term.
func TestRegistryMachine_SetLeaderTerm_ownershipEndsWithItsTerm(t *testing.T) {
	for _, omit := range [][]Guard{nil, {GuardOwnershipTerm}} {
		f := newOwnershipFixture(omit...)
		f.machine.setLeaderTerm(3)
		f.machine.ownershipGained(f.now, 3)
		worker := workerHeartbeat("living", 1)
		f.apply(registry.EncodePut(worker.Instance, 1))
		f.machine.setLeaderTerm(0)
		for number := range 60 { // the other owner replaces another worker again and again, and hears this one
			f.now = f.now.Add(500 * time.Millisecond)
			other := func(number int) string { return fmt.Sprintf("other-%d", number) }
			f.apply(registry.EncodePut(workerHeartbeat(other(number), 1).Instance, 1))
			f.apply(registry.EncodeRemove(other(number-1), registry.Deregistered, 1))
		}
		f.machine.setLeaderTerm(5)
		f.machine.ownershipGained(f.now, 5)
		if expired := len(f.machine.expiryCommands(f.now)) > 0; expired != (omit != nil) {
			t.Errorf("without %v: the worker expires at once: %v", omit, expired)
		}
	}
}
