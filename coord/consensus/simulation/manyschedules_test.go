package simulation

import (
	"flag"
	"testing"
	"time"

	"ospreybend/coord/consensus"
)

// Flags of TestRun_manySchedules.
var (
	manySchedules     = flag.Int("schedules", 0, "number of schedules that TestRun_manySchedules plays; 0: the test is skipped")
	manyMembers       = flag.Int("members", 3, "members of the group")
	manySeed          = flag.Uint64("seed", testSeed, "seed from which the schedules' seeds are derived")
	manyWorkers       = flag.Int("workers", 1, "schedules played concurrently")
	manyFaultDuration = flag.Duration("fault-duration", testFaultDuration, "how long faults occur in a schedule")
	manyOmittedRule   = flag.String("omit", "", "a rule to omit; the run ends at the first schedule that detects the omission")
	manyReuseMemberID = flag.Bool("reuse-member-id", false, "a host that lost its disk returns under its old member ID")
)

// TestRun_manySchedules plays a given number of schedules, for runs longer than those of the other tests:
//
//	go test ./coord/consensus/simulation -run TestRun_manySchedules -v -timeout 2h -schedules 10000 -members 5 -workers 4
func TestRun_manySchedules(t *testing.T) {
	if *manySchedules == 0 {
		t.Skip("flag -schedules is not set")
	}
	options := Options{
		Members:       *manyMembers,
		Schedules:     *manySchedules,
		Workers:       *manyWorkers,
		FaultDuration: *manyFaultDuration,
		ReuseMemberID: *manyReuseMemberID,
	}
	if *manyOmittedRule != "" {
		options.OmitRules = []consensus.Rule{consensus.Rule(*manyOmittedRule)}
		options.StopAtFirstViolation = true
	}
	start := time.Now()
	report := Run(*manySeed, options)
	t.Logf("%d schedules of %d members in %v: %+v", report.Played, options.Members, time.Since(start).Round(time.Second), report.Counters)
	for _, violation := range report.Violations {
		t.Log(violation)
	}
	if *manyOmittedRule != "" {
		t.Logf("rule %s omitted: detected after %d schedules (0: not detected)", *manyOmittedRule, report.FirstViolation())
		return
	}
	if len(report.Violations) > 0 {
		t.Errorf("%d violations in %d schedules, want none", len(report.Violations), report.Played)
	}
}
