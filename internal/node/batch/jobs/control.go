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

// Act does an action on a job. done is called once what it did is on record,
// or with why it cannot be; the end that a termination brings follows.
func (m *Manager) Act(j *Job, action string, done func(*drmaa.Error)) {
	switch action {
	case Hold:
		m.holdJob(j, done)
	case Release:
		m.releaseJob(j, done)
	case Terminate:
		done(m.Terminate(j))
	case Reap:
		m.reap(Reaping{Tenant: j.Tenant, Session: j.Session, IDs: []string{j.ID}}, []*Job{j}, func(_ int, e *drmaa.Error) { done(e) })
	case "suspend", "resume":
		done(drmaa.Unsupported("prep workers cannot " + action))
	default:
		done(drmaa.Bad("action", "%q is unknown", action))
	}
}

var hasEnded = drmaa.WrongState("the job has ended")

// holdJob keeps a waiting job from being sent. One that is in the core is drawn
// back from there, unless some step of it may have had effect.
func (m *Manager) holdJob(j *Job, done func(*drmaa.Error)) {
	switch {
	case j.ending || j.State.Final():
		done(hasEnded)
		return
	case !j.State.Waiting() || j.State.Held():
		done(drmaa.WrongState("the job is %s", j.State))
		return
	case j.stage == inCore && m.core.MayHaveRun(j.op):
		done(drmaa.WrongState("the job has gone to a prep worker"))
		return
	}
	if j.stage == inCore {
		op := j.op
		m.leave(j)
		m.core.Withdraw(op)
	}
	m.leave(j)
	if !j.MayHaveRun {
		j.Sent, j.marked = false, false
	}
	j.Held = true
	m.turn(j, j.State.Hold())
	m.settle(j)
	m.marks.add(&change{Mark: Mark{ID: j.ID, Sent: j.Sent, Held: true}, job: j, done: func(err error) {
		if err == nil {
			done(nil)
			return
		}
		if !j.ending && j.State.Held() {
			j.Held = false
			m.turn(j, j.State.Release())
			m.settle(j)
		}
		done(Broken)
	}})
	m.pump()
}

// releaseJob lets a held job go on, once the store has it so.
func (m *Manager) releaseJob(j *Job, done func(*drmaa.Error)) {
	switch {
	case j.ending || j.State.Final():
		done(hasEnded)
		return
	case !j.State.Held():
		done(drmaa.WrongState("the job is %s, not held", j.State))
		return
	}
	m.marks.add(&change{Mark: Mark{ID: j.ID, Sent: j.Sent}, job: j, done: func(err error) {
		switch {
		case err != nil:
			done(Broken)
			return
		case !j.ending && j.State.Held():
			j.Held = false
			m.turn(j, j.State.Release())
			m.settle(j)
		}
		done(nil)
	}})
}

// Terminate ends a job at its owner's wish.
func (m *Manager) Terminate(j *Job) *drmaa.Error {
	switch {
	case j.ending || j.State.Final():
		return hasEnded
	case !j.recorded:
		j.terminate = true
		return nil
	}
	ran := j.MayHaveRun
	if j.op != 0 {
		op := j.op
		ran = ran || m.core.MayHaveRun(op)
		m.leave(j)
		m.core.Withdraw(op)
	}
	m.end(j, drmaa.Failed, "terminated", ran)
	m.pump()
	return nil
}

// TerminateID ends a job at hand for the administration.
func (m *Manager) TerminateID(id string) (*Job, *drmaa.Error) {
	j := m.jobs[id]
	if j == nil {
		return nil, UnknownJob
	}
	return j, m.Terminate(j)
}

// ActOnArray does an action on all jobs of an array that are in a state for it.
// Where there is none, it is an error as for a single job.
func (m *Manager) ActOnArray(a *Array, action string, done func(*drmaa.Affected, *drmaa.Error)) {
	if action == Reap {
		if a.unfinished > 0 {
			done(nil, drmaa.WrongState("%d jobs of the array have not ended", a.unfinished))
			return
		}
		var at []*Job
		for _, j := range m.jobs {
			if j.array == a {
				at = append(at, j)
			}
		}
		m.reap(Reaping{Tenant: a.Tenant, Session: a.Session, Array: a.ID}, at, func(n int, e *drmaa.Error) {
			if e != nil {
				done(nil, e)
				return
			}
			m.dropArray(a)
			done(&drmaa.Affected{Applied: n}, nil)
		})
		return
	}
	all := make([]*Job, 0, len(a.open))
	for _, index := range slices.Sorted(maps.Keys(a.open)) {
		all = append(all, a.open[index])
	}
	m.actOnAll(all, action, done)
}

// actOnAll does an action on some jobs and tells on how many it worked.
func (m *Manager) actOnAll(all []*Job, action string, done func(*drmaa.Affected, *drmaa.Error)) {
	if len(all) == 0 {
		done(nil, hasEnded)
		return
	}
	var out drmaa.Affected
	var fault *drmaa.Error
	left := len(all)
	for _, j := range all {
		m.Act(j, action, func(e *drmaa.Error) {
			switch {
			case e == nil:
				out.Applied++
			case e.Name == drmaa.InvalidState:
				out.Ruled++
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
func (m *Manager) reap(what Reaping, at []*Job, done func(int, *drmaa.Error)) {
	for _, j := range at {
		if !j.State.Final() {
			done(0, drmaa.WrongState("the job is %s; only one that has ended is reaped", j.State))
			return
		}
	}
	n := 0
	if !m.keeper.Call(func(ctx context.Context, store Store) (err error) {
		n, err = store.Reap(ctx, what)
		return err
	}, func(err error) {
		if err != nil {
			done(0, Broken)
			return
		}
		for _, j := range at {
			m.drop(j)
		}
		done(n, nil)
	}) {
		done(0, Behind)
	}
}

// byAge sorts jobs, the oldest first.
func byAge(all map[*Job]bool) []*Job {
	return slices.SortedFunc(maps.Keys(all), func(a, b *Job) int { return cmp.Compare(a.Seq, b.Seq) })
}
