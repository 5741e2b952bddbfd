package store

import (
	"context"
	"database/sql"
	"encoding/json"
	"fmt"
	"strings"

	"ospreybend/drmaa"
	"ospreybend/internal/node/batch/jobs"
	"ospreybend/internal/node/faultinjection"
)

// boolToInt returns a truth value as the tables have it.
func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// nullable returns NULL for a missing client key: the column is unique.
func nullable(key string) any {
	if key == "" {
		return nil
	}
	return key
}

// The prepared statements.
const (
	insertJob = `INSERT INTO jobs (id, tenant, session, client_key, digest, template,
		submitted_at, deadline_at, sent, state, reason, result, may_have_run, ended_at, array_id, array_index, seq, held,
		category, job_name, accounting_id)
		VALUES (?, ?, ?, ?, ?, ?, ?, ?, 0, ?, '', '', 0, 0, ?, ?, ?, ?, ?, ?, ?)`
	keyExists = `SELECT EXISTS (SELECT 1 FROM jobs WHERE tenant = ? AND client_key = ?)
		OR EXISTS (SELECT 1 FROM arrays WHERE tenant = ? AND client_key = ?)`
	updateJob = `UPDATE jobs SET sent = ?, held = ? WHERE id = ? AND ended_at = 0`
	finishJob = `UPDATE jobs SET state = ?, reason = ?, result = ?, may_have_run = ?, ended_at = ?,
		exit_status = ?, dispatched_at = ?, started_at = ?, steps = ? WHERE id = ? AND ended_at = 0`
)

// Insert implements jobs.Store: it records submissions, each completely or not at all. One whose
// client key is taken is not recorded, and what has the key is returned in its place.
func (s *Store) Insert(ctx context.Context, subs []*jobs.Submission) ([]jobs.ExistingSubmission, error) {
	out := make([]jobs.ExistingSubmission, len(subs))
	err := s.inTransactionBetween(ctx, faultinjection.InsertBefore, faultinjection.InsertAfter, func(tx *sql.Tx) error {
		job := tx.StmtContext(ctx, s.insertJob)
		for i, sub := range subs {
			var err error
			if out[i], err = s.findExisting(ctx, tx, sub); err != nil {
				return err
			}
			if out[i] != (jobs.ExistingSubmission{}) {
				continue
			}
			if err := s.insert(ctx, tx, job, sub); err != nil {
				return err
			}
		}
		return nil
	})
	return out, err
}

// findExisting returns the job or array that has a submission's client key.
func (s *Store) findExisting(ctx context.Context, tx *sql.Tx, sub *jobs.Submission) (out jobs.ExistingSubmission, err error) {
	tenant, key := sub.Jobs[0].Tenant, sub.Jobs[0].ClientKey
	if sub.Array != nil {
		key = sub.Array.ClientKey
	}
	if key == "" {
		return out, nil
	}
	var there bool
	if err := tx.StmtContext(ctx, s.keyExists).QueryRowContext(ctx, tenant, key, tenant, key).Scan(&there); err != nil || !there {
		return out, err
	}
	if out.Job, err = s.queryOne(ctx, tx, `SELECT `+jobColumns+` FROM jobs j WHERE j.tenant = ? AND j.client_key = ?`, tenant, key); err != nil {
		return out, err
	}
	if out.Job == nil {
		out.Array, err = s.queryArray(ctx, tx, `tenant = ? AND client_key = ?`, tenant, key)
	}
	return out, err
}

// insert records one submission.
func (s *Store) insert(ctx context.Context, tx *sql.Tx, job *sql.Stmt, submission *jobs.Submission) error {
	text := ""
	if a := submission.Array; a != nil {
		template, err := json.Marshal(a.Template)
		if err != nil {
			return err
		}
		if _, err := tx.ExecContext(ctx, s.rebind(`INSERT INTO arrays (id, tenant, session, client_key, digest, template, begin_index,
			end_index, step, max_parallel, submitted_at, reaped) VALUES (?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, 0)`), a.ID, a.Tenant, a.Session,
			nullable(a.ClientKey), a.Digest, string(template), a.Begin, a.End, a.Step, a.MaxParallel, a.SubmittedAt); err != nil {
			return err
		}
	}
	for _, r := range submission.Jobs {
		if r.Array == "" {
			template, err := json.Marshal(r.Template)
			if err != nil {
				return err
			}
			text = string(template)
		}
		t := r.Template
		if _, err := job.ExecContext(ctx, r.ID, r.Tenant, r.Session, nullable(r.ClientKey), r.Digest, text, r.SubmittedAt, r.DeadlineAt,
			string(drmaa.Queued), r.Array, r.Index, r.Seq, boolToInt(r.Held), t.RemoteCommand, t.JobName, t.AccountingID); err != nil {
			return err
		}
	}
	return nil
}

