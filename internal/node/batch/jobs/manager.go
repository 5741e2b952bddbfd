package jobs

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/hex"
	"log/slog"
	"maps"
	"slices"
	"time"

	"ospreybend/balance"
	"ospreybend/drmaa"
	"ospreybend/internal/node/batch/circuitbreaker"
	"ospreybend/internal/node/batch/queue"
	"ospreybend/internal/node/batch/window"
	"ospreybend/internal/node/routing"
	"ospreybend/internal/node/slottable"
	"ospreybend/internal/node/timerqueue"
)

const (
	maxEndedArrays    = 200                    // maximum ended arrays in memory; see Config.MaxEndedJobs for jobs
	storeRetryDelay   = time.Second            // delay before a failed write is retried
	storeStallTime    = 500 * time.Millisecond // a store without progress for this long counts as stalled
	defaultRetryAfter = time.Second            // Retry-After without a better estimate
	minRequeueDelay   = 100 * time.Millisecond // first backoff of a job that the core refused
	maxRequeueDelay   = 10 * time.Second       // maximum backoff, unless the core advises a longer one
	readyPollInterval = 100 * time.Millisecond // interval between checks for a ready destination
)

// Manager manages the jobs, arrays, sessions and tenants of the batch front. It must be used on the
// event loop only.
type Manager struct {
	config  Config
	classes map[string]drmaa.Class
	core    Core
	store   StoreExecutor
	circuit *circuitbreaker.Breaker
	clock   routing.Clock
	timers  *timerqueue.Queue

	// State in memory: unfinished jobs and arrays, and those that ended most recently.
	tenants     map[string]*TenantState // by name
	byToken     map[string]*TenantState // by the token's hash
	jobs        map[string]*Job
	arrays      map[string]*Array
	byKey       map[string]submissionRef // by tenant and client key
	byOperation map[slottable.Handle]*Job
	endedJobs   []string // IDs of ended jobs in memory, oldest first
	endedArrays []string // IDs of ended arrays in memory, oldest first
	lastSeq     int64

	// Dispatch of queued jobs to the core.
	queue           *queue.Queue[*Job]
	window          *window.Window
	launchScheduled bool // a timer will call launchQueued
	launching       bool // launchQueued is running; guards against recursion
	stopping        bool // accept and dispatch no further jobs

	// Writes to the store.
	inserts             batchWriter[*pendingSubmission]
	updates             batchWriter[*change]
	finals              batchWriter[*Job]
	pendingSubmissions  map[*pendingSubmission]bool // not stored yet
	finalsToRetry       int                         // final states whose write failed and will be retried
	stallCheckScheduled bool

	// Waiting clients and event streams.
	openWaits   int
	streamEpoch string             // identifies this run of the program in cursors
	streams     map[string]*stream // by tenant

	// Monitoring.
	loadReports     map[balance.WorkerID]*loadReport
	freeSlotsField  int // index of the free slots in load reports; negative if they are not reported
	modelViolations int // state transitions that the state model of DRMAA does not allow
}

// submissionRef refers to a submission by its job or its array. The zero value refers to none.
type submissionRef struct {
	job   *Job
	array *Array
}

// TenantState is a tenant with its sessions.
type TenantState struct {
	Tenant
	sessions   map[string]*Session
	unfinished int
}

// Unfinished returns the number of the tenant's unfinished jobs.
func (t *TenantState) Unfinished() int { return t.unfinished }

// Session is a job session.
type Session struct {
	SessionRecord
	jobs             map[*Job]bool // unfinished ones
	waiters          waiters
	destroyCallbacks []func(*drmaa.Error) // pending callbacks of DestroySession

	recorded bool // stored
	removing bool // its removal is being stored
}

