package jobs

import (
	"cmp"
	"context"
	"maps"
	"slices"

	"ospreybend/drmaa"
)

// The actions on a job, an array and a session's jobs.
const (
	Hold      = "hold"
	Release   = "release"
	Terminate = "terminate"
	Reap      = "reap"
)

// Act performs an action on a job. done is called once its effect is recorded, or with an error.
// A terminated job's end follows after that.
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

// holdJob keeps a waiting job from being sent. A job in the core is withdrawn, unless a step of
// it may have run.
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

// releaseJob releases a held job once the store has it as released.
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

// Terminate fails a job on request.
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

// TerminateID terminates a job in memory, for the administration.
func (m *Manager) TerminateID(id string) (*Job, *drmaa.Error) {
	job := m.jobs[id]
	if job == nil {
		return nil, UnknownJob
	}
	return job, m.Terminate(job)
}

// ActOnArray performs an action on all jobs of an array whose state allows it. If there is none,
// the error is that of a single job.
func (m *Manager) ActOnArray(array *Array, action string, done func(*drmaa.Affected, *drmaa.Error)) {
	if action == Reap {
		if array.unfinished > 0 {
			done(nil, drmaa.InvalidStateError("%d jobs of the array have not ended", array.unfinished))
			return
		}
		var at []*Job
		for _, job := range m.jobs {
			if job.array == array {
				at = append(at, job)
			}
		}
		m.reap(ReapSelector{Tenant: array.Tenant, Session: array.Session, Array: array.ID}, at, func(n int, e *drmaa.Error) {
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

// actOnAll performs an action on jobs and counts those it applied to.
func (m *Manager) actOnAll(all []*Job, action string, done func(*drmaa.Affected, *drmaa.Error)) {
	if len(all) == 0 {
		done(nil, jobHasEnded)
		return
	}
	var out drmaa.Affected
	var fault *drmaa.Error
	left := len(all)
	for _, job := range all {
		m.Act(job, action, func(e *drmaa.Error) {
			switch {
			case e == nil:
				out.Applied++
			case e.Name == drmaa.InvalidState:
				out.RuledOut++
			}
			if e != nil && (fault == nil || e.Name != drmaa.InvalidState) {
				fault = e
			}
			if left--; left > 0 {
				return
			}
			if out.Applied == 0 || fault != nil && fault.Name != drmaa.InvalidState {
				done(nil, fault)
				return
			}
			done(&out, nil)
		})
	}
}

// reap hides ended jobs from their owner.
func (m *Manager) reap(what ReapSelector, at []*Job, done func(int, *drmaa.Error)) {
	for _, job := range at {
		if !job.State.Final() {
			done(0, drmaa.InvalidStateError("the job is %s; only one that has ended is reaped", job.State))
			return
		}
	}
	callStore(m, func(ctx context.Context, store Store) (int, error) {
		return store.Reap(ctx, what)
	}, func(count int, e *drmaa.Error) {
		if e != nil {
			done(0, e)
			return
		}
		for _, job := range at {
			m.forget(job)
		}
		done(count, nil)
	})
}

// byAge sorts jobs, the oldest first.
func byAge(all map[*Job]bool) []*Job {
	return slices.SortedFunc(maps.Keys(all), func(a, b *Job) int { return cmp.Compare(a.Seq, b.Seq) })
}
