package jobs

import (
	"context"

	"ospreybend/drmaa"
)

const maxScans = 16 // reads of the store for one page

// callStore makes a call of the store and calls done on the loop with its result, or with the
// error of a store that failed (StoreFailed) or whose queue is full (StoreBehind).
func callStore[T any](m *Manager, call func(context.Context, Store) (T, error), done func(T, *drmaa.Error)) {
	var result, none T
	if !m.store.Call(func(ctx context.Context, store Store) (err error) {
		result, err = call(ctx, store)
		return err
	}, func(err error) {
		if err != nil {
			done(none, StoreFailed)
			return
		}
		done(result, nil)
	}) {
		done(none, StoreBehind)
	}
}

// Session returns an open session of a tenant.
func (m *Manager) Session(t *TenantState, name string) (*Session, *drmaa.Error) {
	if s := t.sessions[name]; s != nil && s.State == SessionOpen {
		return s, nil
	}
	return nil, UnknownSession
}

// Find calls got with a tenant's job, from memory or from the store. A job of another tenant, or
// a reaped one, is unknown.
func (m *Manager) Find(t *TenantState, session, id string, got func(*Job, *drmaa.Error)) {
	if _, e := m.Session(t, session); e != nil {
		got(nil, e)
		return
	}
	check := func(job *Job) {
		if job == nil || job.Tenant != t.Name || job.Session != session || !job.recorded {
			got(nil, UnknownJob)
			return
		}
		got(job, nil)
	}
	if job := m.jobs[id]; job != nil {
		check(job)
		return
	}
	name := t.Name
	callStore(m, func(ctx context.Context, store Store) (*Record, error) {
		return store.Job(ctx, name, id)
	}, func(record *Record, e *drmaa.Error) {
		switch {
		case e != nil:
			got(nil, e)
		case record == nil:
			check(nil)
		default:
			check(m.detachedJob(record))
		}
	})
}

// FindAll is Find for several jobs. An unknown one is an error of the call.
func (m *Manager) FindAll(t *TenantState, session string, ids []string, got func([]*Job, *drmaa.Error)) {
	out := make([]*Job, len(ids))
	left := len(ids)
	var fault *drmaa.Error
	for i, id := range ids {
		m.Find(t, session, id, func(job *Job, e *drmaa.Error) {
			out[i] = job
			if e != nil && fault == nil {
				fault = e
			}
			if left--; left == 0 {
				got(out, fault)
			}
		})
	}
}

// FindArray is Find for a job array.
func (m *Manager) FindArray(t *TenantState, session, id string, got func(*Array, *drmaa.Error)) {
	if _, e := m.Session(t, session); e != nil {
		got(nil, e)
		return
	}
	check := func(a *Array) {
		if a == nil || a.Tenant != t.Name || a.Session != session || !a.recorded {
			got(nil, UnknownArray)
			return
		}
		got(a, nil)
	}
	if a := m.arrays[id]; a != nil {
		check(a)
		return
	}
	name := t.Name
	callStore(m, func(ctx context.Context, store Store) (*ArrayRecord, error) {
		return store.Array(ctx, name, id)
	}, func(record *ArrayRecord, e *drmaa.Error) {
		switch {
		case e != nil:
			got(nil, e)
		case record == nil:
			check(nil)
		default:
			check(m.detachedArray(record))
		}
	})
}

// List calls got with one page of a tenant's jobs, newest first; an empty session means all
// sessions, an empty tenant all tenants. The store selects by all but the state, which may be
// newer in memory.
func (m *Manager) List(tenant, session string, f drmaa.Filter, got func(*drmaa.Page, *drmaa.Error)) {
	page := &drmaa.Page{Jobs: []*drmaa.Job{}}
	m.scan(tenant, session, f, page, maxScans, got)
}

// scan appends the matching jobs of one read of the store to a page, and reads on until the page
// is full, the list ends or no scans are left.
func (m *Manager) scan(tenant, session string, filter drmaa.Filter, page *drmaa.Page, scans int, got func(*drmaa.Page, *drmaa.Error)) {
	limit := drmaa.MaxListed + 1
	callStore(m, func(ctx context.Context, store Store) ([]*Record, error) {
		return store.Jobs(ctx, tenant, session, filter, limit)
	}, func(rows []*Record, e *drmaa.Error) {
		if e != nil {
			got(nil, e)
			return
		}
		for _, r := range rows {
			if len(page.Jobs) == filter.Limit {
				page.Next = filter.Before.String()
				got(page, nil)
				return
			}
			filter.Before = drmaa.Cursor{Seq: r.Seq, ID: r.ID}
			v := r.view()
			if job := m.jobs[r.ID]; job != nil {
				v = m.View(job)
			}
			if filter.MatchesState(v.State) {
				page.Jobs = append(page.Jobs, v)
			}
		}
		switch {
		case len(rows) < limit:
			got(page, nil)
		case scans <= 1:
			page.Next = filter.Before.String() // an incomplete page, with more to follow
			got(page, nil)
		default:
			m.scan(tenant, session, filter, page, scans-1, got)
		}
	})
}
