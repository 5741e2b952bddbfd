package follower

import (
	"math/rand/v2"
	"testing"
	"time"

	"ospreybend/internal/node/zones/commands"
	"ospreybend/internal/node/zones/health"
)

var zones = []string{"a", "b", "c"}

const start = time.Hour

func follower(name string) *Follower {
	return New(start, Usual(), "f", name, "a", 5, 1, rand.New(rand.NewPCG(1, 1)))
}

func table(epoch uint64, z commands.Zone) *commands.Table {
	z.Since = epoch
	return &commands.Table{Epoch: epoch, Zones: map[string]commands.Zone{"b": z}}
}

func answer(t *commands.Table) Answer {
	return Answer{Incarnation: 5, Epoch: t.Epoch, Table: t, Lease: 2 * time.Second}
}

// Orders hold for their lease, counted from the report's sending; older ones are refused.
func TestOrdersAndLease(t *testing.T) {
	f := follower("n")
	if f.Ready(start) || !f.Ready(start+2*time.Second) {
		t.Error("a new process does not wait for its first orders, or for ever")
	}
	if !f.Heard(start+time.Second, start, answer(table(3, commands.Zone{Phase: commands.Rising, Share: 0.25}))) || !f.Ready(start+time.Second) {
		t.Fatal("not heard")
	}
	if got := f.Shares(start+1100*time.Millisecond, zones); got["a"] != 1 || got["b"] != 0.25 {
		t.Errorf("%v", got)
	}
	if f.Heard(start+1100*time.Millisecond, start+time.Second, answer(table(2, commands.Zone{Phase: commands.In, Share: 1}))) || f.Epoch() != 3 || f.Refused() != 1 {
		t.Error("older orders are taken up")
	}
	if f.Led(start + 2*time.Second) {
		t.Error("the lease counts from the answer")
	}
	if f.Heard(start+9*time.Second, start+time.Second, answer(table(4, commands.Zone{Phase: commands.In, Share: 1}))); f.Led(start + 9*time.Second) {
		t.Error("an answer that took longer than the lease leads")
	}
	if f.Heard(start+9*time.Second, start+9*time.Second, Answer{Epoch: 9}); f.Led(start + 9*time.Second) {
		t.Error("a voter without a leader leads")
	}
}

// A process that hears nobody goes on from the share that it had, never to the whole at once.
func TestByItself(t *testing.T) {
	f := follower("n")
	f.Heard(start, start, answer(table(3, commands.Zone{Phase: commands.Rising, Share: 0.125})))
	f.Shares(start, zones)
	last := 0.125
	for now := start + 2*time.Second; now < start+12*time.Second; now += 100 * time.Millisecond {
		for _, z := range zones {
			f.Eyes().Note(now, now, z, health.Count{Good: 1})
		}
		got := f.Shares(now, zones)["b"]
		if got > 2*last {
			t.Fatalf("from %v to %v", last, got)
		}
		last = got
	}
	if last != 1 {
		t.Errorf("in ten good seconds it comes to %v", last)
	}
	for now := start + 12*time.Second; now < start+16*time.Second; now += 100 * time.Millisecond {
		f.Eyes().Note(now, now, "b", health.Count{Broken: 1})
		last = f.Shares(now, zones)["b"]
	}
	if last != 0 {
		t.Errorf("in four bad seconds it comes to %v", last)
	}
	// Where all fail alike none is left: shares are relative.
	f = follower("m")
	for now := start; now < start+10*time.Second; now += 100 * time.Millisecond {
		for _, z := range zones {
			f.Eyes().Note(now, now, z, health.Count{Broken: 1})
		}
		most := 0.0
		for _, v := range f.Shares(now, zones) {
			most = max(most, v)
		}
		if most != 1 {
			t.Fatalf("nothing goes anywhere: %v", f.Shares(now, zones))
		}
	}
}

// Of many processes about the chosen part tries, others at each order; the rest sends nothing.
func TestFewTry(t *testing.T) {
	count := func(epoch uint64) (n int, names string) {
		for i := range 300 {
			f := follower(string(rune('A'+i%26)) + string(rune('a'+i/26)))
			f.Heard(start, start, answer(table(epoch, commands.Zone{Phase: commands.Trying, Share: 1, Chosen: 0.05})))
			if f.Shares(start, zones)["b"] > 0 {
				n++
				names += f.name
			}
		}
		return n, names
	}
	n, names := count(3)
	if m, others := count(4); n < 5 || n > 30 || m < 5 || m > 30 || names == others {
		t.Errorf("%d and %d of 300 try", n, m)
	}
}

// A voter that knows a later start of the process has it take a higher incarnation.
func TestIncarnationRises(t *testing.T) {
	f := follower("n")
	f.Heard(start, start, Answer{Incarnation: 9})
	if r, _ := f.Report(start); r.Incarnation != 10 || r.Sequence != 1 {
		t.Errorf("%+v", r)
	}
}

// What a step sent before an order says of a zone does not count under it.
func TestEvidenceIsOfTheOrder(t *testing.T) {
	f := follower("n")
	f.Eyes().Note(start, start, "b", health.Count{Broken: 1})
	f.Heard(start+time.Second, start+time.Second, answer(table(3, commands.Zone{Phase: commands.Trying, Share: 0.5, Chosen: 1})))
	// An order that leaves the share here as it is takes no evidence away.
	f.Heard(start+time.Second, start+time.Second, answer(table(4, commands.Zone{Phase: commands.Rising, Share: 0.5})))
	f.Eyes().Note(start+2*time.Second, start, "b", health.Count{Broken: 1})
	f.Eyes().Note(start+2*time.Second, start+1500*time.Millisecond, "b", health.Count{Good: 1})
	if s := f.Eyes().Look(start+2*time.Second, "b"); s.Broken != 0 || s.Good != 1 {
		t.Errorf("%+v", s.Count)
	}
}
