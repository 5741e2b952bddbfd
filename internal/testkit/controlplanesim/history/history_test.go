package history_test

import (
	"strings"
	"testing"
	"time"

	"ospreybend/internal/testkit/controlplanesim/history"
)

const second = time.Second

// emptyHistory returns a history without events, in which agents are in contact from Bounds.Contact on.
func emptyHistory() history.History {
	return history.History{
		Bounds:    history.Bounds{Contact: 3 * second, ConfigApply: 2 * second, Drain: 2 * second, Registration: 2 * second, ServeAgain: 6 * second},
		Tolerance: 1, TargetVoters: 3, Agents: 2, End: 60 * second,
	}
}

// order returns an attempt of an order that is called at the given time and returns after 100 ms.
func order(name string, base, generation uint64, at time.Duration, outcome history.Outcome) history.Operation {
	status := map[history.Outcome]int{history.Acknowledged: 200, history.Rejected: 412, history.Unknown: 0}[outcome]
	return history.Operation{Kind: history.Replace, Order: name, Base: base, Generation: generation, Call: at, Return: at + 100*time.Millisecond, Outcome: outcome, Status: status}
}

// read returns a read that is called at the given time and returns after 100 ms.
func read(name string, generation uint64, at time.Duration) history.Operation {
	return history.Operation{Client: 1, Kind: history.Read, Order: name, Generation: generation, Call: at, Return: at + 100*time.Millisecond, Outcome: history.Acknowledged, Status: 200}
}

// wantOnly fails the test unless the given check, and no other, reports a violation. An empty check means that none may.
func wantOnly(t *testing.T, h history.History, check string) {
	t.Helper()
	var broken []string
	for _, violation := range h.Check() {
		broken = append(broken, violation.Check)
		t.Log(violation)
	}
	if got := strings.Join(broken, ","); got != check {
		t.Errorf("got violations of checks %q, want %q", got, check)
	}
}

// operations returns a history of the given operations in which every agent shows each acknowledged change immediately.
func operations(all ...history.Operation) history.History {
	h := emptyHistory()
	h.Operations = all
	newest := uint64(0)
	for _, operation := range all {
		if operation.Kind != history.Read && operation.Outcome == history.Acknowledged && operation.Generation > newest {
			newest = operation.Generation
			for agent := range h.Agents {
				h.Views = append(h.Views, history.View{Agent: agent, At: operation.Return, Generation: operation.Generation, Order: operation.Order})
			}
		}
	}
	return h
}

func TestCheckLinearizable_linearizable(t *testing.T) {
	for name, h := range map[string]history.History{
		"sequential operations":                              operations(order("a", 0, 1, 1*second, history.Acknowledged), read("a", 1, 2*second), order("b", 1, 3, 3*second, history.Acknowledged), read("b", 3, 4*second)),
		"the second order on a base is rejected":             operations(order("a", 0, 1, 1*second, history.Acknowledged), order("b", 1, 2, 2*second, history.Acknowledged), order("c", 1, 3, 2*second, history.Rejected)),
		"unanswered order takes effect later":                operations(order("a", 0, 1, 1*second, history.Acknowledged), order("b", 1, 2, 2*second, history.Unknown), read("a", 1, 3*second), read("b", 2, 9*second)),
		"unanswered order never takes effect":                operations(order("a", 0, 1, 1*second, history.Acknowledged), order("b", 1, 2, 2*second, history.Unknown), read("a", 1, 30*second)),
		"unanswered order causes the rejection of another":   operations(order("a", 0, 1, 1*second, history.Acknowledged), order("b", 1, 2, 2*second, history.Unknown), order("c", 1, 3, 5*second, history.Rejected)),
		"unanswered order is the base of the next":           operations(order("a", 0, 1, 1*second, history.Unknown), order("b", 1, 2, 3*second, history.Acknowledged)),
		"acknowledged at the second attempt":                 operations(order("a", 0, 1, 1*second, history.Unknown), order("a", 0, 1, 3*second, history.Acknowledged), read("a", 1, 4*second)),
		"order repeated after newer ones":                    operations(order("a", 0, 1, 1*second, history.Acknowledged), order("b", 1, 2, 2*second, history.Acknowledged), order("a", 0, 1, 3*second, history.Acknowledged), read("b", 2, 4*second)),
		"read concurrent with an order returns either state": operations(order("a", 0, 1, 1*second, history.Acknowledged), read("", 0, 1*second), read("a", 1, 1*second)),
	} {
		t.Run(name, func(t *testing.T) { wantOnly(t, h, "") })
	}
}

