package jobs

import (
	"cmp"
	"context"
	"maps"
	"slices"

	"ospreybend/drmaa"
)

// Actions on a job, an array or the jobs of a session.
const (
	Hold      = "hold"
	Release   = "release"
	Terminate = "terminate"
	Reap      = "reap"
)

// Act performs an action on a job. done is called once the effect is stored, or with an error.
// Terminate is the exception: done is called first, and the job ends once its final state is stored.
func (m *Manager) Act(job *Job, action string, done func(*drmaa.Error)) {
	switch action {
	case Hold:
		m.holdJob(job, done)
	case Release:
		m.releaseJob(job, done)
	case Terminate:
		done(m.Terminate(job))
	case Reap:
		m.reap(ReapSelector{Tenant: job.Tenant, Session: job.Session, IDs: []string{job.ID}}, []*Job{job}, func(_ int, e *drmaa.Error) { done(e) })
	case "suspend", "resume":
		done(drmaa.UnsupportedOperationError("prep workers cannot " + action))
	default:
		done(drmaa.InvalidArgumentError("action", "%q is unknown", action))
	}
}

var jobHasEnded = drmaa.InvalidStateError("the job has ended")

// holdJob holds a waiting job, so that it is not sent. A job in the core is withdrawn; holding fails
// if one of its steps may have run.
func (m *Manager) holdJob(job *Job, done func(*drmaa.Error)) {
	switch {
	case job.ending || job.State.Final():
		done(jobHasEnded)
		return
	case !job.State.Waiting() || job.State.Held():
		done(drmaa.InvalidStateError("the job is %s", job.State))
		return
	case job.stage == inCore && m.core.MayHaveRun(job.operation):
		done(drmaa.InvalidStateError("the job has gone to a prep worker"))
		return
	}
	if job.stage == inCore {
		handle := job.operation
		m.leaveCore(job)
		m.core.Withdraw(handle)
	}
	m.leaveCore(job)
	if !job.MayHaveRun {
		job.Sent, job.sendRecorded = false, false
	}
	job.Held = true
	m.transition(job, job.State.Hold())
	m.schedule(job)
	m.updates.add(&change{RecordUpdate: RecordUpdate{ID: job.ID, Sent: job.Sent, Held: true}, job: job, done: func(err error) {
		if err == nil {
			done(nil)
			return
		}
		if !job.ending && job.State.Held() {
			job.Held = false
			m.transition(job, job.State.Release())
			m.schedule(job)
		}
		done(StoreFailed)
	}})
	m.launchQueued()
}

// releaseJob releases a held job after the store has recorded the release.
func (m *Manager) releaseJob(job *Job, done func(*drmaa.Error)) {
	switch {
	case job.ending || job.State.Final():
		done(jobHasEnded)
		return
	case !job.State.Held():
		done(drmaa.InvalidStateError("the job is %s, not held", job.State))
		return
	}
	m.updates.add(&change{RecordUpdate: RecordUpdate{ID: job.ID, Sent: job.Sent}, job: job, done: func(err error) {
		switch {
		case err != nil:
			done(StoreFailed)
			return
		case !job.ending && job.State.Held():
			job.Held = false
			m.transition(job, job.State.Release())
			m.schedule(job)
		}
		done(nil)
	}})
}

// Terminate ends a job as FAILED on request. A job in the core is withdrawn.
func (m *Manager) Terminate(job *Job) *drmaa.Error {
	switch {
	case job.ending || job.State.Final():
		return jobHasEnded
	case !job.recorded:
		job.terminateOnRecord = true
		return nil
	}
	ran := job.MayHaveRun
	if job.operation != 0 {
		handle := job.operation
		ran = ran || m.core.MayHaveRun(handle)
		m.leaveCore(job)
		m.core.Withdraw(handle)
	}
	m.endJob(job, drmaa.Failed, "terminated", ran)
	m.launchQueued()
	return nil
}

// TerminateID terminates the job with an ID, of any tenant, for the admin API. Only jobs in memory
// are found.
func (m *Manager) TerminateID(id string) (*Job, *drmaa.Error) {
	job := m.jobs[id]
	if job == nil {
		return nil, UnknownJob
	}
	return job, m.Terminate(job)
}

// ActOnArray performs an action on all jobs of an array whose state allows it. If no job's state
// does, the result is the error of one of the jobs.
func (m *Manager) ActOnArray(array *Array, action string, done func(*drmaa.Affected, *drmaa.Error)) {
	if action == Reap {
		if array.unfinished > 0 {
			done(nil, drmaa.InvalidStateError("%d jobs of the array have not ended", array.unfinished))
			return
		}
		var ended []*Job
		for _, job := range m.jobs {
			if job.array == array {
				ended = append(ended, job)
			}
		}
		m.reap(ReapSelector{Tenant: array.Tenant, Session: array.Session, Array: array.ID}, ended, func(n int, e *drmaa.Error) {
			if e != nil {
				done(nil, e)
				return
			}
			m.forgetArray(array)
			done(&drmaa.Affected{Applied: n}, nil)
		})
		return
	}
	all := make([]*Job, 0, len(array.unfinishedJobs))
	for _, index := range slices.Sorted(maps.Keys(array.unfinishedJobs)) {
		all = append(all, array.unfinishedJobs[index])
	}
	m.actOnAll(all, action, done)
}

// actOnAll performs an action on several jobs and counts those that it applied to.
func (m *Manager) actOnAll(all []*Job, action string, done func(*drmaa.Affected, *drmaa.Error)) {
	if len(all) == 0 {
		done(nil, jobHasEnded)
		return
	}
	var out drmaa.Affected
	var failure *drmaa.Error
	remaining := len(all)
	for _, job := range all {
		m.Act(job, action, func(e *drmaa.Error) {
			switch {
			case e == nil:
				out.Applied++
			case e.Name == drmaa.InvalidState:
				out.RuledOut++
			}
			if e != nil && (failure == nil || e.Name != drmaa.InvalidState) {
				failure = e
			}
			if remaining--; remaining > 0 {
				return
			}
			if out.Applied == 0 || failure != nil && failure.Name != drmaa.InvalidState {
				done(nil, failure)
				return
			}
			done(&out, nil)
		})
	}
}

// reap hides ended jobs from their tenant and forgets those in memory.
func (m *Manager) reap(selector ReapSelector, inMemory []*Job, done func(int, *drmaa.Error)) {
	for _, job := range inMemory {
		if !job.State.Final() {
			done(0, drmaa.InvalidStateError("the job is %s; only one that has ended is reaped", job.State))
			return
		}
	}
	callStore(m, func(ctx context.Context, store Store) (int, error) {
		return store.Reap(ctx, selector)
	}, func(count int, e *drmaa.Error) {
		if e != nil {
			done(0, e)
			return
		}
		for _, job := range inMemory {
			m.forget(job)
		}
		done(count, nil)
	})
}

// byAge returns jobs sorted by submission, oldest first.
func byAge(all map[*Job]bool) []*Job {
	return slices.SortedFunc(maps.Keys(all), func(a, b *Job) int { return cmp.Compare(a.Seq, b.Seq) })
}
