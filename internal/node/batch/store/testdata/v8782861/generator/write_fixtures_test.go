package store_test

import (
	"os"
	"path/filepath"
	"testing"

	"ospreybend/drmaa"
	"ospreybend/internal/batch/jobs"
	"ospreybend/internal/batch/store"
	"ospreybend/internal/testkit/golden"
)

// TestWriteFixtures writes the database, which must be missing.
func TestWriteFixtures(t *testing.T) {
	if err := os.MkdirAll(golden.Folder, 0o755); err != nil {
		t.Fatal(err)
	}
	ctx := t.Context()
	opened, err := store.Open(ctx, "sqlite", filepath.Join(golden.Folder, compatibilityFile))
	if err != nil {
		t.Fatal(err)
	}
	array := &jobs.Submission{Array: compatibilityArray()}
	for _, index := range []int{1, 3} {
		record := compatibilityJob(drmaa.JobID("array-1", index), int64(10+index))
		record.Array, record.Index, record.Template, record.ClientKey = "array-1", index, array.Array.Template, ""
		array.Jobs = append(array.Jobs, record)
	}
	held := compatibilityJob("job-1", 1)
	held.Held = true
	steps := []func() error{
		func() error { return opened.PutTenant(ctx, compatibilityTenant()) },
		func() error {
			return opened.PutSession(ctx, jobs.SessionRecord{Tenant: "anna", Name: "s", State: jobs.SessionOpen})
		},
		func() error {
			_, err := opened.Insert(ctx, []*jobs.Submission{
				{Jobs: []*jobs.Record{held}}, {Jobs: []*jobs.Record{compatibilityJob("job-2", 2)}}, array,
			})
			return err
		},
		func() error { return opened.Mark(ctx, []jobs.Mark{{ID: "job-2", Sent: true}}) },
		func() error { return opened.Finish(ctx, []*jobs.Record{compatibilityEnd("job-2")}) },
		func() error {
			_, err := opened.Settle(ctx, "job-2", jobs.Settlement{At: 1_790_000_009_000_000, Ran: true, Reason: "seen in its output"})
			return err
		},
		opened.Close,
	}
	for _, step := range steps {
		if err := step(); err != nil {
			t.Fatal(err)
		}
	}
}