// New returns a manager. Load must be called before any other method.
func New(config Config, core Core, store StoreExecutor, clock routing.Clock, timers *timerqueue.Queue) *Manager {
	m := &Manager{
		config: config, classes: map[string]drmaa.Class{}, core: core, clock: clock, timers: timers,
		tenants: map[string]*TenantState{}, byToken: map[string]*TenantState{}, jobs: map[string]*Job{},
		arrays: map[string]*Array{}, byKey: map[string]submissionRef{}, byOperation: map[slottable.Handle]*Job{},
		queue: queue.New[*Job](), pendingSubmissions: map[*pendingSubmission]bool{},
		streamEpoch: newID()[:8], streams: map[string]*stream{}, loadReports: map[balance.WorkerID]*loadReport{},
		freeSlotsField: slices.Index(config.Settings.ReportFields, balance.FieldFreeSlots),
	}
	m.circuit = circuitbreaker.New(circuitbreaker.Config{StallTime: storeStallTime, RetryInterval: storeRetryDelay})
	m.store = &monitoredStore{store, m}
	if config.WorkerName == nil {
		m.config.WorkerName = func(balance.WorkerID) string { return "" }
	}
	m.window = window.New(window.Config{MaxSlots: config.MaxSlots, DelayTarget: config.DelayTarget})
	for name, number := range config.Classes {
		m.classes[name] = drmaa.Class{Number: number,
			NonIdempotent: config.Settings.Classes[number].Effect == balance.NonIdempotent}
	}
	m.inserts = batchWriter[*pendingSubmission]{manager: m, maxBatch: 256, write: m.insert, done: m.insertsWritten}
	m.updates = batchWriter[*change]{manager: m, maxBatch: 1024, write: m.writeUpdates, done: m.updatesWritten}
	m.finals = batchWriter[*Job]{manager: m, maxBatch: 1024, write: m.writeFinals, done: m.finalsWritten}
	return m
}

// Reconfigure changes the settings that can change at run time: Config.MaxSlots, DelayTarget,
// MaxWait (for jobs submitted from now on) and MaxEvents.
func (m *Manager) Reconfigure(slots float64, target, longest time.Duration, events int) {
	m.config.MaxSlots, m.config.DelayTarget, m.config.MaxWait, m.config.MaxEvents = slots, target, longest, events
	m.window.Reconfigure(window.Config{MaxSlots: slots, DelayTarget: target})
	m.launchQueued()
}

// Classes returns the classes of jobs by name.
func (m *Manager) Classes() map[string]drmaa.Class { return m.classes }

// Now returns the loop's clock as a time.
func (m *Manager) Now() time.Time { return time.UnixMicro(m.unixNow()) }

func (m *Manager) unixNow() int64 { return m.clock.Now().Microseconds() }

// newID returns a random ID of 24 hexadecimal digits.
func newID() string {
	var b [12]byte
	_, _ = rand.Read(b[:]) // never fails, as of Go 1.24
	return hex.EncodeToString(b[:])
}

// Load restores the state that the previous run of the program stored. A non-idempotent job that
// may have run fails, as does a job whose deadline has passed. The other jobs are scheduled in their
// previous order; held jobs remain held.
func (m *Manager) Load(tenants []Tenant, sessions []SessionRecord, records []*Record, arrays []*ArrayRecord) {
	for _, t := range tenants {
		m.PutTenant(t)
	}
	destroying := m.restoreSessions(sessions)
	for _, r := range arrays {
		m.restoreArray(r)
	}
	for _, r := range records {
		m.restoreJob(r)
	}
	for _, s := range destroying {
		m.destroy(s)
	}
	if len(tenants) > 0 {
		slog.Info("batch jobs restored", "tenants", len(tenants), "jobs", len(records), "arrays", len(arrays))
	}
}

// restoreSessions restores sessions from their records and returns those being destroyed.
func (m *Manager) restoreSessions(records []SessionRecord) (destroying []*Session) {
	for _, r := range records {
		t := m.tenants[r.Tenant]
		if t == nil {
			continue
		}
		s := t.session(r.Name)
		s.State, s.recorded = r.State, true
		if s.State == SessionDestroying {
			destroying = append(destroying, s)
		}
	}
	return destroying
}

