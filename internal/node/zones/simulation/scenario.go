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

func (s Range) draw(r *rand.Rand) time.Duration {
	if s.Max <= s.Min {
		return s.Min
	}
	return s.Min + time.Duration(r.Int64N(int64(s.Max-s.Min)))
}

// FaultKind is a kind of trouble.
type FaultKind string

// The kinds.
const (
	ZoneCrash       FaultKind = "zone dies"   // its prep workers answer nothing, its processes are gone
	ZoneErrors      FaultKind = "zone breaks" // its prep workers break every step; its processes live
	ZoneSlow        FaultKind = "zone slow"   // half of its steps are late
	ZoneFlaps       FaultKind = "zone flaps"  // breaks, mends, breaks again
	SomeWorkersFail FaultKind = "some bad"    // a fifth of its prep workers break their steps
	LinkPartition   FaultKind = "link cut"    // between two zones, both ways
	OneWayPartition FaultKind = "one way"     // between two zones, one way
	ProcessIsolated FaultKind = "one cut"     // one process hears and reaches nobody, prep workers included
	ZoneIsolated    FaultKind = "zone cut"    // a zone hears and reaches no other; it serves its own
	LoadBurst       FaultKind = "crowd"       // twice the work everywhere
	ProcessCrash    FaultKind = "crash"       // a process, restarted after a while
	LeaderCrash     FaultKind = "leader dies" // whichever leads then
	AllRestart      FaultKind = "all restart" // every process within a second
	ProcessPause    FaultKind = "frozen"      // a process stands still and goes on later
)

// Fault is one of a day's.
type Fault struct {
	Kind              FaultKind
	At, Duration      time.Duration
	Zone              string // or
	Other             string // the far zone of a link
	Process           string
	WarmsUp           bool    // its prep workers come back cold
	DuringSlowStartOf string  // it begins when this zone rises, from At on,
	MinShare          float64 // with at least this share
}

// Scenario describes one.
type Scenario struct {
	Seed                 uint64
	Zones                int
	Voters               int
	Nodes                int
	Length               time.Duration
	Rate                 float64 // operations a second at a node
	Load                 float64 // offered, as a part of what all zones can do
	MessageDelay         Range   // of a message
	LossProbability      float64
	DuplicateProbability float64
	ReorderProbability   float64       // part of the messages that are overtaken by far
	VoterLag             time.Duration // by which all that voter 3 hears of the others comes late, from the fifth second on; they do not hear it
	ClockDrift           float64       // clocks run apart by up to this part
	DiskLatency          Range         // to write through
	WarmupTime           time.Duration
	InitialCapacity      float64
	Faults               []Fault
	Standalone           bool   // every process for itself: no voters
	DisabledCheck        string // a check left out
	Replica              replica.Settings
	Follower             follower.Settings
}

// Baseline is a day without trouble.
func Baseline(seed uint64) Scenario {
	return Scenario{Seed: seed, Zones: 3, Voters: 3, Nodes: 9, Length: 30 * time.Second, Rate: 25, Load: 0.5,
		MessageDelay: Range{200 * time.Microsecond, 4 * time.Millisecond}, LossProbability: 0.01, DuplicateProbability: 0.01, ReorderProbability: 0.01, ClockDrift: 0.0005,
		DiskLatency: Range{300 * time.Microsecond, 6 * time.Millisecond}, WarmupTime: 8 * time.Second, InitialCapacity: 0.2,
		Replica: replica.DefaultSettings(), Follower: follower.DefaultSettings()}
}

func (d Scenario) validate() error {
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

// ZoneName names a zone by its number.
func ZoneName(i int) string { return string(rune('a' + i)) }

// RandomFaults draws some troubles of all kinds, over each other.
func RandomFaults(seed uint64) Scenario {
	d := Baseline(seed)
	r := rand.New(rand.NewPCG(seed, 77))
	if r.IntN(2) == 0 {
		d.Zones, d.Voters, d.Nodes = 5, 5, 10
	}
	d.LossProbability, d.DuplicateProbability = 0.1*r.Float64(), 0.05*r.Float64()
	d.ReorderProbability = 0.05 * r.Float64()
	kinds := []FaultKind{ZoneCrash, ZoneErrors, ZoneSlow, ZoneFlaps, SomeWorkersFail, LinkPartition, OneWayPartition, ProcessIsolated, ZoneIsolated, LoadBurst, ProcessCrash, LeaderCrash, AllRestart, ProcessPause}
	for range 1 + r.IntN(4) {
		d.Faults = append(d.Faults, d.RandomFault(r, kinds[r.IntN(len(kinds))]))
	}
	return d
}

// HarmlessFault draws a trouble for which no zone is to be left.
func HarmlessFault(seed uint64) Scenario {
	d := Baseline(seed)
	r := rand.New(rand.NewPCG(seed, 78))
	kinds := []FaultKind{SomeWorkersFail, ProcessIsolated, LoadBurst, ProcessCrash, LeaderCrash, AllRestart, ProcessPause, LinkPartition, ZoneSlow}
	d.Faults = []Fault{d.RandomFault(r, kinds[r.IntN(len(kinds))])}
	return d
}

// RepeatedRestarts is a day with slow disks on which all processes are restarted again and again
// while a zone flaps.
func RepeatedRestarts(seed uint64) Scenario {
	d := Baseline(seed)
	d.DiskLatency = Range{20 * time.Millisecond, 150 * time.Millisecond}
	d.Faults = []Fault{{Kind: ZoneFlaps, At: 4 * time.Second, Duration: 20 * time.Second, Zone: "b"}}
	for i := range 8 {
		d.Faults = append(d.Faults, Fault{Kind: AllRestart, At: time.Duration(5+2*i) * time.Second})
	}
	return d
}

// RandomFault draws when, where and for how long.
func (d Scenario) RandomFault(r *rand.Rand, kind FaultKind) Fault {
	t := Fault{Kind: kind, At: 4*time.Second + time.Duration(r.Int64N(int64(6*time.Second))),
		Duration: 3*time.Second + time.Duration(r.Int64N(int64(8*time.Second))), WarmsUp: true}
	zone := r.IntN(d.Zones)
	t.Zone = ZoneName(zone)
	if d.Zones > 1 {
		t.Other = ZoneName((zone + 1 + r.IntN(d.Zones-1)) % d.Zones)
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
