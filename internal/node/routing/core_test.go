package routing

import (
	"testing"
	"time"

	"ospreybend/balance"
	"ospreybend/internal/node/slottable"
	"ospreybend/internal/node/timerqueue"
)

// fakeAdapters implements a core's clock and adapters and an owner, and records their calls.
type fakeAdapters struct {
	now     time.Duration
	timers  timerqueue.Queue
	sent    []slottable.Handle
	aborted []slottable.Handle
	answers []Answer
}

func (f *fakeAdapters) Now() time.Duration { return f.now }
func (f *fakeAdapters) Send(step slottable.Handle, _ balance.WorkerID, _ *Work, _ time.Duration) {
	f.sent = append(f.sent, step)
}
func (f *fakeAdapters) Abort(step slottable.Handle) { f.aborted = append(f.aborted, step) }
func (f *fakeAdapters) Probe(balance.WorkerID)      {}
func (f *fakeAdapters) CloseIdle(balance.WorkerID)  {}
func (f *fakeAdapters) Watch(bool)                  {}
func (f *fakeAdapters) Fetch()                      {}
func (f *fakeAdapters) SendMessage(int, []byte)     {}
func (f *fakeAdapters) Answered(_ slottable.Handle, answer Answer) {
	f.answers = append(f.answers, answer)
}
func (f *fakeAdapters) Started(slottable.Handle, balance.WorkerID)                    {}
func (f *fakeAdapters) StepSent(slottable.Handle, balance.WorkerID)                   {}
func (f *fakeAdapters) StepEnded(slottable.Handle, balance.WorkerID, balance.Outcome) {}

// run advances the clock by milliseconds and fires the timers that are due.
func (f *fakeAdapters) run(until time.Duration) {
	for ; f.now < until; f.now += time.Millisecond {
		f.timers.Run(f.now)
	}
}

// newCore returns a core with one ready destination, worker 7, and one operation with a step in flight.
func newCore(t *testing.T) (*Core, *fakeAdapters, slottable.Handle) {
	t.Helper()
	f := &fakeAdapters{now: time.Hour}
	c, err := New(balance.Settings{Balancers: 1, Resolution: 2 * time.Millisecond,
		Classes: []balance.Class{{LatencyTarget: time.Second, Timeout: time.Second, Value: 1, Effect: balance.NonIdempotent, Kind: -1}},
		Limits:  balance.Limits{MaxAttempts: 2, Cancel: true}, Rules: balance.Rules{InitialCapacity: 1}}, 1, f, &f.timers)
	if err != nil {
		t.Fatal(err)
	}
	c.Connect(f, f, f)
	c.PoolChanged(balance.ListUpdate{Kind: balance.ListFull, Workers: []balance.WorkerListing{{Worker: 7, Scale: 1}}})
	operation := c.Accept(Operation{Deadline: f.now + time.Second, Slots: 1, Owner: f})
	c.Route(operation)
	if len(f.sent) != 1 {
		t.Fatalf("Route: got %d steps sent, want 1", len(f.sent))
	}
	return c, f, operation
}

// An operation gets exactly one answer, also if events of its step come twice or late.
func TestCore_oneFinalAnswer(t *testing.T) {
	c, f, operation := newCore(t)
	c.StepEnded(f.sent[0], StepEnd{Outcome: balance.Served, Result: []byte("x")})
	c.StepEnded(f.sent[0], StepEnd{Outcome: balance.Reset})
	c.StepStarted(f.sent[0])
	c.Withdraw(operation)
	f.run(f.now + 2*time.Second)
	if len(f.answers) != 1 || f.answers[0].Verdict != Served || c.OpenOperations() != 0 || c.operations.Len() != 0 {
		t.Errorf("got answers %+v, %d open operations, %d in the table, want one Served answer, 0, 0",
			f.answers, c.OpenOperations(), c.operations.Len())
	}
}

// If the destination does not respond, the operation is answered by its deadline and its step is
// cancelled. As the non-idempotent operation may have run, it is failed, not refused.
func TestCore_noResponseUntilTheDeadline(t *testing.T) {
	c, f, _ := newCore(t)
	f.run(f.now + time.Second)
	if len(f.answers) != 1 || f.answers[0].Verdict != Failed || !f.answers[0].MayHaveRun || len(f.aborted) != 1 {
		t.Errorf("got answers %+v, %d steps aborted, want one Failed answer with MayHaveRun, 1", f.answers, len(f.aborted))
	}
	if c.operations.Len()+c.steps.Len() != 0 {
		t.Errorf("got %d operations and %d steps left in the tables, want none", c.operations.Len(), c.steps.Len())
	}
}

// A withdrawn operation gets no answer, and its step is cancelled.
func TestCore_Withdraw(t *testing.T) {
	c, f, operation := newCore(t)
	if !c.MayHaveRun(operation) {
		t.Error("MayHaveRun with a step in flight: got false, want true")
	}
	c.Withdraw(operation)
	f.run(f.now + 2*time.Second)
	if len(f.answers) != 0 || len(f.aborted) != 1 || c.OpenOperations() != 0 {
		t.Errorf("got answers %+v, %d steps aborted, %d open operations, want none, 1, 0", f.answers, len(f.aborted), c.OpenOperations())
	}
}

