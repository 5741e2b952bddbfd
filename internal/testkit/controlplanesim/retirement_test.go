package controlplanesim

import (
	"fmt"
	"slices"
	"testing"

	"ospreybend/internal/testkit/controlplanesim/history"
	"ospreybend/internal/testkit/controlplanesim/schedule"
)

// retirementSchedules have voters leave for good whose successors have had their time to catch up. The test prepends the seed and
// further parameters to the first line.
var retirementSchedules = map[string]string{
	"all voters while the agents are cut off": `keepers=3 tolerance=1 length=28s` + "\n6s retire keepers=0,1,2 agents=0,1 for=0s",
	"two of three while the third is cut off": `keepers=3 tolerance=1 length=28s` + "\n6s retire keepers=0,1 for=0s\n6s cut variant=isolated keepers=2 for=8s",
	"all voters together":                     `keepers=3 tolerance=1 length=24s` + "\n6s retire keepers=0,1,2 for=0s",
	"all voters in quick succession":          `keepers=3 tolerance=1 length=24s` + "\n6s retire keepers=0,1,2 for=100ms",
	"all voters in turn":                      `keepers=3 tolerance=1 length=26s` + "\n6s retire keepers=2,0,1 for=1s",
	"two of three voters together":            `keepers=3 tolerance=1 length=24s` + "\n6s retire keepers=1,2 for=0s",
	"the leader alone":                        `keepers=3 tolerance=1 length=24s` + "\n6s retire leader keepers=0 for=0s",
	"three of five voters":                    `keepers=5 tolerance=2 length=24s` + "\n6s retire keepers=0,2,4 for=50ms",
	"all of nine voters together":             `keepers=9 tolerance=4 length=26s` + "\n6s retire keepers=0,1,2,3,4,5,6,7,8 for=0s",
	"all voters twice":                        `keepers=3 tolerance=1 length=40s` + "\n6s retire keepers=0,1,2 for=0s\n20s retire keepers=0,1,2 for=200ms",
	"two of three, and the third is killed":   `keepers=3 tolerance=1 length=26s` + "\n6s retire keepers=0,1 for=0s\n10s kill keepers=2 for=2s",
	"one, and another loses its power":        `keepers=3 tolerance=1 length=26s` + "\n6s retire keepers=0 for=0s\n10s power keepers=1 for=2s",
}

const retirementSeeds = 4

// TestPlay_votersLeaveForGood guards against groups that lose their majority for good when voters leave whose successors wait: leaders
// among them made no successor a voter before they ended, and the next leader made a voter again of one that was leaving. It also guards
// against agents and servers that were cut off meanwhile and never learn of the successors.
func TestPlay_votersLeaveForGood(t *testing.T) {
	for name, course := range retirementSchedules {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(retirementSeeds) {
				if report := playRetirement(t, seed+1, course); report.Failed() {
					t.Errorf("seed %d: %v", seed+1, report)
				}
			}
		})
	}
}

// TestPlay_votersLeaveForGoodDetectsOmittedGuard checks that leaving leaders must hand their majority over.
func TestPlay_votersLeaveForGoodDetectsOmittedGuard(t *testing.T) {
	for _, name := range []string{"all voters together", "two of three voters together", "all of nine voters together"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			report := playRetirement(t, 1, retirementSchedules[name], "keeper.majority-handed-over")
			if !slices.ContainsFunc(report.Violations, func(found history.Violation) bool { return found.Check == history.CheckMajority }) {
				t.Errorf("without the guard: %v, want a violation of %s", report, history.CheckMajority)
			}
		})
	}
}

func playRetirement(t *testing.T, seed uint64, course string, omit ...string) Report {
	t.Helper()
	parsed, err := schedule.Parse(fmt.Sprintf("schedule seed=%d agents=2 operators=2 workers=2 %s", seed, course))
	if err != nil {
		t.Fatal(err)
	}
	parsed.Omit = omit
	return Play(t, parsed)
}
