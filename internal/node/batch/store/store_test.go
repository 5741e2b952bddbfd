package store

import (
	"context"
	"database/sql"
	"errors"
	"fmt"
	"path/filepath"
	"strings"
	"testing"

	"ospreybend/drmaa"
	"ospreybend/internal/node/batch/jobs"
)

// must fails the test if err is not nil.
func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// open opens a SQLite store that is closed at the end of the test.
func open(t *testing.T, file string) *Store {
	t.Helper()
	s, err := Open(t.Context(), "sqlite", file)
	must(t, err)
	t.Cleanup(func() { s.Close() })
	return s
}

// job returns a record of a single waiting job.
func job(id string, seq int64) *jobs.Record {
	return &jobs.Record{ID: id, Tenant: "anna", Session: "s", Seq: seq, SubmittedAt: seq,
		Template: &drmaa.JobTemplate{RemoteCommand: "buchen", JobName: "n" + id}}
}

// submissionOf returns the submission of a single job.
func submissionOf(r *jobs.Record) []*jobs.Submission {
	return []*jobs.Submission{{Jobs: []*jobs.Record{r}}}
}

// The first final state of a job is not overwritten. A submission whose client key is in use is not
// stored.
func TestStore_Finish_firstFinalStateStands(t *testing.T) {
	s, ctx := open(t, filepath.Join(t.TempDir(), "x?y#.db")), context.Background()
	first := job("1", 1)
	first.ClientKey = "k"
	if got, err := s.Insert(ctx, submissionOf(first)); err != nil || got[0] != (jobs.ExistingSubmission{}) {
		t.Fatalf("insert of job 1: got %+v, error %v, want no existing submission", got, err)
	}
	second := job("2", 2)
	second.ClientKey = "k"
	if got, err := s.Insert(ctx, submissionOf(second)); err != nil || got[0].Job == nil || got[0].Job.ID != "1" {
		t.Fatalf("insert of job 2 with the client key of job 1: got %+v, error %v, want job 1", got, err)
	}
	must(t, s.Update(ctx, []jobs.RecordUpdate{{ID: "1", Sent: true}}))
	must(t, s.Finish(ctx, []*jobs.Record{{ID: "1", State: drmaa.Done, Result: []byte("a\x00b"), EndedAt: 5,
		Steps: []jobs.Step{{Machine: "m", SentAt: 3, Outcome: "served"}}}}))
	must(t, s.Finish(ctx, []*jobs.Record{{ID: "1", State: drmaa.Failed, EndedAt: 6}}))
	must(t, s.Update(ctx, []jobs.RecordUpdate{{ID: "1", Held: true}}))
	got, err := s.Job(ctx, "anna", "1")
	if err != nil || got.State != drmaa.Done || string(got.Result) != "a\x00b" || !got.Sent || got.EndedAt != 5 || got.Steps[0].Machine != "m" {
		t.Errorf("job 1 finished as DONE, then as FAILED: got %+v, error %v, want the first final state", got, err)
	}
	if left, _, err := s.Unfinished(ctx); err != nil || len(left) != 0 {
		t.Errorf("Unfinished after the end of the only job: got %v, error %v, want none", left, err)
	}
	if got, err := s.Job(ctx, "ben", "1"); err != nil || got != nil {
		t.Errorf("Job for another tenant: got %v, error %v, want nil", got, err)
	}
}

// bulkSubmission returns the submission of an array of n jobs.
func bulkSubmission(id, key string, n int) *jobs.Submission {
	t := &drmaa.JobTemplate{RemoteCommand: "buchen", Input: "x"}
	sub := &jobs.Submission{Array: &jobs.ArrayRecord{ID: id, Tenant: "anna", Session: "s", ClientKey: key, Digest: "d", Template: t,
		Begin: 1, End: n, Step: 1}}
	for i := 1; i <= n; i++ {
		r := job(drmaa.JobID(id, i), int64(i))
		r.Array, r.Index, r.Template = id, i, t
		sub.Jobs = append(sub.Jobs, r)
	}
	return sub
}

