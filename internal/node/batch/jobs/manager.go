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
	maxEndedArrays    = 200                    // ended arrays in memory; Config.MaxEndedJobs is that of jobs
	storeRetryDelay   = time.Second            // before a failed write is retried
	storeStallTime    = 500 * time.Millisecond // without progress for longer the store is stalled
	defaultRetryAfter = time.Second            // Retry-After where nothing better is known
	minRequeueDelay   = 100 * time.Millisecond // backoff of a job that the core refused, at first
	maxRequeueDelay   = 10 * time.Second       // and at most, unless the core advises a longer one
	readyPollInterval = 100 * time.Millisecond // between two looks for a ready destination
)

// Manager has the jobs, arrays, sessions and tenants of the batch front. All of it belongs to
// the event loop.
type Manager struct {
	config  Config
	classes map[string]drmaa.Class
	core    Core
	store   StoreExecutor
	circuit *circuitbreaker.Breaker
	clock   routing.Clock
	timers  *timerqueue.Queue

	// The state in memory: unfinished jobs and arrays, and those that ended last.
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
	launchScheduled bool // launchQueued is called again at a time that is set
	launching       bool // within launchQueued
	stopping        bool // no further submissions or dispatches

	// Writes to the store.
	inserts             batchWriter[*pendingSubmission]
	updates             batchWriter[*change]
	finals              batchWriter[*Job]
	pendingSubmissions  map[*pendingSubmission]bool // being recorded
	finalsToRetry       int                         // final states whose write failed and will be retried
	stallCheckScheduled bool

	// Clients that wait, and event streams.
	openWaits   int
	streamEpoch string             // names this run of the program in cursors
	streams     map[string]*stream // by tenant

	// Monitoring.
	loadReports     map[balance.WorkerID]*loadReport
	freeSlotsField  int // index of the free slots in load reports; below 0: none
	modelViolations int // state transitions that the standard's model lacks
}

// submissionRef is what a client key stands for: a job or an array.
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
	destroyCallbacks []func(*drmaa.Error) // of DestroySession

	recorded bool // in the store
	removing bool // its removal is being written
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

// Reconfigure changes the settings that take effect while the front runs: the window's bounds,
// the longest wait of further jobs and the events retained.
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

// Load restores the state that the last run of the program has left in the store. A job that
// may have run and is non-idempotent fails; the others wait in their old order, held ones held,
// until their deadline.
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

// restoreSessions restores sessions from their records, and returns those whose destruction has begun.
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

// restoreArray restores an array from its record, with the counts of its ended jobs: the others
// are counted as they are restored.
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
		slog.Error("batch job of no tenant", "id", record.ID, "tenant", record.Tenant)
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

// PutTenant adds a tenant, or changes one.
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

// Tenant returns the tenant of a name, or nil.
func (m *Manager) Tenant(name string) *TenantState { return m.tenants[name] }

// Tenants returns all tenants, sorted by name.
func (m *Manager) Tenants() []*TenantState {
	out := make([]*TenantState, 0, len(m.tenants))
	for _, name := range slices.Sorted(maps.Keys(m.tenants)) {
		out = append(out, m.tenants[name])
	}
	return out
}

// ByToken returns the tenant whose token has the hash, or nil.
func (m *Manager) ByToken(hash string) *TenantState { return m.byToken[hash] }

// session returns a tenant's session, which is created closed if it does not exist.
func (t *TenantState) session(name string) *Session {
	s := t.sessions[name]
	if s == nil {
		s = &Session{SessionRecord: SessionRecord{t.Name, name, SessionClosed}, jobs: map[*Job]bool{}}
		t.sessions[name] = s
	}
	return s
}

// Stop ends the acceptance and the dispatch of jobs.
func (m *Manager) Stop() { m.stopping = true }

// Stopping reports whether Stop or EndWaits was called.
func (m *Manager) Stopping() bool { return m.stopping }

