// Package simulation runs the zones' voters and followers in simulated time.
//
// It drives the real code (packages replica and follower) on one clock, with messages that are
// delayed, lost, duplicated, reordered or partitioned, processes that crash and lose what was not
// durable, and clocks that drift. It is deterministic: the same Scenario gives the same Result. After
// every event it checks the invariants: voters never differ, and no process obeys an outdated table
// for longer than its lease allows.
//
// Route steps are modelled as outcomes by zone, not one by one through package balance;
// internal/testkit/nodesim does that. Only tests use the package.
package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"

	"ospreybend/internal/node/zones/follower"
	"ospreybend/internal/node/zones/replica"
)

// draw returns a duration drawn evenly from the range.
func (s Range) draw(r *rand.Rand) time.Duration {
	if s.Max <= s.Min {
		return s.Min
	}
	return s.Min + time.Duration(r.Int64N(int64(s.Max-s.Min)))
}

// FaultKind is a kind of fault.
type FaultKind string

// The kinds of fault.
const (
	ZoneCrash       FaultKind = "zone dies"   // its workers do not respond and its processes crash
	ZoneErrors      FaultKind = "zone breaks" // its workers fail every step; its processes run
	ZoneSlow        FaultKind = "zone slow"   // half of its steps are late
	ZoneFlaps       FaultKind = "zone flaps"  // fails, recovers, fails again
	SomeWorkersFail FaultKind = "some bad"    // a fifth of its steps fail
	LinkPartition   FaultKind = "link cut"    // between two zones, both ways
	OneWayPartition FaultKind = "one way"     // between two zones, one way
	ProcessIsolated FaultKind = "one cut"     // one process is cut off from all, workers included
	ZoneIsolated    FaultKind = "zone cut"    // a zone is cut off from all others; it serves its own
	LoadBurst       FaultKind = "crowd"       // more than twice the load everywhere
	ProcessCrash    FaultKind = "crash"       // a process, restarted after a while
	LeaderCrash     FaultKind = "leader dies" // of whichever voter leads then
	AllRestart      FaultKind = "all restart" // every process within a second
	ProcessPause    FaultKind = "frozen"      // a process pauses and resumes
)

// Fault is one fault of a scenario.
type Fault struct {
	Kind              FaultKind
	At, Duration      time.Duration
	Zone              string // the zone concerned, or the first of a link
	Other             string // the second zone of a link
	Process           string
	WarmsUp           bool    // its workers come back at InitialCapacity
	DuringSlowStartOf string  // it begins when this zone is in slow start, at At or later,
	MinShare          float64 // with at least this share
}

// Scenario describes a simulation.
type Scenario struct {
	Seed                 uint64
	Zones                int
	Voters               int
	Nodes                int
	Length               time.Duration
	Rate                 float64 // operations per second at a node
	Load                 float64 // offered, as a fraction of all zones' capacity
	MessageDelay         Range
	LossProbability      float64
	DuplicateProbability float64
	ReorderProbability   float64       // of a message being delayed far past later ones
	VoterLag             time.Duration // from the fifth second on: delay of messages to voter 3, whose own are lost
	ClockDrift           float64       // largest fraction by which clock rates differ
	DiskLatency          Range         // of a durable write
	WarmupTime           time.Duration
	InitialCapacity      float64
	Faults               []Fault
	Standalone           bool   // no voters: every process adjusts by itself
	DisabledCheck        string // a check to skip
	Replica              replica.Settings
	Follower             follower.Settings
}

// Baseline returns a scenario without faults.
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

// ZoneName returns the name of a zone by its number.
func ZoneName(i int) string { return string(rune('a' + i)) }

// RandomFaults returns a scenario with one to four random, possibly overlapping faults.
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

// HarmlessFault returns a scenario with a random fault for which no zone may be evacuated.
func HarmlessFault(seed uint64) Scenario {
	d := Baseline(seed)
	r := rand.New(rand.NewPCG(seed, 78))
	kinds := []FaultKind{SomeWorkersFail, ProcessIsolated, LoadBurst, ProcessCrash, LeaderCrash, AllRestart, ProcessPause, LinkPartition, ZoneSlow}
	d.Faults = []Fault{d.RandomFault(r, kinds[r.IntN(len(kinds))])}
	return d
}

// RepeatedRestarts returns a scenario with slow disks in which all processes restart repeatedly while a
// zone flaps.
func RepeatedRestarts(seed uint64) Scenario {
	d := Baseline(seed)
	d.DiskLatency = Range{20 * time.Millisecond, 150 * time.Millisecond}
	d.Faults = []Fault{{Kind: ZoneFlaps, At: 4 * time.Second, Duration: 20 * time.Second, Zone: "b"}}
	for i := range 8 {
		d.Faults = append(d.Faults, Fault{Kind: AllRestart, At: time.Duration(5+2*i) * time.Second})
	}
	return d
}

// RandomFault draws the time, place and duration of a fault.
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
