package jobs

import (
	"context"
	"log/slog"
	"math"
	"slices"
	"strconv"
	"time"

	"ospreybend/balance"
	"ospreybend/drmaa"
	"ospreybend/internal/node/faultinjection"
	"ospreybend/internal/node/routing"
	"ospreybend/internal/node/slottable"
)

const (
	maxRecordedSteps = 16 // maximum steps kept per job; older ones are dropped
	maxFailures      = 3  // a job fails after this many failed steps, a rerunnable job after this many failed operations
)

// launchQueued dispatches queued jobs to the core while the window has free slots.
func (m *Manager) launchQueued() {
	if m.stopping || m.queue.Len() == 0 || m.launchScheduled || m.launching {
		return
	}
	m.launching = true
	defer func() { m.launching = false }()
	now := m.clock.Now()
	retryAt, paused := m.window.Paused(now)
	if !paused && !m.core.AnyReady() {
		retryAt, paused = now+readyPollInterval, true
	}
	if paused {
		m.launchScheduled = true
		m.timers.Add(retryAt, func() {
			m.launchScheduled = false
			m.launchQueued()
		})
		return
	}
	for {
		job, ok := m.queue.First()
		if !ok || !m.window.Acquire(now, job.slots()) {
			return
		}
		m.queue.Remove(job.queueKey())
		m.launch(job)
	}
}

// BeforeSend implements routing.Gate. A job's first step is sent only after the store has recorded
// the job as sent, so that after a crash, a job that is not recorded as sent is known never to have run.
func (m *Manager) BeforeSend(handle slottable.Handle, open func(bool)) {
	job := m.byOperation[handle]
	switch {
	case job == nil || job.ending:
		open(false)
	case job.Sent:
		open(true)
	case m.stopping:
		open(false) // the next run of the program will send it
	default:
		job.sendRecorded = true
		m.updates.add(&change{RecordUpdate: RecordUpdate{ID: job.ID, Sent: true}, job: job, done: func(err error) {
			job.Sent = job.Sent || err == nil && job.operation == handle
			open(err == nil)
		}})
	}
}

// clearSent records that a job is no longer sent, if it certainly never ran.
func (m *Manager) clearSent(job *Job) {
	if job.sendRecorded && !job.MayHaveRun {
		job.Sent, job.sendRecorded = false, false
		m.updates.add(&change{RecordUpdate: RecordUpdate{ID: job.ID, Held: job.Held}, job: job})
	}
}

// change is a RecordUpdate that is waiting to be stored.
type change struct {
	RecordUpdate
	job  *Job
	done func(error) // may be nil
}

// writeUpdates writes a batch of updates, off the loop.
func (m *Manager) writeUpdates(ctx context.Context, store Store, updates []*change) error {
	rows := make([]RecordUpdate, len(updates))
	for i, update := range updates {
		rows[i] = update.RecordUpdate
	}
	return store.Update(ctx, rows)
}

// updatesWritten handles the result of writeUpdates. A failed update without a callback is retried.
func (m *Manager) updatesWritten(updates []*change, err error) {
	for _, update := range updates {
		switch {
		case update.done != nil:
			update.done(err)
		case err != nil:
			// The record still has the job as sent or held. That only matters after a crash.
			m.timers.Add(m.fromNow(storeRetryDelay), func() { m.rewriteStatus(update.job) })
		}
	}
	m.launchQueued()
}

// rewriteStatus stores the current status of an unfinished job.
func (m *Manager) rewriteStatus(job *Job) {
	if !job.ending {
		m.updates.add(&change{RecordUpdate: RecordUpdate{ID: job.ID, Sent: job.Sent || job.stage == inCore, Held: job.Held}, job: job})
	}
}

