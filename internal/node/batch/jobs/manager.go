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
	maxEndedArrays    = 200                    // ended arrays, likewise
	storeRetryDelay   = time.Second            // a failed write is tried again after this
	storeStallTime    = 500 * time.Millisecond // without progress for longer the store is stalled
	defaultRetryAfter = time.Second            // advice where nothing better is known
	minRequeueDelay   = 100 * time.Millisecond // a refused job returns to the core no sooner
	maxRequeueDelay   = 10 * time.Second       // and, by this front's own waits, no later
	readyPollInterval = 100 * time.Millisecond // without a ready destination, looked at again after this
)

// Manager is the jobs, arrays, sessions and tenants of the batch front.
type Manager struct {
	config  Config
	classes map[string]drmaa.Class
	core    Core
	store   StoreExecutor
	circuit *circuitbreaker.Circuit
	clock   routing.Clock
	timers  *timerqueue.Queue

	tenants     map[string]*TenantState // by name
	byToken     map[string]*TenantState // by the token's hash
	jobs        map[string]*Job
	arrays      map[string]*Array
	byKey       map[string]submissionRef // by tenant and client key
	byOperation map[slottable.Handle]*Job
	endedJobs   []string // jobs at hand that have ended, oldest first
	endedArrays []string // arrays at hand that have ended, oldest first
	lastSeq     int64

	queue               *queue.Queue[*Job]
	window              *window.Window
	inserts             batchWriter[*pendingSubmission]
	updates             batchWriter[*change]
	finals              batchWriter[*Job]
	openWaits           int
	modelViolations     int                         // of the program's own
	pendingSubmissions  map[*pendingSubmission]bool // submissions that are being recorded
	stallCheckScheduled bool                        // the store, for a stall
	finalsToRetry       int                         // final states that the store failed to write, and gets again
	pumpScheduled       bool                        // at the queue again at a time that is set
	pumping             bool
	stopping            bool
	streamEpoch         string
	streams             map[string]*stream // by tenant
	loadReports         map[balance.WorkerID]*loadReport
	freeSlotsField      int // where reports have the free slots; below 0: nowhere
}

type submissionRef struct {
	job   *Job
	array *Array
}

// TenantState is a tenant and its sessions.
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
	destroyCallbacks []func(*drmaa.Error) // that wait for its end

	recorded bool
	removing bool // its removal is on its way to the store
}

