// Package simulation plays the members of a replica group, with the real code of package consensus, on
// simulated machines, disks and a simulated network. Schedules of faults are drawn from a seed: process
// kills, power losses, disk losses and stalls, partitions, lost and delayed messages, membership changes.
// It checks what must hold on each history whatever fails, and that the group works again after the faults.
//
// The same seed gives the same history. The package belongs to the tests of the core; no program uses it.
package simulation

import (
	"fmt"
	"sync"
	"time"

	"ospreybend/coord/consensus"
)

// Options sets what is played.
type Options struct {
	Members              int              // voters, one on each host
	Schedules            int              // how many are played
	Workers              int              // schedules played at a time; 0: one
	OmitRules            []consensus.Rule // rules of the core that are not enforced
	ReuseMemberID        bool             // a host that lost its disk returns under its old ID: a fault that must be detected
	StopAtFirstViolation bool             // play no more schedules after the first violation
	FaultDuration        time.Duration    // how long faults occur in a schedule; 0: defaultFaultDuration
}

// defaultFaultDuration is how long faults occur in a schedule.
const defaultFaultDuration = 8 * time.Second

// Check names a property that each history must have.
type Check string

// The checks. Safety is checked during the whole schedule, the last two after the faults.
const (
	CheckElectionSafety      Check = "one-leader"  // at most one leader is elected in a term
	CheckStateMachineSafety  Check = "agreement"   // all state machines apply the same entries
	CheckApplyOrder          Check = "order"       // entries are handed out in order, each once
	CheckAcknowledgedDurable Check = "kept"        // an acknowledged command is in the log of every later leader
	CheckLinearizableRead    Check = "read"        // a read covers everything applied anywhere before it started
	CheckStorage             Check = "storage"     // what is to be made durable has no gap
	CheckPanic               Check = "panic"       // the core found a state that must not occur
	CheckLeaderAfterFaults   Check = "recovers"    // after the faults, a leader commits commands again
	CheckConvergence         Check = "all-current" // after the faults, all members apply all entries
)

// Violation is a check that a history did not pass.
type Violation struct {
	Schedule int    // 0 for the first one
	Seed     uint64 // Play replays the schedule with it
	Check    Check
	Text     string
}

// Counters counts what happened in schedules.
type Counters struct {
	// Work of the group.
	Leaders, Acknowledged, Reads, Messages               int
	Transfers, Compactions, Snapshots, MembershipChanges int

	// Faults.
	ProcessKills, ProcessFreezes, PowerLosses int
	GroupOutages                              int // all hosts at once
	DiskLosses, DiskStalls                    int
	Partitions                                int

	// Scenarios of several faults (scenarios.go).
	EntryLosses, CompetingChanges, OutagesDuringChange int
}

// Report is the result of a run.
type Report struct {
	Played     int // schedules
	Violations []Violation
	Counters   Counters
}

// FirstViolation returns the number of schedules played up to the first violation, or 0 if there was none.
func (r *Report) FirstViolation() int {
	first := 0
	for _, violation := range r.Violations {
		if first == 0 || violation.Schedule+1 < first {
			first = violation.Schedule + 1
		}
	}
	return first
}

// Run plays options.Schedules schedules whose seeds derive from seed. The same seed and options give the
// same histories, in any number of workers.
func Run(seed uint64, options Options) Report {
	run := &run{seed: seed, options: options}
	var group sync.WaitGroup
	for range max(1, options.Workers) {
		group.Go(run.work)
	}
	group.Wait()
	return run.report
}

// run hands out the schedules to its workers and collects their results.
type run struct {
	seed    uint64
	options Options

	mutex  sync.Mutex // guards the fields below
	next   int
	report Report
}

// work plays schedules until none is left.
func (r *run) work() {
	for {
		schedule, more := r.nextSchedule()
		if !more {
			return
		}
		seed := scheduleSeed(r.seed, schedule)
		count, violations := Play(seed, r.options)
		for i := range violations {
			violations[i].Schedule = schedule
		}
		r.add(count, violations)
	}
}

// nextSchedule returns the next schedule's number, and false if none is left.
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

// add adds a schedule's results to the report.
func (r *run) add(count Counters, violations []Violation) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.report.Played++
	r.report.Counters.add(count)
	r.report.Violations = append(r.report.Violations, violations...)
}

// seedStep spreads the seeds of schedules. It is the odd constant of the golden ratio.
const seedStep = 0x9e3779b97f4a7c15

// scheduleSeed returns the seed of a schedule of a run.
func scheduleSeed(seed uint64, schedule int) uint64 {
	return seed + seedStep*uint64(schedule+1)
}

// Play plays one schedule. It ends at the first violation.
func Play(seed uint64, options Options) (Counters, []Violation) {
	world := newCluster(seed, options)
	world.play()
	return world.counters, world.checks.violations
}

// add adds the counters of another schedule.
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

// String returns the violation in one line.
func (v Violation) String() string {
	return fmt.Sprintf("schedule %d (seed %d): %s: %s", v.Schedule, v.Seed, v.Check, v.Text)
}
