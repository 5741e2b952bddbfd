// Package failover decides for the whole fleet which zones take work and how much: it leaves
// one that fails, eases one that is slow, and returns to one by steps. It runs where the
// agreed log is led, on evidence of many processes, and has no clock and no I/O. What it
// decides holds once the log has taken it.
//
// docs/design/fleet-as-one.md has the machine with every transition.
package failover

import (
	"maps"
	"slices"
	"strings"
	"time"

	"ospreybend/internal/node/zones/commands"
	"ospreybend/internal/node/zones/health"
)

// Rules are the figures that the decisions go by.
type Rules struct {
	Majority  float64       // of a zone's processes that must see another fail
	Zones     int           // that must see it
	Confirm   time.Duration // for so long
	CutFor    time.Duration // and for so long where others reach it
	Doubt     float64       // part of all capacity that may be left
	StillGood float64       // part of the steps that go well in a zone that is only crowded
	SlowBy    float64       // part of the steps, over the usual, that is late in a slow one
	SlowFor   time.Duration // and for so long: a burst makes some late, too
	Full      float64       // part of the rest's capacity that may be filled
	FullFor   time.Duration // for so long more is asked for, before any is refused for it
	Rest      time.Duration // before the first try; doubles with each failure
	RestMost  time.Duration
	Tries     float64       // processes that try
	First     float64       // share of the first step; doubles
	TryFor    time.Duration // after which more try, if too little was seen
	Settle    time.Duration // until an order has reached all in contact and shows
	Hold      time.Duration // a step lasts at least
	LeastBad  float64       // steps that must have ended for a zone to see another fail: the nodes send little to whom they doubt themselves
	Least     float64       // steps that must have ended to judge a return by
	Fine      float64       // part that may go wrong in a step that is earned
	Steady    time.Duration // in without a failure, after which failures are forgotten
	AdmitBy   float64       // change in what is let in that is worth an order
}

// Usual are the figures that the program uses.
func Usual() Rules {
	return Rules{Majority: 0.5, Zones: 2, Confirm: 200 * time.Millisecond, CutFor: 600 * time.Millisecond, Doubt: 0.5, StillGood: 0.25, SlowBy: 0.3, SlowFor: 3 * time.Second,
		Full: 0.95, FullFor: 4 * time.Second,
		Rest: 2 * time.Second, RestMost: time.Minute, Tries: 3, First: 1. / 16, TryFor: 2 * time.Second, Settle: time.Second, Hold: 1500 * time.Millisecond,
		LeastBad: 3, Least: 4, Fine: 0.2, Steady: 30 * time.Second, AdmitBy: 0.1}
}

// Class is what the decisions must know of a class of operations.
type Class struct {
	Name  string
	Worth float64 // of a slot-second
	Once  bool    // must not run twice: a booking
}

// mark is what the decider remembers of a zone's present order.
type mark struct {
	since uint64
	at    time.Duration // when it first met that order
	kind  Kind
	from  time.Duration // since when the verdict has been that kind
}

// Decider decides. A new leader makes a new one: what it has not seen itself counts anew
// from the moment it leads, so that a step of a rise is rather held too long.
type Decider struct {
	rules   Rules
	classes []Class
	marks   map[string]*mark
	admitAt time.Duration
	fullAt  time.Duration // since when more is asked for than there is room; 0: it is not
}

// New makes a decider.
func New(rules Rules, classes []Class) *Decider {
	return &Decider{rules: rules, classes: classes, marks: map[string]*mark{}}
}

// Look decides on the evidence and what holds. wall is the time of day, for what persons
// have said: Unix microseconds. The order is nil where all stays as it is.
func (d *Decider) Look(now time.Duration, wall int64, view health.Digest, t *commands.Table) (*commands.Change, map[string]Verdict) {
	verdicts := d.rules.judge(view, t)
	processes := 0.0
	for _, from := range view {
		processes += from.Processes
	}
	d.note(now, verdicts, t)
	d.doubt(verdicts, t)
	change := &commands.Change{Expect: t.Epoch, Zones: map[string]commands.Zone{}}
	for _, name := range d.names(verdicts, t) {
		at := t.Of(name)
		next := d.next(now, wall, name, at, verdicts[name], t, processes)
		if !same(at, next) {
			change.Zones[name] = next
		}
	}
	after := t.Clone()
	maps.Copy(after.Zones, change.Zones)
	if admit, ok := d.admit(now, verdicts, t, &after); ok {
		change.Admit, change.Admits = admit, true
	}
	if len(change.Zones) == 0 && !change.Admits {
		return nil, verdicts
	}
	return change, verdicts
}

