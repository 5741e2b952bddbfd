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

// fixture is a manager with a scripted core and a store in memory, whose calls run when the test
// says so.
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

type call struct {
	do   func(context.Context, Store) error
	then func(error)
}

// callResult is how a call of the store ends.
type callResult uint8

const (
	callSucceeds           callResult = iota
	callFails                         // nothing is done
	callSucceedsAnswerLost            // all is done, and the answer is lost
)

var errStore = errors.New("the store is away")

func (r *fixture) Now() time.Duration { return r.now }

// Call implements StoreExecutor: it queues a call for runStoreCall.
func (r *fixture) Call(do func(context.Context, Store) error, then func(error)) bool {
	r.calls = append(r.calls, call{do, then})
	return true
}

// runStoreCall runs the first queued call of the store. It returns false if there is none.
func (r *fixture) runStoreCall(how callResult) bool {
	if len(r.calls) == 0 {
		return false
	}
	c := r.calls[0]
	r.calls = r.calls[1:]
	err := errStore
	if how != callFails {
		err = c.do(context.Background(), r.store)
	}
	if how == callSucceedsAnswerLost {
		err = errStore
	}
	c.then(err)
	return true
}

func (r *fixture) runStoreCalls() {
	for r.runStoreCall(callSucceeds) {
	}
}

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

const safe, once = "pruefen", "buchen"

func newFixture(t testingT) *fixture {
	r := &fixture{t: t, now: 1000 * time.Hour, store: newMemoryStore(), quota: 20_000, classes: map[string]int{safe: 0, once: 1}}
	r.settings = balance.Settings{Classes: []balance.Class{{Timeout: 10 * time.Second, Effect: balance.Idempotent},
		{Timeout: 10 * time.Second, Effect: balance.NonIdempotent}}, ReportFields: []balance.ReportField{balance.FieldBacklog, balance.FieldFreeSlots}}
	r.store.tenants = []Tenant{{Name: "anna", TokenHash: "a", Quota: r.quota}, {Name: "ben", TokenHash: "b", Quota: 2}}
	r.store.sessions = map[[2]string]string{{"anna", "s"}: SessionOpen, {"ben", "s"}: SessionOpen}
	r.start()
	return r
}

// start starts the program, or restarts it with the state that the store has.
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

// submit submits a job and records it.
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

