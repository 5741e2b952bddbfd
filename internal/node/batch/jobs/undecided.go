package jobs

import (
	"context"
	"log/slog"
	"maps"
	"slices"

	"ospreybend/drmaa"
)

// nonIdempotentClasses returns the names of the classes whose jobs must not run twice, sorted.
func (m *Manager) nonIdempotentClasses() (names []string) {
	for _, name := range slices.Sorted(maps.Keys(m.classes)) {
		if m.classes[name].NonIdempotent {
			names = append(names, name)
		}
	}
	return names
}

// Undecided calls done with a page of the undecided jobs, oldest first. These are FAILED jobs that
// may have run and must not run twice, and whose outcome no prep worker has reported.
func (m *Manager) Undecided(after drmaa.Cursor, limit int, done func(*drmaa.Page, *drmaa.Error)) {
	classes := m.nonIdempotentClasses()
	callStore(m, func(ctx context.Context, store Store) ([]*Record, error) {
		return store.Undecided(ctx, classes, after, limit+1)
	}, func(rows []*Record, e *drmaa.Error) {
		if e != nil {
			done(nil, e)
			return
		}
		page := &drmaa.Page{Jobs: []*drmaa.Job{}}
		for _, r := range rows[:min(len(rows), limit)] {
			page.Jobs = append(page.Jobs, r.view())
		}
		if len(rows) > limit {
			last := rows[limit-1]
			page.Next = drmaa.Cursor{Seq: last.Seq, ID: last.ID}.String()
		}
		done(page, nil)
	})
}

var notUndecided = drmaa.InvalidStateError("the job is not undecided, or has been settled")

// Settle stores an operator's decision on an undecided job. A job can be settled only once.
func (m *Manager) Settle(id string, ran bool, reason string, done func(*drmaa.Error)) {
	s := Settlement{At: m.unixNow(), Ran: ran, Reason: reason}
	callStore(m, func(ctx context.Context, store Store) (bool, error) {
		return store.Settle(ctx, id, s)
	}, func(settled bool, e *drmaa.Error) {
		switch {
		case e != nil:
			done(e)
		case !settled:
			done(notUndecided)
		default:
			if job := m.jobs[id]; job != nil {
				job.Settled = s
			}
			slog.Info("batch job settled", "id", id, "ran", ran, "reason", reason)
			done(nil)
		}
	})
}
