package jobs

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"ospreybend/drmaa"
	"ospreybend/internal/node/faultinjection"
)

const maxPendingInserts = 1024 // submissions queued for the store at most

// Errors of several calls.
var (
	UnknownJob     = &drmaa.Error{Status: 404, Name: drmaa.InvalidArgument, Message: "no such job"}
	UnknownArray   = &drmaa.Error{Status: 404, Name: drmaa.InvalidArgument, Message: "no such job array"}
	UnknownSession = &drmaa.Error{Status: 404, Name: drmaa.InvalidSession, Message: "no such session, or it is closed"}
	StoreFailed    = &drmaa.Error{Status: 500, Name: drmaa.Internal, Message: "the store of record failed"}
	StoreBehind    = drmaa.TryLaterError(defaultRetryAfter, "the store of record is behind")

	keyReused = &drmaa.Error{Status: 409, Name: drmaa.InvalidArgument, Attribute: "x_clientKey",
		Message: "the client key stands for a submission of different content"}
)

// pendingSubmission is a submission that is being recorded.
type pendingSubmission struct {
	submission *Submission
	jobs       []*Job
	array      *Array
	callbacks  []func(submissionRef, *drmaa.Error)
	existing   ExistingSubmission
	progress   atomic.Int32 // awaitingInsert, insertBegun or withdrawn; shared with the store's executor
}

const (
	awaitingInsert = iota // neither begun by the store nor withdrawn by the loop
	insertBegun           // the store may have it
	withdrawn             // its clients were answered TryLater
)

func (e *pendingSubmission) ref() submissionRef {
	if e.array != nil {
		return submissionRef{array: e.array}
	}
	return submissionRef{job: e.jobs[0]}
}

func (k submissionRef) digest() string {
	if k.array != nil {
		return k.array.Digest
	}
	return k.job.Digest
}

// Submit accepts a job. answer is called once the job is recorded, or with an error.
func (m *Manager) Submit(t *TenantState, session string, template *drmaa.JobTemplate, answer func(*Job, *drmaa.Error)) {
	digest := template.Digest("")
	tell := func(k submissionRef, e *drmaa.Error) {
		switch {
		case e != nil:
			answer(nil, e)
		case k.job == nil:
			answer(nil, keyReused)
		default:
			answer(k.job, nil)
		}
	}
	s, ok := m.admit(t, session, template.ClientKey, digest, 1, tell)
	if !ok {
		return
	}
	job := m.newJob(s, t, template, newID(), 0)
	job.ClientKey, job.Digest = template.ClientKey, digest
	record := job.Record // a copy: the store's executor must not read what the loop changes
	e := &pendingSubmission{submission: &Submission{Jobs: []*Record{&record}}, jobs: []*Job{job}}
	e.callbacks = append(e.callbacks, tell)
	job.pending = e
	m.track(job)
	m.pendingSubmissions[e] = true
	m.inserts.add(e)
}

// SubmitBulk accepts a job array with all its jobs. answer is called once it is recorded, or
// with an error. The client key stands for the array.
func (m *Manager) SubmitBulk(t *TenantState, session string, b *drmaa.Bulk, answer func(*Array, *drmaa.Error)) {
	digest := b.Digest()
	tell := func(k submissionRef, e *drmaa.Error) {
		switch {
		case e != nil:
			answer(nil, e)
		case k.array == nil:
			answer(nil, keyReused)
		default:
			answer(k.array, nil)
		}
	}
	n := b.Count()
	s, ok := m.admit(t, session, b.Template.ClientKey, digest, n, tell)
	if !ok {
		return
	}
	a := newArray(ArrayRecord{ID: newID(), Tenant: t.Name, Session: session, ClientKey: b.Template.ClientKey,
		Digest: digest, Template: b.Template, Begin: b.Begin, End: b.End, Step: b.Step, MaxParallel: b.MaxParallel,
		SubmittedAt: m.unixNow()}, false)
	record := a.ArrayRecord
	e := &pendingSubmission{submission: &Submission{Array: &record, Jobs: make([]*Record, 0, n)}, array: a, jobs: make([]*Job, 0, n)}
	e.callbacks = append(e.callbacks, tell)
	a.pending, a.session = e, s
	records := make([]Record, n)
	for i := range n {
		index := b.Begin + i*b.Step
		job := m.newJob(s, t, b.Template, drmaa.JobID(a.ID, index), index)
		job.Array, job.array, job.pending = a.ID, a, e
		records[i] = job.Record
		e.submission.Jobs = append(e.submission.Jobs, &records[i])
		e.jobs = append(e.jobs, job)
		m.track(job)
	}
	m.arrays[a.ID] = a
	m.rememberKey(submissionRef{array: a}, a.Tenant, a.ClientKey)
	m.pendingSubmissions[e] = true
	m.inserts.add(e)
}