// No step is started at a draining destination, whatever the balancer decides.
func TestCore_noStepToADrainingDestination(t *testing.T) {
	c, f, _ := newCore(t)
	if !c.MayStart(f.sent[0]) {
		t.Error("MayStart with a ready destination: got false, want true")
	}
	c.PoolChanged(balance.ListUpdate{Workers: []balance.WorkerListing{{Worker: 7, Scale: 1, State: balance.Draining}}})
	if c.MayStart(f.sent[0]) {
		t.Error("MayStart with a draining destination: got true, want false")
	}
	operation := c.Accept(Operation{Deadline: f.now + time.Second, Slots: 1, Owner: f})
	c.send(operation, balance.Send{Request: balance.RequestID(operation), Worker: 7})
	if len(f.sent) != 1 {
		t.Errorf("send to a draining destination: got %d steps sent in all, want 1", len(f.sent))
	}
}

// gatedOwner is an owner with a Gate.
type gatedOwner struct {
	*fakeAdapters
	open []func(bool)
}

func (g *gatedOwner) BeforeSend(_ slottable.Handle, open func(bool)) { g.open = append(g.open, open) }

// newGated returns a core with one ready destination and one operation whose step waits for its gate.
func newGated(t *testing.T) (*Core, *gatedOwner, slottable.Handle) {
	t.Helper()
	c, f, first := newCore(t)
	c.StepEnded(f.sent[0], StepEnd{Outcome: balance.Served})
	c.removeIfDone(first, &operation{})
	f.sent, f.answers = nil, nil
	g := &gatedOwner{fakeAdapters: f}
	handle := c.Accept(Operation{Deadline: f.now + time.Second, Slots: 1, Owner: g})
	c.Route(handle)
	if len(g.open) != 1 || len(f.sent) != 0 || c.MayHaveRun(handle) {
		t.Fatalf("Route: got %d calls of BeforeSend, %d steps sent, MayHaveRun %v, want 1, 0, false", len(g.open), len(f.sent), c.MayHaveRun(handle))
	}
	return c, g, handle
}

func TestCore_gateOpens(t *testing.T) {
	c, g, operation := newGated(t)
	g.open[0](true)
	g.open[0](true) // a second call has no effect
	if len(g.sent) != 1 || !c.MayHaveRun(operation) {
		t.Fatalf("open(true): got %d steps sent, MayHaveRun %v, want 1, true", len(g.sent), c.MayHaveRun(operation))
	}
	c.StepEnded(g.sent[0], StepEnd{Outcome: balance.Served})
	if len(g.answers) != 1 || g.answers[0].Verdict != Served || c.operations.Len() != 0 {
		t.Errorf("got answers %+v, %d operations in the table, want one Served answer, 0", g.answers, c.operations.Len())
	}
}

// A step whose gate opens only after its operation is withdrawn or past its deadline, or after its
// destination is draining or not listed, is not sent and has not run.
func TestCore_gateOpensTooLate(t *testing.T) {
	for name, meanwhile := range map[string]func(c *Core, g *gatedOwner, operation slottable.Handle){
		"withdrawn": func(c *Core, _ *gatedOwner, operation slottable.Handle) { c.Withdraw(operation) },
		"draining": func(c *Core, _ *gatedOwner, _ slottable.Handle) {
			c.PoolChanged(balance.ListUpdate{Workers: []balance.WorkerListing{{Worker: 7, Scale: 1, State: balance.Draining}}})
		},
		"gone": func(c *Core, _ *gatedOwner, _ slottable.Handle) {
			c.PoolChanged(balance.ListUpdate{Kind: balance.ListFull})
		},
		"deadline": func(_ *Core, g *gatedOwner, _ slottable.Handle) { g.run(g.now + 3*time.Second) },
		"refused":  func(_ *Core, g *gatedOwner, _ slottable.Handle) { g.open[0](false) },
	} {
		c, g, operation := newGated(t)
		meanwhile(c, g, operation)
		g.open[0](true)
		g.run(g.now + 3*time.Second)
		if len(g.sent) != 0 || len(g.aborted) != 0 {
			t.Errorf("%s: got %d steps sent, %d aborted, want none", name, len(g.sent), len(g.aborted))
		}
		wantAnswers := 1
		if name == "withdrawn" {
			wantAnswers = 0
		}
		if len(g.answers) != wantAnswers || wantAnswers == 1 && (g.answers[0].MayHaveRun || g.answers[0].Verdict == Served) {
			t.Errorf("%s: got answers %+v, want %d, neither Served nor with MayHaveRun", name, g.answers, wantAnswers)
		}
		if c.operations.Len()+c.steps.Len() != 0 {
			t.Errorf("%s: got %d operations and %d steps left in the tables, want none", name, c.operations.Len(), c.steps.Len())
		}
	}
}