// launch submits a job to the core as an operation. The caller has acquired the window's slots.
func (m *Manager) launch(job *Job) {
	now := m.clock.Now()
	deadline := time.Duration(job.DeadlineAt) * time.Microsecond
	if now >= deadline {
		m.window.Release(now, job.slots())
		m.endJob(job, drmaa.Failed, m.deadlineReason(job), job.MayHaveRun)
		return
	}
	job.attempts++
	job.stepFailed, job.failedSteps = false, 0
	job.stage = inCore
	template := job.Template
	class := m.classes[template.RemoteCommand].Number
	operation := routing.Operation{Class: class, Slots: job.slots(),
		Deadline: min(deadline, now+m.config.Settings.Classes[class].Timeout), Cost: time.Duration(template.CostHint*1e6) * time.Microsecond,
		HasCost: template.CostHint > 0, Repeat: job.attempts > 1, Owner: m,
		Work: routing.Work{ID: job.ID + "-" + strconv.Itoa(job.attempts), Target: template.Target(indexText(&job.Record)),
			Body: []byte(template.Body(indexText(&job.Record)))}}
	job.operation = m.core.Accept(operation)
	m.byOperation[job.operation] = job
	m.core.Route(job.operation)
}

// leaveCore detaches a job from its operation and releases its window slots. If the operation is
// still in progress, the caller must withdraw it from the core.
func (m *Manager) leaveCore(job *Job) {
	if job.stage == inCore {
		m.window.Release(m.clock.Now(), job.slots())
		job.stage = unscheduled
	}
	if job.operation != 0 {
		delete(m.byOperation, job.operation)
		job.operation = 0
	}
}

// StepSent implements routing.Owner: a step is about to be sent to a destination.
func (m *Manager) StepSent(handle slottable.Handle, to balance.WorkerID) {
	job := m.byOperation[handle]
	if job == nil {
		return
	}
	name := m.config.WorkerName(to)
	if n := len(job.Steps); n > 0 && job.Steps[n-1].Machine != name {
		m.publish(job, drmaa.EventMigrated, name)
	}
	if job.State == drmaa.Running && !slices.ContainsFunc(job.Steps, func(s Step) bool { return s.StartedAt > 0 && s.EndedAt == 0 }) {
		m.transition(job, drmaa.Requeued) // the destination that was running it is lost
	}
	if len(job.Steps) >= maxRecordedSteps {
		job.Steps = slices.Delete(job.Steps, 0, 1)
	}
	job.Steps = append(job.Steps, Step{Machine: name, SentAt: m.unixNow(), worker: to})
	if job.DispatchedAt == 0 {
		job.DispatchedAt = m.unixNow()
	}
}

// stepInFlight returns a job's unfinished step at a destination, or nil.
func (m *Manager) stepInFlight(job *Job, to balance.WorkerID) *Step {
	for i := len(job.Steps) - 1; i >= 0; i-- {
		if s := &job.Steps[i]; s.worker == to && s.EndedAt == 0 {
			return s
		}
	}
	return nil
}

// Started implements routing.Owner: a prep worker has started to run the job.
func (m *Manager) Started(handle slottable.Handle, to balance.WorkerID) {
	job := m.byOperation[handle]
	if job == nil {
		return
	}
	job.StartedAt = m.unixNow()
	if s := m.stepInFlight(job, to); s != nil {
		s.StartedAt = job.StartedAt
	}
	m.transition(job, drmaa.Running)
	m.notifyWaiters(job)
}

// StepEnded implements routing.Owner: a step has ended. A job fails once the number of its steps
// that failed at prep workers reaches maxFailedSteps.
func (m *Manager) StepEnded(handle slottable.Handle, to balance.WorkerID, outcome balance.Outcome) {
	job := m.byOperation[handle]
	if job == nil {
		return
	}
	if s := m.stepInFlight(job, to); s != nil {
		s.EndedAt, s.Outcome = m.unixNow(), outcomeNames[outcome]
	}
	if outcome != balance.Errored {
		return
	}
	job.stepFailed = true
	job.failedSteps++
	if job.failedSteps < job.maxFailedSteps() {
		return
	}
	// Deferred to the next turn of the loop: the core has not finished processing the step.
	m.timers.Add(m.clock.Now(), func() {
		if job.operation == handle && !job.ending {
			m.leaveCore(job)
			m.core.Withdraw(handle)
			job.ExitStatus = 1
			m.endJob(job, drmaa.Failed, "the job failed at "+strconv.Itoa(job.failedSteps)+" prep workers that ran it", true)
			m.launchQueued()
		}
	})
}