// restoreArray restores an array from its record, with the counts of its ended jobs. Unfinished jobs
// are counted when they are restored.
func (m *Manager) restoreArray(record *ArrayRecord) {
	array := newArray(*record, true)
	for state, count := range record.States {
		if state.Final() {
			array.states[state] += count
		}
	}
	m.arrays[array.ID] = array
	m.rememberKey(submissionRef{array: array}, array.Tenant, array.ClientKey)
}

// restoreJob restores an unfinished job from its record, and schedules or fails it.
func (m *Manager) restoreJob(record *Record) {
	owner := m.tenants[record.Tenant]
	if owner == nil {
		slog.Error("batch job belongs to an unknown tenant; not restored", "id", record.ID, "tenant", record.Tenant)
		return
	}
	job := &Job{Record: *record, owner: owner, session: owner.session(record.Session), array: m.arrays[record.Array], recorded: true,
		sendRecorded: record.Sent}
	m.lastSeq = max(m.lastSeq, record.Seq)
	job.State = drmaa.Queued
	if record.Sent {
		job.State = drmaa.Requeued
	}
	if record.Held {
		job.State = job.State.Hold()
	}
	m.track(job)
	class, known := m.classes[record.Template.RemoteCommand]
	switch {
	case !known:
		m.endJob(job, drmaa.Failed, "the class is gone", record.Sent)
	case record.Sent && class.NonIdempotent:
		m.endJob(job, drmaa.Failed, "the node restarted; the job may have run and is not run again", true)
	default:
		m.schedule(job)
	}
}

// PutTenant adds or changes a tenant.
func (m *Manager) PutTenant(in Tenant) *TenantState {
	t := m.tenants[in.Name]
	if t == nil {
		t = &TenantState{sessions: map[string]*Session{}}
		m.tenants[in.Name] = t
	}
	delete(m.byToken, t.TokenHash)
	t.Tenant = in
	m.byToken[in.TokenHash] = t
	return t
}

// Tenant returns the tenant with the given name, or nil.
func (m *Manager) Tenant(name string) *TenantState { return m.tenants[name] }

// Tenants returns all tenants, sorted by name.
func (m *Manager) Tenants() []*TenantState {
	out := make([]*TenantState, 0, len(m.tenants))
	for _, name := range slices.Sorted(maps.Keys(m.tenants)) {
		out = append(out, m.tenants[name])
	}
	return out
}

// ByToken returns the tenant whose token has the given hash, or nil.
func (m *Manager) ByToken(hash string) *TenantState { return m.byToken[hash] }

// session returns a tenant's session. If it does not exist, it is created in state closed.
func (t *TenantState) session(name string) *Session {
	s := t.sessions[name]
	if s == nil {
		s = &Session{SessionRecord: SessionRecord{t.Name, name, SessionClosed}, jobs: map[*Job]bool{}}
		t.sessions[name] = s
	}
	return s
}

// Stop stops the acceptance and dispatch of jobs.
func (m *Manager) Stop() { m.stopping = true }

// Stopping reports whether Stop or EndWaits was called.
func (m *Manager) Stopping() bool { return m.stopping }

// EndWaits stops the manager and ends all waits with TryLater, so that clients retry at another node
// or later.
func (m *Manager) EndWaits() {
	m.stopping = true
	e := drmaa.TryLaterError(defaultRetryAfter, "the node is stopping")
	end := func(set waiters) {
		for w := range set {
			m.endWait(w, nil, e)
		}
	}
	for _, job := range m.jobs {
		end(job.waiters)
	}
	for _, a := range m.arrays {
		end(a.anyWaiters)
		end(a.allEndedWaiters)
	}
	for _, t := range m.tenants {
		for _, s := range t.sessions {
			end(s.waiters)
		}
	}
	for _, s := range m.streams {
		for f := range s.followers {
			f.wake()
		}
	}
}

// Pending returns the number of operations and writes in progress.
func (m *Manager) Pending() int {
	return len(m.byOperation) + m.inserts.pending() + m.updates.pending() + m.finals.pending() + m.finalsToRetry
}

// IDs returns the IDs of the jobs in memory, in submission order.
func (m *Manager) IDs() []string {
	all := slices.SortedFunc(maps.Values(m.jobs), func(a, b *Job) int { return cmp.Compare(a.Seq, b.Seq) })
	out := make([]string, len(all))
	for i, job := range all {
		out[i] = job.ID
	}
	return out
}

