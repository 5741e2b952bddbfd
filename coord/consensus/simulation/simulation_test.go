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

// testSeed draws the schedules of all tests.
const testSeed = 7

// testTrouble is how long faults strike in a test's schedule.
const testTrouble = 4 * time.Second

func TestDrawnSchedulesKeepAllChecks(t *testing.T) {
	for members, schedules := range map[int]int{3: 200, 5: 120, 9: 40} {
		t.Run(fmt.Sprintf("%d members", members), func(t *testing.T) {
			parameters := gopter.DefaultTestParametersWithSeed(testSeed)
			parameters.MinSuccessfulTests = schedules
			parameters.Workers = 2
			properties := gopter.NewProperties(parameters)
			properties.Property("no check is broken", prop.ForAllNoShrink(func(seed uint64) string {
				_, violations := Play(seed, Options{Members: members, Trouble: testTrouble})
				if len(violations) > 0 {
					return violations[0].String()
				}
				return ""
			}, gen.UInt64()))
			properties.TestingRun(t)
		})
	}
}

// mostSchedules bounds the search for a rule's absence.
const mostSchedules = 2000

// TestAbsentRulesAreNoticed leaves out those rules whose absence shows within few schedules of three members. The
// rest shows rarely (docs/design/agreement.md); all have a scenario of their own in package agreement.
func TestAbsentRulesAreNoticed(t *testing.T) {
	for _, rule := range []consensus.Rule{
		consensus.RuleVoteOnce, consensus.RuleVoteUpToDateLog, consensus.RuleVoteDurable,
		consensus.RuleAppendLogMatching, consensus.RuleAppendDurable, consensus.RuleLeaderEntriesDurable,
		consensus.RuleCommitMajority, consensus.RuleCommitVerified,
		consensus.RuleReadQuorumConfirmed, consensus.RuleReadCurrentTerm, consensus.RuleLearnerNoQuorum,
	} {
		wantNoticed(t, string(rule), Options{Members: 3, Omit: []consensus.Rule{rule}})
	}
	wantNoticed(t, "empty-silent, old ID", Options{
		Members:       3,
		Omit:          []consensus.Rule{consensus.RuleEmptyDiskNoVote},
		ReuseIdentity: true,
	})
}

// TestAbsentRulesOfKnownCoursesAreNoticed leaves out the rules that only a course of several leaders shows
// (courses.go). Those of changes of members do harm where the number of voters is even at some time.
func TestAbsentRulesOfKnownCoursesAreNoticed(t *testing.T) {
	for rule, members := range map[consensus.Rule]int{
		consensus.RuleCommitCurrentTerm:     5,
		consensus.RuleMembershipCurrentTerm: 4,
		consensus.RuleMembershipRollback:    4,
	} {
		wantNoticed(t, string(rule), Options{Members: members, Omit: []consensus.Rule{rule}})
	}
}

func wantNoticed(t *testing.T, name string, options Options) {
	t.Helper()
	if options.Schedules == 0 {
		options.Schedules = mostSchedules
	}
	options.StopAtFirst = true
	options.Trouble = testTrouble
	report := Run(testSeed, options)
	if report.FirstCaught() == 0 {
		t.Errorf("%s: %d members: not noticed in %d schedules", name, options.Members, report.Played)
		return
	}
	t.Logf("%s: %d members: noticed after %d schedules: %s", name, options.Members, report.FirstCaught(), report.Violations[0].Check)
}

func TestSameSeedPlaysTheSameHistories(t *testing.T) {
	options := Options{Members: 5, Schedules: 10, Trouble: testTrouble}
	first, second := Run(testSeed, options), Run(testSeed, options)
	if first.Count != second.Count || first.Count.Acknowledged == 0 {
		t.Fatalf("%+v, then %+v", first.Count, second.Count)
	}
}

func TestSchedulesHoldAllFaults(t *testing.T) {
	count := Run(testSeed, Options{Members: 5, Schedules: 30, Trouble: testTrouble}).Count
	for name, times := range map[string]int{
		"kills": count.Kills, "power losses": count.PowerLosses, "all down": count.AllDown, "wipes": count.Wipes,
		"stalls": count.Stalls, "freezes": count.Freezes, "cuts": count.Cuts, "transfers": count.Transfers,
		"compactions": count.Compactions, "snapshots": count.Snapshots, "changes": count.MemberChanges,
		"reads": count.Reads, "mutes": count.Mutes, "rivalries": count.Rivalries, "strikes amid changes": count.AmidChange,
	} {
		if times == 0 {
			t.Errorf("no %s", name)
		}
	}
}
