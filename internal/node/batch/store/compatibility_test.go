package store_test

import (
	"context"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"ospreybend/drmaa"
	"ospreybend/internal/node/batch/jobs"
	"ospreybend/internal/node/batch/store"
	"ospreybend/internal/testkit/golden"
)

// compatibilityFile is the fixture, a SQLite database file.
const compatibilityFile = "batch.sqlite"

// compatibilityTenant is the only tenant in the fixture.
func compatibilityTenant() jobs.Tenant {
	return jobs.Tenant{Name: "anna", TokenHash: "digest of a token", Quota: 500}
}

// compatibilityJob returns a job with all fields of a submission set.
func compatibilityJob(id string, sequence int64) *jobs.Record {
	rerunnable := true
	return &jobs.Record{
		ID: id, Tenant: "anna", Session: "s", Seq: sequence, ClientKey: "key-" + id, Digest: "digest-" + id,
		SubmittedAt: 1_790_000_000_000_000 + sequence, DeadlineAt: 1_790_000_600_000_000, State: drmaa.Queued, ExitStatus: -1,
		Template: &drmaa.JobTemplate{
			RemoteCommand: "render", Args: []string{"a", "b"}, Input: "body\x00", JobName: "name-" + id, JobCategory: "render",
			Rerunnable: &rerunnable, MinSlots: 2, MaxSlots: 2, Priority: 3, DeadlineTime: "2026-12-02T00:00:00Z", AccountingID: "project",
			QueueName: "render", CostHint: 1.5, ClientKey: "key-" + id,
		},
	}
}

// compatibilityEnd returns the final record of the ended job.
func compatibilityEnd(id string) *jobs.Record {
	return &jobs.Record{
		ID: id, State: drmaa.Failed, Reason: "timeout", Result: []byte("output\x00"), ExitStatus: -1, MayHaveRun: true,
		DispatchedAt: 1_790_000_001_000_000, StartedAt: 1_790_000_002_000_000, EndedAt: 1_790_000_003_000_000,
		Steps: []jobs.Step{{Machine: "m-1", SentAt: 1, StartedAt: 2, EndedAt: 3, Outcome: "failed"}, {Machine: "m-2", SentAt: 4, Outcome: "timeout"}},
	}
}

// compatibilityArray returns an array of two jobs.
func compatibilityArray() *jobs.ArrayRecord {
	return &jobs.ArrayRecord{
		ID: "array-1", Tenant: "anna", Session: "s", ClientKey: "key-array", Digest: "digest-array",
		Template: &drmaa.JobTemplate{RemoteCommand: "render", Input: "x"}, Begin: 1, End: 3, Step: 2, MaxParallel: 1,
		SubmittedAt: 1_790_000_000_000_009,
	}
}

// openCopy opens a copy of the fixture.
func openCopy(t *testing.T) *store.Store {
	t.Helper()
	path := filepath.Join(t.TempDir(), compatibilityFile)
	if err := os.WriteFile(path, golden.Read(t, compatibilityFile), 0o600); err != nil {
		t.Fatal(err)
	}
	opened, err := store.Open(t.Context(), "sqlite", path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = opened.Close() })
	return opened
}

// checkRead checks the result of a read from the store.
func checkRead(t *testing.T, what string, read any, err error, want any) {
	t.Helper()
	if err != nil || !reflect.DeepEqual(read, want) {
		t.Errorf("read %s: got %+v, error %v, want %+v", what, read, err, want)
	}
}

// The test compares what the store reads from the fixture rather than the file's bytes, which the
// database library determines.
func TestOpen_readsVersion8782861(t *testing.T) {
	opened, ctx := openCopy(t), context.Background()
	tenants, err := opened.Tenants(ctx)
	checkRead(t, "tenants", tenants, err, []jobs.Tenant{compatibilityTenant()})
	sessions, err := opened.Sessions(ctx)
	checkRead(t, "sessions", sessions, err, []jobs.SessionRecord{{Tenant: "anna", Name: "s", State: jobs.SessionOpen}})

	waiting := compatibilityJob("job-1", 1)
	waiting.Held, waiting.State = true, drmaa.QueuedHeld
	read, err := opened.Job(ctx, "anna", "job-1")
	checkRead(t, "the waiting job", read, err, waiting)

	ended, end := compatibilityJob("job-2", 2), compatibilityEnd("job-2")
	ended.Sent, ended.State, ended.Reason, ended.Result, ended.MayHaveRun = true, end.State, end.Reason, end.Result, end.MayHaveRun
	ended.DispatchedAt, ended.StartedAt, ended.EndedAt, ended.Steps = end.DispatchedAt, end.StartedAt, end.EndedAt, end.Steps
	ended.Settled = jobs.Settlement{At: 1_790_000_009_000_000, Ran: true, Reason: "seen in its output"}
	read, err = opened.Job(ctx, "anna", "job-2")
	checkRead(t, "the ended job", read, err, ended)

	array := compatibilityArray()
	array.States = map[drmaa.State]int{drmaa.Queued: 2}
	readArray, err := opened.Array(ctx, "anna", array.ID)
	checkRead(t, "the array", readArray, err, array)
	unfinished, arrays, err := opened.Unfinished(ctx)
	if err != nil || len(unfinished) != 3 || len(arrays) != 1 {
		t.Errorf("Unfinished: got %d jobs, %d arrays, error %v, want 3 jobs, 1 array", len(unfinished), len(arrays), err)
	}
}
