package simulation

import (
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"ospreybend/coord/consensus"
)

// testSeed is the seed of all tests' schedules.
const testSeed = 7

// testFaultDuration is how long faults occur in a test's schedule.
const testFaultDuration = 4 * time.Second

func TestPlay_randomSchedulesPassAllChecks(t *testing.T) {
	for members, schedules := range map[int]int{3: 200, 5: 120, 9: 40} {
		t.Run(fmt.Sprintf("%d members", members), func(t *testing.T) {
			parameters := gopter.DefaultTestParametersWithSeed(testSeed)
			parameters.MinSuccessfulTests = schedules
			parameters.Workers = 2
			properties := gopter.NewProperties(parameters)
			properties.Property("no check is broken", prop.ForAllNoShrink(func(seed uint64) string {
				_, violations := Play(seed, Options{Members: members, FaultDuration: testFaultDuration})
				if len(violations) > 0 {
					return violations[0].String()
				}
				return ""
			}, gen.UInt64()))
			properties.TestingRun(t)
		})
	}
}

// maxSchedules bounds the search for a schedule that detects an omitted rule.
const maxSchedules = 2000

// TestRun_detectsOmittedRules omits the rules whose absence shows within few schedules of three
// members. The others show rarely (docs/design/agreement.md); each has a scenario in the tests of package
// consensus.
func TestRun_detectsOmittedRules(t *testing.T) {
	for _, rule := range []consensus.Rule{
		consensus.RuleVoteOnce, consensus.RuleVoteUpToDateLog, consensus.RuleVoteDurable,
		consensus.RuleAppendLogMatching, consensus.RuleAppendDurable, consensus.RuleLeaderEntriesDurable,
		consensus.RuleCommitMajority, consensus.RuleCommitVerified,
		consensus.RuleReadQuorumConfirmed, consensus.RuleReadCurrentTerm, consensus.RuleLearnerNoQuorum,
	} {
		requireDetected(t, string(rule), Options{Members: 3, OmitRules: []consensus.Rule{rule}})
	}
	requireDetected(t, "empty-silent, reused member ID", Options{
		Members:       3,
		OmitRules:     []consensus.Rule{consensus.RuleEmptyDiskNoVote},
		ReuseMemberID: true,
	})
}

// TestRun_detectsOmittedRulesOfScenarios omits the rules that only a sequence of several leaders shows
// (scenarios.go). Those of membership changes do harm if the number of voters is even at some time.
func TestRun_detectsOmittedRulesOfScenarios(t *testing.T) {
	for rule, members := range map[consensus.Rule]int{
		consensus.RuleCommitCurrentTerm:     5,
		consensus.RuleMembershipCurrentTerm: 4,
		consensus.RuleMembershipRollback:    4,
	} {
		requireDetected(t, string(rule), Options{Members: members, OmitRules: []consensus.Rule{rule}})
	}
}

// requireDetected fails the test unless some schedule detects what the options omit.
func requireDetected(t *testing.T, name string, options Options) {
	t.Helper()
	if options.Schedules == 0 {
		options.Schedules = maxSchedules
	}
	options.StopAtFirstViolation = true
	options.FaultDuration = testFaultDuration
	report := Run(testSeed, options)
	if report.FirstViolation() == 0 {
		t.Errorf("%s: %d members: not detected in %d schedules", name, options.Members, report.Played)
		return
	}
	t.Logf("%s: %d members: detected after %d schedules: %s", name, options.Members, report.FirstViolation(), report.Violations[0].Check)
}

func TestRun_sameSeedGivesSameHistories(t *testing.T) {
	options := Options{Members: 5, Schedules: 10, FaultDuration: testFaultDuration}
	first, second := Run(testSeed, options), Run(testSeed, options)
	if first.Counters != second.Counters || first.Counters.Acknowledged == 0 {
		t.Fatalf("%+v, then %+v", first.Counters, second.Counters)
	}
}

func TestRun_schedulesContainAllFaults(t *testing.T) {
	count := Run(testSeed, Options{Members: 5, Schedules: 30, FaultDuration: testFaultDuration}).Counters
	for name, times := range map[string]int{
		"kills": count.ProcessKills, "power losses": count.PowerLosses, "group outages": count.GroupOutages, "disk losses": count.DiskLosses,
		"disk stalls": count.DiskStalls, "freezes": count.ProcessFreezes, "partitions": count.Partitions, "transfers": count.Transfers,
		"compactions": count.Compactions, "snapshots": count.Snapshots, "changes": count.MembershipChanges,
		"reads": count.Reads, "entry losses": count.EntryLosses, "competing changes": count.CompetingChanges, "outages during changes": count.OutagesDuringChange,
	} {
		if times == 0 {
			t.Errorf("no %s", name)
		}
	}
}
