package balance

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

// testSettings returns the settings of one of 4 balancers, with a class for each effect and dedup group.
func testSettings(ordinal int) Settings {
	class := func(e Effect, g DedupGroup) Class {
		return Class{LatencyTarget: 300 * time.Millisecond, TargetStretch: 2, Timeout: 4 * time.Second, Value: 1,
			Effect: e, DedupGroup: g, DedupWindow: 2 * time.Second, Kind: -1}
	}
	return Settings{Balancers: 4, Ordinal: ordinal, Resolution: 5 * time.Millisecond, ReportsStart: true,
		Classes: []Class{class(Idempotent, GroupAll), class(Deduplicated, GroupAll), class(Deduplicated, GroupZone),
			class(Deduplicated, GroupCell), class(NonIdempotent, GroupAll)},
		ReportFields: []ReportField{FieldFreeSlots, FieldBacklog},
		Limits:       Limits{MaxAttempts: 4, Cancel: true, Messages: true},
		Rules: Rules{AnswerSlack: 20 * time.Millisecond, SubscribeWithin: 10 * time.Second,
			DrainGrace: 250 * time.Millisecond, InitialCapacity: 0.3, WarmupTime: 8 * time.Second, OverloadMultiple: 3,
			OverloadTime: 2 * time.Second}}
}