func (d *Decider) names(verdicts map[string]Verdict, t *commands.Table) []string {
	names := slices.Collect(maps.Keys(verdicts))
	names = slices.AppendSeq(names, maps.Keys(t.Zones))
	names = slices.AppendSeq(names, maps.Keys(t.Words))
	slices.Sort(names)
	return slices.Compact(names)
}

func same(a, b commands.Zone) bool {
	return a.Phase == b.Phase && a.Share == b.Share && a.Chosen == b.Chosen && a.Step == b.Step && a.Failures == b.Failures &&
		slices.Equal(a.Cut, b.Cut)
}

// note keeps since when each zone's order and verdict have stood.
func (d *Decider) note(now time.Duration, verdicts map[string]Verdict, t *commands.Table) {
	for _, name := range d.names(verdicts, t) {
		since, kind := t.Of(name).Since, verdicts[name].Kind
		m := d.marks[name]
		if m == nil {
			m = &mark{since: since, at: now, kind: kind, from: now}
			d.marks[name] = m
		}
		if m.since != since {
			m.since, m.at = since, now
		}
		if m.kind != kind {
			m.kind, m.from = kind, now
		}
	}
}

// doubt takes back verdicts where leaving would leave too little: what is out already
// counts, and the zones that look worst by their order among the names come first.
func (d *Decider) doubt(verdicts map[string]Verdict, t *commands.Table) {
	all, out := 0.0, 0.0
	for name, v := range verdicts {
		all += v.Sum.Slots
		if p := t.Of(name).Phase; v.Kind == Fails || p == commands.Left || p == commands.Trying {
			out += v.Sum.Slots
		}
	}
	if out <= d.rules.Doubt*all {
		return
	}
	for name, v := range verdicts {
		if v.Kind == Fails {
			v.Kind = Undecided
			verdicts[name] = v
		}
	}
}

// next is the order that a zone is to have.
func (d *Decider) next(now time.Duration, wall int64, name string, z commands.Zone, v Verdict, t *commands.Table, processes float64) commands.Zone {
	m := d.marks[name]
	word, spoken := t.Words[name]
	spoken = spoken && wall < word.Until
	if spoken {
		switch word.Do {
		case commands.DoHold:
			return z
		case commands.DoLeave:
			if z.Phase != commands.Left || z.Share != 0 {
				return commands.Zone{Phase: commands.Left, Failures: z.Failures, Reason: "by hand: " + word.Reason}
			}
			return z
		case commands.DoReturn:
			if z.Phase == commands.Left || z.Phase == commands.Trying {
				return commands.Zone{Phase: commands.Rising, Share: d.rules.First, Step: 1, Failures: z.Failures, Reason: "by hand: " + word.Reason}
			}
			if v.Kind == Fails {
				v.Kind = Unknown // a person has said that it is to come back
			}
		}
	}
	age, held := now-m.at, now-m.from
	switch z.Phase {
	case commands.In, commands.Eased:
		return d.inside(z, v, age, held, processes)
	case commands.Left:
		if age >= d.rest(z.Failures) {
			part := chosen(d.rules.Tries, processes)
			return commands.Zone{Phase: commands.Trying, Share: min(1, d.rules.First/part), Chosen: part, Failures: z.Failures, Reason: "rested"}
		}
	case commands.Trying:
		if age >= d.rules.TryFor && !d.judged(v) && z.Chosen < 1 {
			// Those chosen have had nothing to send there: more are.
			z.Chosen = min(1, 2*z.Chosen)
			z.Share, z.Reason = min(1, d.rules.First/z.Chosen), "too little was tried"
			return z
		}
		if age >= d.rules.Settle && d.judged(v) {
			if fine(v, d.rules) {
				return commands.Zone{Phase: commands.Rising, Share: d.rules.First, Step: 1, Failures: z.Failures, Reason: "the tries went well"}
			}
			if v.Sum.Count.Bad() >= 0.5 {
				return d.left(z, "the tries went wrong")
			}
		}
	case commands.Rising:
		return d.rise(z, v, age)
	}
	return z
}

