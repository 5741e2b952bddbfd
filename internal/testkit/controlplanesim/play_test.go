package controlplanesim

import (
	"testing"
	"time"

	"ospreybend/internal/testkit/controlplanesim/schedule"
)

// faultFreeSchedule returns a schedule without events.
func faultFreeSchedule(servers, tolerance int, length time.Duration) schedule.Schedule {
	return schedule.Schedule{
		Seed: 1, Servers: servers, Tolerance: tolerance, Agents: 3, Operators: 2, Workers: 4, Length: length,
	}
}

func TestPlay_withoutFaultsViolatesNothing(t *testing.T) {
	for _, s := range []schedule.Schedule{faultFreeSchedule(3, 1, 10*time.Second), faultFreeSchedule(5, 2, 10*time.Second), faultFreeSchedule(9, 4, 10*time.Second)} {
		began := time.Now()
		report := Play(t, s)
		t.Logf("%d servers: %+v in %v", s.Servers, report.Figures, time.Since(began))
		if report.Failed() {
			t.Errorf("%d servers without faults: got violations, want none: %v", s.Servers, report)
		}
		if report.Figures.Acknowledged == 0 || report.Figures.Views == 0 {
			t.Errorf("%d servers: got %+v, want acknowledged orders and views", s.Servers, report.Figures)
		}
	}
}
