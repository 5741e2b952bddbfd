package override

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ospreybend/balance"
)

func init() { _ = flag.Set("rapid.seed", "20261201") }

// Two processes receive calls in any order and merge now and then. After a merge both apply the
// overrides to any list as the model says: a disabled worker drains whatever the list says; one
// enabled again has started since it was disabled, or with the call if the list has no such start.
func TestOverrides_twoProcessesAgainstAModel(t *testing.T) {
	type truth struct {
		out         bool
		since, back time.Duration
	}
	rapid.Check(t, func(t *rapid.T) {
		two, now := [2]Overrides{{}, {}}, time.Hour
		model := map[string]truth{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 1000).Draw(t, "ms")) * time.Millisecond
			at, name := rapid.IntRange(0, 1).Draw(t, "process"), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name")
			if rapid.IntRange(0, 3).Draw(t, "merge") == 0 {
				two[at].Merge(two[1-at])
				continue
			}
			two[1-at].Merge(two[at]) // a call is recorded under a lock, on what is recorded
			two[at].Merge(two[1-at])
			m, out := model[name], rapid.Bool().Draw(t, "out")
			if out && !m.out {
				m.since = now
			} else if !out && m.out {
				m.back = now
			}
			m.out = out
			model[name] = m
			two[at].Set(name, out, now)
		}
		two[0].Merge(two[1])
		two[1].Merge(two[0])
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
			for i := range two {
				if got := two[i].Apply(name, balance.WorkerListing{State: state, Started: started}); got != want {
					t.Fatalf("%s in process %d: %+v, want %+v", name, i, got, want)
				}
			}
		}
	})
}

// Overrides that are merged only after both calls: the later wins, in either order.
func TestOverrides_Merge_laterWins(t *testing.T) {
	a, b := Overrides{}, Overrides{}
	a.Set("x", true, time.Hour)
	b.Set("x", false, 2*time.Hour)
	a.Merge(b)
	b.Merge(Overrides{"x": {Out: true, At: time.Hour, Since: time.Hour}})
	if a["x"] != b["x"] || a.Out("x") || a["x"].Back != 2*time.Hour {
		t.Errorf("%+v and %+v", a["x"], b["x"])
	}
}