func chosen(tries, processes float64) float64 {
	if processes <= tries {
		return 1
	}
	return tries / processes
}

func (d *Decider) rest(failures int) time.Duration {
	return min(d.rules.RestMost, d.rules.Rest<<min(max(failures-1, 0), 16))
}

// judged tells whether enough has been seen since the order.
func (d *Decider) judged(v Verdict) bool { return v.Sum.Ended() >= d.rules.Least }

// fine tells whether a step is earned: what was tried has gone well. What was served late
// by cold prep workers is bounded by their part of the share.
func fine(v Verdict, r Rules) bool { return v.Sum.Count.Bad() <= r.Fine }

func (d *Decider) left(z commands.Zone, reason string) commands.Zone {
	return commands.Zone{Phase: commands.Left, Failures: z.Failures + 1, Reason: reason}
}

// inside is for a zone that takes work.
func (d *Decider) inside(z commands.Zone, v Verdict, age, held time.Duration, processes float64) commands.Zone {
	lasting := held >= d.rules.Confirm
	switch {
	case v.Kind == Fails && lasting:
		return d.left(z, "it fails, seen from "+strings.Join(v.From, ", "))
	case v.Kind == Cut && held >= d.rules.CutFor && !within(v.From, z.Cut):
		z.Cut, z.Chosen, z.Reason = merge(z.Cut, v.From), chosen(d.rules.Tries, processes), "cut from "+strings.Join(v.From, ", ")
		return z
	case len(z.Cut) > 0 && age >= d.rules.Settle && meet(z.Cut, v.Reached):
		z.Cut = slices.DeleteFunc(slices.Clone(z.Cut), func(from string) bool { return slices.Contains(v.Reached, from) })
		if z.Reason = "reached again"; len(z.Cut) == 0 {
			z.Cut, z.Chosen = nil, 0
		}
		return z
	case v.Kind == Slow && held >= d.rules.SlowFor && age >= d.rules.Settle:
		if share := step(v.Keep*z.Share, d.rules.First); share < z.Share {
			z.Phase, z.Share, z.Reason = commands.Eased, share, "slower than the others"
		}
		return z
	case v.Kind == Well && lasting && z.Phase == commands.Eased && age >= d.rules.Hold && d.judged(v):
		z.Share, z.Reason = min(1, 2*z.Share), "as quick as the others"
		if z.Share == 1 {
			z.Phase = commands.In
		}
		return z
	case z.Phase == commands.In && z.Failures > 0 && age >= d.rules.Steady && v.Kind != Fails:
		z.Failures, z.Reason = 0, "steady"
	}
	return z
}

func within(a, b []string) bool {
	return !slices.ContainsFunc(a, func(v string) bool { return !slices.Contains(b, v) })
}

func meet(a, b []string) bool {
	return slices.ContainsFunc(a, func(v string) bool { return slices.Contains(b, v) })
}

func merge(a, b []string) []string {
	out := append(slices.Clone(a), b...)
	slices.Sort(out)
	return slices.Compact(out)
}

// step rounds a share down to one that doubling the first gives.
func step(share, first float64) float64 {
	s := first
	for 2*s <= share+1e-9 {
		s *= 2
	}
	return min(s, 1)
}

// rise is for a zone that comes back by steps. Each is earned by what was seen in it, and
// is no larger than what its prep workers, still cold, bear together.
func (d *Decider) rise(z commands.Zone, v Verdict, age time.Duration) commands.Zone {
	if age < d.rules.Settle || !d.judged(v) {
		return z
	}
	if v.Kind == Fails || v.Sum.Count.Bad() >= 0.5 {
		if z.Share /= 2; z.Share < d.rules.First {
			return d.left(z, "it failed again")
		}
		z.Step, z.Reason = z.Step-1, "bad news"
		return z
	}
	next := min(1, 2*z.Share)
	if age < d.rules.Hold || !fine(v, d.rules) || next > max(d.rules.First, 1-v.Sum.Cold)+1e-9 {
		return z
	}
	z.Share, z.Step, z.Reason = next, z.Step+1, "earned"
	if next == 1 {
		z.Phase, z.Step = commands.In, 0
	}
	return z
}