// Update implements jobs.Store: it changes the records of unfinished jobs.
func (s *Store) Update(ctx context.Context, updates []jobs.RecordUpdate) error {
	return s.inTransactionBetween(ctx, faultinjection.MarkBefore, faultinjection.MarkAfter, func(tx *sql.Tx) error {
		row := tx.StmtContext(ctx, s.updateJob)
		for _, update := range updates {
			if _, err := row.ExecContext(ctx, boolToInt(update.Sent), boolToInt(update.Held), update.ID); err != nil {
				return err
			}
		}
		return nil
	})
}

// Finish implements jobs.Store: it records final states. A job's first one is not overwritten.
func (s *Store) Finish(ctx context.Context, records []*jobs.Record) error {
	return s.inTransactionBetween(ctx, faultinjection.FinishBefore, faultinjection.FinishAfter, func(tx *sql.Tx) error {
		row := tx.StmtContext(ctx, s.finishJob)
		for _, r := range records {
			// As JSON, since text in PostgreSQL cannot have a NUL.
			result, err := json.Marshal(string(r.Result))
			if err != nil {
				return err
			}
			steps, err := json.Marshal(r.Steps)
			if err != nil {
				return err
			}
			if _, err := row.ExecContext(ctx, string(r.State), r.Reason, string(result), boolToInt(r.MayHaveRun), r.EndedAt, r.ExitStatus,
				r.DispatchedAt, r.StartedAt, string(steps), r.ID); err != nil {
				return err
			}
		}
		return nil
	})
}

// Reap implements jobs.Store: it hides ended jobs from their owner.
func (s *Store) Reap(ctx context.Context, what jobs.ReapSelector) (n int, err error) {
	err = s.inTransaction(ctx, func(tx *sql.Tx) error {
		const reap = `UPDATE jobs SET reaped = 1 WHERE tenant = ? AND session = ? AND ended_at > 0 AND reaped = 0`
		count := func(statement string, args ...any) error {
			done, err := tx.ExecContext(ctx, s.rebind(statement), args...)
			if err != nil {
				return err
			}
			rows, err := done.RowsAffected()
			n += int(rows)
			return err
		}
		if what.Array != "" {
			if _, err := tx.ExecContext(ctx, s.rebind(`UPDATE arrays SET reaped = 1 WHERE tenant = ? AND id = ?`), what.Tenant, what.Array); err != nil {
				return err
			}
			return count(reap+` AND array_id = ?`, what.Tenant, what.Session, what.Array)
		}
		for _, id := range what.IDs {
			if err := count(reap+` AND id = ?`, what.Tenant, what.Session, id); err != nil {
				return err
			}
		}
		return nil
	})
	return n, err
}

// Job returns a job that is not reaped, or nil.
func (s *Store) Job(ctx context.Context, tenant, id string) (*jobs.Record, error) {
	return s.queryOne(ctx, s.db, `SELECT `+jobColumns+` FROM jobs j WHERE j.tenant = ? AND j.id = ? AND j.reaped = 0`, tenant, id)
}

// Array returns an array that is not reaped, or nil.
func (s *Store) Array(ctx context.Context, tenant, id string) (*jobs.ArrayRecord, error) {
	return s.queryArray(ctx, s.db, `tenant = ? AND id = ? AND reaped = 0`, tenant, id)
}

