package jobs

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"ospreybend/balance"
	"ospreybend/drmaa"
	"ospreybend/internal/node/routing"
	"ospreybend/internal/node/slottable"
	"ospreybend/internal/node/timerqueue"
)

// fixture is a manager with a fake core, an in-memory store and a fake clock. Calls of the store are
// queued until the test runs them.
type fixture struct {
	t       testingT
	now     time.Duration
	timers  timerqueue.Queue
	core    *fakeCore
	store   *memoryStore
	manager *Manager
	calls   []call
	quota   int

	classes  map[string]int
	settings balance.Settings
}

// testingT is a *testing.T or a *rapid.T.
type testingT interface {
	Helper()
	Fatal(...any)
	Fatalf(string, ...any)
}

// call is a queued call of the store.
type call struct {
	do   func(context.Context, Store) error
	then func(error)
}

// callResult is how a call of the store ends.
type callResult uint8

const (
	callSucceeds          callResult = iota
	callFails                        // the store does nothing
	callSucceedsReplyLost            // the store executes the call, but the caller gets an error
)

var errStore = errors.New("injected store failure")

// Now implements routing.Clock.
func (r *fixture) Now() time.Duration { return r.now }

// Call implements StoreExecutor: it queues a call for runStoreCall.
func (r *fixture) Call(do func(context.Context, Store) error, then func(error)) bool {
	r.calls = append(r.calls, call{do, then})
	return true
}

// runStoreCall runs the oldest queued call of the store. It returns false if there is none.
func (r *fixture) runStoreCall(result callResult) bool {
	if len(r.calls) == 0 {
		return false
	}
	c := r.calls[0]
	r.calls = r.calls[1:]
	err := errStore
	if result != callFails {
		err = c.do(context.Background(), r.store)
	}
	if result == callSucceedsReplyLost {
		err = errStore
	}
	c.then(err)
	return true
}

// runStoreCalls runs queued calls of the store until there are none.
func (r *fixture) runStoreCalls() {
	for r.runStoreCall(callSucceeds) {
	}
}

// advance advances the clock and runs the timers that expire.
func (r *fixture) advance(span time.Duration) {
	for end := r.now + span; r.now < end; {
		at, ok := r.timers.Next()
		if !ok || at > end {
			at = end
		}
		r.now = max(r.now, at)
		r.timers.Run(r.now)
	}
}

// Names of the job classes.
const idempotentClass, nonIdempotentClass = "pruefen", "buchen"

func newFixture(t testingT) *fixture {
	r := &fixture{t: t, now: 1000 * time.Hour, store: newMemoryStore(), quota: 20_000, classes: map[string]int{idempotentClass: 0, nonIdempotentClass: 1}}
	r.settings = balance.Settings{Classes: []balance.Class{{Timeout: 10 * time.Second, Effect: balance.Idempotent},
		{Timeout: 10 * time.Second, Effect: balance.NonIdempotent}}, ReportFields: []balance.ReportField{balance.FieldBacklog, balance.FieldFreeSlots}}
	r.store.tenants = []Tenant{{Name: "anna", TokenHash: "a", Quota: r.quota}, {Name: "ben", TokenHash: "b", Quota: 2}}
	r.store.sessions = map[[2]string]string{{"anna", "s"}: SessionOpen, {"ben", "s"}: SessionOpen}
	r.start()
	return r
}

// start simulates a start or restart of the program: a new manager loads the stored state.
func (r *fixture) start() {
	r.calls, r.timers = nil, timerqueue.Queue{}
	r.core = &fakeCore{fixture: r, ready: true, ops: map[slottable.Handle]*fakeOp{}}
	r.manager = New(Config{Machine: "n", Classes: r.classes, Settings: r.settings, MaxSlots: 64, DelayTarget: DefaultDelayTarget,
		MaxWait: time.Hour, MaxEvents: 64, MaxEndedJobs: 8, WorkerName: func(w balance.WorkerID) string { return string(rune('a' + w)) }},
		r.core, r, r, &r.timers)
	var sessions []SessionRecord
	for key, state := range r.store.sessions {
		sessions = append(sessions, SessionRecord{key[0], key[1], state})
	}
	records, arrays, err := r.store.Unfinished(context.Background())
	if err != nil {
		r.t.Fatal(err)
	}
	r.manager.Load(r.store.tenants, sessions, records, arrays)
	r.timers.Run(r.now)
}

