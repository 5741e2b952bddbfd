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

// TestPlay_drawnSchedulesViolateNothing plays schedules of fixed seeds. SIMULATED_FROM and SIMULATED_COUNT take others;
// `inference-router measure simulate` plays any number and shrinks what fails.
func TestPlay_drawnSchedulesViolateNothing(t *testing.T) {
	from, count := number("SIMULATED_FROM", 1), number("SIMULATED_COUNT", 20)
	for seed := from; seed < from+count; seed++ {
		for _, shape := range shapes {
			t.Run(fmt.Sprintf("%d servers, %d operators, seed %d", shape.Servers, shape.Operators, seed), func(t *testing.T) {
				t.Parallel()
				began := time.Now()
				report := Play(t, schedule.Draw(seed, shape))
				t.Logf("%+v in %v", report.Figures, time.Since(began))
				if report.Failed() {
					t.Errorf("%v", report)
				}
			})
		}
	}
}

func number(variable string, otherwise uint64) uint64 {
	if value, err := strconv.ParseUint(os.Getenv(variable), 10, 64); err == nil {
		return value
	}
	return otherwise
}
