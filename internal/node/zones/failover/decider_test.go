package failover

import (
	"math"
	"testing"
	"time"

	"ospreybend/internal/node/zones/commands"
	"ospreybend/internal/node/zones/health"
)

var some = []Class{{Name: "check", Worth: 2}, {Name: "preview", Worth: 1}, {Name: "book", Worth: 4, Once: true}}

// sight is what each of n processes sees of a zone: good and bad steps, and a load of
// work on its slots.
func sight(n int, good, bad float64) health.Sight {
	s := health.Sight{Slots: 10, Work: []float64{1, 1, 1}}
	for range n {
		one := health.Sight{Count: health.Count{Sent: good + bad, Good: good, Broken: bad}, Seers: 1, Last: good + bad}
		if bad >= good {
			one.Bad = 1
		}
		s.Add(one)
	}
	return s
}

var fine3, bad3 = sight(3, 10, 0), sight(3, 0, 10)

// shown is a fleet of zones a, b and c of three processes, all well, but for what differs.
func shown(differs map[[2]string]health.Sight) health.Digest {
	d := health.Digest{}
	for _, from := range []string{"a", "b", "c"} {
		at := health.From{Processes: 3, Sights: health.Sights{}}
		for _, to := range []string{"a", "b", "c"} {
			s, ok := differs[[2]string{from, to}]
			if !ok {
				s = fine3
			}
			at.Sights[to] = s
		}
		d[from] = at
	}
	return d
}

func TestVerdicts(t *testing.T) {
	late := sight(3, 10, 0)
	late.Late = 25
	crowded := sight(3, 5, 10)
	crowded.Work = []float64{4, 4, 4}
	one := sight(2, 10, 0)
	one.Add(sight(1, 0, 10))
	gone := shown(map[[2]string]health.Sight{{"a", "b"}: bad3, {"c", "b"}: bad3})
	delete(gone, "b")
	for _, c := range []struct {
		name string
		seen health.Digest
		want Kind
	}{
		{"all well", shown(nil), Well},
		{"nobody gets anything done there", shown(map[[2]string]health.Sight{{"a", "b"}: bad3, {"b", "b"}: bad3, {"c", "b"}: bad3}), Fails},
		{"and its processes are gone, too", gone, Fails},
		{"its own processes reach it", shown(map[[2]string]health.Sight{{"a", "b"}: bad3, {"c", "b"}: bad3}), Cut},
		{"one zone does not reach it", shown(map[[2]string]health.Sight{{"a", "b"}: bad3}), Cut},
		{"one zone alone speaks", health.Digest{"a": {Processes: 3, Sights: health.Sights{"a": fine3, "b": bad3}}}, Unknown},
		{"who says so reaches nobody", shown(map[[2]string]health.Sight{{"a", "b"}: bad3, {"a", "c"}: bad3}), Well},
		{"one process is cut off", shown(map[[2]string]health.Sight{{"a", "b"}: one, {"c", "b"}: one, {"b", "b"}: one}), Well},
		{"too few steps to tell", shown(map[[2]string]health.Sight{{"a", "b"}: sight(2, 0, 1), {"b", "b"}: sight(2, 0, 1), {"c", "b"}: sight(2, 0, 1)}), Unknown},
		{"it only has too much to do", shown(map[[2]string]health.Sight{{"a", "b"}: crowded, {"b", "b"}: crowded, {"c", "b"}: crowded}), Crowded},
		{"it alone is late", shown(map[[2]string]health.Sight{{"a", "b"}: late, {"b", "b"}: late, {"c", "b"}: late}), Slow},
		{"all are late", shown(map[[2]string]health.Sight{{"a", "a"}: late, {"a", "b"}: late, {"a", "c"}: late, {"b", "a"}: late,
			{"b", "b"}: late, {"b", "c"}: late, {"c", "a"}: late, {"c", "b"}: late, {"c", "c"}: late}), Well},
	} {
		if got := Usual().judge(c.seen, &commands.Table{})["b"]; got.Kind != c.want {
			t.Errorf("%s: %v, not %v", c.name, got.Kind, c.want)
		}
	}
}

// stage plays a decider on a table by hand.
type stage struct {
	t     *testing.T
	d     *Decider
	table commands.Table
	now   time.Duration
	wall  int64
}

func newStage(t *testing.T) *stage {
	return &stage{t: t, d: New(Usual(), some), now: time.Hour,
		table: commands.Table{Zones: map[string]commands.Zone{}, Words: map[string]commands.Word{}}}
}

// look shows the same for a time, and returns what zone b has come to.
func (s *stage) look(span time.Duration, v health.Digest) commands.Zone {
	for end := s.now + span; s.now < end; s.now += 200 * time.Millisecond {
		change, _ := s.d.Look(s.now, s.wall, v, &s.table)
		if change == nil {
			continue
		}
		s.table.Epoch++
		for name, z := range change.Zones {
			z.Since = s.table.Epoch
			s.table.Zones[name] = z
		}
		if change.Admits {
			s.table.Admit = change.Admit
		}
	}
	return s.table.Of("b")
}

var failing = shown(map[[2]string]health.Sight{{"a", "b"}: bad3, {"b", "b"}: bad3, {"c", "b"}: bad3})

