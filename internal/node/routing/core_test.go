package routing

import (
	"testing"
	"time"

	"ospreybend/balance"
	"ospreybend/internal/node/slottable"
	"ospreybend/internal/node/timerqueue"
)

// fakeAdapters is all that stands round a core in a test.
type fakeAdapters struct {
	now     time.Duration
	line    timerqueue.Queue
	sent    []slottable.Handle
	aborted []slottable.Handle
	answers []Answer
}

func (f *fakeAdapters) Now() time.Duration { return f.now }
func (f *fakeAdapters) Send(step slottable.Handle, _ balance.WorkerID, _ *Work, _ time.Duration) {
	f.sent = append(f.sent, step)
}
func (f *fakeAdapters) Abort(step slottable.Handle)                                   { f.aborted = append(f.aborted, step) }
func (f *fakeAdapters) Probe(balance.WorkerID)                                        {}
func (f *fakeAdapters) CloseIdle(balance.WorkerID)                                    {}
func (f *fakeAdapters) Watch(bool)                                                    {}
func (f *fakeAdapters) Fetch()                                                        {}
func (f *fakeAdapters) SendMessage(int, []byte)                                       {}
func (f *fakeAdapters) Answered(_ slottable.Handle, a Answer)                         { f.answers = append(f.answers, a) }
func (f *fakeAdapters) Started(slottable.Handle, balance.WorkerID)                    {}
func (f *fakeAdapters) StepSent(slottable.Handle, balance.WorkerID)                   {}
func (f *fakeAdapters) StepEnded(slottable.Handle, balance.WorkerID, balance.Outcome) {}
func (f *fakeAdapters) run(until time.Duration) {
	for ; f.now < until; f.now += time.Millisecond {
		f.line.Run(f.now)
	}
}

// newCore has one ready worker, number 7, and one operation with a step out.
func newCore(t *testing.T) (*Core, *fakeAdapters, slottable.Handle) {
	t.Helper()
	f := &fakeAdapters{now: time.Hour}
	c, err := New(balance.Settings{Balancers: 1, Resolution: 2 * time.Millisecond,
		Classes: []balance.Class{{LatencyTarget: time.Second, Timeout: time.Second, Value: 1, Effect: balance.NonIdempotent, Kind: -1}},
		Limits:  balance.Limits{MaxAttempts: 2, Cancel: true}, Rules: balance.Rules{InitialCapacity: 1}}, 1, f, &f.line)
	if err != nil {
		t.Fatal(err)
	}
	c.Connect(f, f, f)
	c.PoolChanged(balance.ListUpdate{Kind: balance.ListFull, Workers: []balance.WorkerListing{{Worker: 7, Scale: 1}}})
	op := c.Accept(Operation{Deadline: f.now + time.Second, Slots: 1, Owner: f})
	c.Route(op)
	if len(f.sent) != 1 {
		t.Fatalf("%d steps sent", len(f.sent))
	}
	return c, f, op
}

// Whatever comes twice or late, an operation gets one answer.
func TestCore_oneFinalAnswer(t *testing.T) {
	c, f, op := newCore(t)
	c.StepEnded(f.sent[0], StepEnd{Outcome: balance.Served, Result: []byte("x")})
	c.StepEnded(f.sent[0], StepEnd{Outcome: balance.Reset})
	c.StepStarted(f.sent[0])
	c.Withdraw(op)
	f.run(f.now + 2*time.Second)
	if len(f.answers) != 1 || f.answers[0].Verdict != Served || c.OpenOperations() != 0 || c.operations.Len() != 0 {
		t.Errorf("answers %v, %d open", f.answers, c.OpenOperations())
	}
}

// With nothing heard the answer comes before the client gives up, the step is
// called off, and the booking may have run: it is failed, not refused.
func TestCore_silenceUntilTheDeadline(t *testing.T) {
	c, f, _ := newCore(t)
	f.run(f.now + time.Second)
	if len(f.answers) != 1 || f.answers[0].Verdict != Failed || !f.answers[0].MayHaveRun || len(f.aborted) != 1 {
		t.Errorf("answers %v, %d steps called off", f.answers, len(f.aborted))
	}
	if c.operations.Len()+c.steps.Len() != 0 {
		t.Error("slots are left in use")
	}
}

// Withdrawn operations get no answer, and their steps are called off.
func TestCore_Withdraw(t *testing.T) {
	c, f, op := newCore(t)
	if !c.MayHaveRun(op) {
		t.Error("a step is out, and nothing may have run")
	}
	c.Withdraw(op)
	f.run(f.now + 2*time.Second)
	if len(f.answers) != 0 || len(f.aborted) != 1 || c.OpenOperations() != 0 {
		t.Errorf("answers %v, %d steps called off", f.answers, len(f.aborted))
	}
}