func TestCheckLinearizable_notLinearizable(t *testing.T) {
	for name, h := range map[string]history.History{
		"stale read":                                    operations(order("a", 0, 1, 1*second, history.Acknowledged), order("b", 1, 2, 2*second, history.Acknowledged), read("a", 1, 3*second)),
		"reads go back to an older generation":          operations(order("a", 0, 1, 1*second, history.Acknowledged), order("b", 1, 2, 2*second, history.Unknown), read("b", 2, 3*second), read("a", 1, 4*second)),
		"rejection without a cause":                     operations(order("a", 0, 1, 1*second, history.Acknowledged), order("b", 1, 2, 2*second, history.Rejected)),
		"two orders accepted on the same base":          operations(order("a", 0, 1, 1*second, history.Acknowledged), order("b", 1, 2, 2*second, history.Acknowledged), order("c", 1, 3, 3*second, history.Acknowledged)),
		"acknowledged order is lost":                    operations(order("a", 0, 1, 1*second, history.Acknowledged), read("", 0, 9*second)),
		"rejection before the competing order was sent": operations(order("a", 0, 1, 1*second, history.Acknowledged), order("c", 1, 3, 2*second, history.Rejected), order("b", 1, 2, 5*second, history.Acknowledged)),
	} {
		t.Run(name, func(t *testing.T) { wantOnly(t, h, history.CheckLinearizable) })
	}
}

func TestCheckLinearizable_manyUnknownOutcomes(t *testing.T) {
	var all []history.Operation
	for i := range uint64(200) {
		at := time.Duration(i) * 250 * time.Millisecond
		all = append(all, order(name("lost", i), i, i+1, at, history.Unknown), order(name("kept", i), i, i+1, at, history.Acknowledged), order(name("late", i), i, i+1, at+120*time.Millisecond, history.Rejected))
	}
	start := time.Now()
	wantOnly(t, operations(all...), "")
	if took := time.Since(start); took > 5*second {
		t.Errorf("the search over 600 operations took %v, want at most %v", took, 5*second)
	}
}

func name(word string, i uint64) string { return word + "-" + time.Duration(i).String() }

func TestCheckOrders_acceptedAndRejected(t *testing.T) {
	accepted := order("a", 0, 1, 1*second, history.Acknowledged)
	wantOnly(t, operations(accepted, order("b", 0, 1, 2*second, history.Rejected)), "")
	wantOnly(t, operations(accepted, order("b", 1, 2, 3*second, history.Acknowledged), order("a", 0, 1, 5*second, history.Rejected)), history.CheckOrders)
	wantOnly(t, operations(order("a", 0, 1, 1*second, history.Unknown), order("a", 0, 1, 2*second, history.Rejected), read("", 0, 2*second)), history.CheckLinearizable)

	invalid := order("x", 0, 1, 1*second, history.Acknowledged)
	invalid.Invalid = true
	if h := operations(invalid); len(h.Check()) == 0 || h.Check()[0].Check != history.CheckOrders {
		t.Errorf("an invalid order was acknowledged: got violations %v, want %q first", h.Check(), history.CheckOrders)
	}
	shown := operations(accepted, order("b", 1, 2, 2*second, history.Rejected))
	shown.Views = append(shown.Views, history.View{Agent: 0, At: 5 * second, Generation: 2, Order: "b"})
	if found := shown.Check(); len(found) == 0 || found[0].Check != history.CheckOrders {
		t.Errorf("an agent shows a rejected order: got violations %v, want %q first", found, history.CheckOrders)
	}
	neverSent := operations(accepted)
	neverSent.Views = append(neverSent.Views, history.View{Agent: 0, At: 5 * second, Generation: 7, Order: "nobody's"})
	wantOnly(t, neverSent, history.CheckOrders)
}

