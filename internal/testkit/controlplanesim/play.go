package controlplanesim

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"ospreybend/internal/testkit/controlplanesim/history"
	"ospreybend/internal/testkit/controlplanesim/schedule"
)

// Report is the result of playing a schedule.
type Report struct {
	Schedule   schedule.Schedule
	Violations []history.Violation
	Failures   []string // failures that the checks of the history cannot detect
	History    history.History
	Figures    Figures
}

// Figures are the operation counts of a run.
type Figures struct {
	VirtualDuration time.Duration // duration on the fake clock
	Attempts        int           // of orders
	Acknowledged    int           // attempts that were acknowledged
	Reads           int
	Views           int
}

// Failed reports whether a check failed.
func (r Report) Failed() bool { return len(r.Violations) > 0 || len(r.Failures) > 0 }

// String lists the violations and failures, followed by the schedule in its text form for a replay.
func (r Report) String() string {
	var text strings.Builder
	for _, violation := range r.Violations {
		text.WriteString(violation.String() + "\n")
	}
	for _, failure := range r.Failures {
		text.WriteString("failure at " + failure + "\n")
	}
	text.WriteString(r.Schedule.Format())
	return text.String()
}

// Play runs a schedule in its own synctest bubble and checks the history. It must not be called within a bubble.
func Play(t *testing.T, s schedule.Schedule) Report {
	t.Helper()
	return PlayLogged(t, s, zap.NewNop())
}

// PlayLogged is like Play, with a log for the servers, for debugging.
func PlayLogged(t *testing.T, s schedule.Schedule, log *zap.Logger) Report {
	t.Helper()
	return playScript(t, s, log, (*simulation).playEvents)
}

// playScript is like PlayLogged, with a script in place of the schedule's events.
func playScript(t *testing.T, s schedule.Schedule, log *zap.Logger, script func(sim *simulation, ctx context.Context)) Report {
	t.Helper()
	report := Report{Schedule: s}
	synctest.Test(t, func(t *testing.T) {
		sim, err := newSimulation(s, log)
		if err != nil {
			t.Fatal(err)
		}
		sim.run(func(ctx context.Context) { script(sim, ctx) })
		report.History, report.Failures = sim.recorder.result()
	})
	report.Violations = report.History.Check()
	report.Figures = countFigures(report.History)
	return report
}

func countFigures(h history.History) Figures {
	figures := Figures{VirtualDuration: h.End, Views: len(h.Views)}
	for _, operation := range h.Operations {
		switch operation.Kind {
		case history.Read:
			figures.Reads++
		default:
			figures.Attempts++
			if operation.Outcome == history.Acknowledged {
				figures.Acknowledged++
			}
		}
	}
	return figures
}
