package jobs

import (
	"log/slog"
	"slices"
	"strconv"
	"time"

	"ospreybend/drmaa"
	"ospreybend/internal/node/batch/queue"
	"ospreybend/internal/node/slottable"
	"ospreybend/internal/node/timerqueue"
)

// stage is where in the node a job is.
type stage uint8

const (
	parked stage = iota // held, or not to start yet, or behind its array's limit
	lined               // in the queue
	inCore
	over
)

// Job is a job at hand.
type Job struct {
	Record
	owner       *TenantState
	session     *Session
	array       *Array
	stage       stage
	recorded    bool // in the store
	marked      bool // the store has it as sent, or is about to
	ending      bool // its final state is decided, and being recorded
	terminate   bool // asked for before it was recorded
	counted     bool // among its array's active jobs
	op          slottable.Handle
	tries       int // operations made of it
	refusals    int // in a row
	failures    int // operations in which prep workers ran it and it failed
	failedNow   bool
	failedSteps int // of this operation
	notBefore   time.Duration
	wake        *timerqueue.Timer // when it may be put in the queue
	deadline    *timerqueue.Timer
	after       time.Duration // the last refusal's advice
	entry       *entry        // while it is being recorded
	waiters     waiters
	next        *Record // the final state, until it is recorded
}

func (j *Job) slots() float64 { return j.Template.Slots() }

func (j *Job) place() queue.Place {
	start := j.Template.Start()
	if start == 0 {
		start = j.SubmittedAt
	}
	return queue.Place{Priority: j.Template.Priority, Start: start, Seq: j.Seq, ID: j.ID}
}

// Array is a job array at hand.
type Array struct {
	ArrayRecord
	session  *Session
	recorded bool
	entry    *entry
	open     map[int]*Job // unfinished jobs by index
	states   map[drmaa.State]int
	active   int                // jobs in the queue or beyond it
	waiting  *queue.Queue[*Job] // those behind the limit

	unfinished int
	waiters    waiters // any of its jobs
	finishers  waiters // all of them
}

func newArray(r ArrayRecord, recorded bool) *Array {
	return &Array{ArrayRecord: r, recorded: recorded, open: map[int]*Job{}, states: map[drmaa.State]int{},
		waiting: queue.New[*Job]()}
}

func indexText(j *Record) string {
	if j.Array == "" {
		return ""
	}
	return strconv.Itoa(j.Index)
}

// hold keeps an unfinished job at hand.
func (m *Manager) hold(j *Job) {
	m.jobs[j.ID] = j
	j.owner.unfinished++
	j.session.jobs[j] = true
	m.keep(keyed{job: j}, j.Tenant, j.ClientKey)
	if a := j.array; a != nil {
		a.session = j.session
		a.open[j.Index] = j
		a.unfinished++
		a.states[j.State]++
	}
}

func (m *Manager) keep(k keyed, tenant, key string) {
	if key != "" {
		m.byKey[keyOf(tenant, key)] = k
	}
}

func keyOf(tenant, clientKey string) string { return tenant + "\x00" + clientKey }

// release undoes hold, for a job that has ended or was never recorded.
func (m *Manager) release(j *Job) {
	j.owner.unfinished--
	delete(j.session.jobs, j)
	if a := j.array; a != nil {
		delete(a.open, j.Index)
		a.unfinished--
	}
	if j.session.State == SessionDestroying && len(j.session.jobs) == 0 {
		m.destroyed(j.session)
	}
}

// drop forgets a job. The store has it, or never got it.
func (m *Manager) drop(j *Job) {
	if m.jobs[j.ID] == j {
		delete(m.jobs, j.ID)
	}
	if key := keyOf(j.Tenant, j.ClientKey); m.byKey[key].job == j {
		delete(m.byKey, key)
	}
}

func (m *Manager) dropArray(a *Array) {
	if m.arrays[a.ID] == a {
		delete(m.arrays, a.ID)
	}
	if key := keyOf(a.Tenant, a.ClientKey); m.byKey[key].array == a {
		delete(m.byKey, key)
	}
}

// turn gives a job a new state and tells of it. A change that the standard's
// model does not have is a fault of the program's.
func (m *Manager) turn(j *Job, to drmaa.State) {
	if j.State == to {
		return
	}
	if !j.State.May(to) {
		m.faults++
		slog.Error("a job's state changes against the model", "id", j.ID, "from", j.State, "to", to)
	}
	if j.array != nil {
		j.array.states[j.State]--
		j.array.states[to]++
	}
	j.State = to
	m.tell(j, drmaa.NewState, "")
}

// watch has the job end when its deadline passes while it waits. In the core it
// is the core that watches.
func (m *Manager) watch(j *Job) {
	j.deadline = m.due.Add(time.Duration(j.DeadlineAt)*time.Microsecond, func() {
		j.deadline = nil
		if j.stage != inCore { // there the core watches, and it settles again
			m.end(j, drmaa.Failed, m.lateReason(j), j.MayHaveRun)
		}
	})
}