// admit reports whether count jobs may be accepted. If not, or if the client key stands for a
// submission already, it answers by tell and returns false.
func (m *Manager) admit(t *TenantState, name, key, digest string, count int, tell func(submissionRef, *drmaa.Error)) (*Session, bool) {
	s := t.sessions[name]
	if s == nil || s.State != SessionOpen {
		tell(submissionRef{}, UnknownSession)
		return nil, false
	}
	if key != "" {
		if k, ok := m.byKey[keyOf(t.Name, key)]; ok {
			m.attach(k, digest, tell)
			return nil, false
		}
	}
	after, ok := m.circuit.Admit(m.clock.Now())
	switch {
	case !ok:
		tell(submissionRef{}, drmaa.TryLaterError(after, "the store of record does not answer"))
	case m.stopping:
		tell(submissionRef{}, drmaa.TryLaterError(defaultRetryAfter, "the node is stopping"))
	case t.unfinished+count > t.Quota:
		tell(submissionRef{}, &drmaa.Error{Status: 429, Name: drmaa.TryLater, RetryAfter: defaultRetryAfter,
			Message: "the tenant has " + strconv.Itoa(t.unfinished) + " unfinished jobs, its quota is " + strconv.Itoa(t.Quota)})
	case m.inserts.pending() >= maxPendingInserts:
		tell(submissionRef{}, StoreBehind)
	default:
		return s, true
	}
	return nil, false
}

// attach answers a submission whose client key stands for an earlier one, once that is recorded.
func (m *Manager) attach(ref submissionRef, digest string, tell func(submissionRef, *drmaa.Error)) {
	var e *pendingSubmission
	if ref.array != nil {
		e = ref.array.pending
	} else {
		e = ref.job.pending
	}
	switch {
	case ref.digest() != digest:
		tell(submissionRef{}, keyReused)
	case e != nil:
		e.callbacks = append(e.callbacks, tell)
	default:
		tell(ref, nil)
	}
}

// newJob returns a job of a submission.
func (m *Manager) newJob(s *Session, t *TenantState, template *drmaa.JobTemplate, id string, index int) *Job {
	now := m.unixNow()
	m.lastSeq = max(m.lastSeq+1, now)
	job := &Job{owner: t, session: s, Record: Record{ID: id, Tenant: t.Name, Session: s.Name, Index: index, Seq: m.lastSeq,
		Template: template, SubmittedAt: now, DeadlineAt: template.DeadlineMicros(now), State: drmaa.Queued, ExitStatus: -1}}
	if job.DeadlineAt == 0 {
		job.DeadlineAt = max(now, template.StartMicros()) + m.config.MaxWait.Microseconds()
	}
	if template.SubmitAsHold {
		job.Held, job.State = true, drmaa.QueuedHeld
	}
	return job
}

