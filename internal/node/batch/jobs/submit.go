package jobs

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"ospreybend/drmaa"
	"ospreybend/internal/node/faultinjection"
)

const maxPendingInserts = 1024 // maximum submissions waiting to be stored

// Errors that several calls return.
var (
	UnknownJob     = &drmaa.Error{Status: 404, Name: drmaa.InvalidArgument, Message: "no such job"}
	UnknownArray   = &drmaa.Error{Status: 404, Name: drmaa.InvalidArgument, Message: "no such job array"}
	UnknownSession = &drmaa.Error{Status: 404, Name: drmaa.InvalidSession, Message: "no such session, or it is closed"}
	StoreFailed    = &drmaa.Error{Status: 500, Name: drmaa.Internal, Message: "the store of record failed"}
	StoreQueueFull = drmaa.TryLaterError(defaultRetryAfter, "the store of record is behind")

	keyReused = &drmaa.Error{Status: 409, Name: drmaa.InvalidArgument, Attribute: "x_clientKey",
		Message: "the client key stands for a submission of different content"}
)

// pendingSubmission is a submission that is being stored.
type pendingSubmission struct {
	submission *Submission
	jobs       []*Job
	array      *Array
	callbacks  []func(submissionRef, *drmaa.Error)
	existing   ExistingSubmission // result of Store.Insert
	progress   atomic.Int32       // awaitingInsert, insertBegun or withdrawn; shared with the store's executor
}

const (
	awaitingInsert = iota // neither started by the executor nor withdrawn by the loop
	insertBegun           // it may have been stored
	withdrawn             // it was rejected with TryLater and will not be stored
)

func (pending *pendingSubmission) ref() submissionRef {
	if pending.array != nil {
		return submissionRef{array: pending.array}
	}
	return submissionRef{job: pending.jobs[0]}
}

func (ref submissionRef) digest() string {
	if ref.array != nil {
		return ref.array.Digest
	}
	return ref.job.Digest
}

// Submit accepts a job. answer is called once the job is stored, or with an error.
func (m *Manager) Submit(t *TenantState, session string, template *drmaa.JobTemplate, answer func(*Job, *drmaa.Error)) {
	digest := template.Digest("")
	respond := func(ref submissionRef, e *drmaa.Error) {
		switch {
		case e != nil:
			answer(nil, e)
		case ref.job == nil:
			answer(nil, keyReused)
		default:
			answer(ref.job, nil)
		}
	}
	s, ok := m.admit(t, session, template.ClientKey, digest, 1, respond)
	if !ok {
		return
	}
	job := m.newJob(s, t, template, newID(), 0)
	job.ClientKey, job.Digest = template.ClientKey, digest
	record := job.Record // copied, since the executor must not read fields that the loop changes
	pending := &pendingSubmission{submission: &Submission{Jobs: []*Record{&record}}, jobs: []*Job{job}}
	pending.callbacks = append(pending.callbacks, respond)
	job.pending = pending
	m.track(job)
	m.pendingSubmissions[pending] = true
	m.inserts.add(pending)
}

// SubmitBulk accepts a job array with all its jobs. answer is called once the array is stored, or
// with an error. The client key identifies the array, not its jobs.
func (m *Manager) SubmitBulk(t *TenantState, session string, b *drmaa.Bulk, answer func(*Array, *drmaa.Error)) {
	digest := b.Digest()
	respond := func(ref submissionRef, e *drmaa.Error) {
		switch {
		case e != nil:
			answer(nil, e)
		case ref.array == nil:
			answer(nil, keyReused)
		default:
			answer(ref.array, nil)
		}
	}
	n := b.Count()
	s, ok := m.admit(t, session, b.Template.ClientKey, digest, n, respond)
	if !ok {
		return
	}
	a := newArray(ArrayRecord{ID: newID(), Tenant: t.Name, Session: session, ClientKey: b.Template.ClientKey,
		Digest: digest, Template: b.Template, Begin: b.Begin, End: b.End, Step: b.Step, MaxParallel: b.MaxParallel,
		SubmittedAt: m.unixNow()}, false)
	record := a.ArrayRecord
	pending := &pendingSubmission{submission: &Submission{Array: &record, Jobs: make([]*Record, 0, n)}, array: a, jobs: make([]*Job, 0, n)}
	pending.callbacks = append(pending.callbacks, respond)
	a.pending, a.session = pending, s
	records := make([]Record, n)
	for i := range n {
		index := b.Begin + i*b.Step
		job := m.newJob(s, t, b.Template, drmaa.JobID(a.ID, index), index)
		job.Array, job.array, job.pending = a.ID, a, pending
		records[i] = job.Record
		pending.submission.Jobs = append(pending.submission.Jobs, &records[i])
		pending.jobs = append(pending.jobs, job)
		m.track(job)
	}
	m.arrays[a.ID] = a
	m.rememberKey(submissionRef{array: a}, a.Tenant, a.ClientKey)
	m.pendingSubmissions[pending] = true
	m.inserts.add(pending)
}