func (r *fixture) anna() *TenantState { return r.manager.tenants["anna"] }

// submit submits a job of tenant anna and runs the calls of the store.
func (r *fixture) submit(t drmaa.JobTemplate) *Job {
	r.t.Helper()
	var got *Job
	r.manager.Submit(r.anna(), "s", &t, func(job *Job, e *drmaa.Error) {
		if e != nil {
			r.t.Fatal(e)
		}
		got = job
	})
	r.runStoreCalls()
	return got
}

// submitBulk submits a job array of tenant anna and runs the calls of the store.
func (r *fixture) submitBulk(b drmaa.Bulk) *Array {
	r.t.Helper()
	if e := b.Validate(); e != nil {
		r.t.Fatal(e)
	}
	var got *Array
	r.manager.SubmitBulk(r.anna(), "s", &b, func(a *Array, e *drmaa.Error) {
		if e != nil {
			r.t.Fatal(e)
		}
		got = a
	})
	r.runStoreCalls()
	return got
}

// act performs an action on a job, runs the calls of the store and returns the action's error.
func (r *fixture) act(job *Job, action string) *drmaa.Error {
	r.t.Helper()
	var out *drmaa.Error
	called := 0
	r.manager.Act(job, action, func(e *drmaa.Error) { out = e; called++ })
	r.runStoreCalls()
	if called != 1 {
		r.t.Fatalf("callback of action %s called %d times, want once", action, called)
	}
	return out
}

// checkState fails the test if a job is not in the wanted state.
func (r *fixture) checkState(job *Job, want drmaa.State) {
	r.t.Helper()
	if job.State != want {
		r.t.Fatalf("job %s: got state %s (%s), want %s", job.ID, job.State, job.Reason, want)
	}
}

// fakeCore is a core whose steps and operations the test controls.
type fakeCore struct {
	fixture *fixture
	ops     map[slottable.Handle]*fakeOp
	last    slottable.Handle
	ready   bool
}

// fakeOp is an operation of fakeCore.
type fakeOp struct {
	routing.Operation
	inFlight     int // steps that were sent and have not ended
	awaitingGate int // steps waiting for BeforeSend
	mayHaveRun   bool
	started      bool
}

func (c *fakeCore) Accept(operation routing.Operation) slottable.Handle {
	c.last++
	c.ops[c.last] = &fakeOp{Operation: operation}
	return c.last
}
func (c *fakeCore) Route(slottable.Handle)           {}
func (c *fakeCore) Withdraw(handle slottable.Handle) { delete(c.ops, handle) }
func (c *fakeCore) AnyReady() bool                   { return c.ready }
func (c *fakeCore) MayHaveRun(handle slottable.Handle) bool {
	op := c.ops[handle]
	return op != nil && (op.mayHaveRun || op.inFlight > 0)
}
func (c *fakeCore) EachWorker(f func(balance.WorkerID, balance.State, float64)) {
	f(1, balance.Ready, 0.25)
	f(0, balance.Draining, 0)
}

// operationOf returns a job's operation.
func (c *fakeCore) operationOf(job *Job) *fakeOp { return c.ops[job.operation] }

// beginSend starts to send a step, which is sent once the store has recorded the job as sent.
func (c *fakeCore) beginSend(job *Job, to balance.WorkerID) { c.beginSendThen(job, to, func() {}) }

// beginSendThen is like beginSend and calls onSent after the step was sent.
func (c *fakeCore) beginSendThen(job *Job, to balance.WorkerID, onSent func()) {
	handle, op := job.operation, c.operationOf(job)
	op.awaitingGate++
	c.fixture.manager.StepSent(handle, to)
	c.fixture.manager.BeforeSend(handle, func(ok bool) {
		if c.ops[handle] != op {
			return // the operation has ended or was withdrawn
		}
		op.awaitingGate--
		if !ok {
			c.fixture.manager.StepEnded(handle, to, balance.NotSent)
			return
		}
		op.inFlight++
		onSent()
	})
}