// An array is stored with all its jobs or not at all, and counts its jobs by state.
func TestStore_arrays(t *testing.T) {
	s, ctx := open(t, filepath.Join(t.TempDir(), "x.db")), context.Background()
	bulk := bulkSubmission("A", "k", 5)
	clash := bulkSubmission("B", "", 2)
	clash.Jobs[1].ID = "A.3"
	if _, err := s.Insert(ctx, []*jobs.Submission{bulk, clash}); err == nil {
		t.Fatal("insert of a job with an existing ID succeeded")
	}
	if left, arrays, _ := s.Unfinished(ctx); len(left)+len(arrays) != 0 {
		t.Fatalf("%d jobs and %d arrays stored by a failed Insert, want none", len(left), len(arrays))
	}
	for range 2 { // the second time the client key is in use
		got, err := s.Insert(ctx, []*jobs.Submission{bulk})
		must(t, err)
		if a := got[0].Array; a != nil && (a.ID != "A" || a.States[drmaa.Queued] != 5) {
			t.Errorf("second insert of array A: got %+v, want A with 5 queued jobs", a)
		}
	}
	single := job("1", 1)
	single.ClientKey = "k"
	if got, err := s.Insert(ctx, submissionOf(single)); err != nil || got[0].Array == nil {
		t.Errorf("insert of a job with the client key of an array: got %+v, error %v, want the array", got, err)
	}
	must(t, s.Update(ctx, []jobs.RecordUpdate{{ID: "A.2", Held: true}}))
	must(t, s.Finish(ctx, []*jobs.Record{{ID: "A.1", State: drmaa.Done, EndedAt: 9}}))
	a, err := s.Array(ctx, "anna", "A")
	if err != nil || a.States[drmaa.Queued] != 3 || a.States[drmaa.QueuedHeld] != 1 || a.States[drmaa.Done] != 1 {
		t.Errorf("Array: got %+v, error %v, want 3 queued, 1 held and 1 done", a, err)
	}
	left, arrays, err := s.Unfinished(ctx)
	if err != nil || len(left) != 4 || len(arrays) != 1 || left[0].Template != left[3].Template || left[0].State != drmaa.QueuedHeld {
		t.Errorf("Unfinished: got %d jobs, %d arrays, error %v, want 4 jobs with a shared template, the first one held, and 1 array", len(left), len(arrays), err)
	}
	if r, err := s.AnyEnded(ctx, "anna", "s", "A"); err != nil || r.ID != "A.1" {
		t.Errorf("AnyEnded: got %+v, error %v, want job A.1", r, err)
	}
	if n, err := s.Reap(ctx, jobs.ReapSelector{Tenant: "anna", Session: "s", Array: "A"}); err != nil || n != 1 {
		t.Errorf("Reap: got %d, error %v, want 1", n, err)
	}
	must(t, s.DropSession(ctx, "anna", "s"))
	if all, err := s.Jobs(ctx, "anna", "", drmaa.Filter{}, 10); err != nil || len(all) != 0 {
		t.Errorf("Jobs of a dropped session: got %d, error %v, want none", len(all), err)
	}
}

func TestStore_Jobs_filters(t *testing.T) {
	s, ctx := open(t, filepath.Join(t.TempDir(), "x.db")), context.Background()
	for i := range 20 {
		r := job(fmt.Sprintf("%02d", i), int64(100+i/2))
		r.Template.AccountingID = fmt.Sprint(i % 3)
		_, err := s.Insert(ctx, submissionOf(r))
		must(t, err)
		if i%4 == 0 {
			must(t, s.Finish(ctx, []*jobs.Record{{ID: r.ID, State: drmaa.Failed, EndedAt: int64(1000 + i)}}))
		}
	}
	for _, c := range []struct {
		f    drmaa.Filter
		want int
	}{{drmaa.Filter{}, 20}, {drmaa.Filter{AccountingID: "1"}, 7}, {drmaa.Filter{Name: "n07"}, 1}, {drmaa.Filter{Category: "x"}, 0},
		{drmaa.Filter{States: []drmaa.State{drmaa.Failed}}, 5}, {drmaa.Filter{States: []drmaa.State{drmaa.Running}}, 15},
		{drmaa.Filter{SubmittedFrom: 105, SubmittedTo: 107}, 4}, {drmaa.Filter{FinishedFrom: 1004, FinishedTo: 1012}, 2},
		{drmaa.Filter{States: []drmaa.State{drmaa.Done}}, 0}} {
		if got, err := s.Jobs(ctx, "anna", "s", c.f, 100); err != nil || len(got) != c.want {
			t.Errorf("Jobs with filter %+v: got %d, error %v, want %d", c.f, len(got), err, c.want)
		}
	}
	var f drmaa.Filter
	var ids []string
	for {
		page, err := s.Jobs(ctx, "anna", "s", f, 3)
		must(t, err)
		if len(page) == 0 {
			break
		}
		for _, r := range page {
			ids = append(ids, r.ID)
			f.Before = drmaa.Cursor{Seq: r.Seq, ID: r.ID}
		}
	}
	if len(ids) != 20 || ids[0] != "18" || ids[1] != "19" || ids[19] != "01" {
		t.Errorf("IDs in pages of 3: got %v, want 20 IDs, newest first", ids)
	}
}

