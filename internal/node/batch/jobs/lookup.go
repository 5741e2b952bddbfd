package jobs

import (
	"context"

	"ospreybend/drmaa"
)

const maxScans = 16 // maximum reads of the store for one page

// callStore runs call off the loop and calls done on the loop with its result, or with StoreFailed
// if call failed. If the queue of calls is full, it calls done immediately with StoreQueueFull.
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
		done(none, StoreQueueFull)
	}
}

// Session returns an open session of a tenant.
func (m *Manager) Session(t *TenantState, name string) (*Session, *drmaa.Error) {
	if s := t.sessions[name]; s != nil && s.State == SessionOpen {
		return s, nil
	}
	return nil, UnknownSession
}

// Find calls done with a tenant's job, from memory or from the store. The error is UnknownJob if the
// job belongs to another tenant or has been reaped.
func (m *Manager) Find(t *TenantState, session, id string, done func(*Job, *drmaa.Error)) {
	if _, e := m.Session(t, session); e != nil {
		done(nil, e)
		return
	}
	check := func(job *Job) {
		if job == nil || job.Tenant != t.Name || job.Session != session || !job.recorded {
			done(nil, UnknownJob)
			return
		}
		done(job, nil)
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
			done(nil, e)
		case record == nil:
			check(nil)
		default:
			check(m.detachedJob(record))
		}
	})
}

// FindAll is like Find for several jobs. If one of them is unknown, the whole call fails.
func (m *Manager) FindAll(t *TenantState, session string, ids []string, done func([]*Job, *drmaa.Error)) {
	out := make([]*Job, len(ids))
	remaining := len(ids)
	var failure *drmaa.Error
	for i, id := range ids {
		m.Find(t, session, id, func(job *Job, e *drmaa.Error) {
			out[i] = job
			if e != nil && failure == nil {
				failure = e
			}
			if remaining--; remaining == 0 {
				done(out, failure)
			}
		})
	}
}

// FindArray is like Find for a job array.
func (m *Manager) FindArray(t *TenantState, session, id string, done func(*Array, *drmaa.Error)) {
	if _, e := m.Session(t, session); e != nil {
		done(nil, e)
		return
	}
	check := func(a *Array) {
		if a == nil || a.Tenant != t.Name || a.Session != session || !a.recorded {
			done(nil, UnknownArray)
			return
		}
		done(a, nil)
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
			done(nil, e)
		case record == nil:
			check(nil)
		default:
			check(m.detachedArray(record))
		}
	})
}

// List calls done with one page of a tenant's jobs, newest first. An empty session means all
// sessions, an empty tenant all tenants. The states are filtered here, since a job's state may be
// newer in memory than in the store.
func (m *Manager) List(tenant, session string, f drmaa.Filter, done func(*drmaa.Page, *drmaa.Error)) {
	page := &drmaa.Page{Jobs: []*drmaa.Job{}}
	m.scan(tenant, session, f, page, maxScans, done)
}

// scan appends the matching jobs of one read of the store to a page, and continues until the page
// is full, the list ends or the number of reads reaches scans.
func (m *Manager) scan(tenant, session string, filter drmaa.Filter, page *drmaa.Page, scans int, done func(*drmaa.Page, *drmaa.Error)) {
	limit := drmaa.MaxListed + 1
	callStore(m, func(ctx context.Context, store Store) ([]*Record, error) {
		return store.Jobs(ctx, tenant, session, filter, limit)
	}, func(rows []*Record, e *drmaa.Error) {
		if e != nil {
			done(nil, e)
			return
		}
		for _, r := range rows {
			if len(page.Jobs) == filter.Limit {
				page.Next = filter.Before.String()
				done(page, nil)
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
			done(page, nil)
		case scans <= 1:
			page.Next = filter.Before.String() // the page is not full, but more jobs may follow
			done(page, nil)
		default:
			m.scan(tenant, session, filter, page, scans-1, done)
		}
	})
}
