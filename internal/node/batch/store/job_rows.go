package store

import (
	"context"
	"database/sql"
	"encoding/json"
	"errors"
	"fmt"

	"ospreybend/drmaa"
	"ospreybend/internal/node/batch/jobs"
)

const jobColumns = `j.id, j.tenant, j.session, COALESCE(j.client_key, ''), j.digest, j.template, j.submitted_at, j.deadline_at,
	j.sent, j.state, j.reason, j.result, j.may_have_run, j.ended_at, j.array_id, j.array_index, j.seq, j.held, j.exit_status,
	j.dispatched_at, j.started_at, j.steps, j.settled, j.settled_reason, j.settled_at`

const arrayColumns = `id, tenant, session, COALESCE(client_key, ''), digest, template, begin_index, end_index, step,
	max_parallel, submitted_at`

// queryer is a database or a transaction: *sql.DB or *sql.Tx.
type queryer interface {
	QueryContext(ctx context.Context, query string, args ...any) (*sql.Rows, error)
}

// queryOne returns the first job of a query's result, or nil.
func (s *Store) queryOne(ctx context.Context, database queryer, query string, args ...any) (*jobs.Record, error) {
	all, err := s.queryJobs(ctx, database, query, args...)
	if err != nil || len(all) == 0 {
		return nil, err
	}
	return all[0], nil
}

// queryJobs returns the jobs of a query's result, with their templates.
func (s *Store) queryJobs(ctx context.Context, database queryer, query string, args ...any) ([]*jobs.Record, error) {
	out, err := s.scanJobs(ctx, database, query, args...)
	if err != nil {
		return nil, err
	}
	// The jobs of an array share the array's template.
	templates := map[string]*drmaa.JobTemplate{}
	for _, r := range out {
		if r.Array == "" {
			continue
		}
		if templates[r.Array] == nil {
			a, err := s.scanArray(ctx, database, `id = ?`, r.Array)
			if err != nil {
				return nil, err
			}
			if a == nil {
				return nil, fmt.Errorf("job %s: its array %s is not in the store", r.ID, r.Array)
			}
			templates[r.Array] = a.Template
		}
		r.Template = templates[r.Array]
	}
	return out, nil
}

// scanJobs reads the rows of a query. It leaves the templates of array jobs nil.
func (s *Store) scanJobs(ctx context.Context, database queryer, query string, args ...any) (out []*jobs.Record, err error) {
	rows, err := database.QueryContext(ctx, s.rebind(query), args...)
	if err != nil {
		return nil, err
	}
	defer rows.Close()
	for rows.Next() {
		var record jobs.Record
		var template, state, result, steps, settled string
		var sent, ran, held int
		if err := rows.Scan(&record.ID, &record.Tenant, &record.Session, &record.ClientKey, &record.Digest, &template, &record.SubmittedAt,
			&record.DeadlineAt, &sent, &state, &record.Reason, &result, &ran, &record.EndedAt, &record.Array, &record.Index, &record.Seq, &held,
			&record.ExitStatus, &record.DispatchedAt, &record.StartedAt, &steps, &settled, &record.Settled.Reason, &record.Settled.At); err != nil {
			return nil, err
		}
		if record.Array == "" {
			if err := json.Unmarshal([]byte(template), &record.Template); err != nil {
				return nil, fmt.Errorf("job %s: template: %w", record.ID, err)
			}
		}
		if result != "" {
			var text string
			if err := json.Unmarshal([]byte(result), &text); err != nil {
				return nil, fmt.Errorf("job %s: result: %w", record.ID, err)
			}
			record.Result = []byte(text)
		}
		if steps != "" {
			if err := json.Unmarshal([]byte(steps), &record.Steps); err != nil {
				return nil, fmt.Errorf("job %s: steps: %w", record.ID, err)
			}
		}
		record.Settled.Ran = settled == settledRan
		record.Sent, record.MayHaveRun, record.Held, record.State = sent != 0, ran != 0, held != 0, drmaa.State(state)
		if record.Held {
			record.State = record.State.Hold()
		}
		out = append(out, &record)
	}
	return out, rows.Err()
}

// queryArray returns the first array that matches where, with the counts of its jobs by state, or nil.
func (s *Store) queryArray(ctx context.Context, database queryer, where string, args ...any) (*jobs.ArrayRecord, error) {
	a, err := s.scanArray(ctx, database, where, args...)
	if err != nil || a == nil {
		return nil, err
	}
	a.States = map[drmaa.State]int{}
	rows, err := database.QueryContext(ctx, s.rebind(`SELECT state, held, COUNT(*) FROM jobs WHERE array_id = ? GROUP BY state, held`), a.ID)
	if err != nil {
		return nil, err
	}
	defer rows.Close()
	for rows.Next() {
		var state string
		var held, n int
		if err := rows.Scan(&state, &held, &n); err != nil {
			return nil, err
		}
		at := drmaa.State(state)
		if held != 0 {
			at = at.Hold()
		}
		a.States[at] += n
	}
	return a, rows.Err()
}

// scanArray returns the first array that matches where, without counts, or nil.
func (s *Store) scanArray(ctx context.Context, database queryer, where string, args ...any) (*jobs.ArrayRecord, error) {
	rows, err := database.QueryContext(ctx, s.rebind(`SELECT `+arrayColumns+` FROM arrays WHERE `+where), args...)
	if err != nil {
		return nil, err
	}
	defer rows.Close()
	if !rows.Next() {
		return nil, rows.Err()
	}
	var a jobs.ArrayRecord
	var template string
	if err := rows.Scan(&a.ID, &a.Tenant, &a.Session, &a.ClientKey, &a.Digest, &template, &a.Begin, &a.End, &a.Step,
		&a.MaxParallel, &a.SubmittedAt); err != nil {
		return nil, err
	}
	if err := json.Unmarshal([]byte(template), &a.Template); err != nil {
		return nil, fmt.Errorf("array %s: template: %w", a.ID, err)
	}
	return &a, errors.Join(rows.Err(), rows.Close())
}
