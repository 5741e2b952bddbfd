package controlplanesim

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"

	"ospreybend/internal/testkit/controlplanesim/schedule"
)

// TestPlay_emptyDiskWithLostSeeds wipes a machine's disk and restarts it with seed addresses that no machine has any more. The
// other servers still have its address as a member's and connect to it, so it learns of them and must be a voter again
// within schedule.CatchUp.
func TestPlay_emptyDiskWithLostSeeds(t *testing.T) {
	shape := schedule.Schedule{Seed: 5, Servers: 3, Tolerance: 1, Agents: 1, Operators: 1, Workers: 1, Length: 20 * time.Second}
	report := playScript(t, shape, zap.NewNop(), func(sim *simulation, ctx context.Context) {
		time.Sleep(settlingTime)
		event := schedule.Event{Kind: schedule.Wipe, Servers: []int{1}}
		endFault := sim.beginCoreFault(event, event.Servers)
		targets := sim.machineAt(1)
		targets.wipe()
		time.Sleep(time.Second)
		targets.start([]string{controlAddress(address(0, 200)), controlAddress(address(0, 201)), controlAddress(address(0, 202))}, false)
		endFault()
		time.Sleep(schedule.CatchUp + time.Second)
		if !targets.isMember() {
			t.Errorf("machine restarted with an empty disk and unreachable seeds is no member after %v, want a member", schedule.CatchUp+time.Second)
		}
	})
	if report.Failed() {
		t.Error(report)
	}
}

// settlingTime suffices for the core to form and for the first configuration to be sent.
const settlingTime = 5 * time.Second
