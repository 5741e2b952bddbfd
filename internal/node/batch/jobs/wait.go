package jobs

import (
	"context"
	"time"

	"ospreybend/drmaa"
	"ospreybend/internal/node/timerqueue"
)

// waiter is a client that waits for one of some jobs.
type waiter struct {
	started bool // the start is enough
	in      []waiters
	timeout *timerqueue.Timer
	over    bool
	done    func(*Job, *drmaa.Error)
}

// waiters is who waits for a job, for one of an array's or of a session's.
type waiters map[*waiter]bool

func (w *waiter) join(set *waiters) {
	if *set == nil {
		*set = waiters{}
	}
	(*set)[w] = true
	w.in = append(w.in, *set)
}

// finish ends a wait, once.
func (m *Manager) finish(w *waiter, j *Job, e *drmaa.Error) {
	if m.giveUp(w) {
		w.done(j, e)
	}
}

func (m *Manager) giveUp(w *waiter) bool {
	if w.over {
		return false
	}
	w.over = true
	m.waits--
	m.due.Cancel(w.timeout)
	for _, set := range w.in {
		delete(set, w)
	}
	return true
}

// fire tells those who wait that a job has started or ended.
func (m *Manager) fire(j *Job) {
	sets := []waiters{j.waiters}
	if j.array != nil {
		sets = append(sets, j.array.waiters)
	}
	if j.session != nil {
		sets = append(sets, j.session.waiters)
	}
	for _, set := range sets {
		for w := range set {
			if w.started || j.State.Final() {
				m.finish(w, j, nil)
			}
		}
	}
}

func (m *Manager) satisfyAll(set waiters, j *Job) {
	for w := range set {
		m.finish(w, j, nil)
	}
}

func (m *Manager) newWaiter(started bool, timeout time.Duration, done func(*Job, *drmaa.Error), about *Job) *waiter {
	w := &waiter{started: started, done: done}
	m.waits++
	w.timeout = m.due.Add(m.within(timeout), func() {
		e := &drmaa.Error{Status: 504, Name: drmaa.Timeout, Message: "the wait's own timeout has passed"}
		if about != nil {
			e.Job = m.View(about)
		}
		m.finish(w, nil, e)
	})
	return w
}

func nothing() {}

// Wait calls done when one of the jobs has ended, or has started where that is
// enough, or with an error after the timeout. The returned function gives the
// wait up.
func (m *Manager) Wait(all []*Job, started bool, timeout time.Duration, done func(*Job, *drmaa.Error)) (leave func()) {
	for _, j := range all {
		if j.State.Final() || started && j.State.Started() {
			done(j, nil)
			return nothing
		}
	}
	var about *Job
	if len(all) == 1 {
		about = all[0]
	}
	w := m.newWaiter(started, timeout, done, about)
	for _, j := range all {
		w.join(&j.waiters)
	}
	return func() { m.giveUp(w) }
}

// WaitArray is Wait over the jobs of an array; with whole it is for the end of
// all of them.
func (m *Manager) WaitArray(a *Array, started, whole bool, timeout time.Duration, done func(*Job, *drmaa.Error)) (leave func()) {
	switch {
	case whole && a.unfinished == 0:
		done(nil, nil)
		return nothing
	case whole:
		w := m.newWaiter(false, timeout, done, nil)
		w.join(&a.finishers)
		return func() { m.giveUp(w) }
	}
	if started {
		for _, j := range a.open {
			if j.State.Started() {
				done(j, nil)
				return nothing
			}
		}
	}
	w := m.newWaiter(started, timeout, done, nil)
	w.join(&a.waiters)
	if a.states[drmaa.Done]+a.states[drmaa.Failed] > 0 {
		m.satisfyFromStore(w, a.Tenant, a.Session, a.ID)
	}
	return func() { m.giveUp(w) }
}

// WaitSession is Wait over all jobs of a session, ended ones that are not reaped
// included.
func (m *Manager) WaitSession(s *Session, started bool, timeout time.Duration, done func(*Job, *drmaa.Error)) (leave func()) {
	if started {
		for j := range s.jobs {
			if j.State.Started() {
				done(j, nil)
				return nothing
			}
		}
	}
	w := m.newWaiter(started, timeout, done, nil)
	w.join(&s.waiters)
	m.satisfyFromStore(w, s.Tenant, s.Name, "")
	return func() { m.giveUp(w) }
}

// satisfyFromStore looks for a job that has ended already. The waiter listens
// meanwhile, so that none slips through between.
func (m *Manager) satisfyFromStore(w *waiter, tenant, session, array string) {
	var r *Record
	if !m.keeper.Call(func(ctx context.Context, store Store) (err error) {
		r, err = store.AnyEnded(ctx, tenant, session, array)
		return err
	}, func(err error) {
		switch {
		case err != nil:
			m.finish(w, nil, Broken)
		case r != nil:
			m.finish(w, m.looseJob(r), nil)
		}
	}) {
		m.finish(w, nil, Behind)
	}
}
