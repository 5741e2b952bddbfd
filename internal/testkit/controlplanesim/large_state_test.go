package controlplanesim

import (
	"testing"

	"ospreybend/internal/testkit/controlplanesim/schedule"
)

// Schedules with a configuration of 2 MB and 900 changes that no snapshot covers. Events begin after the changes are made.
const (
	// twoDisksLost has a second disk lost later than schedule.CatchUp after the first machine is back.
	twoDisksLost = `schedule seed=7 keepers=3 tolerance=1 agents=2 operators=2 workers=2 length=45s routes=9000 changes=900
30s wipe keepers=0 for=1s
37s wipe keepers=1 for=1s
`
	// allKilled has all servers killed at once.
	allKilled = `schedule seed=8 keepers=3 tolerance=1 agents=2 operators=2 workers=2 length=45s routes=9000 changes=900
36s kill-all for=1s
`
)

// TestPlay_largeState guards against servers that return and need longer than the bounds to apply the small changes that they have
// missed, as each costs work in proportion to the whole configuration: the group then ends with the next loss, or nothing is served.
func TestPlay_largeState(t *testing.T) {
	for name, text := range map[string]string{"two disks lost one after the other": twoDisksLost, "all servers killed": allKilled} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			parsed, err := schedule.Parse(text)
			if err != nil {
				t.Fatal(err)
			}
			report := Play(t, parsed)
			if report.Failed() || report.Figures.Acknowledged < parsed.Changes {
				t.Errorf("%d changes were acknowledged, want at least %d and no violation: %v", report.Figures.Acknowledged, parsed.Changes, report)
			}
		})
	}
}
