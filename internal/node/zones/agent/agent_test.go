package agent

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"ospreybend/balance"
	"ospreybend/internal/node/slottable"
	"ospreybend/internal/node/timerqueue"
	"ospreybend/internal/node/zones/commands"
	"ospreybend/internal/node/zones/follower"
)

// fakeNode implements Loop, Dispatcher and Reporter in simulated time. A report is answered by respond before the
// next timer runs.
type fakeNode struct {
	now        time.Duration
	timers     timerqueue.Queue
	posted     chan func()
	applied    []balance.ZoneShares // shares passed to the dispatcher
	reportedTo []string             // addresses of the voters that received reports
	respond    func(address string, report follower.Report) (follower.Response, error)
}

func (n *fakeNode) Now() time.Duration                   { return n.now }
func (n *fakeNode) Post(f func())                        { n.posted <- f }
func (n *fakeNode) ZoneShares(shares balance.ZoneShares) { n.applied = append(n.applied, shares) }
func (n *fakeNode) Zones() []balance.ZoneCapacity        { return nil }

func (n *fakeNode) Report(_ context.Context, address string, report follower.Report) (follower.Response, error) {
	n.reportedTo = append(n.reportedTo, address)
	return n.respond(address, report)
}

// advance runs the event loop for a time span. A call in progress ends before the next timer runs.
func (n *fakeNode) advance(a *Agent, span time.Duration) {
	end := n.now + span
	for {
		for a.reporting {
			(<-n.posted)()
		}
		at, ok := n.timers.Next()
		if !ok || at > end {
			n.now = end
			return
		}
		n.now = at
		n.timers.Run(at)
	}
}

// startAgent starts the agent of a node in zone a, with voters in zones a and b.
func startAgent(t *testing.T, n *fakeNode) *Agent {
	t.Helper()
	n.now, n.posted = time.Minute, make(chan func(), 1)
	class := balance.Class{LatencyTarget: time.Second, Timeout: 5 * time.Second, Value: 1, Kind: -1}
	a := New(Config{Fleet: "f", Name: "n1", Zone: "a", Voters: []Voter{{"b", "voter-b"}, {"a", "voter-a"}}, Zones: []string{"a", "b"},
		Classes: []balance.Class{class}, ClassNames: []string{"check"}, ReportsStart: true, Settings: follower.DefaultSettings(),
		Incarnation: 1, Rand: rand.New(rand.NewPCG(1, 1)), Timers: &n.timers,
		ZoneOf: func(id balance.WorkerID) (string, bool) { return "b", id == 7 }}, n, n, n)
	t.Cleanup(a.Stop)
	a.Start()
	return a
}

// grantLeaseWithZoneB returns a responder that grants a lease and sends a table with the given state of zone b.
func grantLeaseWithZoneB(state commands.ZoneState) func(string, follower.Report) (follower.Response, error) {
	return func(_ string, report follower.Report) (follower.Response, error) {
		table := commands.Table{Epoch: 1, Zones: map[string]commands.ZoneState{"b": state}}
		return follower.Response{Incarnation: report.Incarnation, Epoch: 1, Table: &table, Lease: 2 * time.Second}, nil
	}
}

// The shares of a voter's table are passed to the dispatcher once, and reports go to the voter of the agent's own zone.
func TestAgent_appliesTable(t *testing.T) {
	n := &fakeNode{respond: grantLeaseWithZoneB(commands.ZoneState{Phase: commands.PhaseEvacuated, Failures: 1})}
	a := startAgent(t, n)
	n.advance(a, time.Second)
	if !a.Ready() || len(n.applied) != 1 || !slices.Equal(n.applied[0].Shares, []float64{1, 0}) || !slices.Equal(n.applied[0].Failed, []int{1}) {
		t.Errorf("after a table that evacuates zone b: ready %v, shares applied %+v; want ready and one call with shares [1 0], failed [1]",
			a.Ready(), n.applied)
	}
	if slices.Contains(n.reportedTo, "voter-b") {
		t.Errorf("reports went to %v, want only voter-a, the voter of the agent's zone", n.reportedTo)
	}
}

// After a failed call the next report goes to another voter, and later ones stay there.
func TestAgent_report_failsOver(t *testing.T) {
	n := &fakeNode{respond: func(address string, report follower.Report) (follower.Response, error) {
		if address == "voter-a" {
			return follower.Response{}, errors.New("down")
		}
		return grantLeaseWithZoneB(commands.ZoneState{Phase: commands.PhaseActive, Share: 1})(address, report)
	}}
	a := startAgent(t, n)
	n.advance(a, 2*time.Second)
	if !a.Ready() || len(n.reportedTo) < 3 || n.reportedTo[0] != "voter-a" || slices.Contains(n.reportedTo[1:], "voter-a") {
		t.Errorf("voter-a is down: ready %v, reports went to %v; want ready, one report to voter-a and the others to voter-b",
			a.Ready(), n.reportedTo)
	}
}

// A step that does not start within the time-out is counted as timed out only once, even if it ends later.
func TestAgent_refresh_timesOutSteps(t *testing.T) {
	n := &fakeNode{respond: grantLeaseWithZoneB(commands.ZoneState{Phase: commands.PhaseActive, Share: 1})}
	a := startAgent(t, n)
	n.advance(a, time.Second)
	step := slottable.Handle(1)
	a.StepSent(step, 7, 0, 1)
	n.advance(a, startTimeoutBase/2)
	if got := a.Follower().Monitor().Observe(n.now, "b"); got.Sent != 1 || got.TimedOut != 0 {
		t.Errorf("before the start time-out: %+v, want 1 step sent and none timed out", got)
	}
	n.advance(a, 2*startTimeoutBase)
	a.StepEnded(step, balance.TimedOut)
	if got := a.Follower().Monitor().Observe(n.now, "b"); got.TimedOut != 1 || got.Failed != 0 {
		t.Errorf("after the start time-out and the end of the step: %+v, want 1 step timed out and none failed", got)
	}
}