func (r *fixture) bulk(b drmaa.Bulk) *Array {
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

// act performs an action and returns its error.
func (r *fixture) act(job *Job, action string) *drmaa.Error {
	r.t.Helper()
	var out *drmaa.Error
	called := 0
	r.manager.Act(job, action, func(e *drmaa.Error) { out = e; called++ })
	r.runStoreCalls()
	if called != 1 {
		r.t.Fatalf("%s answered %d times", action, called)
	}
	return out
}

func (r *fixture) state(job *Job, want drmaa.State) {
	r.t.Helper()
	if job.State != want {
		r.t.Fatalf("job %s is %s (%s), not %s", job.ID, job.State, job.Reason, want)
	}
}

// fakeCore is a core whose operations end as the test says.
type fakeCore struct {
	fixture *fixture
	ops     map[slottable.Handle]*fakeOp
	last    slottable.Handle
	ready   bool
}

type fakeOp struct {
	routing.Operation
	out   int // steps out
	gated int // steps before the gate
	ran   bool
	begun bool
}

func (c *fakeCore) Accept(handle routing.Operation) slottable.Handle {
	c.last++
	c.ops[c.last] = &fakeOp{Operation: handle}
	return c.last
}
func (c *fakeCore) Route(slottable.Handle)        {}
func (c *fakeCore) Withdraw(ref slottable.Handle) { delete(c.ops, ref) }
func (c *fakeCore) AnyReady() bool                { return c.ready }
func (c *fakeCore) MayHaveRun(ref slottable.Handle) bool {
	handle := c.ops[ref]
	return handle != nil && (handle.ran || handle.out > 0)
}
func (c *fakeCore) EachWorker(f func(balance.WorkerID, balance.State, float64)) {
	f(1, balance.Ready, 0.25)
	f(0, balance.Draining, 0)
}

// of returns a job's operation.
func (c *fakeCore) of(job *Job) *fakeOp { return c.ops[job.operation] }

// step sends a step, once the store has the job as sent.
func (c *fakeCore) step(job *Job, to balance.WorkerID) { c.stepThen(job, to, func() {}) }

func (c *fakeCore) stepThen(job *Job, to balance.WorkerID, out func()) {
	ref, handle := job.operation, c.of(job)
	handle.gated++
	c.fixture.manager.StepSent(ref, to)
	c.fixture.manager.BeforeSend(ref, func(ok bool) {
		if c.ops[ref] != handle {
			return // the step has ended meanwhile
		}
		handle.gated--
		if !ok {
			c.fixture.manager.StepEnded(ref, to, balance.NotSent)
			return
		}
		handle.out++
		out()
	})
}

// sent sends a step at once.
func (c *fakeCore) sent(job *Job, to balance.WorkerID) {
	c.step(job, to)
	c.fixture.runStoreCalls()
}

func (c *fakeCore) begin(job *Job, at balance.WorkerID) {
	c.of(job).begun = true
	c.fixture.manager.Started(job.operation, at)
	c.fixture.manager.StartDelay(c.fixture.manager, 0)
}

func (c *fakeCore) stepDone(job *Job, at balance.WorkerID, how balance.Outcome) {
	handle := c.of(job)
	handle.out--
	handle.ran = handle.ran || !how.NeverRan()
	c.fixture.manager.StepEnded(job.operation, at, how)
}

func (c *fakeCore) answer(job *Job, a routing.Answer) {
	ref := job.operation
	a.MayHaveRun = c.MayHaveRun(ref)
	delete(c.ops, ref)
	c.fixture.manager.Answered(ref, a)
	c.fixture.manager.OperationConcluded(c.fixture.manager, a.Verdict)
}

// serve runs a job to its end at a worker.
func (c *fakeCore) serve(job *Job) {
	c.sent(job, 0)
	c.begin(job, 0)
	c.stepDone(job, 0, balance.Served)
	c.answer(job, routing.Answer{Verdict: routing.Served, Result: []byte("fine")})
	c.fixture.runStoreCalls()
}

// memoryStore is a store of record in memory.
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
	for _, k := range updates {
		if r := s.jobs[k.ID]; r.EndedAt == 0 {
			r.Sent, r.Held = k.Sent, k.Held
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

func (s *memoryStore) Reap(_ context.Context, what ReapSelector) (n int, err error) {
	for id, r := range s.jobs {
		if r.EndedAt > 0 && !s.reaped[id] && (what.Array != "" && r.Array == what.Array || slices.Contains(what.IDs, id)) {
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

func (s *memoryStore) Jobs(_ context.Context, tenant, session string, f drmaa.Filter, most int) ([]*Record, error) {
	all := s.all(func(r *Record) bool {
		older := f.Before == drmaa.Cursor{} || r.Seq < f.Before.Seq || r.Seq == f.Before.Seq && r.ID > f.Before.ID
		return r.Tenant == tenant && (session == "" || r.Session == session) && older
	})
	return all[:min(len(all), most)], nil
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

func (s *memoryStore) Undecided(_ context.Context, classes []string, after drmaa.Cursor, most int) ([]*Record, error) {
	all := s.all(func(r *Record) bool {
		return r.State == drmaa.Failed && r.MayHaveRun && r.Settled.At == 0 && r.ExitStatus < 0 && slices.Contains(classes, r.Template.RemoteCommand) &&
			(r.Seq > after.Seq || r.Seq == after.Seq && r.ID > after.ID)
	})
	slices.Reverse(all)
	return all[:min(len(all), most)], nil
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
