-- Job arrays, held jobs, where jobs went, reaped jobs, sessions that are closed.
-- +goose Up
CREATE TABLE arrays (id TEXT PRIMARY KEY, tenant TEXT NOT NULL, session TEXT NOT NULL, client_key TEXT,
  digest TEXT NOT NULL, template TEXT NOT NULL, begin_index BIGINT NOT NULL, end_index BIGINT NOT NULL,
  step BIGINT NOT NULL, max_parallel BIGINT NOT NULL, submitted_at BIGINT NOT NULL, reaped BIGINT NOT NULL,
  UNIQUE (tenant, client_key));
ALTER TABLE sessions ADD COLUMN state TEXT NOT NULL DEFAULT 'open';
ALTER TABLE jobs ADD COLUMN array_id TEXT NOT NULL DEFAULT '';
ALTER TABLE jobs ADD COLUMN array_index BIGINT NOT NULL DEFAULT 0;
ALTER TABLE jobs ADD COLUMN seq BIGINT NOT NULL DEFAULT 0;
ALTER TABLE jobs ADD COLUMN held BIGINT NOT NULL DEFAULT 0;
ALTER TABLE jobs ADD COLUMN reaped BIGINT NOT NULL DEFAULT 0;
ALTER TABLE jobs ADD COLUMN category TEXT NOT NULL DEFAULT '';
ALTER TABLE jobs ADD COLUMN job_name TEXT NOT NULL DEFAULT '';
ALTER TABLE jobs ADD COLUMN accounting_id TEXT NOT NULL DEFAULT '';
ALTER TABLE jobs ADD COLUMN exit_status BIGINT NOT NULL DEFAULT -1;
ALTER TABLE jobs ADD COLUMN dispatched_at BIGINT NOT NULL DEFAULT 0;
ALTER TABLE jobs ADD COLUMN started_at BIGINT NOT NULL DEFAULT 0;
ALTER TABLE jobs ADD COLUMN steps TEXT NOT NULL DEFAULT '';
UPDATE jobs SET seq = submitted_at;
DROP INDEX jobs_by_tenant;
DROP INDEX jobs_by_state;
CREATE INDEX jobs_no_category ON jobs (id) WHERE category = '' AND array_id = '';
CREATE INDEX jobs_by_age ON jobs (tenant, session, seq, id);
CREATE INDEX jobs_unfinished ON jobs (seq) WHERE ended_at = 0;
CREATE INDEX jobs_by_array ON jobs (array_id, seq) WHERE array_id <> '';
CREATE INDEX jobs_ended ON jobs (tenant, session, ended_at) WHERE ended_at > 0 AND reaped = 0;