// maxFailedSteps returns the number of failed steps, including the core's retries, at which an
// operation fails its job. For a rerunnable job there is no limit; see requeue.
func (job *Job) maxFailedSteps() int {
	switch rerunnable := job.Template.Rerunnable; {
	case rerunnable == nil:
		return maxFailures
	case *rerunnable:
		return math.MaxInt
	}
	return 1
}

// outcomeNames are the names of outcomes in the API.
var outcomeNames = [...]string{balance.Served: "served", balance.Errored: "failed", balance.Full: "returned",
	balance.TimedOut: "timed out", balance.ConnectFailed: "not connected", balance.Reset: "lost",
	balance.Cancelled: "cancelled", balance.NotSent: "not sent"}

// Answered implements routing.Owner: it handles the core's final answer to an operation.
func (m *Manager) Answered(handle slottable.Handle, answer routing.Answer) {
	job := m.byOperation[handle]
	if job == nil {
		return
	}
	m.leaveCore(job)
	job.MayHaveRun = job.MayHaveRun || answer.MayHaveRun
	defer m.launchQueued()
	faultinjection.Hit(faultinjection.OutcomeReceived)
	switch {
	case answer.Verdict == routing.Served:
		job.Result, job.ExitStatus = answer.Result, 0
		m.endJob(job, drmaa.Done, "", true)
	case answer.Verdict == routing.Refused, answer.Verdict == routing.Failed && !job.MayHaveRun:
		// A failed operation that certainly never ran is treated like a refusal: the timeout of the
		// class passed, for example because the store stalled in BeforeSend.
		m.requeue(job, answer.RetryAfter)
	case answer.Verdict == routing.Rejected:
		m.endJob(job, drmaa.Failed, "the prep workers can make nothing of the job", job.MayHaveRun)
	default:
		reason := "the job failed"
		if n := len(job.Steps); n > 0 && job.Steps[n-1].Outcome == outcomeNames[balance.Errored] {
			job.ExitStatus = 1
		} else if answer.MayHaveRun {
			reason = "the job failed or its prep worker was lost; it may have run and is not run again"
		}
		m.endJob(job, drmaa.Failed, reason, job.MayHaveRun)
	}
}

// requeue schedules a job again after a refused operation. The delay is the exponential backoff or
// the core's advice, whichever is longer; a job whose deadline comes first fails. The retry is safe,
// since either the operation has not run or the job is rerunnable.
func (m *Manager) requeue(job *Job, advice time.Duration) {
	if job.stepFailed {
		// The job failed at prep workers; the refusal was not for lack of capacity.
		job.failures++
		if rerunnable := job.Template.Rerunnable != nil && *job.Template.Rerunnable; !rerunnable || job.failures >= maxFailures {
			job.ExitStatus = 1
			m.endJob(job, drmaa.Failed, "the job failed at every prep worker that ran it", true)
			return
		}
	}
	m.window.ObserveRejection(m.clock.Now(), advice)
	backoff := min(minRequeueDelay<<min(job.refusals, 10), maxRequeueDelay)
	job.refusals++
	job.retryAfter = max(advice, backoff)
	job.notBefore = m.fromNow(job.retryAfter)
	if job.notBefore >= time.Duration(job.DeadlineAt)*time.Microsecond {
		m.endJob(job, drmaa.Failed, m.deadlineReason(job), job.MayHaveRun)
		return
	}
	m.transition(job, drmaa.Requeued)
	m.clearSent(job)
	m.schedule(job)
}