// sendStep sends a step and runs the calls of the store, so that it is sent before sendStep returns.
func (c *fakeCore) sendStep(job *Job, to balance.WorkerID) {
	c.beginSend(job, to)
	c.fixture.runStoreCalls()
}

// startStep reports that a worker has started a step.
func (c *fakeCore) startStep(job *Job, at balance.WorkerID) {
	c.operationOf(job).started = true
	c.fixture.manager.Started(job.operation, at)
	c.fixture.manager.StartDelay(c.fixture.manager, 0)
}

// endStep reports the outcome of a step.
func (c *fakeCore) endStep(job *Job, at balance.WorkerID, outcome balance.Outcome) {
	op := c.operationOf(job)
	op.inFlight--
	op.mayHaveRun = op.mayHaveRun || !outcome.NeverRan()
	c.fixture.manager.StepEnded(job.operation, at, outcome)
}

// answer ends a job's operation with a final answer.
func (c *fakeCore) answer(job *Job, a routing.Answer) {
	handle := job.operation
	a.MayHaveRun = c.MayHaveRun(handle)
	delete(c.ops, handle)
	c.fixture.manager.Answered(handle, a)
	c.fixture.manager.OperationConcluded(c.fixture.manager, a.Verdict)
}

// serve runs a job at worker 0 until it is done.
func (c *fakeCore) serve(job *Job) {
	c.sendStep(job, 0)
	c.startStep(job, 0)
	c.endStep(job, 0, balance.Served)
	c.answer(job, routing.Answer{Verdict: routing.Served, Result: []byte("fine")})
	c.fixture.runStoreCalls()
}

// memoryStore is an in-memory Store.
type memoryStore struct {
	tenants  []Tenant
	sessions map[[2]string]string
	jobs     map[string]*Record
	arrays   map[string]*ArrayRecord
	reaped   map[string]bool
	finals   int
}

func newMemoryStore() *memoryStore {
	return &memoryStore{jobs: map[string]*Record{}, arrays: map[string]*ArrayRecord{}, reaped: map[string]bool{}}
}

func (s *memoryStore) Tenants(context.Context) ([]Tenant, error)         { return s.tenants, nil }
func (s *memoryStore) PutTenant(context.Context, Tenant) error           { return nil }
func (s *memoryStore) Sessions(context.Context) ([]SessionRecord, error) { return nil, nil }
func (s *memoryStore) Close() error                                      { return nil }

func (s *memoryStore) PutSession(_ context.Context, r SessionRecord) error {
	s.sessions[[2]string{r.Tenant, r.Name}] = r.State
	return nil
}

func (s *memoryStore) DropSession(_ context.Context, tenant, name string) error {
	delete(s.sessions, [2]string{tenant, name})
	for id, r := range s.jobs {
		if r.Tenant == tenant && r.Session == name {
			s.reaped[id] = true
		}
	}
	return nil
}

func (s *memoryStore) Insert(_ context.Context, subs []*Submission) ([]ExistingSubmission, error) {
	out := make([]ExistingSubmission, len(subs))
next:
	for i, sub := range subs {
		key, tenant := sub.Jobs[0].ClientKey, sub.Jobs[0].Tenant
		if sub.Array != nil {
			key = sub.Array.ClientKey
		}
		if key != "" {
			for _, r := range s.jobs {
				if r.Tenant == tenant && r.ClientKey == key {
					out[i].Job = r
					continue next
				}
			}
			for _, a := range s.arrays {
				if a.Tenant == tenant && a.ClientKey == key {
					out[i].Array = a
					continue next
				}
			}
		}
		if sub.Array != nil {
			s.arrays[sub.Array.ID] = sub.Array
		}
		for _, r := range sub.Jobs {
			s.jobs[r.ID] = r
		}
	}
	return out, nil
}

