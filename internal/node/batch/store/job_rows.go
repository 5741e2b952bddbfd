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

const columns = `j.id, j.tenant, j.session, COALESCE(j.client_key, ''), j.digest, j.template, j.submitted_at, j.deadline_at,
	j.sent, j.state, j.reason, j.result, j.may_have_run, j.ended_at, j.array_id, j.array_index, j.seq, j.held, j.exit_status,
	j.dispatched_at, j.started_at, j.steps, j.settled, j.settled_reason, j.settled_at`

const arrayColumns = `id, tenant, session, COALESCE(client_key, ''), digest, template, begin_index, end_index, step,
	max_parallel, submitted_at`

// queryer is a database or a transaction.
type queryer interface {
	QueryContext(ctx context.Context, query string, args ...any) (*sql.Rows, error)
}

func (s *Store) one(ctx context.Context, q queryer, query string, args ...any) (*jobs.Record, error) {
	all, err := s.many(ctx, q, query, args...)
	if err != nil || len(all) == 0 {
		return nil, err
	}
	return all[0], nil
}

func (s *Store) many(ctx context.Context, q queryer, query string, args ...any) ([]*jobs.Record, error) {
	out, err := s.read(ctx, q, query, args...)
	if err != nil {
		return nil, err
	}
	// An array's jobs have its template, one for all of them.
	templates := map[string]*drmaa.JobTemplate{}
	for _, r := range out {
		if r.Array == "" {
			continue
		}
		if templates[r.Array] == nil {
			a, err := s.plainArray(ctx, q, `id = ?`, r.Array)
			if err != nil {
				return nil, err
			}
			if a == nil {
				return nil, fmt.Errorf("job %s: its array is not there", r.ID)
			}
			templates[r.Array] = a.Template
		}
		r.Template = templates[r.Array]
	}
	return out, nil
}

func (s *Store) read(ctx context.Context, q queryer, query string, args ...any) (out []*jobs.Record, err error) {
	rows, err := q.QueryContext(ctx, s.words(query), args...)
	if err != nil {
		return nil, err
	}
	defer rows.Close()
	for rows.Next() {
		var r jobs.Record
		var template, state, result, steps, settled string
		var sent, ran, held int
		if err := rows.Scan(&r.ID, &r.Tenant, &r.Session, &r.ClientKey, &r.Digest, &template, &r.SubmittedAt,
			&r.DeadlineAt, &sent, &state, &r.Reason, &result, &ran, &r.EndedAt, &r.Array, &r.Index, &r.Seq, &held,
			&r.ExitStatus, &r.DispatchedAt, &r.StartedAt, &steps, &settled, &r.Settled.Reason, &r.Settled.At); err != nil {
			return nil, err
		}
		if r.Array == "" {
			if err := json.Unmarshal([]byte(template), &r.Template); err != nil {
				return nil, fmt.Errorf("job %s: template: %w", r.ID, err)
			}
		}
		if result != "" {
			var text string
			if err := json.Unmarshal([]byte(result), &text); err != nil {
				return nil, fmt.Errorf("job %s: result: %w", r.ID, err)
			}
			r.Result = []byte(text)
		}
		if steps != "" {
			if err := json.Unmarshal([]byte(steps), &r.Steps); err != nil {
				return nil, fmt.Errorf("job %s: steps: %w", r.ID, err)
			}
		}
		r.Settled.Ran = settled == settledRan
		r.Sent, r.MayHaveRun, r.Held, r.State = sent != 0, ran != 0, held != 0, drmaa.State(state)
		if r.Held {
			r.State = r.State.Hold()
		}
		out = append(out, &r)
	}
	return out, rows.Err()
}

// array reads an array and counts its jobs by state.
func (s *Store) array(ctx context.Context, q queryer, where string, args ...any) (*jobs.ArrayRecord, error) {
	a, err := s.plainArray(ctx, q, where, args...)
	if err != nil || a == nil {
		return nil, err
	}
	a.States = map[drmaa.State]int{}
	rows, err := q.QueryContext(ctx, s.words(`SELECT state, held, COUNT(*) FROM jobs WHERE array_id = ? GROUP BY state, held`), a.ID)
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

func (s *Store) plainArray(ctx context.Context, q queryer, where string, args ...any) (*jobs.ArrayRecord, error) {
	rows, err := q.QueryContext(ctx, s.words(`SELECT `+arrayColumns+` FROM arrays WHERE `+where), args...)
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