// New makes a manager. Load must follow.
func New(config Config, core Core, keeper StoreExecutor, clock routing.Clock, line *timerqueue.Queue) *Manager {
	m := &Manager{config: config, classes: map[string]drmaa.Class{}, core: core, store: keeper, clock: clock, timers: line,
		tenants: map[string]*TenantState{}, byToken: map[string]*TenantState{}, jobs: map[string]*Job{},
		arrays: map[string]*Array{}, byKey: map[string]submissionRef{}, byOperation: map[slottable.Handle]*Job{}, queue: queue.New[*Job](),
		streamEpoch: newID()[:8], streams: map[string]*stream{}, loadReports: map[balance.WorkerID]*loadReport{}, pendingSubmissions: map[*pendingSubmission]bool{},
		freeSlotsField: slices.Index(config.Settings.Report, balance.FieldFreeSlots)}
	m.circuit = circuitbreaker.New(circuitbreaker.Config{StallTime: storeStallTime, RetryInterval: storeRetryDelay})
	m.store = &monitoredStore{keeper, m}
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

// Reconfigure changes what may change while the front runs: the window's bounds,
// the longest wait of jobs to come, the events kept.
func (m *Manager) Reconfigure(slots float64, target, longest time.Duration, events int) {
	m.config.MaxSlots, m.config.DelayTarget, m.config.MaxWait, m.config.MaxEvents = slots, target, longest, events
	m.window.Reconfigure(window.Config{MaxSlots: slots, DelayTarget: target})
	m.launchQueued()
}

// Classes returns the classes that jobs may be of.
func (m *Manager) Classes() map[string]drmaa.Class { return m.classes }

// Now is the loop's clock, which counts from the Unix epoch.
func (m *Manager) Now() time.Time { return time.UnixMicro(m.unixNow()) }

func (m *Manager) unixNow() int64 { return m.clock.Now().Microseconds() }

func newID() string {
	var b [12]byte
	_, _ = rand.Read(b[:]) // never fails, as of Go 1.24
	return hex.EncodeToString(b[:])
}

// Load takes up where the last run of the program ended: what may have run and
// must not run twice has failed, the rest waits in its old order while its
// deadline lasts, held jobs held.
func (m *Manager) Load(tenants []Tenant, sessions []SessionRecord, records []*Record, arrays []*ArrayRecord) {
	for _, t := range tenants {
		m.PutTenant(t)
	}
	var destroying []*Session
	for _, r := range sessions {
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
	for _, r := range arrays {
		a := newArray(*r, true)
		for s, n := range r.States {
			if s.Final() { // the others are counted as they are taken up
				a.states[s] += n
			}
		}
		m.arrays[a.ID] = a
		m.rememberKey(submissionRef{array: a}, a.Tenant, a.ClientKey)
	}
	for _, r := range records {
		owner := m.tenants[r.Tenant]
		if owner == nil {
			slog.Error("batch job of no tenant", "id", r.ID, "tenant", r.Tenant)
			continue
		}
		job := &Job{Record: *r, owner: owner, session: owner.session(r.Session), array: m.arrays[r.Array], recorded: true,
			sendRecorded: r.Sent}
		m.lastSeq = max(m.lastSeq, r.Seq)
		job.State = drmaa.Queued
		if r.Sent {
			job.State = drmaa.Requeued
		}
		if r.Held {
			job.State = job.State.Hold()
		}
		m.track(job)
		class, known := m.classes[r.Template.RemoteCommand]
		switch {
		case !known:
			m.endJob(job, drmaa.Failed, "the class is gone", r.Sent)
		case r.Sent && class.NonIdempotent:
			m.endJob(job, drmaa.Failed, "the node restarted; the job may have run and is not run again", true)
		default:
			m.schedule(job)
		}
	}
	for _, s := range destroying {
		m.destroy(s)
	}
	if len(tenants) > 0 {
		slog.Info("batch jobs taken up", "tenants", len(tenants), "jobs", len(records), "arrays", len(arrays))
	}
}

// PutTenant lets a tenant in, or changes one.
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

// Tenants returns all tenants by name.
func (m *Manager) Tenants() []*TenantState {
	out := make([]*TenantState, 0, len(m.tenants))
	for _, name := range slices.Sorted(maps.Keys(m.tenants)) {
		out = append(out, m.tenants[name])
	}
	return out
}

// ByToken returns the tenant whose token has the hash, or nil.
func (m *Manager) ByToken(hash string) *TenantState { return m.byToken[hash] }

func (t *TenantState) session(name string) *Session {
	s := t.sessions[name]
	if s == nil {
		s = &Session{SessionRecord: SessionRecord{t.Name, name, SessionClosed}, jobs: map[*Job]bool{}}
		t.sessions[name] = s
	}
	return s
}

// Stop has no new jobs taken in, and none begun.
func (m *Manager) Stop() { m.stopping = true }

// Stopping tells whether Stop was called.
func (m *Manager) Stopping() bool { return m.stopping }

// EndWaits ends all waits: their clients may wait again elsewhere, or later.
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

// Pending returns the number of operations and writes still on their way.
func (m *Manager) Pending() int {
	return len(m.byOperation) + m.inserts.pending() + m.updates.pending() + m.finals.pending() + m.finalsToRetry
}

// IDs returns the ids of the jobs at hand, the newest submission's last.
func (m *Manager) IDs() []string {
	all := slices.SortedFunc(maps.Values(m.jobs), func(a, b *Job) int { return cmp.Compare(a.Seq, b.Seq) })
	out := make([]string, len(all))
	for i, job := range all {
		out[i] = job.ID
	}
	return out
}

// Counts is the batch front as it stands.
type Counts struct {
	Unfinished int                  `json:"unfinished"` // jobs
	Queued     int                  `json:"queued"`     // whose turn has not come
	InCore     int                  `json:"inCore"`
	Store      circuitbreaker.State `json:"store"`
	Rejected   uint64               `json:"turnedAway"` // as the store did not answer
	Waits      int                  `json:"waits"`      // of clients
	Window     window.State         `json:"window"`
}

// Counts returns how the batch front stands.
func (m *Manager) Counts() Counts {
	c := Counts{Store: m.circuit.State(m.clock.Now()), Rejected: m.circuit.Rejected(), Queued: m.queue.Len(), InCore: len(m.byOperation), Waits: m.openWaits, Window: m.window.State()}
	for _, t := range m.tenants {
		c.Unfinished += t.unfinished
	}
	return c
}

// monitoredStore is the keeper with the circuit that watches it.
type monitoredStore struct {
	StoreExecutor
	manager *Manager
}

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

// checkStall looks at the store as long as it has calls to serve.
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

// StoreExecutor returns the way to the store, for calls of the administration.
func (m *Manager) StoreExecutor() StoreExecutor { return m.store }

// batchWriter gathers the writes of one kind: while one call of the store is under way,
// what comes goes with the next. Its items are handed to write off the loop, so
// that what write reads of them must not change.
type batchWriter[T any] struct {
	manager  *Manager
	maxBatch int // items of one call
	write    func(context.Context, Store, []T) error
	done     func([]T, error)
	waiting  []T
	inFlight int
	paused   bool
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