// insert records the submissions of a batch that were not withdrawn, off the loop.
func (m *Manager) insert(ctx context.Context, store Store, entries []*pendingSubmission) error {
	var subs []*Submission
	var whose []*pendingSubmission
	for _, e := range entries {
		if e.progress.CompareAndSwap(awaitingInsert, insertBegun) {
			subs, whose = append(subs, e.submission), append(whose, e)
		}
	}
	if len(subs) == 0 {
		return nil
	}
	stored, err := store.Insert(ctx, subs)
	if err != nil {
		return err
	}
	for i, e := range whose {
		e.existing = stored[i]
	}
	return nil
}

// rejectPending withdraws and answers the submissions that a stalled store has not begun:
// nothing of them is recorded, nor will be.
func (m *Manager) rejectPending() {
	for e := range m.pendingSubmissions {
		if e.progress.CompareAndSwap(awaitingInsert, withdrawn) {
			m.circuit.CountRejected()
			m.discard(e)
			e.answer(submissionRef{}, drmaa.TryLaterError(storeRetryDelay, "the store of record does not answer"))
		}
	}
}

// discard removes a submission that is not recorded.
func (m *Manager) discard(e *pendingSubmission) {
	delete(m.pendingSubmissions, e)
	for _, job := range e.jobs {
		job.stage = ended
		m.forget(job)
		m.untrack(job)
	}
	if e.array != nil {
		m.forgetArray(e.array)
	}
}

func (e *pendingSubmission) answer(k submissionRef, p *drmaa.Error) {
	askers := e.callbacks
	e.callbacks = nil
	for _, answer := range askers {
		answer(k, p)
	}
}

// insertsWritten takes the result of insert.
func (m *Manager) insertsWritten(entries []*pendingSubmission, err error) {
	for _, e := range entries {
		m.submissionWritten(e, err)
	}
}

// submissionWritten acknowledges a recorded submission and schedules its jobs; or answers what
// has its client key, or the error.
func (m *Manager) submissionWritten(pending *pendingSubmission, err error) {
	if pending.progress.Load() == withdrawn {
		return
	}
	delete(m.pendingSubmissions, pending)
	pending.submission = nil
	if err != nil || pending.existing != (ExistingSubmission{}) {
		m.discard(pending)
		if err != nil {
			pending.answer(submissionRef{}, StoreFailed)
			return
		}
		// The key stands for a submission that is not in memory any more.
		ref := m.detached(pending.existing)
		if ref.digest() != pending.ref().digest() {
			pending.answer(submissionRef{}, keyReused)
			return
		}
		pending.answer(ref, nil)
		return
	}
	if pending.array != nil {
		pending.array.recorded, pending.array.pending = true, nil
	}
	for _, job := range pending.jobs {
		job.recorded, job.pending = true, nil
		m.publish(job, drmaa.EventNewState, "")
	}
	faultinjection.Hit(faultinjection.AnswerBefore)
	pending.answer(pending.ref(), nil)
	for _, job := range pending.jobs {
		if job.terminateOnRecord {
			m.endJob(job, drmaa.Failed, "terminated before it was sent", false)
			continue
		}
		m.schedule(job)
	}
}

// detached returns a stored submission in the form of one in memory, for one call.
func (m *Manager) detached(s ExistingSubmission) submissionRef {
	if s.Array != nil {
		return submissionRef{array: m.detachedArray(s.Array)}
	}
	return submissionRef{job: m.detachedJob(s.Job)}
}

func (m *Manager) detachedJob(r *Record) *Job {
	if job := m.jobs[r.ID]; job != nil {
		return job
	}
	return &Job{Record: *r, owner: m.tenants[r.Tenant], recorded: true, ending: true, stage: ended}
}

func (m *Manager) detachedArray(r *ArrayRecord) *Array {
	if a := m.arrays[r.ID]; a != nil {
		return a
	}
	a := newArray(*r, true)
	for s, n := range r.States {
		a.states[s] = n
	}
	return a
}

// fromNow returns the time after a span from now.
func (m *Manager) fromNow(span time.Duration) time.Duration { return m.clock.Now() + span }
