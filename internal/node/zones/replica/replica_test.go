package replica

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"ospreybend/internal/node/zones/commands"
	"ospreybend/internal/node/zones/follower"
	"ospreybend/internal/node/zones/health"
	"ospreybend/internal/node/zones/replicatedlog"
)

// alone is a fleet of one voter, whose store is always at once.
type alone struct {
	t    *testing.T
	v    *Voter
	now  time.Duration
	wall int64
}

func newAlone(t *testing.T) *alone {
	a := &alone{t: t, wall: 1}
	var err error
	a.v, err = New(0, Config{Fleet: "f", ID: 1, Store: "s", Runs: 1, Rules: Usual(), Rand: rand.New(rand.NewPCG(1, 1)),
		Wall: func() int64 { return a.wall }}, replicatedlog.Founding([]uint64{1}))
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func (a *alone) play(span time.Duration) {
	a.t.Helper()
	for end := a.now + span; a.now < end; a.now += 10 * time.Millisecond {
		a.v.Tick(a.now)
		for w, ok := a.v.Next(); ok; w, ok = a.v.Next() {
			a.v.Done(w)
		}
		if err := a.v.Broken(); err != nil {
			a.t.Fatal(err)
		}
	}
}

func report(name, zone string, sequence uint64) follower.Report {
	good := health.Sight{Count: health.Count{Sent: 9, Good: 9}, Seers: 1, Last: 5, Slots: 8}
	return follower.Report{Fleet: "f", Name: name, Zone: zone, Incarnation: 1, Sequence: sequence,
		Sights: health.Sights{"a": good, "b": good}}
}

// Before a voter has a leader it grants no lease; strangers and reports without a name get none.
func TestLeaseNeedsALeader(t *testing.T) {
	a := newAlone(t)
	if got, err := a.v.Report(0, report("n", "a", 1)); err != nil || got.Lease != 0 {
		t.Errorf("without a leader: %+v, %v", got, err)
	}
	a.play(time.Second)
	if got, err := a.v.Report(a.now, report("n", "a", 2)); err != nil || got.Lease != Usual().Lease {
		t.Errorf("with one: %+v, %v", got, err)
	}
	stranger, nameless := report("n", "a", 3), report("", "a", 3)
	stranger.Fleet = "g"
	for _, r := range []follower.Report{stranger, nameless} {
		if _, err := a.v.Report(a.now, r); err == nil {
			t.Errorf("%+v is taken", r)
		}
	}
	if err := a.v.Take(a.now, Letter{Fleet: "g"}); err == nil {
		t.Error("a letter of another fleet is taken")
	}
	if err := a.v.Take(a.now, Letter{Fleet: "f", From: 2, Log: [][]byte{{1, 2, 3}}}); err == nil {
		t.Error("a letter of garbage is taken")
	}
}

// An earlier start of a process says nothing any more, also if its report comes late.
func TestEarlierStartIsNotHeard(t *testing.T) {
	a := newAlone(t)
	a.play(time.Second)
	later := report("n", "a", 1)
	later.Incarnation = 5
	a.v.Report(a.now, later)
	old := report("n", "a", 9)
	old.Sights = health.Sights{"a": {Count: health.Count{Broken: 99}, Seers: 1, Bad: 1, Last: 5}}
	if got, _ := a.v.Report(a.now, old); got.Lease != 0 || got.Incarnation != 5 {
		t.Errorf("%+v", got)
	}
	if s := a.v.digest()["a"].Sights["a"]; s.Broken != 0 {
		t.Errorf("its evidence counts: %+v", s.Count)
	}
	a.v.config.Without = "incarnation"
	if a.v.Report(a.now, old); a.v.digest()["a"].Sights["a"].Broken == 0 {
		t.Error("without the check nothing is otherwise")
	}
}

// A word is agreed on, holds until its end and is then cleared; the last zone is not left.
func TestWords(t *testing.T) {
	a := newAlone(t)
	a.play(time.Second)
	n := uint64(0)
	tell := func() {
		n++
		a.v.Report(a.now, report("n", "a", n))
		a.v.Report(a.now, report("m", "b", n))
	}
	said := func(w commands.Word) error {
		err := errors.New("not agreed on")
		a.v.Say(a.now, w, func(e error) { err = e })
		for range 5 {
			tell()
			a.play(300 * time.Millisecond)
		}
		return err
	}
	tell()
	if err := said(commands.Word{Zone: "b", Do: commands.DoLeave, Reason: "works", Until: 100}); err != nil || a.v.Table().Of("b").Phase != commands.Left {
		t.Fatalf("%v, %+v", err, a.v.Table())
	}
	if err := said(commands.Word{Zone: "a", Do: commands.DoLeave, Reason: "works", Until: 100}); err == nil {
		t.Error("the last zone is left")
	}
	if err := said(commands.Word{Zone: "a", Do: "burn"}); err == nil {
		t.Error("nonsense is agreed on")
	}
	a.wall = 101
	for range 5 {
		tell()
		a.play(300 * time.Millisecond)
	}
	if len(a.v.Table().Words) != 0 {
		t.Errorf("past its end: %+v", a.v.Table().Words)
	}
}

// A clock that has stood still does not make the others look silent.
func TestStoodStill(t *testing.T) {
	a := newAlone(t)
	a.play(time.Second)
	term := a.v.Log().Term()
	a.now += time.Hour
	if a.play(time.Second); a.v.Log().Term() != term || !a.v.Log().Leads() {
		t.Errorf("term %d, then %d", term, a.v.Log().Term())
	}
}
