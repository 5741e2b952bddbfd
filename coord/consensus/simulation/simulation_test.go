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

// testSeed is the seed of the schedules in all tests.
const testSeed = 7

// testFaultDuration is how long faults occur in each schedule of the tests.
const testFaultDuration = 4 * time.Second

func TestPlay_randomSchedulesPassAllChecks(t *testing.T) {
	for members, schedules := range map[int]int{3: 200, 5: 120, 9: 40} {
		t.Run(fmt.Sprintf("%d members", members), func(t *testing.T) {
			parameters := gopter.DefaultTestParametersWithSeed(testSeed)
			parameters.MinSuccessfulTests = schedules
			parameters.Workers = 2
			properties := gopter.NewProperties(parameters)
			properties.Property("no check fails", prop.ForAllNoShrink(func(seed uint64) string {
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

// TestRun_detectsOmittedRules omits the rules whose omission is detected within few schedules of three
// members. The omission of the others is rarely detected (docs/design/agreement.md); each of them has a
// scenario in the tests of package consensus.
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

// TestRun_detectsOmittedRulesOfScenarios omits the rules whose omission only a sequence of several leaders
// reveals (scenarios.go). For the rules of membership changes, the number of voters must be even at some time.
func TestRun_detectsOmittedRulesOfScenarios(t *testing.T) {
	for rule, members := range map[consensus.Rule]int{
		consensus.RuleCommitCurrentTerm:     5,
		consensus.RuleMembershipCurrentTerm: 4,
		consensus.RuleMembershipRollback:    4,
	} {
		requireDetected(t, string(rule), Options{Members: members, OmitRules: []consensus.Rule{rule}})
	}
}

// requireDetected fails the test unless some schedule detects a violation with these options.
func requireDetected(t *testing.T, name string, options Options) {
	t.Helper()
	if options.Schedules == 0 {
		options.Schedules = maxSchedules
	}
	options.StopAtFirstViolation = true
	options.FaultDuration = testFaultDuration
	report := Run(testSeed, options)
	if report.FirstViolation() == 0 {
		t.Errorf("omitted rule %s, %d members: no violation in %d schedules, want one", name, options.Members, report.Played)
		return
	}
	t.Logf("omitted rule %s, %d members: violation after %d schedules: %s", name, options.Members, report.FirstViolation(), report.Violations[0].Check)
}

func TestRun_sameSeedGivesSameHistories(t *testing.T) {
	options := Options{Members: 5, Schedules: 10, FaultDuration: testFaultDuration}
	first, second := Run(testSeed, options), Run(testSeed, options)
	if first.Counters != second.Counters || first.Counters.Acknowledged == 0 {
		t.Fatalf("two runs with seed %d: counters %+v, then %+v; want equal ones with acknowledged commands",
			testSeed, first.Counters, second.Counters)
	}
}

func TestRun_schedulesContainAllFaults(t *testing.T) {
	counters := Run(testSeed, Options{Members: 5, Schedules: 30, FaultDuration: testFaultDuration}).Counters
	for name, times := range map[string]int{
		"kills": counters.ProcessKills, "power losses": counters.PowerLosses, "group outages": counters.GroupOutages, "disk losses": counters.DiskLosses,
		"disk stalls": counters.DiskStalls, "freezes": counters.ProcessFreezes, "partitions": counters.Partitions, "transfers": counters.Transfers,
		"compactions": counters.Compactions, "snapshots": counters.Snapshots, "changes": counters.MembershipChanges,
		"reads": counters.Reads, "entry losses": counters.EntryLosses, "competing changes": counters.CompetingChanges, "outages during changes": counters.OutagesDuringChange,
	} {
		if times == 0 {
			t.Errorf("no %s in the schedules, want at least one", name)
		}
	}
}
