// Package store implements jobs.Store, the batch front's store of record, in SQLite or PostgreSQL.
// Executor runs its calls off the event loop.
//
// The schema is in the folder migrations, which Open applies. Each write is one transaction that is
// durable before the call returns. Decisions about jobs are made in package jobs only.
package store

import (
	"context"
	"database/sql"
	"embed"
	"errors"
	"fmt"
	"io/fs"
	"net/url"
	"os"
	"strconv"
	"strings"

	_ "github.com/jackc/pgx/v5/stdlib" // driver for PostgreSQL
	"github.com/pressly/goose/v3"
	_ "modernc.org/sqlite" // driver for SQLite

	"ospreybend/internal/node/batch/jobs"
	"ospreybend/internal/node/faultinjection"
)

//go:embed migrations/*.sql
var migrations embed.FS

// Store is the store of record. It uses one connection to the database.
type Store struct {
	db                   *sql.DB
	lock                 *os.File // nil if the database needs none
	numberedPlaceholders bool     // placeholders are $1, $2, ... instead of ?

	insertJob, keyExists, updateJob, finishJob *sql.Stmt // prepared
}

var _ jobs.Store = (*Store)(nil)

// Open opens a store and migrates its tables to this program's version. kind is "sqlite" or
// "postgres"; source is a file or a connection string. Open fails if the tables are newer than the
// program.
func Open(ctx context.Context, kind, source string) (*Store, error) {
	var driver string
	var dialect goose.Dialect
	var lock *os.File
	switch kind {
	case "sqlite":
		// synchronous(FULL) makes each commit durable before it returns; WAL keeps the database
		// readable during a write.
		driver, dialect = "sqlite", goose.DialectSQLite3
		path, query, _ := strings.Cut(source, "?")
		var err error
		if lock, err = lockFile(path); err != nil {
			return nil, fmt.Errorf("store: %w", err)
		}
		if !strings.HasPrefix(path, "file:") {
			path = "file:" + (&url.URL{Path: path}).EscapedPath()
		}
		if query != "" {
			query += "&"
		}
		source = path + "?" + query +
			"_pragma=journal_mode(WAL)&_pragma=synchronous(FULL)&_pragma=busy_timeout(5000)&_txlock=immediate"
	case "postgres":
		driver, dialect = "pgx", goose.DialectPostgres
	default:
		return nil, fmt.Errorf("store: kind %q is neither sqlite nor postgres", kind)
	}
	db, err := sql.Open(driver, source)
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	db.SetMaxOpenConns(1) // the executor is the only user
	s := &Store{db: db, lock: lock, numberedPlaceholders: kind == "postgres"}
	if err := migrate(ctx, db, dialect); err != nil {
		return nil, errors.Join(fmt.Errorf("store: %w", err), s.Close())
	}
	if err := s.backfill(ctx); err != nil {
		return nil, errors.Join(fmt.Errorf("store: %w", err), s.Close())
	}
	for _, p := range []struct {
		into *(*sql.Stmt)
		text string
	}{{&s.insertJob, insertJobSQL}, {&s.keyExists, keyExistsSQL}, {&s.updateJob, updateJobSQL}, {&s.finishJob, finishJobSQL}} {
		if *p.into, err = db.PrepareContext(ctx, s.rebind(p.text)); err != nil {
			return nil, errors.Join(fmt.Errorf("store: %w", err), s.Close())
		}
	}
	return s, nil
}

// migrate applies the migrations that the database lacks.
func migrate(ctx context.Context, db *sql.DB, dialect goose.Dialect) error {
	files, err := fs.Sub(migrations, "migrations")
	if err != nil {
		return err
	}
	provider, err := goose.NewProvider(dialect, db, files)
	if err != nil {
		return err
	}
	current, err := provider.GetDBVersion(ctx)
	if err != nil {
		return err
	}
	sources := provider.ListSources()
	if newest := sources[len(sources)-1].Version; current > newest {
		return fmt.Errorf("the tables have version %d, but this program supports versions up to %d: run the program version that created them", current, newest)
	}
	_, err = provider.Up(ctx)
	return err
}

// backfill sets the columns that lists filter by, for jobs that were stored by the first version of
// the tables, from the jobs' templates. It uses small transactions, so that it can be interrupted.
func (s *Store) backfill(ctx context.Context) error {
	for {
		rows, err := s.queryJobs(ctx, s.db, `SELECT `+jobColumns+` FROM jobs j WHERE j.category = '' AND j.array_id = '' LIMIT 500`)
		if err != nil || len(rows) == 0 {
			return err
		}
		if err := s.inTransaction(ctx, func(tx *sql.Tx) error {
			for _, r := range rows {
				t := r.Template
				if _, err := tx.ExecContext(ctx, s.rebind(`UPDATE jobs SET category = ?, job_name = ?, accounting_id = ? WHERE id = ?`),
					t.RemoteCommand, t.JobName, t.AccountingID, r.ID); err != nil {
					return err
				}
				if t.RemoteCommand == "" {
					return fmt.Errorf("job %s: its template has no remoteCommand", r.ID)
				}
			}
			return nil
		}); err != nil {
			return err
		}
	}
}

