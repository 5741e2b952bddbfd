// Package simulation plays the fleet's agreement in simulated time: many instances of all of
// the real decision code and of the agreed log on one clock, with messages that are late,
// lost, doubled, overtaken or cut off one way, processes that crash and lose what they
// had not written through, and clocks that drift. The same day plays the same. After
// every event it holds the fleet against what must always be so.
//
// Route steps are modelled as a flow with outcomes, not one by one through package
// balance; internal/testkit/nodesim does that.
package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"

	"ospreybend/internal/node/zones/follower"
	"ospreybend/internal/node/zones/replica"
)

func (s Span) draw(r *rand.Rand) time.Duration {
	if s.Most <= s.Least {
		return s.Least
	}
	return s.Least + time.Duration(r.Int64N(int64(s.Most-s.Least)))
}

// Kind is a kind of trouble.
type Kind string

// The kinds.
const (
	ZoneDies   Kind = "zone dies"   // its prep workers answer nothing, its processes are gone
	ZoneBreaks Kind = "zone breaks" // its prep workers break every step; its processes live
	ZoneSlow   Kind = "zone slow"   // half of its steps are late
	ZoneFlaps  Kind = "zone flaps"  // breaks, mends, breaks again
	SomeBad    Kind = "some bad"    // a fifth of its prep workers break their steps
	LinkCut    Kind = "link cut"    // between two zones, both ways
	OneWay     Kind = "one way"     // between two zones, one way
	OneCut     Kind = "one cut"     // one process hears and reaches nobody, prep workers included
	ZoneCutOff Kind = "zone cut"    // a zone hears and reaches no other; it serves its own
	Crowd      Kind = "crowd"       // twice the work everywhere
	Crash      Kind = "crash"       // a process, restarted after a while
	LeaderDies Kind = "leader dies" // whichever leads then
	AllRestart Kind = "all restart" // every process within a second
	Frozen     Kind = "frozen"      // a process stands still and goes on later
)

// Trouble is one of a day's.
type Trouble struct {
	Kind     Kind
	At, For  time.Duration
	Zone     string // or
	Other    string // the far zone of a link
	Process  string
	ColdBack bool    // its prep workers come back cold
	Amid     string  // it begins when this zone rises, from At on,
	Share    float64 // with at least this share
}

// Day describes one.
type Day struct {
	Seed     uint64
	Zones    int
	Voters   int
	Nodes    int
	Length   time.Duration
	Rate     float64 // operations a second at a node
	Load     float64 // offered, as a part of what all zones can do
	Delay    Span    // of a message
	Loss     float64
	Twice    float64
	Stray    float64       // part of the messages that are overtaken by far
	Lag      time.Duration // by which all that voter 3 hears of the others comes late, from the fifth second on; they do not hear it
	Drift    float64       // clocks run apart by up to this part
	Disk     Span          // to write through
	Cold     time.Duration
	ColdFrom float64
	Troubles []Trouble
	Alone    bool   // every process for itself: no voters
	Without  string // a check left out
	Voter    replica.Rules
	Follow   follower.Rules
}

// Plain is a day without trouble.
func Plain(seed uint64) Day {
	return Day{Seed: seed, Zones: 3, Voters: 3, Nodes: 9, Length: 30 * time.Second, Rate: 25, Load: 0.5,
		Delay: Span{200 * time.Microsecond, 4 * time.Millisecond}, Loss: 0.01, Twice: 0.01, Stray: 0.01, Drift: 0.0005,
		Disk: Span{300 * time.Microsecond, 6 * time.Millisecond}, Cold: 8 * time.Second, ColdFrom: 0.2,
		Voter: replica.Usual(), Follow: follower.Usual()}
}

func (d Day) check() error {
	switch {
	case d.Zones < 1 || d.Zones > 26:
		return fmt.Errorf("zones: %d, not from 1 to 26", d.Zones)
	case d.Voters < 1 || d.Nodes < 1:
		return fmt.Errorf("voters: %d, nodes: %d, at least one of each is wanted", d.Voters, d.Nodes)
	case d.Length <= 0 || !(d.Rate > 0) || !(d.Load > 0):
		return fmt.Errorf("length: %v, rate: %v, load: %v, above 0 is wanted", d.Length, d.Rate, d.Load)
	}
	return nil
}

// Zone names a zone by its number.
func Zone(i int) string { return string(rune('a' + i)) }

// Mixed draws some troubles of all kinds, over each other.
func Mixed(seed uint64) Day {
	d := Plain(seed)
	r := rand.New(rand.NewPCG(seed, 77))
	if r.IntN(2) == 0 {
		d.Zones, d.Voters, d.Nodes = 5, 5, 10
	}
	d.Loss, d.Twice = 0.1*r.Float64(), 0.05*r.Float64()
	d.Stray = 0.05 * r.Float64()
	kinds := []Kind{ZoneDies, ZoneBreaks, ZoneSlow, ZoneFlaps, SomeBad, LinkCut, OneWay, OneCut, ZoneCutOff, Crowd, Crash, LeaderDies, AllRestart, Frozen}
	for range 1 + r.IntN(4) {
		d.Troubles = append(d.Troubles, d.Draw(r, kinds[r.IntN(len(kinds))]))
	}
	return d
}

// Harmless draws a trouble for which no zone is to be left.
func Harmless(seed uint64) Day {
	d := Plain(seed)
	r := rand.New(rand.NewPCG(seed, 78))
	kinds := []Kind{SomeBad, OneCut, Crowd, Crash, LeaderDies, AllRestart, Frozen, LinkCut, ZoneSlow}
	d.Troubles = []Trouble{d.Draw(r, kinds[r.IntN(len(kinds))])}
	return d
}

// Restless is a day with slow disks on which all processes are restarted again and again
// while a zone flaps.
func Restless(seed uint64) Day {
	d := Plain(seed)
	d.Disk = Span{20 * time.Millisecond, 150 * time.Millisecond}
	d.Troubles = []Trouble{{Kind: ZoneFlaps, At: 4 * time.Second, For: 20 * time.Second, Zone: "b"}}
	for i := range 8 {
		d.Troubles = append(d.Troubles, Trouble{Kind: AllRestart, At: time.Duration(5+2*i) * time.Second})
	}
	return d
}

// Draw draws when, where and for how long.
func (d Day) Draw(r *rand.Rand, kind Kind) Trouble {
	t := Trouble{Kind: kind, At: 4*time.Second + time.Duration(r.Int64N(int64(6*time.Second))),
		For: 3*time.Second + time.Duration(r.Int64N(int64(8*time.Second))), ColdBack: true}
	zone := r.IntN(d.Zones)
	t.Zone = Zone(zone)
	if d.Zones > 1 {
		t.Other = Zone((zone + 1 + r.IntN(d.Zones-1)) % d.Zones)
	}
	if n := r.IntN(d.Nodes + d.Voters); n < d.Nodes {
		t.Process = nodeName(n)
	} else {
		t.Process = voterName(n - d.Nodes)
	}
	return t
}

func nodeName(i int) string  { return fmt.Sprintf("n%d", i+1) }
func voterName(i int) string { return fmt.Sprintf("v%d", i+1) }
