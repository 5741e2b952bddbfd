package controlplanesim

import (
	"testing"
	"time"

	"ospreybend/internal/testkit/controlplanesim/schedule"
)

// calm is a schedule without events.
func calm(keepers, tolerance int, length time.Duration) schedule.Schedule {
	return schedule.Schedule{
		Seed: 1, Servers: keepers, Tolerance: tolerance, Agents: 3, Operators: 2, Workers: 4, Length: length,
	}
}

func TestPlay_withoutFaultsViolatesNothing(t *testing.T) {
	for _, s := range []schedule.Schedule{calm(3, 1, 10*time.Second), calm(5, 2, 10*time.Second), calm(9, 4, 10*time.Second)} {
		began := time.Now()
		report := Play(t, s)
		t.Logf("%d servers: %+v in %v", s.Servers, report.Figures, time.Since(began))
		if report.Failed() {
			t.Errorf("%v", report)
		}
		if report.Figures.Acknowledged == 0 || report.Figures.Views == 0 {
			t.Errorf("%d servers: nothing happened: %+v", s.Servers, report.Figures)
		}
	}
}