func newTestBalancer(t *testing.T, s Settings, seed uint64) *Balancer {
	t.Helper()
	b, err := New(s, seed)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func testListing(id WorkerID) WorkerListing {
	return WorkerListing{Worker: id, Zone: int(id % 2), Cell: int(id % 4), State: Ready, Scale: 4}
}

func workerList(kind ListKind, n int) ListUpdate {
	up := ListUpdate{Kind: kind}
	for id := range n {
		up.Workers = append(up.Workers, testListing(WorkerID(id+1)))
	}
	return up
}

// trackedRequest is what the checker knows of a request.
type trackedRequest struct {
	request  Request
	attempts []trackedAttempt
	finished bool
}

type trackedAttempt struct {
	worker       WorkerID
	sentAt       time.Duration
	inFlight     bool
	provedNotRun bool // its outcome proves that it did not run
	outcome      Outcome
}

// checker checks a balancer's events and actions against the four rules. It shares no code with it.
type checker struct {
	settings   Settings
	requests   map[RequestID]*trackedRequest
	listed     map[WorkerID]WorkerListing
	violations []string // found so far
}

func newChecker(s Settings) *checker {
	return &checker{settings: s, requests: map[RequestID]*trackedRequest{}, listed: map[WorkerID]WorkerListing{}}
}

func (c *checker) violation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

func (c *checker) event(ev Event) {
	switch ev := ev.(type) {
	case ListUpdate:
		if ev.Kind == ListFull {
			clear(c.listed)
		}
		for _, l := range ev.Workers {
			c.listed[l.Worker] = l
		}
	case Request:
		c.requests[ev.ID] = &trackedRequest{request: ev}
	case AttemptDone:
		r := c.requests[ev.Request]
		a := &r.attempts[ev.Attempt]
		a.inFlight, a.outcome = false, ev.Outcome
		a.provedNotRun = ev.Outcome == Full || ev.Outcome == ConnectFailed || ev.Outcome == NotSent
		r.finished = r.finished || ev.Over
	case RequestEnded:
		c.requests[ev.Request].finished = true
	}
}

func (c *checker) action(now time.Duration, a Action) {
	switch a := a.(type) {
	case Send:
		c.send(now, a)
	case Reject:
		r := c.requests[a.Request]
		class := c.settings.Classes[r.request.Class]
		if class.Effect == NonIdempotent || class.Effect == Deduplicated && class.DedupGroup != GroupAll {
			for _, at := range r.attempts {
				if !at.provedNotRun {
					c.violation("rule 2: request %d rejected although it may have run", a.Request)
				}
			}
		}
		c.finalResponse(now, r)
	case Fail:
		c.finalResponse(now, c.requests[a.Request])
	}
}

func (c *checker) finalResponse(now time.Duration, r *trackedRequest) {
	if r.finished {
		c.violation("rule 1: request %d got a second final response", r.request.ID)
	}
	if now > r.request.Deadline {
		late := now - r.request.Deadline
		c.violation("rule 1: request %d got its final response %v after its deadline", r.request.ID, late)
	}
	r.finished = true
}

func (c *checker) send(now time.Duration, a Send) {
	r := c.requests[a.Request]
	if r.finished || now >= r.request.Deadline {
		c.violation("rule 1: request %d sent after its final response or deadline", a.Request)
	}
	l, ok := c.listed[a.Worker]
	if !ok || l.State != Ready {
		c.violation("rule 3: request %d sent to a worker that is not listed as ready", a.Request)
	}
	class := c.settings.Classes[r.request.Class]
	for _, at := range r.attempts {
		if at.inFlight && !c.settings.Limits.HedgedRequests {
			c.violation("rule 2: request %d has two attempts in flight, but hedging is off", a.Request)
		}
		if at.provedNotRun {
			continue
		}
		first := testListing(at.worker)
		switch {
		case class.Effect == NonIdempotent:
			c.violation("rule 2: non-idempotent request %d sent again although it may have run", a.Request)
		case class.Effect == Deduplicated && now > at.sentAt+class.DedupWindow:
			c.violation("rule 2: deduplicated request %d sent again after its window", a.Request)
		case class.Effect == Deduplicated && class.DedupGroup == GroupZone && l.Zone != first.Zone,
			class.Effect == Deduplicated && class.DedupGroup == GroupCell && l.Cell != first.Cell:
			c.violation("rule 2: deduplicated request %d sent to a worker outside its group", a.Request)
		}
		break
	}
	r.attempts = append(r.attempts, trackedAttempt{worker: a.Worker, sentAt: now, inFlight: true})
	if len(r.attempts) > c.settings.Limits.MaxAttempts {
		c.violation("request %d has %d attempts, more than MaxAttempts", a.Request, len(r.attempts))
	}
}

// checkUnanswered checks that no request is past its deadline without a final response.
func (c *checker) checkUnanswered(now time.Duration) {
	for id, r := range c.requests {
		if !r.finished && now > r.request.Deadline {
			c.violation("rule 1: request %d got no final response by its deadline", id)
		}
	}
}

// driver passes events to a balancer, at random if step is called, and keeps and checks its actions.
type driver struct {
	balancer    *Balancer
	checker     *checker
	rng         *rand.Rand
	now         time.Duration
	timers      []SetTimer // After is the clock time of the expiry
	lastRequest RequestID
	actions     []Action
}

func (d *driver) handle(ev Event) {
	d.checker.event(ev)
	for _, a := range d.balancer.Handle(d.now, ev) {
		d.actions = append(d.actions, a)
		d.checker.action(d.now, a)
		if t, ok := a.(SetTimer); ok {
			d.timers = append(d.timers, SetTimer{max(d.now+t.After, d.now+1), t.Token})
		}
	}
}

func (d *driver) fireTimers() {
	due := d.timers
	d.timers = nil
	for _, t := range due {
		if t.After <= d.now {
			d.handle(TimerFired{t.Token})
		} else {
			d.timers = append(d.timers, t)
		}
	}
}

// endAttempt ends an attempt with a random outcome.
func (d *driver) endAttempt(id RequestID, attempt int) {
	r := d.checker.requests[id]
	at := r.attempts[attempt]
	outcome := Outcome(d.rng.IntN(8))
	ev := AttemptDone{Request: id, Attempt: attempt, Worker: at.worker, Outcome: outcome,
		Elapsed: d.now - at.sentAt, Over: r.finished || outcome == Served}
	if d.rng.IntN(2) == 0 {
		ev.Report = []float32{float32(d.rng.IntN(5)), float32(d.rng.IntN(3))}
	}
	d.handle(ev)
}

// updateList sends a random list update: usually of one worker, sometimes of all.
func (d *driver) updateList() {
	l := testListing(WorkerID(1 + d.rng.IntN(12)))
	l.State = State(d.rng.IntN(3))
	if d.rng.IntN(3) == 0 {
		l.Started = d.now
	}
	if d.rng.IntN(10) == 0 {
		d.handle(workerList(ListFull, 6+d.rng.IntN(7)))
		return
	}
	d.handle(ListUpdate{Kind: ListChanges, Workers: []WorkerListing{l}})
}

// step advances the clock by 5 ms and passes random events.
func (d *driver) step() {
	d.now += 5 * time.Millisecond
	d.fireTimers()
	if d.rng.IntN(3) == 0 {
		d.lastRequest++
		lifetime := time.Duration(1+d.rng.IntN(4000)) * time.Millisecond
		d.handle(Request{ID: d.lastRequest, Class: d.rng.IntN(5), HasCost: d.rng.IntN(2) == 0,
			Key: uint64(d.rng.IntN(5)), Cost: time.Duration(d.rng.IntN(300)) * time.Millisecond,
			Slots:    float64(1 + d.rng.IntN(2)),
			Deadline: d.now + lifetime + 100*time.Millisecond})
	}
	for id := max(1, d.lastRequest-300); id <= d.lastRequest; id++ {
		r := d.checker.requests[id]
		for i := range r.attempts {
			if r.attempts[i].inFlight && d.rng.IntN(40) == 0 {
				d.endAttempt(id, i)
			}
		}
		if !r.finished && d.rng.IntN(2000) == 0 {
			d.handle(RequestEnded{id})
			d.handle(RequestEnded{id})
		}
	}
	if d.rng.IntN(50) == 0 {
		d.updateList()
	}
}

// driveRandomly passes random events for 10 s and then fires the timers for another 5 s.
func driveRandomly(t *testing.T, seed uint64) *driver {
	t.Helper()
	s := testSettings(1)
	d := &driver{balancer: newTestBalancer(t, s, seed), checker: newChecker(s),
		rng: rand.New(rand.NewPCG(seed, 1))}
	d.handle(workerList(ListCached, 12))
	for range 2000 {
		d.step()
	}
	for range 1000 {
		d.now += 5 * time.Millisecond
		d.fireTimers()
	}
	d.checker.checkUnanswered(d.now)
	return d
}

func TestBalancer_rulesHoldOnRandomEvents(t *testing.T) {
	for seed := range uint64(20) {
		d := driveRandomly(t, seed)
		for _, violation := range d.checker.violations {
			t.Errorf("seed %d: %s", seed, violation)
		}
		sends := 0
		for _, a := range d.actions {
			if _, ok := a.(Send); ok {
				sends++
			}
		}
		if sends < 50 { // few, as after random outcomes the balancer soon rejects most requests
			t.Errorf("seed %d: got %d sends, want at least 50", seed, sends)
		}
		if n := len(d.balancer.requests); n > 400 {
			t.Errorf("seed %d: got %d requests left at the end, want at most 400", seed, n)
		}
	}
}

func TestBalancer_sameEventsSameActions(t *testing.T) {
	if !reflect.DeepEqual(driveRandomly(t, 5).actions, driveRandomly(t, 5).actions) {
		t.Error("two runs with the same seed and events: got different actions, want the same")
	}
}

// The checker finds the violations in the actions of a balancer that breaks a rule, and no others.
func TestChecker_detectsBrokenRules(t *testing.T) {
	done := func(o Outcome) Event { return AttemptDone{Request: 1, Worker: 1, Outcome: o} }
	draining := ListUpdate{Kind: ListChanges, Workers: []WorkerListing{{Worker: 2, State: Draining}}}
	sendTo := func(w WorkerID) Action { return Send{Request: 1, Worker: w} }
	cases := map[string]struct {
		class     int
		steps     []any // events, actions and advances of the clock
		violation bool
	}{
		"two final responses":              {0, []any{Fail{1}, Fail{1}}, true},
		"sent after the final response":    {0, []any{Fail{1}, sendTo(1)}, true},
		"two attempts in flight":           {0, []any{sendTo(1), sendTo(2)}, true},
		"idempotent, again":                {0, []any{sendTo(1), done(Errored), sendTo(2)}, false},
		"non-idempotent, again":            {4, []any{sendTo(1), done(Errored), sendTo(2)}, true},
		"non-idempotent, again after Full": {4, []any{sendTo(1), done(Full), sendTo(2)}, false},
		"non-idempotent, rejected":         {4, []any{sendTo(1), done(TimedOut), Reject{Request: 1}}, true},
		"other zone than the group":        {2, []any{sendTo(1), done(Reset), sendTo(2)}, true},
		"zone of the group":                {2, []any{sendTo(1), done(Reset), sendTo(3)}, false},
		"other cell than the group":        {3, []any{sendTo(1), done(Reset), sendTo(3)}, true},
		"deduplicated, window over":        {1, []any{sendTo(1), done(Reset), 3 * time.Second, sendTo(3)}, true},
		"deduplicated by all, rejected":    {1, []any{sendTo(1), done(Reset), Reject{Request: 1}}, false},
		"deduplicated by a zone, rejected": {2, []any{sendTo(1), done(Reset), Reject{Request: 1}}, true},
		"sent to a draining worker":        {0, []any{draining, sendTo(2)}, true},
		"no final response":                {0, []any{5 * time.Second}, true},
	}
	for name, tc := range cases {
		c, now := newChecker(testSettings(0)), time.Duration(0)
		c.event(workerList(ListFull, 4))
		c.event(Request{ID: 1, Class: tc.class, Deadline: 4 * time.Second})
		for _, step := range tc.steps {
			switch step := step.(type) {
			case Event:
				c.event(step)
			case Action:
				c.action(now, step)
			case time.Duration:
				now += step
			}
		}
		c.checkUnanswered(now)
		if got := len(c.violations) > 0; got != tc.violation {
			t.Errorf("%s: got violations %q, want any: %v", name, c.violations, tc.violation)
		}
	}
}

func TestNew_rejectsInvalidSettings(t *testing.T) {
	for name, invalidate := range map[string]func(*Settings){
		"Balancers 0":         func(s *Settings) { s.Balancers = 0 },
		"Ordinal too large":   func(s *Settings) { s.Ordinal = 4 },
		"no class":            func(s *Settings) { s.Classes = nil },
		"MaxAttempts 0":       func(s *Settings) { s.Limits.MaxAttempts = 0 },
		"InitialCapacity 1.5": func(s *Settings) { s.Rules.InitialCapacity = 1.5 },
		"negative Resolution": func(s *Settings) { s.Resolution = -1 },
		"Timeout 0":           func(s *Settings) { s.Classes[0].Timeout = 0 },
	} {
		s := testSettings(0)
		invalidate(&s)
		if _, err := New(s, 1); err == nil {
			t.Errorf("%s: New returned no error", name)
		}
	}
}