func (s *memoryStore) Update(_ context.Context, updates []RecordUpdate) error {
	for _, update := range updates {
		if r := s.jobs[update.ID]; r.EndedAt == 0 {
			r.Sent, r.Held = update.Sent, update.Held
		}
	}
	return nil
}

func (s *memoryStore) Finish(_ context.Context, records []*Record) error {
	for _, in := range records {
		if r := s.jobs[in.ID]; r.EndedAt == 0 {
			held, sent := r.Held, r.Sent
			*r = *in
			r.Held, r.Sent = held, sent
			s.finals++
		}
	}
	return nil
}

func (s *memoryStore) Reap(_ context.Context, selector ReapSelector) (n int, err error) {
	for id, r := range s.jobs {
		if r.EndedAt > 0 && !s.reaped[id] && (selector.Array != "" && r.Array == selector.Array || slices.Contains(selector.IDs, id)) {
			s.reaped[id] = true
			n++
		}
	}
	return n, nil
}

func (s *memoryStore) Job(_ context.Context, tenant, id string) (*Record, error) {
	if r := s.jobs[id]; r != nil && r.Tenant == tenant && !s.reaped[id] {
		return r, nil
	}
	return nil, nil
}

func (s *memoryStore) Array(_ context.Context, tenant, id string) (*ArrayRecord, error) {
	a := s.arrays[id]
	if a == nil || a.Tenant != tenant {
		return nil, nil
	}
	out := *a
	out.States = map[drmaa.State]int{}
	for _, r := range s.jobs {
		if r.Array == id {
			out.States[r.State]++
		}
	}
	return &out, nil
}

func (s *memoryStore) all(f func(*Record) bool) (out []*Record) {
	for id, r := range s.jobs {
		if !s.reaped[id] && f(r) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *Record) int { return cmp.Or(cmp.Compare(b.Seq, a.Seq), cmp.Compare(a.ID, b.ID)) })
	return out
}

func (s *memoryStore) Jobs(_ context.Context, tenant, session string, f drmaa.Filter, limit int) ([]*Record, error) {
	all := s.all(func(r *Record) bool {
		older := f.Before == drmaa.Cursor{} || r.Seq < f.Before.Seq || r.Seq == f.Before.Seq && r.ID > f.Before.ID
		return r.Tenant == tenant && (session == "" || r.Session == session) && older
	})
	return all[:min(len(all), limit)], nil
}

func (s *memoryStore) AnyEnded(_ context.Context, tenant, session, array string) (*Record, error) {
	all := s.all(func(r *Record) bool {
		return r.Tenant == tenant && r.Session == session && r.EndedAt > 0 && (array == "" || r.Array == array)
	})
	if len(all) == 0 {
		return nil, nil
	}
	return all[0], nil
}

func (s *memoryStore) Undecided(_ context.Context, classes []string, after drmaa.Cursor, limit int) ([]*Record, error) {
	all := s.all(func(r *Record) bool {
		return r.State == drmaa.Failed && r.MayHaveRun && r.Settled.At == 0 && r.ExitStatus < 0 && slices.Contains(classes, r.Template.RemoteCommand) &&
			(r.Seq > after.Seq || r.Seq == after.Seq && r.ID > after.ID)
	})
	slices.Reverse(all)
	return all[:min(len(all), limit)], nil
}

func (s *memoryStore) Settle(_ context.Context, id string, v Settlement) (bool, error) {
	r := s.jobs[id]
	if r == nil || r.State != drmaa.Failed || !r.MayHaveRun || r.Settled.At > 0 {
		return false, nil
	}
	r.Settled = v
	return true, nil
}

func (s *memoryStore) Unfinished(ctx context.Context) ([]*Record, []*ArrayRecord, error) {
	all := s.all(func(r *Record) bool { return r.EndedAt == 0 })
	slices.Reverse(all)
	var arrays []*ArrayRecord
	seen := map[string]bool{}
	for i, r := range all {
		copied := *r
		all[i] = &copied
		if r.Array != "" && !seen[r.Array] {
			seen[r.Array] = true
			a, _ := s.Array(ctx, r.Tenant, r.Array)
			arrays = append(arrays, a)
		}
	}
	return all, arrays, nil
}