// Counts holds the counters and gauges of the batch front.
type Counts struct {
	Unfinished int                  `json:"unfinished"` // jobs
	Queued     int                  `json:"queued"`     // jobs in the queue
	InCore     int                  `json:"inCore"`
	Store      circuitbreaker.State `json:"store"`
	Rejected   uint64               `json:"turnedAway"` // submissions rejected because the store did not answer
	Waits      int                  `json:"waits"`      // clients that wait
	Window     window.State         `json:"window"`
}

// Counts returns the current counters and gauges.
func (m *Manager) Counts() Counts {
	c := Counts{Store: m.circuit.State(m.clock.Now()), Rejected: m.circuit.Rejected(), Queued: m.queue.Len(), InCore: len(m.byOperation), Waits: m.openWaits, Window: m.window.State()}
	for _, t := range m.tenants {
		c.Unfinished += t.unfinished
	}
	return c
}

// monitoredStore is a StoreExecutor that reports its calls to the circuit breaker.
type monitoredStore struct {
	StoreExecutor
	manager *Manager
}

// Call implements StoreExecutor.
func (s *monitoredStore) Call(do func(context.Context, Store) error, then func(error)) bool {
	m := s.manager
	accepted := s.StoreExecutor.Call(do, func(err error) {
		before := m.circuit.State(m.clock.Now())
		m.circuit.CallEnded(m.clock.Now(), err != nil)
		if after := m.circuit.State(m.clock.Now()); after != before {
			slog.Warn("store of record", "state", after, "was", before, "turned_away", m.circuit.Rejected())
		}
		then(err)
	})
	if accepted {
		m.circuit.CallBegan(m.clock.Now())
		m.checkStall()
	}
	return accepted
}

// checkStall checks periodically for a stall of the store while calls are in flight, and rejects the
// pending submissions if it has stalled.
func (m *Manager) checkStall() {
	if m.stallCheckScheduled || m.circuit.InFlight() == 0 {
		return
	}
	m.stallCheckScheduled = true
	m.timers.Add(m.fromNow(storeStallTime/2), func() {
		m.stallCheckScheduled = false
		if m.circuit.State(m.clock.Now()) == circuitbreaker.Stalled {
			m.rejectPending()
		}
		m.checkStall()
	})
}

// StoreExecutor returns the executor of store calls, for the admin API.
func (m *Manager) StoreExecutor() StoreExecutor { return m.store }

// batchWriter groups writes of one kind into batches: items added while a write is in flight go into
// the next batch. write is called off the loop, so the loop must not change the fields that it
// reads; done is called on the loop with the result.
type batchWriter[T any] struct {
	manager  *Manager
	maxBatch int // maximum items per batch
	write    func(context.Context, Store, []T) error
	done     func([]T, error)
	waiting  []T
	inFlight int  // items of the batch being written
	paused   bool // the queue of store calls was full; a timer will retry
}

func (w *batchWriter[T]) pending() int { return len(w.waiting) + w.inFlight }

func (w *batchWriter[T]) add(items ...T) {
	w.waiting = append(w.waiting, items...)
	w.flush()
}

func (w *batchWriter[T]) flush() {
	if w.inFlight > 0 || w.paused || len(w.waiting) == 0 {
		return
	}
	n := min(len(w.waiting), w.maxBatch)
	batch := slices.Clone(w.waiting[:n])
	if !w.manager.store.Call(func(ctx context.Context, store Store) error { return w.write(ctx, store, batch) },
		func(err error) {
			w.inFlight = 0
			w.done(batch, err)
			w.flush()
		}) {
		w.paused = true
		w.manager.timers.Add(w.manager.clock.Now()+storeRetryDelay, func() {
			w.paused = false
			w.flush()
		})
		return
	}
	w.inFlight = n
	if w.waiting = w.waiting[n:]; len(w.waiting) == 0 {
		w.waiting = nil
	}
}