// A destination told to drain gets nothing new, whatever the module thinks.
func TestCore_nothingNewToADrainingDestination(t *testing.T) {
	c, f, _ := newCore(t)
	if !c.MayStart(f.sent[0]) {
		t.Error("a step to a ready destination may not start")
	}
	c.PoolChanged(balance.ListUpdate{Workers: []balance.WorkerListing{{Worker: 7, Scale: 1, State: balance.Draining}}})
	if c.MayStart(f.sent[0]) {
		t.Error("a step to a draining destination may start")
	}
	op := c.Accept(Operation{Deadline: f.now + time.Second, Slots: 1, Owner: f})
	c.send(op, balance.Send{Request: balance.RequestID(op), Worker: 7})
	if len(f.sent) != 1 {
		t.Error("a step was sent to a draining destination")
	}
}

// gatedOwner is an owner whose steps wait for it.
type gatedOwner struct {
	*fakeAdapters
	open []func(bool)
}

func (g *gatedOwner) BeforeSend(_ slottable.Handle, open func(bool)) { g.open = append(g.open, open) }

// newGated has one ready worker and one operation whose step is before its gate.
func newGated(t *testing.T) (*Core, *gatedOwner, slottable.Handle) {
	t.Helper()
	c, f, first := newCore(t)
	c.StepEnded(f.sent[0], StepEnd{Outcome: balance.Served})
	c.forget(first, &operation{})
	f.sent, f.answers = nil, nil
	g := &gatedOwner{fakeAdapters: f}
	op := c.Accept(Operation{Deadline: f.now + time.Second, Slots: 1, Owner: g})
	c.Route(op)
	if len(g.open) != 1 || len(f.sent) != 0 || c.MayHaveRun(op) {
		t.Fatalf("%d gates, %d steps sent, may have run %v", len(g.open), len(f.sent), c.MayHaveRun(op))
	}
	return c, g, op
}

func TestCore_gateOpens(t *testing.T) {
	c, g, op := newGated(t)
	g.open[0](true)
	g.open[0](true) // a second word changes nothing
	if len(g.sent) != 1 || !c.MayHaveRun(op) {
		t.Fatalf("%d steps sent, may have run %v", len(g.sent), c.MayHaveRun(op))
	}
	c.StepEnded(g.sent[0], StepEnd{Outcome: balance.Served})
	if len(g.answers) != 1 || g.answers[0].Verdict != Served || c.operations.Len() != 0 {
		t.Errorf("%v", g.answers)
	}
}

// What is over, late, or at a destination that drains or is gone does not go out
// when its gate opens at last, and has never run.
func TestCore_gateOpensTooLate(t *testing.T) {
	for name, meanwhile := range map[string]func(c *Core, g *gatedOwner, op slottable.Handle){
		"withdrawn": func(c *Core, _ *gatedOwner, op slottable.Handle) { c.Withdraw(op) },
		"draining": func(c *Core, _ *gatedOwner, _ slottable.Handle) {
			c.PoolChanged(balance.ListUpdate{Workers: []balance.WorkerListing{{Worker: 7, Scale: 1, State: balance.Draining}}})
		},
		"gone": func(c *Core, _ *gatedOwner, _ slottable.Handle) {
			c.PoolChanged(balance.ListUpdate{Kind: balance.ListFull})
		},
		"deadline": func(_ *Core, g *gatedOwner, _ slottable.Handle) { g.run(g.now + 3*time.Second) },
		"refused":  func(_ *Core, g *gatedOwner, _ slottable.Handle) { g.open[0](false) },
	} {
		c, g, op := newGated(t)
		meanwhile(c, g, op)
		g.open[0](true)
		g.run(g.now + 3*time.Second)
		if len(g.sent) != 0 || len(g.aborted) != 0 {
			t.Errorf("%s: %d steps sent, %d called off", name, len(g.sent), len(g.aborted))
		}
		want := 1
		if name == "withdrawn" {
			want = 0
		}
		if len(g.answers) != want || want == 1 && (g.answers[0].MayHaveRun || g.answers[0].Verdict == Served) {
			t.Errorf("%s: answers %+v", name, g.answers)
		}
		if c.operations.Len()+c.steps.Len() != 0 {
			t.Errorf("%s: slots are left in use", name)
		}
	}
}