// Jobs lists jobs that are not reaped, newest first.
func (s *Store) Jobs(ctx context.Context, tenant, session string, filter drmaa.Filter, limit int) ([]*jobs.Record, error) {
	where, args := []string{"j.reaped = 0"}, []any{}
	add := func(given bool, condition string, values ...any) {
		if given {
			where, args = append(where, condition), append(args, values...)
		}
	}
	add(tenant != "", "j.tenant = ?", tenant)
	add(session != "", "j.session = ?", session)
	add(filter.Category != "", "j.category = ?", filter.Category)
	add(filter.Name != "", "j.job_name = ?", filter.Name)
	add(filter.AccountingID != "", "j.accounting_id = ?", filter.AccountingID)
	add(filter.Array != "", "j.array_id = ?", filter.Array)
	add(filter.SubmittedFrom > 0, "j.submitted_at >= ?", filter.SubmittedFrom)
	add(filter.SubmittedTo > 0, "j.submitted_at < ?", filter.SubmittedTo)
	add(filter.FinishedFrom > 0, "j.ended_at >= ?", filter.FinishedFrom)
	add(filter.FinishedTo > 0, "j.ended_at < ?", filter.FinishedTo)
	add(!filter.MatchesUnfinished(), "j.ended_at > 0")
	add(!filter.MatchesUnfinished() && len(filter.States) == 1, "j.state = ?", firstState(filter))
	add(!filter.MatchesEnded(), "j.ended_at = 0")
	before := filter.Before
	add(before != drmaa.Cursor{}, "(j.seq < ? OR j.seq = ? AND j.id > ?)", before.Seq, before.Seq, before.ID)
	args = append(args, limit)
	return s.queryJobs(ctx, s.db, `SELECT `+jobColumns+` FROM jobs j WHERE `+strings.Join(where, " AND ")+` ORDER BY j.seq DESC, j.id LIMIT ?`, args...)
}

// firstState returns the filter's first state, or "".
func firstState(f drmaa.Filter) string {
	if len(f.States) == 0 {
		return ""
	}
	return string(f.States[0])
}

// AnyEnded implements jobs.Store: it returns the job of a session, or of one of its arrays, that
// has ended last, or nil.
func (s *Store) AnyEnded(ctx context.Context, tenant, session, array string) (*jobs.Record, error) {
	where, args := `j.tenant = ? AND j.session = ? AND j.ended_at > 0 AND j.reaped = 0`, []any{tenant, session}
	if array != "" {
		where, args = where+` AND j.array_id = ?`, append(args, array)
	}
	return s.queryOne(ctx, s.db, `SELECT `+jobColumns+` FROM jobs j WHERE `+where+` ORDER BY j.ended_at DESC LIMIT 1`, args...)
}

// Unfinished implements jobs.Store: it returns the jobs that have not ended, in the order of their
// submission, and their arrays.
func (s *Store) Unfinished(ctx context.Context) ([]*jobs.Record, []*jobs.ArrayRecord, error) {
	records, err := s.queryJobs(ctx, s.db, `SELECT `+jobColumns+` FROM jobs j WHERE j.ended_at = 0 ORDER BY j.seq, j.id`)
	if err != nil {
		return nil, nil, err
	}
	var arrays []*jobs.ArrayRecord
	seen := map[string]bool{}
	for _, r := range records {
		if r.Array == "" || seen[r.Array] {
			continue
		}
		seen[r.Array] = true
		a, err := s.queryArray(ctx, s.db, `id = ?`, r.Array)
		if err != nil {
			return nil, nil, err
		}
		if a == nil {
			return nil, nil, fmt.Errorf("job %s: its array is not there", r.ID)
		}
		arrays = append(arrays, a)
	}
	return records, arrays, nil
}

const (
	settledRan         = "ran"
	settledNever       = "never ran"
	undecidedCondition = `state = 'FAILED' AND may_have_run = 1 AND settled = '' AND exit_status < 0`
)

// Undecided implements jobs.Store: it lists undecided jobs that are not settled, oldest first.
func (s *Store) Undecided(ctx context.Context, classes []string, after drmaa.Cursor, most int) ([]*jobs.Record, error) {
	if len(classes) == 0 {
		return nil, nil
	}
	args := []any{after.Seq, after.Seq, after.ID}
	for _, c := range classes {
		args = append(args, c)
	}
	return s.queryJobs(ctx, s.db, `SELECT `+jobColumns+` FROM jobs j WHERE `+undecidedCondition+` AND (j.seq > ? OR j.seq = ? AND j.id > ?)
		AND j.category IN (?`+strings.Repeat(", ?", len(classes)-1)+`) ORDER BY j.seq, j.id LIMIT ?`, append(args, most)...)
}

// Settle implements jobs.Store: it settles an undecided job.
func (s *Store) Settle(ctx context.Context, id string, v jobs.Settlement) (bool, error) {
	as := settledNever
	if v.Ran {
		as = settledRan
	}
	done, err := s.db.ExecContext(ctx, s.rebind(`UPDATE jobs SET settled = ?, settled_reason = ?, settled_at = ? WHERE id = ? AND `+undecidedCondition),
		as, v.Reason, v.At, id)
	if err != nil {
		return false, err
	}
	n, err := done.RowsAffected()
	return n == 1, err
}
