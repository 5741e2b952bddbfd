package jobs

import (
	"context"
	"time"

	"ospreybend/drmaa"
	"ospreybend/internal/node/timerqueue"
)

// waiter is a client that waits for one of several jobs.
type waiter struct {
	started bool      // waits for a start as well as an end
	sets    []waiters // the sets that contain it
	timeout *timerqueue.Timer
	ended   bool
	done    func(*Job, *drmaa.Error)
}

// waiters is a set of clients that wait for a job, or for the jobs of an array or a session.
type waiters map[*waiter]bool

// join adds the waiter to a set.
func (w *waiter) join(set *waiters) {
	if *set == nil {
		*set = waiters{}
	}
	(*set)[w] = true
	w.sets = append(w.sets, *set)
}

// endWait answers a waiter unless its wait has already ended.
func (m *Manager) endWait(w *waiter, job *Job, e *drmaa.Error) {
	if m.cancelWait(w) {
		w.done(job, e)
	}
}

// cancelWait removes a waiter from all its sets. It returns false if the wait had already ended.
func (m *Manager) cancelWait(w *waiter) bool {
	if w.ended {
		return false
	}
	w.ended = true
	m.openWaits--
	m.timers.Cancel(w.timeout)
	for _, set := range w.sets {
		delete(set, w)
	}
	return true
}

// notifyWaiters answers the waiters of a job that has started or ended.
func (m *Manager) notifyWaiters(job *Job) {
	sets := []waiters{job.waiters}
	if job.array != nil {
		sets = append(sets, job.array.anyWaiters)
	}
	if job.session != nil {
		sets = append(sets, job.session.waiters)
	}
	for _, set := range sets {
		for w := range set {
			if w.started || job.State.Final() {
				m.endWait(w, job, nil)
			}
		}
	}
}

// satisfyAll answers all waiters of a set with a job.
func (m *Manager) satisfyAll(set waiters, job *Job) {
	for w := range set {
		m.endWait(w, job, nil)
	}
}

// newWaiter returns a waiter with a timeout. The timeout error contains the job about unless it is
// nil.
func (m *Manager) newWaiter(started bool, timeout time.Duration, done func(*Job, *drmaa.Error), about *Job) *waiter {
	w := &waiter{started: started, done: done}
	m.openWaits++
	w.timeout = m.timers.Add(m.fromNow(timeout), func() {
		e := &drmaa.Error{Status: 504, Name: drmaa.Timeout, Message: "the wait's own timeout has passed"}
		if about != nil {
			e.Job = m.View(about)
		}
		m.endWait(w, nil, e)
	})
	return w
}

// doNothing cancels a wait that has already ended.
func doNothing() {}

// Wait calls done when one of the jobs has ended (if started is set: started or ended), or with an
// error after the timeout. leave cancels the wait.
func (m *Manager) Wait(all []*Job, started bool, timeout time.Duration, done func(*Job, *drmaa.Error)) (leave func()) {
	for _, job := range all {
		if job.State.Final() || started && job.State.Started() {
			done(job, nil)
			return doNothing
		}
	}
	var about *Job
	if len(all) == 1 {
		about = all[0]
	}
	w := m.newWaiter(started, timeout, done, about)
	for _, job := range all {
		w.join(&job.waiters)
	}
	return func() { m.cancelWait(w) }
}

// WaitArray is like Wait for the jobs of an array. If all is set, it waits for the end of all jobs.
func (m *Manager) WaitArray(array *Array, started, all bool, timeout time.Duration, done func(*Job, *drmaa.Error)) (leave func()) {
	switch {
	case all && array.unfinished == 0:
		done(nil, nil)
		return doNothing
	case all:
		w := m.newWaiter(false, timeout, done, nil)
		w.join(&array.allEndedWaiters)
		return func() { m.cancelWait(w) }
	}
	if started {
		for _, job := range array.unfinishedJobs {
			if job.State.Started() {
				done(job, nil)
				return doNothing
			}
		}
	}
	w := m.newWaiter(started, timeout, done, nil)
	w.join(&array.anyWaiters)
	if array.states[drmaa.Done]+array.states[drmaa.Failed] > 0 {
		m.satisfyFromStore(w, array.Tenant, array.Session, array.ID)
	}
	return func() { m.cancelWait(w) }
}

// WaitSession is like Wait for all jobs of a session, including ended jobs that are not reaped.
func (m *Manager) WaitSession(s *Session, started bool, timeout time.Duration, done func(*Job, *drmaa.Error)) (leave func()) {
	if started {
		for job := range s.jobs {
			if job.State.Started() {
				done(job, nil)
				return doNothing
			}
		}
	}
	w := m.newWaiter(started, timeout, done, nil)
	w.join(&s.waiters)
	m.satisfyFromStore(w, s.Tenant, s.Name, "")
	return func() { m.cancelWait(w) }
}

// satisfyFromStore looks in the store for a job that has already ended. The waiter must be in its
// sets before the call, so that it does not miss a job that ends during the lookup.
func (m *Manager) satisfyFromStore(waiter *waiter, tenant, session, array string) {
	callStore(m, func(ctx context.Context, store Store) (*Record, error) {
		return store.AnyEnded(ctx, tenant, session, array)
	}, func(record *Record, e *drmaa.Error) {
		switch {
		case e != nil:
			m.endWait(waiter, nil, e)
		case record != nil:
			m.endWait(waiter, m.detachedJob(record), nil)
		}
	})
}
