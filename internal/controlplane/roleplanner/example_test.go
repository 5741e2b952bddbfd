package roleplanner_test

import (
	"fmt"
	"time"

	"ospreybend/internal/controlplane/roleplanner"
)

// Eight workers run decode and one runs prefill. The prefill demand occupies three workers, so the planner assigns the stage
// prefill to more workers and commands them to change to it.
func ExamplePlanner() {
	workers := []roleplanner.Worker{{ID: "worker-0", Stage: roleplanner.Prefill}}
	for number := 1; number <= 8; number++ {
		workers = append(workers, roleplanner.Worker{ID: fmt.Sprintf("worker-%d", number), Stage: roleplanner.Decode})
	}
	demand := roleplanner.Demand{Offered: 10, Started: 10, Prefill: 3, Slots: 0.7}
	const switchTime = 2 * time.Second

	planner := roleplanner.NewPlanner()
	for now := time.Second; now < 3*time.Second; now += 250 * time.Millisecond {
		plan := planner.Plan(now, workers, demand, switchTime)
		for _, assignment := range plan.Assignments { // the caller records it in the registry
			fmt.Println(now, "assign", assignment.Stage, "to", assignment.ID)
			for i := range workers {
				if workers[i].ID == assignment.ID {
					workers[i].Assigned = assignment.Stage
				}
			}
		}
		for _, command := range plan.Commands { // the caller sends it to the worker
			fmt.Println(now, "command", command.ID)
			planner.CommandFinished(command.ID, roleplanner.Accepted)
		}
	}
	fmt.Println("target:", planner.Status().TargetPrefill)
	// Output:
	// 1.5s assign prefill to worker-1
	// 1.5s assign prefill to worker-2
	// 1.5s assign prefill to worker-3
	// 1.75s command worker-1
	// 1.75s command worker-2
	// 1.75s command worker-3
	// target: 6
}
