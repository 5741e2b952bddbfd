package simulation

import (
	"flag"
	"testing"
	"time"

	"ospreybend/coord/consensus"
)

// Flags of TestManySchedules.
var (
	manySchedules = flag.Int("schedules", 0, "schedules that TestManySchedules plays; 0: it is skipped")
	manyMembers   = flag.Int("members", 3, "members of a schedule")
	manySeed      = flag.Uint64("seed", testSeed, "seed of the schedules")
	manyWorkers   = flag.Int("workers", 1, "schedules played at a time")
	manyTrouble   = flag.Duration("trouble", testTrouble, "how long faults strike in a schedule")
	manyOmit      = flag.String("omit", "", "a rule that is left out; the run ends at the first schedule that notices it")
	manyOldID     = flag.Bool("old-identity", false, "a machine that lost its disk comes back under its old ID")
)

// TestManySchedules plays any number of schedules:
//
//	go test ./coord/consensus/simulation -run TestManySchedules -v -timeout 2h -schedules 10000 -members 5 -workers 4
func TestManySchedules(t *testing.T) {
	if *manySchedules == 0 {
		t.Skip("no -schedules")
	}
	options := Options{
		Members:       *manyMembers,
		Schedules:     *manySchedules,
		Workers:       *manyWorkers,
		Trouble:       *manyTrouble,
		ReuseIdentity: *manyOldID,
	}
	if *manyOmit != "" {
		options.Omit = []consensus.Rule{consensus.Rule(*manyOmit)}
		options.StopAtFirst = true
	}
	began := time.Now()
	report := Run(*manySeed, options)
	t.Logf("%d schedules of %d members in %v: %+v", report.Played, options.Members, time.Since(began).Round(time.Second), report.Count)
	for _, violation := range report.Violations {
		t.Log(violation)
	}
	if *manyOmit != "" {
		t.Logf("%s left out: noticed after %d schedules", *manyOmit, report.FirstCaught())
		return
	}
	if len(report.Violations) > 0 {
		t.Errorf("%d violations", len(report.Violations))
	}
}
