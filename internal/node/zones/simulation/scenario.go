// Package simulation runs the zones' voters and followers in simulated time.
//
// It drives the real code (packages replica and follower) on one clock, with messages that are
// delayed, lost, duplicated, reordered or blocked by partitions, processes that crash and lose what was
// not durable, and clocks that drift. It is deterministic: the same Scenario gives the same Result.
// While it runs it checks the invariants: the voters' tables never differ, and no process follows an
// outdated table for longer than its lease allows.
//
// The steps of routes are modelled by their outcomes in each zone and do not pass through package
// balance; internal/testkit/nodesim simulates that. Only tests use this package.
package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"

	"ospreybend/internal/node/zones/follower"
	"ospreybend/internal/node/zones/replica"
)

// draw returns a uniformly distributed duration from the range.
func (r Range) draw(rng *rand.Rand) time.Duration {
	if r.Max <= r.Min {
		return r.Min
	}
	return r.Min + time.Duration(rng.Int64N(int64(r.Max-r.Min)))
}

// FaultKind is a kind of fault.
type FaultKind string

// The kinds of fault.
const (
	ZoneCrash       FaultKind = "zone crash"        // its workers do not respond and its processes crash
	ZoneErrors      FaultKind = "zone errors"       // its workers fail every step; its processes run
	ZoneSlow        FaultKind = "zone slow"         // half of its steps are late
	ZoneFlaps       FaultKind = "zone flaps"        // fails, recovers, fails again
	SomeWorkersFail FaultKind = "some workers fail" // a fifth of its steps fail
	LinkPartition   FaultKind = "link partition"    // between two zones, both ways
	OneWayPartition FaultKind = "one-way partition" // between two zones, one way
	ProcessIsolated FaultKind = "process isolated"  // one process cannot reach any other, workers included
	ZoneIsolated    FaultKind = "zone isolated"     // a zone cannot reach the others; its processes still use its workers
	LoadBurst       FaultKind = "crowd"             // more than twice the load everywhere
	ProcessCrash    FaultKind = "crash"             // a process crashes and is restarted later
	LeaderCrash     FaultKind = "leader crash"      // the voter that leads at that time crashes and is restarted later
	AllRestart      FaultKind = "all restart"       // every process restarts within about a second
	ProcessPause    FaultKind = "frozen"            // a process pauses and resumes
)

// Fault is one fault of a scenario.
type Fault struct {
	Kind              FaultKind
	At, Duration      time.Duration
	Zone              string // the affected zone, or the first zone of a link
	OtherZone         string // the second zone of a link
	Process           string
	WarmsUp           bool    // after the fault the zone's workers start with InitialCapacity and warm up
	DuringSlowStartOf string  // the fault begins when this zone is in slow start, at At or later
	MinShare          float64 // minimum share of that zone, with DuringSlowStartOf
}

// Scenario describes a simulation.
type Scenario struct {
	Seed                 uint64
	Zones                int
	Voters               int
	Nodes                int
	Length               time.Duration
	Rate                 float64 // operations per second offered at each node
	Load                 float64 // offered load as a fraction of all zones' capacity
	MessageDelay         Range
	LossProbability      float64
	DuplicateProbability float64
	ReorderProbability   float64       // probability that a message is delayed so much that later ones overtake it
	VoterLag             time.Duration // if above 0: after 5 s messages to voter 3 are delayed by this and those from it are lost
	ClockDrift           float64       // largest deviation of a process's clock rate from 1
	DiskLatency          Range         // of a durable write
	WarmupTime           time.Duration
	InitialCapacity      float64
	Faults               []Fault
	Standalone           bool   // no voters run: every node adjusts its shares by itself
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

func (s Scenario) validate() error {
	switch {
	case s.Zones < 1 || s.Zones > 26:
		return fmt.Errorf("zones: got %d, want 1 to 26", s.Zones)
	case s.Voters < 1 || s.Nodes < 1:
		return fmt.Errorf("voters: got %d, nodes: got %d, want at least 1 of each", s.Voters, s.Nodes)
	case s.Length <= 0 || !(s.Rate > 0) || !(s.Load > 0):
		return fmt.Errorf("length: got %v, rate: got %v, load: got %v, want values above 0", s.Length, s.Rate, s.Load)
	}
	return nil
}

// ZoneName returns the name of a zone by its number.
func ZoneName(i int) string { return string(rune('a' + i)) }

// RandomFaults returns a scenario with one to four random, possibly overlapping faults.
func RandomFaults(seed uint64) Scenario {
	scenario := Baseline(seed)
	rng := rand.New(rand.NewPCG(seed, 77))
	if rng.IntN(2) == 0 {
		scenario.Zones, scenario.Voters, scenario.Nodes = 5, 5, 10
	}
	scenario.LossProbability, scenario.DuplicateProbability = 0.1*rng.Float64(), 0.05*rng.Float64()
	scenario.ReorderProbability = 0.05 * rng.Float64()
	kinds := []FaultKind{ZoneCrash, ZoneErrors, ZoneSlow, ZoneFlaps, SomeWorkersFail, LinkPartition, OneWayPartition, ProcessIsolated, ZoneIsolated, LoadBurst, ProcessCrash, LeaderCrash, AllRestart, ProcessPause}
	for range 1 + rng.IntN(4) {
		scenario.Faults = append(scenario.Faults, scenario.RandomFault(rng, kinds[rng.IntN(len(kinds))]))
	}
	return scenario
}

// HarmlessFault returns a scenario with a random fault for which no zone may be evacuated.
func HarmlessFault(seed uint64) Scenario {
	scenario := Baseline(seed)
	rng := rand.New(rand.NewPCG(seed, 78))
	kinds := []FaultKind{SomeWorkersFail, ProcessIsolated, LoadBurst, ProcessCrash, LeaderCrash, AllRestart, ProcessPause, LinkPartition, ZoneSlow}
	scenario.Faults = []Fault{scenario.RandomFault(rng, kinds[rng.IntN(len(kinds))])}
	return scenario
}

// RepeatedRestarts returns a scenario with slow disks in which all processes restart repeatedly while a
// zone flaps.
func RepeatedRestarts(seed uint64) Scenario {
	scenario := Baseline(seed)
	scenario.DiskLatency = Range{20 * time.Millisecond, 150 * time.Millisecond}
	scenario.Faults = []Fault{{Kind: ZoneFlaps, At: 4 * time.Second, Duration: 20 * time.Second, Zone: "b"}}
	for i := range 8 {
		scenario.Faults = append(scenario.Faults, Fault{Kind: AllRestart, At: time.Duration(5+2*i) * time.Second})
	}
	return scenario
}

// RandomFault returns a fault with random time, duration, zones and process.
func (s Scenario) RandomFault(rng *rand.Rand, kind FaultKind) Fault {
	fault := Fault{Kind: kind, At: 4*time.Second + time.Duration(rng.Int64N(int64(6*time.Second))),
		Duration: 3*time.Second + time.Duration(rng.Int64N(int64(8*time.Second))), WarmsUp: true}
	zone := rng.IntN(s.Zones)
	fault.Zone = ZoneName(zone)
	if s.Zones > 1 {
		fault.OtherZone = ZoneName((zone + 1 + rng.IntN(s.Zones-1)) % s.Zones)
	}
	if n := rng.IntN(s.Nodes + s.Voters); n < s.Nodes {
		fault.Process = nodeName(n)
	} else {
		fault.Process = voterName(n - s.Nodes)
	}
	return fault
}

func nodeName(i int) string  { return fmt.Sprintf("n%d", i+1) }
func voterName(i int) string { return fmt.Sprintf("v%d", i+1) }
