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

// stage is how far a job has come within the node.
type stage uint8

const (
	unscheduled stage = iota // held, before its start time, backing off, or beyond its array's limit
	queued                   // in the queue
	inCore
	ended
)

// Job is a job in memory.
type Job struct {
	Record
	owner             *TenantState
	session           *Session
	array             *Array
	stage             stage
	recorded          bool // in the store
	sendRecorded      bool // the store has it as sent, or that is being written
	ending            bool // its final state is decided, and being written
	terminateOnRecord bool // Terminate was called before it was recorded
	countedActive     bool // among its array's active jobs
	operation         slottable.Handle
	attempts          int // operations of it so far
	refusals          int // in a row
	failures          int // operations that failed at a prep worker
	stepFailed        bool
	failedSteps       int // of this operation
	notBefore         time.Duration
	wake              *timerqueue.Timer // when it may be queued
	deadline          *timerqueue.Timer
	retryAfter        time.Duration      // of the last refusal
	pending           *pendingSubmission // while it is being recorded
	waiters           waiters
	final             *Record // the final record, until it is written
}

func (job *Job) slots() float64 { return job.Template.Slots() }

func (job *Job) queueKey() queue.Key {
	start := job.Template.StartMicros()
	if start == 0 {
		start = job.SubmittedAt
	}
	return queue.Key{Priority: job.Template.Priority, Start: start, Seq: job.Seq, ID: job.ID}
}

// Array is a job array in memory.
type Array struct {
	ArrayRecord
	session        *Session
	recorded       bool
	pending        *pendingSubmission
	unfinishedJobs map[int]*Job // unfinished jobs by index
	states         map[drmaa.State]int
	active         int                // jobs in the queue or beyond it
	waiting        *queue.Queue[*Job] // jobs beyond MaxParallel

	unfinished      int
	anyWaiters      waiters // any of its jobs
	allEndedWaiters waiters // all of them
}

// newArray returns an array in memory without jobs.
func newArray(r ArrayRecord, recorded bool) *Array {
	return &Array{ArrayRecord: r, recorded: recorded, unfinishedJobs: map[int]*Job{}, states: map[drmaa.State]int{},
		waiting: queue.New[*Job]()}
}

// indexText returns the index of an array's job; "" for a single job.
func indexText(job *Record) string {
	if job.Array == "" {
		return ""
	}
	return strconv.Itoa(job.Index)
}

// track adds an unfinished job to the state in memory.
func (m *Manager) track(job *Job) {
	m.jobs[job.ID] = job
	job.owner.unfinished++
	job.session.jobs[job] = true
	m.rememberKey(submissionRef{job: job}, job.Tenant, job.ClientKey)
	if a := job.array; a != nil {
		a.session = job.session
		a.unfinishedJobs[job.Index] = job
		a.unfinished++
		a.states[job.State]++
	}
}

// rememberKey records what a client key stands for.
func (m *Manager) rememberKey(k submissionRef, tenant, key string) {
	if key != "" {
		m.byKey[keyOf(tenant, key)] = k
	}
}

func keyOf(tenant, clientKey string) string { return tenant + "\x00" + clientKey }

// untrack removes a job that has ended, or was not recorded, from the unfinished ones.
func (m *Manager) untrack(job *Job) {
	job.owner.unfinished--
	delete(job.session.jobs, job)
	if a := job.array; a != nil {
		delete(a.unfinishedJobs, job.Index)
		a.unfinished--
	}
	if job.session.State == SessionDestroying && len(job.session.jobs) == 0 {
		m.removeSession(job.session)
	}
}

// forget removes a job from memory. The store has it, unless it was not recorded.
func (m *Manager) forget(job *Job) {
	if m.jobs[job.ID] == job {
		delete(m.jobs, job.ID)
	}
	if key := keyOf(job.Tenant, job.ClientKey); m.byKey[key].job == job {
		delete(m.byKey, key)
	}
}

// forgetArray removes an array from memory.
func (m *Manager) forgetArray(a *Array) {
	if m.arrays[a.ID] == a {
		delete(m.arrays, a.ID)
	}
	if key := keyOf(a.Tenant, a.ClientKey); m.byKey[key].array == a {
		delete(m.byKey, key)
	}
}

// transition changes a job's state and publishes the event. A transition that the standard's
// model lacks is a defect: it is counted and logged.
func (m *Manager) transition(job *Job, to drmaa.State) {
	if job.State == to {
		return
	}
	if !job.State.CanTransitionTo(to) {
		m.modelViolations++
		slog.Error("invalid job state transition", "id", job.ID, "from", job.State, "to", to)
	}
	if job.array != nil {
		job.array.states[job.State]--
		job.array.states[to]++
	}
	job.State = to
	m.publish(job, drmaa.EventNewState, "")
}

// startDeadline fails the job if its deadline passes while it waits. In the core the core
// does that.
func (m *Manager) startDeadline(job *Job) {
	job.deadline = m.timers.Add(time.Duration(job.DeadlineAt)*time.Microsecond, func() {
		job.deadline = nil
		if job.stage != inCore { // from there it is scheduled again
			m.endJob(job, drmaa.Failed, m.deadlineReason(job), job.MayHaveRun)
		}
	})
}

