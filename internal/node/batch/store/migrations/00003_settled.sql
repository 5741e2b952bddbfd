-- What a person has found out of a job that may have run.
-- +goose Up
ALTER TABLE jobs ADD COLUMN settled TEXT NOT NULL DEFAULT '';
ALTER TABLE jobs ADD COLUMN settled_reason TEXT NOT NULL DEFAULT '';
ALTER TABLE jobs ADD COLUMN settled_at BIGINT NOT NULL DEFAULT 0;
CREATE INDEX jobs_undecided ON jobs (seq) WHERE state = 'FAILED' AND may_have_run = 1 AND settled = '';
