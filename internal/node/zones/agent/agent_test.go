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

// fakeNode is an event loop, a dispatcher and a voter in simulated time. A report is answered by respond before the
// loop goes on.
type fakeNode struct {
	now     time.Duration
	timers  timerqueue.Queue
	posted  chan func()
	applied []balance.ZoneShares
	asked   []string // addresses of the voters that got reports
	respond func(address string, report follower.Report) (follower.Response, error)
}

func (n *fakeNode) Now() time.Duration                   { return n.now }
func (n *fakeNode) Post(f func())                        { n.posted <- f }
func (n *fakeNode) ZoneShares(shares balance.ZoneShares) { n.applied = append(n.applied, shares) }
func (n *fakeNode) Zones() []balance.ZoneCapacity        { return nil }

func (n *fakeNode) Report(_ context.Context, address string, report follower.Report) (follower.Response, error) {
	n.asked = append(n.asked, address)
	return n.respond(address, report)
}

// run runs the loop for a while; a call in progress ends before the next timer runs.
func (n *fakeNode) run(a *Agent, span time.Duration) {
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

// newAgent starts the agent of a node in zone a, with voters in both zones.
func newAgent(t *testing.T, n *fakeNode) *Agent {
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

// granting responds with a table in which zone b is in a state, and a lease.
func granting(state commands.ZoneState) func(string, follower.Report) (follower.Response, error) {
	return func(_ string, report follower.Report) (follower.Response, error) {
		table := commands.Table{Epoch: 1, Zones: map[string]commands.ZoneState{"b": state}}
		return follower.Response{Incarnation: report.Incarnation, Epoch: 1, Table: &table, Lease: 2 * time.Second}, nil
	}
}

// The table of a voter becomes the dispatcher's zone shares once, and the voter of the own zone is asked first.
func TestAgent_appliesTheTable(t *testing.T) {
	n := &fakeNode{respond: granting(commands.ZoneState{Phase: commands.PhaseEvacuated, Failures: 1})}
	a := newAgent(t, n)
	n.run(a, time.Second)
	if !a.Ready() || len(n.applied) != 1 || !slices.Equal(n.applied[0].Shares, []float64{1, 0}) || !slices.Equal(n.applied[0].Failed, []int{1}) {
		t.Errorf("ready %v, applied %+v", a.Ready(), n.applied)
	}
	if slices.Contains(n.asked, "voter-b") {
		t.Errorf("reports went to %v", n.asked)
	}
}

// After a failed report the next one goes to another voter.
func TestAgent_report_failsOver(t *testing.T) {
	n := &fakeNode{respond: func(address string, report follower.Report) (follower.Response, error) {
		if address == "voter-a" {
			return follower.Response{}, errors.New("down")
		}
		return granting(commands.ZoneState{Phase: commands.PhaseActive, Share: 1})(address, report)
	}}
	a := newAgent(t, n)
	n.run(a, 2*time.Second)
	if !a.Ready() || len(n.asked) < 3 || n.asked[0] != "voter-a" || slices.Contains(n.asked[1:], "voter-a") {
		t.Errorf("ready %v, reports went to %v", a.Ready(), n.asked)
	}
}

// A step without a start within the time-out counts as timed out, once, also if it ends later.
func TestAgent_refresh_timesOutSteps(t *testing.T) {
	n := &fakeNode{respond: granting(commands.ZoneState{Phase: commands.PhaseActive, Share: 1})}
	a := newAgent(t, n)
	n.run(a, time.Second)
	step := slottable.Handle(1)
	a.StepSent(step, 7, 0, 1)
	n.run(a, startTimeoutBase/2)
	if got := a.Follower().Monitor().Observe(n.now, "b"); got.Sent != 1 || got.TimedOut != 0 {
		t.Errorf("before the time-out: %+v", got)
	}
	n.run(a, 2*startTimeoutBase)
	a.StepEnded(step, balance.TimedOut)
	if got := a.Follower().Monitor().Observe(n.now, "b"); got.TimedOut != 1 || got.Failed != 0 {
		t.Errorf("after it: %+v", got)
	}
}
