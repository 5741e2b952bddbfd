package simulation

import (
	"flag"
	"testing"
	"time"

	"ospreybend/coord/consensus"
)

// Flags of TestRun_manySchedules.
var (
	manySchedules     = flag.Int("schedules", 0, "schedules that TestRun_manySchedules plays; 0: it is skipped")
	manyMembers       = flag.Int("members", 3, "members of a schedule")
	manySeed          = flag.Uint64("seed", testSeed, "seed of the schedules")
	manyWorkers       = flag.Int("workers", 1, "schedules played at a time")
	manyFaultDuration = flag.Duration("fault-duration", testFaultDuration, "how long faults occur in a schedule")
	manyOmittedRule   = flag.String("omit", "", "a rule that is omitted; the run ends at the first schedule that detects it")
	manyReuseMemberID = flag.Bool("reuse-member-id", false, "a host that lost its disk returns under its old member ID")
)

// TestRun_manySchedules plays any number of schedules:
//
//	go test ./coord/consensus/simulation -run TestRun_manySchedules -v -timeout 2h -schedules 10000 -members 5 -workers 4
func TestRun_manySchedules(t *testing.T) {
	if *manySchedules == 0 {
		t.Skip("no -schedules")
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
	began := time.Now()
	report := Run(*manySeed, options)
	t.Logf("%d schedules of %d members in %v: %+v", report.Played, options.Members, time.Since(began).Round(time.Second), report.Counters)
	for _, violation := range report.Violations {
		t.Log(violation)
	}
	if *manyOmittedRule != "" {
		t.Logf("%s omitted: detected after %d schedules", *manyOmittedRule, report.FirstViolation())
		return
	}
	if len(report.Violations) > 0 {
		t.Errorf("%d violations", len(report.Violations))
	}
}
