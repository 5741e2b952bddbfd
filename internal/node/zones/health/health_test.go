package health

import (
	"testing"
	"time"
)

// A zone is judged by its fresh steps. If there are none, older failures still count, but older successes do not.
func TestMonitor_Observe_judgesByRecentSteps(t *testing.T) {
	succeeded, failed := StepCounts{Succeeded: 1}, StepCounts{Failed: 1}
	for _, c := range []struct {
		name                      string
		outcomes                  []StepCounts
		age                       time.Duration // time from the outcomes to the observation
		wantSteps                 float64
		wantObserver, wantFailing bool
	}{
		{"no step", nil, 0, 0, false, false},
		{"fresh successes", []StepCounts{succeeded, succeeded}, 0, 2, true, false},
		{"fresh failures", []StepCounts{failed, failed, succeeded}, 0, 3, true, true},
		{"fresh failures below the ratio", []StepCounts{failed, succeeded}, 0, 2, true, false},
		{"old successes", []StepCounts{succeeded, succeeded}, freshStepAge + time.Second, 2, false, false},
		{"old failures", []StepCounts{failed, failed}, freshStepAge + time.Second, 2, true, true},
		{"failures past maxStepAge", []StepCounts{failed, failed}, maxStepAge + time.Second, 0, false, false},
		{"only the last steps count", []StepCounts{failed, failed, failed, succeeded, succeeded, succeeded, succeeded, succeeded}, 0, 5, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			start := time.Minute
			m := New(start, 1)
			for _, outcome := range c.outcomes {
				m.RecordOutcome(start, start, "b", outcome)
			}
			got := m.Observe(start+c.age, "b")
			if got.RecentSteps != c.wantSteps || got.Observers > 0 != c.wantObserver || got.FailingObservers > 0 != c.wantFailing {
				t.Errorf("%+v; want %v recent steps, observer %v, failing %v", got, c.wantSteps, c.wantObserver, c.wantFailing)
			}
		})
	}
}

// A reset discards the outcomes of steps sent before it, also of those that end later, and keeps the recorded work.
func TestMonitor_Reset(t *testing.T) {
	start := time.Minute
	m := New(start, 1)
	m.RecordSent(start, "b", 0, 3)
	m.RecordOutcome(start, start, "b", StepCounts{Failed: 1})
	m.Reset(start+time.Second, "b")
	m.RecordOutcome(start+2*time.Second, start, "b", StepCounts{Failed: 1})
	m.RecordOutcome(start+2*time.Second, start+time.Second, "b", StepCounts{Succeeded: 1})
	got := m.Observe(start+2*time.Second, "b")
	if got.Failed != 0 || got.Succeeded != 1 || got.FailingObservers != 0 {
		t.Errorf("outcomes after Reset: %+v, want none failed, 1 succeeded and no failing observer", got)
	}
	if got.WorkRate[0] <= 0 {
		t.Errorf("work rate after Reset: %v, want it above 0", got.WorkRate)
	}
}

// Merging digests adds counts and work rates, and keeps the largest capacity.
func TestDigest_Add(t *testing.T) {
	one := Observations{"b": {StepCounts: StepCounts{Succeeded: 2}, Observers: 1, Slots: 8, WorkRate: []float64{1}}}
	two := Observations{"b": {StepCounts: StepCounts{Failed: 3}, Observers: 1, FailingObservers: 1, Slots: 6, WorkRate: []float64{2, 4}}}
	d, other := Digest{}, Digest{}
	d.AddProcess("a", one)
	other.AddProcess("a", two)
	d.Add(other)
	got := d["a"].Observations["b"]
	if d["a"].Processes != 2 || got.Succeeded != 2 || got.Failed != 3 || got.Observers != 2 || got.FailingObservers != 1 || got.Slots != 8 {
		t.Errorf("merged digest %+v, want 2 processes and 2 observers, 1 of them failing, 2 steps succeeded, 3 failed, 8 slots", d)
	}
	if len(got.WorkRate) != 2 || got.WorkRate[0] != 3 || got.WorkRate[1] != 4 {
		t.Errorf("merged work rates %v, want [3 4]", got.WorkRate)
	}
	if one["b"].WorkRate[0] != 1 {
		t.Errorf("the merge changed its argument: work rates %v, want [1]", one["b"].WorkRate)
	}
}