func (m *Manager) lateReason(j *Job) string {
	switch {
	case j.MayHaveRun:
		return "its deadline passed"
	case j.after > 0:
		return "refused until its deadline; it never ran; a new one may be taken after " + j.after.String()
	}
	return "its deadline passed while it waited; it never ran"
}

// settle puts a waiting job where it belongs now: to wait for its release or its
// time, behind its array's limit, or in the queue.
func (m *Manager) settle(j *Job) {
	if !j.recorded || j.ending || j.stage == inCore {
		return
	}
	m.park(j)
	now := m.clock.Now()
	if j.DeadlineAt > 0 && j.deadline == nil {
		if now >= time.Duration(j.DeadlineAt)*time.Microsecond {
			m.end(j, drmaa.Failed, m.lateReason(j), j.MayHaveRun) // it passed while the job was on its way
			return
		}
		m.watch(j)
	}
	at := max(time.Duration(j.Template.Start())*time.Microsecond, j.notBefore)
	switch {
	case j.State.Held():
	case now < at:
		j.wake = m.due.Add(at, func() {
			j.wake = nil
			m.settle(j)
		})
	case j.array != nil && j.array.MaxParallel > 0 && j.array.active >= j.array.MaxParallel:
		j.array.waiting.Put(j.place(), j)
	default:
		if j.array != nil {
			j.array.active++
			j.counted = true
		}
		j.stage = lined
		m.line.Put(j.place(), j)
		m.pump()
	}
}

// park takes a job out of wherever it waits. Its place among its array's active
// jobs goes to the next.
func (m *Manager) park(j *Job) {
	m.due.Cancel(j.wake)
	j.wake = nil
	if j.stage == lined {
		m.line.Drop(j.place())
	}
	if j.stage != over {
		j.stage = parked
	}
	a := j.array
	if a == nil {
		return
	}
	a.waiting.Drop(j.place())
	if !j.counted {
		return
	}
	j.counted = false
	a.active--
	if next, ok := a.waiting.First(); ok {
		a.waiting.Drop(next.place())
		m.settle(next)
	}
}

// View is the job as its client sees it now.
func (m *Manager) View(j *Job) *drmaa.Job {
	v := j.view()
	v.SubmissionMachine = m.config.Machine
	if !j.State.Final() {
		v.MayHaveRun = v.MayHaveRun || j.op != 0 && m.core.MayHaveRun(j.op)
		if j.State.Started() {
			v.WallclockTime = float64(m.unixNow()-j.StartedAt) / 1e6
		}
	}
	return v
}

func (r *Record) view() *drmaa.Job {
	t := *r.Template
	t.Input = "" // it may be large, and the client has it
	v := &drmaa.Job{ID: r.ID, Name: t.JobName, Session: r.Session, Owner: r.Tenant, State: r.State, SubState: r.Reason, Template: &t,
		Slots: t.Slots(), Queue: t.RemoteCommand, Submitted: drmaa.Stamp(r.SubmittedAt),
		Dispatched: drmaa.Stamp(r.DispatchedAt), MayHaveRun: r.MayHaveRun, Array: r.Array, Index: r.Index}
	for _, s := range r.Steps {
		v.Steps = append(v.Steps, drmaa.Step{Machine: s.Machine, Sent: drmaa.Stamp(s.SentAt), Started: drmaa.Stamp(s.StartedAt),
			Ended: drmaa.Stamp(s.EndedAt), Outcome: s.Outcome})
	}
	if n := len(r.Steps); n > 0 && r.StartedAt > 0 {
		at := slices.IndexFunc(r.Steps, func(s Step) bool { return s.StartedAt == r.StartedAt })
		v.Machines = []drmaa.Slots{{Machine: r.Steps[max(at, 0)].Machine, Slots: t.Slots()}}
	}
	if !r.State.Final() {
		return v
	}
	v.Finished, v.Annotation = drmaa.Stamp(r.EndedAt), r.Reason
	if r.StartedAt > 0 {
		v.WallclockTime = float64(r.EndedAt-r.StartedAt) / 1e6
	}
	if r.Settled.At > 0 {
		v.Settled = &drmaa.Settlement{Ran: r.Settled.Ran, Reason: r.Settled.Reason, Time: drmaa.Stamp(r.Settled.At)}
	}
	if r.ExitStatus >= 0 {
		status := r.ExitStatus
		v.ExitStatus = &status
	}
	if r.State == drmaa.Done {
		text := string(r.Result)
		v.Result = &text
	}
	return v
}

// ViewArray is the array as its client sees it now.
func (m *Manager) ViewArray(a *Array) *drmaa.Array {
	t := *a.Template
	t.Input = ""
	v := &drmaa.Array{ID: a.ID, Session: a.Session, Template: &t, Begin: a.Begin, End: a.End, Step: a.Step,
		MaxParallel: a.MaxParallel, Submitted: drmaa.Stamp(a.SubmittedAt), States: map[drmaa.State]int{}}
	for s, n := range a.states {
		if n > 0 {
			v.States[s] = n
			v.Jobs += n
		}
	}
	v.Over = v.States[drmaa.Done]+v.States[drmaa.Failed] == v.Jobs
	return v
}
