package jobs

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"ospreybend/drmaa"
	"ospreybend/internal/node/faultinjection"
)

const mostInserts = 1024 // submissions that wait for the store at most

// Errors that more than one call gives.
var (
	UnknownJob     = &drmaa.Error{Status: 404, Name: drmaa.InvalidArgument, Message: "no such job"}
	UnknownArray   = &drmaa.Error{Status: 404, Name: drmaa.InvalidArgument, Message: "no such job array"}
	UnknownSession = &drmaa.Error{Status: 404, Name: drmaa.InvalidSession, Message: "no such session, or it is closed"}
	Broken         = &drmaa.Error{Status: 500, Name: drmaa.Internal, Message: "the store of record failed"}
	Behind         = drmaa.Later(busyReturn, "the store of record is behind")

	keyReused = &drmaa.Error{Status: 409, Name: drmaa.InvalidArgument, Attribute: "x_clientKey",
		Message: "the client key stands for a submission of different content"}
)

// entry is a submission that is being recorded.
type entry struct {
	sub    *Submission
	jobs   []*Job
	array  *Array
	askers []func(keyed, *drmaa.Error)
	stored Stored
	fate   atomic.Int32 // waits, begun or withdrawn: the keeper's and the loop's
}

const (
	waits     = iota // neither the store has begun it nor the loop taken it back
	begun            // the store may have it
	withdrawn        // its clients have been turned away
)

func (e *entry) kept() keyed {
	if e.array != nil {
		return keyed{array: e.array}
	}
	return keyed{job: e.jobs[0]}
}

func (k keyed) digest() string {
	if k.array != nil {
		return k.array.Digest
	}
	return k.job.Digest
}