func TestCheckOneBody(t *testing.T) {
	h := operations(order("a", 0, 1, 1*second, history.Acknowledged), order("b", 0, 1, 1*second, history.Unknown))
	wantOnly(t, h, "")
	h.Views = append(h.Views, history.View{Agent: 1, At: 4 * second, Generation: 1, Order: "b"})
	if found := h.Check(); len(found) == 0 || found[0].Check != history.CheckOneBody {
		t.Errorf("an agent shows a second order under generation 1: got violations %v, want %q first", found, history.CheckOneBody)
	}
}

func TestCheckFreshViews(t *testing.T) {
	h := emptyHistory()
	h.Operations = []history.Operation{order("a", 0, 1, 1*second, history.Acknowledged), order("b", 1, 2, 20*second, history.Acknowledged)}
	h.Views = []history.View{{Agent: 0, At: 2 * second, Generation: 1, Order: "a"}, {Agent: 1, At: 2 * second, Generation: 1, Order: "a"},
		{Agent: 0, At: 22 * second, Generation: 2, Order: "b"}}
	late := h
	wantOnly(t, late, history.CheckFreshViews)

	cut := h
	cut.Faults = []history.Fault{{Description: "cut", From: 15 * second, To: 60 * second, Agents: []int{1}}}
	wantOnly(t, cut, "")

	unstable := h
	unstable.Faults = []history.Fault{{Description: "slow", From: 15 * second, To: 60 * second, Core: true, Lasting: true}}
	wantOnly(t, unstable, "")

	stableAgain := h
	stableAgain.Faults = []history.Fault{{Description: "kill", From: 15 * second, To: 21 * second, Core: true}}
	wantOnly(t, stableAgain, history.CheckFreshViews)
}

func TestCheckMonotonicViews(t *testing.T) {
	h := operations(order("a", 0, 1, 1*second, history.Acknowledged), order("b", 1, 2, 2*second, history.Acknowledged))
	h.Faults = []history.Fault{{Description: "cut", From: 4 * second, To: 60 * second, Agents: []int{0}}}
	back := history.View{Agent: 0, At: 30 * second, Generation: 1, Order: "a"}
	h.Views = append(h.Views, back)
	wantOnly(t, h, history.CheckMonotonicViews)
	h.Views[len(h.Views)-1].Incarnation = 1
	wantOnly(t, h, "")
}

func TestCheckDepartures(t *testing.T) {
	h := emptyHistory()
	presence := func(agent int, at time.Duration, state history.State) history.Presence {
		return history.Presence{Agent: agent, At: at, Instance: "i-1", State: state}
	}
	h.Presences = []history.Presence{presence(0, 4*second, history.Ready), presence(1, 4*second, history.Ready), presence(0, 11*second, history.Draining), presence(1, 11*second, history.Absent)}
	h.Departures = []history.Departure{{Instance: "i-1", From: 10 * second, Acknowledged: 10 * second}}
	wantOnly(t, h, "")

	forgotten := h
	forgotten.Presences = append(append([]history.Presence(nil), h.Presences...), presence(1, 30*second, history.Ready))
	wantOnly(t, forgotten, history.CheckDepartures)

	late := h
	late.Presences = h.Presences[:3]
	wantOnly(t, late, history.CheckDepartures)
	late.Departures = []history.Departure{{Instance: "i-1", From: 10 * second}}
	wantOnly(t, late, "")

	again := h
	again.Faults = []history.Fault{{Description: "cut", From: 5 * second, To: 60 * second, Agents: []int{0, 1}}}
	again.Presences = append(append([]history.Presence(nil), h.Presences...), presence(0, 30*second, history.Ready))
	wantOnly(t, again, history.CheckDepartures)
}

func TestCheckRegistrations(t *testing.T) {
	h := emptyHistory()
	h.Heartbeats = []history.Heartbeat{{Instance: "i-1", At: 10 * second}, {Instance: "i-1", At: 11 * second}}
	wantOnly(t, h, history.CheckRegistration)

	h.Presences = []history.Presence{{Agent: 0, At: 10 * second, Instance: "i-1", State: history.Ready}, {Agent: 1, At: 12 * second, Instance: "i-1", State: history.Ready}}
	wantOnly(t, h, "")

	dropped := h
	dropped.Presences = append(append([]history.Presence(nil), h.Presences...), history.Presence{Agent: 0, At: 12500 * time.Millisecond, Instance: "i-1", State: history.Absent})
	wantOnly(t, dropped, history.CheckRegistration)

	left := dropped
	left.Departures = []history.Departure{{Instance: "i-1", From: 12200 * time.Millisecond}}
	wantOnly(t, left, "")

	outOfContact := dropped
	outOfContact.Faults = []history.Fault{{Description: "cut", From: 11500 * time.Millisecond, To: 13 * second, Agents: []int{0}}}
	wantOnly(t, outOfContact, "")
}

