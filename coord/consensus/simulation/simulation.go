// Package simulation plays the members of a replica group, with the real code of package agreement, on
// machines, disks and a network of its own, by schedules drawn from a seed. It checks what must
// hold on each history whatever fails.
package simulation

import (
	"fmt"
	"sync"
	"time"

	"ospreybend/coord/consensus"
)

// Options says what is played.
type Options struct {
	Members              int              // voters, one on each machine
	Schedules            int              // how many are drawn
	Workers              int              // schedules played at a time; 0: one
	DisabledRules        []consensus.Rule // checks of the core that are left out
	ReuseMemberID        bool             // a machine that lost its disk comes back under its old ID: a fault that must be noticed
	StopAtFirstViolation bool             // play no more schedules after the first violation
	FaultDuration        time.Duration    // how long faults strike in a schedule; 0: defaultTrouble
}

// defaultFaultDuration is how long faults strike in a schedule.
const defaultFaultDuration = 8 * time.Second

// Check names what a history must fulfil.
type Check string

// The checks of a history.
const (
	CheckElectionSafety      Check = "one-leader"  // one leader a term
	CheckStateMachineSafety  Check = "agreement"   // all state machines take the same entries
	CheckApplyOrder          Check = "order"       // entries are handed out in order, each once
	CheckAcknowledgedDurable Check = "kept"        // an acknowledged command is in every later leader's log
	CheckLinearizableRead    Check = "read"        // a read covers what was applied anywhere before it began
	CheckStorage             Check = "storage"     // what is to be made durable has no gap
	CheckPanic               Check = "panic"       // the core found a state that must never be
	CheckLeaderAfterFaults   Check = "recovers"    // with all faults over, commands are committed again
	CheckConvergence         Check = "all-current" // with all faults over, all members apply all entries
)

// Violation is a check that a history broke.
type Violation struct {
	Schedule int    // 0 for the first one
	Seed     uint64 // with it the schedule can be played again
	Check    Check
	Text     string
}

// Counters is what happened in the schedules.
type Counters struct {
	Leaders, Acknowledged, Reads, Messages                          int
	ProcessKills, PowerLosses, GroupOutages, DiskLosses, DiskStalls int
	ProcessFreezes, Partitions, Transfers, Compactions              int
	Snapshots, MembershipChanges                                    int
	EntryLosses, CompetingChanges, OutagesDuringChange              int
}

// Report is the result of a run.
type Report struct {
	Played     int // schedules
	Violations []Violation
	Counters   Counters
}

// FirstViolation returns after how many schedules the first violation was seen, 0 if there was none.
func (r *Report) FirstViolation() int {
	first := 0
	for _, violation := range r.Violations {
		if first == 0 || violation.Schedule+1 < first {
			first = violation.Schedule + 1
		}
	}
	return first
}

// Run plays schedules drawn from a seed. The same seed and options give the same histories.
func Run(seed uint64, options Options) Report {
	run := &run{seed: seed, options: options}
	var group sync.WaitGroup
	for range max(1, options.Workers) {
		group.Go(run.work)
	}
	group.Wait()
	return run.report
}

// run hands out the schedules to its workers.
type run struct {
	seed    uint64
	options Options

	mutex  sync.Mutex
	next   int
	report Report
}

func (r *run) work() {
	for {
		schedule, left := r.nextSchedule()
		if !left {
			return
		}
		seed := scheduleSeed(r.seed, schedule)
		count, violations := Play(seed, r.options)
		for at := range violations {
			violations[at].Schedule = schedule
		}
		r.add(count, violations)
	}
}

func (r *run) nextSchedule() (schedule int, left bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	stopped := r.options.StopAtFirstViolation && len(r.report.Violations) > 0
	if r.next >= r.options.Schedules || stopped {
		return 0, false
	}
	r.next++
	return r.next - 1, true
}

func (r *run) add(count Counters, violations []Violation) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.report.Played++
	r.report.Counters.add(count)
	r.report.Violations = append(r.report.Violations, violations...)
}

// seedStep spreads the seeds of schedules (the odd constant of the golden ratio).
const seedStep = 0x9e3779b97f4a7c15

func scheduleSeed(seed uint64, schedule int) uint64 {
	return seed + seedStep*uint64(schedule+1)
}

// Play plays one schedule and returns the first violations of each check.
func Play(seed uint64, options Options) (Counters, []Violation) {
	world := newCluster(seed, options)
	world.play()
	return world.counters, world.checks.violations
}

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

// String tells a violation in one line.
func (v Violation) String() string {
	return fmt.Sprintf("schedule %d (seed %d): %s: %s", v.Schedule, v.Seed, v.Check, v.Text)
}
