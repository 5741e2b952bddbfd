package override

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ospreybend/balance"
)

func init() { _ = flag.Set("rapid.seed", "20261201") }

// Two processes get calls that disable and enable prep workers, and merge their overrides at
// random. After a last merge both must apply them to any list as a model does: a disabled prep
// worker is draining even if it is listed as ready; one enabled again has its listed start if that
// is later than the time when it was disabled, otherwise the time of the call that enabled it.
func TestOverrides_twoProcessesAgainstAModel(t *testing.T) {
	type workerModel struct {
		out         bool
		since, back time.Duration
	}
	rapid.Check(t, func(t *rapid.T) {
		processes, now := [2]Overrides{{}, {}}, time.Hour
		model := map[string]workerModel{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 1000).Draw(t, "ms")) * time.Millisecond
			process, name := rapid.IntRange(0, 1).Draw(t, "process"), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name")
			if rapid.IntRange(0, 3).Draw(t, "merge") == 0 {
				processes[process].Merge(processes[1-process])
				continue
			}
			processes[1-process].Merge(processes[process]) // a call is stored under a lock, merged with all that is stored
			processes[process].Merge(processes[1-process])
			m, out := model[name], rapid.Bool().Draw(t, "out")
			if out && !m.out {
				m.since = now
			} else if !out && m.out {
				m.back = now
			}
			m.out = out
			model[name] = m
			processes[process].Set(name, out, now)
		}
		processes[0].Merge(processes[1])
		processes[1].Merge(processes[0])
		started := time.Duration(rapid.IntRange(0, int(now/time.Second)).Draw(t, "started")) * time.Second
		state := rapid.SampledFrom([]balance.State{balance.Ready, balance.Draining, balance.Gone}).Draw(t, "state")
		for name, m := range model {
			want := balance.WorkerListing{State: state, Started: started}
			if m.out && state == balance.Ready {
				want.State = balance.Draining
			}
			if state != balance.Gone && started <= m.since {
				want.Started = max(started, m.back)
			}
			for i := range processes {
				if got := processes[i].Apply(name, balance.WorkerListing{State: state, Started: started}); got != want {
					t.Fatalf("Apply to prep worker %s in process %d: got %+v, want %+v", name, i, got, want)
				}
			}
		}
	})
}

// Of two calls that different processes get before they merge, the later wins in both.
func TestOverrides_Merge_laterWins(t *testing.T) {
	a, b := Overrides{}, Overrides{}
	a.Set("x", true, time.Hour)
	b.Set("x", false, 2*time.Hour)
	a.Merge(b)
	b.Merge(Overrides{"x": {Disabled: true, At: time.Hour, DisabledAt: time.Hour}})
	if a["x"] != b["x"] || a.Disabled("x") || a["x"].EnabledAt != 2*time.Hour {
		t.Errorf("after the merge: got %+v and %+v, want both enabled at 2h", a["x"], b["x"])
	}
}