// deadlineReason returns the reason of a job that fails by its deadline.
func (m *Manager) deadlineReason(job *Job) string {
	switch {
	case job.MayHaveRun:
		return "its deadline passed"
	case job.retryAfter > 0:
		return "refused until its deadline; it never ran; a new one may be taken after " + job.retryAfter.String()
	}
	return "its deadline passed while it waited; it never ran"
}

// schedule queues a waiting job, or leaves it unscheduled until its release, its start time or
// backoff, or a place within its array's MaxParallel.
func (m *Manager) schedule(job *Job) {
	if !job.recorded || job.ending || job.stage == inCore {
		return
	}
	m.unschedule(job)
	now := m.clock.Now()
	if job.DeadlineAt > 0 && job.deadline == nil {
		if now >= time.Duration(job.DeadlineAt)*time.Microsecond {
			m.endJob(job, drmaa.Failed, m.deadlineReason(job), job.MayHaveRun) // it passed before the job was scheduled
			return
		}
		m.startDeadline(job)
	}
	at := max(time.Duration(job.Template.StartMicros())*time.Microsecond, job.notBefore)
	switch {
	case job.State.Held():
	case now < at:
		job.wake = m.timers.Add(at, func() {
			job.wake = nil
			m.schedule(job)
		})
	case job.array != nil && job.array.MaxParallel > 0 && job.array.active >= job.array.MaxParallel:
		job.array.waiting.Put(job.queueKey(), job)
	default:
		if job.array != nil {
			job.array.active++
			job.countedActive = true
		}
		job.stage = queued
		m.queue.Put(job.queueKey(), job)
		m.launchQueued()
	}
}

// unschedule removes a job from the queue and ends its waiting. Its place among its array's
// active jobs goes to the next.
func (m *Manager) unschedule(job *Job) {
	m.timers.Cancel(job.wake)
	job.wake = nil
	if job.stage == queued {
		m.queue.Remove(job.queueKey())
	}
	if job.stage != ended {
		job.stage = unscheduled
	}
	a := job.array
	if a == nil {
		return
	}
	a.waiting.Remove(job.queueKey())
	if !job.countedActive {
		return
	}
	job.countedActive = false
	a.active--
	if next, ok := a.waiting.First(); ok {
		a.waiting.Remove(next.queueKey())
		m.schedule(next)
	}
}

// View returns a job as its client sees it now.
func (m *Manager) View(job *Job) *drmaa.Job {
	v := job.view()
	v.SubmissionMachine = m.config.Machine
	if !job.State.Final() {
		v.MayHaveRun = v.MayHaveRun || job.operation != 0 && m.core.MayHaveRun(job.operation)
		if job.State.Started() {
			v.WallclockTime = float64(m.unixNow()-job.StartedAt) / 1e6
		}
	}
	return v
}

// view returns a job as its client sees it, by its record alone.
func (r *Record) view() *drmaa.Job {
	t := *r.Template
	t.Input = "" // it may be large, and the client has it
	v := &drmaa.Job{ID: r.ID, Name: t.JobName, Session: r.Session, Owner: r.Tenant, State: r.State, SubState: r.Reason, Template: &t,
		Slots: t.Slots(), Queue: t.RemoteCommand, Submitted: drmaa.FormatTime(r.SubmittedAt),
		Dispatched: drmaa.FormatTime(r.DispatchedAt), MayHaveRun: r.MayHaveRun, Array: r.Array, Index: r.Index}
	for _, s := range r.Steps {
		v.Steps = append(v.Steps, drmaa.Step{Machine: s.Machine, Sent: drmaa.FormatTime(s.SentAt), Started: drmaa.FormatTime(s.StartedAt),
			Ended: drmaa.FormatTime(s.EndedAt), Outcome: s.Outcome})
	}
	if n := len(r.Steps); n > 0 && r.StartedAt > 0 {
		at := slices.IndexFunc(r.Steps, func(s Step) bool { return s.StartedAt == r.StartedAt })
		v.Machines = []drmaa.Slots{{Machine: r.Steps[max(at, 0)].Machine, Slots: t.Slots()}}
	}
	if !r.State.Final() {
		return v
	}
	v.Finished, v.Annotation = drmaa.FormatTime(r.EndedAt), r.Reason
	if r.StartedAt > 0 {
		v.WallclockTime = float64(r.EndedAt-r.StartedAt) / 1e6
	}
	if r.Settled.At > 0 {
		v.Settled = &drmaa.Settlement{Ran: r.Settled.Ran, Reason: r.Settled.Reason, Time: drmaa.FormatTime(r.Settled.At)}
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

// ViewArray returns an array as its client sees it now.
func (m *Manager) ViewArray(a *Array) *drmaa.Array {
	t := *a.Template
	t.Input = ""
	v := &drmaa.Array{ID: a.ID, Session: a.Session, Template: &t, Begin: a.Begin, End: a.End, Step: a.Step,
		MaxParallel: a.MaxParallel, Submitted: drmaa.FormatTime(a.SubmittedAt), States: map[drmaa.State]int{}}
	for s, n := range a.states {
		if n > 0 {
			v.States[s] = n
			v.Jobs += n
		}
	}
	v.AllEnded = v.States[drmaa.Done]+v.States[drmaa.Failed] == v.Jobs
	return v
}