// EndWaits stops the manager and ends all waits with TryLater: their clients may wait again
// elsewhere, or later.
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

// IDs returns the IDs of the jobs in memory, in the order of their submission.
func (m *Manager) IDs() []string {
	all := slices.SortedFunc(maps.Values(m.jobs), func(a, b *Job) int { return cmp.Compare(a.Seq, b.Seq) })
	out := make([]string, len(all))
	for i, job := range all {
		out[i] = job.ID
	}
	return out
}

// Counts is the state of the batch front in numbers.
type Counts struct {
	Unfinished int                  `json:"unfinished"` // jobs
	Queued     int                  `json:"queued"`     // not in the core yet
	InCore     int                  `json:"inCore"`
	Store      circuitbreaker.State `json:"store"`
	Rejected   uint64               `json:"turnedAway"` // submissions, because the store did not answer
	Waits      int                  `json:"waits"`      // of clients
	Window     window.State         `json:"window"`
}

// Counts returns the state of the batch front in numbers.
func (m *Manager) Counts() Counts {
	c := Counts{Store: m.circuit.State(m.clock.Now()), Rejected: m.circuit.Rejected(), Queued: m.queue.Len(), InCore: len(m.byOperation), Waits: m.openWaits, Window: m.window.State()}
	for _, t := range m.tenants {
		c.Unfinished += t.unfinished
	}
	return c
}

// monitoredStore reports the calls of a StoreExecutor to the circuit breaker.
type monitoredStore struct {
	StoreExecutor
	manager *Manager
}

// Call implements StoreExecutor.
func (w *monitoredStore) Call(do func(context.Context, Store) error, then func(error)) bool {
	m := w.manager
	taken := w.StoreExecutor.Call(do, func(err error) {
		before := m.circuit.State(m.clock.Now())
		m.circuit.CallEnded(m.clock.Now(), err != nil)
		if after := m.circuit.State(m.clock.Now()); after != before {
			slog.Warn("store of record", "state", after, "was", before, "turned_away", m.circuit.Rejected())
		}
		then(err)
	})
	if taken {
		m.circuit.CallBegan(m.clock.Now())
		m.checkStall()
	}
	return taken
}

// checkStall checks for a stall of the store as long as it has calls in flight, and rejects the
// submissions that wait for it.
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

// StoreExecutor returns the access to the store, for calls of the administration.
func (m *Manager) StoreExecutor() StoreExecutor { return m.store }

// batchWriter groups the writes of one kind into batches: items added while a call of the store
// is in flight go with the next. write is called off the loop, so that the fields that it reads
// must not change; done is called on the loop with the result.
type batchWriter[T any] struct {
	manager  *Manager
	maxBatch int // items of one batch
	write    func(context.Context, Store, []T) error
	done     func([]T, error)
	waiting  []T
	inFlight int  // items of the batch that is being written
	paused   bool // the store's queue was full
}

func (p *batchWriter[T]) pending() int { return len(p.waiting) + p.inFlight }

func (p *batchWriter[T]) add(items ...T) {
	p.waiting = append(p.waiting, items...)
	p.flush()
}

func (p *batchWriter[T]) flush() {
	if p.inFlight > 0 || p.paused || len(p.waiting) == 0 {
		return
	}
	n := min(len(p.waiting), p.maxBatch)
	batch := slices.Clone(p.waiting[:n])
	if !p.manager.store.Call(func(ctx context.Context, store Store) error { return p.write(ctx, store, batch) },
		func(err error) {
			p.inFlight = 0
			p.done(batch, err)
			p.flush()
		}) {
		p.paused = true
		p.manager.timers.Add(p.manager.clock.Now()+storeRetryDelay, func() {
			p.paused = false
			p.flush()
		})
		return
	}
	p.inFlight = n
	if p.waiting = p.waiting[n:]; len(p.waiting) == 0 {
		p.waiting = nil
	}
}
