package controlplanesim

import (
	"os"
	"testing"

	"ospreybend/internal/testkit/controlplanesim/campaign"
	"ospreybend/internal/testkit/controlplanesim/history"
)

// checkFault is the check name for failures that the checks of the history cannot detect.
const checkFault = "fault"

// TestPlayRequest plays the schedules that `inference-router measure simulate` requests from this process.
func TestPlayRequest(t *testing.T) {
	request, given, err := campaign.RequestFromEnvironment()
	if !given {
		t.Skip("run only by inference-router measure simulate")
	}
	if err != nil {
		t.Fatal(err)
	}
	schedules, err := request.Schedules()
	if err != nil {
		t.Fatal(err)
	}
	for _, one := range schedules {
		writeLine(t, campaign.Line{Seed: one.Seed, Begins: true})
		report := Play(t, one)
		line := campaign.Line{Seed: one.Seed, Violations: findings(report), Counts: countsOf(report.History)}
		line.InContactDelays, line.Delays = delaysOf(report.History)
		writeLine(t, line)
	}
}

func writeLine(t *testing.T, line campaign.Line) {
	t.Helper()
	if err := line.Write(os.Stdout); err != nil {
		t.Fatal(err)
	}
}

func findings(report Report) []campaign.Finding {
	var found []campaign.Finding
	for _, violation := range report.Violations {
		found = append(found, campaign.Finding{Check: violation.Check, Text: violation.String()})
	}
	for _, failure := range report.Failures {
		found = append(found, campaign.Finding{Check: checkFault, Text: failure})
	}
	return found
}

func countsOf(h history.History) campaign.Counts {
	counts := campaign.Counts{Operations: len(h.Operations), Views: len(h.Views), Heartbeats: len(h.Heartbeats), Departures: len(h.Departures), Faults: len(h.Faults)}
	for _, operation := range h.Operations {
		if operation.Outcome == history.Acknowledged {
			counts.Acknowledged++
		}
	}
	return counts
}

// delaysOf returns the delays from the acknowledgement of a change until views show it: for agents in contact, and for all.
func delaysOf(h history.History) (inContact, all campaign.Delays) {
	inContact, all = campaign.Delays{}, campaign.Delays{}
	for _, one := range h.ViewDelays() {
		all.Add(one.Delay)
		if one.InContact {
			inContact.Add(one.Delay)
		}
	}
	return inContact, all
}
