package controlplanesim

import (
	"testing"

	"ospreybend/internal/testkit/controlplanesim/schedule"
)

// recordedSchedules are shrunk schedules that once violated a check, keyed by the cause.
var recordedSchedules = map[string]string{
	// A voter that had been replaced while it was down requested to join only 1.5 to 2.5 s after its return, so its group lacked
	// a voter for longer than schedule.CatchUp.
	"a replaced voter asks to join late": `
schedule seed=8 keepers=9 tolerance=4 agents=3 operators=2 workers=4 length=40s snapshots=40 remembered=16
6.743s power on=acknowledgement delay=311ms keepers=5 for=14.341s
8.602s cut variant=isolated keepers=1 operators=0,1 workers=0,1,2,3 for=1.799s
9.129s rewipe keepers=6 for=1.165s
10.241s worker variant=drain workers=0,1,2 for=1.585s
10.269s rewipe keepers=4 for=498ms
25.353s cut variant=keepers keepers=0 operators=1 workers=2,3 for=2.712s leader
`,
	// A follower that was unfrozen only after a partition began treated the leader's older messages as new ones, and
	// acknowledged a heartbeat 1.6 s into the partition.
	"a frozen follower reads old messages": `
schedule seed=401460 keepers=5 tolerance=2 agents=1 operators=2 workers=1 length=25.548s snapshots=40 remembered=16
6.99s bad variant=timeout operators=0
12.597s disk variant=full keepers=1 for=3.784s
21.265s freeze on=election keepers=4 for=3.031s
24.548s cut variant=keepers keepers=4 operators=1 workers=0 for=1.8s
`,
	// An agent tried several frozen servers in turn and waited 0.9 s for each: the kernel accepts connections for a frozen
	// process.
	"an agent tries frozen servers": `
schedule seed=400157 keepers=9 tolerance=4 agents=2 operators=2 workers=1 length=8s snapshots=40 remembered=16
7s freeze keepers=0,2,6,7 for=3.26s
`,
	// A follower that was isolated together with its leader was confirmed as current by this leader until the leader stepped
	// down.
	"a leader is partitioned off with a follower": `
schedule seed=400083 keepers=9 tolerance=4 agents=1 operators=2 workers=6 length=8.423s snapshots=40 remembered=16
7.423s cut variant=inward keepers=1,2 operators=1 workers=5 for=2.12s
`,
}

func TestPlay_recordedSchedulesViolateNothing(t *testing.T) {
	for fault, text := range recordedSchedules {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			recorded, err := schedule.Parse(text)
			if err != nil {
				t.Fatal(err)
			}
			if report := Play(t, recorded); report.Failed() {
				t.Errorf("recorded schedule violates a check again, want no violation: %v", report)
			}
		})
	}
}