// Close closes the database and releases the lock.
func (s *Store) Close() error {
	err := s.db.Close()
	if s.lock != nil {
		err = errors.Join(err, s.lock.Close())
		s.lock = nil
	}
	return err
}

// rebind replaces the placeholders of a statement by those of the database.
func (s *Store) rebind(statement string) string {
	if !s.numberedPlaceholders {
		return statement
	}
	var b strings.Builder
	n := 0
	for _, c := range statement {
		if c != '?' {
			b.WriteRune(c)
			continue
		}
		n++
		b.WriteString("$" + strconv.Itoa(n))
	}
	return b.String()
}

// exec executes one statement outside a transaction.
func (s *Store) exec(ctx context.Context, statement string, args ...any) error {
	_, err := s.db.ExecContext(ctx, s.rebind(statement), args...)
	return err
}

// inTransaction runs body in a transaction, which is rolled back if body returns an error.
func (s *Store) inTransaction(ctx context.Context, body func(tx *sql.Tx) error) error {
	return s.inTransactionBetween(ctx, "", "", body)
}

// inTransactionBetween is like inTransaction, with fault injection points before and after the commit.
func (s *Store) inTransactionBetween(ctx context.Context, before, after string, body func(tx *sql.Tx) error) error {
	tx, err := s.db.BeginTx(ctx, nil)
	if err != nil {
		return err
	}
	if err := body(tx); err != nil {
		return errors.Join(err, tx.Rollback())
	}
	faultinjection.Hit(before)
	err = tx.Commit()
	faultinjection.Hit(after)
	return err
}

// forEachRow calls visit for each row of a query, until it returns an error.
func (s *Store) forEachRow(ctx context.Context, visit func(*sql.Rows) error, query string, args ...any) error {
	rows, err := s.db.QueryContext(ctx, s.rebind(query), args...)
	if err != nil {
		return err
	}
	defer rows.Close()
	for rows.Next() {
		if err := visit(rows); err != nil {
			return err
		}
	}
	return rows.Err()
}

// Tenants implements jobs.Store: it returns all tenants, sorted by name.
func (s *Store) Tenants(ctx context.Context) (out []jobs.Tenant, err error) {
	err = s.forEachRow(ctx, func(r *sql.Rows) error {
		var t jobs.Tenant
		err := r.Scan(&t.Name, &t.TokenHash, &t.Quota)
		out = append(out, t)
		return err
	}, `SELECT name, token_hash, quota FROM tenants ORDER BY name`)
	return out, err
}

// PutTenant implements jobs.Store: it adds or changes a tenant.
func (s *Store) PutTenant(ctx context.Context, t jobs.Tenant) error {
	return s.exec(ctx, `INSERT INTO tenants (name, token_hash, quota) VALUES (?, ?, ?)
		ON CONFLICT (name) DO UPDATE SET token_hash = excluded.token_hash, quota = excluded.quota`,
		t.Name, t.TokenHash, t.Quota)
}

// Sessions implements jobs.Store: it returns all sessions, sorted by tenant and name.
func (s *Store) Sessions(ctx context.Context) (out []jobs.SessionRecord, err error) {
	err = s.forEachRow(ctx, func(r *sql.Rows) error {
		var v jobs.SessionRecord
		err := r.Scan(&v.Tenant, &v.Name, &v.State)
		out = append(out, v)
		return err
	}, `SELECT tenant, name, state FROM sessions ORDER BY tenant, name`)
	return out, err
}

// PutSession implements jobs.Store: it adds a session or changes its state.
func (s *Store) PutSession(ctx context.Context, v jobs.SessionRecord) error {
	return s.exec(ctx, `INSERT INTO sessions (tenant, name, state) VALUES (?, ?, ?)
		ON CONFLICT (tenant, name) DO UPDATE SET state = excluded.state`, v.Tenant, v.Name, v.State)
}

// DropSession implements jobs.Store: it removes a session and hides its jobs from their tenant.
func (s *Store) DropSession(ctx context.Context, tenant, name string) error {
	return s.inTransaction(ctx, func(tx *sql.Tx) error {
		for _, statement := range []string{`DELETE FROM sessions WHERE tenant = ? AND name = ?`,
			`UPDATE jobs SET reaped = 1 WHERE tenant = ? AND session = ?`,
			`UPDATE arrays SET reaped = 1 WHERE tenant = ? AND session = ?`} {
			if _, err := tx.ExecContext(ctx, s.rebind(statement), tenant, name); err != nil {
				return err
			}
		}
		return nil
	})
}
