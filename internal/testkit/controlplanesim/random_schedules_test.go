package controlplanesim

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"ospreybend/internal/testkit/controlplanesim/schedule"
)

var shapes = []schedule.Shape{
	{Servers: 3, Tolerance: 1, Agents: 3, Operators: 2, Workers: 4, Length: 40 * time.Second},
	{Servers: 5, Tolerance: 2, Agents: 3, Operators: 2, Workers: 4, Length: 40 * time.Second},
	{Servers: 9, Tolerance: 4, Agents: 3, Operators: 2, Workers: 4, Length: 40 * time.Second},
	{Servers: 3, Tolerance: 1, Agents: 3, Operators: 3, Workers: 6, Length: 40 * time.Second},
}

// TestPlay_drawnSchedulesViolateNothing plays randomly generated schedules with fixed seeds. SIMULATED_FROM and
// SIMULATED_COUNT select other seeds. `inference-router measure simulate` plays any number and shrinks failing schedules.
func TestPlay_drawnSchedulesViolateNothing(t *testing.T) {
	from, count := uintFromEnvironment("SIMULATED_FROM", 1), uintFromEnvironment("SIMULATED_COUNT", 20)
	for seed := from; seed < from+count; seed++ {
		for _, shape := range shapes {
			t.Run(fmt.Sprintf("%d servers, %d operators, seed %d", shape.Servers, shape.Operators, seed), func(t *testing.T) {
				t.Parallel()
				began := time.Now()
				report := Play(t, schedule.Draw(seed, shape))
				t.Logf("%+v in %v", report.Figures, time.Since(began))
				if report.Failed() {
					t.Errorf("schedule violates a check, want no violation: %v", report)
				}
			})
		}
	}
}

func uintFromEnvironment(variable string, otherwise uint64) uint64 {
	if value, err := strconv.ParseUint(os.Getenv(variable), 10, 64); err == nil {
		return value
	}
	return otherwise
}