// Left, tried after a rest that each failure doubles, back by steps, each no larger than
// what is cold there bears; bad news halve the share.
func TestLeaveAndReturn(t *testing.T) {
	s := newStage(t)
	if z := s.look(time.Second, failing); z.Phase != commands.Left || z.Share != 0 || z.Failures != 1 {
		t.Fatalf("failing: %+v", z)
	}
	if z := s.look(2*time.Second, failing); z.Phase != commands.Trying || z.Chosen*z.Share > Usual().First+1e-9 {
		t.Fatalf("after its rest: %+v", z)
	}
	if z := s.look(1500*time.Millisecond, failing); z.Phase != commands.Left || z.Failures != 2 {
		t.Fatalf("the tries fail: %+v", z)
	}
	if z := s.look(3*time.Second, failing); z.Phase != commands.Left {
		t.Fatalf("the second rest is twice as long: %+v", z)
	}
	s.look(1200*time.Millisecond, failing)
	cold := sight(3, 10, 0)
	cold.Cold = 0.7
	coming := shown(map[[2]string]health.Sight{{"a", "b"}: cold, {"b", "b"}: cold, {"c", "b"}: cold})
	if z := s.look(12*time.Second, coming); z.Phase != commands.Rising || z.Share != 0.25 {
		t.Fatalf("with three tenths of its capacity: %+v", z)
	}
	if z := s.look(400*time.Millisecond, failing); z.Phase != commands.Rising || z.Share != 0.125 {
		t.Fatalf("bad news: %+v", z)
	}
	last := 0.0
	for range 40 {
		z := s.look(200*time.Millisecond, shown(nil))
		if z.Share > 2*last && last > 0 {
			t.Fatalf("from %v to %v at once", last, z.Share)
		}
		last = z.Share
	}
	z := s.table.Of("b")
	if z.Phase != commands.In || z.Share != 1 || z.Failures != 2 {
		t.Fatalf("well again: %+v", z)
	}
	if z := s.look(31*time.Second, shown(nil)); z.Failures != 0 {
		t.Errorf("failures are not forgotten: %+v", z)
	}
}

// A new leader holds a step for its whole time anew, and goes on from the share.
func TestRampOutlivesTheLeader(t *testing.T) {
	s := newStage(t)
	s.table = commands.Table{Epoch: 7, Zones: map[string]commands.Zone{"b": {Phase: commands.Rising, Share: 0.25, Step: 3, Failures: 1, Since: 7}}}
	if z := s.look(time.Second, shown(nil)); z.Share != 0.25 {
		t.Errorf("at once: %+v", z)
	}
	if z := s.look(800*time.Millisecond, shown(nil)); z.Share != 0.5 {
		t.Errorf("after its time: %+v", z)
	}
}

// With more than half of the capacity in doubt nobody leaves.
func TestHalfInDoubt(t *testing.T) {
	s := newStage(t)
	big := sight(3, 0, 10)
	big.Slots = 50
	if z := s.look(2*time.Second, shown(map[[2]string]health.Sight{{"a", "b"}: big, {"b", "b"}: big, {"c", "b"}: big})); z.Phase != commands.In {
		t.Errorf("%+v", z)
	}
}

// Where the rest cannot take all, what is worth least is refused, and bookings are not.
func TestLeastWorthIsRefused(t *testing.T) {
	s := newStage(t)
	busy := func(z health.Sight) health.Sight { z.Work = []float64{2.5, 2.5, 1}; return z }
	v := shown(nil)
	for _, from := range v {
		for to, z := range from.Sights {
			if to == "b" {
				z = bad3
			}
			from.Sights[to] = busy(z)
		}
	}
	if s.look(3*time.Second, v); len(s.table.Admit) > 0 {
		t.Errorf("a burst is refused: %v", s.table.Admit)
	}
	s.look(3*time.Second, v)
	a := s.table.Admit
	if part(a, "book") != 1 || part(a, "check") >= 1 || part(a, "preview") > part(a, "check") {
		t.Errorf("let in: %v", a)
	}
	for range 20 {
		s.look(time.Second, shown(nil))
	}
	if len(s.table.Admit) != 0 {
		t.Errorf("all is well, and let in are %v", s.table.Admit)
	}
}

// A slow zone keeps a part, and a link that is cut concerns those beyond it alone.
func TestSlowAndCut(t *testing.T) {
	s := newStage(t)
	late := sight(3, 10, 0)
	late.Late = 18
	slow := shown(map[[2]string]health.Sight{{"a", "b"}: late, {"b", "b"}: late, {"c", "b"}: late})
	if z := s.look(3300*time.Millisecond, slow); z.Phase != commands.Eased || z.Share != 0.25 {
		t.Errorf("slow: %+v", z)
	}
	s = newStage(t)
	if z := s.look(2*time.Second, shown(map[[2]string]health.Sight{{"a", "b"}: bad3})); z.Phase != commands.In || len(z.Cut) != 1 || z.Cut[0] != "a" {
		t.Errorf("cut: %+v", z)
	}
	if z := s.look(2*time.Second, shown(nil)); len(z.Cut) != 0 {
		t.Errorf("reached again: %+v", z)
	}
}

// A person's word goes before, until its end.
func TestByHand(t *testing.T) {
	s := newStage(t)
	say := func(do string) { s.table.Words["b"] = commands.Word{Zone: "b", Do: do, Reason: "works", Until: 10} }
	say(commands.DoLeave)
	if z := s.look(20*time.Second, shown(nil)); z.Phase != commands.Left {
		t.Errorf("left by hand: %+v", z)
	}
	say(commands.DoReturn)
	if z := s.look(time.Second, failing); z.Phase != commands.Rising || math.Abs(z.Share-Usual().First) > 1e-9 {
		t.Errorf("returned by hand: %+v", z)
	}
	s = newStage(t)
	say(commands.DoHold)
	if z := s.look(3*time.Second, failing); z.Phase != commands.In {
		t.Errorf("held by hand: %+v", z)
	}
	s.wall = 11
	if z := s.look(time.Second, failing); z.Phase != commands.Left {
		t.Errorf("past the word's end: %+v", z)
	}
}
