// Package simulation runs the members of a replica group, with the production code of package consensus, on
// simulated machines, disks and a simulated network. Each schedule of faults is derived from a seed: process
// kills, power losses, disk losses and stalls, partitions, lost and delayed messages, membership changes.
// The package checks safety properties throughout the schedule, and that the group works again after the
// faults.
//
// The same seed and options give the same sequence of events. The package is part of the tests of package
// consensus; no program uses it.
package simulation

import (
	"fmt"
	"sync"
	"time"

	"ospreybend/coord/consensus"
)

// Options configures a run.
type Options struct {
	Members              int              // voters, one on each host
	Schedules            int              // number of schedules that Run plays
	Workers              int              // schedules played concurrently; 0: one
	OmitRules            []consensus.Rule // rules of package consensus that are not enforced
	ReuseMemberID        bool             // a host that lost its disk returns under its old member ID, which is unsafe
	StopAtFirstViolation bool             // start no more schedules after the first violation
	FaultDuration        time.Duration    // how long faults occur in a schedule; 0: defaultFaultDuration
}

// defaultFaultDuration is the default of Options.FaultDuration.
const defaultFaultDuration = 8 * time.Second

// Check names a property that is checked in each schedule.
type Check string

// The checks. The last two are made once after the faults, the others during the whole schedule.
const (
	CheckElectionSafety      Check = "one-leader"  // at most one leader is elected in a term
	CheckStateMachineSafety  Check = "agreement"   // all state machines apply the same entry at an index
	CheckApplyOrder          Check = "order"       // committed entries are delivered in order, each once
	CheckAcknowledgedDurable Check = "kept"        // an acknowledged command is in the log of every later leader
	CheckLinearizableRead    Check = "read"        // a read covers everything applied anywhere before it started
	CheckStorage             Check = "storage"     // entries to be made durable leave no gap in the log
	CheckPanic               Check = "panic"       // the core panicked, as it does in a state that must not occur
	CheckLeaderAfterFaults   Check = "recovers"    // after the faults, a single member leads again
	CheckConvergence         Check = "all-current" // after the faults, the leader commits in its term and all hosts are voters that keep up
)

// Violation is a check that a schedule failed.
type Violation struct {
	Schedule int    // number of the schedule in the run, from 0
	Seed     uint64 // of the schedule; Play replays it
	Check    Check
	Text     string
}

// Counters counts events in schedules.
type Counters struct {
	// Work of the group.
	Leaders, Acknowledged, Reads, Messages               int
	Transfers, Compactions, Snapshots, MembershipChanges int

	// Faults.
	ProcessKills, ProcessFreezes, PowerLosses int
	GroupOutages                              int // kills or power losses of all hosts at once
	DiskLosses, DiskStalls                    int
	Partitions                                int

	// Scenarios of several faults (scenarios.go).
	EntryLosses, CompetingChanges, OutagesDuringChange int
}

// Report is the result of a run.
type Report struct {
	Played     int // number of schedules played
	Violations []Violation
	Counters   Counters
}

// FirstViolation returns the position, from 1, of the first schedule with a violation, or 0 if there was none.
func (r *Report) FirstViolation() int {
	first := 0
	for _, violation := range r.Violations {
		if first == 0 || violation.Schedule+1 < first {
			first = violation.Schedule + 1
		}
	}
	return first
}

// Run plays options.Schedules schedules whose seeds are derived from seed. The same seed and options give the
// same schedules with any number of workers.
func Run(seed uint64, options Options) Report {
	run := &run{seed: seed, options: options}
	var group sync.WaitGroup
	for range max(1, options.Workers) {
		group.Go(run.playSchedules)
	}
	group.Wait()
	return run.report
}

// run distributes the schedules among its workers and collects their results.
type run struct {
	seed    uint64
	options Options

	mutex  sync.Mutex // guards the fields below
	next   int        // number of the next schedule
	report Report
}

// playSchedules plays schedules until none is left.
func (r *run) playSchedules() {
	for {
		schedule, more := r.nextSchedule()
		if !more {
			return
		}
		seed := scheduleSeed(r.seed, schedule)
		counters, violations := Play(seed, r.options)
		for i := range violations {
			violations[i].Schedule = schedule
		}
		r.addResult(counters, violations)
	}
}

// nextSchedule returns the number of the next schedule. It returns false if none is left.
func (r *run) nextSchedule() (schedule int, more bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	stopped := r.options.StopAtFirstViolation && len(r.report.Violations) > 0
	if r.next >= r.options.Schedules || stopped {
		return 0, false
	}
	r.next++
	return r.next - 1, true
}

// addResult adds a schedule's results to the report.
func (r *run) addResult(counters Counters, violations []Violation) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.report.Played++
	r.report.Counters.add(counters)
	r.report.Violations = append(r.report.Violations, violations...)
}

// seedStep is the difference between the seeds of successive schedules: 2^64 divided by the golden ratio,
// rounded to an odd number.
const seedStep = 0x9e3779b97f4a7c15

// scheduleSeed returns the seed of a run's schedule.
func scheduleSeed(seed uint64, schedule int) uint64 {
	return seed + seedStep*uint64(schedule+1)
}

// Play plays one schedule, up to the first violation.
func Play(seed uint64, options Options) (Counters, []Violation) {
	c := newCluster(seed, options)
	c.play()
	return c.counters, c.checks.violations
}

// add adds the counts of another schedule.
func (c *Counters) add(other Counters) {
	c.Leaders += other.Leaders
	c.Acknowledged += other.Acknowledged
	c.Reads += other.Reads
	c.Messages += other.Messages
	c.ProcessKills += other.ProcessKills
	c.PowerLosses += other.PowerLosses
	c.GroupOutages += other.GroupOutages
	c.DiskLosses += other.DiskLosses
	c.DiskStalls += other.DiskStalls
	c.ProcessFreezes += other.ProcessFreezes
	c.Partitions += other.Partitions
	c.Transfers += other.Transfers
	c.Compactions += other.Compactions
	c.Snapshots += other.Snapshots
	c.MembershipChanges += other.MembershipChanges
	c.EntryLosses += other.EntryLosses
	c.CompetingChanges += other.CompetingChanges
	c.OutagesDuringChange += other.OutagesDuringChange
}

// String returns a one-line description of the violation.
func (v Violation) String() string {
	return fmt.Sprintf("schedule %d (seed %d): %s: %s", v.Schedule, v.Seed, v.Check, v.Text)
}
