package registry_test

import (
	"fmt"
	"time"

	"ospreybend/internal/controlplane/registry"
)

// The owner of a shard registers two workers when their first heartbeats arrive. Later heartbeats renew the registrations
// without a log entry. A worker that stops sending heartbeats expires.
func ExampleLivenessTracker() {
	store := registry.NewStore()
	tracker := registry.NewLivenessTracker(time.Second, registry.LivenessOptions{})
	now := time.Unix(0, 0)
	tracker.OwnershipGained(now, nil)

	index := uint64(0)
	apply := func(command []byte) registry.Code { // stands in for the shard's replicated log
		index++
		outcome, change := store.Apply(index, command)
		tracker.Applied(now, change)
		return outcome.Code
	}
	heartbeat := func(id, address string) registry.Decision {
		body := fmt.Sprintf(`{"service":"chat","address":%q}`, address)
		parsed, err := registry.ParseHeartbeat(id, []byte(body))
		if err != nil {
			panic(err)
		}
		return tracker.Heartbeat(now, parsed, store.Instance(id))
	}

	fmt.Println("worker-1 registers:", apply(heartbeat("worker-1", "10.0.0.1:8080").Command))
	fmt.Println("worker-2 registers:", apply(heartbeat("worker-2", "10.0.0.2:8080").Command))

	for tick := 1; tick <= 16; tick++ {
		now = now.Add(time.Second / 4)
		if tick%4 == 0 {
			fmt.Println("worker-1 renews:", heartbeat("worker-1", "10.0.0.1:8080").Action)
		}
		for _, command := range tracker.Expired(now) {
			fmt.Println("worker-2 expires:", apply(command))
		}
	}
	// Output:
	// worker-1 registers: recorded
	// worker-2 registers: recorded
	// worker-1 renews: acknowledge
	// worker-1 renews: acknowledge
	// worker-1 renews: acknowledge
	// worker-1 renews: acknowledge
	// worker-2 expires: removed
}
