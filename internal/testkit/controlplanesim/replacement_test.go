package controlplanesim

import (
	"fmt"
	"testing"

	"ospreybend/internal/testkit/controlplanesim/schedule"
)

// replacementSchedules are sequences of losses and repairs in quick succession. The test prepends the seed and further
// parameters to the first line.
var replacementSchedules = map[string]string{
	"each loses its disk in turn, the leader among them": `keepers=3 tolerance=1 length=36s
		6s wipe keepers=0 for=1s
		13s wipe keepers=1 for=1s
		20s wipe keepers=2 for=1s
		27s wipe keepers=0 for=300ms`,
	"the leader loses its disk": `keepers=3 tolerance=1 length=24s
		6s wipe on=election keepers=0 for=1s
		8s wipe on=acknowledgement keepers=1 for=1s
		16s power keepers=2 for=500ms`,
	"two replacements at once": `keepers=5 tolerance=2 length=34s
		6s replace variant=unplanned keepers=0,1 for=1s
		16s replace variant=planned keepers=2,3 for=1s
		26s replace variant=unplanned keepers=4 for=500ms
		26.2s replace variant=planned keepers=0 for=1s`,
	"a wipe, then a kill of a server that may have sent the snapshot": `keepers=5 tolerance=2 length=32s
		6s wipe keepers=0 for=800ms
		7.1s kill keepers=1 for=1s
		14s wipe keepers=1 for=800ms
		15.1s kill keepers=2 for=1s
		22s wipe keepers=2 for=800ms
		23.1s power keepers=3 for=1s`,
	"all servers restart during a membership change": `keepers=3 tolerance=1 length=40s
		6s wipe keepers=0 for=500ms
		6.6s restart-all for=500ms
		14s replace variant=unplanned keepers=1 for=500ms
		16.8s kill-all for=500ms
		24s replace variant=planned keepers=2 for=500ms
		24.1s power-all for=500ms
		32s wipe keepers=1 for=500ms
		32.55s power-all for=500ms`,
	"a chain of replacements and a second loss soon after": `keepers=3 tolerance=1 length=44s
		6s replace variant=planned keepers=0 for=1s
		11.5s wipe keepers=1 for=1s
		18s replace variant=unplanned keepers=2 for=1s
		25s kill keepers=0 for=1s
		31s replace variant=planned keepers=1 for=1s
		31.6s power keepers=2 for=1s`,
	"nine servers, four lost at once, then a rolling restart": `keepers=9 tolerance=4 length=46s
		6s replace variant=unplanned keepers=0,1 for=1s
		6.1s wipe keepers=2,3 for=1s
		16s wipe keepers=4,5,6,7 for=1s
		26s roll keepers=0,1,2,3,4,5,6,7,8 for=1500ms`,
	"fewer machines than voters wanted": `keepers=3 tolerance=2 length=30s
		6s wipe keepers=0 for=1s
		14s replace variant=unplanned keepers=1 for=1s
		22s replace variant=planned keepers=2 for=1s`,
}

func TestPlay_lossesAfterRepairsAndReplacements(t *testing.T) {
	const seeds = 3
	for name, course := range replacementSchedules {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(seeds) {
				parsed, err := schedule.Parse(fmt.Sprintf("schedule seed=%d agents=3 operators=2 workers=4 %s", seed+1, course))
				if err != nil {
					t.Fatal(err)
				}
				report := Play(t, parsed)
				if report.Failed() {
					t.Errorf("seed %d: got violations, want none: %v", seed+1, report)
				}
				if report.Figures.Acknowledged == 0 {
					t.Errorf("seed %d: got no acknowledged order, want at least one", seed+1)
				}
			}
		})
	}
}