// A store with the first version of the tables is migrated without loss.
func TestOpen_migratesTheFirstTables(t *testing.T) {
	file := filepath.Join(t.TempDir(), "old.db")
	db, err := sql.Open("sqlite", file)
	must(t, err)
	text, err := migrations.ReadFile("migrations/00001_first.sql")
	must(t, err)
	for _, statement := range append(strings.Split(strings.Split(string(text), "-- +goose Up")[1], ";"),
		`INSERT INTO tenants VALUES ('anna', 'hash', 7)`, `INSERT INTO sessions VALUES ('anna', 's')`,
		`INSERT INTO jobs VALUES ('j1', 'anna', 's', 'k', 'd', '{"remoteCommand":"buchen","x_clientKey":"k","deadline":9}', 5, 9, 1,
			'QUEUED', '', '', 0, 0)`,
		`INSERT INTO jobs VALUES ('j2', 'anna', 's', NULL, 'd', '{"remoteCommand":"buchen"}', 6, 9, 1, 'DONE', '', '"fine"', 1, 8)`) {
		if strings.TrimSpace(statement) != "" {
			_, err := db.Exec(statement)
			must(t, err)
		}
	}
	must(t, db.Close())
	for range 2 {
		s := open(t, file)
		ctx := context.Background()
		records, _, err := s.Unfinished(ctx)
		if err != nil || len(records) != 1 || !records[0].Sent || records[0].Seq != 5 || records[0].Template.Deadline != 9 {
			t.Fatalf("Unfinished after migration: got %+v, error %v, want job j1, sent", records, err)
		}
		if r, err := s.Job(ctx, "anna", "j2"); err != nil || string(r.Result) != "fine" || r.ExitStatus != -1 {
			t.Errorf("job j2 after migration: got %+v, error %v, want result \"fine\" and exit status -1", r, err)
		}
		if all, err := s.Jobs(ctx, "anna", "", drmaa.Filter{Category: "buchen"}, 10); err != nil || len(all) != 2 {
			t.Errorf("Jobs by class after migration: got %d, error %v, want 2", len(all), err)
		}
		if sessions, err := s.Sessions(ctx); err != nil || len(sessions) != 1 || sessions[0].State != jobs.SessionOpen {
			t.Errorf("Sessions after migration: got %+v, error %v, want one open session", sessions, err)
		}
		must(t, s.Close())
	}
	// A store with newer tables is not opened.
	s := open(t, file)
	must(t, s.exec(t.Context(), `INSERT INTO goose_db_version (version_id, is_applied) VALUES (99, 1)`))
	must(t, s.Close())
	if _, err := Open(t.Context(), "sqlite", file); err == nil || !strings.Contains(err.Error(), "version 99") {
		t.Errorf("Open with tables of version 99: got error %v, want one that names the version", err)
	}
}

// Undecided lists failed jobs that may have run, of the given classes, until they are settled.
func TestStore_Undecided(t *testing.T) {
	s, ctx := open(t, filepath.Join(t.TempDir(), "x.db")), context.Background()
	for i := range 6 {
		_, err := s.Insert(ctx, submissionOf(job(fmt.Sprint(i), int64(i+1))))
		must(t, err)
		must(t, s.Finish(ctx, []*jobs.Record{{ID: fmt.Sprint(i), State: drmaa.Failed, MayHaveRun: i != 2, ExitStatus: -1 + i%2*i/5, EndedAt: 9}}))
	}
	ids := func(after drmaa.Cursor, classes ...string) (out string) {
		all, err := s.Undecided(ctx, classes, after, 10)
		must(t, err)
		for _, r := range all {
			out += r.ID
		}
		return out
	}
	if got := ids(drmaa.Cursor{}, "other", "buchen"); got != "0134" {
		t.Errorf("undecided jobs of two classes: got %q, want %q", got, "0134")
	}
	if got := ids(drmaa.Cursor{Seq: 2, ID: "1"}, "buchen") + ids(drmaa.Cursor{}, "other") + ids(drmaa.Cursor{}); got != "34" {
		t.Errorf("undecided jobs after job 1, of an unused class and of no class: got %q, want %q", got, "34")
	}
	for _, want := range []bool{true, false} {
		if ok, err := s.Settle(ctx, "1", jobs.Settlement{At: 7, Ran: true, Reason: "asked"}); err != nil || ok != want {
			t.Errorf("Settle: got %v, error %v, want %v", ok, err, want)
		}
	}
	r, err := s.Job(ctx, "anna", "1")
	if err != nil || r.Settled != (jobs.Settlement{At: 7, Ran: true, Reason: "asked"}) || ids(drmaa.Cursor{}, "buchen") != "034" {
		t.Errorf("job 1 after Settle: got %+v, error %v, want it settled and not listed", r.Settled, err)
	}
}

// A second node cannot open a SQLite file that a first has open.
func TestOpen_oneNodePerFile(t *testing.T) {
	file := filepath.Join(t.TempDir(), "x.db")
	first, err := Open(t.Context(), "sqlite", file)
	must(t, err)
	if _, err := Open(t.Context(), "sqlite", file); !errors.Is(err, errLocked) || !strings.Contains(err.Error(), file) {
		t.Errorf("second Open of a locked file: got error %v, want errLocked with the file name", err)
	}
	must(t, first.Close())
	again, err := Open(t.Context(), "sqlite", file)
	must(t, err)
	must(t, again.Close())
	if _, err := Open(t.Context(), "sqlite", filepath.Join(file, "none", "x.db")); err == nil {
		t.Error("Open in a missing folder succeeded")
	}
}

func TestStore_rebind(t *testing.T) {
	postgres := &Store{numberedPlaceholders: true}
	if got := postgres.rebind("a = ? AND b = ?"); got != "a = $1 AND b = $2" {
		t.Errorf("rebind: got %q, want numbered placeholders", got)
	}
	if _, err := Open(t.Context(), "mysql", "x"); err == nil {
		t.Error("Open of a store of kind mysql succeeded")
	}
}
