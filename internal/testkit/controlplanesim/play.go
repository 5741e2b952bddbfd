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
	Faults     []string // failures that no check of the history would find
	History    history.History
	Figures    Figures
}

// Figures count the operations of a run.
type Figures struct {
	Virtual      time.Duration // on the fake clock
	Attempts     int           // of orders
	Acknowledged int           // of these, acknowledged
	Reads        int
	Views        int
}

// Failed reports whether a check failed.
func (r Report) Failed() bool { return len(r.Violations) > 0 || len(r.Faults) > 0 }

// String lists the violations, and the schedule as a script that can be replayed.
func (r Report) String() string {
	var text strings.Builder
	for _, violation := range r.Violations {
		text.WriteString(violation.String() + "\n")
	}
	for _, fault := range r.Faults {
		text.WriteString("fault at " + fault + "\n")
	}
	text.WriteString(r.Schedule.Format())
	return text.String()
}

// Play plays a schedule in a synctest bubble of its own and checks the history. It must be called outside of a bubble.
func Play(t *testing.T, s schedule.Schedule) Report {
	t.Helper()
	return PlayLogged(t, s, zap.NewNop())
}

// PlayLogged is Play with the servers' log, for debugging.
func PlayLogged(t *testing.T, s schedule.Schedule, log *zap.Logger) Report {
	t.Helper()
	return playScript(t, s, log, (*world).playEvents)
}

// playScript is Play with a script in place of the schedule's events.
func playScript(t *testing.T, s schedule.Schedule, log *zap.Logger, script func(w *world, ctx context.Context)) Report {
	t.Helper()
	report := Report{Schedule: s}
	synctest.Test(t, func(t *testing.T) {
		w, err := newWorld(s, log)
		if err != nil {
			t.Fatal(err)
		}
		w.run(func(ctx context.Context) { script(w, ctx) })
		report.History, report.Faults = w.record.result()
	})
	report.Violations = report.History.Check()
	report.Figures = countFigures(report.History)
	return report
}

func countFigures(h history.History) Figures {
	figures := Figures{Virtual: h.End, Views: len(h.Views)}
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
