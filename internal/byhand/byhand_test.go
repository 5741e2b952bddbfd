package byhand

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ospreybend/balance"
)

// The cases drawn are the same in each run; -rapid.seed=0 draws others.
func init() { _ = flag.Set("rapid.seed", "20261201") }

// Two processes hear calls in any order and merge now and then, by way of a file
// that both may read. Once both have, each lays every list as one process would
// that had heard all calls: out is out whatever the list says, back counts as
// started at the call.
func TestTwoProcessesAgreeWithOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		two, one := [2]Words{{}, {}}, Words{}
		now := time.Hour
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 1000).Draw(t, "ms")) * time.Millisecond
			at := rapid.IntRange(0, 1).Draw(t, "process")
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
			if rapid.IntRange(0, 3).Draw(t, "merge") == 0 {
				two[at].Merge(two[1-at])
				continue
			}
			out := rapid.Bool().Draw(t, "out")
			two[at].Say(name, out, now)
			one.Say(name, out, now)
		}
		two[0].Merge(two[1])
		two[1].Merge(two[0])
		for _, name := range []string{"a", "b", "c"} {
			if two[0][name] != two[1][name] {
				t.Fatalf("%s: %+v here and %+v there", name, two[0][name], two[1][name])
			}
			if two[0].Out(name) != one.Out(name) {
				t.Fatalf("%s: out %v, one process says %v", name, two[0].Out(name), one.Out(name))
			}
			for _, state := range []balance.State{balance.Ready, balance.Draining, balance.Gone} {
				l := two[0].Lay(name, balance.Listing{State: state, Started: time.Minute})
				want := state
				if one.Out(name) && state == balance.Ready {
					want = balance.Draining
				}
				if l.State != want {
					t.Fatalf("%s: listed %v, laid %v, want %v", name, state, l.State, want)
				}
				if back := one[name].Back; state != balance.Gone && !one.Out(name) && back > 0 && l.Started < back {
					t.Fatalf("%s: started %v, called back at %v", name, l.Started, back)
				}
			}
		}
	})
}

// Out twice and back once is back; back without out changes nothing; a start that
// the list tells of later than the call holds.
func TestBack(t *testing.T) {
	w := Words{}
	w.Say("a", false, 1*time.Hour)
	if l := w.Lay("a", balance.Listing{Started: time.Minute}); l.Started != time.Minute || l.State != balance.Ready {
		t.Errorf("back without out: %+v", l)
	}
	w.Say("a", true, 2*time.Hour)
	w.Say("a", true, 3*time.Hour)
	w.Say("a", false, 4*time.Hour)
	if l := w.Lay("a", balance.Listing{Started: time.Minute}); l.State != balance.Ready || l.Started != 4*time.Hour {
		t.Errorf("back: %+v", l)
	}
	for _, started := range []time.Duration{2*time.Hour + time.Minute, 5 * time.Hour} {
		if l := w.Lay("a", balance.Listing{Started: started}); l.Started != started {
			t.Errorf("a start since it was taken out, at %v: %+v", started, l)
		}
	}
	// Taken out again, the start of then is an old one.
	w.Say("a", true, 6*time.Hour)
	w.Say("a", false, 7*time.Hour)
	if l := w.Lay("a", balance.Listing{Started: 5 * time.Hour}); l.Started != 7*time.Hour {
		t.Errorf("out for a second time: %+v", l)
	}
}