// Submit takes a job in. answer is called once the job is recorded.
func (m *Manager) Submit(t *TenantState, session string, template *drmaa.JobTemplate, answer func(*Job, *drmaa.Error)) {
	digest := template.Digest("")
	tell := func(k keyed, e *drmaa.Error) {
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
	j := m.newJob(s, t, template, newID(), 0)
	j.ClientKey, j.Digest = template.ClientKey, digest
	record := j.Record // the keeper must not read what the loop changes
	e := &entry{sub: &Submission{Jobs: []*Record{&record}}, jobs: []*Job{j}}
	e.askers = append(e.askers, tell)
	j.entry = e
	m.hold(j)
	m.entries[e] = true
	m.inserts.add(e)
}

// SubmitBulk takes a job array in, all of it or nothing. answer is called once
// it is recorded. The client key covers the whole array.
func (m *Manager) SubmitBulk(t *TenantState, session string, b *drmaa.Bulk, answer func(*Array, *drmaa.Error)) {
	digest := b.Digest()
	tell := func(k keyed, e *drmaa.Error) {
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
	e := &entry{sub: &Submission{Array: &record, Jobs: make([]*Record, 0, n)}, array: a, jobs: make([]*Job, 0, n)}
	e.askers = append(e.askers, tell)
	a.entry, a.session = e, s
	records := make([]Record, n)
	for i := range n {
		index := b.Begin + i*b.Step
		j := m.newJob(s, t, b.Template, drmaa.JobID(a.ID, index), index)
		j.Array, j.array, j.entry = a.ID, a, e
		records[i] = j.Record
		e.sub.Jobs = append(e.sub.Jobs, &records[i])
		e.jobs = append(e.jobs, j)
		m.hold(j)
	}
	m.arrays[a.ID] = a
	m.keep(keyed{array: a}, a.Tenant, a.ClientKey)
	m.entries[e] = true
	m.inserts.add(e)
}

// admit checks whether n jobs may be taken in, and answers where not or where
// the client key stands for a submission already.
func (m *Manager) admit(t *TenantState, name, key, digest string, n int, tell func(keyed, *drmaa.Error)) (*Session, bool) {
	s := t.sessions[name]
	if s == nil || s.State != SessionOpen {
		tell(keyed{}, UnknownSession)
		return nil, false
	}
	if key != "" {
		if k, ok := m.byKey[keyOf(t.Name, key)]; ok {
			m.join(k, digest, tell)
			return nil, false
		}
	}
	after, ok := m.circuit.Admit(m.clock.Now())
	switch {
	case !ok:
		tell(keyed{}, drmaa.Later(after, "the store of record does not answer"))
	case m.stopping:
		tell(keyed{}, drmaa.Later(busyReturn, "the node is stopping"))
	case t.unfinished+n > t.Quota:
		tell(keyed{}, &drmaa.Error{Status: 429, Name: drmaa.TryLater, Return: busyReturn,
			Message: "the tenant has " + strconv.Itoa(t.unfinished) + " unfinished jobs, its quota is " + strconv.Itoa(t.Quota)})
	case m.inserts.pending() >= mostInserts:
		tell(keyed{}, Behind)
	default:
		return s, true
	}
	return nil, false
}

// join answers a submission whose client key stands for one already.
func (m *Manager) join(k keyed, digest string, tell func(keyed, *drmaa.Error)) {
	var e *entry
	if k.array != nil {
		e = k.array.entry
	} else {
		e = k.job.entry
	}
	switch {
	case k.digest() != digest:
		tell(keyed{}, keyReused)
	case e != nil:
		e.askers = append(e.askers, tell)
	default:
		tell(k, nil)
	}
}

func (m *Manager) newJob(s *Session, t *TenantState, template *drmaa.JobTemplate, id string, index int) *Job {
	now := m.unixNow()
	m.lastSeq = max(m.lastSeq+1, now)
	j := &Job{owner: t, session: s, Record: Record{ID: id, Tenant: t.Name, Session: s.Name, Index: index, Seq: m.lastSeq,
		Template: template, SubmittedAt: now, DeadlineAt: template.End(now), State: drmaa.Queued, ExitStatus: -1}}
	if j.DeadlineAt == 0 {
		j.DeadlineAt = max(now, template.Start()) + m.config.LongestWait.Microseconds()
	}
	if template.SubmitAsHold {
		j.Held, j.State = true, drmaa.QueuedHeld
	}
	return j
}

func (m *Manager) insert(ctx context.Context, store Store, entries []*entry) error {
	var subs []*Submission
	var whose []*entry
	for _, e := range entries {
		if e.fate.CompareAndSwap(waits, begun) {
			subs, whose = append(subs, e.sub), append(whose, e)
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
		e.stored = stored[i]
	}
	return nil
}

// turnAway answers the submissions that the store has not begun, while it stalls:
// nothing of them is on record, nor will be.
func (m *Manager) turnAway() {
	for e := range m.entries {
		if e.fate.CompareAndSwap(waits, withdrawn) {
			m.circuit.Turn()
			m.undo(e)
			e.answer(keyed{}, drmaa.Later(storeAgain, "the store of record does not answer"))
		}
	}
}

// undo forgets a submission that is not on record.
func (m *Manager) undo(e *entry) {
	delete(m.entries, e)
	for _, j := range e.jobs {
		j.stage = over
		m.drop(j)
		m.release(j)
	}
	if e.array != nil {
		m.dropArray(e.array)
	}
}

func (e *entry) answer(k keyed, p *drmaa.Error) {
	askers := e.askers
	e.askers = nil
	for _, answer := range askers {
		answer(k, p)
	}
}

// inserted takes up submissions that the store has, or has refused.
func (m *Manager) inserted(entries []*entry, err error) {
	for _, e := range entries {
		m.taken(e, err)
	}
}

func (m *Manager) taken(e *entry, err error) {
	if e.fate.Load() == withdrawn {
		return
	}
	delete(m.entries, e)
	e.sub = nil
	if err != nil || e.stored != (Stored{}) {
		m.undo(e)
		if err != nil {
			e.answer(keyed{}, Broken)
			return
		}
		// The key was taken by something that is no longer at hand.
		k := m.loose(e.stored)
		if k.digest() != e.kept().digest() {
			e.answer(keyed{}, keyReused)
			return
		}
		e.answer(k, nil)
		return
	}
	if e.array != nil {
		e.array.recorded, e.array.entry = true, nil
	}
	for _, j := range e.jobs {
		j.recorded, j.entry = true, nil
		m.tell(j, drmaa.NewState, "")
	}
	faultinjection.Hit(faultinjection.AnswerBefore)
	e.answer(e.kept(), nil)
	for _, j := range e.jobs {
		if j.terminate {
			m.end(j, drmaa.Failed, "terminated before it was sent", false)
			continue
		}
		m.settle(j)
	}
}

// loose makes what the store returned fit for one call.
func (m *Manager) loose(s Stored) keyed {
	if s.Array != nil {
		return keyed{array: m.looseArray(s.Array)}
	}
	return keyed{job: m.looseJob(s.Job)}
}

func (m *Manager) looseJob(r *Record) *Job {
	if j := m.jobs[r.ID]; j != nil {
		return j
	}
	return &Job{Record: *r, owner: m.tenants[r.Tenant], recorded: true, ending: true, stage: over}
}

func (m *Manager) looseArray(r *ArrayRecord) *Array {
	if a := m.arrays[r.ID]; a != nil {
		return a
	}
	a := newArray(*r, true)
	for s, n := range r.States {
		a.states[s] = n
	}
	return a
}

// within is a span from now on, on the clock.
func (m *Manager) within(span time.Duration) time.Duration { return m.clock.Now() + span }