// endJob decides a job's final state; further calls have no effect. The state becomes visible only
// after it has been stored, so that a restart cannot revert a state that a client has seen.
func (m *Manager) endJob(job *Job, state drmaa.State, reason string, mayHaveRun bool) {
	if job.ending {
		return
	}
	m.leaveCore(job)
	m.unschedule(job)
	job.ending, job.stage = true, ended
	m.timers.Cancel(job.deadline)
	job.deadline = nil
	final := job.Record
	final.State, final.Reason, final.MayHaveRun, final.EndedAt = state, reason, mayHaveRun, m.unixNow()
	final.Steps = slices.Clone(job.Steps)
	for i := range final.Steps {
		if s := &final.Steps[i]; s.EndedAt == 0 {
			s.EndedAt, s.Outcome = final.EndedAt, outcomeNames[balance.Cancelled]
		}
	}
	job.final = &final
	m.finals.add(job)
}

// writeFinals writes a batch of final states, off the loop.
func (m *Manager) writeFinals(ctx context.Context, store Store, jobs []*Job) error {
	records := make([]*Record, len(jobs))
	for i, job := range jobs {
		records[i] = job.final
	}
	return store.Finish(ctx, records)
}

// finalsWritten publishes final states that have been stored. A failed write is retried until it
// succeeds.
func (m *Manager) finalsWritten(jobs []*Job, err error) {
	if err != nil {
		m.finalsToRetry += len(jobs)
		m.timers.Add(m.fromNow(storeRetryDelay), func() {
			m.finalsToRetry -= len(jobs)
			m.finals.add(jobs...)
		})
		return
	}
	for _, job := range jobs {
		m.publishEnd(job)
	}
}

// publishEnd makes a job's final state visible and notifies its waiters.
func (m *Manager) publishEnd(job *Job) {
	faultinjection.Hit(faultinjection.PublishBefore)
	previous := job.State
	state := job.final.State
	job.Record, job.final = *job.final, nil
	job.State = previous
	m.transition(job, state)
	level := slog.LevelDebug
	if state == drmaa.Failed {
		level = slog.LevelInfo
	}
	slog.Log(context.Background(), level, "batch job ended", "id", job.ID, "tenant", job.Tenant, "state", job.State, "reason", job.Reason,
		"may_have_run", job.MayHaveRun)
	m.untrack(job)
	m.notifyWaiters(job)
	m.endedJobs = append(m.endedJobs, job.ID)
	if len(m.endedJobs) > m.config.MaxEndedJobs {
		if old := m.jobs[m.endedJobs[0]]; old != nil {
			m.forget(old)
		}
		m.endedJobs = m.endedJobs[1:]
	}
	a := job.array
	if a == nil || a.unfinished > 0 {
		return
	}
	m.satisfyAll(a.allEndedWaiters, job)
	m.endedArrays = append(m.endedArrays, a.ID)
	if len(m.endedArrays) > maxEndedArrays {
		if old := m.arrays[m.endedArrays[0]]; old != nil {
			m.forgetArray(old)
		}
		m.endedArrays = m.endedArrays[1:]
	}
}

// StartDelay implements routing.LoadObserver: an operation of any front has started after wait.
func (m *Manager) StartDelay(owner routing.Owner, wait time.Duration) {
	m.window.ObserveStart(m.clock.Now(), wait, owner == routing.Owner(m))
	m.launchQueued()
}

// OperationConcluded implements routing.LoadObserver: a refused or failed operation of any front
// counts as a loss for the window.
func (m *Manager) OperationConcluded(_ routing.Owner, v routing.Verdict) {
	if v == routing.Refused || v == routing.Failed {
		m.window.ObserveLoss(m.clock.Now())
	}
}
