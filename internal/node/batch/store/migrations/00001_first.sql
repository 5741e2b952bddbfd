-- What the first version of the program made by itself.
-- +goose Up
CREATE TABLE IF NOT EXISTS tenants (name TEXT PRIMARY KEY, token_hash TEXT NOT NULL UNIQUE, quota BIGINT NOT NULL);
CREATE TABLE IF NOT EXISTS sessions (tenant TEXT NOT NULL, name TEXT NOT NULL, PRIMARY KEY (tenant, name));
CREATE TABLE IF NOT EXISTS jobs (id TEXT PRIMARY KEY, tenant TEXT NOT NULL, session TEXT NOT NULL,
  client_key TEXT, digest TEXT NOT NULL, template TEXT NOT NULL, submitted_at BIGINT NOT NULL,
  deadline_at BIGINT NOT NULL, sent BIGINT NOT NULL, state TEXT NOT NULL, reason TEXT NOT NULL,
  result TEXT NOT NULL, may_have_run BIGINT NOT NULL, ended_at BIGINT NOT NULL, UNIQUE (tenant, client_key));
CREATE INDEX IF NOT EXISTS jobs_by_tenant ON jobs (tenant, submitted_at);
CREATE INDEX IF NOT EXISTS jobs_by_state ON jobs (state);