// admit reports whether count jobs may be accepted, and returns their session. If they may not, or
// if the client key belongs to an existing submission, it calls respond and returns false.
func (m *Manager) admit(t *TenantState, name, key, digest string, count int, respond func(submissionRef, *drmaa.Error)) (*Session, bool) {
	s := t.sessions[name]
	if s == nil || s.State != SessionOpen {
		respond(submissionRef{}, UnknownSession)
		return nil, false
	}
	if key != "" {
		if ref, ok := m.byKey[keyOf(t.Name, key)]; ok {
			m.attach(ref, digest, respond)
			return nil, false
		}
	}
	after, ok := m.circuit.Admit(m.clock.Now())
	switch {
	case !ok:
		respond(submissionRef{}, drmaa.TryLaterError(after, "the store of record does not answer"))
	case m.stopping:
		respond(submissionRef{}, drmaa.TryLaterError(defaultRetryAfter, "the node is stopping"))
	case t.unfinished+count > t.Quota:
		respond(submissionRef{}, &drmaa.Error{Status: 429, Name: drmaa.TryLater, RetryAfter: defaultRetryAfter,
			Message: "the tenant has " + strconv.Itoa(t.unfinished) + " unfinished jobs, its quota is " + strconv.Itoa(t.Quota)})
	case m.inserts.pending() >= maxPendingInserts:
		respond(submissionRef{}, StoreQueueFull)
	default:
		return s, true
	}
	return nil, false
}

// attach answers a submission whose client key belongs to an earlier one, once the earlier one is
// stored.
func (m *Manager) attach(ref submissionRef, digest string, respond func(submissionRef, *drmaa.Error)) {
	var pending *pendingSubmission
	if ref.array != nil {
		pending = ref.array.pending
	} else {
		pending = ref.job.pending
	}
	switch {
	case ref.digest() != digest:
		respond(submissionRef{}, keyReused)
	case pending != nil:
		pending.callbacks = append(pending.callbacks, respond)
	default:
		respond(ref, nil)
	}
}

// newJob returns a new job with the given template. index is 0 for a single job.
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

// insert stores the submissions of a batch that were not withdrawn. It runs off the loop.
func (m *Manager) insert(ctx context.Context, store Store, entries []*pendingSubmission) error {
	var submissions []*Submission
	var inserted []*pendingSubmission
	for _, pending := range entries {
		if pending.progress.CompareAndSwap(awaitingInsert, insertBegun) {
			submissions, inserted = append(submissions, pending.submission), append(inserted, pending)
		}
	}
	if len(submissions) == 0 {
		return nil
	}
	stored, err := store.Insert(ctx, submissions)
	if err != nil {
		return err
	}
	for i, pending := range inserted {
		pending.existing = stored[i]
	}
	return nil
}

// rejectPending rejects the submissions whose insertion a stalled store has not started. They are
// withdrawn, so that they will not be stored later.
func (m *Manager) rejectPending() {
	for pending := range m.pendingSubmissions {
		if pending.progress.CompareAndSwap(awaitingInsert, withdrawn) {
			m.circuit.CountRejected()
			m.discard(pending)
			pending.answer(submissionRef{}, drmaa.TryLaterError(storeRetryDelay, "the store of record does not answer"))
		}
	}
}

// discard removes a submission that was not stored.
func (m *Manager) discard(pending *pendingSubmission) {
	delete(m.pendingSubmissions, pending)
	for _, job := range pending.jobs {
		job.stage = ended
		m.forget(job)
		m.untrack(job)
	}
	if pending.array != nil {
		m.forgetArray(pending.array)
	}
}

// answer calls and removes the callbacks of a submission.
func (pending *pendingSubmission) answer(ref submissionRef, failure *drmaa.Error) {
	callbacks := pending.callbacks
	pending.callbacks = nil
	for _, answer := range callbacks {
		answer(ref, failure)
	}
}

// insertsWritten handles the result of insert.
func (m *Manager) insertsWritten(entries []*pendingSubmission, err error) {
	for _, pending := range entries {
		m.submissionWritten(pending, err)
	}
}

// submissionWritten acknowledges a stored submission and schedules its jobs. If the submission was
// not stored, it answers with the existing submission that uses its client key, or with the error.
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
		// The key belongs to a submission that is no longer in memory.
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
	faultinjection.Hit(faultinjection.AcknowledgeBefore)
	pending.answer(pending.ref(), nil)
	for _, job := range pending.jobs {
		if job.terminateOnRecord {
			m.endJob(job, drmaa.Failed, "terminated before it was sent", false)
			continue
		}
		m.schedule(job)
	}
}

// detached returns a stored submission as a submissionRef. If it is not in memory, the job or array
// is a temporary copy that the manager does not track.
func (m *Manager) detached(s ExistingSubmission) submissionRef {
	if s.Array != nil {
		return submissionRef{array: m.detachedArray(s.Array)}
	}
	return submissionRef{job: m.detachedJob(s.Job)}
}

// detachedJob returns the job in memory, or a temporary copy of an ended job's record.
func (m *Manager) detachedJob(r *Record) *Job {
	if job := m.jobs[r.ID]; job != nil {
		return job
	}
	return &Job{Record: *r, owner: m.tenants[r.Tenant], recorded: true, ending: true, stage: ended}
}

// detachedArray returns the array in memory, or a temporary copy of its record.
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

// fromNow returns the loop's time after a delay.
func (m *Manager) fromNow(span time.Duration) time.Duration { return m.clock.Now() + span }