func TestCheckServeAgain(t *testing.T) {
	h := operations(order("a", 0, 1, 1*second, history.Acknowledged), order("b", 1, 2, 21*second, history.Unknown), order("b", 1, 2, 30*second, history.Acknowledged))
	h.Faults = []history.Fault{{Description: "kill", From: 20 * second, To: 20500 * time.Millisecond, Core: true}}
	wantOnly(t, h, history.CheckServeAgain)

	served := h
	served.Operations = append(append([]history.Operation(nil), h.Operations...), read("a", 1, 25*second))
	wantOnly(t, served, "")

	disruptedAgain := h
	disruptedAgain.Faults = append(disruptedAgain.Faults, history.Fault{Description: "freeze", From: 24 * second, To: 25 * second, Core: true}, history.Fault{Description: "kill", From: 26 * second, To: 29 * second, Core: true})
	wantOnly(t, disruptedAgain, "")

	withoutCalls := operations(order("a", 0, 1, 1*second, history.Acknowledged))
	withoutCalls.Faults = h.Faults
	wantOnly(t, withoutCalls, "")
}

func TestCheckMajority(t *testing.T) {
	voter := func(id uint64, slot int) history.Voter { return history.Voter{ID: id, Slot: slot, Durable: 10} }
	complete := []history.Voter{voter(1, 0), voter(2, 1), voter(3, 2)}
	lost := history.Fault{Description: "wipe", From: 20 * second, To: 21 * second, Lost: []int{2}, Until: 25 * second}
	wiped := []history.Voter{voter(1, 0), voter(2, 1), {ID: 3, Slot: 2, Lost: true}}
	repaired := []history.Voter{voter(1, 0), voter(2, 1), voter(4, 2)}
	state := func(at time.Duration, voters []history.Voter) history.GroupState {
		return history.GroupState{At: at, Committed: 10, Voters: voters}
	}
	for name, test := range map[string]struct {
		states []history.GroupState
		want   string
	}{
		"all voters present":                             {[]history.GroupState{state(0, complete)}, ""},
		"lost voter replaced in time":                    {[]history.GroupState{state(0, complete), state(20*second, wiped), state(22*second, wiped[:2]), state(23*second, repaired)}, ""},
		"lost voter not replaced":                        {[]history.GroupState{state(0, complete), state(20*second, wiped)}, history.CheckMajority},
		"lost voter removed without a replacement":       {[]history.GroupState{state(0, complete), state(20*second, wiped), state(22*second, wiped[:2])}, history.CheckMajority},
		"voter removed without a fault":                  {[]history.GroupState{state(0, complete), state(40*second, complete[:2])}, history.CheckMajority},
		"healthy voter removed instead of the lost one":  {[]history.GroupState{state(0, complete), state(20*second, wiped), state(21*second, wiped[1:])}, history.CheckMajority},
		"voters promoted before their logs are complete": {[]history.GroupState{state(0, []history.Voter{voter(1, 0), {ID: 2, Slot: 1, Durable: 9}, {ID: 3, Slot: 2, Durable: 9}})}, history.CheckMajority},
	} {
		t.Run(name, func(t *testing.T) {
			h := emptyHistory()
			h.Faults = []history.Fault{lost}
			h.GroupStates = test.states
			wantOnly(t, h, test.want)
		})
	}
	t.Run("all servers lose power", func(t *testing.T) {
		h := emptyHistory()
		h.Faults = []history.Fault{{Description: "power-all", From: 20 * second, To: 21 * second, Lost: []int{0, 1, 2}, Until: 25 * second}}
		h.GroupStates = []history.GroupState{state(0, complete), state(20*second, wiped), state(24*second, repaired)}
		wantOnly(t, h, "")
	})
}
